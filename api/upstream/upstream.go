// Package upstream defines the messages between daemons and upstreams: JSON
// over HTTP, documented in docs/UPSTREAMS.md.
package upstream

import "encoding/json"

// Paths on a daemon's upstreams' address.
const (
	// PathAnnounce takes an Announcement and answers with a Renewal.
	PathAnnounce = "/upstream/v1/announce"
)

// Paths on a runner's address.
const (
	// PathStreams takes a Start by POST; PathStreams + "/" + stream is resumed
	// by GET with an offset and canceled by DELETE.
	PathStreams = "/engine/v1/streams"
	// PathOrders takes an Order by POST.
	PathOrders = "/engine/v1/orders"
	// SuffixExport below a stream's path hands out its KV cache by POST, as an
	// Export; the stream ends there.
	SuffixExport = "/export"
	// PathImports takes an Export by POST and goes on with its stream.
	PathImports = "/engine/v1/imports"
)

// HeartbeatMS is the longest pause between two lines of a stream, in
// milliseconds: an engine that has no frame sends an empty line.
const HeartbeatMS = 500

// HeaderRequest carries the request's stream identifier to plain services.
const HeaderRequest = "Verbenastep-Request"

// Kind of upstream.
type Kind string

// Kinds.
const (
	// Runner generates tokens.
	Runner Kind = "runner"
	// Plain is a plain service.
	Plain Kind = "service"
)

// Announcement is sent at start and before each lease ends.
type Announcement struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Pool is the model's or service's name.
	Pool       string `json:"pool"`
	Address    string `json:"address"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// Incarnation grows with each start, for instance Unix nanoseconds.
	Incarnation uint64 `json:"incarnation"`
	// Slots is the most requests it takes at once.
	Slots int `json:"slots"`
	// Version is the loaded version of the model.
	Version string `json:"version,omitempty"`
	// Leaving ends new work at once; running streams go on.
	Leaving bool `json:"leaving,omitempty"`
	// Running is how many requests it had AgeMS milliseconds ago.
	Running int   `json:"running,omitempty"`
	AgeMS   int64 `json:"age_ms,omitempty"`
	// Events are cache events since the last announcement.
	Events []CacheEvent `json:"events,omitempty"`
}

// CacheEvent says that prompt blocks were cached or evicted.
type CacheEvent struct {
	// Sequence grows by one an event.
	Sequence uint64   `json:"sequence"`
	Evicted  bool     `json:"evicted,omitempty"`
	Blocks   []uint64 `json:"blocks"`
}

// Renewal answers an announcement.
type Renewal struct {
	// LeaseMS is how long the announcement holds, in milliseconds.
	LeaseMS int64 `json:"lease_ms"`
	// RenewMS is when to announce again, in milliseconds.
	RenewMS int64 `json:"renew_ms"`
	// Addresses are all daemons' upstreams' addresses, to announce to when
	// this one doesn't answer.
	Addresses []string `json:"addresses"`
}

// Start begins a stream.
type Start struct {
	// Stream identifies the stream; a runner starts it at most once.
	Stream string `json:"stream"`
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	// MaxTokens bounds the output.
	MaxTokens int `json:"max_tokens"`
	// Blocks are the hashes of the prompt's leading blocks.
	Blocks []uint64 `json:"blocks,omitempty"`
	// Options are the caller's sampling options, passed on as they came.
	Options map[string]json.RawMessage `json:"options,omitempty"`
}

// Frame is one line of a stream.
type Frame struct {
	Stream string `json:"stream"`
	// Offset is the position of Text in the answer, in bytes.
	Offset int64  `json:"offset"`
	Text   string `json:"text,omitempty"`
	// Tokens is how many tokens Text holds.
	Tokens int `json:"tokens,omitempty"`
	// PromptTokens and CachedTokens are given in the first frame.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	CachedTokens int `json:"cached_tokens,omitempty"`
	// End marks the last frame; Finish says why it ended.
	End    bool   `json:"end,omitempty"`
	Finish string `json:"finish,omitempty"`
	// Error ends the stream with a failure.
	Error string `json:"error,omitempty"`
	// Leaving asks the daemon to move the stream to another runner.
	Leaving bool `json:"leaving,omitempty"`
}

// Action is what an order asks for.
type Action string

// Actions.
const (
	// Load loads a model, adapter or version; Unload drops it.
	Load   Action = "load"
	Unload Action = "unload"
	// Role changes what the runner does, for instance prefill or decode only.
	Role Action = "role"
)

// Order asks a runner to load or unload something or to change role.
type Order struct {
	// Fence is the epoch of who gives the order; a runner that checks it
	// refuses one below the highest it has seen, with status 409.
	Fence  uint64 `json:"fence"`
	Action Action `json:"action"`
	// Target is a model, an adapter or a role; Version is a model's.
	Target  string `json:"target"`
	Version string `json:"version,omitempty"`
}

// OrderReply answers an order.
type OrderReply struct {
	// Fence is the highest that the runner has seen; zero where it ignores it.
	Fence uint64 `json:"fence"`
	// Done says that the order is carried out; otherwise it is under way, and
	// the same order sent again asks for its progress.
	Done bool `json:"done"`
}

// Export is a stream with its KV cache, to be imported by another runner.
type Export struct {
	Start Start `json:"start"`
	// Offset is the position in the answer, in bytes, at which it goes on, and
	// Tokens how many output tokens lie before it.
	Offset int64 `json:"offset"`
	Tokens int   `json:"tokens"`
	// PromptTokens were processed already.
	PromptTokens int `json:"prompt_tokens"`
	// KV is the cache, opaque to daemons.
	KV []byte `json:"kv"`
}
