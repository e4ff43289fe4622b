// Package member decides which daemons are live: each daemon probes a few
// others, asks third ones about those that don't answer, suspects them before
// it declares them dead, and passes news on in the same messages.
//
// The state machine is driven by Tick, Receive, Acked and Failed. The caller
// carries out the requests that they return and reports how each ended, within
// the request's timeout. Messages and bytes of one daemon don't grow with the
// number of daemons.
package member

import (
	"math/bits"
	"time"
)

// Status is what is known of a daemon's life.
type Status uint8

// Statuses, in the order in which one overrides another of the same
// incarnation.
const (
	Alive Status = iota
	Suspect
	Dead
	Left
)

// String gives the status as a word.
func (s Status) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[min(s, Left)]
}

// Live tells whether a daemon of the status counts as running.
func (s Status) Live() bool { return s == Alive || s == Suspect }

// Info is what a daemon says of itself.
type Info struct {
	Region     string
	DataCentre string
	// Peers, Callers and Upstreams are addresses, each IP:port.
	Peers     string
	Callers   string
	Upstreams string
	// Version is the configuration in force.
	Version uint64
	// Load is in thousandths of what the daemon can carry.
	Load    uint32
	Replica bool
	// Leaving says that the daemon drains: it serves, but takes no new callers.
	Leaving bool
}

// State is one daemon as known to another.
type State struct {
	Name string
	// Incarnation orders a daemon's runs, and its refutations within one run.
	Incarnation uint64
	// Beat orders what a daemon says of itself within one incarnation.
	Beat   uint64
	Status Status
	Info   Info
}

// overrides tells whether s is news to whoever knows k.
func (s State) overrides(k State) bool {
	if s.Incarnation != k.Incarnation {
		return s.Incarnation > k.Incarnation
	}
	return s.Status > k.Status && k.Status.Live()
}

// Request is a message that expects a reply.
type Request struct {
	// ID is the sender's, to match the reply.
	ID uint64
	// To is the peers' address to send to.
	To string
	// Timeout bounds the wait for the reply.
	Timeout time.Duration
	// Target names a daemon that the receiver shall probe; empty for itself.
	Target string
	// Join asks for a page of the members whose names come after After.
	Join  bool
	After string
	// Updates begin with the sender's own state.
	Updates []State
}

// Reply answers a request.
type Reply struct {
	// Alive says that the target answered.
	Alive bool
	// Next is where the next page begins; empty at the end of the list.
	Next string
	// Updates begin with the replying daemon's own state.
	Updates []State
}

// Change is news for the daemon's log.
type Change struct {
	State State
	// Before is the status until now; Known is false for a new daemon.
	Before Status
	Known  bool
	// Conflict says that another daemon uses this daemon's name.
	Conflict bool
}

// Options are the detector's times and bounds.
type Options struct {
	// Period is the time between two rounds of probes.
	Period time.Duration
	// Direct bounds a direct probe, Indirect one through another daemon.
	Direct   time.Duration
	Indirect time.Duration
	// Suspicion is how long a suspect may refute.
	Suspicion time.Duration
	// Rejoin is the time between two tries to reach lost seeds and daemons.
	Rejoin time.Duration
	// Forget is how long a dead daemon is remembered.
	Forget time.Duration
	// Relays is how many daemons are asked about one that doesn't answer.
	Relays int
	// Updates is the most states in a message.
	Updates int
	// Page is the most states in the answer to a join.
	Page int
}

// Defaults returns the options of the running system.
func Defaults() Options {
	return Options{
		Period:    500 * time.Millisecond,
		Direct:    200 * time.Millisecond,
		Indirect:  300 * time.Millisecond,
		Suspicion: time.Second,
		Rejoin:    5 * time.Second,
		Forget:    time.Hour,
		Relays:    3,
		Updates:   6,
		Page:      128,
	}
}

// spreadFactor multiplies the logarithm of the fleet's size.
const spreadFactor = 3

// Spread is how often each daemon passes on one piece of news in a fleet of n.
func Spread(n int) int {
	return spreadFactor * bits.Len(uint(n))
}

// DetectBound is the longest time from a daemon's death until another daemon
// of the fleet declares it dead, where that daemon's ring neighbour lives.
func (o Options) DetectBound() time.Duration {
	return o.Period + o.Direct + o.Indirect + o.Suspicion + o.Period
}

// SpreadBound is the time within which all daemons of a fleet of n know, from
// the daemon's death on.
func (o Options) SpreadBound(n int) time.Duration {
	return o.DetectBound() + time.Duration(bits.Len(uint(n)))*o.Period
}
