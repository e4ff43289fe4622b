package view

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"storj.io/drpc"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/routes"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

const (
	// maxFailover is the time from the last message of a lost replica to the next state of a
	// live one: the shortest time within which a configuration has to be in force, 2.5 s, less
	// half a second for its commit and its way to the replicas.
	maxFailover = 2 * time.Second
	// keepalive is the interval at which the fake replicas send.
	keepalive = 300 * time.Millisecond
	// electionTime is the time after the loss until a new leader answers the first read of a
	// watch.
	electionTime = 700 * time.Millisecond
)

// fakeReplica answers watches. Its zero value is a machine without power: calls to it hang.
type fakeReplica struct {
	mu    sync.Mutex
	alive bool
	// leaderAt is when the first read of a watch is answered, if that is later.
	leaderAt time.Time
	table    uint64
	// watches is the number of open ones.
	watches int
}

func (f *fakeReplica) set(alive bool, table uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.alive, f.table = alive, table
}

func (f *fakeReplica) state() (alive bool, table uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.alive, f.table
}

// electLeader lets first reads wait for electionTime from now.
func (f *fakeReplica) electLeader() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaderAt = time.Now().Add(electionTime)
}

func (f *fakeReplica) timeToLeader() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Until(f.leaderAt)
}

func (f *fakeReplica) countWatch(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watches += n
}

func (f *fakeReplica) openWatches() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watches
}

// fakeLink connects to fake replicas by address.
type fakeLink struct{ replicas map[string]*fakeReplica }

func (l *fakeLink) Mux() drpc.Mux                 { return nil }
func (l *fakeLink) Conn(address string) drpc.Conn { return &fakeConn{replica: l.replicas[address]} }

type fakeConn struct {
	drpc.Conn
	replica *fakeReplica
}

func (c *fakeConn) NewStream(ctx context.Context, _ string, _ drpc.Encoding) (drpc.Stream, error) {
	if alive, _ := c.replica.state(); !alive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c.replica.countWatch(1)
	context.AfterFunc(ctx, func() { c.replica.countWatch(-1) })
	return &fakeStream{ctx: ctx, replica: c.replica}, nil
}

// fakeStream sends the replica's table at once and then keepalives, while the replica is alive.
type fakeStream struct {
	ctx     context.Context
	replica *fakeReplica
	sent    bool
}

func (s *fakeStream) Context() context.Context                  { return s.ctx }
func (s *fakeStream) MsgSend(drpc.Message, drpc.Encoding) error { return nil }
func (s *fakeStream) CloseSend() error                          { return nil }
func (s *fakeStream) Close() error                              { return nil }

func (s *fakeStream) MsgRecv(m drpc.Message, _ drpc.Encoding) error {
	delay := keepalive
	if !s.sent {
		delay = s.replica.timeToLeader()
	}
	s.sent = true
	select {
	case <-time.After(delay):
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
	alive, version := s.replica.state()
	if !alive {
		<-s.ctx.Done()
		return s.ctx.Err()
	}
	table, err := routes.Encode(&routes.Table{Version: version})
	if err != nil {
		return err
	}
	u := m.(*rpc.WatchUpdate)
	u.Table, u.TableVersion = table, version
	return nil
}

// fakeMembers lists the live daemons.
type fakeMembers struct{ live []port.Member }

func (f *fakeMembers) Name() string                                { return port.NameMembers }
func (f *fakeMembers) Needs() []string                             { return nil }
func (f *fakeMembers) Start(context.Context, *kernel.Kernel) error { return nil }
func (f *fakeMembers) Stop(context.Context) error                  { return nil }
func (f *fakeMembers) Health() error                               { return nil }
func (f *fakeMembers) Dump() any                                   { return nil }
func (f *fakeMembers) Live() []port.Member                         { return f.live }
func (f *fakeMembers) Find(string) (port.Member, bool)             { return port.Member{}, false }

// newTestView returns a view of an entry that knows some replicas that are gone for good, a live
// replica in its data centre and one in another region. The replicas that are gone are in its
// settings, and in the member list as well if listed is set.
func newTestView(t *testing.T, gone int, listed bool) (s *Service, near, far *fakeReplica) {
	t.Helper()
	near, far = &fakeReplica{alive: true, table: 1}, &fakeReplica{alive: true, table: 1}
	link := &fakeLink{replicas: map[string]*fakeReplica{"near": near, "far": far}}
	set := &settings.Settings{DataCentre: "a", Region: "r", Routing: &settings.Routing{}}
	for i := range gone {
		address := fmt.Sprintf("gone-%d", i)
		link.replicas[address] = &fakeReplica{}
		set.Replicas = append(set.Replicas, settings.Peer{Name: address, Address: address})
	}
	live := []port.Member{
		{Name: "near", Peers: "near", DataCentre: "a", Region: "r", Replica: true},
		{Name: "far", Peers: "far", DataCentre: "b", Region: "q", Replica: true},
	}
	for _, p := range set.Replicas {
		if listed {
			live = append(live, port.Member{Name: p.Name, Peers: p.Address, DataCentre: "b", Region: "r", Replica: true})
		}
	}
	s = New(set, zap.NewNop())
	s.link = link
	s.kernel = kernel.New()
	require.NoError(t, s.kernel.Register(&fakeMembers{live: live}))
	return s, near, far
}

// TestLostReplicaIsReplacedWithinTheBound guards against an entry that acts on an old
// configuration after the replica that it watches has lost power: it asked the other replicas
// one after the other, and each that was gone took a second.
func TestLostReplicaIsReplacedWithinTheBound(t *testing.T) {
	for i := range 12 {
		gone, listed := []int{0, 1, 2, 3, 8, 16}[i/2], i%2 == 1
		t.Run(fmt.Sprintf("%d gone, listed %t", gone, listed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, near, far := newTestView(t, gone, listed)
				ctx, cancel := context.WithCancel(t.Context())
				running := sync.WaitGroup{}
				running.Go(func() { s.run(ctx) })
				time.Sleep(5 * time.Second)
				require.Equal(t, uint64(1), s.Routes().Table.Version)
				require.Zero(t, far.openWatches(), "the nearest replica is watched alone")

				near.set(false, 1)
				far.set(true, 2)
				far.electLeader()
				time.Sleep(maxFailover)
				require.Equal(t, uint64(2), s.Routes().Table.Version)
				cancel()
				running.Wait()
			})
		})
	}
}

// TestWatchMovesOnAfterAnError guards against a loop without a delay where every replica
// refuses, and against a replica that is not asked again once it has recovered.
func TestWatchMovesOnAfterAnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, near, far := newTestView(t, 0, false)
		near.alive, far.alive = false, false
		ctx, cancel := context.WithCancel(t.Context())
		running := sync.WaitGroup{}
		running.Go(func() { s.run(ctx) })
		time.Sleep(time.Minute)
		require.Nil(t, s.Routes())
		near.set(true, 7)
		time.Sleep(maxFailover)
		require.Equal(t, uint64(7), s.Routes().Table.Version)
		cancel()
		running.Wait()
	})
}

// TestReplicaOfUnusableMessagesIsNotAskedInALoop guards against watches that begin again at once
// where each ends with its first message, for example by data of a newer version.
func TestReplicaOfUnusableMessagesIsNotAskedInALoop(t *testing.T) {
	f, begun := newFailover(), 0
	for now := time.Duration(0); now < time.Second; now += time.Millisecond {
		begin, _ := f.next(now, []string{"a", "b", "c"})
		begun += len(begin)
		for _, address := range begin {
			f.heard(now, address)
			f.ended(now, address)
		}
	}
	require.LessOrEqual(t, begun, 2*int(time.Second/retryDelay)+2)
}
