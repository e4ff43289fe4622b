package broker

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/core/routes"
	"github.com/verbenastep/verbenastep/internal/clock"
	"github.com/verbenastep/verbenastep/internal/freeport"
	"github.com/verbenastep/verbenastep/internal/link"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

const (
	relayTestTimeout = 10 * time.Second
	relayTestPoll    = 5 * time.Millisecond
)

// fakeView is a view with a fixed route table.
type fakeView struct {
	index *routes.Index
	*fakeElection
}

func (v fakeView) Routes() *routes.Index    { return v.index }
func (v fakeView) Changed() <-chan struct{} { return nil }

func (v fakeView) Leader() port.Leader {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leader
}

// fakeElection tells all daemons of a test which of them leads.
type fakeElection struct {
	mu     sync.Mutex
	leader port.Leader
	// outside is the address of a daemon that is not a member of the log.
	outside string
	// paused is for how long the daemons were paused, in nanoseconds.
	paused atomic.Int64
}

func (e *fakeElection) elect(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leader = port.Leader{Address: address, Term: e.leader.Term + 1}
}

// electedReplica is the replica of one daemon.
type electedReplica struct {
	*fakeElection
	address string
}

func (r electedReplica) Leadership() (bool, port.Leader) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.address == r.outside {
		return false, port.Leader{}
	}
	return r.leader.Address == r.address, r.leader
}

// startControls returns the started broker services of n control daemons, which share a
// roster of one upstream, and their addresses. The unregistered ones do not answer calls of
// the broker.
func startControls(t *testing.T, n int, unregistered ...int) ([]*Service, []string, *fakeElection) {
	t.Helper()
	addresses, err := freeport.Addresses(n)
	require.NoError(t, err)
	election := &fakeElection{}
	index := routes.NewIndex(&routes.Table{Version: 1, Pools: []routes.Pool{{Name: "p"}}, Workspaces: []routes.Workspace{{Name: "w", TokensPerSecond: 10, TokenBurst: 1000}}})
	out := []*Service{}
	for i, address := range addresses {
		set := &settings.Settings{Name: address, Addresses: settings.Addresses{Peers: address}, Routing: &settings.Routing{}}
		l := link.New(set, zap.NewNop())
		require.NoError(t, l.Start(context.Background(), nil))
		s := New(set, zap.NewNop())
		s.elapsed = func() time.Duration { return clock.SinceBoot() + time.Duration(election.paused.Load()) }
		s.view, s.roster, s.replica, s.link = fakeView{index, election}, &fakeRoster{list: []port.RosterEntry{upstream("u")}}, electedReplica{election, address}, l
		s.members = liveEntries(n)
		s.metrics, err = newMetrics(prometheus.NewRegistry())
		require.NoError(t, err)
		if !slices.Contains(unregistered, i) {
			require.NoError(t, rpc.DRPCRegisterBroker(l.Mux(), s))
		}
		s.ctx, s.cancel = context.WithCancel(context.Background())
		s.done.Go(s.run)
		s.done.Go(s.runRelay)
		l.Serve()
		t.Cleanup(func() {
			_ = s.Stop(context.Background())
			_ = l.Stop(context.Background())
		})
		out = append(out, s)
	}
	return out, addresses, election
}

// fakeEntry is the session of an entry.
type fakeEntry struct {
	t      *testing.T
	stream rpc.DRPCBroker_SessionClient
	end    context.CancelFunc

	mu      sync.Mutex
	last    *rpc.BrokerReply
	granted map[uint64]bool
	refused map[uint64]string
	// suspects holds the crashes held against each content, as the entry was told.
	suspects map[uint64]uint32
	// limits holds the newest limit of each upstream that the entry was told.
	limits map[string]*rpc.UpstreamLimit
	// losses counts the times that the daemon ceased to grant.
	losses int
}

func connect(t *testing.T, address string, first *rpc.BrokerAsk) *fakeEntry {
	t.Helper()
	l := link.New(&settings.Settings{}, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	stream, err := rpc.NewDRPCBrokerClient(l.Conn(address)).Session(ctx)
	require.NoError(t, err)
	e := &fakeEntry{t: t, stream: stream, end: cancel, granted: map[uint64]bool{}, refused: map[uint64]string{}, suspects: map[uint64]uint32{}, limits: map[string]*rpc.UpstreamLimit{}}
	e.send(first)
	go func() {
		for {
			r, err := stream.Recv()
			if err != nil {
				return
			}
			e.mu.Lock()
			for _, u := range r.Roster {
				e.limits[u.Id] = u.Limit
			}
			if e.last != nil && e.last.Leads && !r.Leads {
				e.losses++
			}
			e.last = r
			for _, g := range r.Grants {
				e.granted[g.Id] = true
			}
			for _, x := range r.Refusals {
				e.refused[x.Id] = x.Code
			}
			for _, x := range r.Suspects {
				e.suspects[x.Content] = x.Crashes
			}
			e.mu.Unlock()
		}
	}()
	return e
}

func (e *fakeEntry) send(ask *rpc.BrokerAsk) { require.NoError(e.t, e.stream.Send(ask)) }

// eventually waits until the entry's state has a property.
func (e *fakeEntry) eventually(property func() bool, message string) {
	e.t.Helper()
	require.Eventually(e.t, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.last != nil && property()
	}, relayTestTimeout, relayTestPoll, message)
}

func testOffer(id uint64) *rpc.WorkOffer {
	return &rpc.WorkOffer{Id: id, Pool: "p", AimMs: 60_000, WaitMs: 60_000}
}

func testEnd(id uint64) *rpc.WorkEnd {
	return &rpc.WorkEnd{Id: id, Outcome: uint32(broker.Completed), FirstMs: 60_000}
}

// TestFollowerRelaysItsEntries offers, ends and cancels requests through a follower.
func TestFollowerRelaysItsEntries(t *testing.T) {
	s, addresses, election := startControls(t, 2)
	election.elect(addresses[0])
	e := connect(t, addresses[1], &rpc.BrokerAsk{Entry: "e", Relayable: true})
	e.eventually(func() bool { return e.last.Leads }, "the follower relays")
	e.send(&rpc.BrokerAsk{Complete: true, Offers: []*rpc.WorkOffer{testOffer(1), testOffer(2)}})
	e.eventually(func() bool { return e.granted[1] && e.granted[2] }, "the leader grants both slots")
	e.send(&rpc.BrokerAsk{Offers: []*rpc.WorkOffer{testOffer(3), testOffer(4)}})
	e.send(&rpc.BrokerAsk{Ends: []*rpc.WorkEnd{testEnd(1)}})
	e.eventually(func() bool { return e.granted[3] }, "a release reaches the leader")
	require.False(t, e.granted[4])
	e.eventually(func() bool { return e.last.Entries == 1 }, "the leader counts relayed entries")
	sessions := func() int {
		s[0].mu.Lock()
		defer s[0].mu.Unlock()
		return len(s[0].sessions)
	}
	require.Equal(t, 1, sessions())
	e.end()
	require.Eventually(t, func() bool { return sessions() == 0 }, relayTestTimeout, relayTestPoll, "the leader hears of the loss")
}

// TestRelayedEntryFollowsChangeOfLeader lets the follower of an entry's session become the
// leader, and then a follower of another leader. Each must get the running request anew, so
// that it does not grant the same slot again.
func TestRelayedEntryFollowsChangeOfLeader(t *testing.T) {
	_, addresses, election := startControls(t, 3)
	election.elect(addresses[0])
	e := connect(t, addresses[1], &rpc.BrokerAsk{Entry: "e", Relayable: true})
	e.eventually(func() bool { return e.last.Leads }, "the follower relays")
	running := []*rpc.WorkOffer{testOffer(1), testOffer(2)}
	e.send(&rpc.BrokerAsk{Complete: true, Offers: running})
	e.eventually(func() bool { return e.granted[1] && e.granted[2] }, "both slots are granted")
	for _, o := range running {
		o.Running = "u"
	}
	for i, leader := range []string{addresses[1], addresses[2]} {
		election.elect(leader)
		e.eventually(func() bool { return e.losses == i+1 && e.last.Leads }, "the entry leaves its broker and finds the next")
		id := uint64(10 + i)
		e.send(&rpc.BrokerAsk{Complete: true, Offers: append([]*rpc.WorkOffer{testOffer(id)}, running...)})
		time.Sleep(20 * relayTestPoll)
		e.mu.Lock()
		require.False(t, e.granted[id], "both slots are in use")
		e.mu.Unlock()
		e.send(&rpc.BrokerAsk{Ends: []*rpc.WorkEnd{testEnd(uint64(i + 1))}})
		e.eventually(func() bool { return e.granted[id] }, "the new leader knows the running requests")
		running[i] = &rpc.WorkOffer{Id: id, Pool: "p", AimMs: 60_000, WaitMs: 60_000, Running: "u"}
	}
}

// TestFollowerEndsItsRelayAfterPause guards against grants that waited for a follower which was
// paused: the leader has given up its entries.
func TestFollowerEndsItsRelayAfterPause(t *testing.T) {
	_, addresses, election := startControls(t, 2)
	election.elect(addresses[0])
	e := connect(t, addresses[1], &rpc.BrokerAsk{Entry: "e", Relayable: true})
	e.eventually(func() bool { return e.last.Leads }, "the follower relays")
	election.paused.Store(int64(relayTimeout))
	e.eventually(func() bool { return e.losses > 0 }, "the entry is told that the relay was lost")
	e.eventually(func() bool { return e.last.Leads }, "the follower relays again")
}

// TestEntryOfEarlierVersionIsToldTheLeader checks that a follower does not relay for an entry
// that would not offer its requests to it.
func TestEntryOfEarlierVersionIsToldTheLeader(t *testing.T) {
	_, addresses, election := startControls(t, 2)
	election.elect(addresses[0])
	e := connect(t, addresses[1], &rpc.BrokerAsk{Entry: "e"})
	e.eventually(func() bool { return !e.last.Leads && e.last.Leader == addresses[0] }, "the follower names the leader")
}

// TestFollowerRefusesWhatTheLeaderSheds guards against a leader that spends its time on
// requests that it refuses. The follower must not refuse other ranks, running requests,
// resumed streams, or anything once the leader's word is old.
func TestFollowerRefusesWhatTheLeaderSheds(t *testing.T) {
	s := New(&settings.Settings{Routing: &settings.Routing{}}, zap.NewNop())
	metrics, err := newMetrics(prometheus.NewRegistry())
	require.NoError(t, err)
	s.metrics = metrics
	s.relay.up, s.relay.end = true, func(error) {}
	x := &session{out: make(chan *rpc.BrokerReply, sendQueueLength), end: func() {}, relayable: true, complete: true}
	s.sessions["e"] = x
	shedLow := &rpc.RelayReply{State: &rpc.BrokerReply{Leads: true}, Shedding: []*rpc.SheddingRank{{Pool: "p", Rank: 2, WaitMs: 700}}}
	require.NoError(t, s.handleRelayReply("a", shedLow))
	offers := func() []*rpc.WorkOffer {
		return []*rpc.WorkOffer{{Id: 1, Pool: "p", Rank: 2}, {Id: 2, Pool: "p", Rank: 1}, {Id: 3, Pool: "q", Rank: 2}, {Id: 4, Pool: "p", Rank: 2, Running: "u"}, {Id: 5, Pool: "p", Rank: 2, Resumes: 77}}
	}
	s.forward("e", x, &rpc.BrokerAsk{Offers: offers()})
	require.Len(t, s.relay.asks, 1)
	require.Len(t, s.relay.asks[0].Offers, 4, "rank 2 of the pool is refused unless it runs or resumes a stream")
	refused := (<-x.out).Refusals
	require.Len(t, refused, 1)
	require.Equal(t, uint64(1), refused[0].Id)
	require.Equal(t, string(broker.Overloaded), refused[0].Code)
	require.GreaterOrEqual(t, refused[0].RetryAfterMs, uint32(700))
	time.Sleep(sheddingDuration)
	s.forward("e", x, &rpc.BrokerAsk{Offers: offers()})
	require.Len(t, s.relay.asks[1].Offers, 5)
}

// TestLeaderOfEarlierVersionIsNamed checks that entries connect to a leader that has no call for
// relays, as during a rolling upgrade.
func TestLeaderOfEarlierVersionIsNamed(t *testing.T) {
	_, addresses, election := startControls(t, 2, 0)
	election.elect(addresses[0])
	e := connect(t, addresses[1], &rpc.BrokerAsk{Entry: "e", Relayable: true})
	e.eventually(func() bool { return !e.last.Leads && e.last.Leader == addresses[0] }, "the follower names the leader")
}

// TestDaemonOutsideTheLogRelays covers a daemon that lost its disk: it relays as soon as its
// view names the leader, although it can't join the log yet.
func TestDaemonOutsideTheLogRelays(t *testing.T) {
	_, addresses, election := startControls(t, 2)
	election.mu.Lock()
	election.outside = addresses[1]
	election.mu.Unlock()
	election.elect(addresses[0])
	e := connect(t, addresses[1], &rpc.BrokerAsk{Entry: "e", Relayable: true})
	e.eventually(func() bool { return e.last.Leads }, "the daemon relays")
}

// TestNewLeaderKnowsTheEstimatesOfTheLast guards against a broker that sends long requests to
// slow upstreams after each change of leader.
func TestNewLeaderKnowsTheEstimatesOfTheLast(t *testing.T) {
	s, addresses, election := startControls(t, 2)
	election.elect(addresses[0])
	eventually := func(property func() bool) {
		require.Eventually(t, property, relayTestTimeout, relayTestPoll)
	}
	callTime := func(x *Service) float64 {
		x.mu.Lock()
		defer x.mu.Unlock()
		return x.core.Estimates()["u"].CallTime
	}
	eventually(func() bool {
		s[0].mu.Lock()
		defer s[0].mu.Unlock()
		s[0].core.SetEstimates([]broker.Estimates{{ID: "u", CallTime: 2}})
		return s[0].core.Estimates()["u"].CallTime == 2
	})
	eventually(func() bool {
		s[1].mu.Lock()
		defer s[1].mu.Unlock()
		return s[1].relay.estimates["u"].CallTime == 2
	})
	election.elect(addresses[1])
	eventually(func() bool { return callTime(s[1]) == 2 })
}

// TestRelayNamesTheLeadersTerm covers a follower whose log hears of a new term after its relay:
// an entry must not take the leader for a new one later, and report its use of quotas twice.
func TestRelayNamesTheLeadersTerm(t *testing.T) {
	s := New(&settings.Settings{Routing: &settings.Routing{}}, zap.NewNop())
	metrics, err := newMetrics(prometheus.NewRegistry())
	require.NoError(t, err)
	s.metrics, s.leader = metrics, port.Leader{Address: "old", Term: 3}
	x := &session{out: make(chan *rpc.BrokerReply, sendQueueLength), end: func() {}, relayable: true}
	s.listeners[x] = struct{}{}
	require.NoError(t, s.handleRelayReply("a", &rpc.RelayReply{State: &rpc.BrokerReply{Leads: true, LeaderTerm: 4}}))
	require.Equal(t, uint64(4), (<-x.out).LeaderTerm)
}

// TestLongRoundsAreFurtherApart guards against a leader whose rounds over a queue of thousands
// take all of its processor time, so that it loses the leadership of the log.
func TestLongRoundsAreFurtherApart(t *testing.T) {
	s := New(&settings.Settings{Routing: &settings.Routing{}}, zap.NewNop())
	require.Equal(t, minDecideDelay, s.decideDelay())
	s.roundTime = 3 * time.Millisecond
	require.Equal(t, 12*time.Millisecond, s.decideDelay())
	s.roundTime = time.Second
	require.Equal(t, maxDecideDelay, s.decideDelay())
}

// TestDecisionsForGoneEntryAreReported guards against slots that a leader keeps for an entry whose
// first requests and end reached it in one message.
func TestDecisionsForGoneEntryAreReported(t *testing.T) {
	s := New(&settings.Settings{Routing: &settings.Routing{}}, zap.NewNop())
	metrics, err := newMetrics(prometheus.NewRegistry())
	require.NoError(t, err)
	s.metrics = metrics
	reply := &rpc.RelayReply{State: &rpc.BrokerReply{Leads: true}, Replies: []*rpc.RelayedReply{{Entry: "gone", Grants: []*rpc.WorkGrant{{Id: 1}}}}}
	require.NoError(t, s.handleRelayReply("a", reply))
	require.Equal(t, []string{"gone"}, s.takeRelayAsk().Lost)
}
