package claims

import "github.com/verbenastep/verbenastep/core/state"

// EventKind is the type of an event.
type EventKind string

// Kinds of events. Canceled, Expired and Failed may answer any awaited effect.
const (
	// Begin starts the machine.
	Begin EventKind = "begin"
	// Found and NotFound answer a Lookup.
	Found    EventKind = "found"
	NotFound EventKind = "not_found"
	// GrantReceived and Refused answer an Acquire.
	GrantReceived EventKind = "granted"
	Refused       EventKind = "refused"
	// Connected and Unreachable answer a Dial.
	Connected   EventKind = "connected"
	Unreachable EventKind = "unreachable"
	// ClaimCommitted, ClaimExists, ClaimConflict and ClaimUnconfirmed answer a
	// Propose. After ClaimUnconfirmed the claim may or may not have been
	// committed.
	ClaimCommitted   EventKind = "claim_made"
	ClaimExists      EventKind = "claim_exists"
	ClaimConflict    EventKind = "claim_conflict"
	ClaimUnconfirmed EventKind = "claim_lost"
	// Started answers a Send or Resume: frames follow.
	Started EventKind = "started"
	// Replied answers a Send to a plain service with its whole reply.
	Replied EventKind = "replied"
	// NothingSent reports that not a single byte was sent to the upstream.
	NothingSent EventKind = "nothing_sent"
	// Rejected reports that the upstream refused to run the request.
	Rejected EventKind = "rejected"
	// SendInterrupted reports that the connection failed during the send; the
	// upstream may have received the request.
	SendInterrupted EventKind = "send_broken"
	// FrameRead and ConnectionLost answer a Receive: the next frame, or a
	// connection that failed or was silent for too long.
	FrameRead      EventKind = "frame"
	ConnectionLost EventKind = "broken"
	// Moved and MoveFailed answer a Move.
	Moved      EventKind = "moved"
	MoveFailed EventKind = "move_failed"
	// Fetched, FetchFailed, FetchInterrupted and AnswerNotHeld answer a Fetch:
	// the end of the answer, the failure that it ended in, a lost connection,
	// and an owner that does not hold the answer.
	Fetched          EventKind = "fetched"
	FetchFailed      EventKind = "fetch_failed"
	FetchInterrupted EventKind = "fetch_broken"
	AnswerNotHeld    EventKind = "fetch_unheld"
	// OwnerDead answers a Fetch whose connection failed while the membership
	// protocol reports the owner as dead.
	OwnerDead EventKind = "owner_dead"
	// Canceled reports that the caller disconnected, Expired that the request's
	// deadline passed, Failed that the effect could not be attempted.
	Canceled EventKind = "canceled"
	Expired  EventKind = "expired"
	Failed   EventKind = "failed"
)

// Event is an input of a Machine. Fields that its kind doesn't use are zero.
type Event struct {
	Kind     EventKind
	Upstream string
	Address  string
	Claim    state.Claim
	Frame    Frame
	// Length is the number of bytes of the answer received so far.
	Length int64
}

// Frame describes one frame of a stream, without its content.
type Frame struct {
	Stream string
	// Offset is the frame's position in the answer and Length its size, in
	// bytes.
	Offset int64
	Length int64
	// End is set on the last frame of the stream.
	End bool
	// Leaving asks to move the stream to another engine, because this one shuts
	// down.
	Leaving bool
	// Error is the failure that the engine reported; empty for none.
	Error string
}

// EffectKind is the type of an effect.
type EffectKind string

// Kinds of effects. Those of the first group are awaited: an event answers
// each.
const (
	// Lookup reads the claim on the request's key.
	Lookup EffectKind = "lookup"
	// Acquire asks the scheduler for an upstream.
	Acquire EffectKind = "acquire"
	// Dial connects to the granted upstream without sending anything.
	Dial EffectKind = "dial"
	// Propose commits a claim. If Urgent is set, it must be answered promptly,
	// even if the caller disconnected or the deadline passed.
	Propose EffectKind = "propose"
	// Send dispatches the request; it occurs at most once.
	Send EffectKind = "send"
	// Receive reads the next frame.
	Receive EffectKind = "receive"
	// Resume reads a stream from an offset over a new connection.
	Resume EffectKind = "resume"
	// Move transfers the stream and its KV cache to another engine.
	Move EffectKind = "move"
	// Fetch reads the answer from the entry that dispatched the request.
	Fetch EffectKind = "fetch"

	// Dispatched reports the stream to waiting callers; it precedes Send.
	Dispatched EffectKind = "dispatched"
	// Deliver appends the frame of the last FrameRead to the answer.
	Deliver EffectKind = "deliver"
	// CloseConnection also discards any data that still arrives on the
	// connection.
	CloseConnection EffectKind = "retire"
	// Cancel tells the engine to abort the stream.
	Cancel EffectKind = "cancel"
	// Release returns the granted slot to the scheduler.
	Release EffectKind = "release"
	// Finish records how the claimed request ended.
	Finish EffectKind = "finish"
	// ResolveClaim resolves an unconfirmed claim in the background: the caller
	// proposes it again until the log answers, and marks it as not run if it
	// is this machine's claim that was committed.
	ResolveClaim EffectKind = "settle"
	// RecordNotRun stores at this entry that the claim's attempt is marked as
	// not run; see Request.KnownNotRunAttempt.
	RecordNotRun EffectKind = "remember"
	// ServeRecorded completes the answer with the one recorded in the claim.
	ServeRecorded EffectKind = "recorded"
	// End completes the answer.
	End EffectKind = "end"
	// Fail ends the answer with a failure.
	Fail EffectKind = "fail"
)

// Effect is an action for the caller of Step to execute. Fields that its kind
// doesn't use are zero.
type Effect struct {
	Kind    EffectKind
	Address string
	Stream  string
	Offset  int64
	// Delayed asks for a short delay before the effect.
	Delayed bool
	// Urgent is set on the proposal that a refusal waits for; see Propose.
	Urgent  bool
	Claim   state.Claim
	Finish  state.Finish
	Slot    Slot
	Failure Failure
}

// Awaited reports whether an event must answer the effect.
func (e Effect) Awaited() bool {
	switch e.Kind {
	case Lookup, Acquire, Dial, Propose, Send, Receive, Resume, Move, Fetch:
		return true
	}
	return false
}

// Slot is the outcome of the use of a granted slot.
type Slot string

// Outcomes of a slot.
const (
	SlotCompleted      Slot = "done"
	SlotNotSent        Slot = "not_sent"
	SlotCanceled       Slot = "canceled"
	SlotConnectionLost Slot = "broken"
)

// Ran states whether the request ran on an upstream.
type Ran string

// Values of Ran.
const (
	// NotRun guarantees that nothing ran under the key and nothing will, unless
	// the caller sends the key again.
	NotRun Ran = "not_run"
	// MayHaveRun means that it is not known: the request may have run, or may
	// still run.
	MayHaveRun Ran = "unknown"
	// DidRun states that an upstream executed the request, at least in part.
	DidRun Ran = "ran"
)

// Code is the reason why a request failed.
type Code string

// Failure codes.
const (
	// LogUnavailable means that the claim could not be read or committed.
	LogUnavailable Code = "no_log"
	// KeyConflict means that the key is claimed for different content.
	KeyConflict Code = "key_conflict"
	// SchedulerRefused means that the scheduler refused the request.
	SchedulerRefused Code = "refusal"
	// AlreadyRefused means that the key is marked as not run.
	AlreadyRefused Code = "refused_before"
	// CallerDisconnected means that the caller closed its connection.
	CallerDisconnected Code = "caller_gone"
	// DeadlineExceeded means that the request's deadline passed.
	DeadlineExceeded Code = "too_late"
	// NotSent means that the connection failed before the first byte was sent.
	NotSent Code = "not_sent"
	// UpstreamRefused means that the upstream refused to run the request.
	UpstreamRefused Code = "upstream_refused"
	// UpstreamFailed means that the engine reported a failure.
	UpstreamFailed Code = "upstream_failed"
	// OutcomeUnknown means that it can't be determined how the request ended.
	OutcomeUnknown Code = "outcome_unknown"
	// OwnerFailure means that the owner's answer ended in a failure, which is
	// passed on.
	OwnerFailure Code = "owners_failure"
	// ClaimNotFound means that the key to be joined has no claim.
	ClaimNotFound Code = "no_claim"
	// AnswerUnavailable means that the request ran but its answer is no longer
	// available.
	AnswerUnavailable Code = "answer_lost"
)

// Failure describes how a request failed.
type Failure struct {
	Code   Code
	Ran    Ran
	Detail string
}
