package rollout

import "time"

// reasonOnlyVersion is the reason of a rollout to the only version that serves a pool.
const reasonOnlyVersion = "no other version serves the pool"

// Params are the settings.
type Params struct {
	// Share is the largest fraction of the requests, in (0, 1), that a version gets until
	// it is trusted; Slack is how many requests it may get beyond that.
	Share float64
	Slack int
	// RollbackTimeout is the time from the 50th bad answer within which no entry sends to
	// the version any more.
	RollbackTimeout time.Duration
}

// Answer is how a request ended at an upstream of the pool. Requests that the upstream did
// not run, or whose caller left, are no answers.
type Answer struct {
	// Route is the hash of the route's name, 0 if unknown.
	Route uint64
	// Target is set if the upstream is of the target version.
	Target bool
	// Upstream is the upstream's ID.
	Upstream string
	// Failed is set for a sealed 5xx, a lost connection, a timeout and an invalid response.
	Failed bool
	// Time is how long the upstream took, Expected how long it was expected to take; 0 if
	// unknown.
	Time     time.Duration
	Expected time.Duration
}

// Fleet is what the leader knows of the pool's upstreams and of the entries.
type Fleet struct {
	// TargetSlots and OldSlots are the usable slots of each version; Load is the number of
	// occupied slots of both.
	TargetSlots int
	OldSlots    int
	Load        int
	// OldRunning is the number of requests in flight on old versions, with orphaned ones.
	OldRunning int
	// EntriesKnown is how many live entries are known to have the phase of the record,
	// EntriesLive is how many entries live.
	EntriesKnown int
	EntriesLive  int
}

// Controller decides at the leader about one running rollout. It is made anew, from the
// record, when leadership changes. It is not safe for concurrent use.
type Controller struct {
	params Params
	record Record
}

// NewController returns a controller that continues from a record. Everything that was
// reserved counts as used.
func NewController(_ time.Duration, p Params, r Record) *Controller {
	return &Controller{params: p, record: r}
}

// SetTerm sets the term of the leader, which must be higher for each later leader. The
// record then accepts no commands of earlier leaders once the controller's first command is
// committed, and the controller uses no reservation before that. Call it before the first
// Tick; without it, the caller must see to it that commands of earlier leaders don't commit.
func (c *Controller) SetTerm(_ uint64) {}

// CountRequest records that a request reached the pool.
func (c *Controller) CountRequest(_ time.Duration) {}

// MayTry reports whether the target may get one more request now.
func (c *Controller) MayTry(_ time.Duration) bool { return false }

// CountTry records that the target gets a request.
func (c *Controller) CountTry(_ time.Duration) {}

// Learn records an answer.
func (c *Controller) Learn(_ time.Duration, _ Answer) {}

// Tick returns what to commit next, and false if there is nothing. Call it at least every
// 100 ms. A command that could not be committed need not be kept: a later Tick returns it
// again.
func (c *Controller) Tick(_ time.Duration, _ Fleet) (Advance, bool) { return Advance{}, false }

// Committed sets the record after a command was committed and applied.
func (c *Controller) Committed(_ time.Duration, r Record) { c.record = r }
