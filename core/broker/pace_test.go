package broker

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The tests run the broker with simulated servers that are slow, or fail, under load until they
// have warmed up. Each is named after the load or the event, and compares what callers get with
// slow start and without.

const (
	paceSlots    = 4
	paceCallTime = 60 * time.Millisecond
	paceTarget   = 400 * time.Millisecond
	// paceEvent is when the event of a test happens, paceEnd when the load ends.
	paceEvent = paceSettleTime + 2*time.Second
	paceEnd   = paceEvent + 4*time.Second
)

// paceServer is a simulated server. Cold, its time grows with the number of its requests.
type paceServer struct {
	Upstream
	running map[ID]bool
	// heat goes from 0 to 1 by answers, or by time if the server announces its warm-up.
	heat   float64
	bornAt time.Duration
	// coldFactor is by how much a cold server's time grows for each request. crashAbove, if not
	// zero, is the number of requests at which a cold server crashes.
	coldFactor float64
	crashAbove int
	downUntil  time.Duration
}

type paceSim struct {
	t       *testing.T
	pace    *Pace
	broker  *Broker
	servers []*paceServer
	rng     *rand.Rand
	now     time.Duration
	events  simEvents
	offers  map[ID]Offer
	next    uint64
	// The results count requests offered from paceEvent on. longestWait is that of a granted
	// one.
	offered, onTime, late, refused, failed int
	longestWait                            time.Duration
}

func newPaceSim(t *testing.T, pace *Pace, servers int) *paceSim {
	s := &paceSim{t: t, pace: pace, rng: rand.New(rand.NewPCG(3, 4)), offers: map[ID]Offer{}}
	for i := range servers {
		id := fmt.Sprintf("u-%02d", i)
		s.servers = append(s.servers, &paceServer{Upstream: Upstream{ID: id, Pool: "p", Address: id, Slots: paceSlots, Born: 1}, heat: 1, running: map[ID]bool{}})
	}
	s.broker = s.newBroker()
	return s
}

func (s *paceSim) newBroker() *Broker {
	b := New(1)
	if s.pace != nil {
		b.SetPace(*s.pace)
	}
	s.broker = b
	s.announce()
	return b
}

// announce tells the broker of the servers.
func (s *paceSim) announce() {
	list := []Upstream{}
	for _, x := range s.servers {
		u := x.Upstream
		u.WarmUpTime = max(0, x.WarmUpTime-(s.now-x.bornAt))
		list = append(list, u)
	}
	s.broker.SetUpstreams(list)
}

func (s *paceSim) at(when time.Duration, do func()) { heap.Push(&s.events, simEvent{at: when, do: do}) }

// run offers requests at a fraction of the servers' capacity until paceEnd.
func (s *paceSim) run(load float64) {
	perSecond := load * float64(len(s.servers)*paceSlots) / paceCallTime.Seconds()
	for at := time.Duration(0); at < paceEnd; at += time.Duration(s.rng.ExpFloat64() / perSecond * float64(time.Second)) {
		s.at(at, s.offer)
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
		s.decide()
	}
}

func (s *paceSim) offer() {
	s.next++
	o := Offer{ID: ID{Entry: "e", Number: s.next}, Pool: "p", LatencyTarget: s.now + paceTarget, Deadline: s.now + 5*paceTarget, LatestUseful: s.now + 3*paceTarget}
	s.offers[o.ID] = o
	if s.now >= paceEvent {
		s.offered++
	}
	s.broker.Offer(s.now, o)
}

// counts reports whether a request is one that the results count.
func (s *paceSim) counts(o Offer) bool { return o.LatencyTarget-paceTarget >= paceEvent }

func (s *paceSim) decide() {
	d := s.broker.Decide(s.now)
	for _, g := range d.Grants {
		s.start(g)
	}
	for _, r := range d.Refusals {
		if s.counts(s.offers[r.ID]) {
			s.refused++
		}
		delete(s.offers, r.ID)
	}
	if delay, waits := s.broker.NextDelay(); waits && s.events.Len() > 0 && s.events[0].at > s.now+delay {
		s.at(s.now+delay, func() {})
	}
}

func (s *paceSim) start(g Grant) {
	x := s.servers[0]
	for _, other := range s.servers {
		if other.ID == g.Upstream {
			x = other
		}
	}
	if s.counts(s.offers[g.ID]) {
		s.longestWait = max(s.longestWait, g.Waited)
	}
	if s.now < x.downUntil {
		s.end(x, g.ID, End{ID: g.ID, Outcome: Unreachable})
		return
	}
	x.running[g.ID] = true
	require.LessOrEqual(s.t, len(x.running), paceSlots*maxTransitFactor)
	if x.WarmUpTime > 0 {
		x.heat = min(1, float64(s.now-x.bornAt)/float64(x.WarmUpTime))
	}
	if x.heat < 1 && x.crashAbove > 0 && len(x.running) > x.crashAbove {
		s.crash(x)
		return
	}
	took := time.Duration(float64(paceCallTime) * (1 + x.coldFactor*(1-x.heat)*float64(len(x.running))))
	born := x.bornAt
	s.at(s.now+took, func() {
		if !x.running[g.ID] || x.bornAt != born {
			return
		}
		if x.WarmUpTime == 0 {
			x.heat = min(1, x.heat+0.04)
		}
		s.end(x, g.ID, End{ID: g.ID, Outcome: Completed, TimeToFirstEvent: took})
	})
}

// ids returns the requests that the server runs, in order.
func (x *paceServer) ids() []ID {
	return slices.SortedFunc(maps.Keys(x.running), func(a, b ID) int { return cmp.Compare(a.Number, b.Number) })
}

// crash ends a server's requests; the server starts again, cold, half a second later.
func (s *paceSim) crash(x *paceServer) {
	for _, id := range x.ids() {
		s.end(x, id, End{ID: id, Outcome: ConnectionLost})
	}
	x.downUntil = s.now + 500*time.Millisecond
	s.at(x.downUntil, func() { s.restart(x) })
}

// restart replaces a server by a new, cold process.
func (s *paceSim) restart(x *paceServer) {
	for _, id := range x.ids() {
		s.end(x, id, End{ID: id, Outcome: Completed, TimeToFirstEvent: paceCallTime})
	}
	x.heat, x.bornAt, x.downUntil = 0, s.now, 0
	x.Born++
	s.announce()
}

func (s *paceSim) end(x *paceServer, id ID, e End) {
	delete(x.running, id)
	o := s.offers[id]
	delete(s.offers, id)
	s.broker.End(s.now, e)
	switch {
	case !s.counts(o):
	case e.Outcome != Completed:
		s.failed++
	case s.now <= o.LatencyTarget:
		s.onTime++
	default:
		s.late++
	}
}

// comparePace runs a load with slow start and without, logs what callers get and returns both.
func comparePace(t *testing.T, servers int, load float64, prepare func(s *paceSim)) (with, without *paceSim) {
	t.Helper()
	out := []*paceSim{}
	for _, pace := range []*Pace{{InitialSlots: 1, TimeFactor: 2.5}, nil} {
		s := newPaceSim(t, pace, servers)
		prepare(s)
		s.run(load)
		require.Equal(t, s.offered, s.onTime+s.late+s.refused+s.failed)
		t.Logf("slow start %v: offered %d, on time %d, late %d, refused %d, failed %d, longest wait %v", pace != nil, s.offered, s.onTime, s.late, s.refused, s.failed, s.longestWait)
		out = append(out, s)
	}
	return out[0], out[1]
}

// restartAt restarts the first n servers at a time; cold, each request adds a factor to their time.
func (s *paceSim) restartAt(when time.Duration, n int, coldFactor float64) {
	s.at(when, func() {
		for _, x := range s.servers[:n] {
			x.coldFactor = coldFactor
			s.restart(x)
		}
	})
}

// TestPaceManyColdUpstreamsUnderFullLoad guards against cold upstreams that are filled at once,
// where each of their answers is late.
func TestPaceManyColdUpstreamsUnderFullLoad(t *testing.T) {
	with, without := comparePace(t, 10, 0.7, func(s *paceSim) { s.restartAt(paceEvent, 4, 2) })
	require.Greater(t, with.onTime, without.onTime)
}

// TestPaceOneRecoveredUpstreamBesideBusyOnes guards against the late answers of a recovered
// upstream that looks free among busy ones.
func TestPaceOneRecoveredUpstreamBesideBusyOnes(t *testing.T) {
	with, without := comparePace(t, 10, 0.85, func(s *paceSim) { s.restartAt(paceEvent, 1, 3) })
	require.Less(t, with.late, without.late)
	require.GreaterOrEqual(t, with.onTime, without.onTime)
	require.Zero(t, with.broker.WindowsOpening(), "the upstream is used fully again")
}

// TestPaceUpstreamThatWarmsUp guards against a window that opens while the upstream is still slow
// since it warms up, as it has announced.
func TestPaceUpstreamThatWarmsUp(t *testing.T) {
	with, without := comparePace(t, 10, 0.75, func(s *paceSim) {
		for _, x := range s.servers[:2] {
			x.WarmUpTime = 2 * time.Second
		}
		s.restartAt(paceEvent, 2, 6)
		for at := paceEvent; at < paceEnd; at += 500 * time.Millisecond {
			s.at(at, s.announce)
		}
	})
	require.Greater(t, with.onTime, without.onTime)
}

// TestPaceUpstreamThatFailsWhileItOpens guards against an upstream that crashes under its full
// load, starts again, is filled and crashes again.
func TestPaceUpstreamThatFailsWhileItOpens(t *testing.T) {
	with, without := comparePace(t, 10, 0.7, func(s *paceSim) {
		s.servers[0].crashAbove = 2
		s.restartAt(paceEvent, 1, 0)
	})
	require.Less(t, with.failed, without.failed)
	require.GreaterOrEqual(t, with.onTime, without.onTime)
}

// TestPaceWholeFleetRestarted guards against requests that wait for windows although no other
// upstream could serve them.
func TestPaceWholeFleetRestarted(t *testing.T) {
	with, without := comparePace(t, 10, 0.7, func(s *paceSim) { s.restartAt(paceEvent, 10, 0.2) })
	require.Equal(t, [4]int{without.onTime, without.late, without.refused, without.failed}, [4]int{with.onTime, with.late, with.refused, with.failed})
	require.Equal(t, without.longestWait, with.longestWait)
}

// TestPaceContinuesAtNewBroker guards against a new broker that fills upstreams which the last one
// was opening slowly.
func TestPaceContinuesAtNewBroker(t *testing.T) {
	change := func(s *paceSim) {
		s.restartAt(paceEvent, 3, 3)
		s.at(paceEvent+200*time.Millisecond, func() {
			learned := []Estimates{}
			for _, l := range s.broker.Estimates() {
				learned = append(learned, l)
			}
			opening := s.broker.WindowsOpening()
			s.newBroker().SetEstimates(learned)
			s.broker.Decide(s.now)
			require.Equal(t, opening, s.broker.WindowsOpening())
			for _, x := range s.servers {
				for id := range x.running {
					o := s.offers[id]
					o.Running = x.ID
					s.broker.Offer(s.now, o)
				}
			}
			for id, o := range s.offers {
				if _, known := s.broker.requests[id]; !known {
					s.broker.Offer(s.now, o)
				}
			}
		})
	}
	with, without := comparePace(t, 10, 0.7, change)
	require.Greater(t, with.onTime, without.onTime)
}
