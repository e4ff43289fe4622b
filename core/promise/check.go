package promise

import (
	"fmt"
	"time"
)

// Promise identifies a guarantee of the product.
type Promise string

// The product's promises.
const (
	// DispatchOnce: each request is dispatched at most once.
	DispatchOnce Promise = "dispatch_once"
	// TierOrder: no request is shed while one of a lower tier is queued or in
	// service at a dispatcher that can be reached.
	TierOrder Promise = "tier_order"
	// OwnAnswer: every caller receives the complete answer to its own request.
	OwnAnswer Promise = "own_answer"
	// NotRun: a request refused with "not run" did not run.
	NotRun Promise = "not_run"
	// ExecuteOnce: a non-idempotent request executes at most once.
	ExecuteOnce Promise = "execute_once"
	// LeavingUpstream: a leaving upstream receives no new work.
	LeavingUpstream Promise = "leaving_upstream"
	// Shutdown: a graceful shutdown interrupts no request in flight.
	Shutdown Promise = "graceful_shutdown"
	// Configuration: an accepted configuration is in force on every daemon
	// within activationTimeout and never reverts.
	Configuration Promise = "configuration"
)

// Promises returns all promises in the order of the product's requirements.
func Promises() []Promise {
	return []Promise{DispatchOnce, TierOrder, OwnAnswer, NotRun, ExecuteOnce, LeavingUpstream, Shutdown, Configuration}
}

const (
	// drainTimeout is the time within which an upstream that announced its
	// leave must stop receiving new requests.
	drainTimeout = 3 * time.Second
	// activationTimeout is the time within which an accepted configuration must
	// be in force on every daemon that can reach the quorum.
	activationTimeout = 5 * time.Second
)

// Violation is one broken promise.
type Violation struct {
	Promise Promise `json:"promise"`
	// Event is the event that broke the promise. For a violation found at the
	// end of the run only its At is set.
	Event  Event  `json:"event"`
	Reason string `json:"why"`
}

// String returns the violation on one line.
func (v Violation) String() string {
	e := v.Event
	return fmt.Sprintf("%s broken at %v by %s of %q (daemon %q, upstream %q): %s", v.Promise, e.At, e.Kind, e.Workspace+"/"+e.Key, e.Daemon, e.Upstream, v.Reason)
}

// Options describes the run that a trace was recorded from.
type Options struct {
	// Daemons lists the daemons that are up when the run begins; others appear
	// with a Started event.
	Daemons []string
	// CanReach reports whether the dispatchers of two regions can reach each
	// other at a time. Nil means that they always can.
	CanReach func(at time.Duration, from, to string) bool
	// RegionDelay is the age from which a dispatcher is expected to know of a
	// Queue or Grant event in another region.
	RegionDelay time.Duration
	// End is the time when the run ended; zero means the last event's.
	End time.Duration
	// Partial is set if the trace lacks its beginning, so that an answer may
	// belong to a dispatch that was not recorded.
	Partial bool
	// InFlightAtEnd is set if requests were still in flight when the trace
	// ended.
	InFlightAtEnd bool
}

// rule checks one promise.
type rule interface {
	promise() Promise
	// observe and finish return the reasons of the violations that an event or
	// the end of the run reveals; none if there are none.
	observe(e Event) []string
	finish(end time.Duration) []string
}

// Checker checks the events of a run one by one. It is not safe for concurrent
// use.
//
// Events must be ordered by one clock, that of the recorder. The daemons' own
// clocks differ, so the recorder timestamps events on arrival or corrects them
// by each daemon's clock offset. Events with equal times keep the order in
// which they were recorded.
type Checker struct {
	options   Options
	lastEvent time.Duration
	rules     []rule
}

// NewChecker returns a checker for a new run.
func NewChecker(options Options) *Checker {
	dispatches := newDispatchRule()
	return &Checker{options: options, rules: []rule{
		dispatches,
		&tierRule{options: options, offers: map[string]offer{}, shed: map[string]bool{}},
		newAnswerRule(options, dispatches),
		newNotRunRule(dispatches),
		&executeRule{options: options, dispatches: dispatches, executions: map[request]int{}},
		&drainRule{leftAt: map[string]time.Duration{}},
		&shutdownRule{draining: map[string]bool{}, inFlight: map[string]map[request]int{}},
		newConfigRule(options),
	}}
}

// Observe checks the next event and returns the violations that it reveals.
func (c *Checker) Observe(e Event) []Violation {
	c.lastEvent = max(c.lastEvent, e.At)
	out := []Violation{}
	for _, r := range c.rules {
		for _, reason := range r.observe(e) {
			out = append(out, Violation{Promise: r.promise(), Event: e, Reason: reason})
		}
	}
	return out
}

// Finish ends the run and returns the violations that consist in a missing
// event, such as a request without an answer.
func (c *Checker) Finish() []Violation {
	end := max(c.lastEvent, c.options.End)
	out := []Violation{}
	for _, r := range c.rules {
		for _, reason := range r.finish(end) {
			out = append(out, Violation{Promise: r.promise(), Event: Event{At: end}, Reason: reason})
		}
	}
	return out
}

// Check returns all violations in a complete run.
func Check(events []Event, options Options) []Violation {
	c := NewChecker(options)
	out := []Violation{}
	for _, e := range events {
		out = append(out, c.Observe(e)...)
	}
	return append(out, c.Finish()...)
}
