// Package dispatch runs a dispatcher for each pool whose lease this daemon
// holds, and serves scheduling sessions to the entries over drpc. The entries'
// side of a session is internal/schedclient.
//
// Invariant: a dispatcher grants only while its lease is valid by the time since
// the machine's boot, counted from before the renewal was sent.
package dispatch

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/clock"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// Service is the "sched.dispatcher" service.
type Service struct {
	rpc.DRPCDispatchUnimplementedServer
	set           *settings.Settings
	log           *zap.Logger
	view          port.View
	replicatedLog port.Log
	members       port.Members
	events        port.Events
	metrics       *metrics
	self          port.Holder
	// elapsed is the clock that leases are measured by.
	elapsed func() time.Duration
	// crashCounts queues crash counts for the replicated log.
	crashCounts chan state.Suspect
	ctx         context.Context
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup

	mu    sync.Mutex
	pools map[string]*pool
}

// New returns the service.
func New(set *settings.Settings, log *zap.Logger, self port.Holder) *Service {
	return &Service{set: set, log: log.Named("dispatch"), self: self, elapsed: clock.SinceBoot, pools: map[string]*pool{}, crashCounts: make(chan state.Suspect, maxPendingCrashCounts)}
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameDispatcher }

// Needs lists the services that leases, sessions, events and metrics require.
func (s *Service) Needs() []string {
	return []string{port.NameLink, port.NameView, port.NameLog, port.NameMembers, port.NameEvents, port.NameMetrics}
}

// Start registers the drpc service and starts to acquire leases.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	link, err := kernel.Find[port.Link](k, port.NameLink)
	if err != nil {
		return err
	}
	if s.view, err = kernel.Find[port.View](k, port.NameView); err != nil {
		return err
	}
	if s.replicatedLog, err = kernel.Find[port.Log](k, port.NameLog); err != nil {
		return err
	}
	if s.members, err = kernel.Find[port.Members](k, port.NameMembers); err != nil {
		return err
	}
	if s.events, err = kernel.Find[port.Events](k, port.NameEvents); err != nil {
		return err
	}
	registry, err := kernel.Find[port.Metrics](k, port.NameMetrics)
	if err != nil {
		return err
	}
	if s.metrics, err = newMetrics(registry.Registerer()); err != nil {
		return err
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.goroutines.Go(func() { s.maintainPools(s.ctx) })
	s.goroutines.Go(s.proposeCrashCounts)
	return rpc.DRPCRegisterDispatch(link.Mux(), s)
}

// maintainPools runs maintainLease for each declared pool and stops it when the
// pool is no longer declared.
func (s *Service) maintainPools(ctx context.Context) {
	cancels := map[string]context.CancelFunc{}
	for ctx.Err() == nil {
		changed := s.view.Changed()
		wanted := poolNames(s.view.Snapshot().Config)
		for name := range wanted {
			if cancels[name] == nil {
				sub, cancel := context.WithCancel(ctx)
				cancels[name] = cancel
				s.goroutines.Go(func() { s.maintainLease(sub, name) })
			}
		}
		for name, cancel := range cancels {
			if !wanted[name] {
				cancel()
				delete(cancels, name)
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

// Session serves one entry until its stream ends. It returns a *fault.Error of
// kind unavailable if this daemon does not hold the lease at the entry's epoch.
func (s *Service) Session(stream rpc.DRPCDispatch_SessionStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	s.mu.Lock()
	p := s.pools[first.Pool]
	s.mu.Unlock()
	if p == nil || p.epoch != first.Epoch || !p.holdsLease() {
		return fault.New(fault.Unavailable, "look up the lease again", "this daemon does not dispatch pool %q at epoch %d", first.Pool, first.Epoch)
	}
	return p.serve(stream, first)
}

// Stop releases all leases and waits until the dispatchers have ended.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.goroutines.Wait()
	return nil
}

// Health always returns nil.
func (s *Service) Health() error { return nil }

// Dump returns the state of the dispatchers on this daemon, by pool.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]any{}
	for name, p := range s.pools {
		out[name] = p.dump()
	}
	return out
}
