// Package member implements failure detection and membership dissemination for
// a fleet of daemons, after the SWIM protocol. Each daemon probes a few others,
// directly and then through relays, suspects a daemon that does not answer
// before it declares it dead, and piggybacks state updates on these messages.
// internal/member carries the messages.
//
// Tick, Receive, Acked and Failed drive the state machine. The caller sends the
// requests that they return and reports the outcome of each within its timeout.
// The messages and bytes per daemon do not grow with the number of daemons.
package member

import (
	"math/bits"
	"time"
)

// Status is the liveness of a daemon as seen by another.
type Status uint8

// Statuses, in ascending precedence within one incarnation.
const (
	Alive Status = iota
	Suspect
	Dead
	Left
)

// String returns the status in lower case.
func (s Status) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[min(s, Left)]
}

// Live reports whether a daemon with the status counts as running.
func (s Status) Live() bool { return s == Alive || s == Suspect }

// Info is what a daemon reports about itself.
type Info struct {
	Region     string
	DataCentre string
	// Peers, Callers and Upstreams are the addresses on which the daemon serves
	// them, each IP:port.
	Peers     string
	Callers   string
	Upstreams string
	// Version is the version of the configuration in force.
	Version uint64
	// Load is in thousandths of the daemon's capacity.
	Load uint32
	// Replica marks a daemon that holds a replica of the control groups.
	Replica bool
	// Leaving marks a daemon that drains: it still serves but accepts no new
	// callers.
	Leaving bool
}

// State is one daemon's state as known to another.
type State struct {
	Name string
	// Incarnation grows with each start of the daemon, each refutation and
	// each change of Leaving.
	Incarnation uint64
	// Beat is the version of Info within one incarnation.
	Beat   uint64
	Status Status
	Info   Info
}

// supersedes reports whether s is newer than known by incarnation or, within
// one incarnation, has the higher status. Dead and Left are final.
func (s State) supersedes(known State) bool {
	if s.Incarnation != known.Incarnation {
		return s.Incarnation > known.Incarnation
	}
	return s.Status > known.Status && known.Status.Live()
}

// Request is a message that expects a reply.
type Request struct {
	// ID is chosen by the sender to match the reply.
	ID uint64
	// To is the receiver's peer address.
	To string
	// Timeout limits the wait for the reply.
	Timeout time.Duration
	// Target names the daemon that the receiver must probe; empty for the
	// receiver itself.
	Target string
	// Join requests a page of the members whose names sort after After.
	Join  bool
	After string
	// Updates starts with the sender's own state.
	Updates []State
}

// Reply answers a request.
type Reply struct {
	// Alive is set if the target answered.
	Alive bool
	// Next is the After of the next page; empty at the end of the list.
	Next string
	// Updates starts with the replying daemon's own state.
	Updates []State
}

// Change is an event for the daemon's log.
type Change struct {
	State State
	// Before is the previous status; Known is false for a new daemon.
	Before Status
	Known  bool
	// Conflict is set if another daemon uses this daemon's name.
	Conflict bool
}

// Options holds the intervals, timeouts and limits of a Machine.
type Options struct {
	// Period is the interval between probe rounds.
	Period time.Duration
	// Direct is the timeout of a direct probe, Indirect of one through a relay.
	Direct   time.Duration
	Indirect time.Duration
	// Suspicion is the time a suspect has to refute before it is declared dead.
	Suspicion time.Duration
	// Rejoin is the interval between attempts to reach lost seeds and dead
	// daemons.
	Rejoin time.Duration
	// Forget is how long a dead daemon is kept in the list.
	Forget time.Duration
	// Relays is the number of daemons asked to probe one that does not answer.
	Relays int
	// Updates limits the states in a message.
	Updates int
	// Page limits the members in the reply to a join.
	Page int
}

// Defaults returns the options that daemons use.
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

// retransmitMultiplier scales the logarithm of the fleet's size.
const retransmitMultiplier = 3

// Spread returns how often each daemon of a fleet of n sends one update.
func Spread(n int) int {
	return retransmitMultiplier * bits.Len(uint(n))
}

// DetectBound returns the maximum time from a daemon's death until another
// daemon declares it dead, if the dead daemon's ring neighbour is live.
func (o Options) DetectBound() time.Duration {
	return o.Period + o.Direct + o.Indirect + o.Suspicion + o.Period
}

// SpreadBound returns the time from a daemon's death within which all daemons
// of a fleet of n know of it.
func (o Options) SpreadBound(n int) time.Duration {
	return o.DetectBound() + time.Duration(bits.Len(uint(n)))*o.Period
}
