// Package fault defines the errors that callers, operators and other daemons
// receive: a stable kind, a message, a remedy, and whether the request ran. The
// JSON form of an Error is part of the published interface.
package fault

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Kind is a stable error code, part of the published interface.
type Kind string

// Kinds of errors. HTTPStatus gives the status code of each.
const (
	// Malformed: the request is invalid as it stands.
	Malformed       Kind = "malformed"
	Unauthenticated Kind = "unauthenticated"
	NotFound        Kind = "not_found"
	TooLarge        Kind = "too_large"
	// Conflict: another change or request came first, or the key was used with
	// other content.
	Conflict Kind = "conflict"
	// KeyRequired: the operation may not be repeated, so that the request needs an
	// idempotency key.
	KeyRequired   Kind = "key_required"
	LimitExceeded Kind = "limit_exceeded"
	Overloaded    Kind = "overloaded"
	NoUpstream    Kind = "no_upstream"
	// Deadline: the answer did not or can't arrive before the request's deadline.
	Deadline Kind = "deadline_unreachable"
	// Quarantined: requests with this content were in flight at several crashes of
	// upstreams.
	Quarantined Kind = "quarantined"
	// Unavailable: a part of the system that the request needs doesn't answer now.
	Unavailable Kind = "unavailable"
	// Unknown: it can't be determined whether the request ran.
	Unknown Kind = "outcome_unknown"
	// Canceled: the caller closed the connection or canceled the request.
	Canceled Kind = "canceled"
	// Draining: the entry is shutting down and takes no new requests.
	Draining Kind = "draining"
	Internal Kind = "internal"
)

// Ran states whether a request ran on an upstream.
type Ran string

// Values of Ran.
const (
	// NotRun guarantees that the request did not run and never will.
	NotRun Ran = "not_run"
	// MayHaveRun means that it can't be determined whether the request ran.
	MayHaveRun Ran = "unknown"
	// DidRun means that the request ran.
	DidRun Ran = "ran"
)

// Error is a failed request. Its JSON form is answered to callers. Methods that
// change it return copies, so that an Error may be shared.
type Error struct {
	Kind    Kind   `json:"code"`
	Message string `json:"message"`
	// Remedy says what the receiver can do about it.
	Remedy string `json:"remedy"`
	Ran    Ran    `json:"ran"`
	// RetryAfterMS is the delay after which to retry, in milliseconds; zero if
	// none is suggested.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Key is the request's key, if known.
	Key string `json:"key,omitempty"`
}

// New returns the error of a request that did not run. The message is formatted as
// by fmt.Sprintf.
func New(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy, Ran: NotRun}
}

// Error returns kind, message and remedy on one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s; %s", e.Kind, e.Message, e.Remedy)
}

// After returns a copy that suggests a retry after the delay.
func (e *Error) After(d time.Duration) *Error {
	out := *e
	out.RetryAfterMS = d.Milliseconds()
	return &out
}

// WithRan returns a copy with Ran replaced.
func (e *Error) WithRan(r Ran) *Error {
	out := *e
	out.Ran = r
	return &out
}

// From returns the first *Error in err's chain. If there is none, it returns an
// internal error with err's text that says that the request may have run.
func From(err error) *Error {
	found := (*Error)(nil)
	if errors.As(err, &found) {
		return found
	}
	return &Error{Kind: Internal, Message: err.Error(), Remedy: "report it with the daemon's log", Ran: MayHaveRun}
}

// Encode returns the JSON form of the error.
func (e *Error) Encode() []byte {
	data, err := json.Marshal(e)
	if err != nil {
		return []byte(`{"code":"internal"}`)
	}
	return data
}

// Decode decodes the JSON form of an error. It doesn't check that the fields are
// set.
func Decode(data []byte) (*Error, error) {
	e := &Error{}
	if err := json.Unmarshal(data, e); err != nil {
		return nil, err
	}
	return e, nil
}

// statuses maps kinds to HTTP status codes. Canceled has 499, which is not in
// net/http: the caller closed the connection.
var statuses = map[Kind]int{
	Malformed:       http.StatusBadRequest,
	Unauthenticated: http.StatusUnauthorized,
	NotFound:        http.StatusNotFound,
	TooLarge:        http.StatusRequestEntityTooLarge,
	Conflict:        http.StatusConflict,
	KeyRequired:     http.StatusBadRequest,
	LimitExceeded:   http.StatusTooManyRequests,
	Overloaded:      http.StatusServiceUnavailable,
	NoUpstream:      http.StatusServiceUnavailable,
	Deadline:        http.StatusGatewayTimeout,
	Quarantined:     http.StatusUnprocessableEntity,
	Unavailable:     http.StatusServiceUnavailable,
	Unknown:         http.StatusBadGateway,
	Canceled:        499,
	Draining:        http.StatusServiceUnavailable,
	Internal:        http.StatusInternalServerError,
}

// HTTPStatus returns the HTTP status code for the kind, 500 for an unknown kind.
func (e *Error) HTTPStatus() int {
	if s, ok := statuses[e.Kind]; ok {
		return s
	}
	return http.StatusInternalServerError
}
