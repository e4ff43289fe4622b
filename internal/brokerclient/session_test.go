package brokerclient

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/core/routes"
	"github.com/verbenastep/verbenastep/internal/brokerwire"
	"github.com/verbenastep/verbenastep/internal/freeport"
	"github.com/verbenastep/verbenastep/internal/link"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// testTimeout bounds every wait of the tests.
const testTimeout = 10 * time.Second

// control is a control daemon whose replies the test sets.
type control struct {
	rpc.DRPCBrokerUnimplementedServer
	address string
	mu      sync.Mutex
	leads   bool
	leader  string
	term    uint64
	silent  bool
	// sessions counts the sessions so far. offered holds the requests that were offered
	// in the current session; running ones are true.
	sessions int
	offered  map[uint64]bool
	grants   []*rpc.WorkGrant
	// ended counts the ends of grants.
	ended int
	// stopped ends the sessions, as a daemon that stops does.
	stopped bool
}

func (c *control) Session(stream rpc.DRPCBroker_SessionStream) error {
	c.mu.Lock()
	c.sessions++
	c.offered = map[uint64]bool{}
	c.mu.Unlock()
	go func() {
		for {
			ask, err := stream.Recv()
			if err != nil {
				return
			}
			c.mu.Lock()
			for _, o := range ask.Offers {
				c.offered[o.Id] = o.Running != ""
			}
			c.ended += len(ask.Ends)
			c.mu.Unlock()
		}
	}()
	for stream.Context().Err() == nil {
		c.mu.Lock()
		r := &rpc.BrokerReply{Leads: c.leads, Leader: c.leader, LeaderTerm: c.term, Entries: 3, Grants: c.grants, RosterSet: true, Roster: []*rpc.RosterEntry{{Id: "u", Pool: "p", Address: "a", Slots: 6}}}
		c.grants = nil
		silent, stopped := c.silent, c.stopped
		c.mu.Unlock()
		if stopped {
			return nil
		}
		if !silent {
			if err := stream.Send(r); err != nil {
				return err
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// set changes the daemon under its lock.
func (c *control) set(change func(*control)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c)
}

// check evaluates a condition under the daemon's lock.
func (c *control) check(condition func(*control) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return condition(c)
}

// view is a view whose leader the test sets.
type view struct {
	index *routes.Index

	mu      sync.Mutex
	leader  port.Leader
	changed chan struct{}
}

func (v *view) Routes() *routes.Index { return v.index }

func (v *view) Leader() port.Leader {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leader
}

func (v *view) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// setLeader sets the leader and notifies watchers.
func (v *view) setLeader(leader port.Leader) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leader = leader
	close(v.changed)
	v.changed = make(chan struct{})
}

func newLink(t *testing.T, address string) *link.Service {
	t.Helper()
	l := link.New(&settings.Settings{Addresses: settings.Addresses{Peers: address}}, zap.NewNop())
	require.NoError(t, l.Start(context.Background(), nil))
	t.Cleanup(func() { _ = l.Stop(context.Background()) })
	return l
}

// newEntry returns the started client of an entry and the n control daemons that it knows.
func newEntry(t *testing.T, n int) (*Service, []*control) {
	t.Helper()
	return newEntryWith(t, n, func(*Service) {})
}

// newEntryWith is newEntry with a change of the client before it starts.
func newEntryWith(t *testing.T, n int, change func(*Service)) (*Service, []*control) {
	t.Helper()
	addresses, err := freeport.Addresses(n + 1)
	require.NoError(t, err)
	set := &settings.Settings{Routing: &settings.Routing{}}
	controls := []*control{}
	for _, a := range addresses[:n] {
		c := &control{address: a}
		l := newLink(t, a)
		require.NoError(t, rpc.DRPCRegisterBroker(l.Mux(), c))
		l.Serve()
		controls = append(controls, c)
		set.Replicas = append(set.Replicas, settings.Peer{Name: a, Address: a})
	}
	s := New(set, zap.NewNop(), port.Holder{Name: "entry", Address: addresses[n]})
	own := newLink(t, addresses[n])
	own.Serve()
	s.link = own
	s.view = &view{index: routes.NewIndex(&routes.Table{Version: 1, Pools: []routes.Pool{{Name: "p"}}}), changed: make(chan struct{})}
	change(s)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.done.Go(s.runSessions)
	s.done.Go(s.runLocal)
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
	return s, controls
}

// acquire acquires an upstream of the only pool.
func acquire(s *Service) (port.BrokerTicket, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	at := time.Now().Add(testTimeout)
	return s.Acquire(ctx, port.BrokerOffer{Offer: broker.Offer{Pool: "p"}, LatencyTargetAt: at, DeadlineAt: at})
}

func (s *Service) isAttached() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attached
}

// TestNewLeaderKeepsItsSessions checks that an entry in a session with a follower offers its
// running requests in the same session once the follower leads.
func TestNewLeaderKeepsItsSessions(t *testing.T) {
	s, c := newEntry(t, 1)
	ticket, err := acquire(s)
	require.NoError(t, err, "without a broker the local broker grants")
	require.Equal(t, byEntry, ticket.GrantedBy)
	require.Eventually(t, func() bool { return c[0].check(func(c *control) bool { return c.sessions > 0 }) }, testTimeout, time.Millisecond)
	c[0].set(func(c *control) { c.leads, c.leader = true, c.address })
	require.Eventually(t, func() bool {
		return c[0].check(func(c *control) bool { return c.offered[ticket.ID.Number] })
	}, testTimeout, time.Millisecond)
	sessions := 0
	c[0].set(func(c *control) { sessions = c.sessions })
	time.Sleep(2 * minLeaderlessTimeout)
	require.True(t, c[0].check(func(c *control) bool { return c.sessions == sessions }))
}

func TestEntryConnectsToLeaderNamedByAnyDaemon(t *testing.T) {
	s, c := newEntry(t, 3)
	c[2].set(func(x *control) { x.leads, x.leader = true, x.address })
	for _, x := range c[:2] {
		x.set(func(x *control) { x.leader = c[2].address })
	}
	require.Eventually(t, s.isAttached, testTimeout, time.Millisecond)
	require.True(t, c[2].check(func(x *control) bool { return x.sessions == 1 }))
}

// TestEntryLeavesSilentBroker freezes the broker and lets another daemon lead later. The
// local broker must grant meanwhile, and the new broker must get the running requests.
func TestEntryLeavesSilentBroker(t *testing.T) {
	s, c := newEntry(t, 2)
	c[0].set(func(x *control) { x.leads, x.leader = true, x.address })
	c[1].set(func(x *control) { x.leader = c[0].address })
	require.Eventually(t, s.isAttached, testTimeout, time.Millisecond)
	c[0].set(func(x *control) { x.silent = true })
	c[1].set(func(x *control) { x.leader = "" })
	require.Eventually(t, func() bool { return !s.isAttached() }, testTimeout, time.Millisecond)
	ticket, err := acquire(s)
	require.NoError(t, err)
	require.Equal(t, byEntry, ticket.GrantedBy)
	c[1].set(func(x *control) { x.leads, x.leader = true, x.address })
	require.Eventually(t, s.isAttached, testTimeout, time.Millisecond)
	require.Eventually(t, func() bool { return c[1].check(func(x *control) bool { return x.offered[ticket.ID.Number] }) }, testTimeout, time.Millisecond)
}

// TestGrantForCanceledRequestIsReturned covers a grant that arrives after the caller has
// given up.
func TestGrantForCanceledRequestIsReturned(t *testing.T) {
	s, c := newEntry(t, 1)
	c[0].set(func(x *control) { x.leads, x.leader = true, x.address })
	require.Eventually(t, s.isAttached, testTimeout, time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	at := time.Now().Add(testTimeout)
	_, err := s.Acquire(ctx, port.BrokerOffer{Offer: broker.Offer{Pool: "p"}, LatencyTargetAt: at, DeadlineAt: at})
	require.ErrorIs(t, err, context.DeadlineExceeded)
	s.mu.Lock()
	s.handleGrant(broker.Grant{ID: broker.ID{Number: 1}, Upstream: "u", Address: "a"})
	ends := len(s.pending.Ends)
	s.mu.Unlock()
	require.Equal(t, 1, ends)
}

// TestFailedLeaderIsAvoidedWhileOthersNameIt freezes the leader while the other daemon still
// names it as the leader.
func TestFailedLeaderIsAvoidedWhileOthersNameIt(t *testing.T) {
	s, c := newEntry(t, 2)
	for _, x := range c {
		x.set(func(x *control) { x.leader = c[0].address })
	}
	c[0].set(func(x *control) { x.leads = true })
	require.Eventually(t, s.isAttached, testTimeout, time.Millisecond)
	sessions := 0
	c[0].set(func(x *control) { x.silent, sessions = true, x.sessions })
	require.Eventually(t, func() bool { return c[1].check(func(x *control) bool { return x.sessions > 0 }) }, testTimeout, time.Millisecond)
	time.Sleep(backOffDelay / 2)
	require.True(t, c[0].check(func(x *control) bool { return x.sessions == sessions }), "the entry connected to the frozen daemon again")
	c[1].set(func(x *control) { x.leads, x.leader = true, x.address })
	require.Eventually(t, s.isAttached, testTimeout, time.Millisecond)
}

func TestQuotaLevelsAreReplacedOrUpdated(t *testing.T) {
	s := New(&settings.Settings{Routing: &settings.Routing{}}, zap.NewNop(), port.Holder{Name: "e"})
	update := func(set bool, levels map[string]float64) map[string]float64 {
		s.updateQuotaLevels(&rpc.BrokerReply{QuotasSet: set, Quotas: brokerwire.EncodeQuotaLevels(levels)})
		return s.quotaLevels
	}
	require.Equal(t, map[string]float64{"a": 0.5, "b": 0.25}, update(true, map[string]float64{"a": 0.5, "b": 0.25}))
	require.Equal(t, map[string]float64{"a": 0.125, "b": 0.25}, update(false, map[string]float64{"a": 0.125}))
	require.Equal(t, map[string]float64{"b": 0.25}, update(false, map[string]float64{"a": 1}), "the quota is full again")
	require.Equal(t, map[string]float64{"c": 0.5}, update(true, map[string]float64{"c": 0.5}))
	require.Equal(t, map[string]float64{"c": 0.5}, update(false, nil), "a heartbeat")
}

// TestLeaderlessSessionsGetLonger guards against entries of a large deployment that change
// daemons so often that the daemons can't elect a leader.
func TestLeaderlessSessionsGetLonger(t *testing.T) {
	s, c := newEntry(t, 2)
	sessions := func() int {
		sum := 0
		for _, x := range c {
			x.set(func(x *control) { sum += x.sessions })
		}
		return sum
	}
	time.Sleep(8 * minLeaderlessTimeout)
	require.LessOrEqual(t, sessions(), 4, "sessions of 300, 600 and 1,200 ms fill the time")
	c[0].set(func(x *control) { x.leads, x.leader = true, x.address })
	c[1].set(func(x *control) { x.leader = c[0].address })
	require.Eventually(t, s.isAttached, testTimeout, time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Zero(t, s.leaderlessSessions)
}

// TestUnresponsiveDaemonIsLeftForNewLeader checks that an entry does not wait for the first
// message of a daemon once the view names another leader.
func TestUnresponsiveDaemonIsLeftForNewLeader(t *testing.T) {
	s, c := newEntry(t, 2)
	for _, x := range c {
		x.set(func(x *control) { x.silent = true })
	}
	contacted := func(x *control) bool { return x.sessions > 0 }
	require.Eventually(t, func() bool { return c[0].check(contacted) || c[1].check(contacted) }, testTimeout, time.Millisecond)
	leader := c[0]
	if leader.check(contacted) {
		leader = c[1]
	}
	leader.set(func(x *control) { x.leads, x.leader, x.silent = true, x.address, false })
	started := time.Now()
	s.view.(*view).setLeader(port.Leader{Address: leader.address, Term: 1})
	require.Eventually(t, s.isAttached, testTimeout, time.Millisecond)
	require.Less(t, time.Since(started), connectTimeout/2)
}

// TestRecoveredLeaderIsUsedAtOnce lets the leader's session time out; another daemon then
// names the same leader in a newer term.
func TestRecoveredLeaderIsUsedAtOnce(t *testing.T) {
	s, c := newEntry(t, 2)
	for _, x := range c {
		x.set(func(x *control) { x.leader, x.term = c[0].address, 1 })
	}
	c[0].set(func(x *control) { x.leads = true })
	require.Eventually(t, s.isAttached, testTimeout, time.Millisecond)
	c[0].set(func(x *control) { x.silent = true })
	require.Eventually(t, func() bool { return !s.isAttached() }, testTimeout, time.Millisecond)
	started := time.Now()
	c[0].set(func(x *control) { x.silent, x.term = false, 2 })
	c[1].set(func(x *control) { x.term = 2 })
	require.Eventually(t, s.isAttached, testTimeout, time.Millisecond)
	require.Less(t, time.Since(started), backOffDelay/2)
}

// TestFailedConnectionsDoNotLengthenLeaderlessTimeout covers an entry that starts before the
// control daemons and fails to connect to them many times.
func TestFailedConnectionsDoNotLengthenLeaderlessTimeout(t *testing.T) {
	s, _ := newEntry(t, 0)
	s.mu.Lock()
	s.set.Replicas = append(s.set.Replicas, settings.Peer{Name: "down", Address: "127.0.0.1:1"})
	s.mu.Unlock()
	time.Sleep(10 * reconnectDelay)
	require.Equal(t, minLeaderlessTimeout, s.leaderlessTimeout())
}

func TestFirstMessageCarriesRosterAge(t *testing.T) {
	s := New(&settings.Settings{Routing: &settings.Routing{}}, zap.NewNop(), port.Holder{Name: "e"})
	require.Zero(t, s.firstMessage().RosterAgeMs, "the entry has no roster")
	partial := New(&settings.Settings{Routing: &settings.Routing{}}, zap.NewNop(), port.Holder{Name: "f"})
	require.NoError(t, partial.handle("a", &rpc.BrokerReply{Leads: true}, false))
	require.Zero(t, partial.firstMessage().RosterAgeMs, "the full roster has not arrived yet")
	require.NoError(t, s.handle("a", &rpc.BrokerReply{RosterSet: true, Roster: []*rpc.RosterEntry{{Id: "u", Pool: "p"}}}, false))
	require.Zero(t, s.rosterAge(), "the roster of a follower may lack changes")
	require.NoError(t, s.handle("a", &rpc.BrokerReply{Leads: true}, false))
	require.Positive(t, s.firstMessage().RosterAgeMs)
}

// memberList is a member list with a number of entries and two control daemons.
type memberList struct {
	port.Members
	entries int
}

func (m memberList) Live() []port.Member {
	out := make([]port.Member, m.entries+2)
	for i := range m.entries {
		out[i].Callers = "a"
	}
	return out
}

// TestShareCountsAllEntries guards against an entry that takes the whole capacity and quota,
// since the daemon of its session serves few entries: a follower, or a new leader.
func TestShareCountsAllEntries(t *testing.T) {
	s := New(&settings.Settings{Routing: &settings.Routing{}}, zap.NewNop(), port.Holder{Name: "e"})
	s.view = &view{changed: make(chan struct{})}
	s.members = memberList{entries: 200}
	require.NoError(t, s.handle("a", &rpc.BrokerReply{Entries: 1}, false))
	require.Equal(t, 200, s.entries)
	require.NoError(t, s.handle("b", &rpc.BrokerReply{Leads: true, Entries: 300}, false))
	require.Equal(t, 300, s.entries, "the member list is not complete yet")
	require.ErrorIs(t, s.handle("b", &rpc.BrokerReply{Entries: 4, Leader: "c"}, false), errNotLeader)
	require.Equal(t, 300, s.entries, "a follower does not know all entries")
}

// TestNewBrokerLearnsLocalUse checks that tokens granted without a broker are reported once
// to each broker whose successor would not know of them.
func TestNewBrokerLearnsLocalUse(t *testing.T) {
	s := New(&settings.Settings{Routing: &settings.Routing{}}, zap.NewNop(), port.Holder{Name: "e"})
	s.view = &view{changed: make(chan struct{})}
	grant := func(number uint64) {
		s.waiting[number] = &acquisition{offer: broker.Offer{ID: broker.ID{Entry: "e", Number: number}, Workspace: "w", QuotaCharge: 40}, settled: make(chan struct{})}
		s.settleGrant(broker.Grant{ID: broker.ID{Entry: "e", Number: number}, Upstream: "u"}, byEntry)
	}
	// attach attaches to the broker of a term and returns what was reported as used.
	attach := func(term uint64) map[string]int64 {
		s.pending = rpc.BrokerAsk{}
		require.NoError(t, s.handle("a", &rpc.BrokerReply{Leads: true, Entries: 3, LeaderTerm: term}, false))
		return brokerwire.DecodeQuotaUse(s.pending.Quotas)
	}
	grant(1)
	grant(2)
	require.Equal(t, map[string]int64{"w": 80}, attach(1))
	s.detach("a", errBrokerTimeout)
	grant(3)
	require.Equal(t, map[string]int64{"w": 40}, attach(1), "the same broker knows of the first two")
	s.detach("a", errBrokerTimeout)
	require.Equal(t, map[string]int64{"w": 120}, attach(2), "the first broker ended before it sent levels")
	require.NoError(t, s.handle("a", &rpc.BrokerReply{Leads: true, QuotasSet: true, LeaderTerm: 2}, false))
	s.detach("a", errBrokerTimeout)
	require.Empty(t, attach(3), "the levels include it")
}

// TestQuotaLevelsAreRefilledWhileNoBrokerGrants guards against entries that attach late and
// lower a quota that has refilled since to its level at the loss of the last broker.
func TestQuotaLevelsAreRefilledWhileNoBrokerGrants(t *testing.T) {
	s := New(&settings.Settings{Routing: &settings.Routing{}}, zap.NewNop(), port.Holder{Name: "e"})
	s.view = &view{changed: make(chan struct{})}
	s.local.SetTable(routes.NewIndex(&routes.Table{Workspaces: []routes.Workspace{{Name: "w", TokensPerSecond: 1000, TokenBurst: 2000}}}))
	s.updateQuotaLevels(&rpc.BrokerReply{QuotasSet: true, Quotas: brokerwire.EncodeQuotaLevels(map[string]float64{"w": 0.25})})
	s.brokerHeardAt = s.now() - time.Second
	levels := brokerwire.DecodeQuotaLevels(s.quotaReport(1))
	require.InDelta(t, 0.75, levels["w"], 0.1)
	require.Empty(t, s.quotaReport(1), "the same broker needs no levels")
	s.brokerHeardAt = s.now() - 2*time.Second
	require.GreaterOrEqual(t, brokerwire.DecodeQuotaLevels(s.quotaReport(2))["w"], 1.0, "the quota is full again")
	s.localUse["w"] = 40
	levels = brokerwire.DecodeQuotaLevels(s.quotaReport(3))
	require.InDelta(t, 1.25, levels["w"], 0.1, "the refill covers what was used")
	s.knowsQuotas = false
	require.Empty(t, brokerwire.DecodeQuotaLevels(s.quotaReport(4)), "an entry that had no broker knows no level")
}

// fixedMembers is a member list that the test sets.
type fixedMembers struct {
	port.Members
	list []port.Member
}

func (m fixedMembers) Live() []port.Member { return m.list }

// TestEntryPrefersNearestDaemon covers an entry that starts with a member list of its seeds
// only and gets to know the daemon of its data centre later.
func TestEntryPrefersNearestDaemon(t *testing.T) {
	s := New(&settings.Settings{DataCentre: "a", Region: "r", Routing: &settings.Routing{}}, zap.NewNop(), port.Holder{Name: "e"})
	s.view = &view{changed: make(chan struct{})}
	far := port.Member{Peers: "far", DataCentre: "x", Region: "y", Replica: true}
	list := []port.Member{far, {Peers: "entry", DataCentre: "a", Region: "r"}, {Peers: "leaving", DataCentre: "a", Region: "r", Replica: true, Leaving: true}}
	s.members = fixedMembers{list: list}
	require.Equal(t, "far", s.nextAddress())
	require.False(t, s.hasNearer("far"))
	list = append(list, port.Member{Peers: "near", DataCentre: "b", Region: "r", Replica: true}, port.Member{Peers: "own", DataCentre: "a", Region: "r", Replica: true})
	s.members = fixedMembers{list: list}
	require.True(t, s.hasNearer("far"))
	require.False(t, s.hasNearer("own"))
	require.ErrorIs(t, s.handle("own", &rpc.BrokerReply{Leader: "near"}, false), errNotLeader)
	require.False(t, s.hasNearer("near"), "a daemon of an earlier version does not relay")
	s.leader = port.Leader{}
	clear(s.redirectedUntil)
	require.Equal(t, "own", s.nextAddress())
	s.detach("own", errBrokerTimeout)
	require.Equal(t, "near", s.nextAddress(), "its session has just failed")
	s.detach("near", errNotLeader)
	require.Equal(t, "far", s.nextAddress(), "the second daemon knows no leader")
}

// TestGrantReadAfterPauseIsNotUsed guards against a grant that waited for an entry that was
// paused: the broker has given up the entry and granted the slot to another request.
func TestGrantReadAfterPauseIsNotUsed(t *testing.T) {
	paused := atomic.Int64{}
	s, c := newEntryWith(t, 1, func(s *Service) {
		s.elapsed = func() time.Duration { return time.Since(s.started) + time.Duration(paused.Load()) }
	})
	c[0].set(func(x *control) { x.leads, x.leader = true, x.address })
	require.Eventually(t, s.isAttached, testTimeout, time.Millisecond)
	tickets := make(chan port.BrokerTicket, 1)
	go func() {
		ticket, _ := acquire(s)
		tickets <- ticket
	}()
	offered := func(x *control) bool { return len(x.offered) == 1 }
	require.Eventually(t, func() bool { return c[0].check(offered) }, testTimeout, time.Millisecond)
	c[0].set(func(x *control) { x.silent = true })
	time.Sleep(brokerTimeout / 4)
	c[0].set(func(x *control) {
		paused.Store(int64(brokerTimeout))
		x.silent, x.grants = false, []*rpc.WorkGrant{{Id: 1, Upstream: "outdated", Address: "a"}}
	})
	require.Eventually(t, func() bool { return c[0].check(func(x *control) bool { return x.sessions == 2 && offered(x) }) }, testTimeout, time.Millisecond)
	c[0].set(func(x *control) { x.grants = []*rpc.WorkGrant{{Id: 1, Upstream: "u", Address: "a"}} })
	require.Equal(t, "u", (<-tickets).Upstream)
}

// TestRosterAgesInSuspension guards against an entry that gets only the last changes of the
// roster after a suspension, in which it has missed all earlier ones.
func TestRosterAgesInSuspension(t *testing.T) {
	const suspension = 10 * time.Second
	s := New(&settings.Settings{Routing: &settings.Routing{}}, zap.NewNop(), port.Holder{Name: "e"})
	s.view = &view{changed: make(chan struct{})}
	now := time.Hour
	s.elapsed = func() time.Duration { return now }
	require.NoError(t, s.handle("a", &rpc.BrokerReply{Leads: true, RosterSet: true, Roster: []*rpc.RosterEntry{{Id: "u", Pool: "p"}}}, false))
	require.NoError(t, s.handle("a", &rpc.BrokerReply{Leads: true}, false))
	now += suspension
	require.EqualValues(t, suspension.Milliseconds(), s.firstMessage().RosterAgeMs)
}

// TestUseOfAnInterimBrokerIsReported guards against a workspace that gets a second quota from the
// next leader, or from its entry, after an interim broker granted it the first one.
func TestUseOfAnInterimBrokerIsReported(t *testing.T) {
	s := New(&settings.Settings{Routing: &settings.Routing{}}, zap.NewNop(), port.Holder{Name: "e"})
	s.view = &view{changed: make(chan struct{})}
	s.local.SetTable(routes.NewIndex(&routes.Table{Workspaces: []routes.Workspace{{Name: "w", TokensPerSecond: 1, TokenBurst: 100}}}))
	handle := func(r *rpc.BrokerReply) {
		s.pending = rpc.BrokerAsk{}
		require.NoError(t, s.handle("a", r, false))
	}
	handle(&rpc.BrokerReply{Leads: true, LeaderTerm: 1, QuotasSet: true, Quotas: []*rpc.QuotaLevel{{Workspace: "w", Left: 700}}})
	handle(&rpc.BrokerReply{})
	require.False(t, s.attached)
	handle(&rpc.BrokerReply{Interim: true})
	require.True(t, s.attached)
	require.InDelta(t, 0.7, brokerwire.DecodeQuotaLevels(s.pending.Quotas)["w"], 0.05, "the interim broker goes on from the leader's level")
	s.waiting[1] = &acquisition{offer: broker.Offer{ID: broker.ID{Entry: s.self, Number: 1}, Workspace: "w", QuotaCharge: 60}, settled: make(chan struct{})}
	handle(&rpc.BrokerReply{Interim: true, Grants: []*rpc.WorkGrant{{Id: 1, Upstream: "u"}}})
	require.Equal(t, byInterim, s.running[1].decidedBy)

	handle(&rpc.BrokerReply{})
	require.InDelta(t, 0.1, s.local.QuotaLevels(s.now())["w"], 0.05, "the local broker goes on from there")
	handle(&rpc.BrokerReply{Interim: true})
	require.Empty(t, s.pending.Quotas, "a second interim broker is told no second quota")
	handle(&rpc.BrokerReply{Leads: true, LeaderTerm: 2})
	require.Equal(t, map[string]int64{"w": 60}, brokerwire.DecodeQuotaUse(s.pending.Quotas), "the leader learns of it")
	require.Equal(t, byBroker, s.grantedBy())
}

// TestEntryLeavesAnInterimBroker guards against an entry that stays with a daemon without a leader
// while the others have one.
func TestEntryLeavesAnInterimBroker(t *testing.T) {
	s := New(&settings.Settings{Routing: &settings.Routing{}}, zap.NewNop(), port.Holder{Name: "e"})
	s.view = &view{changed: make(chan struct{})}
	s.members = fixedMembers{list: []port.Member{{Name: "x", Peers: "x", Replica: true}, {Name: "y", Peers: "y", Replica: true}}}
	first := s.nextAddress()
	require.NoError(t, s.handle(first, &rpc.BrokerReply{Interim: true}, false))
	s.interimSince -= maxInterimTime
	require.NoError(t, s.handle(first, &rpc.BrokerReply{Interim: true}, false), "no leader is known")
	s.view.(*view).setLeader(port.Leader{Address: "z", Term: 2})
	require.ErrorIs(t, s.handle(first, &rpc.BrokerReply{Interim: true}, false), errNotLeader)
	s.detach(first, errNotLeader)
	require.NotEqual(t, first, s.nextAddress())
}

// TestStopTellsOfEndedGrants guards against slots that the broker keeps taken for seconds after an
// entry has stopped: the grants ended right before it did.
func TestStopTellsOfEndedGrants(t *testing.T) {
	for range 20 {
		s, c := newEntry(t, 1)
		ticket, err := acquire(s)
		require.NoError(t, err)
		c[0].set(func(x *control) { x.leads, x.leader = true, x.address })
		require.Eventually(t, func() bool {
			return s.isAttached() && c[0].check(func(x *control) bool { return x.offered[ticket.ID.Number] })
		}, testTimeout, time.Millisecond)
		ticket.End(broker.End{Outcome: broker.Canceled})
		require.NoError(t, s.Stop(context.Background()))
		require.Eventually(t, func() bool { return c[0].check(func(x *control) bool { return x.ended == 1 }) }, time.Second, time.Millisecond)
	}
}

// TestShareOfLimitsNeedsLeader guards against entries whose parts of shared limits add up to more
// than the whole: one that has just started, one that follows a daemon that does not lead, and one
// that has lost its leader, while the others already share without it.
func TestShareOfLimitsNeedsLeader(t *testing.T) {
	s := New(&settings.Settings{Routing: &settings.Routing{}}, zap.NewNop(), port.Holder{Name: "e"})
	s.view = &view{changed: make(chan struct{})}
	now := time.Hour
	s.elapsed = func() time.Duration { return now }
	hear := func(leads bool, length time.Duration, entries uint32) {
		for end := now + length; now < end; now += heartbeatInterval {
			_ = s.handle("a", &rpc.BrokerReply{Leads: leads, Entries: entries}, false)
		}
	}
	hear(false, 3*maxShareGap, 4)
	require.Zero(t, s.Share().Fraction, "no leader counts the entries")
	hear(true, maxShareGap/2, 4)
	require.Zero(t, s.Share().Fraction, "the others may not know this entry")
	hear(true, maxShareGap, 4)
	require.InDelta(t, 0.25, s.Share().Fraction, 1e-9)
	hear(true, maxShareGap, 2)
	require.InDelta(t, 0.25, s.Share().Fraction, 1e-9, "the other two may act on what they know")
	hear(true, 3*maxShareGap, 2)
	require.InDelta(t, 0.5, s.Share().Fraction, 1e-9)
	earned := s.Share().Earned
	now += 10 * maxShareGap
	require.Zero(t, s.Share().Fraction)
	require.LessOrEqual(t, s.Share().Earned-earned, maxShareGap/2, "nothing is earned without a leader")
}
