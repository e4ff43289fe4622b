// Package rollouts takes the orders of rollouts, commits them to the replicated log and reads
// them back. The platform's control calls and the administrative server use it; the leading
// broker carries the orders out.
//
// An order is acknowledged after it is committed. A read is linearizable: it is never older
// than an acknowledgement, or fails.
package rollouts

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/core/rollout"
	"github.com/verbenastep/verbenastep/core/routes"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/clock"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
)

const (
	// callTimeout bounds a call. Callers turn to another control daemon after a second.
	callTimeout = 900 * time.Millisecond
	// rosterDelay is the time after the start of the daemon from which on its roster is
	// complete: some intervals of the heartbeats that all upstreams send.
	rosterDelay = 5 * time.Second
	// maxDuration bounds the duration of a rollout.
	maxDuration = 30 * 24 * time.Hour
	// reasonAborted is the reason of a rollout that an operator aborts.
	reasonAborted = "aborted by an operator"
)

// reader is the part of the replica's service that reads rollouts.
type reader interface {
	ReadRollouts(ctx context.Context) ([]rollout.Record, state.Publish, error)
}

// Service is the "rollout.orders" service. It is safe for concurrent use.
type Service struct {
	log     *zap.Logger
	logs    port.Log
	reader  reader
	view    port.TableView
	roster  port.Roster
	elapsed func() time.Duration
	started time.Duration
}

// New returns the service.
func New(log *zap.Logger) *Service {
	return &Service{log: log.Named("rollouts"), elapsed: clock.SinceBoot, started: clock.SinceBoot()}
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameRollouts }

// Needs returns the log, the replica, the route table and the roster.
func (s *Service) Needs() []string {
	return []string{port.NameLog, port.NameReplica, port.NameView, port.NameRoster}
}

// Start looks up the services.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	err := error(nil)
	if s.logs, err = kernel.Find[port.Log](k, port.NameLog); err != nil {
		return err
	}
	if s.reader, err = kernel.Find[reader](k, port.NameReplica); err != nil {
		return err
	}
	if s.view, err = kernel.Find[port.TableView](k, port.NameView); err != nil {
		return err
	}
	s.roster, err = kernel.Find[port.Roster](k, port.NameRoster)
	return err
}

// Order begins a rollout. See port.Rollouts.
func (s *Service) Order(ctx context.Context, pool, target string, duration time.Duration) (rollout.Record, error) {
	if pool == "" || target == "" || duration <= 0 || duration > maxDuration {
		return rollout.Record{}, fault.New(fault.Malformed, "name a pool, a target version and a duration of up to 30 days", "the order of pool %q, version %q and %s is not usable", pool, target, duration)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	records, table, err := s.read(ctx)
	if err != nil {
		return rollout.Record{}, err
	}
	if r, ok := find(records, pool); ok && r.Target == target && r.Duration == duration {
		// An order that was accepted is acknowledged again, whatever has changed since.
		s.log.Info("rollout order repeated", zap.String("pool", pool), zap.String("target", target), zap.Uint64("number", r.Number), zap.String("phase", string(r.Phase)))
		return r, nil
	}
	known, err := s.hasPool(table, pool)
	if err != nil {
		return rollout.Record{}, err
	}
	if !known {
		return rollout.Record{}, fault.New(fault.Malformed, "name a pool of the route table", "the route table has no pool %q", pool)
	}
	start := rollout.Start{Pool: pool, Target: target, Duration: duration, Complete: s.isOnlyVersion(pool, target)}
	r, status, err := s.propose(ctx, state.Rollout{Start: &start})
	if err != nil {
		return rollout.Record{}, err
	}
	s.log.Info("rollout ordered", zap.String("pool", pool), zap.String("target", target), zap.Duration("duration", duration), zap.Bool("only_version", start.Complete),
		zap.String("status", string(status)), zap.Uint64("number", r.Number), zap.String("phase", string(r.Phase)))
	if status == state.Conflict {
		return rollout.Record{}, fault.New(fault.Conflict, "wait for its end, or abort it", "a rollout of pool %q to version %q runs", pool, r.Target)
	}
	return r, nil
}

// Show returns the last rollout of a pool. See port.Rollouts.
func (s *Service) Show(ctx context.Context, pool string) (rollout.Record, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	records, _, err := s.read(ctx)
	r, ok := find(records, pool)
	return r, ok, err
}

// Abort rolls a running rollout back. See port.Rollouts.
func (s *Service) Abort(ctx context.Context, pool string) (rollout.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	records, _, err := s.read(ctx)
	if err != nil {
		return rollout.Record{}, err
	}
	r, ok := find(records, pool)
	if !ok {
		return rollout.Record{}, fault.New(fault.NotFound, "order a rollout first", "pool %q has no rollout", pool)
	}
	r, status, err := s.propose(ctx, state.Rollout{Advance: &rollout.Advance{Pool: pool, Number: r.Number, Phase: rollout.RolledBack, Reason: reasonAborted}})
	if err != nil {
		return rollout.Record{}, err
	}
	s.log.Info("rollout aborted", zap.String("pool", pool), zap.String("target", r.Target), zap.Uint64("number", r.Number), zap.String("status", string(status)), zap.String("phase", string(r.Phase)))
	if status != state.OK {
		return rollout.Record{}, fault.New(fault.Conflict, "see how it ended with verbenastep rollout show", "the rollout of pool %q to version %q is %s", pool, r.Target, r.Phase)
	}
	return r, nil
}

// read returns all records and the route table, by a linearizable read.
func (s *Service) read(ctx context.Context) ([]rollout.Record, state.Publish, error) {
	records, table, err := s.reader.ReadRollouts(ctx)
	if err != nil {
		s.log.Info("rollouts not read", zap.Error(err))
		return nil, table, fault.New(fault.Unavailable, "ask again, or ask another control daemon", "the log does not confirm which state is the newest: %v", err)
	}
	return records, table, nil
}

// propose commits a command and returns the record afterwards, with the status OK or Conflict.
func (s *Service) propose(ctx context.Context, c state.Rollout) (rollout.Record, state.Status, error) {
	result, err := s.logs.Propose(ctx, port.GroupMain, state.Command{Rollout: &c})
	if err != nil {
		s.log.Warn("rollout command not acknowledged", zap.Error(err))
		return rollout.Record{}, "", err
	}
	if result.Rollout == nil || result.Status != state.OK && result.Status != state.Conflict {
		// The leader is of an earlier version, which knows no rollouts.
		return rollout.Record{}, "", fault.New(fault.Unavailable, "send the order again once all control daemons have this version", "the leader answered %s", result.Status)
	}
	return *result.Rollout, result.Status, nil
}

// hasPool reports whether a route table declares a pool. It decodes the table only if this daemon
// has another one in force.
func (s *Service) hasPool(p state.Publish, pool string) (bool, error) {
	if index := s.view.Routes(); index != nil && index.Table.Version == p.Version {
		return index.Pool(pool) != nil, nil
	}
	if p.Version == 0 {
		return false, fault.New(fault.Unavailable, "publish a configuration, or ask again once there is one", "there is no route table yet")
	}
	t, err := routes.Decode(p.Table)
	if err != nil {
		return false, err
	}
	return routes.NewIndex(t).Pool(pool) != nil, nil
}

// isOnlyVersion reports whether the upstreams of a pool are all of the target version. A daemon
// that has just started does not know all upstreams; the leader finds it out then.
func (s *Service) isOnlyVersion(pool, target string) bool {
	if s.elapsed()-s.started < rosterDelay {
		return false
	}
	found := false
	for _, e := range s.roster.All() {
		if e.Pool != pool || e.Gone {
			continue
		}
		if e.SoftwareVersion != target {
			return false
		}
		found = true
	}
	return found
}

// find returns the record of a pool, and false if there is none.
func find(records []rollout.Record, pool string) (rollout.Record, bool) {
	for _, r := range records {
		if r.Pool == pool {
			return r, true
		}
	}
	return rollout.Record{}, false
}

// Stop implements kernel.Service; there is nothing to stop.
func (s *Service) Stop(context.Context) error { return nil }

// Health always returns nil.
func (s *Service) Health() error { return nil }

// Dump returns an empty object; the service has no state.
func (s *Service) Dump() any { return struct{}{} }
