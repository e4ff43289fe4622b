// Package upstream defines the messages between daemons and upstreams: JSON over
// HTTP, documented in docs/UPSTREAMS.md. Upstreams announce themselves to daemons;
// daemons start and resume streams on runners and send them orders.
package upstream

import "encoding/json"

// Paths on a daemon's upstreams' address.
const (
	// PathAnnounce takes an Announcement by POST and returns a Renewal.
	PathAnnounce = "/upstream/v1/announce"
)

// Paths on a runner's address.
const (
	// PathStreams takes a Start by POST; PathStreams + "/" + stream is resumed
	// by GET with an offset and canceled by DELETE.
	PathStreams = "/engine/v1/streams"
	// PathOrders takes an Order by POST.
	PathOrders = "/engine/v1/orders"
	// SuffixExport below a stream's path returns the stream with its KV cache as
	// an Export by POST; the stream then ends on this runner.
	SuffixExport = "/export"
	// PathImports takes an Export by POST and continues its stream.
	PathImports = "/engine/v1/imports"
)

// HeartbeatMS is the maximum interval between two lines of a stream, in
// milliseconds. An engine that has no frame to send sends an empty line.
const HeartbeatMS = 500

// HeaderRequest is the request header that carries the stream identifier to a
// service.
const HeaderRequest = "Verbenastep-Request"

// Kind is the kind of an upstream.
type Kind string

// Kinds of upstreams.
const (
	// Runner generates tokens.
	Runner Kind = "runner"
	// PlainService is a service that answers calls and generates no tokens.
	PlainService Kind = "service"
)

// Announcement registers an upstream with a daemon. The upstream sends one at its
// start and another before each lease ends.
type Announcement struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Pool is the name of the model or service.
	Pool       string `json:"pool"`
	Address    string `json:"address"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// Incarnation increases with each start, for example the start time in Unix
	// nanoseconds.
	Incarnation uint64 `json:"incarnation"`
	// Slots is the maximum number of concurrent requests.
	Slots int `json:"slots"`
	// Version is the loaded version of the model.
	Version string `json:"version,omitempty"`
	// Leaving asks daemons to send no new requests; running streams continue.
	Leaving bool `json:"leaving,omitempty"`
	// Running is the number of running requests AgeMS milliseconds ago.
	Running int   `json:"running,omitempty"`
	AgeMS   int64 `json:"age_ms,omitempty"`
	// Events are the cache events since the previous announcement.
	Events []CacheEvent `json:"events,omitempty"`
}

// CacheEvent reports prompt blocks that were cached or evicted.
type CacheEvent struct {
	// Sequence increases by one with each event, so that lost events are detected.
	Sequence uint64   `json:"sequence"`
	Evicted  bool     `json:"evicted,omitempty"`
	Blocks   []uint64 `json:"blocks"`
}

// Renewal answers an announcement.
type Renewal struct {
	// LeaseMS is how long the announcement remains valid, in milliseconds.
	LeaseMS int64 `json:"lease_ms"`
	// RenewMS is the delay until the next announcement is due, in milliseconds.
	RenewMS int64 `json:"renew_ms"`
	// Addresses are the upstreams' addresses of all daemons. The upstream announces
	// itself to another one of them if this daemon doesn't answer.
	Addresses []string `json:"addresses"`
}

// Start is a request to start a stream.
type Start struct {
	// Stream identifies the stream; a runner starts it at most once.
	Stream string `json:"stream"`
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	// MaxTokens is the maximum number of output tokens.
	MaxTokens int `json:"max_tokens"`
	// Blocks are the hashes of the prompt's leading blocks.
	Blocks []uint64 `json:"blocks,omitempty"`
	// Options are the caller's sampling options, passed on unchanged.
	Options map[string]json.RawMessage `json:"options,omitempty"`
}

// Frame is one line of a stream.
type Frame struct {
	Stream string `json:"stream"`
	// Offset is the position of Text in the answer, in bytes.
	Offset int64  `json:"offset"`
	Text   string `json:"text,omitempty"`
	// Tokens is the number of tokens in Text.
	Tokens int `json:"tokens,omitempty"`
	// PromptTokens and CachedTokens are set in the first frame.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	CachedTokens int `json:"cached_tokens,omitempty"`
	// End marks the last frame; Finish is the reason why the answer ended.
	End    bool   `json:"end,omitempty"`
	Finish string `json:"finish,omitempty"`
	// Error describes the failure that ended the stream.
	Error string `json:"error,omitempty"`
	// Leaving asks the daemon to move the stream to another runner, because this
	// one is leaving.
	Leaving bool `json:"leaving,omitempty"`
}

// Action is the action that an order asks for.
type Action string

// Actions.
const (
	// Load loads a model, adapter or version; Unload unloads it.
	Load   Action = "load"
	Unload Action = "unload"
	// Role changes the runner's role, for example to prefill or decode only.
	Role Action = "role"
)

// Order asks a runner to load or unload a model, adapter or version, or to change
// its role.
type Order struct {
	// Fence is the epoch of the order's sender. A runner that checks it refuses an
	// order below the highest epoch that it has seen, with status 409.
	Fence  uint64 `json:"fence"`
	Action Action `json:"action"`
	// Target is a model, adapter or role; Version is the version of a model.
	Target  string `json:"target"`
	Version string `json:"version,omitempty"`
}

// OrderReply is the answer to an Order.
type OrderReply struct {
	// Fence is the highest epoch that the runner has seen; zero if it doesn't check
	// fences.
	Fence uint64 `json:"fence"`
	// Done means that the order is complete. Otherwise it is in progress, and
	// sending the same order again queries its progress.
	Done bool `json:"done"`
}

// Export is a stream with its KV cache, to be imported by another runner.
type Export struct {
	Start Start `json:"start"`
	// Offset is the position in the answer, in bytes, at which the stream continues;
	// Tokens is the number of output tokens before it.
	Offset int64 `json:"offset"`
	Tokens int   `json:"tokens"`
	// PromptTokens is the number of prompt tokens already processed.
	PromptTokens int `json:"prompt_tokens"`
	// KV is the KV cache; daemons don't interpret it.
	KV []byte `json:"kv"`
}
