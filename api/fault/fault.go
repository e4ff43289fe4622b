// Package fault defines the errors that callers, operators and other daemons
// see: a stable kind, a message, a remedy, and whether the request ran.
package fault

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Kind is a stable code, part of the published interface.
type Kind string

// Kinds.
const (
	Malformed       Kind = "malformed"
	Unauthenticated Kind = "unauthenticated"
	NotFound        Kind = "not_found"
	TooLarge        Kind = "too_large"
	Conflict        Kind = "conflict"
	KeyRequired     Kind = "key_required"
	LimitExceeded   Kind = "limit_exceeded"
	Overloaded      Kind = "overloaded"
	NoUpstream      Kind = "no_upstream"
	Deadline        Kind = "deadline_unreachable"
	Quarantined     Kind = "quarantined"
	Unavailable     Kind = "unavailable"
	Unknown         Kind = "outcome_unknown"
	Canceled        Kind = "canceled"
	Draining        Kind = "draining"
	Internal        Kind = "internal"
)

// Ran says whether a request reached an upstream.
type Ran string

// Values of Ran.
const (
	// NotRun promises that the request did not run and never will.
	NotRun Ran = "not_run"
	// MayHaveRun says that nobody can tell.
	MayHaveRun Ran = "unknown"
	// DidRun says that the request ran.
	DidRun Ran = "ran"
)

// Error is one failure. Its JSON form is what callers receive.
type Error struct {
	Kind    Kind   `json:"code"`
	Message string `json:"message"`
	// Remedy says what to do.
	Remedy string `json:"remedy"`
	Ran    Ran    `json:"ran"`
	// RetryAfterMS is when to come back, in milliseconds; zero says nothing.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Key is the request's key, where one is known.
	Key string `json:"key,omitempty"`
}

// New returns an error of a request that did not run.
func New(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy, Ran: NotRun}
}

// Error gives kind, message and remedy on one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s; %s", e.Kind, e.Message, e.Remedy)
}

// After returns a copy that names when to come back.
func (e *Error) After(d time.Duration) *Error {
	out := *e
	out.RetryAfterMS = d.Milliseconds()
	return &out
}

// WithRan returns a copy with another statement on whether the request ran.
func (e *Error) WithRan(r Ran) *Error {
	out := *e
	out.Ran = r
	return &out
}

// From finds an Error in a chain, or wraps the chain as an internal one.
func From(err error) *Error {
	found := (*Error)(nil)
	if errors.As(err, &found) {
		return found
	}
	return &Error{Kind: Internal, Message: err.Error(), Remedy: "report it with the daemon's log", Ran: MayHaveRun}
}

// Encode returns the JSON form.
func (e *Error) Encode() []byte {
	data, err := json.Marshal(e)
	if err != nil {
		return []byte(`{"code":"internal"}`)
	}
	return data
}

// Decode reads the JSON form.
func Decode(data []byte) (*Error, error) {
	e := &Error{}
	if err := json.Unmarshal(data, e); err != nil {
		return nil, err
	}
	return e, nil
}

// statuses maps kinds to HTTP status codes.
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

// HTTPStatus returns the status code for the kind.
func (e *Error) HTTPStatus() int {
	if s, ok := statuses[e.Kind]; ok {
		return s
	}
	return http.StatusInternalServerError
}
