package broker

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/routes"
)

// The pattern tests run the broker with simulated engines and a simulated clock.
// Each is named after the load that it offers.

// requestKind describes requests that arrive at random.
type requestKind struct {
	name string
	rank int
	// prompt and output are mean token counts.
	prompt int
	output int
	target time.Duration
	// value is the value of an answer on time, lateValue that of a late one.
	value     float64
	lateValue float64
	perSecond float64
	// resumes is the stream that the requests resume; zero if they begin streams.
	resumes uint64
}

// kinds are modelled after a deployment whose most urgent requests make up most of
// the value.
var kinds = []requestKind{
	{name: "draft", rank: 0, prompt: 3720, output: 120, target: time.Second, value: 5.3, lateValue: 0.53, perSecond: 13.8},
	{name: "compare", rank: 1, prompt: 2890, output: 52, target: 800 * time.Millisecond, value: 2.6, lateValue: 0.26, perSecond: 10.3},
	{name: "query", rank: 2, prompt: 1110, output: 172, target: 600 * time.Millisecond, value: 0.3, lateValue: 0.03, perSecond: 17.5},
}

const (
	// simTokenTime, simPrefillTime and simOverhead are in seconds.
	simTokenTime   = 0.0066
	simPrefillTime = 1.0 / 56_100
	simOverhead    = 0.093
	simPool        = "model"
)

// simEvent is an action at a simulated time.
type simEvent struct {
	at time.Duration
	do func()
}

// simEvents is a heap of events by time.
type simEvents []simEvent

func (h simEvents) Len() int           { return len(h) }
func (h simEvents) Less(i, j int) bool { return h[i].at < h[j].at }
func (h simEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)        { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// simEngine simulates an engine whose times are multiplied by slowness.
type simEngine struct {
	id       string
	slowness float64
	// prefillUntil is when all granted prompts are prefilled.
	prefillUntil time.Duration
	running      int
	// waiting holds the requests that wait for a slot, in order of arrival.
	waiting []func()
}

// tally counts the outcomes of one kind of request.
type tally struct {
	offered, onTime, late, refused int
	// value is what was earned, offeredValue what all requests on time would earn.
	value, offeredValue float64
}

// servedRatio is the fraction of the requests that were served, onTimeRatio the
// fraction served on time.
func (t tally) servedRatio() float64 {
	return float64(t.onTime+t.late) / math.Max(1, float64(t.offered))
}
func (t tally) onTimeRatio() float64 { return float64(t.onTime) / math.Max(1, float64(t.offered)) }

// sim runs a broker with simulated engines.
type sim struct {
	broker  *Broker
	engines map[string]*simEngine
	rng     *rand.Rand
	now     time.Duration
	events  simEvents
	next    uint64
	open    map[ID]requestKind
	offered map[ID]time.Duration
	tallies map[string]*tally
	// maxRunning is the most requests that any engine ran at once, busyTime the sum of the times
	// for which slots were occupied before busyUntil.
	maxRunning int
	busyTime   time.Duration
	busyUntil  time.Duration
	// transit is how long a grant takes to the engine, and a release to the broker.
	transit time.Duration
}

const simSlots = 7

// newSim returns a simulation with one engine per slowness.
func newSim(slowness ...float64) *sim {
	s := &sim{
		broker: New(1), engines: map[string]*simEngine{}, rng: rand.New(rand.NewPCG(1, 2)),
		open: map[ID]requestKind{}, offered: map[ID]time.Duration{}, tallies: map[string]*tally{},
	}
	table := &routes.Table{Version: 1, Pools: []routes.Pool{{Name: simPool, Engine: &routes.Engine{Slots: simSlots, MemoryTokens: 600_000, EventTokens: 2}}}}
	s.broker.SetTable(routes.NewIndex(table))
	list := []Upstream{}
	for i, x := range slowness {
		e := &simEngine{id: fmt.Sprintf("e-%02d", i), slowness: x}
		s.engines[e.id] = e
		list = append(list, Upstream{ID: e.id, Pool: simPool, Address: e.id, DataCentre: "dc", Region: "r", Slots: simSlots})
	}
	s.broker.SetUpstreams(list)
	return s
}

func (s *sim) at(when time.Duration, do func()) { heap.Push(&s.events, simEvent{at: when, do: do}) }

// arrive schedules Poisson arrivals of all kinds at a multiple of their rate.
func (s *sim) arrive(from, to time.Duration, factor float64) {
	for _, k := range kinds {
		for t := from; ; {
			t += time.Duration(s.rng.ExpFloat64() / (k.perSecond * factor) * float64(time.Second))
			if t >= to {
				break
			}
			s.at(t, func() { s.offer(k) })
		}
	}
}

func (s *sim) offer(k requestKind) {
	s.next++
	id := ID{Entry: "entry", Number: s.next}
	s.open[id], s.offered[id] = k, s.now
	c := s.tally(k)
	c.offered++
	c.offeredValue += k.value
	size := func(mean int) int { return max(1, int(float64(mean)*math.Exp(s.rng.NormFloat64()*0.8-0.32))) }
	s.broker.Offer(s.now, Offer{
		ID: id, Pool: simPool, DataCentre: "dc", Region: "r", Rank: k.rank, PromptTokens: size(k.prompt), OutputTokens: size(k.output),
		LatencyTarget: s.now + k.target, LatestUseful: s.now + 2*k.target, Deadline: s.now + 10*time.Second,
		Resumes: k.resumes,
	})
	s.decide()
}

func (s *sim) tally(k requestKind) *tally {
	if s.tallies[k.name] == nil {
		s.tallies[k.name] = &tally{}
	}
	return s.tallies[k.name]
}

func (s *sim) decide() {
	d := s.broker.Decide(s.now)
	for _, g := range d.Grants {
		s.start(g)
	}
	for _, r := range d.Refusals {
		s.tally(s.open[r.ID]).refused++
		delete(s.open, r.ID)
	}
}

func (s *sim) start(g Grant) {
	e, req := s.engines[g.Upstream], s.broker.requests[g.ID]
	run := func() { s.runOn(e, req) }
	if s.transit == 0 {
		run()
		return
	}
	s.at(s.now+s.transit, func() {
		if e.running >= simSlots {
			e.waiting = append(e.waiting, run)
			return
		}
		run()
	})
}

// runOn runs a request on an engine.
func (s *sim) runOn(e *simEngine, req *request) {
	k := s.open[req.ID]
	e.running++
	s.maxRunning = max(s.maxRunning, e.running)
	prefill := time.Duration(float64(req.PromptTokens) * simPrefillTime * e.slowness * float64(time.Second))
	e.prefillUntil = max(s.now, e.prefillUntil) + prefill
	first := e.prefillUntil + time.Duration(simOverhead*e.slowness*float64(time.Second))
	last := first + time.Duration(float64(req.OutputTokens)*simTokenTime*e.slowness*float64(time.Second))
	sent, output := req.granted+s.transit, req.OutputTokens
	s.busyTime += max(0, min(last, s.busyUntil)-s.now)
	s.at(last, func() {
		e.running--
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			next()
		}
		c := s.tally(k)
		if first-s.offered[req.ID] <= k.target {
			c.onTime++
			c.value += k.value
		} else {
			c.late++
			c.value += k.lateValue
		}
		release := func() {
			s.broker.End(s.now, End{ID: req.ID, Outcome: Completed, TimeToFirstEvent: first - sent, DecodeTime: last - first, OutputTokens: output})
			delete(s.open, req.ID)
			s.decide()
		}
		if s.transit == 0 {
			release()
			return
		}
		s.at(s.now+s.transit, release)
	})
}

// run processes all events and calls Decide at least every decideInterval while
// requests are open.
func (s *sim) run() {
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

// valueRatio is the fraction of the offered value that was earned.
func (s *sim) valueRatio() float64 {
	earned, offered := 0.0, 0.0
	// In order of the names: the last digit of a sum depends on the order.
	for _, name := range slices.Sorted(maps.Keys(s.tallies)) {
		earned += s.tallies[name].value
		offered += s.tallies[name].offeredValue
	}
	return earned / offered
}

// uneven is the slowness of nine engines, a third of which are more than four times
// as slow as the others.
var uneven = []float64{0.68, 0.68, 3, 0.68, 0.68, 3, 0.68, 0.68, 3}

func TestPatternModerateLoadOnUnevenEngines(t *testing.T) {
	s := newSim(uneven...)
	s.arrive(0, 30*time.Second, 0.7)
	s.run()
	require.Greater(t, s.valueRatio(), 0.97)
	require.LessOrEqual(t, s.maxRunning, simSlots)
	for _, k := range kinds {
		require.Greater(t, s.tally(k).servedRatio(), 0.99, k.name)
	}
}

func TestPatternBurstKeepsUrgentRequestsOnTime(t *testing.T) {
	s := newSim(uneven...)
	s.arrive(0, 5*time.Second, 1)
	s.arrive(5*time.Second, 15*time.Second, 2.2)
	s.run()
	require.Greater(t, s.tally(kinds[0]).onTimeRatio(), 0.9, "the most urgent kind")
	require.Greater(t, s.valueRatio(), 0.8)
	require.Greater(t, s.tally(kinds[0]).servedRatio(), s.tally(kinds[2]).servedRatio())
}

// TestPatternShortBurstIsServedLateRatherThanRefused overloads the engines with
// requests of one rank for two seconds. Requests that can no longer be on time must
// wait behind those that can, and be served after the burst.
func TestPatternShortBurstIsServedLateRatherThanRefused(t *testing.T) {
	s := newSim(uneven...)
	burst := kinds[0]
	burst.perSecond = 140
	for i := range 280 {
		s.at(time.Duration(i)*time.Second/140, func() { s.offer(burst) })
	}
	s.run()
	c := s.tally(burst)
	t.Logf("%+v", *c)
	require.Greater(t, c.servedRatio(), 0.85)
	require.Greater(t, c.onTimeRatio(), 0.6, "late requests must not delay those that can be on time")
}

func TestPatternSustainedOverloadIsRefusedEarly(t *testing.T) {
	s := newSim(uneven...)
	s.arrive(0, 20*time.Second, 2.5)
	s.run()
	require.Greater(t, s.tally(kinds[0]).onTimeRatio(), 0.85, "the most urgent kind")
	require.Greater(t, s.tally(kinds[2]).refused, s.tally(kinds[2]).offered/3)
	require.Empty(t, s.open, "every request has a final answer")
}

// TestPatternLocalBrokersDoNotOverloadEngines guards against overload while all
// entries use their local brokers with more requests than their share, as in a
// network partition of the control daemons.
func TestPatternLocalBrokersDoNotOverloadEngines(t *testing.T) {
	for _, c := range []struct{ entries, engines, slots int }{{9, 9, 7}, {63, 60, 5}, {300, 60, 5}} {
		list := []Upstream{}
		for i := range c.engines {
			list = append(list, Upstream{ID: fmt.Sprintf("e-%02d", i), Pool: simPool, Slots: c.slots})
		}
		held := map[string]int{}
		for entry := range c.entries {
			b := New(1 / float64(c.entries))
			b.SetName(fmt.Sprintf("entry-%d", entry))
			b.SetUpstreams(list)
			for n := range 40 {
				b.Offer(0, Offer{ID: ID{Entry: "x", Number: uint64(n)}, Pool: simPool, LatencyTarget: time.Second, LatestUseful: time.Second, Deadline: time.Second})
			}
			grants := b.Decide(0).Grants
			require.NotEmpty(t, grants, "every entry can use at least one upstream")
			for _, g := range grants {
				held[g.Upstream]++
			}
		}
		total, largest := 0, 0
		for _, n := range held {
			total += n
			largest = max(largest, n)
		}
		slots := c.engines * c.slots
		require.LessOrEqual(t, total, 2*slots, "%+v: on average no more requests wait at an engine than run", c)
		require.LessOrEqual(t, largest, 4*c.slots, "%+v", c)
		require.GreaterOrEqual(t, total, slots*9/10, "%+v: the engines are well used", c)
	}
}

// TestPatternBacklogAfterOutageIsServedLate offers at once the requests that waited
// while no broker answered, most of which can no longer be on time.
func TestPatternBacklogAfterOutageIsServedLate(t *testing.T) {
	s := newSim(uneven...)
	s.now = 10 * time.Second
	k := kinds[0]
	for range 80 {
		s.next++
		id := ID{Entry: "entry", Number: s.next}
		s.open[id], s.offered[id] = k, s.now-900*time.Millisecond
		s.tally(k).offered++
		target := s.offered[id] + k.target
		s.broker.Offer(s.now, Offer{
			ID: id, Pool: simPool, DataCentre: "dc", Region: "r", Rank: k.rank, PromptTokens: k.prompt, OutputTokens: k.output,
			LatencyTarget: target, LatestUseful: target + k.target, Deadline: target + 10*time.Second,
		})
	}
	s.decide()
	s.run()
	require.Greater(t, s.tally(k).servedRatio(), 0.95)
}

// TestPatternLongAnswersAvoidSlowEngines offers more requests than the fast engines
// have slots for, all too long for a slow engine to complete by the deadline.
func TestPatternLongAnswersAvoidSlowEngines(t *testing.T) {
	s := newSim(0.68, 0.68, 3, 3)
	learned := []Estimates{}
	for id, e := range s.engines {
		learned = append(learned, Estimates{ID: id, TokenTime: simTokenTime * e.slowness})
	}
	s.broker.SetEstimates(learned)
	long := kinds[2]
	long.output = 700
	onSlow := 0
	for range 20 {
		s.next++
		id := ID{Entry: "entry", Number: s.next}
		s.open[id] = long
		s.broker.Offer(0, Offer{ID: id, Pool: simPool, PromptTokens: 1000, OutputTokens: long.output, LatencyTarget: time.Second, LatestUseful: 2 * time.Second, Deadline: 15 * time.Second})
	}
	for _, g := range s.broker.Decide(0).Grants {
		if s.engines[g.Upstream].slowness > 1 {
			onSlow++
		}
	}
	require.Zero(t, onSlow, "700 tokens at 20 ms each, with the margin for the estimate, take longer than 15 s")
}

// TestPatternReleaseUnderLoadKeepsStreamsResumable offers more than the engines can serve
// while two of nine are still at the old software version. Streams that began there are
// resumed, many of them at once as after the loss of an entry. They must be served at least
// half as often as new streams, which any engine may take.
func TestPatternReleaseUnderLoadKeepsStreamsResumable(t *testing.T) {
	const resumed, atOnce, oldEngines = 120, 15, 2
	s := newSim(1, 1, 1, 1, 1, 1, 1, 1, 1)
	list := []Upstream{}
	for i, u := range s.broker.pools[simPool].order {
		u.SoftwareVersion = "v2"
		if i < oldEngines {
			u.SoftwareVersion = "v1"
		}
		list = append(list, u.Upstream)
	}
	s.broker.SetUpstreams(list)
	s.broker.LearnStreams(0, []StreamOrigin{{Stream: 77, SoftwareVersion: "v1", Until: time.Hour}})
	s.arrive(0, 20*time.Second, 1.6)
	resumptions := []requestKind{}
	for _, k := range kinds {
		k.name, k.resumes = "resumed "+k.name, 77
		resumptions = append(resumptions, k)
	}
	for i := range resumed {
		s.at(3*time.Second+time.Duration(i/atOnce)*2*time.Second, func() { s.offer(resumptions[i%len(resumptions)]) })
	}
	s.run()
	for i, k := range kinds {
		begun, goesOn := s.tally(k).servedRatio(), s.tally(resumptions[i]).servedRatio()
		t.Logf("%s: %.2f of new streams, %.2f of resumed ones", k.name, begun, goesOn)
		require.GreaterOrEqual(t, goesOn, begun/2, k.name)
	}
}
