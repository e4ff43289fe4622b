package claims

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/verbenastep/verbenastep/core/state"
)

// world is one log and one upstream that several entries meet under one key.
type world struct {
	t       *rapid.T
	log     *state.Machine
	actors  []*actor
	clock   int
	settled []state.Claim
	// sends lists when and by whom the request was sent.
	sends []moment
	// marks tells when each attempt was marked as not run, and known which of
	// them each entry has learnt of.
	marks map[uint64]int
	known [entries]uint64
	// refusals lists attempts of which not run was said.
	refusals []uint64
}

// entries is how many entries callers may ask.
const entries = 3

// moment is something that an actor did.
type moment struct {
	at    int
	actor int
}

// actor is one caller's request at one entry.
type actor struct {
	id      int
	entry   int
	began   int
	machine *Machine
	awaited Effect
	crashed bool
	// sent says that the request reached the upstream from here.
	sent bool
}

// begin lets a caller send the request, at its entry or another.
func (w *world) begin(plain bool) {
	id := len(w.actors)
	entry := id % entries
	a := &actor{id: id, entry: entry, began: w.clock, machine: NewMachine(Request{
		Workspace: "w", Key: "k", Digest: "d", Keyed: true, Plain: plain,
		Stream: fmt.Sprintf("s%d", id), Entry: fmt.Sprintf("e%d", entry), Known: w.known[entry],
	})}
	w.actors = append(w.actors, a)
	w.step(a, Event{Kind: Begin})
}

func (w *world) step(a *actor, e Event) {
	a.awaited = Effect{}
	for _, effect := range a.machine.Step(e) {
		switch effect.Kind {
		case Finish:
			w.log.Apply(state.Command{Finish: &effect.Finish})
			w.observe()
		case Settle:
			w.settled = append(w.settled, effect.Claim)
		case Fail:
			if effect.Failure.Ran == NotRun {
				w.refusals = append(w.refusals, w.known[a.entry])
			}
		case Remember:
			w.known[a.entry] = max(w.known[a.entry], max(effect.Claim.Attempt, 1))
		}
		if effect.Awaited() {
			a.awaited = effect
		}
	}
}

// observe notes when an attempt was marked.
func (w *world) observe() {
	c, found := w.log.Claim("w", "k")
	if _, old := w.marks[max(c.Attempt, 1)]; found && c.NotRun && !old {
		w.marks[max(c.Attempt, 1)] = w.clock
	}
}

// settle ends one claim of unknown fate as the entries do.
func (w *world) settle() {
	c := w.settled[0]
	w.settled = w.settled[1:]
	if w.log.Apply(state.Command{Claim: &c}).Status == state.OK {
		w.log.Apply(state.Command{Finish: &state.Finish{Workspace: "w", Key: "k", Stream: c.Stream, NotRun: true}})
		w.observe()
	}
}

// answer lets what an actor waits for come to an end, well or badly.
func (w *world) answer(a *actor) {
	bad := rapid.IntRange(0, 9).Draw(w.t, "luck")
	if bad == 0 {
		w.step(a, Event{Kind: Expired})
		return
	}
	switch a.awaited.Kind {
	case Lookup:
		w.lookup(a, bad == 1)
	case Acquire:
		w.step(a, Event{Kind: pick(bad <= 3, Refused, GrantGiven), Upstream: "u", Address: "up"})
	case Dial:
		w.step(a, Event{Kind: pick(bad == 1, Unreachable, Connected)})
	case Propose:
		w.propose(a, bad)
	case Send:
		w.send(a, bad)
	case Receive:
		w.step(a, Event{Kind: FrameRead, Frame: Frame{Stream: a.machine.stream, Offset: a.machine.length, Length: 1, End: bad > 5}})
	case Resume:
		w.resume(a)
	case Fetch:
		w.step(a, Event{Kind: pick(bad < 5, FetchUnheld, FetchBroken)})
	}
}

func pick(bad bool, then, otherwise EventKind) EventKind {
	if bad {
		return then
	}
	return otherwise
}

func (w *world) lookup(a *actor, lost bool) {
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

// propose loses the command, or its answer, or neither.
func (w *world) propose(a *actor, bad int) {
	if bad == 1 {
		w.step(a, Event{Kind: ClaimLost})
		return
	}
	c := a.awaited.Claim
	r := w.log.Apply(state.Command{Claim: &c})
	w.observe()
	switch {
	case bad == 2:
		w.step(a, Event{Kind: ClaimLost})
	case r.Status == state.OK:
		w.step(a, Event{Kind: ClaimMade})
	case r.Status == state.Exists:
		w.step(a, Event{Kind: ClaimExists, Claim: *r.Claim})
	default:
		w.step(a, Event{Kind: ClaimConflict})
	}
}

func (w *world) send(a *actor, bad int) {
	if bad == 1 {
		w.step(a, Event{Kind: NothingSent})
		return
	}
	w.sends = append(w.sends, moment{w.clock, a.id})
	a.sent = true
	switch {
	case bad == 2:
		w.step(a, Event{Kind: Rejected})
	case bad == 3:
		w.step(a, Event{Kind: SendBroken})
	case a.machine.request.Plain:
		w.step(a, Event{Kind: Replied, Length: 3})
	default:
		w.step(a, Event{Kind: Started})
	}
}

// resume finds the stream where whoever it belongs to has sent it.
func (w *world) resume(a *actor) {
	for _, other := range w.actors {
		if other.sent && other.machine.request.Stream == a.awaited.Stream {
			w.step(a, Event{Kind: Started})
			return
		}
	}
	w.step(a, Event{Kind: Broken})
}

// check holds what was sent against what callers were told. A refusal speaks
// from the moment when its mark was committed: what was accepted before never
// runs.
func (w *world) check() {
	require.LessOrEqual(w.t, len(w.sends), 1, "sent more than once")
	for _, attempt := range w.refusals {
		marked, ok := w.marks[attempt]
		require.True(w.t, ok, "not run was said without a mark")
		for _, s := range w.sends {
			require.Greater(w.t, s.at, marked, "not run was said of a request that had run")
			require.Greater(w.t, w.actors[s.actor].began, marked, "a request from before the refusal ran after it")
		}
	}
}

// TestEntriesRaceUnderOneKey lets callers send one request to several entries,
// at once and again, while commands, answers, entries and connections are lost.
func TestEntriesRaceUnderOneKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, log: state.New(), marks: map[uint64]int{}}
		plain := rapid.Bool().Draw(t, "plain")
		for w.clock = 1; w.clock < 80; w.clock++ {
			w.turn(plain)
			w.check()
		}
	})
}

// turn does one thing.
func (w *world) turn(plain bool) {
	ready := []*actor{}
	for _, a := range w.actors {
		if !a.crashed && a.awaited.Awaited() {
			ready = append(ready, a)
		}
	}
	choice := rapid.IntRange(0, 11).Draw(w.t, "choice")
	switch {
	case (choice < 2 || len(ready) == 0) && len(w.actors) < 6:
		w.begin(plain)
	case choice == 2 && len(w.settled) > 0:
		w.settle()
	case len(ready) == 0:
	case choice == 3:
		rapid.SampledFrom(ready).Draw(w.t, "crash").crashed = true
	default:
		w.answer(rapid.SampledFrom(ready).Draw(w.t, "actor"))
	}
}
