// Package schedclient is the entry's side of scheduling. It keeps a session to
// the dispatcher of each pool and region, offers requests to it, waits for
// grants and passes on upstreams' announcements. After a dispatcher has moved to
// another daemon or a session broke, it offers all waiting and running requests
// again. internal/entry uses it as port.Scheduler.
package schedclient

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/sched"
	"github.com/verbenastep/verbenastep/internal/clock"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// Service is the "sched.client" service. Its methods are safe for concurrent use.
type Service struct {
	set       *settings.Settings
	log       *zap.Logger
	self      port.Holder
	link      port.Link
	view      port.View
	upstreams port.Upstreams
	bytes     *linkBytes
	// open opens a session to the dispatcher at an address.
	open func(ctx context.Context, address string) (stream, error)
	// elapsed counts suspensions of the machine; see package clock.
	elapsed    func() time.Duration
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu       sync.Mutex
	sessions map[port.PoolRegion]*session
	nextID   uint64
}

// New returns the service.
func New(set *settings.Settings, log *zap.Logger, self port.Holder) *Service {
	return &Service{set: set, log: log.Named("sched"), self: self, elapsed: clock.SinceBoot, sessions: map[port.PoolRegion]*session{}}
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameScheduler }

// Needs lists the services that sessions and metrics require.
func (s *Service) Needs() []string {
	return []string{port.NameLink, port.NameView, port.NameUpstreams, port.NameMetrics}
}

// Start starts to maintain the sessions.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	err := error(nil)
	if s.link, err = kernel.Find[port.Link](k, port.NameLink); err != nil {
		return err
	}
	if s.view, err = kernel.Find[port.View](k, port.NameView); err != nil {
		return err
	}
	if s.upstreams, err = kernel.Find[port.Upstreams](k, port.NameUpstreams); err != nil {
		return err
	}
	registry, err := kernel.Find[port.Metrics](k, port.NameMetrics)
	if err != nil {
		return err
	}
	if s.bytes, err = newLinkBytes(registry.Registerer()); err != nil {
		return err
	}
	s.open = s.dial
	s.startSessions()
	return nil
}

func (s *Service) startSessions() {
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.goroutines.Go(s.maintainSessions)
}

func (s *Service) dial(ctx context.Context, address string) (stream, error) {
	return rpc.NewDRPCDispatchClient(s.link.Conn(address)).Session(ctx)
}

// ticket is a granted slot; it implements port.Ticket.
type ticket struct {
	session     *session
	acquisition *acquisition
	once        sync.Once
}

// Upstream returns the upstream's name.
func (t *ticket) Upstream() string { return t.acquisition.grant.Upstream }

// Address returns the upstream's address.
func (t *ticket) Address() string { return t.acquisition.grant.Address }

// Version returns the upstream's version of the model.
func (t *ticket) Version() string { return t.acquisition.grant.Version }

// Explanation returns the decision's explanation.
func (t *ticket) Explanation() json.RawMessage { return t.acquisition.grant.Why }

// Release frees the slot; calls after the first have no effect.
func (t *ticket) Release(r sched.Release) {
	t.once.Do(func() {
		t.session.countAnswer(r.OutputTokens)
		t.session.release(t.acquisition, r)
	})
}

// Stop ends all sessions and waits until they have ended.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.goroutines.Wait()
	return nil
}

// Health always returns nil; requests to a pool without a dispatcher fail on
// their own.
func (s *Service) Health() error { return nil }

// sessionDump is one session's state in the state dump.
type sessionDump struct {
	Pool    string `json:"pool"`
	Region  string `json:"region"`
	Epoch   uint64 `json:"epoch"`
	Waiting int    `json:"waiting"`
	Running int    `json:"running"`
}

// Dump lists the sessions with their numbers of waiting and running requests.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []sessionDump{}
	for _, sess := range s.sessions {
		out = append(out, sess.dump())
	}
	return out
}
