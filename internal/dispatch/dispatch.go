// Package dispatch runs the dispatchers of the pools whose lease this daemon
// holds, and serves them to the entries over drpc.
//
// Invariant: a dispatcher grants only while this daemon's own clock says that
// the lease, renewed by a call sent before, still holds.
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
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

const (
	// leaseTTL is shorter than the replicas' by a margin for clock drift and
	// the time a renewal takes.
	leaseTTL = 1500 * time.Millisecond
	// renewEvery is the pause between renewals.
	renewEvery = 400 * time.Millisecond
	// settleTime is how long a new dispatcher waits for entries to offer again
	// what runs, and for upstreams to announce themselves.
	settleTime = 1200 * time.Millisecond
)

// Service is the "sched.dispatcher" service.
type Service struct {
	rpc.DRPCDispatchUnimplementedServer
	set    *settings.Settings
	log    *zap.Logger
	view   port.View
	logs   port.Log
	self   port.Holder
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu    sync.Mutex
	pools map[string]*pool
}

// New returns the service.
func New(set *settings.Settings, log *zap.Logger, self port.Holder) *Service {
	return &Service{set: set, log: log.Named("dispatch"), self: self, pools: map[string]*pool{}}
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameDispatcher }

// Needs returns what leases and messages come through.
func (s *Service) Needs() []string {
	return []string{port.NameLink, port.NameView, port.NameLog}
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
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done.Go(func() { s.seek(ctx) })
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

// keep acquires and renews one pool's lease and runs its dispatcher meanwhile.
func (s *Service) keep(ctx context.Context, name string) {
	lease := port.DispatchLease(name, s.set.Region)
	for ctx.Err() == nil {
		held := s.view.Lease(lease)
		free := held.Holder == "" || held.Holder == s.self.String()
		if free {
			s.renew(ctx, name, lease)
		}
		select {
		case <-ctx.Done():
		case <-time.After(renewEvery):
		}
	}
	s.giveUp(name, lease)
}

func (s *Service) renew(ctx context.Context, name, lease string) {
	sent := time.Now()
	result, err := s.logs.Propose(ctx, port.GroupMain, state.Command{Acquire: &state.Acquire{Name: lease, Holder: s.self.String()}})
	if err != nil || result.Lease == nil {
		return
	}
	if result.Status != state.OK {
		s.drop(name)
		return
	}
	s.mu.Lock()
	p := s.pools[name]
	if p != nil && p.epoch != result.Lease.Epoch {
		p.close()
		p = nil
	}
	if p == nil {
		p = newPool(name, s.set.Region, result.Lease.Epoch, s.view, s.log)
		s.pools[name] = p
		s.done.Go(p.run)
		s.log.Info("dispatcher started", zap.String("pool", name), zap.Uint64("epoch", p.epoch))
	}
	s.mu.Unlock()
	p.extend(sent.Add(leaseTTL))
}

func (s *Service) drop(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pools[name]; p != nil {
		p.close()
		delete(s.pools, name)
	}
}

// giveUp ends the lease so that a successor need not wait for it to run out.
func (s *Service) giveUp(name, lease string) {
	s.mu.Lock()
	p := s.pools[name]
	s.mu.Unlock()
	if p == nil {
		return
	}
	s.drop(name)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := s.logs.Propose(ctx, port.GroupMain, state.Command{Expire: &state.Expire{Name: lease, Epoch: p.epoch}})
	if err != nil {
		s.log.Warn("lease could not be given up", zap.String("lease", lease), zap.Error(err))
	}
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
	if p == nil || p.epoch != first.Epoch {
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
