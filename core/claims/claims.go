// Package claims decides the path of one request, from its arrival at an entry
// to the end of its answer.
//
// A Machine is pure: each Step takes what happened and returns what to do, at
// most one thing of which is awaited and answered by the next event.
// Invariants: a request is sent at most once, a keyed one only after its claim
// is committed; a granted slot is released exactly once; the request ends
// exactly once; it ends as not run only where nothing was sent under its key
// and nothing will be; it ends whole only at the explicit end of its stream.
package claims

import "github.com/verbenastep/verbenastep/core/state"

// State is how far a request has come.
type State string

// States.
const (
	New       State = "new"
	Joining   State = "joining"
	Queued    State = "queued"
	Granted   State = "granted"
	Claiming  State = "claiming"
	Claimed   State = "claimed"
	Streaming State = "streaming"
	Resuming  State = "resuming"
	Fetching  State = "fetching"
	Refusing  State = "refusing"
	Ended     State = "ended"
)

const (
	// ResumeTries bounds new connections for one stream without progress.
	ResumeTries = 5
	// FetchTries bounds calls on the entry that holds an answer, without
	// progress, before it counts as gone.
	FetchTries = 3
)

// Request is what the decisions depend on.
type Request struct {
	Workspace string
	Key       string
	// Keyed says that the key is the caller's own, so that it is claimed.
	Keyed bool
	// Join says that a claim is only followed: nothing is dispatched.
	Join bool
	// Plain says that a plain service is called, which can't be resumed.
	Plain  bool
	Digest string
	Pool   string
	// Known is the newest attempt under the key that the entry knew to be marked
	// as not run when it accepted the request; zero for none. Only what came
	// after such a mark may run as the next attempt.
	Known uint64
	// Stream names the only dispatch that this machine makes.
	Stream string
	// Entry is the peers' address of the entry that runs the machine.
	Entry string
}

// Machine is one request's path. It is not safe for concurrent use.
type Machine struct {
	request Request
	state   State
	attempt uint64
	// stream and address name what is followed: the own dispatch or another's.
	stream  string
	address string
	owner   string
	// upstream is the granted one; held says that its slot is not released.
	upstream string
	held     bool
	// own says that this machine's claim stands, and its end is to be recorded.
	own    bool
	claim  state.Claim
	length int64
	tries  int
	// moving says that a move to another upstream was tried.
	moving bool
	// refusal is what a keyed request is refused with once its key is marked.
	refusal Failure
}

// NewMachine returns a machine that waits for Begin.
func NewMachine(r Request) *Machine {
	return &Machine{request: r, state: New, attempt: 1}
}

// State returns how far the request has come.
func (m *Machine) State() State { return m.state }

// Step takes one event. Events that do not fit the state change nothing.
func (m *Machine) Step(e Event) []Effect {
	switch m.state {
	case New:
		return m.begin(e)
	case Joining:
		return m.joining(e)
	case Queued:
		return m.queued(e)
	case Granted:
		return m.granted(e)
	case Claiming:
		return m.claiming(e)
	case Claimed:
		return m.sending(e)
	case Streaming:
		return m.streaming(e)
	case Resuming:
		return m.resuming(e)
	case Fetching:
		return m.fetching(e)
	case Refusing:
		return m.refusing(e)
	}
	return nil
}

func (m *Machine) begin(e Event) []Effect {
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

func (m *Machine) joining(e Event) []Effect {
	switch e.Kind {
	case NotFound:
		return m.enqueue()
	case Found:
		return m.join(e.Claim)
	case Failed, Canceled, Expired:
		// An earlier attempt under the key may have run.
		return m.fail(Failure{Code: NoLog, Ran: MayHaveRun})
	}
	return nil
}

// join follows a claim that stands under the request's key.
func (m *Machine) join(c state.Claim) []Effect {
	switch {
	case c.Digest != m.request.Digest:
		return m.fail(Failure{Code: KeyConflict, Ran: NotRun})
	case c.NotRun && max(c.Attempt, 1) <= m.request.Known:
		m.attempt = max(c.Attempt, 1) + 1
		return m.enqueue()
	case c.NotRun:
		return m.marked(c)
	}
	return m.follow(c)
}

// marked ends a request whose key another entry marked as not run, perhaps
// after this one was accepted.
func (m *Machine) marked(c state.Claim) []Effect {
	out := append(m.release(SlotNotSent), Effect{Kind: Remember, Claim: c})
	return append(out, m.fail(Failure{Code: RefusedBefore, Ran: NotRun})...)
}

func (m *Machine) enqueue() []Effect {
	if m.request.Join {
		return m.fail(Failure{Code: NoClaim, Ran: MayHaveRun})
	}
	m.state = Queued
	return []Effect{{Kind: Acquire}}
}

// follow takes the answer of a dispatch that another machine made.
func (m *Machine) follow(c state.Claim) []Effect {
	m.claim = c
	m.stream = c.Stream
	m.address = c.Address
	m.owner = c.Entry
	begun := Effect{Kind: Dispatched, Stream: c.Stream}
	switch {
	case c.Done && c.Unknown:
		return append([]Effect{begun}, m.fail(Failure{Code: OutcomeUnknown, Ran: MayHaveRun})...)
	case c.Done && int64(len(c.Body)) == c.Length:
		m.state = Ended
		return []Effect{begun, {Kind: Recorded, Claim: c}}
	case c.Entry == m.request.Entry:
		return append([]Effect{begun}, m.ownerGone()...)
	}
	m.state = Fetching
	return []Effect{begun, {Kind: Fetch, Address: c.Entry, Stream: c.Stream}}
}

func (m *Machine) queued(e Event) []Effect {
	switch e.Kind {
	case GrantGiven:
		m.state = Granted
		m.upstream = e.Upstream
		m.address = e.Address
		m.held = true
		return []Effect{{Kind: Dial, Address: e.Address}}
	case Refused, Failed:
		return m.refuse(Failure{Code: Refusal, Ran: NotRun})
	case Canceled:
		return m.refuse(Failure{Code: CallerGone, Ran: NotRun})
	case Expired:
		return m.refuse(Failure{Code: TooLate, Ran: NotRun})
	}
	return nil
}

// refuse ends a request that sent nothing. A keyed one marks its key first, so
// that no other entry that has the same request runs it afterwards.
func (m *Machine) refuse(f Failure) []Effect {
	out := m.release(SlotNotSent)
	if !m.request.Keyed {
		return append(out, m.fail(f)...)
	}
	m.state = Refusing
	m.refusal = f
	mark := m.proposal()
	mark.Done = true
	mark.NotRun = true
	return append(out, Effect{Kind: Propose, Claim: mark, Last: true})
}

func (m *Machine) refusing(e Event) []Effect {
	switch e.Kind {
	case ClaimMade:
		return append([]Effect{{Kind: Remember, Claim: m.proposal()}}, m.fail(m.refusal)...)
	case ClaimExists:
		if e.Claim.NotRun {
			return m.marked(e.Claim)
		}
		return m.follow(e.Claim)
	case ClaimConflict:
		return m.fail(Failure{Code: KeyConflict, Ran: NotRun})
	case ClaimLost, Failed, Canceled, Expired:
		f := m.refusal
		f.Ran = MayHaveRun
		return m.fail(f)
	}
	return nil
}

func (m *Machine) granted(e Event) []Effect {
	switch e.Kind {
	case Connected:
		m.stream = m.request.Stream
		if !m.request.Keyed {
			return m.send()
		}
		m.state = Claiming
		return []Effect{{Kind: Propose, Claim: m.proposal()}}
	case Unreachable:
		m.state = Queued
		return append(m.release(SlotNotSent), Effect{Kind: Acquire, Pause: true})
	case Canceled:
		return m.refuse(Failure{Code: CallerGone, Ran: NotRun})
	case Expired:
		return m.refuse(Failure{Code: TooLate, Ran: NotRun})
	}
	return nil
}

func (m *Machine) proposal() state.Claim {
	r := m.request
	return state.Claim{
		Workspace: r.Workspace, Key: r.Key, Digest: r.Digest, Entry: r.Entry, Pool: r.Pool,
		Upstream: m.upstream, Address: m.address, Stream: r.Stream, Attempt: m.attempt,
	}
}

func (m *Machine) send() []Effect {
	m.state = Claimed
	return []Effect{{Kind: Dispatched, Stream: m.stream}, {Kind: Send, Stream: m.stream}}
}

func (m *Machine) claiming(e Event) []Effect {
	switch e.Kind {
	case ClaimMade:
		m.own = true
		return m.send()
	case ClaimExists:
		if e.Claim.NotRun {
			return m.marked(e.Claim)
		}
		return append(m.release(SlotNotSent), m.follow(e.Claim)...)
	case ClaimConflict:
		return append(m.release(SlotNotSent), m.fail(Failure{Code: KeyConflict, Ran: NotRun})...)
	case ClaimLost:
		// The same stream again: the log answers as it answered the first.
		return []Effect{{Kind: Propose, Claim: m.proposal(), Pause: true}}
	case Failed, Canceled, Expired:
		// Whether the claim stands is not known. Nothing was sent under it, so
		// it is settled in the background as not run.
		out := append(m.release(SlotNotSent), Effect{Kind: Settle, Claim: m.proposal()})
		return append(out, m.fail(Failure{Code: NoLog, Ran: MayHaveRun})...)
	}
	return nil
}

func (m *Machine) sending(e Event) []Effect {
	switch e.Kind {
	case Started:
		m.state = Streaming
		return []Effect{{Kind: Receive}}
	case Replied:
		m.length = e.Length
		return m.whole()
	case NothingSent:
		out := append(m.release(SlotNotSent), m.finish(state.Finish{NotRun: true})...)
		out = append(out, Effect{Kind: Remember, Claim: m.proposal()})
		return append(out, m.fail(Failure{Code: NotSent, Ran: NotRun})...)
	case Rejected:
		// The request left, so its key is used up, and only the upstream's word
		// stands for its not having run.
		out := append(m.release(SlotNotSent), m.finish(state.Finish{Unknown: true})...)
		return append(out, m.fail(Failure{Code: UpstreamRefused, Ran: MayHaveRun})...)
	case SendBroken:
		if m.request.Plain {
			return m.unknown()
		}
		m.state = Resuming
		return []Effect{{Kind: Resume, Address: m.address, Stream: m.stream}}
	case Canceled:
		return m.canceled(Failure{Code: CallerGone, Ran: MayHaveRun})
	case Expired:
		return m.canceled(Failure{Code: TooLate, Ran: MayHaveRun})
	}
	return nil
}

func (m *Machine) streaming(e Event) []Effect {
	switch e.Kind {
	case FrameRead:
		return m.frame(e.Frame)
	case Broken:
		return m.retry()
	case Moved:
		// What the old engine still sends is read to its end; from there on the
		// stream is resumed at the new one.
		m.address = e.Address
		return []Effect{{Kind: Receive}}
	case MoveFailed:
		return []Effect{{Kind: Receive}}
	case Canceled:
		return m.canceled(Failure{Code: CallerGone, Ran: DidRun})
	case Expired:
		return m.canceled(Failure{Code: TooLate, Ran: DidRun})
	}
	return nil
}

// frame takes a piece only where it continues this stream at this offset.
func (m *Machine) frame(f Frame) []Effect {
	if f.Stream != m.stream || f.Offset != m.length || f.Length < 0 {
		return m.retry()
	}
	if f.Error != "" {
		return m.upstreamFailed(f)
	}
	if f.Length > 0 {
		m.tries = 0
	}
	m.length += f.Length
	out := []Effect{{Kind: Deliver}}
	if f.End {
		return append(out, m.whole()...)
	}
	if f.Leaving && m.held && !m.moving {
		m.moving = true
		return append(out, Effect{Kind: Move, Address: m.address, Stream: m.stream})
	}
	return append(out, Effect{Kind: Receive})
}

func (m *Machine) upstreamFailed(f Frame) []Effect {
	out := append(m.release(SlotBroken), m.finish(state.Finish{Unknown: true})...)
	return append(out, m.fail(Failure{Code: UpstreamFailed, Ran: DidRun, Detail: f.Error})...)
}

// whole ends the request with its complete answer. A plain service's reply is
// recorded before the caller has it, because nobody could get it again.
func (m *Machine) whole() []Effect {
	out := m.release(SlotDone)
	record := m.finish(state.Finish{Length: m.length})
	end := Effect{Kind: End}
	m.state = Ended
	if m.request.Plain {
		return append(append(out, record...), end)
	}
	return append(append(out, end), record...)
}

// retry retires the connection and goes on over a new one, within bounds.
func (m *Machine) retry() []Effect {
	m.tries++
	retire := Effect{Kind: Retire}
	if m.tries > ResumeTries {
		return append([]Effect{retire}, m.unknown()...)
	}
	m.state = Resuming
	return []Effect{retire, {Kind: Resume, Address: m.address, Stream: m.stream, Offset: m.length, Pause: m.tries > 1}}
}

func (m *Machine) resuming(e Event) []Effect {
	switch e.Kind {
	case Started:
		m.state = Streaming
		return []Effect{{Kind: Receive}}
	case Broken, Unreachable, Rejected, SendBroken, NothingSent:
		return m.retry()
	case Canceled:
		return m.canceled(Failure{Code: CallerGone, Ran: MayHaveRun})
	case Expired:
		return m.canceled(Failure{Code: TooLate, Ran: MayHaveRun})
	}
	return nil
}

func (m *Machine) fetching(e Event) []Effect {
	switch e.Kind {
	case Fetched:
		m.state = Ended
		return []Effect{{Kind: End}}
	case FetchFailed:
		return m.fail(Failure{Code: OwnersFailure})
	case FetchBroken:
		m.tries++
		if e.Length > m.length {
			m.tries = 0
		}
		m.length = max(m.length, e.Length)
		if m.tries < FetchTries {
			return []Effect{{Kind: Fetch, Address: m.owner, Stream: m.stream, Offset: m.length, Pause: true}}
		}
		return m.ownerGone()
	case FetchUnheld, OwnerDead:
		m.length = max(m.length, e.Length)
		return m.ownerGone()
	case Canceled:
		return m.fail(Failure{Code: CallerGone, Ran: MayHaveRun})
	case Expired:
		return m.fail(Failure{Code: TooLate, Ran: MayHaveRun})
	}
	return nil
}

// ownerGone goes on without the entry that dispatched the request: an engine
// resumes its stream, a plain service's outcome stays unknown.
func (m *Machine) ownerGone() []Effect {
	m.tries = 0
	if !m.request.Plain {
		m.own = !m.claim.Done
		m.state = Resuming
		return []Effect{{Kind: Resume, Address: m.address, Stream: m.stream, Offset: m.length}}
	}
	if m.claim.Done {
		return m.fail(Failure{Code: AnswerLost, Ran: DidRun})
	}
	m.own = true
	return m.unknown()
}

// unknown ends a dispatch of which nobody can tell how it ended.
func (m *Machine) unknown() []Effect {
	out := append(m.release(SlotBroken), m.finish(state.Finish{Unknown: true})...)
	return append(out, m.fail(Failure{Code: OutcomeUnknown, Ran: MayHaveRun})...)
}

func (m *Machine) canceled(f Failure) []Effect {
	out := []Effect{{Kind: Retire}}
	if m.stream != m.request.Stream {
		// Another's dispatch goes on without this reader.
		return append(out, m.fail(f)...)
	}
	if !m.request.Plain {
		out = append(out, Effect{Kind: Cancel, Address: m.address, Stream: m.stream})
	}
	out = append(out, m.release(SlotCanceled)...)
	out = append(out, m.finish(state.Finish{Unknown: true})...)
	return append(out, m.fail(f)...)
}

func (m *Machine) release(s Slot) []Effect {
	if !m.held {
		return nil
	}
	m.held = false
	return []Effect{{Kind: Release, Slot: s}}
}

// finish records the end of a claim; the shell adds the reply's content.
func (m *Machine) finish(f state.Finish) []Effect {
	if !m.own {
		return nil
	}
	m.own = false
	f.Workspace = m.request.Workspace
	f.Key = m.request.Key
	f.Stream = m.stream
	return []Effect{{Kind: Finish, Finish: f}}
}

func (m *Machine) fail(f Failure) []Effect {
	m.state = Ended
	return []Effect{{Kind: Fail, Failure: f}}
}
