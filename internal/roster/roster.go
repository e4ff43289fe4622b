// Package roster is the control daemons' register of upstreams. Each control
// daemon merges the heartbeats that upstreams send to it, forwards them to the
// other control daemons and stores the roster on disk; the broker and the
// platform's control calls use it.
//
// All control daemons converge on the same entries; core/roster orders the
// heartbeats. A daemon without contact to the log's leader accepts none.
package roster

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/roster"
	"github.com/verbenastep/verbenastep/internal/clock"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// replicas is the part of the replica's service that the roster uses.
type replicas interface {
	Leadership() (leads bool, leader port.Leader)
	MemberAddresses() []string
	CopiesToSurvive() int
}

// Service is the "upstream.roster" service. It is safe for concurrent use.
type Service struct {
	rpc.DRPCRosterUnimplementedServer
	set       *settings.Settings
	log       *zap.Logger
	link      port.Link
	replicas  replicas
	startedAt time.Time
	// bootTime is when the machine booted, by its clock as the service was created.
	bootTime time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup

	mu      sync.Mutex
	core    *roster.Roster
	changed chan struct{}
	peers   map[string]*peer
	store   *store
	// revision counts the changes of the core; storedRevision is the last one on disk. stored is
	// closed and replaced with each write.
	revision       uint64
	storedRevision uint64
	stored         chan struct{}
	// urgent holds a token while a departure waits for the next write.
	urgent chan struct{}
	// departures holds the departures that upstreams have asked to be acknowledged.
	departures map[departure]*copies
}

// New returns the service.
func New(set *settings.Settings, log *zap.Logger) *Service {
	interval := settings.Milliseconds(set.Routing.HeartbeatMS)
	return &Service{
		set: set, log: log.Named("roster"), startedAt: time.Now(), bootTime: time.Now().Add(-clock.SinceBoot()), core: roster.New(interval),
		changed: make(chan struct{}), peers: map[string]*peer{}, store: &store{folder: set.DataFolder},
		stored: make(chan struct{}), urgent: make(chan struct{}, 1), departures: map[departure]*copies{},
	}
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameRoster }

// Needs returns the link, the replica, which lists the control daemons, and the
// metrics registry.
func (s *Service) Needs() []string {
	return []string{port.NameLink, port.NameReplica, port.NameMetrics}
}

// Start loads the stored roster and begins to accept and forward heartbeats.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	err := error(nil)
	if s.link, err = kernel.Find[port.Link](k, port.NameLink); err != nil {
		return err
	}
	if s.replicas, err = kernel.Find[replicas](k, port.NameReplica); err != nil {
		return err
	}
	registry, err := kernel.Find[port.Metrics](k, port.NameMetrics)
	if err != nil {
		return err
	}
	if err := registry.Registerer().Register(newStateCollector(s)); err != nil {
		return err
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.load()
	s.done.Go(s.storeChanges)
	s.done.Go(s.forwardDepartures)
	return rpc.DRPCRegisterRoster(s.link.Mux(), s)
}

func (s *Service) now() time.Duration { return time.Since(s.startedAt) }

// RecordHeartbeat records a heartbeat of an upstream and forwards it to the other
// control daemons. One that says that the upstream leaves returns once that outlives the daemons
// that may be lost. It returns a fault.Malformed error if the heartbeat names no upstream to use,
// and a fault.Unavailable error if a departure is not on enough disks in time, or if this daemon
// has lost the log's leader: other daemons may then not learn of the heartbeat.
func (s *Service) RecordHeartbeat(ctx context.Context, e roster.Entry) error {
	if odd := (*roster.Error)(nil); errors.As(e.Validate(), &odd) {
		return fault.New(fault.Malformed, "correct what the upstream announces", "the heartbeat names no upstream to use: its %s %s", odd.Field, odd.Reason)
	}
	if _, leader := s.replicas.Leadership(); leader.Address == "" {
		return fault.New(fault.Unavailable, "send the heartbeat to another control daemon", "this daemon has lost the log's leader")
	}
	c, err := s.recordHeartbeat(e)
	if err != nil || c == nil {
		return err
	}
	return s.awaitCopies(ctx, c)
}

// Leave records that the upstream with an id has left: every process that was started under the id
// until now, also if its heartbeats have not arrived yet. It returns like RecordHeartbeat, and a
// fault.Unavailable error if too many upstreams that this daemon does not know have left.
func (s *Service) Leave(ctx context.Context, id string) error {
	// A process may have started in this millisecond.
	return s.RecordHeartbeat(ctx, roster.Entry{ID: id, Gone: true, Leaving: true, EndedBefore: s.wallTime().UnixMilli() + 1})
}

// wallTime returns the time of day. Steps of the machine's clock since the service was created don't
// change it.
func (s *Service) wallTime() time.Time { return s.bootTime.Add(clock.SinceBoot()) }

// recordHeartbeat merges and forwards a heartbeat. It returns the copies of the departure that has
// to be stored before the heartbeat is acknowledged, or nil if there is none.
func (s *Service) recordHeartbeat(e roster.Entry) (*copies, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.Heard = s.now()
	held, known := s.core.Find(e.ID)
	if e.Gone {
		if !known && s.core.CountUnknown() >= maxUnknownDepartures {
			return nil, fault.New(fault.Unavailable, "send the departure again later", "%d upstreams have left that this daemon does not know", maxUnknownDepartures)
		}
		e = s.core.Departure(e)
	}
	result := s.merge(e, "heartbeat")
	if e.IsDeparture() && !held.IsDeparture() {
		s.log.Info("departure received", zap.String("upstream", e.ID), zap.Int64("born", e.Born), zap.Bool("gone", e.Gone), zap.Bool("known", known), zap.Int64("held_born", held.Born),
			zap.Int64("ended_before", e.EndedBefore), zap.Bool("stale", result == roster.Stale))
	}
	if !e.IsDeparture() {
		if result != roster.Stale {
			s.forward(e, result)
		}
		return nil, nil
	}
	return s.beginDeparture(e, result), nil
}

// merge merges an entry and notifies watchers of a change. The caller holds s.mu.
func (s *Service) merge(e roster.Entry, from string) roster.MergeResult {
	result := s.core.Merge(e)
	if result != roster.Changed {
		return result
	}
	s.log.Info("upstream changed", zap.String("upstream", e.ID), zap.String("pool", e.Pool), zap.String("address", e.Address),
		zap.String("software", e.SoftwareVersion), zap.Int64("born", e.Born), zap.Uint64("sequence", e.Sequence), zap.Bool("leaving", e.Leaving), zap.Bool("gone", e.Gone), zap.String("from", from))
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
	return result
}

// All returns the entries sorted by id, including those that left recently.
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

// Changed returns a channel that is closed at the next change of an entry;
// renewals don't count as changes.
func (s *Service) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Stop ends storing, and forwarding once what is queued has been sent.
func (s *Service) Stop(ctx context.Context) error {
	s.cancel()
	s.done.Wait()
	s.flush(ctx)
	return nil
}

// Health always returns nil.
func (s *Service) Health() error { return nil }

// Dump returns all entries.
func (s *Service) Dump() any { return s.All() }
