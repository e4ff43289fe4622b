package broker

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/routes"
	"github.com/verbenastep/verbenastep/core/suspects"
)

const (
	// crashesToQuarantine is the number of crashes in turn after which a content is refused.
	crashesToQuarantine = 3
	crashEngines        = 12
	crashSlots          = 5
	// restartDuration is how long an engine is away after a crash.
	restartDuration = 3 * time.Second
	// knownAfter is the time after the fifth crash by which all entries must know of it.
	knownAfter = 4 * time.Second
	// toleratedCrashes is the number of crashes until then, toleratedRuns that of requests
	// with the part that may still reach engines afterwards.
	toleratedCrashes = 5
	toleratedRuns    = 3
	prefillDuration  = 150 * time.Millisecond
	decodeDuration   = 700 * time.Millisecond
	crashLoadTime    = 60 * time.Second
)

// crashRun is a request on a simulated engine.
type crashRun struct {
	id      ID
	parts   []uint64
	started time.Duration
}

// crashEngine is an engine that ends under each request with a bad part.
type crashEngine struct {
	id      string
	starts  int
	down    bool
	running map[ID]*crashRun
}

// crashSim runs a broker for several entries on engines that crash.
type crashSim struct {
	broker  *Broker
	rng     *rand.Rand
	now     time.Duration
	events  simEvents
	engines []*crashEngine
	bad     uint64
	next    uint64
	parts   map[ID][]uint64
	// crashes holds the times of the crashes under the bad part, badRuns those at which
	// requests with it reached engines.
	crashes []time.Duration
	badRuns []time.Duration
	// offered, served and quarantined count sound requests by second of their arrival.
	offered, served, quarantined map[int]int
	arrived                      map[ID]time.Duration
}

func newCrashSim(seed uint64) *crashSim {
	s := &crashSim{
		broker: New(1), rng: rand.New(rand.NewPCG(seed, 9)), parts: map[ID][]uint64{}, arrived: map[ID]time.Duration{},
		offered: map[int]int{}, served: map[int]int{}, quarantined: map[int]int{},
	}
	s.broker.SetTable(routes.NewIndex(&routes.Table{Version: 1, Pools: []routes.Pool{{Name: simPool, Engine: &routes.Engine{Slots: crashSlots, MemoryTokens: 600_000, EventTokens: 2}}}}))
	for i := range crashEngines {
		s.engines = append(s.engines, &crashEngine{id: fmt.Sprintf("e-%02d", i), running: map[ID]*crashRun{}})
	}
	s.setUpstreams()
	return s
}

func (s *crashSim) at(when time.Duration, do func()) {
	heap.Push(&s.events, simEvent{at: when, do: do})
}

func (e *crashEngine) name() string { return fmt.Sprintf("%s-%d", e.id, e.starts) }

func (s *crashSim) setUpstreams() {
	list := []Upstream{}
	for _, e := range s.engines {
		if !e.down {
			list = append(list, Upstream{ID: e.name(), Pool: simPool, Address: e.name(), DataCentre: "dc", Region: "r", Slots: crashSlots})
		}
	}
	s.broker.SetUpstreams(list)
}

// arrive schedules requests at a rate per second with parts from a function.
func (s *crashSim) arrive(from, to time.Duration, rate float64, parts func() []uint64) {
	for t := from; ; {
		t += time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
		if t >= to {
			return
		}
		s.at(t, func() { s.offer(parts()) })
	}
}

func (s *crashSim) offer(parts []uint64) {
	s.next++
	id := ID{Entry: fmt.Sprintf("entry-%d", s.rng.IntN(9)), Number: s.next}
	s.parts[id], s.arrived[id] = parts, s.now
	if !slices.Contains(parts, s.bad) {
		s.offered[second(s.now)]++
	}
	s.broker.Offer(s.now, Offer{
		ID: id, Pool: simPool, Workspace: "w", DataCentre: "dc", Region: "r", Fingerprint: s.rng.Uint64(), SharedParts: parts,
		PromptTokens: 2000, OutputTokens: 80, LatencyTarget: s.now + time.Second, LatestUseful: s.now + 4*time.Second, Deadline: s.now + 10*time.Second,
	})
	s.decide()
}

func second(t time.Duration) int { return int(t / time.Second) }

func (s *crashSim) decide() {
	d := s.broker.Decide(s.now)
	for _, g := range d.Grants {
		s.start(g)
	}
	for _, r := range d.Refusals {
		if r.Code == Quarantined && !slices.Contains(s.parts[r.ID], s.bad) {
			s.quarantined[second(s.arrived[r.ID])]++
		}
	}
}

func (s *crashSim) start(g Grant) {
	i := slices.IndexFunc(s.engines, func(e *crashEngine) bool { return e.name() == g.Upstream })
	if i < 0 || s.engines[i].down {
		s.broker.End(s.now, End{ID: g.ID, Outcome: Unreachable})
		return
	}
	e := s.engines[i]
	r := &crashRun{id: g.ID, parts: s.parts[g.ID], started: s.now}
	e.running[g.ID] = r
	if slices.Contains(r.parts, s.bad) {
		s.badRuns = append(s.badRuns, s.now)
	}
	running := func() bool { return e.running[g.ID] == r }
	s.at(s.now+prefillDuration, func() {
		if running() && slices.Contains(r.parts, s.bad) {
			s.crashes = append(s.crashes, s.now)
			s.crash(e)
		}
	})
	s.at(s.now+prefillDuration+decodeDuration, func() {
		if !running() {
			return
		}
		delete(e.running, g.ID)
		s.served[second(s.arrived[g.ID])]++
		s.broker.End(s.now, End{ID: g.ID, Outcome: Completed, AnswerBegun: true, TimeToFirstEvent: prefillDuration, DecodeTime: decodeDuration, OutputTokens: 80})
		s.decide()
	})
}

// crash ends an engine with all that it runs; it starts again as a new process.
func (s *crashSim) crash(e *crashEngine) {
	e.down = true
	for _, r := range e.running {
		s.broker.End(s.now, End{ID: r.id, Outcome: ConnectionLost, AnswerBegun: s.now-r.started > prefillDuration})
	}
	clear(e.running)
	s.setUpstreams()
	s.at(s.now+restartDuration, func() {
		e.down = false
		e.starts++
		s.setUpstreams()
		s.decide()
	})
	s.decide()
}

func (s *crashSim) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(simEvent)
		for s.now+decideInterval < e.at {
			s.now += decideInterval
			s.decide()
		}
		s.now = max(s.now, e.at)
		e.do()
	}
}

// ratio returns the fraction of the sound requests of some seconds that counted has.
func (s *crashSim) ratio(counted map[int]int, from, to time.Duration) float64 {
	n, of := 0, 0
	for t := second(from); t < second(to); t++ {
		n += counted[t]
		of += s.offered[t]
	}
	return float64(n) / float64(max(1, of))
}

// lateBadRuns counts the requests with the bad part that reached engines later than
// knownAfter after the fifth crash.
func (s *crashSim) lateBadRuns() int {
	if len(s.crashes) < toleratedCrashes {
		return 0
	}
	n := 0
	for _, at := range s.badRuns {
		if at > s.crashes[toleratedCrashes-1]+knownAfter {
			n++
		}
	}
	return n
}

// requirePartIsStopped checks that few requests with the bad part reach engines once it has
// crashed several, and that sound ones are served.
func (s *crashSim) requirePartIsStopped(t *testing.T, seed uint64) {
	t.Helper()
	require.LessOrEqual(t, s.lateBadRuns(), toleratedRuns, "seed %d: requests with the part that reach engines; %d crashes", seed, len(s.crashes))
	last := s.crashes[min(len(s.crashes), toleratedCrashes)-1]
	require.Greater(t, s.ratio(s.served, last+2*knownAfter, crashLoadTime), 0.9, "seed %d: sound requests that are served", seed)
}

// The first part is the bad one: no sound request has it.
func TestFirstPartThatCrashesEnginesIsStopped(t *testing.T) {
	for seed := range uint64(20) {
		s := newCrashSim(seed)
		s.bad = 999
		sound := func() []uint64 { return []uint64{uint64(1 + s.rng.IntN(60))} }
		s.arrive(0, crashLoadTime, 40, sound)
		s.arrive(10*time.Second, crashLoadTime, 2, func() []uint64 { return []uint64{s.bad} })
		s.run(crashLoadTime)
		s.requirePartIsStopped(t, seed)
	}
}

// A later part is the bad one: sound requests share the first part, half of those with one
// first part are bad.
func TestLaterPartThatCrashesEnginesIsStopped(t *testing.T) {
	for seed := range uint64(20) {
		s := newCrashSim(seed)
		s.bad = 999
		s.arrive(0, crashLoadTime, 40, func() []uint64 { return []uint64{uint64(1 + s.rng.IntN(20)), uint64(100 + s.rng.IntN(40))} })
		s.arrive(10*time.Second, crashLoadTime, 2, func() []uint64 { return []uint64{7, s.bad} })
		s.run(crashLoadTime)
		s.requirePartIsStopped(t, seed)
	}
}

// A later part is the bad one, at requests with any of four first parts that all sound ones
// share.
func TestPartsThatCrashEnginesAmongOthersAreStopped(t *testing.T) {
	for seed := range uint64(20) {
		s := newCrashSim(seed)
		s.bad = 999
		s.arrive(0, crashLoadTime, 40, func() []uint64 { return []uint64{uint64(1 + s.rng.IntN(4)), uint64(100 + s.rng.IntN(40))} })
		s.arrive(10*time.Second, crashLoadTime, 4, func() []uint64 { return []uint64{uint64(1 + s.rng.IntN(4)), s.bad} })
		s.run(crashLoadTime)
		s.requirePartIsStopped(t, seed)
	}
}

// Engines that crash together, or one after the other, for reasons of their own say nothing
// of the parts that they ran: no sound request may be refused as quarantined.
func TestCrashesOfManyEnginesBlameNoPart(t *testing.T) {
	for seed := range uint64(20) {
		s := newCrashSim(seed)
		s.bad = 999
		s.arrive(0, crashLoadTime, 40, func() []uint64 { return []uint64{uint64(1 + s.rng.IntN(4)), uint64(100 + s.rng.IntN(10))} })
		crashAll := func() {
			for _, e := range s.engines {
				s.crash(e)
			}
		}
		for _, at := range []time.Duration{10, 10, 25, 30, 35} {
			s.at(at*time.Second, crashAll)
		}
		for i := range 20 {
			s.at(40*time.Second+time.Duration(i)*500*time.Millisecond, func() { s.crash(s.engines[s.rng.IntN(crashEngines)]) })
		}
		s.run(crashLoadTime)
		require.Zero(t, s.ratio(s.quarantined, 0, crashLoadTime), "seed %d: sound requests refused as quarantined", seed)
	}
}

// Each entry by itself would try a part again after its quarantine, and crash an engine.
func TestEntriesDoNotTryQuarantinedPartsAgain(t *testing.T) {
	const bad = 999
	known := []suspects.Suspect{{Content: bad, Crashes: crashesToQuarantine, Together: []uint64{bad}, RefusedUntil: time.Second}}
	for share, grants := range map[float64]int{1: 1, 0.5: 0} {
		b := New(share)
		b.SetUpstreams([]Upstream{{ID: "u", Pool: "p", Slots: 4}})
		b.LearnSuspects(0, known)
		now := time.Second + suspects.QuarantineDuration(crashesToQuarantine)
		for n := range uint64(3) {
			b.Offer(now, Offer{ID: ID{Entry: "e", Number: n}, Pool: "p", SharedParts: []uint64{bad}, LatencyTarget: now + time.Minute, LatestUseful: now + time.Minute, Deadline: now + time.Minute})
		}
		d := b.Decide(now)
		require.Len(t, d.Grants, grants, "share %v", share)
		require.Len(t, d.Refusals, 3-grants, "share %v", share)
	}
}

// quarantined returns the contents that a broker has in quarantine.
func quarantined(b *Broker, now time.Duration) []suspects.Suspect {
	return slices.DeleteFunc(b.SuspectedContents(now), func(s suspects.Suspect) bool { return !s.IsQuarantined() })
}

// A content that was cleared by one broker must not stay in quarantine at the others.
func TestClearedContentLeavesQuarantineEverywhere(t *testing.T) {
	const part = 999
	b, other := New(1), New(0.5)
	b.SetUpstreams([]Upstream{{ID: "u", Pool: "p", Slots: 4}})
	b.LearnSuspects(0, []suspects.Suspect{{Content: part, Crashes: crashesToQuarantine, Together: []uint64{part}, RefusedUntil: time.Second}})
	other.LearnSuspects(0, b.TakeSuspectChanges(0))
	require.Len(t, quarantined(other, 0), 1)
	now := time.Second + suspects.QuarantineDuration(crashesToQuarantine)
	id := ID{Entry: "e", Number: 1}
	b.Offer(now, Offer{ID: id, Pool: "p", SharedParts: []uint64{part}, LatencyTarget: now + time.Minute, LatestUseful: now + time.Minute, Deadline: now + time.Minute})
	require.Len(t, b.Decide(now).Grants, 1)
	b.End(now, End{ID: id, Outcome: Completed})
	require.Empty(t, quarantined(b, now))
	other.LearnSuspects(now, b.TakeSuspectChanges(now))
	require.Empty(t, quarantined(other, now))
}
