package forward

import (
	"net/http"
	"time"
)

// RequestMeta is the metadata in the header of a caller's request.
type RequestMeta struct {
	// RequestID identifies the request; a retry by the caller has an ID of its own.
	RequestID string
	// Timeout is the time for which the caller waits; zero if it is not stated.
	Timeout time.Duration
	// Key is the caller's API key; empty if there is none.
	Key string
	// PromptTokens is the length of the prompt, MaxTokens the greatest length of
	// the response, ExpectedOutputTokens the caller's estimate of it; zero if not
	// stated.
	PromptTokens         int
	MaxTokens            int
	ExpectedOutputTokens int
	// HasTokenCounts is set if the request states PromptTokens and MaxTokens.
	HasTokenCounts bool
	// PromptParts are the parts of the prompt in order. Requests with a common
	// prefix have the same first parts.
	PromptParts []PromptPart
	// LastEvent is the id of the last event of a stream that the caller has.
	LastEvent string
	// ResumedRequest is the RequestID of the request that began the stream which the
	// caller takes up after LastEvent; empty if it names none.
	ResumedRequest string
}

// PromptPart is a part of a prompt with its length in tokens.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// UpstreamRequestMeta is the metadata that the entry adds to a request.
type UpstreamRequestMeta struct {
	// Upstream is the id of the process that must handle the request.
	Upstream string
	// Workspace is the sender's workspace; empty if it is unknown.
	Workspace string
	// Timeout is the time for which the entry waits for the response.
	Timeout time.Duration
	// LastEvent is the id of the event after which a stream resumes; empty for
	// none.
	LastEvent string
}

// ResponseMeta is the metadata in the header of an upstream's response.
type ResponseMeta struct {
	// RequestID identifies the request that the response answers; empty if it is
	// not stated.
	RequestID string
	// Sealed is set if the response bears the upstream's seal, a header field that
	// upstreams set on the responses to requests that they ran.
	Sealed bool
	// NotExecuted is set if the upstream did not run the request, Misdirected if
	// it is not the process that the request named.
	NotExecuted bool
	Misdirected bool
	// Leaving is set if the upstream says that it leaves. RetryAfter is for how long it
	// wants no requests of this entry; zero if the response is no refusal that says so.
	Leaving    bool
	RetryAfter time.Duration
	// Limit is the number of requests a second that the upstream takes from all entries
	// together; nil if it names none. InvalidLimit is set if it names one that can't be
	// read.
	Limit        *float64
	InvalidLimit bool
	// Brittle is set if the upstream says that it falls over once it has to reject more than
	// MaxRejections requests in a second.
	Brittle       bool
	MaxRejections int
}

// Dialect translates between metadata and the header fields of callers and
// upstreams. Implementations are safe for concurrent use.
type Dialect interface {
	// Read returns the metadata of a caller's request.
	Read(h http.Header) RequestMeta
	// SetUpstreamHeaders changes a caller's header into one for an upstream: fields
	// that only the system may set are replaced or removed.
	SetUpstreamHeaders(h http.Header, o UpstreamRequestMeta)
	// ParseResponse returns the metadata of an upstream's response.
	ParseResponse(status int, h http.Header) ResponseMeta
}
