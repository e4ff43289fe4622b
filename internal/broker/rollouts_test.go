package broker

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/rollout"
	"github.com/verbenastep/verbenastep/core/routes"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// TestRequestThatEndsWhileItIsReportedHoldsNoSlot guards against a slot that is lost for good, and
// a rollout that waits for a request on an old version for ever: a request ended between the list
// of all requests for a new leader and its sending, so that both were in one message.
func TestRequestThatEndsWhileItIsReportedHoldsNoSlot(t *testing.T) {
	s, addresses, election := startControls(t, 1)
	election.elect(addresses[0])
	e := connect(t, addresses[0], &rpc.BrokerAsk{Entry: "e", Relayable: true})
	e.eventually(func() bool { return e.last.Leads }, "a broker")
	running := testOffer(1)
	running.Running = "u"
	e.send(&rpc.BrokerAsk{Complete: true, Offers: []*rpc.WorkOffer{running, testOffer(2)}, Ends: []*rpc.WorkEnd{testEnd(1)}})
	e.eventually(func() bool { return e.granted[2] }, "the message was handled")
	s[0].mu.Lock()
	defer s[0].mu.Unlock()
	require.Equal(t, 1, s[0].core.Dump()[0].Upstreams[0].InFlight, "only the second request runs")
}

// fakeLog is a replica of a log that commits at once.
type fakeLog struct {
	mu           sync.Mutex
	book         rollout.Book
	tableVersion uint64
	// confirm is closed once reads are answered.
	confirm chan struct{}
}

func (f *fakeLog) Rollouts() ([]rollout.Record, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.book.Records(), f.tableVersion
}

func (f *fakeLog) ReadRollouts(ctx context.Context) ([]rollout.Record, state.Publish, error) {
	select {
	case <-f.confirm:
		return nil, state.Publish{}, nil
	case <-ctx.Done():
		return nil, state.Publish{}, ctx.Err()
	}
}

func (f *fakeLog) AdvanceRollout(_ context.Context, a rollout.Advance) (rollout.Record, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, _ := f.book.Advance(a)
	return r, nil
}

// controlled is a leader with a running rollout of pool p, and the time that it sees.
type controlled struct {
	*Service
	log *fakeLog
	now time.Duration
}

func newControlled(t *testing.T) *controlled {
	f := &fakeLog{tableVersion: 2, confirm: make(chan struct{})}
	f.book.Start(rollout.Start{Pool: "p", Target: "v2", Duration: time.Minute})
	s := New(&settings.Settings{Routing: &settings.Routing{}}, zap.NewNop())
	s.ctx, s.cancel = context.WithCancel(context.Background())
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
	c := &controlled{Service: s, log: f, now: time.Hour}
	s.roster = &fakeRoster{list: []port.RosterEntry{upstream("u")}}
	s.rollouts = newRollouts(settings.Rollout{Share: 0.1, Slack: 50, RollbackMS: 5000}, f, nil)
	s.rollouts.elapsed = func() time.Duration { return c.now }
	s.leads, s.leader = true, port.Leader{Address: "self", Term: 4}
	return c
}

// update runs the rollouts at a later time, and waits for the command that they propose.
func (c *controlled) update(t *testing.T, after time.Duration) *runningRollout {
	c.mu.Lock()
	c.now += after
	c.updateRollouts()
	run := c.rollouts.running["p"]
	c.mu.Unlock()
	require.Eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return run == nil || !run.proposing
	}, relayTestTimeout, relayTestPoll)
	return run
}

// TestNewLeaderAwaitsItsLog guards against grants of a new version by a leader that has not
// applied the order of its rollout yet, and against one that grants nothing for long.
func TestNewLeaderAwaitsItsLog(t *testing.T) {
	c := newControlled(t)
	c.update(t, 0)
	c.mu.Lock()
	require.True(t, c.awaitsRollouts())
	c.now += maxConfirmDelay
	require.False(t, c.awaitsRollouts())
	c.now -= maxConfirmDelay
	c.mu.Unlock()
	close(c.log.confirm)
	require.Eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return !c.awaitsRollouts()
	}, relayTestTimeout, relayTestPoll)
}

// TestPausedLeaderGrantsNothingToTheTarget guards against a leader that was paused or suspended,
// so that another one has taken over meanwhile, and that acts on its old permission.
func TestPausedLeaderGrantsNothingToTheTarget(t *testing.T) {
	c := newControlled(t)
	run := c.update(t, 0)
	for range 3 {
		run = c.update(t, 250*time.Millisecond)
	}
	require.NotZero(t, run.record.Reserved, "the controller has reserved requests")
	x := timedController{run.controller, c.rollouts.elapsed}
	require.True(t, x.MayTry(0))
	c.now += 2 * time.Second
	require.False(t, x.MayTry(0), "the time of the core stands still while the machine is suspended")
}

// TestRemovedPoolEndsItsRollout guards against a rollout that runs on without its pool, and against
// one that is rolled back because the leader has an older table than the order.
func TestRemovedPoolEndsItsRollout(t *testing.T) {
	for version, phase := range map[uint64]rollout.Phase{1: rollout.Trial, 2: rollout.RolledBack, 3: rollout.RolledBack} {
		c := newControlled(t)
		c.view = fakeView{routes.NewIndex(&routes.Table{Version: version}), &fakeElection{}}
		c.update(t, 0)
		c.update(t, rolloutInterval)
		r, _ := c.log.book.Record("p")
		require.Equal(t, phase, r.Phase, version)
	}
}

// fakeRollouts is a view of rollouts.
type fakeRollouts []rollout.Record

func (f fakeRollouts) Rollouts() []rollout.Record { return f }

// TestFollowerUsesTheNewerRecord guards against an interim broker that grants an old version, or one
// on trial, by a replica that is behind the daemon's view or cut off.
func TestFollowerUsesTheNewerRecord(t *testing.T) {
	c := newControlled(t)
	c.leads = false
	newer := rollout.Record{Pool: "p", Target: "v2", Number: 1, Phase: rollout.Settle}
	older := rollout.Record{Pool: "p", Target: "v1", Number: 0, Phase: rollout.Completed}
	for _, view := range []fakeRollouts{{newer}, {older}, {}, {{Pool: "q", Target: "v3", Number: 1, Phase: rollout.Trial}}} {
		c.rollouts.view = view
		c.update(t, rolloutInterval)
		r, ok := c.rollouts.gates.Record("p")
		require.True(t, ok)
		require.Equal(t, rollout.Settle, r.Phase, "a phase never goes back")
	}
	_, ok := c.rollouts.gates.Record("q")
	require.True(t, ok)
}

// liveMembers is a fixed list of live daemons.
type liveMembers []port.Member

func (l liveMembers) Live() []port.Member { return l }

func (l liveMembers) Find(string) (port.Member, bool) { return port.Member{}, false }

// TestEachLiveEntryMustKnowThePhase guards against a rollout that is completed while a live entry
// does not know the settle phase: a session of a daemon that is no longer listed counted for it.
func TestEachLiveEntryMustKnowThePhase(t *testing.T) {
	c := newControlled(t)
	c.rollouts.members = liveMembers{{Name: "a", Callers: "x"}, {Name: "b", Callers: "y"}}
	r := rollout.Record{Pool: "p", Target: "v2", Number: 1, Phase: rollout.Settle}
	knows := &session{rollouts: map[string]*rpc.KnownRollout{"p": {Pool: "p", Number: 1, Phase: "settle"}}}
	name := func(n string) string { return port.Holder{Name: n, Incarnation: 1, Address: "x"}.String() }
	c.mu.Lock()
	defer c.mu.Unlock()
	defer clear(c.sessions)
	c.sessions[name("a")], c.sessions[name("gone")] = knows, knows
	f := c.fleet(r)
	require.Equal(t, []int{2, 3}, []int{f.EntriesKnown, f.EntriesLive})
	c.sessions[name("b")] = knows
	f = c.fleet(r)
	require.Equal(t, f.EntriesLive, f.EntriesKnown)
}

// TestControllerTicksWhileACommandIsCommitted guards against a verdict that waits for a commit,
// which may take a second: the controller was not called meanwhile.
func TestControllerTicksWhileACommandIsCommitted(t *testing.T) {
	c := newControlled(t)
	run := c.update(t, 0)
	c.mu.Lock()
	defer c.mu.Unlock()
	run.proposing = true
	c.now += 2 * time.Second
	before, _ := c.log.book.Record("p")
	c.updateRollouts()
	after, _ := c.log.book.Record("p")
	require.Equal(t, before, after, "the command is dropped")
	_, due := run.controller.Tick(c.now+time.Millisecond, rollout.Fleet{})
	require.False(t, due, "the controller has just returned a command")
	_, due = run.controller.Tick(c.now+time.Second, rollout.Fleet{})
	require.True(t, due, "a later one returns it again")
}
