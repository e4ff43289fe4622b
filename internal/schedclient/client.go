// Package schedclient is the entry's side of scheduling: it offers requests to
// the dispatchers, waits for grants, and offers again what waits or runs when
// a dispatcher moves.
package schedclient

import (
	"context"
	"encoding/json"
	"sync"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/sched"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// Service is the "sched.client" service.
type Service struct {
	set       *settings.Settings
	log       *zap.Logger
	self      port.Holder
	link      port.Link
	view      port.View
	upstreams port.Upstreams
	bytes     *linkBytes
	// open begins a session with the dispatcher at an address.
	open   func(ctx context.Context, address string) (stream, error)
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu       sync.Mutex
	sessions map[port.Place]*session
	nextID   uint64
}

// New returns the service.
func New(set *settings.Settings, log *zap.Logger, self port.Holder) *Service {
	return &Service{set: set, log: log.Named("sched"), self: self, sessions: map[port.Place]*session{}}
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameScheduler }

// Needs returns what offers and announcements pass through.
func (s *Service) Needs() []string {
	return []string{port.NameLink, port.NameView, port.NameUpstreams, port.NameMetrics}
}

// Start keeps sessions to all declared pools.
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
	collect, err := kernel.Find[port.Metrics](k, port.NameMetrics)
	if err != nil {
		return err
	}
	if s.bytes, err = newLinkBytes(collect.Registerer()); err != nil {
		return err
	}
	s.open = s.dial
	s.begin()
	return nil
}

func (s *Service) begin() {
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.done.Go(s.maintain)
}

func (s *Service) dial(ctx context.Context, address string) (stream, error) {
	return rpc.NewDRPCDispatchClient(s.link.Conn(address)).Session(ctx)
}

// ticket is a granted slot.
type ticket struct {
	session *session
	waiter  *waiter
	once    sync.Once
}

// Upstream returns the upstream's name.
func (t *ticket) Upstream() string { return t.waiter.grant.Upstream }

// Address returns the upstream's address.
func (t *ticket) Address() string { return t.waiter.grant.Address }

// Why returns the decision's explanation.
func (t *ticket) Why() json.RawMessage { return t.waiter.grant.Why }

// Release frees the slot.
func (t *ticket) Release(r sched.Release) {
	t.once.Do(func() {
		t.session.answerCrossed(r.OutputTokens)
		t.session.release(t.waiter, r)
	})
}

// Stop ends all sessions.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.done.Wait()
	return nil
}

// Health returns nil: pools without a dispatcher refuse by themselves.
func (s *Service) Health() error { return nil }

// sessionDump is one session's state, for operators.
type sessionDump struct {
	Pool    string `json:"pool"`
	Region  string `json:"region"`
	Epoch   uint64 `json:"epoch"`
	Waiting int    `json:"waiting"`
	Running int    `json:"running"`
}

// Dump lists the sessions.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []sessionDump{}
	for _, sess := range s.sessions {
		out = append(out, sess.dump())
	}
	return out
}
