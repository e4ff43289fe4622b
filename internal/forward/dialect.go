package forward

import (
	"net/http"
	"time"
)

// Meta is what a request says of itself in its header.
type Meta struct {
	// Attempt identifies this one attempt of the caller.
	Attempt string
	// Wait is how long the caller waits; zero where it does not say.
	Wait time.Duration
	// Key is the caller's key; empty where it gives none.
	Key string
	// PromptTokens and MaxTokens bound the work; LikelyTokens is the caller's
	// estimate of the answer's length, zero where it gives none.
	PromptTokens int
	MaxTokens    int
	LikelyTokens int
	// Sized says that the request states its tokens.
	Sized bool
	// Parts are those of the prompt in order; requests share the first ones.
	Parts []Part
	// LastEvent is the last event that the caller has of a stream.
	LastEvent string
}

// Part is a part of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// Outgoing is what the entry says of a request to an upstream.
type Outgoing struct {
	// Upstream names the process that is meant.
	Upstream string
	// Workspace is who sends the request; empty where nobody is known.
	Workspace string
	// Wait is how long the answer is waited for.
	Wait time.Duration
	// LastEvent is the last event that is there; empty for none.
	LastEvent string
}

// Answer is what an upstream's answer says of itself.
type Answer struct {
	// Attempt is the request that it answers; empty where it does not say.
	Attempt string
	// Sealed says that it bears the upstream's seal.
	Sealed bool
	// NotRun says that the upstream did not run the request, Misdirected that
	// it is not the process that was meant.
	NotRun      bool
	Misdirected bool
}

// Dialect knows the names that callers and upstreams use in headers.
type Dialect interface {
	// Read reads a caller's header.
	Read(h http.Header) Meta
	// Outgoing turns a caller's header, which it changes, into one for an
	// upstream: names that only the system may set are replaced or removed.
	Outgoing(h http.Header, o Outgoing)
	// Answer reads an upstream's answer.
	Answer(status int, h http.Header) Answer
}
