// Package rollout decides how the traffic of a pool moves to upstreams of another
// software version, and when it moves back.
//
// Book holds the replicated records and is part of the state of the log. Controller runs
// at the leader, one for each running rollout: it grants the target a bounded part of the
// requests, compares the answers of both versions, and proposes the next state. Gate tells
// every broker which versions may get new requests in a phase.
//
// The package does no I/O and reads no clock: times are durations on a monotonic clock that
// counts suspensions. Its types are not safe for concurrent use.
//
// Guarantees: a phase never goes back; a final phase never changes; until a version is
// trusted, the requests that it may have got are reserved in the log before they are sent.
package rollout

import "time"

// Phase of a rollout, in the order of the constants; the last two are final.
type Phase string

// Phases.
const (
	// Trial grants the target a bounded part of the requests, from the broker of all
	// entries only.
	Trial Phase = "trial"
	// Shift raises the target's part of the requests in steps.
	Shift Phase = "shift"
	// Settle grants the target only; the old version finishes what it runs.
	Settle Phase = "settle"
	// Completed means that nothing runs on the old version any more.
	Completed Phase = "completed"
	// RolledBack means that the target gets no requests any more.
	RolledBack Phase = "rolled_back"
)

// order returns the position of the phase, 0 for an unknown one. Both final phases have
// the same position.
func (p Phase) order() int {
	switch p {
	case Trial:
		return 1
	case Shift:
		return 2
	case Settle:
		return 3
	case Completed, RolledBack:
		return 4
	}
	return 0
}

// IsFinal reports whether the phase never changes.
func (p Phase) IsFinal() bool { return p == Completed || p == RolledBack }

// Record is the replicated state of a pool's rollout.
type Record struct {
	Pool   string `json:"pool"`
	Target string `json:"target"`
	// Number counts the orders of the pool, from 1.
	Number uint64 `json:"number"`
	Phase  Phase  `json:"phase"`
	// Duration is the time from the order within which a good version is to be completed.
	Duration time.Duration `json:"duration_ns"`
	// Elapsed is the time from the order to the last commit.
	Elapsed time.Duration `json:"elapsed_ns,omitempty"`
	// Requests is a lower bound of the requests that reached the pool since the order.
	Requests uint64 `json:"requests,omitempty"`
	// Reserved is an upper bound of the requests that the target may have got.
	Reserved uint64 `json:"reserved,omitempty"`
	// Term is the highest term of a leader that advanced the record; see Controller.SetTerm.
	Term uint64 `json:"term,omitempty"`
	// Evidence is what the analysis holds against the target, so that a new leader need not
	// find it again.
	Evidence Evidence `json:"evidence,omitzero"`
	// Reason is why the rollout ended.
	Reason string `json:"reason,omitempty"`
}

// Evidence is the logarithm of how much likelier the target's answers are if the version is
// bad, for failures and for slow answers.
type Evidence struct {
	Failures float64 `json:"failures,omitempty"`
	Slowness float64 `json:"slowness,omitempty"`
	// Answers and Times are how many answers of the target were compared for that.
	Answers float64 `json:"answers,omitempty"`
	Times   float64 `json:"times,omitempty"`
}

// Running reports whether the rollout is neither completed nor rolled back.
func (r Record) Running() bool { return r.Number > 0 && !r.Phase.IsFinal() }

// IsNewer reports whether the record is of a later order or phase than another one of the pool.
func (r Record) IsNewer(than Record) bool {
	if r.Number != than.Number {
		return r.Number > than.Number
	}
	return r.Phase.order() > than.Phase.order()
}

// Gate returns the gate of the record's phase.
func (r Record) Gate() Gate { return Gate{Target: r.Target, Phase: r.Phase} }

// Start orders a rollout. The same order for a pool whose rollout runs, or ended last,
// changes nothing.
type Start struct {
	Pool     string        `json:"pool"`
	Target   string        `json:"target"`
	Duration time.Duration `json:"duration_ns"`
	// Complete is set if the target is the only version that serves the pool; the record
	// is then completed at once.
	Complete bool `json:"complete,omitempty"`
}

// Advance raises the state of the rollout with a number. Fields that are lower than those
// of the record change nothing.
type Advance struct {
	Pool     string        `json:"pool"`
	Number   uint64        `json:"number"`
	Phase    Phase         `json:"phase"`
	Elapsed  time.Duration `json:"elapsed_ns,omitempty"`
	Requests uint64        `json:"requests,omitempty"`
	Reserved uint64        `json:"reserved,omitempty"`
	// Term is that of the leader whose controller made the command, 0 for a command of an
	// operator. A command of a lower term than the record's changes nothing.
	Term uint64 `json:"term,omitempty"`
	// Evidence replaces that of the record unless the command is older.
	Evidence Evidence `json:"evidence,omitzero"`
	Reason   string   `json:"reason,omitempty"`
}

// Status is the outcome of a command.
type Status string

// Statuses.
const (
	// OK means that the command took effect, now or when it was first applied.
	OK Status = "ok"
	// Conflict means that another order runs, or that the command is of an earlier order or
	// term.
	Conflict Status = "conflict"
	// Invalid means that the command is malformed or names a pool without any order.
	Invalid Status = "invalid"
)
