// Package promise defines the events recorded during a run and checks the
// product's promises against them. Tests and the verification tools use it.
package promise

import "time"

// Kind is the type of an event.
type Kind string

// Kinds of events: first those of a request in their usual order, then those of
// configurations, daemons and upstreams.
const (
	// Accept: an entry accepted a request from a caller.
	Accept Kind = "accept"
	// Queue: a dispatcher queued an offer.
	Queue Kind = "queue"
	// Grant: a dispatcher granted a request a slot on an upstream.
	Grant Kind = "grant"
	// Claim: the log committed that a request is dispatched.
	Claim Kind = "claim"
	// Dispatch: an entry sends the first byte to an upstream.
	Dispatch Kind = "dispatch"
	// Execute: an upstream began to execute a request.
	Execute Kind = "execute"
	// Release: a granted slot was released, or a queued offer was withdrawn.
	Release Kind = "release"
	// Shed: a dispatcher refused a request for overload.
	Shed Kind = "shed"
	// Refuse: an entry answered a request with an error.
	Refuse Kind = "refuse"
	// Answer: an answer to a caller ended.
	Answer Kind = "answer"
	// Accepted: the log committed a configuration.
	Accepted Kind = "accepted"
	// InForce: a daemon put a configuration into force.
	InForce Kind = "in_force"
	// Leave: an upstream announced its leave or its lease expired.
	Leave Kind = "leave"
	// Drain: a daemon began a graceful shutdown.
	Drain Kind = "drain"
	// Stopped: a daemon's graceful shutdown ended.
	Stopped Kind = "stopped"
	// Started: a daemon began to serve.
	Started Kind = "started"
	// Crashed: a daemon stopped without a graceful shutdown. The test that
	// killed it records the event in the daemon's name.
	Crashed Kind = "crashed"
	// Partitioned: a daemon lost its connection to the quorum.
	Partitioned Kind = "cut"
	// Healed: a daemon can reach the quorum again.
	Healed Kind = "healed"
	// Join: an upstream announced itself, for the first time or after a Leave.
	Join Kind = "join"
)

// Event is one recorded event. Fields that its kind doesn't use are zero.
type Event struct {
	// At is the time since the run began, on the recorder's clock.
	At   time.Duration `json:"at"`
	Kind Kind          `json:"kind"`
	// Daemon is the daemon that recorded the event.
	Daemon    string `json:"daemon,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	// Key is the request's key, supplied by the caller or generated; Stream
	// identifies one dispatch of the request.
	Key    string `json:"key,omitempty"`
	Stream string `json:"stream,omitempty"`
	// Offer identifies an offer to a dispatcher, as entry/number.
	Offer string `json:"offer,omitempty"`
	Pool  string `json:"pool,omitempty"`
	// Region is the dispatcher's region.
	Region   string `json:"region,omitempty"`
	Upstream string `json:"upstream,omitempty"`
	// Tier is the position in the declared order; 0 is the highest.
	Tier int `json:"tier,omitempty"`
	// NonIdempotent is set if the request is not idempotent and must not
	// execute twice.
	NonIdempotent bool `json:"once,omitempty"`
	// Code is the code of a refusal, Ran its statement whether the request ran.
	Code string `json:"code,omitempty"`
	Ran  string `json:"ran,omitempty"`
	// Complete is set if an answer had its explicit end; SentHash and
	// ReceivedHash are hashes of the answer as the upstream sent it and as the
	// caller received it.
	Complete     bool   `json:"whole,omitempty"`
	SentHash     string `json:"sent,omitempty"`
	ReceivedHash string `json:"got,omitempty"`
	// Version is a configuration version.
	Version uint64 `json:"version,omitempty"`
	// Digest identifies the content of a configuration, or that of the request
	// on Accept and Refuse.
	Digest string `json:"digest,omitempty"`
	// Epoch is the epoch of a lease.
	Epoch uint64 `json:"epoch,omitempty"`
}
