package dispatch

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/core/quarantine"
	"github.com/verbenastep/verbenastep/core/sched"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/clock"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// fakeView serves a fixed configuration and fixed crash counts.
type fakeView struct {
	port.View
	config   config.Config
	suspects map[uint64]int
}

func (v *fakeView) Snapshot() port.Snapshot        { return port.Snapshot{Version: 1, Config: &v.config} }
func (v *fakeView) Changed() <-chan struct{}       { return nil }
func (v *fakeView) Suspects(string) map[uint64]int { return v.suspects }
func (v *fakeView) Lease(name string) state.Lease  { return state.Lease{Name: name} }

type fakeMembers struct {
	port.Members
	names []string
}

func (m fakeMembers) Live() []port.Member {
	out := []port.Member{}
	for _, n := range m.names {
		out = append(out, port.Member{Name: n, Region: "r"})
	}
	return out
}

type fakeEvents struct{ kinds []promise.Kind }

func (e *fakeEvents) Record(x promise.Event) { e.kinds = append(e.kinds, x.Kind) }

// fakeStream is the entry's side of a session.
type fakeStream struct {
	in     chan *rpc.EntryBatch
	out    chan *rpc.GrantBatch
	ctx    context.Context
	cancel context.CancelFunc
}

func newStream() *fakeStream {
	ctx, cancel := context.WithCancel(context.Background())
	return &fakeStream{in: make(chan *rpc.EntryBatch, 100), out: make(chan *rpc.GrantBatch, 1000), ctx: ctx, cancel: cancel}
}

func (s *fakeStream) Send(b *rpc.GrantBatch) error {
	if s.ctx.Err() != nil {
		return io.EOF
	}
	s.out <- b
	return nil
}

func (s *fakeStream) Recv() (*rpc.EntryBatch, error) {
	select {
	case b := <-s.in:
		return b, nil
	case <-s.ctx.Done():
		return nil, io.EOF
	}
}

// grants drains the stream and returns the grants and refusals in it.
func (s *fakeStream) grants() (grants []*rpc.Grant, refusals []*rpc.Refusal) {
	synctest.Wait()
	for len(s.out) > 0 {
		b := <-s.out
		grants = append(grants, b.Grants...)
		refusals = append(refusals, b.Refusals...)
	}
	return grants, refusals
}

// testPool is a running pool whose collaborators are fakes.
type testPool struct {
	*pool
	events *fakeEvents
	shared []quarantine.Change
	// suspended is the time for which the machine was suspended.
	suspended time.Duration
}

func newTestPool(t *testing.T, members ...string) *testPool {
	c := config.Config{
		Tiers:      []config.Tier{{Name: "top"}, {Name: "low"}},
		Models:     []config.Model{{Name: "m"}},
		Workspaces: []config.Workspace{{Name: "w", Tier: "top", HomeRegion: "r"}, {Name: "limited", Tier: "low", HomeRegion: "elsewhere", Limits: &config.Limits{Concurrency: 4}}},
	}
	m, err := newMetrics(prometheus.NewRegistry())
	require.NoError(t, err)
	b := &testPool{events: &fakeEvents{}}
	started := time.Now()
	b.pool = newPool("m", 3, poolDeps{
		region: "r", view: &fakeView{config: c}, members: fakeMembers{names: members}, events: b.events, metrics: m, log: zap.NewNop(),
		elapsed:          func() time.Duration { return time.Since(started) + b.suspended },
		shareCrashCounts: func(_ string, changes []quarantine.Change) { b.shared = append(b.shared, changes...) },
	})
	b.extendLease(time.Hour)
	go b.run()
	t.Cleanup(func() { b.close(); synctest.Wait() })
	return b
}

func (b *testPool) join(t *testing.T, entry string, first *rpc.EntryBatch) *fakeStream {
	s := newStream()
	first.Entry = entry
	go func() { _ = b.serve(s, first) }()
	go s.sendHeartbeats()
	t.Cleanup(s.cancel)
	return s
}

// sendHeartbeats sends the entry's heartbeats until the stream ends.
func (s *fakeStream) sendHeartbeats() {
	for s.ctx.Err() == nil {
		s.in <- &rpc.EntryBatch{}
		select {
		case <-time.After(heartbeatInterval):
		case <-s.ctx.Done():
		}
	}
}

func upstreamState(incarnation uint64) *rpc.UpstreamState {
	return &rpc.UpstreamState{Name: "u", Slots: 2, LeaseMs: 3_600_000, Incarnation: incarnation}
}

func offer(id uint64) *rpc.Offer {
	return &rpc.Offer{Id: id, Workspace: "w", PromptTokens: 10, MaxTokens: 10, WaitMs: 3_600_000}
}

// TestNewDispatcherWaitsForAllLiveDaemonsOrTimeout guards against a new
// dispatcher that grants slots still occupied by requests of its predecessor,
// because it has not heard yet what every daemon runs.
func TestNewDispatcherWaitsForAllLiveDaemonsOrTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestPool(t, "one", "two")
		s := b.join(t, "one#1@a", &rpc.EntryBatch{Offers: []*rpc.Offer{offer(1)}, Upstreams: []*rpc.UpstreamState{upstreamState(1)}})
		time.Sleep(resyncTimeout - time.Millisecond)
		grants, _ := s.grants()
		require.Empty(t, grants, "daemon two may still run requests on the upstream")
		time.Sleep(2 * resyncPollInterval)
		grants, _ = s.grants()
		require.Len(t, grants, 1)
	})
	synctest.Test(t, func(t *testing.T) {
		b := newTestPool(t, "one", "two")
		running := offer(9)
		running.Running = "u"
		s := b.join(t, "one#1@a", &rpc.EntryBatch{Offers: []*rpc.Offer{offer(1), offer(2)}, Upstreams: []*rpc.UpstreamState{upstreamState(1)}})
		b.join(t, "two#1@b", &rpc.EntryBatch{Offers: []*rpc.Offer{running}})
		time.Sleep(minResyncTime + 2*resyncPollInterval)
		grants, _ := s.grants()
		require.Len(t, grants, 1, "one of two slots is occupied by a running request")
	})
}

// TestDispatcherStopsWhenLeaseEnds guards against grants by a dispatcher that
// can no longer renew its lease, while a successor may already grant.
func TestDispatcherStopsWhenLeaseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestPool(t, "one")
		b.extendLease(2 * time.Second)
		s := b.join(t, "one#1@a", &rpc.EntryBatch{Upstreams: []*rpc.UpstreamState{upstreamState(1)}})
		time.Sleep(1900 * time.Millisecond)
		s.in <- &rpc.EntryBatch{Offers: []*rpc.Offer{offer(1)}}
		grants, _ := s.grants()
		require.Len(t, grants, 1)
		time.Sleep(150 * time.Millisecond)
		s.in <- &rpc.EntryBatch{Offers: []*rpc.Offer{offer(2)}}
		time.Sleep(time.Second)
		grants, _ = s.grants()
		require.Empty(t, grants)
		require.Error(t, b.ctx.Err())
	})
}

// TestDispatcherStopsWhenLeaseEndsInSuspension guards against grants by a dispatcher
// whose machine was suspended for longer than its lease: its timers have not noticed,
// and a successor already grants.
func TestDispatcherStopsWhenLeaseEndsInSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestPool(t, "one")
		b.extendLease(port.LeaseTTL)
		s := b.join(t, "one#1@a", &rpc.EntryBatch{Upstreams: []*rpc.UpstreamState{upstreamState(1)}})
		time.Sleep(minResyncTime + 2*resyncPollInterval)
		b.mu.Lock()
		b.suspended = port.LeaseTTL
		b.mu.Unlock()
		s.in <- &rpc.EntryBatch{Offers: []*rpc.Offer{offer(1)}}
		time.Sleep(maxDecideInterval)
		grants, _ := s.grants()
		require.Empty(t, grants)
		require.Error(t, b.ctx.Err())
	})
}

// TestServiceMeasuresLeasesSinceBoot guards against leases by a clock that stands
// still while the machine is suspended.
func TestServiceMeasuresLeasesSinceBoot(t *testing.T) {
	s := New(&settings.Settings{}, zap.NewNop(), port.Holder{})
	before := clock.SinceBoot()
	elapsed := s.poolDeps().elapsed()
	require.GreaterOrEqual(t, elapsed, before)
	require.LessOrEqual(t, elapsed, clock.SinceBoot())
}

// TestGrantLostWithSessionIsGrantedAgain guards against a slot that stays
// occupied when its grant was lost because the session broke.
func TestGrantLostWithSessionIsGrantedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestPool(t, "one")
		s := b.join(t, "one#1@a", &rpc.EntryBatch{Offers: []*rpc.Offer{offer(1)}, Upstreams: []*rpc.UpstreamState{upstreamState(1)}})
		time.Sleep(resyncTimeout + time.Second)
		grants, _ := s.grants()
		require.Len(t, grants, 1)
		s.cancel()
		again := offer(1)
		again.Admitted = true
		s = b.join(t, "one#1@a", &rpc.EntryBatch{Offers: []*rpc.Offer{again}})
		grants, _ = s.grants()
		require.Len(t, grants, 1)
		s.in <- &rpc.EntryBatch{Releases: []*rpc.Release{{Id: 1, Outcome: uint32(sched.Completed)}}, Offers: []*rpc.Offer{offer(2), offer(3), offer(4)}}
		grants, _ = s.grants()
		require.Len(t, grants, 2, "both slots are free again")
	})
}

func TestCrashIsSharedAndEventsAreRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestPool(t, "one")
		crashing := offer(1)
		crashing.Fingerprint = 66
		s := b.join(t, "one#1@a", &rpc.EntryBatch{Upstreams: []*rpc.UpstreamState{upstreamState(1)}})
		time.Sleep(resyncTimeout + time.Second)
		s.in <- &rpc.EntryBatch{Offers: []*rpc.Offer{crashing}}
		s.grants()
		s.in <- &rpc.EntryBatch{Releases: []*rpc.Release{{Id: 1, Outcome: uint32(sched.ConnectionLost)}}}
		s.in <- &rpc.EntryBatch{Upstreams: []*rpc.UpstreamState{upstreamState(2)}}
		s.grants()
		require.Equal(t, []quarantine.Change{{Fingerprint: 66, Crashes: 1}}, b.shared)
		leaving := upstreamState(2)
		leaving.Leaving = true
		s.in <- &rpc.EntryBatch{Upstreams: []*rpc.UpstreamState{leaving, leaving}}
		s.grants()
		require.Equal(t, []promise.Kind{promise.Queue, promise.Grant, promise.Release, promise.Leave}, b.events.kinds)
	})
}

// TestEveryQueuedOfferHasAnEndEvent cancels one queued offer and ends the session
// of two others, one of which has a deadline of 1 ms. Each must record one event
// when it is queued and one when it ends.
func TestEveryQueuedOfferHasAnEndEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestPool(t, "one")
		late := offer(3)
		late.WaitMs = 1
		s := b.join(t, "one#1@a", &rpc.EntryBatch{Offers: []*rpc.Offer{offer(1), offer(2), late}})
		s.in <- &rpc.EntryBatch{Cancels: []uint64{1}}
		synctest.Wait()
		s.cancel()
		time.Sleep(resyncTimeout + time.Second)
		synctest.Wait()
		count := map[promise.Kind]int{}
		for _, k := range b.events.kinds {
			count[k]++
		}
		require.Equal(t, map[promise.Kind]int{promise.Queue: 3, promise.Release: 3}, count)
	})
}

func TestLimitsApplyAcrossEntriesAndAreAQuarterOutsideHomeRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestPool(t, "one")
		refused := 0
		for _, entry := range []string{"one#1@a", "two#1@b", "three#1@c"} {
			o := offer(1)
			o.Workspace = "limited"
			s := b.join(t, entry, &rpc.EntryBatch{Offers: []*rpc.Offer{o}})
			_, refusals := s.grants()
			refused += len(refusals)
		}
		require.Equal(t, 2, refused, "a quarter of 4 is 1")
	})
}

func TestPoolsSpreadEvenlyOverDaemons(t *testing.T) {
	live := fakeMembers{names: []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}}.Live()
	first := map[string]int{}
	for n := range 900 {
		pool := "pool-" + string(rune('a'+n%26)) + string(rune('a'+n/26))
		ranks := map[int]bool{}
		for _, m := range live {
			r := rankOf(pool, m.Name, "r", live)
			ranks[r] = true
			if r == 0 {
				first[m.Name]++
			}
		}
		require.Len(t, ranks, len(live))
	}
	for name, n := range first {
		require.InDelta(t, 100, n, 40, name)
	}
}

// TestLeavingDaemonTakesLeasesLast guards against requests that wait for a second change of their
// dispatcher: a draining daemon takes a lease that another one has released, and soon releases it.
func TestLeavingDaemonTakesLeasesLast(t *testing.T) {
	live := fakeMembers{names: []string{"a", "b", "c"}}.Live()
	for i := range live {
		live[i].Leaving = true
		for n := range 20 {
			pool := "pool-" + string(rune('a'+n))
			require.Equal(t, len(live)-1, rankOf(pool, live[i].Name, "r", live))
			for j, m := range live {
				if j != i {
					require.Less(t, rankOf(pool, m.Name, "r", live), len(live)-1)
				}
			}
		}
		live[i].Leaving = false
	}
}

// TestReleasedLeaseEndsDecisions guards against grants by a dispatcher that has released its
// lease: a round or a queued batch that was late went out beside those of the successor.
func TestReleasedLeaseEndsDecisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestPool(t, "one")
		s := b.join(t, "one#1@a", &rpc.EntryBatch{Upstreams: []*rpc.UpstreamState{upstreamState(1)}})
		time.Sleep(resyncTimeout)
		s.grants()
		service := &Service{log: zap.NewNop(), pools: map[string]*pool{"m": b.pool}}
		service.stopPool("m")
		b.mu.Lock()
		b.applyOffer(b.now(), "one#1@a", offer(1))
		b.mu.Unlock()
		b.decide()
		require.NotContains(t, b.events.kinds, promise.Grant)
		require.Error(t, b.sendUnderLease(s, &rpc.GrantBatch{Epoch: b.epoch}))
	})
}
