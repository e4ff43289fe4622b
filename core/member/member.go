// Package member implements failure detection and membership dissemination for
// a fleet of daemons, after the SWIM protocol. Each daemon probes a few others,
// directly and then through relays, suspects a daemon that does not answer
// before it declares it dead, and piggybacks state updates on these messages.
// internal/member carries the messages.
//
// Tick, HandleRequest, HandleReply and HandleFailure drive the state machine.
// The caller sends the requests that they return and reports the outcome of
// each within its timeout. The messages and bytes per daemon do not grow with
// the number of daemons.
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

// IsLive reports whether a daemon with the status counts as running.
func (s Status) IsLive() bool { return s == Alive || s == Suspect }

// Info is what a daemon reports about itself.
type Info struct {
	Region     string
	DataCentre string
	// PeerAddress, CallerAddress and UpstreamAddress are the addresses on which
	// the daemon serves them, each IP:port.
	PeerAddress     string
	CallerAddress   string
	UpstreamAddress string
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion uint64
	// LoadPermille is the load in thousandths of the daemon's capacity.
	LoadPermille uint32
	// HasReplica marks a daemon that holds a replica of the control groups.
	HasReplica bool
	// IsLeaving marks a daemon that drains: it still serves but accepts no new
	// callers.
	IsLeaving bool
}

// State is one daemon's state as known to another.
type State struct {
	Name string
	// Incarnation grows with each start of the daemon, each refutation and
	// each change of IsLeaving.
	Incarnation uint64
	// InfoVersion is the version of Info within one incarnation.
	InfoVersion uint64
	Status      Status
	Info        Info
}

// supersedes reports whether s is newer than known by incarnation or, within
// one incarnation, has the higher status. Dead and Left are final.
func (s State) supersedes(known State) bool {
	if s.Incarnation != known.Incarnation {
		return s.Incarnation > known.Incarnation
	}
	return s.Status > known.Status && known.Status.IsLive()
}

// Request is a message that expects a reply.
type Request struct {
	// ID is chosen by the sender to match the reply.
	ID uint64
	// Address is the receiver's peer address.
	Address string
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
	// TargetAlive is set if the target answered.
	TargetAlive bool
	// Next is the After of the next page; empty at the end of the list.
	Next string
	// Updates starts with the replying daemon's own state.
	Updates []State
}

// Event is a membership event for the daemon's log.
type Event struct {
	State State
	// PreviousStatus is the status before the event; Known is false for a
	// daemon that was not in the list.
	PreviousStatus Status
	Known          bool
	// Conflict is set if another daemon uses this daemon's name.
	Conflict bool
}

// Options holds the intervals, timeouts and limits of a Machine.
type Options struct {
	// ProbeInterval is the interval between probe rounds.
	ProbeInterval time.Duration
	// DirectTimeout is the timeout of a direct probe, IndirectTimeout that of
	// one through a relay.
	DirectTimeout   time.Duration
	IndirectTimeout time.Duration
	// SuspicionTimeout is the time a suspect has to refute before it is
	// declared dead.
	SuspicionTimeout time.Duration
	// RejoinInterval is the interval between attempts to reach lost seeds and
	// dead daemons.
	RejoinInterval time.Duration
	// DeadRetention is how long a dead daemon is kept in the list.
	DeadRetention time.Duration
	// MaxRelays is the maximum number of daemons asked to probe one that does
	// not answer.
	MaxRelays int
	// MaxUpdates limits the states in a message.
	MaxUpdates int
	// MaxPageMembers limits the members in the reply to a join.
	MaxPageMembers int
}

// DefaultOptions returns the options that daemons use.
func DefaultOptions() Options {
	return Options{
		ProbeInterval:    500 * time.Millisecond,
		DirectTimeout:    200 * time.Millisecond,
		IndirectTimeout:  300 * time.Millisecond,
		SuspicionTimeout: time.Second,
		RejoinInterval:   5 * time.Second,
		DeadRetention:    time.Hour,
		MaxRelays:        3,
		MaxUpdates:       6,
		MaxPageMembers:   128,
	}
}

// retransmitMultiplier scales the logarithm of the fleet's size.
const retransmitMultiplier = 3

// TransmitLimit returns how often each daemon of a fleet of n sends one update.
func TransmitLimit(n int) int {
	return retransmitMultiplier * bits.Len(uint(n))
}

// MaxDetectionTime returns the maximum time from a daemon's death until another
// daemon declares it dead, if the dead daemon's ring neighbour is live.
func (o Options) MaxDetectionTime() time.Duration {
	return o.ProbeInterval + o.DirectTimeout + o.IndirectTimeout + o.SuspicionTimeout + o.ProbeInterval
}

// MaxDisseminationTime returns the time from a daemon's death within which all
// daemons of a fleet of n know of it.
func (o Options) MaxDisseminationTime(n int) time.Duration {
	return o.MaxDetectionTime() + time.Duration(bits.Len(uint(n)))*o.ProbeInterval
}
