package member

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain sets a fixed seed for rapid unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

const tickInterval = 100 * time.Millisecond

// failingRequest is a request that fails at its timeout.
type failingRequest struct {
	failsAt   time.Duration
	from      string
	requestID uint64
}

// testNetwork connects machines in virtual time. A request is answered at once
// or fails at its timeout.
type testNetwork struct {
	now             time.Duration
	opt             Options
	machines        map[string]*Machine
	names           []string
	failingRequests []failingRequest
	// isLost reports whether messages from one address to another are lost.
	isLost   func(from, to string) bool
	messages int
	states   int
}

func newTestNetwork() *testNetwork {
	return &testNetwork{opt: DefaultOptions(), machines: map[string]*Machine{}, isLost: func(string, string) bool { return false }}
}

func (w *testNetwork) start(name string, incarnation uint64, seeds ...string) *Machine {
	rng := rand.New(rand.NewPCG(incarnation, uint64(len(name)+len(w.names))))
	m := New(State{Name: name, Incarnation: incarnation, Info: Info{PeerAddress: name}}, seeds, w.opt, rng)
	if !slices.Contains(w.names, name) {
		w.names = append(w.names, name)
	}
	w.machines[name] = m
	return m
}

// newConvergedNetwork starts n machines and runs until all know each other.
func newConvergedNetwork(t testing.TB, n int) *testNetwork {
	w := newTestNetwork()
	for i := range n {
		w.start(fmt.Sprintf("d%03d", i), uint64(100+i), "d000")
	}
	w.run(w.opt.MaxDisseminationTime(n) + 3*w.opt.RejoinInterval)
	for _, name := range w.names {
		require.Len(t, w.liveNames(name), n-1, "%s", name)
	}
	return w
}

func (w *testNetwork) liveNames(at string) []string {
	out := []string{}
	for _, s := range w.machines[at].Members() {
		if s.Status.IsLive() {
			out = append(out, s.Name)
		}
	}
	return out
}

func (w *testNetwork) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += tickInterval {
		failing := w.failingRequests
		w.failingRequests = nil
		for _, f := range failing {
			if m := w.machines[f.from]; m == nil {
				continue
			} else if f.failsAt > w.now {
				w.failingRequests = append(w.failingRequests, f)
			} else {
				w.send(f.from, m.HandleFailure(w.now, f.requestID))
			}
		}
		for _, n := range w.names {
			if m := w.machines[n]; m != nil {
				w.send(n, m.Tick(w.now))
			}
		}
	}
}

func (w *testNetwork) send(from string, requests []Request) {
	for _, r := range requests {
		reply, ok := w.call(from, r)
		if !ok {
			w.failingRequests = append(w.failingRequests, failingRequest{failsAt: w.now + r.Timeout, from: from, requestID: r.ID})
			continue
		}
		w.send(from, w.machines[from].HandleReply(w.now, r.ID, reply))
	}
}

func (w *testNetwork) call(from string, r Request) (Reply, bool) {
	w.messages++
	w.states += len(r.Updates)
	m := w.machines[r.Address]
	if m == nil || w.isLost(from, r.Address) {
		return Reply{}, false
	}
	reply, relay := m.HandleRequest(w.now, r)
	if relay != nil {
		answer, ok := w.call(r.Address, *relay)
		reply.TargetAlive = ok && answer.TargetAlive
	}
	w.messages++
	w.states += len(reply.Updates)
	return reply, !w.isLost(r.Address, from)
}

func TestDeadDaemonIsDetectedWithinBound(t *testing.T) {
	for _, n := range []int{2, 9, 100} {
		w := newConvergedNetwork(t, n)
		victim := w.names[n/2]
		w.machines[victim] = nil
		w.run(w.opt.MaxDisseminationTime(n))
		for _, name := range w.names {
			if w.machines[name] == nil {
				continue
			}
			s, ok := w.machines[name].Find(victim)
			require.True(t, ok)
			require.Equal(t, Dead, s.Status, "%d daemons, at %s", n, name)
		}
	}
}

func TestLiveDaemonsStayLive(t *testing.T) {
	w := newConvergedNetwork(t, 9)
	w.run(time.Minute)
	for _, name := range w.names {
		require.Len(t, w.liveNames(name), 8)
		require.EqualValues(t, 0, w.machines[name].Self().InfoVersion)
	}
}

func TestOneWayLinkFailureDoesNotCauseFalseDeath(t *testing.T) {
	w := newConvergedNetwork(t, 5)
	w.isLost = func(from, to string) bool { return from == "d000" && to == "d001" }
	w.run(time.Minute)
	for _, name := range w.names {
		require.Len(t, w.liveNames(name), 4, "%s", name)
	}
}

func TestSuspectRefutesSuspicion(t *testing.T) {
	w := newConvergedNetwork(t, 2)
	w.isLost = func(string, string) bool { return true }
	w.run(w.opt.ProbeInterval + w.opt.DirectTimeout + tickInterval)
	s, _ := w.machines["d000"].Find("d001")
	require.Equal(t, Suspect, s.Status)
	w.isLost = func(string, string) bool { return false }
	w.run(w.opt.SuspicionTimeout)
	s, _ = w.machines["d000"].Find("d001")
	require.Equal(t, Alive, s.Status)
	require.Greater(t, s.Incarnation, uint64(101))
}

func TestPartitionedDaemonRejoins(t *testing.T) {
	w := newConvergedNetwork(t, 9)
	w.isLost = func(from, to string) bool { return (from == "d004") != (to == "d004") }
	w.run(2 * time.Hour)
	require.Empty(t, w.liveNames("d004"))
	require.Len(t, w.liveNames("d000"), 7)
	w.isLost = func(string, string) bool { return false }
	w.run(w.opt.RejoinInterval + w.opt.MaxDisseminationTime(9))
	for _, name := range w.names {
		require.Len(t, w.liveNames(name), 8, "%s", name)
	}
}

func TestRestartRaisesIncarnation(t *testing.T) {
	w := newConvergedNetwork(t, 3)
	w.start("d002", 900, "d000")
	w.run(w.opt.MaxDisseminationTime(3))
	for _, name := range []string{"d000", "d001"} {
		s, _ := w.machines[name].Find("d002")
		require.EqualValues(t, 900, s.Incarnation)
	}
	// A clock that was set back gives a lower incarnation at the next start.
	w.start("d002", 50, "d000")
	w.run(w.opt.MaxDisseminationTime(3))
	s, _ := w.machines["d001"].Find("d002")
	require.Greater(t, s.Incarnation, uint64(900))
}

func TestDuplicateNameIsReported(t *testing.T) {
	w := newConvergedNetwork(t, 3)
	duplicate := New(State{Name: "d002", Incarnation: 900, Info: Info{PeerAddress: "x"}}, []string{"d000"}, w.opt, rand.New(rand.NewPCG(1, 1)))
	w.machines["x"] = duplicate
	w.names = append(w.names, "x")
	w.run(w.opt.MaxDisseminationTime(3))
	require.Condition(t, func() bool { return hasConflict(duplicate) || hasConflict(w.machines["d002"]) })
	require.Less(t, duplicate.Self().Incarnation, uint64(910), "daemons with the same name must not raise their incarnations in turn")
}

func hasConflict(m *Machine) bool {
	for _, c := range m.Events() {
		if c.Conflict {
			return true
		}
	}
	return false
}

func TestJoinsWhileOneSeedIsDown(t *testing.T) {
	w := newTestNetwork()
	w.start("a", 1, "gone", "b")
	w.start("b", 2, "gone")
	w.run(w.opt.MaxDisseminationTime(2) + w.opt.RejoinInterval)
	require.Equal(t, []string{"b"}, w.liveNames("a"))
	require.Equal(t, []string{"a"}, w.liveNames("b"))
}

func TestLeavingAndLeftSpread(t *testing.T) {
	w := newConvergedNetwork(t, 9)
	m := w.machines["d003"]
	i := m.Self().Info
	i.IsLeaving = true
	m.Update(i)
	w.run(2 * time.Second)
	for _, name := range w.names {
		if s, ok := w.machines[name].Find("d003"); ok {
			require.True(t, s.Info.IsLeaving, "%s", name)
			require.Equal(t, Alive, s.Status)
		}
	}
	m.Leave()
	w.send("d003", m.LeaveRequests())
	w.machines["d003"] = nil
	w.run(2 * time.Second)
	s, _ := w.machines["d000"].Find("d003")
	require.Equal(t, Left, s.Status)
}

func TestJoinReadsAllPages(t *testing.T) {
	w := newConvergedNetwork(t, 20)
	w.opt.MaxPageMembers = 7
	for _, m := range w.machines {
		m.options.MaxPageMembers = 7
	}
	w.start("new", 1, "d000")
	w.run(4 * w.opt.ProbeInterval)
	require.Len(t, w.liveNames("new"), 20)
}

func TestCostPerDaemonDoesNotGrowWithFleet(t *testing.T) {
	costPerDaemon := func(n int) (messages, states float64) {
		w := newConvergedNetwork(t, n)
		w.run(time.Minute)
		w.messages, w.states = 0, 0
		w.run(time.Minute)
		return float64(w.messages) / float64(n) / 60, float64(w.states) / float64(n) / 60
	}
	m9, s9 := costPerDaemon(9)
	m100, s100 := costPerDaemon(100)
	require.InEpsilon(t, m9, m100, 0.15)
	require.InEpsilon(t, s9, s100, 0.25)
	o := DefaultOptions()
	bound := 4 * float64(time.Second/o.ProbeInterval)
	require.LessOrEqual(t, m100, bound)
	require.LessOrEqual(t, s100, bound*float64(o.MaxUpdates))
}

// After any sequence of partitions, one-way failures, restarts and deaths, each
// live daemon must know exactly the live ones.
func TestAnyFaultHeals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 7).Draw(t, "daemons")
		w := newTestNetwork()
		for i := range n {
			w.start(fmt.Sprintf("d%d", i), uint64(i+1), "d0", "d1")
		}
		w.run(w.opt.MaxDisseminationTime(n))
		for range rapid.IntRange(1, 4).Draw(t, "faults") {
			victim := rapid.SampledFrom(w.names).Draw(t, "victim")
			other := rapid.SampledFrom(w.names).Draw(t, "other")
			switch rapid.SampledFrom([]string{"cut", "one way", "restart", "die"}).Draw(t, "fault") {
			case "cut":
				w.isLost = func(from, to string) bool { return (from == victim) != (to == victim) }
			case "one way":
				w.isLost = func(from, to string) bool { return from == victim && to == other }
			case "restart":
				w.start(victim, uint64(w.now), "d0", "d1")
			case "die":
				if victim != "d0" {
					w.machines[victim] = nil
				}
			}
			w.run(time.Duration(rapid.IntRange(1, 100).Draw(t, "steps")) * tickInterval)
		}
		w.isLost = func(string, string) bool { return false }
		w.run(time.Duration(n)*w.opt.RejoinInterval + w.opt.MaxDisseminationTime(n))
		want := []string{}
		for _, name := range w.names {
			if w.machines[name] != nil {
				want = append(want, name)
			}
		}
		for _, name := range want {
			require.ElementsMatch(t, want, append(w.liveNames(name), name), "at %s", name)
		}
	})
}
