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
	"github.com/verbenastep/verbenastep/internal/port"
)

// fakeView holds a configuration with one model and one workspace.
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

// fakeStream is one entry's end of a session.
type fakeStream struct {
	in   chan *rpc.EntryBatch
	out  chan *rpc.GrantBatch
	ends context.Context
	end  context.CancelFunc
}

func newStream() *fakeStream {
	ctx, cancel := context.WithCancel(context.Background())
	return &fakeStream{in: make(chan *rpc.EntryBatch, 100), out: make(chan *rpc.GrantBatch, 1000), ends: ctx, end: cancel}
}

func (s *fakeStream) Send(b *rpc.GrantBatch) error {
	if s.ends.Err() != nil {
		return io.EOF
	}
	s.out <- b
	return nil
}

func (s *fakeStream) Recv() (*rpc.EntryBatch, error) {
	select {
	case b := <-s.in:
		return b, nil
	case <-s.ends.Done():
		return nil, io.EOF
	}
}

// grants empties the stream and returns what was granted and refused.
func (s *fakeStream) grants() (grants []*rpc.Grant, refusals []*rpc.Refusal) {
	synctest.Wait()
	for len(s.out) > 0 {
		b := <-s.out
		grants = append(grants, b.Grants...)
		refusals = append(refusals, b.Refusals...)
	}
	return grants, refusals
}

// bench is a pool with its fakes.
type bench struct {
	*pool
	events *fakeEvents
	shared []quarantine.Change
}

func newBench(t *testing.T, members ...string) *bench {
	c := config.Config{
		Tiers:      []config.Tier{{Name: "top"}, {Name: "low"}},
		Models:     []config.Model{{Name: "m"}},
		Workspaces: []config.Workspace{{Name: "w", Tier: "top", HomeRegion: "r"}, {Name: "limited", Tier: "low", HomeRegion: "elsewhere", Limits: &config.Limits{Concurrency: 4}}},
	}
	collect, err := newMetrics(prometheus.NewRegistry())
	require.NoError(t, err)
	b := &bench{events: &fakeEvents{}}
	b.pool = newPool("m", 3, place{
		region: "r", view: &fakeView{config: c}, members: fakeMembers{names: members}, events: b.events, metrics: collect, log: zap.NewNop(),
		share: func(_ string, changes []quarantine.Change) { b.shared = append(b.shared, changes...) },
	})
	b.extend(time.Now().Add(time.Hour))
	go b.run()
	t.Cleanup(func() { b.close(); synctest.Wait() })
	return b
}

func (b *bench) join(t *testing.T, entry string, first *rpc.EntryBatch) *fakeStream {
	s := newStream()
	first.Entry = entry
	go func() { _ = b.serve(s, first) }()
	go s.beat()
	t.Cleanup(s.end)
	return s
}

// beat sends the entry's heartbeats until the stream ends.
func (s *fakeStream) beat() {
	for s.ends.Err() == nil {
		s.in <- &rpc.EntryBatch{}
		select {
		case <-time.After(heartbeat):
		case <-s.ends.Done():
		}
	}
}

func upstreamState(incarnation uint64) *rpc.UpstreamState {
	return &rpc.UpstreamState{Name: "u", Slots: 2, LeaseMs: 3_600_000, Incarnation: incarnation}
}

func offer(id uint64) *rpc.Offer {
	return &rpc.Offer{Id: id, Workspace: "w", PromptTokens: 10, MaxTokens: 10, WaitMs: 3_600_000}
}

func TestSuccessorWaitsForEveryLiveDaemonOrTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "one", "two")
		s := b.join(t, "one#1@a", &rpc.EntryBatch{Offers: []*rpc.Offer{offer(1)}, Upstreams: []*rpc.UpstreamState{upstreamState(1)}})
		time.Sleep(settleTime - time.Millisecond)
		grants, _ := s.grants()
		require.Empty(t, grants, "daemon two may run work on the upstream")
		time.Sleep(2 * settleStep)
		grants, _ = s.grants()
		require.Len(t, grants, 1)
	})
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "one", "two")
		running := offer(9)
		running.Running = "u"
		s := b.join(t, "one#1@a", &rpc.EntryBatch{Offers: []*rpc.Offer{offer(1), offer(2)}, Upstreams: []*rpc.UpstreamState{upstreamState(1)}})
		b.join(t, "two#1@b", &rpc.EntryBatch{Offers: []*rpc.Offer{running}})
		time.Sleep(settleLeast + 2*settleStep)
		grants, _ := s.grants()
		require.Len(t, grants, 1, "one of two slots is taken by what runs already")
	})
}

func TestCutOffDispatcherStopsByItsOwnClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "one")
		b.extend(time.Now().Add(2 * time.Second))
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

func TestGrantLostWithItsSessionIsGivenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "one")
		s := b.join(t, "one#1@a", &rpc.EntryBatch{Offers: []*rpc.Offer{offer(1)}, Upstreams: []*rpc.UpstreamState{upstreamState(1)}})
		time.Sleep(settleTime + time.Second)
		grants, _ := s.grants()
		require.Len(t, grants, 1)
		s.end()
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

func TestCrashIsSharedAndEventsTellTheStory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "one")
		bad := offer(1)
		bad.Fingerprint = 66
		s := b.join(t, "one#1@a", &rpc.EntryBatch{Upstreams: []*rpc.UpstreamState{upstreamState(1)}})
		time.Sleep(settleTime + time.Second)
		s.in <- &rpc.EntryBatch{Offers: []*rpc.Offer{bad}}
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

// TestEveryOfferThatIsQueuedEndsInTheEvents withdraws, loses and refuses.
func TestEveryOfferThatIsQueuedEndsInTheEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "one")
		late := offer(3)
		late.WaitMs = 1
		s := b.join(t, "one#1@a", &rpc.EntryBatch{Offers: []*rpc.Offer{offer(1), offer(2), late}})
		s.in <- &rpc.EntryBatch{Cancels: []uint64{1}}
		synctest.Wait()
		s.end()
		time.Sleep(settleTime + time.Second)
		synctest.Wait()
		count := map[promise.Kind]int{}
		for _, k := range b.events.kinds {
			count[k]++
		}
		require.Equal(t, map[promise.Kind]int{promise.Queue: 3, promise.Release: 3}, count)
	})
}

func TestLimitsHoldOverAllEntriesAndAreAQuarterAwayFromHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "one")
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

func TestPoolsSpreadOverDaemons(t *testing.T) {
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
