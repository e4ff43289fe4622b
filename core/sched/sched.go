// Package sched implements the scheduling policy of one pool (a model or
// service in one region): which queued request is granted to which upstream,
// and which request is refused.
//
// Package dispatch drives a Dispatcher with offers, releases and upstream
// announcements; benchmarks and simulations drive it directly. The package does
// no I/O and reads no clock: times are durations on the caller's monotonic
// clock, and decisions are returned by Decide. A Dispatcher is not safe for
// concurrent use.
//
// Invariants: one dispatcher grants a request at most once; an upstream never
// holds more grants than slots; no request is refused for overload while one of
// a lower tier is queued or in service.
package sched

import (
	"time"

	"github.com/verbenastep/verbenastep/core/limits"
	"github.com/verbenastep/verbenastep/core/quarantine"
)

// ID identifies a request by the entry that offered it and the number that the
// entry gave it.
type ID struct {
	Entry  string
	Number uint64
}

// Offer describes a request that an entry offers for scheduling.
type Offer struct {
	ID        ID
	Workspace string
	// Tier is the index in the declared order; 0 is the highest.
	Tier int
	// Weight is the workspace's fair-share weight within its tier, at least 1.
	Weight int
	// Operation is a service's declared operation; empty for a model.
	Operation string
	// PromptTokens and MaxTokens bound the work, in tokens.
	PromptTokens int
	MaxTokens    int
	// Blocks are hashes of the prompt's leading blocks, each computed over the
	// block and all before it.
	Blocks []uint64
	// Deadline is when the caller stops waiting for the complete answer.
	Deadline time.Duration
	// Fingerprint identifies the content for quarantine; zero means unknown.
	Fingerprint uint64
	// RunningOn names the upstream of a request that an earlier dispatcher
	// granted. Such an offer occupies a slot there and is not granted again.
	RunningOn string
	// Limits are the workspace's limits, enforced by this dispatcher.
	Limits limits.Limits
	// Admitted reports whether an earlier session already offered the request;
	// the workspace's limits are then not applied again.
	Admitted bool
	// SpilledFrom names the region that spilled the request to this one; empty
	// where it was offered here first.
	SpilledFrom string
	// Final reports whether the other regions refused the request, so that it
	// is not spilled again.
	Final bool
}

// Upstream is the announcement of an upstream.
type Upstream struct {
	Name       string
	Address    string
	Region     string
	DataCentre string
	// Incarnation increases with each start of the upstream's process.
	Incarnation uint64
	// Slots is the maximum number of concurrent requests.
	Slots int
	// Lease is how long the announcement is valid without renewal.
	Lease   time.Duration
	Version string
	// Load is the upstream's own load report, which may be stale.
	Load Load
	// Events are the cache events since the last announcement.
	Events []CacheEvent
}

// Load is an upstream's report of the requests it runs, and the report's age
// when it was sent.
type Load struct {
	Running int
	Age     time.Duration
}

// CacheEvent is one event in the numbered sequence that an engine publishes
// about its prefix cache. Events may arrive late or be missing.
type CacheEvent struct {
	Sequence uint64
	Evicted  bool
	Blocks   []uint64
}

// Outcome tells how a granted request ended.
type Outcome uint8

// Outcomes of a granted request.
const (
	// Completed means that the complete answer arrived.
	Completed Outcome = iota + 1
	// NotSent means that nothing was sent to the upstream.
	NotSent
	// Canceled means that the caller canceled the request or disconnected.
	Canceled
	// ConnectionLost means that the upstream failed, or the connection to it
	// broke, while it ran the request.
	ConnectionLost
)

// Release ends a grant and reports what was measured.
type Release struct {
	ID      ID
	Outcome Outcome
	// Prefill is the time from dispatch to the first token, Decode that from
	// the first token to the last.
	Prefill time.Duration
	Decode  time.Duration
	// OutputTokens is the number of generated tokens, CachedTokens that of
	// prompt tokens served from the prefix cache.
	OutputTokens int
	CachedTokens int
}

// Grant assigns a request to an upstream.
type Grant struct {
	ID          ID
	Workspace   string
	Tier        int
	Waited      time.Duration
	Upstream    string
	Address     string
	Incarnation uint64
	// Version is the upstream's version of the model; empty if it states none.
	Version     string
	Explanation Explanation
}

// Code classifies a refusal. A refused request was never run.
type Code string

// Refusal codes.
const (
	// Overloaded means that capacity is short and that no lower tier is left to
	// shed.
	Overloaded Code = "overloaded"
	// Spill means that this region would shed the request: the entry asks the
	// other regions before it offers the request here again as final.
	Spill Code = "spill"
	// DeadlineUnreachable means that the answer can no longer arrive before the
	// deadline.
	DeadlineUnreachable Code = "deadline_unreachable"
	// NoUpstream means that no upstream serves the pool.
	NoUpstream Code = "no_upstream"
	// LimitExceeded means that the workspace has used up a declared limit.
	LimitExceeded Code = "limit_exceeded"
	// Quarantined means that the content was in flight at repeated crashes of
	// upstreams.
	Quarantined Code = "quarantined"
)

// Refusal is the final decision on a request that was not run.
type Refusal struct {
	ID        ID
	Code      Code
	Workspace string
	Tier      int
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
	Reason     string
}

// Decisions are the results of one call of Decide, each list in the order in
// which it was decided.
type Decisions struct {
	Grants   []Grant
	Refusals []Refusal
	// Ended lists all requests that left the queue or their slot since the
	// previous round for any reason, including this round's refusals.
	Ended []Ended
	// Suspects are crash counts to share with the other dispatchers.
	Suspects []quarantine.Change
	// LostUpstreams names the upstreams whose lease expired.
	LostUpstreams []string
}
