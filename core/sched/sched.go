// Package sched decides for one pool, a model or service in one region, which
// queued request goes to which upstream and which is refused.
//
// The dispatcher is pure: time comes in as a duration on the caller's
// monotonic clock and decisions come out of Decide. It is not safe for
// concurrent use. Invariants: a request is granted at most once by one
// dispatcher; an upstream never holds more grants than slots; no request is
// refused for overload while one of a lower tier is queued or in service.
package sched

import (
	"time"

	"github.com/verbenastep/verbenastep/core/limits"
	"github.com/verbenastep/verbenastep/core/quarantine"
)

// ID names a request: the entry that offered it and the entry's own number.
type ID struct {
	Entry  string
	Number uint64
}

// Offer is a request that waits for an upstream.
type Offer struct {
	ID        ID
	Workspace string
	// Tier is the position in the declared order; 0 is the highest.
	Tier int
	// Weight is the workspace's share within its tier, at least 1.
	Weight int
	// Operation is a service's declared operation; empty for a model.
	Operation string
	// PromptTokens and MaxTokens bound the work, in tokens.
	PromptTokens int
	MaxTokens    int
	// Blocks are hashes of the prompt's leading blocks, each over all before.
	Blocks []uint64
	// Deadline is when the caller stops waiting for the whole answer.
	Deadline time.Duration
	// Fingerprint identifies the content, for requests that crash upstreams.
	Fingerprint uint64
	// Running names the upstream of a request that an earlier dispatcher
	// granted; such an offer takes its slot and is never granted again.
	Running string
	// Limits are the workspace's, as this dispatcher enforces them.
	Limits limits.Limits
	// Admitted says that an earlier session offered the request already, so
	// that the workspace's limits do not refuse it now.
	Admitted bool
	// Spilled names the region that passed the offer on; empty for the first.
	Spilled string
	// Final says that the other regions refused the request; it is not passed
	// on again.
	Final bool
}

// Upstream is what an upstream announced of itself.
type Upstream struct {
	Name       string
	Address    string
	Region     string
	DataCentre string
	// Incarnation grows with each start of the upstream's process.
	Incarnation uint64
	// Slots is the most requests it takes at once.
	Slots int
	// Lease is how long the announcement holds without renewal.
	Lease   time.Duration
	Version string
	// Load is the upstream's own report, which may be stale.
	Load Load
	// Events are the cache events since the last announcement.
	Events []CacheEvent
}

// Load is an upstream's report of its own state, Age old when it was sent.
type Load struct {
	Running int
	Age     time.Duration
}

// CacheEvent is one of a numbered sequence that an engine publishes, late and
// with gaps.
type CacheEvent struct {
	Sequence uint64
	Evicted  bool
	Blocks   []uint64
}

// Outcome says how a granted request ended.
type Outcome uint8

// Outcomes.
const (
	// Done says that the whole answer arrived.
	Done Outcome = iota + 1
	// NotSent says that nothing was sent to the upstream.
	NotSent
	// Canceled says that the caller went away.
	Canceled
	// Broken says that the upstream failed while it ran the request.
	Broken
)

// Release ends a grant and tells what was observed.
type Release struct {
	ID      ID
	Outcome Outcome
	// Prefill is the time from dispatch to the first token, Decode from there
	// to the last.
	Prefill time.Duration
	Decode  time.Duration
	// OutputTokens were generated; CachedTokens of the prompt were not computed.
	OutputTokens int
	CachedTokens int
}

// Grant sends a request to an upstream.
type Grant struct {
	ID          ID
	Workspace   string
	Tier        int
	Waited      time.Duration
	Upstream    string
	Address     string
	Incarnation uint64
	Why         Explanation
}

// Code says why a request is refused. Each means that it did not run.
type Code string

// Codes.
const (
	// Overload says that lower tiers were shed before and capacity is short.
	Overload Code = "overloaded"
	// Spill says that this region would shed the request: the entry is to ask
	// the other regions before it is offered here again as final.
	Spill Code = "spill"
	// TooLate says that the answer can no longer arrive before the deadline.
	TooLate Code = "deadline_unreachable"
	// NoUpstream says that no upstream serves the pool.
	NoUpstream Code = "no_upstream"
	// Limited says that the workspace used up a declared limit.
	Limited Code = "limit_exceeded"
	// Quarantined says that the request was present at upstreams' crashes.
	Quarantined Code = "quarantined"
)

// Refusal is the final answer to a request that did not run.
type Refusal struct {
	ID        ID
	Code      Code
	Workspace string
	Tier      int
	// RetryAfter is when the caller may come back.
	RetryAfter time.Duration
	Why        string
}

// Decisions are what Decide settled, in order.
type Decisions struct {
	Grants   []Grant
	Refusals []Refusal
	// Ended are all requests that left the queue or their slot since the round
	// before, for whatever cause, this round's refusals included.
	Ended []Ended
	// Suspects are crash counts to share with the other dispatchers.
	Suspects []quarantine.Change
	// Lost names the upstreams whose lease ended.
	Lost []string
}
