package broker

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// callerKind is a class of callers in the simulation of overload. The latency target and the
// value count from the first attempt.
type callerKind struct {
	rank                 int
	prompt, output       int
	target, deadline     time.Duration
	value, lateValue     float64
	perSecond            float64
	workspaces           int
	greedyFactor         float64
	greedyFrom, greedyTo time.Duration
}

var overloadKinds = []callerKind{
	{rank: 0, prompt: 2000, output: 75, target: 800 * time.Millisecond, deadline: 10 * time.Second, value: 7.6, lateValue: 3.9, perSecond: 40, workspaces: 16},
	{rank: 1, prompt: 2000, output: 75, target: 1200 * time.Millisecond, deadline: 5 * time.Second, value: 1.6, lateValue: 0.79, perSecond: 40, workspaces: 16},
	{rank: 2, prompt: 2000, output: 75, target: 1500 * time.Millisecond, deadline: 10 * time.Second, value: 0.23, lateValue: 0.11, perSecond: 77, workspaces: 16},
}

// overloadTally counts callers by how they fared.
type overloadTally struct {
	callers, onTime, late, refusedOnce, refusedTwice, left int
	// refusedLate counts attempts that waited for more than 300 ms before they were refused.
	refusedLate   int
	earned, worth float64
}

func (t overloadTally) String() string {
	return fmt.Sprintf("callers %d on time %d late %d refused once %d twice %d left %d refused after a wait %d value %.3f", t.callers, t.onTime, t.late, t.refusedOnce, t.refusedTwice, t.left, t.refusedLate, t.earned/math.Max(t.worth, 1e-9))
}

func (t overloadTally) served() float64 {
	return float64(t.onTime+t.late) / math.Max(1, float64(t.callers))
}

// caller is one caller with at most two attempts.
type caller struct {
	kind           *callerKind
	workspace      int
	first, offered time.Duration
	attempts       int
	prompt, output int
	size           float64
	fingerprint    uint64
	// impatient callers retry at once, persistent ones come back when the stated delay exceeds
	// a third of their time.
	impatient, persistent bool
}

// overloadSim runs a broker with simulated engines and callers that return after a refusal.
type overloadSim struct {
	broker      *Broker
	engines     map[string]*simEngine
	rng         *rand.Rand
	now         time.Duration
	events      simEvents
	next        uint64
	open        map[ID]*caller
	running     map[ID]bool
	byRank      map[int]*overloadTally
	byWorkspace map[[2]int]*overloadTally
	// large counts the largest tenth of all callers.
	large overloadTally
}

const overloadSimSlots = 5

func newOverloadSim(engines int, on bool) *overloadSim {
	slowness := make([]float64, engines)
	for i := range slowness {
		slowness[i] = 1
	}
	s := newSim(slowness...)
	list := []Upstream{}
	for _, u := range s.broker.pools[simPool].order {
		u.Slots = overloadSimSlots
		list = append(list, u.Upstream)
	}
	s.broker.SetUpstreams(list)
	if on {
		s.broker.SetOverload(Overload{})
	}
	return &overloadSim{
		broker: s.broker, engines: s.engines, rng: rand.New(rand.NewPCG(7, 7)), open: map[ID]*caller{}, running: map[ID]bool{},
		byRank: map[int]*overloadTally{}, byWorkspace: map[[2]int]*overloadTally{},
	}
}

func (s *overloadSim) at(when time.Duration, do func()) {
	heap.Push(&s.events, simEvent{at: when, do: do})
}

// arrive schedules Poisson arrivals of a kind at a multiple of its rate. The first workspace
// sends greedyFactor times its usual part within its time.
func (s *overloadSim) arrive(k callerKind, from, to time.Duration, factor float64) {
	kind := &k
	for w := range kind.workspaces {
		for t := from; ; {
			rate := kind.perSecond * factor / float64(kind.workspaces)
			if w == 0 && t >= kind.greedyFrom && t < kind.greedyTo {
				rate *= kind.greedyFactor
			}
			t += time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
			if t >= to {
				break
			}
			size := math.Exp(s.rng.NormFloat64()*0.6 - 0.18)
			c := &caller{
				kind: kind, workspace: w, first: t, prompt: int(float64(kind.prompt) * size), output: max(1, int(float64(kind.output)*size)), size: size,
				fingerprint: s.rng.Uint64() | 1, impatient: s.rng.Float64() < 0.2, persistent: s.rng.Float64() < 0.5,
			}
			s.at(t, func() { s.begin(c) })
		}
	}
}

func (s *overloadSim) tallies(c *caller) []*overloadTally {
	r, w := s.byRank[c.kind.rank], s.byWorkspace[[2]int{c.kind.rank, c.workspace}]
	if r == nil {
		r = &overloadTally{}
		s.byRank[c.kind.rank] = r
	}
	if w == nil {
		w = &overloadTally{}
		s.byWorkspace[[2]int{c.kind.rank, c.workspace}] = w
	}
	out := []*overloadTally{r, w}
	if c.size > 1.8 {
		out = append(out, &s.large)
	}
	return out
}

func (s *overloadSim) count(c *caller, add func(*overloadTally)) {
	for _, t := range s.tallies(c) {
		add(t)
	}
}

func (s *overloadSim) begin(c *caller) {
	s.count(c, func(t *overloadTally) { t.callers++; t.worth += c.kind.value * (0.3 + 0.7*c.size) })
	s.attempt(c)
}

func (s *overloadSim) attempt(c *caller) {
	c.attempts++
	c.offered = s.now
	s.next++
	id := ID{Entry: "entry", Number: s.next}
	s.open[id] = c
	k := c.kind
	abandon := s.now + max(2*time.Second, 4*k.target)
	o := Offer{
		ID: id, Pool: simPool, Workspace: fmt.Sprintf("w%d", c.workspace), DataCentre: "dc", Region: "r", Rank: k.rank, PromptTokens: c.prompt, OutputTokens: c.output, Fingerprint: c.fingerprint,
		LatencyTarget: s.now + k.target, LatestUseful: s.now + 2*k.target, Deadline: c.first + k.deadline, AbandonAt: min(abandon, c.first+k.deadline),
	}
	s.at(o.AbandonAt, func() {
		if s.open[id] == c && !s.running[id] {
			s.broker.Cancel(id)
			delete(s.open, id)
			s.count(c, func(t *overloadTally) { t.left++ })
		}
	})
	s.broker.Offer(s.now, o)
	s.decide()
}

func (s *overloadSim) decide() {
	d := s.broker.Decide(s.now)
	for _, g := range d.Grants {
		s.start(g)
	}
	for _, r := range d.Refusals {
		s.refused(r)
	}
}

func (s *overloadSim) refused(r Refusal) {
	c := s.open[r.ID]
	delete(s.open, r.ID)
	held := s.now - c.offered
	if held > 300*time.Millisecond {
		s.count(c, func(t *overloadTally) { t.refusedLate++ })
	}
	if c.attempts > 1 {
		s.count(c, func(t *overloadTally) { t.refusedTwice++ })
		return
	}
	s.count(c, func(t *overloadTally) { t.refusedOnce++ })
	longest := (c.first + c.kind.deadline - s.now) / 3
	after := r.RetryAfter
	switch {
	case c.impatient:
		after = 10 * time.Millisecond
	case after > longest && !c.persistent:
		s.count(c, func(t *overloadTally) { t.left++ })
		return
	case after > longest:
		after = longest
	}
	s.at(s.now+after, func() { s.attempt(c) })
}

func (s *overloadSim) start(g Grant) {
	e, c := s.engines[g.Upstream], s.open[g.ID]
	s.running[g.ID] = true
	prefill := time.Duration(float64(c.prompt) * simPrefillTime * float64(time.Second))
	e.prefillUntil = max(s.now, e.prefillUntil) + prefill
	first := e.prefillUntil + time.Duration(simOverhead*float64(time.Second))
	last := first + time.Duration(float64(c.output)*simTokenTime*float64(time.Second))
	granted := s.now
	s.at(last, func() {
		k := c.kind
		worth := 0.3 + 0.7*c.size
		switch {
		case first > c.offered+max(2*time.Second, 4*k.target) || last > c.first+k.deadline:
			s.count(c, func(t *overloadTally) { t.left++ })
		case first <= c.first+k.target:
			s.count(c, func(t *overloadTally) { t.onTime++; t.earned += k.value * worth })
		default:
			s.count(c, func(t *overloadTally) { t.late++; t.earned += k.lateValue * worth })
		}
		delete(s.open, g.ID)
		delete(s.running, g.ID)
		s.broker.End(s.now, End{ID: g.ID, Outcome: Completed, TimeToFirstEvent: first - granted, DecodeTime: last - first, OutputTokens: c.output})
		s.decide()
	})
}

// others returns the sum over the workspaces of a rank but the first.
func (s *overloadSim) others(rank int) overloadTally {
	out := overloadTally{}
	for key, t := range s.byWorkspace {
		if key[0] == rank && key[1] > 0 {
			out.callers += t.callers
			out.onTime += t.onTime
			out.late += t.late
			out.refusedOnce += t.refusedOnce
			out.refusedTwice += t.refusedTwice
			out.left += t.left
			out.earned += t.earned
			out.worth += t.worth
		}
	}
	return out
}

func (s *overloadSim) run() {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		for s.now+decideInterval < e.at && len(s.open) > 0 {
			s.now += decideInterval
			s.decide()
		}
		s.now = max(s.now, e.at)
		e.do()
	}
}

// compareOverload runs a load without and with the decisions under overload.
func compareOverload(load func(*overloadSim)) (without, with *overloadSim) {
	without, with = newOverloadSim(20, false), newOverloadSim(20, true)
	for _, s := range []*overloadSim{without, with} {
		load(s)
		s.run()
	}
	return without, with
}

// value is the earned part of the value of all callers.
func (s *overloadSim) value() float64 {
	earned, worth := 0.0, 0.0
	for _, t := range s.byRank {
		earned += t.earned
		worth += t.worth
	}
	return earned / worth
}
