// Package dispatch runs the dispatchers of the pools whose lease this daemon
// holds, and serves them to the entries over drpc.
//
// Invariant: a dispatcher grants only while this daemon's own clock says that
// the lease, renewed by a call sent before, still holds.
package dispatch

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// Service is the "sched.dispatcher" service.
type Service struct {
	rpc.DRPCDispatchUnimplementedServer
	set     *settings.Settings
	log     *zap.Logger
	view    port.View
	logs    port.Log
	members port.Members
	events  port.Events
	metrics *metrics
	self    port.Holder
	// crashes are counts on their way to the replicated log.
	crashes chan state.Suspect
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup

	mu    sync.Mutex
	pools map[string]*pool
}

// New returns the service.
func New(set *settings.Settings, log *zap.Logger, self port.Holder) *Service {
	return &Service{set: set, log: log.Named("dispatch"), self: self, pools: map[string]*pool{}, crashes: make(chan state.Suspect, crashesWaiting)}
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameDispatcher }

// Needs returns what leases and messages come through.
func (s *Service) Needs() []string {
	return []string{port.NameLink, port.NameView, port.NameLog, port.NameMembers, port.NameEvents, port.NameMetrics}
}

// Start registers with the link and begins to seek leases.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	link, err := kernel.Find[port.Link](k, port.NameLink)
	if err != nil {
		return err
	}
	if s.view, err = kernel.Find[port.View](k, port.NameView); err != nil {
		return err
	}
	if s.logs, err = kernel.Find[port.Log](k, port.NameLog); err != nil {
		return err
	}
	if s.members, err = kernel.Find[port.Members](k, port.NameMembers); err != nil {
		return err
	}
	if s.events, err = kernel.Find[port.Events](k, port.NameEvents); err != nil {
		return err
	}
	collect, err := kernel.Find[port.Metrics](k, port.NameMetrics)
	if err != nil {
		return err
	}
	if s.metrics, err = newMetrics(collect.Registerer()); err != nil {
		return err
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.done.Go(func() { s.seek(s.ctx) })
	s.done.Go(s.shareCrashes)
	return rpc.DRPCRegisterDispatch(link.Mux(), s)
}

// seek keeps one keeper running for each declared pool.
func (s *Service) seek(ctx context.Context) {
	keepers := map[string]context.CancelFunc{}
	for ctx.Err() == nil {
		changed := s.view.Changed()
		wanted := poolNames(s.view.Snapshot().Config)
		for name := range wanted {
			if keepers[name] == nil {
				sub, cancel := context.WithCancel(ctx)
				keepers[name] = cancel
				s.done.Go(func() { s.keep(sub, name) })
			}
		}
		for name, cancel := range keepers {
			if !wanted[name] {
				cancel()
				delete(keepers, name)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func poolNames(c *config.Config) map[string]bool {
	out := map[string]bool{}
	for _, m := range c.Models {
		out[m.Name] = true
	}
	for _, v := range c.Services {
		out[v.Name] = true
	}
	return out
}

// Session serves one entry.
func (s *Service) Session(stream rpc.DRPCDispatch_SessionStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	s.mu.Lock()
	p := s.pools[first.Pool]
	s.mu.Unlock()
	if p == nil || p.epoch != first.Epoch || !p.holds() {
		return fault.New(fault.Unavailable, "look up the lease again", "this daemon does not dispatch pool %q at epoch %d", first.Pool, first.Epoch)
	}
	return p.serve(stream, first)
}

// Stop gives up all leases.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.done.Wait()
	return nil
}

// Health returns nil.
func (s *Service) Health() error { return nil }

// Dump shows the dispatchers that run here.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]any{}
	for name, p := range s.pools {
		out[name] = p.dump()
	}
	return out
}
