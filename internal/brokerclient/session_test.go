package brokerclient

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/core/routes"
	"github.com/verbenastep/verbenastep/internal/freeport"
	"github.com/verbenastep/verbenastep/internal/link"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
	"github.com/verbenastep/verbenastep/internal/work"
)

const patience = 10 * time.Second

// control is a control daemon that says what the test tells it to.
type control struct {
	rpc.DRPCBrokerUnimplementedServer
	address string
	mu      sync.Mutex
	leads   bool
	leader  string
	term    uint64
	silent  bool
	// sessions counts those that began; offered are the requests of the present
	// one, true where they run.
	sessions int
	offered  map[uint64]bool
	grants   []*rpc.WorkGrant
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
			c.mu.Unlock()
		}
	}()
	for stream.Context().Err() == nil {
		c.mu.Lock()
		r := &rpc.BrokerReply{Leads: c.leads, Leader: c.leader, LeaderTerm: c.term, Entries: 3, Grants: c.grants, RosterSet: true, Roster: []*rpc.RosterEntry{{Id: "u", Pool: "p", Address: "a", Slots: 6}}}
		c.grants = nil
		silent := c.silent
		c.mu.Unlock()
		if !silent {
			if err := stream.Send(r); err != nil {
				return err
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

func (c *control) set(change func(*control)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c)
}

func (c *control) see(look func(*control) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return look(c)
}

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

// hear has the view learn of a leader.
func (v *view) hear(leader port.Leader) {
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

// newEntry returns an entry that knows a number of control daemons.
func newEntry(t *testing.T, n int) (*Service, []*control) {
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
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.done.Go(s.follow)
	s.done.Go(s.decideAlone)
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
	return s, controls
}

func acquire(s *Service) (port.BrokerTicket, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	at := time.Now().Add(patience)
	return s.Acquire(ctx, port.BrokerOffer{Offer: broker.Offer{Pool: "p"}, LatencyTargetAt: at, DeadlineAt: at})
}

func (s *Service) isAttached() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attached
}

// TestDaemonThatBeginsToLeadKeepsItsSessions: an entry that waits with a daemon
// offers all that runs there as soon as it leads, over the same session.
func TestDaemonThatBeginsToLeadKeepsItsSessions(t *testing.T) {
	s, c := newEntry(t, 1)
	ticket, err := acquire(s)
	require.NoError(t, err, "while no broker answers, the entry grants by itself")
	require.Equal(t, byEntry, ticket.GrantedBy)
	require.Eventually(t, func() bool { return c[0].see(func(c *control) bool { return c.sessions > 0 }) }, patience, time.Millisecond)
	c[0].set(func(c *control) { c.leads, c.leader = true, c.address })
	require.Eventually(t, func() bool {
		return c[0].see(func(c *control) bool { return c.offered[ticket.ID.Number] })
	}, patience, time.Millisecond)
	sessions := 0
	c[0].set(func(c *control) { sessions = c.sessions })
	time.Sleep(2 * idleLimit)
	require.True(t, c[0].see(func(c *control) bool { return c.sessions == sessions }))
}

func TestEntryFollowsTheLeaderThatAnyDaemonNames(t *testing.T) {
	s, c := newEntry(t, 3)
	c[2].set(func(x *control) { x.leads, x.leader = true, x.address })
	for _, x := range c[:2] {
		x.set(func(x *control) { x.leader = c[2].address })
	}
	require.Eventually(t, s.isAttached, patience, time.Millisecond)
	require.True(t, c[2].see(func(x *control) bool { return x.sessions == 1 }))
}

// TestSilentBrokerIsLeft has the broker freeze, and another daemon lead later:
// the entry grants by itself meanwhile and gives what waits to the new broker.
func TestSilentBrokerIsLeft(t *testing.T) {
	s, c := newEntry(t, 2)
	c[0].set(func(x *control) { x.leads, x.leader = true, x.address })
	c[1].set(func(x *control) { x.leader = c[0].address })
	require.Eventually(t, s.isAttached, patience, time.Millisecond)
	c[0].set(func(x *control) { x.silent = true })
	c[1].set(func(x *control) { x.leader = "" })
	require.Eventually(t, func() bool { return !s.isAttached() }, patience, time.Millisecond)
	ticket, err := acquire(s)
	require.NoError(t, err)
	require.Equal(t, byEntry, ticket.GrantedBy)
	c[1].set(func(x *control) { x.leads, x.leader = true, x.address })
	require.Eventually(t, s.isAttached, patience, time.Millisecond)
	require.Eventually(t, func() bool { return c[1].see(func(x *control) bool { return x.offered[ticket.ID.Number] }) }, patience, time.Millisecond)
}

// TestGrantThatNobodyWaitsForIsGivenBack covers a grant that crosses the
// caller's departure.
func TestGrantThatNobodyWaitsForIsGivenBack(t *testing.T) {
	s, c := newEntry(t, 1)
	c[0].set(func(x *control) { x.leads, x.leader = true, x.address })
	require.Eventually(t, s.isAttached, patience, time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	at := time.Now().Add(patience)
	_, err := s.Acquire(ctx, port.BrokerOffer{Offer: broker.Offer{Pool: "p"}, LatencyTargetAt: at, DeadlineAt: at})
	require.ErrorIs(t, err, context.DeadlineExceeded)
	s.mu.Lock()
	s.takeGrant(broker.Grant{ID: broker.ID{Number: 1}, Upstream: "u", Address: "a"})
	ends := len(s.pending.Ends)
	s.mu.Unlock()
	require.Equal(t, 1, ends)
}

// TestLostLeaderIsNotAskedAgainWhileOthersNameIt has the leader freeze while
// the other daemon goes on naming it until it leads itself.
func TestLostLeaderIsNotAskedAgainWhileOthersNameIt(t *testing.T) {
	s, c := newEntry(t, 2)
	for _, x := range c {
		x.set(func(x *control) { x.leader = c[0].address })
	}
	c[0].set(func(x *control) { x.leads = true })
	require.Eventually(t, s.isAttached, patience, time.Millisecond)
	sessions := 0
	c[0].set(func(x *control) { x.silent, sessions = true, x.sessions })
	require.Eventually(t, func() bool { return c[1].see(func(x *control) bool { return x.sessions > 0 }) }, patience, time.Millisecond)
	time.Sleep(backOffTime / 2)
	require.True(t, c[0].see(func(x *control) bool { return x.sessions == sessions }), "the frozen daemon was asked again")
	c[1].set(func(x *control) { x.leads, x.leader = true, x.address })
	require.Eventually(t, s.isAttached, patience, time.Millisecond)
}

func TestLevelsAreReplacedOrBroughtUpToDate(t *testing.T) {
	s := New(&settings.Settings{Routing: &settings.Routing{}}, zap.NewNop(), port.Holder{Name: "e"})
	tell := func(set bool, levels map[string]float64) map[string]float64 {
		s.takeLevels(&rpc.BrokerReply{QuotasSet: set, Quotas: work.EncodeLevels(levels)})
		return s.levels
	}
	require.Equal(t, map[string]float64{"a": 0.5, "b": 0.25}, tell(true, map[string]float64{"a": 0.5, "b": 0.25}))
	require.Equal(t, map[string]float64{"a": 0.125, "b": 0.25}, tell(false, map[string]float64{"a": 0.125}))
	require.Equal(t, map[string]float64{"b": 0.25}, tell(false, map[string]float64{"a": 1}), "its whole quota again")
	require.Equal(t, map[string]float64{"c": 0.5}, tell(true, map[string]float64{"c": 0.5}))
	require.Equal(t, map[string]float64{"c": 0.5}, tell(false, nil), "a heartbeat")
}

// TestEntryThatFindsNoLeaderLooksElsewhereLessAndLess: entries that go from
// daemon to daemon all the time keep a large fleet from electing a leader.
func TestEntryThatFindsNoLeaderLooksElsewhereLessAndLess(t *testing.T) {
	s, c := newEntry(t, 2)
	sessions := func() int {
		sum := 0
		for _, x := range c {
			x.set(func(x *control) { sum += x.sessions })
		}
		return sum
	}
	time.Sleep(8 * idleLimit)
	require.LessOrEqual(t, sessions(), 4, "300, 600 and 1,200 ms fill the time")
	c[0].set(func(x *control) { x.leads, x.leader = true, x.address })
	c[1].set(func(x *control) { x.leader = c[0].address })
	require.Eventually(t, s.isAttached, patience, time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Zero(t, s.leaderless)
}

// TestDaemonThatDoesNotAnswerIsLeftForALeader does not wait for its first
// message once the view names the leader.
func TestDaemonThatDoesNotAnswerIsLeftForALeader(t *testing.T) {
	s, c := newEntry(t, 2)
	for _, x := range c {
		x.set(func(x *control) { x.silent = true })
	}
	asked := func(x *control) bool { return x.sessions > 0 }
	require.Eventually(t, func() bool { return c[0].see(asked) || c[1].see(asked) }, patience, time.Millisecond)
	leader := c[0]
	if leader.see(asked) {
		leader = c[1]
	}
	leader.set(func(x *control) { x.leads, x.leader, x.silent = true, x.address, false })
	began := time.Now()
	s.view.(*view).hear(port.Leader{Address: leader.address, Term: 1})
	require.Eventually(t, s.isAttached, patience, time.Millisecond)
	require.Less(t, time.Since(began), firstSilence/2)
}

// TestLeaderThatComesBackIsAskedAtOnce has the leader's sessions fail for a
// moment; another daemon then names it again, in a newer term.
func TestLeaderThatComesBackIsAskedAtOnce(t *testing.T) {
	s, c := newEntry(t, 2)
	for _, x := range c {
		x.set(func(x *control) { x.leader, x.term = c[0].address, 1 })
	}
	c[0].set(func(x *control) { x.leads = true })
	require.Eventually(t, s.isAttached, patience, time.Millisecond)
	c[0].set(func(x *control) { x.silent = true })
	require.Eventually(t, func() bool { return !s.isAttached() }, patience, time.Millisecond)
	began := time.Now()
	c[0].set(func(x *control) { x.silent, x.term = false, 2 })
	c[1].set(func(x *control) { x.term = 2 })
	require.Eventually(t, s.isAttached, patience, time.Millisecond)
	require.Less(t, time.Since(began), backOffTime/2)
}

// TestDaemonsThatAreDownDoNotLengthenTheStay: an entry that starts before the
// control daemons fails with them many times.
func TestDaemonsThatAreDownDoNotLengthenTheStay(t *testing.T) {
	s, _ := newEntry(t, 0)
	s.mu.Lock()
	s.set.Replicas = append(s.set.Replicas, settings.Peer{Name: "down", Address: "127.0.0.1:1"})
	s.mu.Unlock()
	time.Sleep(10 * retryPause)
	require.Equal(t, idleLimit, s.idle())
}

func TestEntrySaysHowOldItsRosterIs(t *testing.T) {
	s := New(&settings.Settings{Routing: &settings.Routing{}}, zap.NewNop(), port.Holder{Name: "e"})
	require.Zero(t, s.hello().RosterAgeMs, "it has none")
	early := New(&settings.Settings{Routing: &settings.Routing{}}, zap.NewNop(), port.Holder{Name: "f"})
	require.NoError(t, early.take("a", &rpc.BrokerReply{Leads: true}, false))
	require.Zero(t, early.hello().RosterAgeMs, "its turn for the whole has not come")
	require.NoError(t, s.take("a", &rpc.BrokerReply{RosterSet: true, Roster: []*rpc.RosterEntry{{Id: "u", Pool: "p"}}}, false))
	require.Zero(t, s.rosterAge(), "a daemon that does not lead may lack some of it")
	require.NoError(t, s.take("a", &rpc.BrokerReply{Leads: true}, false))
	require.Positive(t, s.hello().RosterAgeMs)
}
