package claims

import "github.com/verbenastep/verbenastep/core/state"

// EventKind is what happened.
type EventKind string

// Kinds of events. Canceled, Expired and Failed answer any awaited effect.
const (
	Begin EventKind = "begin"
	// Found and NotFound answer a Lookup.
	Found    EventKind = "found"
	NotFound EventKind = "not_found"
	// GrantGiven and Refused answer an Acquire.
	GrantGiven EventKind = "granted"
	Refused    EventKind = "refused"
	// Connected and Unreachable answer a Dial.
	Connected   EventKind = "connected"
	Unreachable EventKind = "unreachable"
	// ClaimMade, ClaimExists, ClaimConflict and ClaimLost answer a Propose;
	// the last says that the claim may or may not stand.
	ClaimMade     EventKind = "claim_made"
	ClaimExists   EventKind = "claim_exists"
	ClaimConflict EventKind = "claim_conflict"
	ClaimLost     EventKind = "claim_lost"
	// Started answers a Send or Resume: frames follow.
	Started EventKind = "started"
	// Replied answers a Send to a plain service with its whole reply.
	Replied EventKind = "replied"
	// NothingSent says that not one byte left for the upstream.
	NothingSent EventKind = "nothing_sent"
	// Rejected says that the upstream answered that it does not run the request.
	Rejected EventKind = "rejected"
	// SendBroken says that the upstream may have received the request.
	SendBroken EventKind = "send_broken"
	// FrameRead and Broken answer a Receive.
	FrameRead EventKind = "frame"
	Broken    EventKind = "broken"
	// Moved and MoveFailed answer a Move.
	Moved      EventKind = "moved"
	MoveFailed EventKind = "move_failed"
	// Fetched, FetchFailed, FetchBroken and FetchUnheld answer a Fetch: the
	// answer's end, the failure it ended in, a lost connection, and an owner
	// that holds no such answer.
	Fetched     EventKind = "fetched"
	FetchFailed EventKind = "fetch_failed"
	FetchBroken EventKind = "fetch_broken"
	FetchUnheld EventKind = "fetch_unheld"
	// OwnerDead answers a Fetch that broke where membership holds the owner for
	// dead.
	OwnerDead EventKind = "owner_dead"
	// Canceled says that the caller went away, Expired that the request's time
	// is over, Failed that the effect could not be attempted.
	Canceled EventKind = "canceled"
	Expired  EventKind = "expired"
	Failed   EventKind = "failed"
)

// Event is one thing that happened. Fields that a kind doesn't need are zero.
type Event struct {
	Kind     EventKind
	Upstream string
	Address  string
	Claim    state.Claim
	Frame    Frame
	// Length is how many bytes of the answer are held.
	Length int64
}

// Frame is what the decisions need of one frame of a stream.
type Frame struct {
	Stream string
	// Offset is the frame's position in the answer and Length its size, in bytes.
	Offset int64
	Length int64
	End    bool
	// Leaving asks to move the stream to another engine.
	Leaving bool
	// Error is an engine's failure.
	Error string
}

// EffectKind is what to do.
type EffectKind string

// Kinds of effects. The first group is awaited: an event answers it.
const (
	// Lookup reads the claim on the request's key.
	Lookup EffectKind = "lookup"
	// Acquire asks the scheduler for an upstream.
	Acquire EffectKind = "acquire"
	// Dial connects to the granted upstream, sending nothing.
	Dial EffectKind = "dial"
	// Propose commits a claim. Where Last is set it must be answered soon,
	// whatever became of the caller.
	Propose EffectKind = "propose"
	// Send dispatches the request; there is never a second one.
	Send EffectKind = "send"
	// Receive reads the next frame.
	Receive EffectKind = "receive"
	// Resume reads a stream from an offset over a new connection.
	Resume EffectKind = "resume"
	// Move takes the stream with its cache to another engine.
	Move EffectKind = "move"
	// Fetch reads the answer from the entry that dispatched the request.
	Fetch EffectKind = "fetch"

	// Dispatched tells waiting callers the stream; it comes before Send.
	Dispatched EffectKind = "dispatched"
	// Deliver appends the frame that was just read to the answer.
	Deliver EffectKind = "deliver"
	// Retire closes the connection with whatever still comes on it.
	Retire EffectKind = "retire"
	// Cancel tells the engine that nobody waits for the stream.
	Cancel EffectKind = "cancel"
	// Release frees the granted slot.
	Release EffectKind = "release"
	// Finish records how the claimed request ended.
	Finish EffectKind = "finish"
	// Settle proposes, until answered, a claim whose fate is not known, and
	// marks it as not run where it stands.
	Settle EffectKind = "settle"
	// Remember notes that the claim's attempt is marked as not run; see
	// Request.Known.
	Remember EffectKind = "remember"
	// Recorded ends the answer with what the claim holds.
	Recorded EffectKind = "recorded"
	// End ends the answer whole.
	End EffectKind = "end"
	// Fail ends the answer with a failure.
	Fail EffectKind = "fail"
)

// Effect is one thing to do. Fields that a kind doesn't need are zero.
type Effect struct {
	Kind    EffectKind
	Address string
	Stream  string
	Offset  int64
	// Pause asks for a short wait first.
	Pause bool
	// Last marks a proposal on which a refusal depends.
	Last    bool
	Claim   state.Claim
	Finish  state.Finish
	Slot    Slot
	Failure Failure
}

// Awaited tells whether an event must answer the effect.
func (e Effect) Awaited() bool {
	switch e.Kind {
	case Lookup, Acquire, Dial, Propose, Send, Receive, Resume, Move, Fetch:
		return true
	}
	return false
}

// Slot says how a granted slot was used.
type Slot string

// Values of Slot.
const (
	SlotDone     Slot = "done"
	SlotNotSent  Slot = "not_sent"
	SlotCanceled Slot = "canceled"
	SlotBroken   Slot = "broken"
)

// Ran says whether the request reached an upstream.
type Ran string

// Values of Ran.
const (
	// NotRun promises that nothing ran under the key and nothing will, unless
	// the caller sends the key again.
	NotRun     Ran = "not_run"
	MayHaveRun Ran = "unknown"
	DidRun     Ran = "ran"
)

// Code is why a request failed.
type Code string

// Codes.
const (
	// NoLog says that the claim could not be read or committed.
	NoLog Code = "no_log"
	// KeyConflict says that the key belongs to another content.
	KeyConflict Code = "key_conflict"
	// Refusal says that the scheduler refused the request.
	Refusal Code = "refusal"
	// RefusedBefore says that the key is marked as not run.
	RefusedBefore Code = "refused_before"
	// CallerGone says that the caller went away.
	CallerGone Code = "caller_gone"
	// TooLate says that the request's time is over.
	TooLate Code = "too_late"
	// NotSent says that the upstream broke off before the first byte.
	NotSent Code = "not_sent"
	// UpstreamRefused says that the upstream answered that it does not run it.
	UpstreamRefused Code = "upstream_refused"
	// UpstreamFailed says that the engine reported a failure.
	UpstreamFailed Code = "upstream_failed"
	// OutcomeUnknown says that nobody can tell how the request ended.
	OutcomeUnknown Code = "outcome_unknown"
	// OwnersFailure passes on the failure that the owner's answer ended in.
	OwnersFailure Code = "owners_failure"
	// NoClaim says that nothing stands under the key that was to be joined.
	NoClaim Code = "no_claim"
	// AnswerLost says that the request ran but its answer is held no more.
	AnswerLost Code = "answer_lost"
)

// Failure is how a request failed.
type Failure struct {
	Code   Code
	Ran    Ran
	Detail string
}
