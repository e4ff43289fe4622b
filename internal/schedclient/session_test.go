package schedclient

import (
	"context"
	"errors"
	"io"
	"runtime"
	"sync"
	"sync/atomic"
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

// fakeView holds the leases of the dispatchers, which tests move between daemons.
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

// move assigns the lease of a region's dispatcher to a daemon.
func (v *fakeView) move(region, daemon string, epoch uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.moveLocked(region, daemon, epoch)
}

// moveLocked is move for a caller that holds the lock.
func (v *fakeView) moveLocked(region, daemon string, epoch uint64) {
	name := port.DispatchLeaseName("m", region)
	v.leases[name] = state.Lease{Name: name, Holder: port.Holder{Name: daemon, Incarnation: 1, Address: daemon}.String(), Epoch: epoch}
	close(v.changed)
	v.changed = make(chan struct{})
}

type fakeUpstreams struct{}

func (fakeUpstreams) Subscribe(port.PoolRegion, func(*rpc.UpstreamState)) func() { return func() {} }
func (fakeUpstreams) PoolRegions() []port.PoolRegion                             { return nil }

// fakeDispatcher is the dispatcher's side of a connection.
type fakeDispatcher struct {
	received chan *rpc.EntryBatch
	toSend   chan *rpc.GrantBatch
	ctx      context.Context
	cancel   context.CancelFunc
}

func (d *fakeDispatcher) Send(b *rpc.EntryBatch) error {
	if d.ctx.Err() != nil {
		return io.EOF
	}
	d.received <- b
	return nil
}

func (d *fakeDispatcher) Recv() (*rpc.GrantBatch, error) {
	select {
	case b := <-d.toSend:
		return b, nil
	case <-d.ctx.Done():
		return nil, io.EOF
	}
}

func (d *fakeDispatcher) Close() error {
	d.cancel()
	return nil
}

// sendHeartbeats sends heartbeats until the connection ends.
func (d *fakeDispatcher) sendHeartbeats(epoch uint64) {
	for d.ctx.Err() == nil {
		d.toSend <- &rpc.GrantBatch{Epoch: epoch}
		select {
		case <-time.After(heartbeatInterval):
		case <-d.ctx.Done():
		}
	}
}

// read returns all that the entry has sent, merged into one batch.
func (d *fakeDispatcher) read() *rpc.EntryBatch {
	synctest.Wait()
	all := &rpc.EntryBatch{}
	for len(d.received) > 0 {
		b := <-d.received
		all.Offers = append(all.Offers, b.Offers...)
		all.Releases = append(all.Releases, b.Releases...)
		all.Cancels = append(all.Cancels, b.Cancels...)
	}
	return all
}

func (d *fakeDispatcher) grant(epoch, id uint64) {
	d.toSend <- &rpc.GrantBatch{Epoch: epoch, Grants: []*rpc.Grant{{Id: id, Upstream: "u"}}}
	synctest.Wait()
}

func (d *fakeDispatcher) refuse(epoch, id uint64, code sched.Code) {
	d.toSend <- &rpc.GrantBatch{Epoch: epoch, Refusals: []*rpc.Refusal{{Id: id, Code: string(code)}}}
	synctest.Wait()
}

// testClient is a client whose dispatchers are fakes.
type testClient struct {
	*Service
	view    *fakeView
	mu      sync.Mutex
	daemons map[string]*fakeDispatcher
	down    map[string]bool
}

func newTestClient(t *testing.T) *testClient {
	return newTestClientWith(t, &config.Config{
		Models: []config.Model{{Name: "m"}}, Regions: []config.Region{{Name: "here"}, {Name: "there"}},
	})
}

// newTestClientWith returns a client under a configuration.
func newTestClientWith(t *testing.T, c *config.Config) *testClient {
	b := &testClient{
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
		d := &fakeDispatcher{received: make(chan *rpc.EntryBatch, 1000), toSend: make(chan *rpc.GrantBatch, 1000), ctx: ctx, cancel: cancel}
		b.daemons[address] = d
		return d, nil
	}
	b.startSessions()
	t.Cleanup(func() { require.NoError(t, b.Stop(context.Background())) })
	return b
}

// dispatcherOn returns the dispatcher's side of the current connection to a daemon.
func (b *testClient) dispatcherOn(daemon string) *fakeDispatcher {
	time.Sleep(2 * reconnectDelay)
	synctest.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.daemons[daemon]
}

// outcome is the result of one Acquire.
type outcome struct {
	ticket port.Ticket
	err    error
}

func (b *testClient) acquire(ctx context.Context) chan outcome {
	out := make(chan outcome, 1)
	go func() {
		t, err := b.Acquire(ctx, port.Request{Pool: "m", Workspace: "w", Deadline: time.Now().Add(time.Minute)})
		out <- outcome{t, err}
	}()
	synctest.Wait()
	return out
}

// TestLeaseMoveRepeatsOffersAndIgnoresOldGrants guards against requests lost or
// granted twice when a dispatcher's lease moves to another daemon.
func TestLeaseMoveRepeatsOffersAndIgnoresOldGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestClient(t)
		b.view.move("here", "a", 1)
		first := b.dispatcherOn("a")
		go first.sendHeartbeats(1)
		running, waiting := b.acquire(t.Context()), b.acquire(t.Context())
		require.Len(t, first.read().Offers, 2)
		first.grant(1, 1)
		got := <-running
		require.NoError(t, got.err)
		b.view.move("here", "b", 2)
		second := b.dispatcherOn("b")
		go second.sendHeartbeats(2)
		require.Error(t, first.ctx.Err(), "the session to a dispatcher that lost its lease must end")
		again := second.read().Offers
		require.Len(t, again, 2)
		require.Equal(t, "u", again[0].Running, "a running request is offered with its upstream")
		require.Empty(t, again[1].Running)
		require.True(t, again[1].Admitted)
		second.grant(1, 2)
		require.Empty(t, waiting, "a grant of an earlier epoch has no effect")
		second.grant(2, 2)
		require.NoError(t, (<-waiting).err)
		got.ticket.Release(sched.Release{Outcome: sched.Completed})
		got.ticket.Release(sched.Release{Outcome: sched.Completed})
		require.Len(t, second.read().Releases, 1)
	})
}

// TestGrantAfterCancelReleasesSlot guards against a leaked slot when a grant
// crosses the cancellation of its request.
func TestGrantAfterCancelReleasesSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestClient(t)
		b.view.move("here", "a", 1)
		d := b.dispatcherOn("a")
		go d.sendHeartbeats(1)
		ctx, cancel := context.WithCancel(t.Context())
		w := b.acquire(ctx)
		d.read()
		cancel()
		require.Equal(t, fault.Canceled, fault.From((<-w).err).Kind)
		require.Equal(t, []uint64{1}, d.read().Cancels)
		d.grant(1, 1)
		releases := d.read().Releases
		require.Len(t, releases, 1)
		require.EqualValues(t, sched.NotSent, releases[0].Outcome)
	})
}

// TestReleaseIsSentAfterReconnect guards against a leaked slot when a request
// ends while the session is down.
func TestReleaseIsSentAfterReconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestClient(t)
		b.view.move("here", "a", 1)
		d := b.dispatcherOn("a")
		go d.sendHeartbeats(1)
		w := b.acquire(t.Context())
		d.grant(1, 1)
		got := <-w
		d.cancel()
		got.ticket.Release(sched.Release{Outcome: sched.ConnectionLost})
		d = b.dispatcherOn("a")
		go d.sendHeartbeats(1)
		resync := d.read()
		require.Len(t, resync.Releases, 1)
		require.Empty(t, resync.Offers)
	})
}

func TestSessionEndsAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestClient(t)
		b.view.move("here", "a", 1)
		d := b.dispatcherOn("a")
		time.Sleep(sessionTimeout + time.Millisecond)
		synctest.Wait()
		require.Error(t, d.ctx.Err())
	})
}

func TestSpillAsksOtherRegionThenOwnRegionFinally(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestClient(t)
		b.view.move("here", "a", 1)
		b.view.move("there", "b", 1)
		here, there := b.dispatcherOn("a"), b.dispatcherOn("b")
		go here.sendHeartbeats(1)
		go there.sendHeartbeats(1)
		w := b.acquire(t.Context())
		here.refuse(1, 1, sched.Spill)
		spilled := there.read().Offers
		require.Len(t, spilled, 1)
		require.Equal(t, "here", spilled[0].Spilled)
		there.refuse(1, spilled[0].Id, sched.Overloaded)
		here.read()
		here.refuse(1, 3, sched.Overloaded)
		e := fault.From((<-w).err)
		require.Equal(t, fault.Overloaded, e.Kind)
		require.Equal(t, fault.NotRun, e.Ran)
	})
}

// TestUnreachableRegionMakesOwnDecisionFinal: a spilled request whose other
// regions cannot be reached goes back to the own region as final.
func TestUnreachableRegionMakesOwnDecisionFinal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestClient(t)
		b.down["b"] = true
		b.view.move("here", "a", 1)
		b.view.move("there", "b", 1)
		here := b.dispatcherOn("a")
		go here.sendHeartbeats(1)
		b.acquire(t.Context())
		require.False(t, here.read().Offers[0].Final)
		here.refuse(1, 1, sched.Spill)
		final := here.read().Offers
		require.Len(t, final, 1)
		require.True(t, final[0].Final)
		here.grant(1, final[0].Id)
	})
}

// TestSpilledRequestReturnsWhenLinkBreaks guards against a spilled request that
// waits until its deadline for a region that is no longer connected.
func TestSpilledRequestReturnsWhenLinkBreaks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestClient(t)
		b.view.move("here", "a", 1)
		b.view.move("there", "b", 1)
		here, there := b.dispatcherOn("a"), b.dispatcherOn("b")
		go here.sendHeartbeats(1)
		go there.sendHeartbeats(1)
		w := b.acquire(t.Context())
		here.refuse(1, 1, sched.Spill)
		require.Len(t, there.read().Offers, 1)
		there.cancel()
		synctest.Wait()
		offers := here.read().Offers
		last := offers[len(offers)-1]
		require.True(t, last.Final)
		here.grant(1, last.Id)
		require.NoError(t, (<-w).err)
	})
}

// TestUnsentAnnouncementsAreBounded guards against memory that grows with each
// announcement while a pool has no dispatcher.
func TestUnsentAnnouncementsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestClient(t)
		s := b.session(port.PoolRegion{Pool: "m", Region: "here"}, time.Time{})
		for n := range 3 * maxPendingEvents {
			s.announce(&rpc.UpstreamState{Name: "u", Incarnation: 1, Running: uint32(n), CacheEvents: []*rpc.CacheEvent{{Sequence: uint64(n)}}})
			s.announce(&rpc.UpstreamState{Name: "v", Incarnation: 1})
		}
		require.Len(t, s.pending.Upstreams, 2)
		require.Len(t, s.pending.Upstreams[0].CacheEvents, maxPendingEvents)
		require.EqualValues(t, 3*maxPendingEvents-1, s.pending.Upstreams[0].Running)
	})
}

// TestGrantOfMovedLeaseIsIgnored guards against a grant of a dispatcher that has lost its lease:
// it is ready to be read when the client learns that the lease has moved.
func TestGrantOfMovedLeaseIsIgnored(t *testing.T) {
	for range 30 {
		synctest.Test(t, func(t *testing.T) {
			b := newTestClient(t)
			b.view.move("here", "a", 1)
			first := b.dispatcherOn("a")
			waiting := b.acquire(t.Context())
			b.view.mu.Lock()
			first.toSend <- &rpc.GrantBatch{Epoch: 1, Grants: []*rpc.Grant{{Id: 1, Upstream: "u"}}}
			for range 100 {
				runtime.Gosched()
			}
			b.view.moveLocked("here", "b", 2)
			b.view.mu.Unlock()
			second := b.dispatcherOn("b")
			go second.sendHeartbeats(2)
			require.Empty(t, waiting)
			second.grant(2, 1)
			require.NoError(t, (<-waiting).err)
		})
	}
}

// TestGrantReadAfterPauseIsIgnored guards against a grant that waited for a process that was
// paused: the dispatcher has given up the session and granted the slot again.
func TestGrantReadAfterPauseIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestClient(t)
		paused := atomic.Int64{}
		began := time.Now()
		b.elapsed = func() time.Duration { return time.Since(began) + time.Duration(paused.Load()) }
		b.view.move("here", "a", 1)
		first := b.dispatcherOn("a")
		waiting := b.acquire(t.Context())
		paused.Store(int64(sessionTimeout))
		time.Sleep(heartbeatInterval)
		first.grant(1, 1)
		require.Empty(t, waiting)
		second := b.dispatcherOn("a")
		require.NotSame(t, first, second)
		second.grant(1, 1)
		require.NoError(t, (<-waiting).err)
	})
}
