package claims

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/verbenastep/verbenastep/core/state"
)

// simulation holds one log and one upstream shared by several entries that
// receive requests with the same key.
type simulation struct {
	t          *rapid.T
	log        *state.Machine
	actors     []*actor
	clock      int
	unresolved []state.Claim
	// sends lists when and by which actor the request was sent.
	sends []sendRecord
	// markedAt maps each attempt to the time when it was marked as not run;
	// knownMarks is the newest marked attempt that each entry knows of.
	markedAt   map[uint64]int
	knownMarks [entryCount]uint64
	// refusedAttempts lists attempts that callers were told did not run.
	refusedAttempts []uint64
}

// entryCount is the number of entries that callers send requests to.
const entryCount = 3

// sendRecord is one send of the request to the upstream.
type sendRecord struct {
	time  int
	actor int
}

// actor is one caller's request at one entry.
type actor struct {
	id        int
	entry     int
	startedAt int
	machine   *Machine
	awaited   Effect
	crashed   bool
	// sent is set once this actor's request reached the upstream.
	sent bool
}

// startRequest starts a request at the next entry in turn.
func (w *simulation) startRequest(plain bool) {
	id := len(w.actors)
	entry := id % entryCount
	a := &actor{id: id, entry: entry, startedAt: w.clock, machine: NewMachine(Request{
		Workspace: "w", Key: "k", Digest: "d", Keyed: true, PlainService: plain,
		Stream: fmt.Sprintf("s%d", id), Entry: fmt.Sprintf("e%d", entry), KnownNotRunAttempt: w.knownMarks[entry],
	})}
	w.actors = append(w.actors, a)
	w.step(a, Event{Kind: Begin})
}

func (w *simulation) step(a *actor, e Event) {
	a.awaited = Effect{}
	for _, effect := range a.machine.Step(e) {
		switch effect.Kind {
		case Finish:
			w.log.Apply(state.Command{Finish: &effect.Finish})
			w.recordMark()
		case ResolveClaim:
			w.unresolved = append(w.unresolved, effect.Claim)
		case Fail:
			if effect.Failure.Ran == NotRun {
				w.refusedAttempts = append(w.refusedAttempts, w.knownMarks[a.entry])
			}
		case RecordNotRun:
			w.knownMarks[a.entry] = max(w.knownMarks[a.entry], max(effect.Claim.Attempt, 1))
		}
		if effect.Awaited() {
			a.awaited = effect
		}
	}
}

// recordMark records when the current attempt was marked as not run.
func (w *simulation) recordMark() {
	c, found := w.log.Claim("w", "k")
	if _, old := w.markedAt[max(c.Attempt, 1)]; found && c.NotRun && !old {
		w.markedAt[max(c.Attempt, 1)] = w.clock
	}
}

// resolveClaim resolves one claim of unknown state the way the entries do.
func (w *simulation) resolveClaim() {
	c := w.unresolved[0]
	w.unresolved = w.unresolved[1:]
	if w.log.Apply(state.Command{Claim: &c}).Status == state.OK {
		w.log.Apply(state.Command{Finish: &state.Finish{Workspace: "w", Key: "k", Stream: c.Stream, NotRun: true}})
		w.recordMark()
	}
}

// answerAwaited answers an actor's awaited effect with a random success or
// failure.
func (w *simulation) answerAwaited(a *actor) {
	fault := rapid.IntRange(0, 9).Draw(w.t, "fault")
	if fault == 0 {
		w.step(a, Event{Kind: Expired})
		return
	}
	switch a.awaited.Kind {
	case Lookup:
		w.lookup(a, fault == 1)
	case Acquire:
		w.step(a, Event{Kind: pick(fault <= 3, Refused, GrantReceived), Upstream: "u", Address: "up"})
	case Dial:
		w.step(a, Event{Kind: pick(fault == 1, Unreachable, Connected)})
	case Propose:
		w.propose(a, fault)
	case Send:
		w.send(a, fault)
	case Receive:
		w.step(a, Event{Kind: FrameRead, Frame: Frame{Stream: a.machine.stream, Offset: a.machine.received, Length: 1, End: fault > 5}})
	case Resume:
		w.resume(a)
	case Fetch:
		w.step(a, Event{Kind: pick(fault < 5, AnswerNotHeld, FetchInterrupted)})
	}
}

func pick(condition bool, then, otherwise EventKind) EventKind {
	if condition {
		return then
	}
	return otherwise
}

func (w *simulation) lookup(a *actor, lost bool) {
	c, found := w.log.Claim("w", "k")
	switch {
	case lost:
		w.step(a, Event{Kind: Failed})
	case found:
		w.step(a, Event{Kind: Found, Claim: c})
	default:
		w.step(a, Event{Kind: NotFound})
	}
}

// propose applies the command, drops it, or drops its result.
func (w *simulation) propose(a *actor, fault int) {
	if fault == 1 {
		w.step(a, Event{Kind: ClaimUnconfirmed})
		return
	}
	c := a.awaited.Claim
	r := w.log.Apply(state.Command{Claim: &c})
	w.recordMark()
	switch {
	case fault == 2:
		w.step(a, Event{Kind: ClaimUnconfirmed})
	case r.Status == state.OK:
		w.step(a, Event{Kind: ClaimCommitted})
	case r.Status == state.Exists:
		w.step(a, Event{Kind: ClaimExists, Claim: *r.Claim})
	default:
		w.step(a, Event{Kind: ClaimConflict})
	}
}

func (w *simulation) send(a *actor, fault int) {
	if fault == 1 {
		w.step(a, Event{Kind: NothingSent})
		return
	}
	w.sends = append(w.sends, sendRecord{w.clock, a.id})
	a.sent = true
	switch {
	case fault == 2:
		w.step(a, Event{Kind: Rejected})
	case fault == 3:
		w.step(a, Event{Kind: SendInterrupted})
	case a.machine.request.PlainService:
		w.step(a, Event{Kind: Replied, Length: 3})
	default:
		w.step(a, Event{Kind: Started})
	}
}

// resume succeeds if the stream's owner has sent its request.
func (w *simulation) resume(a *actor) {
	for _, other := range w.actors {
		if other.sent && other.machine.request.Stream == a.awaited.Stream {
			w.step(a, Event{Kind: Started})
			return
		}
	}
	w.step(a, Event{Kind: ConnectionLost})
}

// checkInvariants compares what was sent with what callers were told. A refusal
// takes effect when its mark is committed: a request accepted before that never
// runs.
func (w *simulation) checkInvariants() {
	require.LessOrEqual(w.t, len(w.sends), 1, "sent more than once")
	for _, attempt := range w.refusedAttempts {
		marked, ok := w.markedAt[attempt]
		require.True(w.t, ok, "a caller was told not run without a committed mark")
		for _, s := range w.sends {
			require.Greater(w.t, s.time, marked, "a caller was told not run about a request that had run")
			require.Greater(w.t, w.actors[s.actor].startedAt, marked, "a request from before the refusal ran after it")
		}
	}
}

// TestEntriesRaceUnderOneKey sends one request to several entries concurrently
// and repeatedly, while commands, results, entries and connections fail.
func TestEntriesRaceUnderOneKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{t: t, log: state.New(), markedAt: map[uint64]int{}}
		plain := rapid.Bool().Draw(t, "plain")
		for w.clock = 1; w.clock < 80; w.clock++ {
			w.runTurn(plain)
			w.checkInvariants()
		}
	})
}

// runTurn executes one random action.
func (w *simulation) runTurn(plain bool) {
	ready := []*actor{}
	for _, a := range w.actors {
		if !a.crashed && a.awaited.Awaited() {
			ready = append(ready, a)
		}
	}
	choice := rapid.IntRange(0, 11).Draw(w.t, "choice")
	switch {
	case (choice < 2 || len(ready) == 0) && len(w.actors) < 6:
		w.startRequest(plain)
	case choice == 2 && len(w.unresolved) > 0:
		w.resolveClaim()
	case len(ready) == 0:
	case choice == 3:
		rapid.SampledFrom(ready).Draw(w.t, "crash").crashed = true
	default:
		w.answerAwaited(rapid.SampledFrom(ready).Draw(w.t, "actor"))
	}
}
