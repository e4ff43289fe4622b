package schedclient

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/sched"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// fakeView holds the leases of two regions, which tests move.
type fakeView struct {
	port.View
	mu      sync.Mutex
	leases  map[string]state.Lease
	changed chan struct{}
	config  *config.Config
}

func (v *fakeView) Snapshot() port.Snapshot { return port.Snapshot{Version: 1, Config: v.config} }

func (v *fakeView) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *fakeView) Lease(name string) state.Lease {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leases[name]
}

// move gives a region's dispatcher to a daemon.
func (v *fakeView) move(region, daemon string, epoch uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	name := port.DispatchLease("m", region)
	v.leases[name] = state.Lease{Name: name, Holder: port.Holder{Name: daemon, Incarnation: 1, Address: daemon}.String(), Epoch: epoch}
	close(v.changed)
	v.changed = make(chan struct{})
}

type fakeUpstreams struct{}

func (fakeUpstreams) Subscribe(port.Place, func(*rpc.UpstreamState)) func() { return func() {} }
func (fakeUpstreams) Places() []port.Place                                  { return nil }

// fakeDispatcher is one daemon's end of a session.
type fakeDispatcher struct {
	got  chan *rpc.EntryBatch
	send chan *rpc.GrantBatch
	ends context.Context
	end  context.CancelFunc
}

func (d *fakeDispatcher) Send(b *rpc.EntryBatch) error {
	if d.ends.Err() != nil {
		return io.EOF
	}
	d.got <- b
	return nil
}

func (d *fakeDispatcher) Recv() (*rpc.GrantBatch, error) {
	select {
	case b := <-d.send:
		return b, nil
	case <-d.ends.Done():
		return nil, io.EOF
	}
}

func (d *fakeDispatcher) Close() error {
	d.end()
	return nil
}

// beat sends heartbeats until the session ends.
func (d *fakeDispatcher) beat(epoch uint64) {
	for d.ends.Err() == nil {
		d.send <- &rpc.GrantBatch{Epoch: epoch}
		select {
		case <-time.After(heartbeat):
		case <-d.ends.Done():
		}
	}
}

// read empties what the entry sent, as one batch.
func (d *fakeDispatcher) read() *rpc.EntryBatch {
	synctest.Wait()
	all := &rpc.EntryBatch{}
	for len(d.got) > 0 {
		b := <-d.got
		all.Offers = append(all.Offers, b.Offers...)
		all.Releases = append(all.Releases, b.Releases...)
		all.Cancels = append(all.Cancels, b.Cancels...)
	}
	return all
}

func (d *fakeDispatcher) grant(epoch, id uint64) {
	d.send <- &rpc.GrantBatch{Epoch: epoch, Grants: []*rpc.Grant{{Id: id, Upstream: "u"}}}
	synctest.Wait()
}

func (d *fakeDispatcher) refuse(epoch, id uint64, code sched.Code) {
	d.send <- &rpc.GrantBatch{Epoch: epoch, Refusals: []*rpc.Refusal{{Id: id, Code: string(code)}}}
	synctest.Wait()
}

// bench is a client whose dispatchers the test plays.
type bench struct {
	*Service
	view    *fakeView
	mu      sync.Mutex
	daemons map[string]*fakeDispatcher
	down    map[string]bool
}

func newBench(t *testing.T) *bench {
	return newBenchOf(t, &config.Config{
		Models: []config.Model{{Name: "m"}}, Regions: []config.Region{{Name: "here"}, {Name: "there"}},
	})
}

func newBenchOf(t *testing.T, c *config.Config) *bench {
	b := &bench{
		Service: New(&settings.Settings{Region: "here"}, zap.NewNop(), port.Holder{Name: "self", Incarnation: 1}),
		view:    &fakeView{leases: map[string]state.Lease{}, changed: make(chan struct{}), config: c}, daemons: map[string]*fakeDispatcher{}, down: map[string]bool{},
	}
	b.Service.view, b.Service.upstreams = b.view, fakeUpstreams{}
	b.Service.open = func(_ context.Context, address string) (stream, error) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.down[address] {
			return nil, errors.New("unreachable")
		}
		ctx, cancel := context.WithCancel(context.Background())
		d := &fakeDispatcher{got: make(chan *rpc.EntryBatch, 1000), send: make(chan *rpc.GrantBatch, 1000), ends: ctx, end: cancel}
		b.daemons[address] = d
		return d, nil
	}
	b.begin()
	t.Cleanup(func() { require.NoError(t, b.Stop(context.Background())) })
	return b
}

// at returns the present session's other end on a daemon.
func (b *bench) at(daemon string) *fakeDispatcher {
	time.Sleep(2 * retryPause)
	synctest.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.daemons[daemon]
}

type outcome struct {
	ticket port.Ticket
	err    error
}

func (b *bench) acquire(ctx context.Context) chan outcome {
	out := make(chan outcome, 1)
	go func() {
		t, err := b.Acquire(ctx, port.Request{Pool: "m", Workspace: "w", Deadline: time.Now().Add(time.Minute)})
		out <- outcome{t, err}
	}()
	synctest.Wait()
	return out
}

func TestMoveOffersAgainAndOldGrantsDoNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.view.move("here", "a", 1)
		first := b.at("a")
		go first.beat(1)
		running, waiting := b.acquire(t.Context()), b.acquire(t.Context())
		require.Len(t, first.read().Offers, 2)
		first.grant(1, 1)
		got := <-running
		require.NoError(t, got.err)
		b.view.move("here", "b", 2)
		second := b.at("b")
		go second.beat(2)
		require.Error(t, first.ends.Err(), "the entry leaves a dispatcher whose lease moved")
		again := second.read().Offers
		require.Len(t, again, 2)
		require.Equal(t, "u", again[0].Running, "what runs takes its slot")
		require.Empty(t, again[1].Running)
		require.True(t, again[1].Admitted)
		second.grant(1, 2)
		require.Empty(t, waiting, "a grant of an earlier epoch")
		second.grant(2, 2)
		require.NoError(t, (<-waiting).err)
		got.ticket.Release(sched.Release{Outcome: sched.Completed})
		got.ticket.Release(sched.Release{Outcome: sched.Completed})
		require.Len(t, second.read().Releases, 1)
	})
}

func TestGrantAfterWithdrawGivesTheSlotBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.view.move("here", "a", 1)
		d := b.at("a")
		go d.beat(1)
		ctx, cancel := context.WithCancel(t.Context())
		w := b.acquire(ctx)
		d.read()
		cancel()
		require.Equal(t, fault.Canceled, fault.From((<-w).err).Kind)
		require.Equal(t, []uint64{1}, d.read().Cancels)
		d.grant(1, 1)
		back := d.read().Releases
		require.Len(t, back, 1)
		require.EqualValues(t, sched.NotSent, back[0].Outcome)
	})
}

func TestReleaseOutlivesABrokenSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.view.move("here", "a", 1)
		d := b.at("a")
		go d.beat(1)
		w := b.acquire(t.Context())
		d.grant(1, 1)
		got := <-w
		d.end()
		got.ticket.Release(sched.Release{Outcome: sched.ConnectionLost})
		d = b.at("a")
		go d.beat(1)
		hello := d.read()
		require.Len(t, hello.Releases, 1)
		require.Empty(t, hello.Offers)
	})
}

func TestSilentDispatcherIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.view.move("here", "a", 1)
		d := b.at("a")
		time.Sleep(silence + time.Millisecond)
		synctest.Wait()
		require.Error(t, d.ends.Err())
	})
}

func TestSpillAsksTheOtherRegionThenTheFirstAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.view.move("here", "a", 1)
		b.view.move("there", "b", 1)
		here, there := b.at("a"), b.at("b")
		go here.beat(1)
		go there.beat(1)
		w := b.acquire(t.Context())
		here.refuse(1, 1, sched.Spill)
		passed := there.read().Offers
		require.Len(t, passed, 1)
		require.Equal(t, "here", passed[0].Spilled)
		there.refuse(1, passed[0].Id, sched.Overloaded)
		here.read()
		here.refuse(1, 3, sched.Overloaded)
		e := fault.From((<-w).err)
		require.Equal(t, fault.Overloaded, e.Kind)
		require.Equal(t, fault.NotRun, e.Ran)
	})
}

func TestPartitionMakesTheDecisionHereFinal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.down["b"] = true
		b.view.move("here", "a", 1)
		b.view.move("there", "b", 1)
		here := b.at("a")
		go here.beat(1)
		b.acquire(t.Context())
		require.False(t, here.read().Offers[0].Final)
		here.refuse(1, 1, sched.Spill)
		final := here.read().Offers
		require.Len(t, final, 1)
		require.True(t, final[0].Final)
		here.grant(1, final[0].Id)
	})
}

func TestSpilledRequestComesBackWhenTheLinkBreaks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.view.move("here", "a", 1)
		b.view.move("there", "b", 1)
		here, there := b.at("a"), b.at("b")
		go here.beat(1)
		go there.beat(1)
		w := b.acquire(t.Context())
		here.refuse(1, 1, sched.Spill)
		require.Len(t, there.read().Offers, 1)
		there.end()
		synctest.Wait()
		offers := here.read().Offers
		last := offers[len(offers)-1]
		require.True(t, last.Final)
		here.grant(1, last.Id)
		require.NoError(t, (<-w).err)
	})
}

func TestAnnouncementsDoNotPileUpWithoutASession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		s := b.session(port.Place{Pool: "m", Region: "here"}, time.Time{})
		for n := range 3 * maxPendingEvents {
			s.announce(&rpc.UpstreamState{Name: "u", Incarnation: 1, Running: uint32(n), CacheEvents: []*rpc.CacheEvent{{Sequence: uint64(n)}}})
			s.announce(&rpc.UpstreamState{Name: "v", Incarnation: 1})
		}
		require.Len(t, s.pending.Upstreams, 2)
		require.Len(t, s.pending.Upstreams[0].CacheEvents, maxPendingEvents)
		require.EqualValues(t, 3*maxPendingEvents-1, s.pending.Upstreams[0].Running)
	})
}
