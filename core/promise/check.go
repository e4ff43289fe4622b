package promise

import (
	"fmt"
	"time"
)

// Promise names one of the product's promises.
type Promise string

// Promises.
const (
	// DispatchOnce: each request is dispatched at most once.
	DispatchOnce Promise = "dispatch_once"
	// TierOrder: no request is shed while one of a lower tier is queued or
	// served in reach.
	TierOrder Promise = "tier_order"
	// OwnAnswer: every caller receives the complete answer to its own request.
	OwnAnswer Promise = "own_answer"
	// NotRun: a request that was refused with "not run" did not run.
	NotRun Promise = "not_run"
	// ExecuteOnce: a non-idempotent request executes at most once.
	ExecuteOnce Promise = "execute_once"
	// LeavingUpstream: a leaving upstream receives no new work.
	LeavingUpstream Promise = "leaving_upstream"
	// Shutdown: a graceful shutdown interrupts no request in flight.
	Shutdown Promise = "graceful_shutdown"
	// Configuration: an accepted configuration is soon in force everywhere and
	// never reverts.
	Configuration Promise = "configuration"
)

// Promises lists all promises in the order of the users' brief.
func Promises() []Promise {
	return []Promise{DispatchOnce, TierOrder, OwnAnswer, NotRun, ExecuteOnce, LeavingUpstream, Shutdown, Configuration}
}

const (
	// leaveWithin is how long a leaving upstream may still receive new work.
	leaveWithin = 3 * time.Second
	// forceWithin is how long an accepted configuration may take to be in force
	// on every daemon that can reach the quorum.
	forceWithin = 5 * time.Second
)

// Violation is one broken promise.
type Violation struct {
	Promise Promise `json:"promise"`
	// Event is where it showed; at the run's end it holds only At and what is
	// missing.
	Event Event  `json:"event"`
	Why   string `json:"why"`
}

// String gives the violation on one line.
func (v Violation) String() string {
	e := v.Event
	return fmt.Sprintf("%s broken at %v by %s of %q (daemon %q, upstream %q): %s", v.Promise, e.At, e.Kind, e.Workspace+"/"+e.Key, e.Daemon, e.Upstream, v.Why)
}

// Options say what the trace covers.
type Options struct {
	// Daemons are up when the run begins; others appear with Started.
	Daemons []string
	// Reach tells whether dispatchers of two regions can ask each other at a
	// time. Nil means that they always can.
	Reach func(at time.Duration, from, to string) bool
	// RegionDelay is how old a queue or grant in another region must be for a
	// dispatcher to know of it.
	RegionDelay time.Duration
	// End is when the run ended; zero means at the last event.
	End time.Duration
	// Partial says that the trace lacks its beginning, so that an answer may
	// belong to a dispatch before it.
	Partial bool
	// Open says that requests were still in flight when the trace ended.
	Open bool
}

// rule checks one promise. It returns why an event breaks the promise, or
// nothing.
type rule interface {
	promise() Promise
	feed(e Event) []string
	finish(end time.Duration) []string
}

// Checker reads events one by one.
//
// Events of several daemons come in the order of one clock, that of the
// recorder: the daemons' own clocks differ, so whoever merges their events
// stamps them as they arrive, or adds each daemon's offset to the recorder's
// clock. Events at one time keep the order in which they were recorded.
type Checker struct {
	opt   Options
	last  time.Duration
	rules []rule
}

// NewChecker returns a checker at the beginning of a run.
func NewChecker(opt Options) *Checker {
	index := newIndex()
	return &Checker{opt: opt, rules: []rule{
		index,
		&tierRule{opt: opt, offers: map[string]offer{}, shed: map[string]bool{}},
		newAnswerRule(opt, index),
		newNotRunRule(index),
		&executeRule{opt: opt, index: index, runs: map[request]int{}},
		&leaveRule{left: map[string]time.Duration{}},
		&shutdownRule{draining: map[string]bool{}, open: map[string]map[request]int{}},
		newConfigRule(opt),
	}}
}

// Feed reads the next event and returns what it breaks.
func (c *Checker) Feed(e Event) []Violation {
	c.last = max(c.last, e.At)
	out := []Violation{}
	for _, r := range c.rules {
		for _, why := range r.feed(e) {
			out = append(out, Violation{Promise: r.promise(), Event: e, Why: why})
		}
	}
	return out
}

// Finish ends the run and returns what was left undone.
func (c *Checker) Finish() []Violation {
	end := max(c.last, c.opt.End)
	out := []Violation{}
	for _, r := range c.rules {
		for _, why := range r.finish(end) {
			out = append(out, Violation{Promise: r.promise(), Event: Event{At: end}, Why: why})
		}
	}
	return out
}

// Check reads a whole run.
func Check(events []Event, opt Options) []Violation {
	c := NewChecker(opt)
	out := []Violation{}
	for _, e := range events {
		out = append(out, c.Feed(e)...)
	}
	return append(out, c.Finish()...)
}
