// Package claims implements the lifecycle of one request at an entry as a state
// machine, from its arrival to the end of its answer. The entry drives it and
// executes the effects that it returns.
//
// A Machine is pure: each Step takes an event and returns effects, at most one
// of which is awaited and answered by the next event.
// Invariants: a request is sent at most once, a keyed one only after its claim
// is committed; a granted slot is released exactly once; the request ends
// exactly once; it ends as not run only if nothing was sent under its key and
// nothing will be; it completes only at the explicit end of its stream.
package claims

import "github.com/verbenastep/verbenastep/core/state"

// State is the stage of a request's lifecycle.
type State string

// States of a Machine.
const (
	// New waits for Begin.
	New State = "new"
	// Joining waits for the lookup of an existing claim.
	Joining State = "joining"
	// Queued waits for a granted upstream.
	Queued State = "queued"
	// Granted waits for the connection to the granted upstream.
	Granted State = "granted"
	// Claiming waits for the commit of the claim.
	Claiming State = "claiming"
	// Claimed waits for the result of the send.
	Claimed State = "claimed"
	// Streaming reads the frames of the answer.
	Streaming State = "streaming"
	// Resuming waits for the stream to continue over a new connection.
	Resuming State = "resuming"
	// Fetching reads the answer from the entry that dispatched the request.
	Fetching State = "fetching"
	// Refusing waits for the commit of the mark that the key did not run.
	Refusing State = "refusing"
	// Ended expects no further event.
	Ended State = "ended"
)

const (
	// MaxResumeAttempts bounds consecutive resume attempts of one stream that
	// bring no progress.
	MaxResumeAttempts = 5
	// MaxFetchAttempts bounds consecutive calls without progress to the entry
	// that holds an answer, before that entry is considered gone.
	MaxFetchAttempts = 3
)

// Request describes the request that a Machine handles.
type Request struct {
	Workspace string
	Key       string
	// Keyed is set if the caller supplied the key; the request is claimed in
	// the log before it is sent.
	Keyed bool
	// JoinOnly is set if the machine only follows an existing claim and
	// dispatches nothing.
	JoinOnly bool
	// PlainService is set for a call to a plain service, whose reply can't be
	// resumed.
	PlainService bool
	Digest       string
	Pool         string
	// KnownNotRunAttempt is the newest attempt under the key that the entry
	// knew to be marked as not run when it accepted the request; zero for none.
	// Only a request accepted after such a mark may run as the next attempt.
	KnownNotRunAttempt uint64
	// Stream identifies the only dispatch that this machine makes.
	Stream string
	// Entry is the peer address of the entry that runs the machine.
	Entry string
}

// Machine tracks the lifecycle of one request. It is not safe for concurrent
// use.
type Machine struct {
	request Request
	state   State
	attempt uint64
	// stream, address and owner identify the dispatch being followed: this
	// machine's own or another entry's.
	stream  string
	address string
	owner   string
	// upstream is the granted upstream; holdsSlot is set until its slot is
	// released.
	upstream  string
	holdsSlot bool
	// ownsClaim is set while this machine must record the end of the claim.
	ownsClaim      bool
	claim          state.Claim
	received       int64
	failedAttempts int
	// moveAttempted is set once a move to another engine was requested; a
	// stream is moved at most once.
	moveAttempted bool
	// pendingFailure is the failure that a keyed request ends with once its key
	// is marked as not run.
	pendingFailure Failure
}

// NewMachine returns a machine in state New, which expects Begin.
func NewMachine(r Request) *Machine {
	return &Machine{request: r, state: New, attempt: 1}
}

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Step handles one event and returns the effects to execute, in order. Events
// that are not expected in the current state change nothing and return none.
func (m *Machine) Step(e Event) []Effect {
	switch m.state {
	case New:
		return m.handleNew(e)
	case Joining:
		return m.handleJoining(e)
	case Queued:
		return m.handleQueued(e)
	case Granted:
		return m.handleGranted(e)
	case Claiming:
		return m.handleClaiming(e)
	case Claimed:
		return m.handleClaimed(e)
	case Streaming:
		return m.handleStreaming(e)
	case Resuming:
		return m.handleResuming(e)
	case Fetching:
		return m.handleFetching(e)
	case Refusing:
		return m.handleRefusing(e)
	}
	return nil
}

func (m *Machine) handleNew(e Event) []Effect {
	if e.Kind != Begin {
		return nil
	}
	if m.request.Keyed {
		m.state = Joining
		return []Effect{{Kind: Lookup}}
	}
	m.state = Queued
	return []Effect{{Kind: Acquire}}
}

func (m *Machine) handleJoining(e Event) []Effect {
	switch e.Kind {
	case NotFound:
		return m.enqueue()
	case Found:
		return m.join(e.Claim)
	case Failed, Canceled, Expired:
		// An earlier attempt under the key may have run.
		return m.fail(Failure{Code: LogUnavailable, Ran: MayHaveRun})
	}
	return nil
}

// join handles a claim that already exists on the request's key.
func (m *Machine) join(c state.Claim) []Effect {
	switch {
	case c.Digest != m.request.Digest:
		return m.fail(Failure{Code: KeyConflict, Ran: NotRun})
	case c.NotRun && max(c.Attempt, 1) <= m.request.KnownNotRunAttempt:
		m.attempt = max(c.Attempt, 1) + 1
		return m.enqueue()
	case c.NotRun:
		return m.failAlreadyRefused(c)
	}
	return m.follow(c)
}

// failAlreadyRefused ends a request whose key another entry marked as not run,
// possibly after this request was accepted.
func (m *Machine) failAlreadyRefused(c state.Claim) []Effect {
	out := append(m.releaseSlot(SlotNotSent), Effect{Kind: RecordNotRun, Claim: c})
	return append(out, m.fail(Failure{Code: AlreadyRefused, Ran: NotRun})...)
}

func (m *Machine) enqueue() []Effect {
	if m.request.JoinOnly {
		return m.fail(Failure{Code: ClaimNotFound, Ran: MayHaveRun})
	}
	m.state = Queued
	return []Effect{{Kind: Acquire}}
}

// follow reads the answer of a dispatch that another machine made.
func (m *Machine) follow(c state.Claim) []Effect {
	m.claim = c
	m.stream = c.Stream
	m.address = c.Address
	m.owner = c.Entry
	dispatched := Effect{Kind: Dispatched, Stream: c.Stream}
	switch {
	case c.Done && c.Unknown:
		return append([]Effect{dispatched}, m.fail(Failure{Code: OutcomeUnknown, Ran: MayHaveRun})...)
	case c.Done && int64(len(c.Body)) == c.Length:
		m.state = Ended
		return []Effect{dispatched, {Kind: ServeRecorded, Claim: c}}
	case c.Entry == m.request.Entry:
		return append([]Effect{dispatched}, m.adoptOrphaned()...)
	}
	m.state = Fetching
	return []Effect{dispatched, {Kind: Fetch, Address: c.Entry, Stream: c.Stream}}
}

func (m *Machine) handleQueued(e Event) []Effect {
	switch e.Kind {
	case GrantReceived:
		m.state = Granted
		m.upstream = e.Upstream
		m.address = e.Address
		m.holdsSlot = true
		return []Effect{{Kind: Dial, Address: e.Address}}
	case Refused, Failed:
		return m.refuse(Failure{Code: SchedulerRefused, Ran: NotRun})
	case Canceled:
		return m.refuse(Failure{Code: CallerDisconnected, Ran: NotRun})
	case Expired:
		return m.refuse(Failure{Code: DeadlineExceeded, Ran: NotRun})
	}
	return nil
}

// refuse ends a request of which nothing was sent. For a keyed request it first
// marks the key as not run, so that no other entry that holds the same request
// runs it afterwards.
func (m *Machine) refuse(f Failure) []Effect {
	out := m.releaseSlot(SlotNotSent)
	if !m.request.Keyed {
		return append(out, m.fail(f)...)
	}
	m.state = Refusing
	m.pendingFailure = f
	mark := m.claimProposal()
	mark.Done = true
	mark.NotRun = true
	return append(out, Effect{Kind: Propose, Claim: mark, Urgent: true})
}

func (m *Machine) handleRefusing(e Event) []Effect {
	switch e.Kind {
	case ClaimCommitted:
		return append([]Effect{{Kind: RecordNotRun, Claim: m.claimProposal()}}, m.fail(m.pendingFailure)...)
	case ClaimExists:
		if e.Claim.NotRun {
			return m.failAlreadyRefused(e.Claim)
		}
		return m.follow(e.Claim)
	case ClaimConflict:
		return m.fail(Failure{Code: KeyConflict, Ran: NotRun})
	case ClaimUnconfirmed, Failed, Canceled, Expired:
		f := m.pendingFailure
		f.Ran = MayHaveRun
		return m.fail(f)
	}
	return nil
}

func (m *Machine) handleGranted(e Event) []Effect {
	switch e.Kind {
	case Connected:
		m.stream = m.request.Stream
		if !m.request.Keyed {
			return m.dispatch()
		}
		m.state = Claiming
		return []Effect{{Kind: Propose, Claim: m.claimProposal()}}
	case Unreachable:
		m.state = Queued
		return append(m.releaseSlot(SlotNotSent), Effect{Kind: Acquire, Delayed: true})
	case Canceled:
		return m.refuse(Failure{Code: CallerDisconnected, Ran: NotRun})
	case Expired:
		return m.refuse(Failure{Code: DeadlineExceeded, Ran: NotRun})
	}
	return nil
}

func (m *Machine) claimProposal() state.Claim {
	r := m.request
	return state.Claim{
		Workspace: r.Workspace, Key: r.Key, Digest: r.Digest, Entry: r.Entry, Pool: r.Pool,
		Upstream: m.upstream, Address: m.address, Stream: r.Stream, Attempt: m.attempt,
	}
}

func (m *Machine) dispatch() []Effect {
	m.state = Claimed
	return []Effect{{Kind: Dispatched, Stream: m.stream}, {Kind: Send, Stream: m.stream}}
}

func (m *Machine) handleClaiming(e Event) []Effect {
	switch e.Kind {
	case ClaimCommitted:
		m.ownsClaim = true
		return m.dispatch()
	case ClaimExists:
		if e.Claim.NotRun {
			return m.failAlreadyRefused(e.Claim)
		}
		return append(m.releaseSlot(SlotNotSent), m.follow(e.Claim)...)
	case ClaimConflict:
		return append(m.releaseSlot(SlotNotSent), m.fail(Failure{Code: KeyConflict, Ran: NotRun})...)
	case ClaimUnconfirmed:
		// A proposal of the same stream is idempotent: the log returns the
		// result of the first one.
		return []Effect{{Kind: Propose, Claim: m.claimProposal(), Delayed: true}}
	case Failed, Canceled, Expired:
		// Whether the claim was committed is not known. Nothing was sent under
		// it, so it is marked as not run in the background.
		out := append(m.releaseSlot(SlotNotSent), Effect{Kind: ResolveClaim, Claim: m.claimProposal()})
		return append(out, m.fail(Failure{Code: LogUnavailable, Ran: MayHaveRun})...)
	}
	return nil
}

func (m *Machine) handleClaimed(e Event) []Effect {
	switch e.Kind {
	case Started:
		m.state = Streaming
		return []Effect{{Kind: Receive}}
	case Replied:
		m.received = e.Length
		return m.complete()
	case NothingSent:
		out := append(m.releaseSlot(SlotNotSent), m.finishClaim(state.Finish{NotRun: true})...)
		out = append(out, Effect{Kind: RecordNotRun, Claim: m.claimProposal()})
		return append(out, m.fail(Failure{Code: NotSent, Ran: NotRun})...)
	case Rejected:
		// The request was sent, so its key can't be used again. Only the
		// upstream states that it did not run, which is no proof.
		out := append(m.releaseSlot(SlotNotSent), m.finishClaim(state.Finish{Unknown: true})...)
		return append(out, m.fail(Failure{Code: UpstreamRefused, Ran: MayHaveRun})...)
	case SendInterrupted:
		if m.request.PlainService {
			return m.failUnknown()
		}
		m.state = Resuming
		return []Effect{{Kind: Resume, Address: m.address, Stream: m.stream}}
	case Canceled:
		return m.abort(Failure{Code: CallerDisconnected, Ran: MayHaveRun})
	case Expired:
		return m.abort(Failure{Code: DeadlineExceeded, Ran: MayHaveRun})
	}
	return nil
}

func (m *Machine) handleStreaming(e Event) []Effect {
	switch e.Kind {
	case FrameRead:
		return m.handleFrame(e.Frame)
	case ConnectionLost:
		return m.retry()
	case Moved:
		// Frames that the old engine still sends are read until its connection
		// ends; the stream is then resumed at the new engine.
		m.address = e.Address
		return []Effect{{Kind: Receive}}
	case MoveFailed:
		return []Effect{{Kind: Receive}}
	case Canceled:
		return m.abort(Failure{Code: CallerDisconnected, Ran: DidRun})
	case Expired:
		return m.abort(Failure{Code: DeadlineExceeded, Ran: DidRun})
	}
	return nil
}

// handleFrame accepts a frame only if it continues this stream at the current
// offset; any other frame makes the stream resume over a new connection.
func (m *Machine) handleFrame(f Frame) []Effect {
	if f.Stream != m.stream || f.Offset != m.received || f.Length < 0 {
		return m.retry()
	}
	if f.Error != "" {
		return m.failUpstream(f)
	}
	if f.Length > 0 {
		m.failedAttempts = 0
	}
	m.received += f.Length
	out := []Effect{{Kind: Deliver}}
	if f.End {
		return append(out, m.complete()...)
	}
	if f.Leaving && m.holdsSlot && !m.moveAttempted {
		m.moveAttempted = true
		return append(out, Effect{Kind: Move, Address: m.address, Stream: m.stream})
	}
	return append(out, Effect{Kind: Receive})
}

func (m *Machine) failUpstream(f Frame) []Effect {
	out := append(m.releaseSlot(SlotConnectionLost), m.finishClaim(state.Finish{Unknown: true})...)
	return append(out, m.fail(Failure{Code: UpstreamFailed, Ran: DidRun, Detail: f.Error})...)
}

// complete ends the request with its complete answer. A plain service's reply
// is recorded before it is delivered to the caller, because it can't be fetched
// again.
func (m *Machine) complete() []Effect {
	out := m.releaseSlot(SlotCompleted)
	record := m.finishClaim(state.Finish{Length: m.received})
	end := Effect{Kind: End}
	m.state = Ended
	if m.request.PlainService {
		return append(append(out, record...), end)
	}
	return append(append(out, end), record...)
}

// retry closes the connection and resumes the stream over a new one. After
// MaxResumeAttempts attempts without progress the outcome is unknown.
func (m *Machine) retry() []Effect {
	m.failedAttempts++
	closeConnection := Effect{Kind: CloseConnection}
	if m.failedAttempts > MaxResumeAttempts {
		return append([]Effect{closeConnection}, m.failUnknown()...)
	}
	m.state = Resuming
	return []Effect{closeConnection, {Kind: Resume, Address: m.address, Stream: m.stream, Offset: m.received, Delayed: m.failedAttempts > 1}}
}

func (m *Machine) handleResuming(e Event) []Effect {
	switch e.Kind {
	case Started:
		m.state = Streaming
		return []Effect{{Kind: Receive}}
	case ConnectionLost, Unreachable, Rejected, SendInterrupted, NothingSent:
		return m.retry()
	case Canceled:
		return m.abort(Failure{Code: CallerDisconnected, Ran: MayHaveRun})
	case Expired:
		return m.abort(Failure{Code: DeadlineExceeded, Ran: MayHaveRun})
	}
	return nil
}

func (m *Machine) handleFetching(e Event) []Effect {
	switch e.Kind {
	case Fetched:
		m.state = Ended
		return []Effect{{Kind: End}}
	case FetchFailed:
		return m.fail(Failure{Code: OwnerFailure})
	case FetchInterrupted:
		m.failedAttempts++
		if e.Length > m.received {
			m.failedAttempts = 0
		}
		m.received = max(m.received, e.Length)
		if m.failedAttempts < MaxFetchAttempts {
			return []Effect{{Kind: Fetch, Address: m.owner, Stream: m.stream, Offset: m.received, Delayed: true}}
		}
		return m.adoptOrphaned()
	case AnswerNotHeld, OwnerDead:
		m.received = max(m.received, e.Length)
		return m.adoptOrphaned()
	case Canceled:
		return m.fail(Failure{Code: CallerDisconnected, Ran: MayHaveRun})
	case Expired:
		return m.fail(Failure{Code: DeadlineExceeded, Ran: MayHaveRun})
	}
	return nil
}

// adoptOrphaned continues a request whose dispatching entry is gone: an
// engine's stream is resumed, the outcome of a plain service's call is unknown.
func (m *Machine) adoptOrphaned() []Effect {
	m.failedAttempts = 0
	if !m.request.PlainService {
		m.ownsClaim = !m.claim.Done
		m.state = Resuming
		return []Effect{{Kind: Resume, Address: m.address, Stream: m.stream, Offset: m.received}}
	}
	if m.claim.Done {
		return m.fail(Failure{Code: AnswerUnavailable, Ran: DidRun})
	}
	m.ownsClaim = true
	return m.failUnknown()
}

// failUnknown ends a request whose outcome can't be determined.
func (m *Machine) failUnknown() []Effect {
	out := append(m.releaseSlot(SlotConnectionLost), m.finishClaim(state.Finish{Unknown: true})...)
	return append(out, m.fail(Failure{Code: OutcomeUnknown, Ran: MayHaveRun})...)
}

func (m *Machine) abort(f Failure) []Effect {
	out := []Effect{{Kind: CloseConnection}}
	if m.stream != m.request.Stream {
		// The dispatch belongs to another entry and continues without this
		// reader.
		return append(out, m.fail(f)...)
	}
	if !m.request.PlainService {
		out = append(out, Effect{Kind: Cancel, Address: m.address, Stream: m.stream})
	}
	out = append(out, m.releaseSlot(SlotCanceled)...)
	out = append(out, m.finishClaim(state.Finish{Unknown: true})...)
	return append(out, m.fail(f)...)
}

func (m *Machine) releaseSlot(s Slot) []Effect {
	if !m.holdsSlot {
		return nil
	}
	m.holdsSlot = false
	return []Effect{{Kind: Release, Slot: s}}
}

// finishClaim records the end of a claim that this machine owns; the caller of
// Step adds the reply's content.
func (m *Machine) finishClaim(f state.Finish) []Effect {
	if !m.ownsClaim {
		return nil
	}
	m.ownsClaim = false
	f.Workspace = m.request.Workspace
	f.Key = m.request.Key
	f.Stream = m.stream
	return []Effect{{Kind: Finish, Finish: f}}
}

func (m *Machine) fail(f Failure) []Effect {
	m.state = Ended
	return []Effect{{Kind: Fail, Failure: f}}
}
