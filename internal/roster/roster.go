// Package roster keeps the upstreams that send heartbeats to the control
// daemons, each of which passes on what it hears to the others.
package roster

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/roster"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// replicas is what the replica offers besides.
type replicas interface {
	Leadership() (leads bool, leader port.Leader)
	MemberAddresses() []string
}

// Service is the "upstream.roster" service.
type Service struct {
	rpc.DRPCRosterUnimplementedServer
	set      *settings.Settings
	log      *zap.Logger
	link     port.Link
	replicas replicas
	began    time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup

	mu      sync.Mutex
	core    *roster.Roster
	changed chan struct{}
	peers   map[string]*peer
	store   *store
}

// New returns the service.
func New(set *settings.Settings, log *zap.Logger) *Service {
	interval := time.Duration(set.Routing.HeartbeatMS) * time.Millisecond
	return &Service{
		set: set, log: log.Named("roster"), began: time.Now(), core: roster.New(interval),
		changed: make(chan struct{}), peers: map[string]*peer{}, store: &store{folder: set.DataFolder},
	}
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameRoster }

// Needs returns the link, the replica, which knows the control daemons, and who
// takes metrics.
func (s *Service) Needs() []string {
	return []string{port.NameLink, port.NameReplica, port.NameMetrics}
}

// Start begins to pass heartbeats on.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	err := error(nil)
	if s.link, err = kernel.Find[port.Link](k, port.NameLink); err != nil {
		return err
	}
	if s.replicas, err = kernel.Find[replicas](k, port.NameReplica); err != nil {
		return err
	}
	collect, err := kernel.Find[port.Metrics](k, port.NameMetrics)
	if err != nil {
		return err
	}
	if err := collect.Registerer().Register(newStates(s)); err != nil {
		return err
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.recall()
	s.done.Go(s.keep)
	return rpc.DRPCRegisterRoster(s.link.Mux(), s)
}

func (s *Service) now() time.Duration { return time.Since(s.began) }

// Take takes in a heartbeat from an upstream. A daemon that has lost the other
// control daemons refuses it: what it alone knows helps nobody.
func (s *Service) Take(e roster.Entry) error {
	if _, leader := s.replicas.Leadership(); leader.Address == "" {
		return fault.New(fault.Unavailable, "send the heartbeat to another control daemon", "this daemon has lost the log's leader")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e.Heard = s.now()
	if verdict := s.take(e, "heartbeat"); verdict != roster.Stale {
		s.spread(e, verdict)
	}
	return nil
}

// Leave ends an upstream by its id.
func (s *Service) Leave(id string) error {
	return s.Take(roster.Entry{ID: id, Gone: true, Leaving: true})
}

// take gives an entry to the core; the lock is held.
func (s *Service) take(e roster.Entry, from string) roster.Verdict {
	verdict := s.core.Take(e)
	if verdict != roster.Changed {
		return verdict
	}
	s.log.Info("upstream changed", zap.String("upstream", e.ID), zap.String("pool", e.Pool), zap.String("address", e.Address),
		zap.Int64("born", e.Born), zap.Uint64("sequence", e.Sequence), zap.Bool("leaving", e.Leaving), zap.Bool("gone", e.Gone), zap.String("from", from))
	close(s.changed)
	s.changed = make(chan struct{})
	return verdict
}

// All lists the upstreams by id.
func (s *Service) All() []port.RosterEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	out := []port.RosterEntry{}
	for _, e := range s.core.All(now) {
		out = append(out, port.RosterEntry{Entry: e, Age: now - e.Heard, Silent: s.core.Silent(now, e)})
	}
	return out
}

// Changed returns a channel that is closed at the next change.
func (s *Service) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Stop ends the passing on.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.done.Wait()
	return nil
}

// Health returns nil.
func (s *Service) Health() error { return nil }

// Dump lists the upstreams.
func (s *Service) Dump() any { return s.All() }
