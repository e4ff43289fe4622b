// Package replica is the shell around a replica's share of the replicated log:
// it gives ticks, messages and a disk to core/consensus, applies what is
// committed, and answers the other daemons.
//
// Invariants: nothing is acknowledged before it is committed and applied; after
// a failed write the group stands still until its log is read from disk anew.
package replica

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
	"github.com/verbenastep/verbenastep/internal/wal"
)

// Service is the "log.replica" service.
type Service struct {
	rpc.DRPCLogUnimplementedServer
	set    *settings.Settings
	log    *zap.Logger
	link   port.Link
	router *router
	groups map[string]*group
	cancel context.CancelFunc
	// SyncEach makes each entry wait for a write and sync of its own, to
	// measure what batching gains. It must be set before Start.
	SyncEach bool
}

// LogFolder is where a group's log lies below the data folder.
func LogFolder(dataFolder, group string) string {
	return filepath.Join(dataFolder, "log-"+group)
}

// New returns the service.
func New(set *settings.Settings, log *zap.Logger) *Service {
	return &Service{set: set, log: log.Named("replica"), groups: map[string]*group{}}
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameReplica }

// Needs returns the link, and who takes events and metrics.
func (s *Service) Needs() []string {
	return []string{port.NameLink, port.NameEvents, port.NameMetrics}
}

// Start opens the groups' logs and begins to take part.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	err := error(nil)
	if s.link, err = kernel.Find[port.Link](k, port.NameLink); err != nil {
		return err
	}
	events, err := kernel.Find[port.Events](k, port.NameEvents)
	if err != nil {
		return err
	}
	metrics, err := kernel.Find[port.Metrics](k, port.NameMetrics)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.router = newRouter(ctx, s.link, s.set, s.log)
	meters := newMeters(metrics.Registerer())
	for _, name := range []string{port.GroupMain} {
		if err := s.open(ctx, name, events, meters); err != nil {
			cancel()
			return err
		}
	}
	return rpc.DRPCRegisterLog(s.link.Mux(), s)
}

func (s *Service) open(ctx context.Context, name string, events port.Events, meters *meters) error {
	folder, err := wal.OpenFolder(LogFolder(s.set.DataFolder, name))
	if err != nil {
		return err
	}
	g := newGroup(name, s.set, folder, s.router, s.log)
	g.events = events
	if s.SyncEach {
		g.limits.syncEach = true
		g.limits.appendBytes = 1
	}
	g.meters = meters.group(name)
	if err := g.start(); err != nil {
		return err
	}
	s.groups[name] = g
	j := joiner{group: g, set: s.set, link: s.link, log: s.log}
	g.done.Go(func() { j.run(ctx) })
	return nil
}

// UnknownGroupError says that a daemon does not hold a group.
type UnknownGroupError struct{ Group string }

// Error names the remedy.
func (e *UnknownGroupError) Error() string {
	return fmt.Sprintf("no group %q is held here; ask a replica of that group", e.Group)
}

func (s *Service) group(name string) (*group, error) {
	if g := s.groups[name]; g != nil {
		return g, nil
	}
	return nil, &UnknownGroupError{Group: name}
}

// Stop hands leadership over and closes the logs.
func (s *Service) Stop(ctx context.Context) error {
	failed := error(nil)
	for _, g := range s.groups {
		g.handOver(ctx)
	}
	s.cancel()
	for _, g := range s.groups {
		failed = errors.Join(failed, g.close())
	}
	s.router.wait()
	return failed
}

// Health returns why a group stands still.
func (s *Service) Health() error {
	for _, g := range s.groups {
		if err := g.health(); err != nil {
			return err
		}
	}
	return nil
}

// Dump shows each group's position.
func (s *Service) Dump() any {
	out := []port.ReplicaStatus{}
	for _, g := range s.groups {
		out = append(out, g.report())
	}
	return out
}
