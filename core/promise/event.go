// Package promise defines the events of a run and checks the product's
// promises against them.
package promise

import "time"

// Kind is what happened.
type Kind string

// Kinds, in the order in which a request meets them.
const (
	// Accept: an entry took a request from a caller.
	Accept Kind = "accept"
	// Queue: a dispatcher queued an offer.
	Queue Kind = "queue"
	// Grant: a dispatcher gave a request an upstream's slot.
	Grant Kind = "grant"
	// Claim: the log committed that a request is dispatched.
	Claim Kind = "claim"
	// Dispatch: an entry sends the first byte to an upstream.
	Dispatch Kind = "dispatch"
	// Execute: an upstream began to execute a request.
	Execute Kind = "execute"
	// Release: a granted slot is free again, or a queued offer was withdrawn.
	Release Kind = "release"
	// Shed: a dispatcher refused a request for overload.
	Shed Kind = "shed"
	// Refuse: an entry told a caller that its request ended in an error.
	Refuse Kind = "refuse"
	// Answer: a caller received the end of its answer.
	Answer Kind = "answer"
	// Accepted: the log committed a configuration.
	Accepted Kind = "accepted"
	// InForce: a daemon put a configuration into force.
	InForce Kind = "in_force"
	// Leave: an upstream left or its lease ended.
	Leave Kind = "leave"
	// Drain: a daemon began a graceful shutdown.
	Drain Kind = "drain"
	// Stopped: a daemon's graceful shutdown ended.
	Stopped Kind = "stopped"
	// Started: a daemon serves.
	Started Kind = "started"
	// Crashed: a daemon died without a graceful shutdown; whoever made it die
	// records this in the daemon's name.
	Crashed Kind = "crashed"
	// Cut: a daemon lost touch with the quorum, Healed: it has it again.
	Cut    Kind = "cut"
	Healed Kind = "healed"
	// Join: an upstream announced itself, at first or again after a Leave.
	Join Kind = "join"
)

// Event is one thing that happened. Fields that a kind doesn't need are zero.
type Event struct {
	// At is the time since the run began, on the recorder's clock.
	At   time.Duration `json:"at"`
	Kind Kind          `json:"kind"`
	// Daemon is who recorded the event.
	Daemon    string `json:"daemon,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	// Key is the request's key, the caller's or one issued; Stream is one
	// dispatch of it.
	Key    string `json:"key,omitempty"`
	Stream string `json:"stream,omitempty"`
	// Offer identifies an offer to a dispatcher, as entry/number.
	Offer string `json:"offer,omitempty"`
	Pool  string `json:"pool,omitempty"`
	// Region is the dispatcher's.
	Region   string `json:"region,omitempty"`
	Upstream string `json:"upstream,omitempty"`
	// Tier is the position in the declared order; 0 is the highest.
	Tier int `json:"tier,omitempty"`
	// Once says that the request must not execute twice.
	Once bool `json:"once,omitempty"`
	// Code is the refusal's kind, Ran its statement on whether it ran.
	Code string `json:"code,omitempty"`
	Ran  string `json:"ran,omitempty"`
	// Whole says that an answer had its explicit end; Sent and Got are hashes
	// of the answer as the upstream gave it and as the caller received it.
	Whole bool   `json:"whole,omitempty"`
	Sent  string `json:"sent,omitempty"`
	Got   string `json:"got,omitempty"`
	// Version is a configuration's; Digest is a configuration's content, or on
	// Accept and Refuse the request's.
	Version uint64 `json:"version,omitempty"`
	Digest  string `json:"digest,omitempty"`
	// Epoch is a lease's.
	Epoch uint64 `json:"epoch,omitempty"`
}
