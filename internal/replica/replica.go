// Package replica provides the log.replica service, which runs a replica of the
// replicated log. It drives core/consensus with ticks, messages and a disk,
// applies committed commands to the state machine of core/state, and serves the
// RPCs of the log to other daemons.
//
// A command is acknowledged only after it has been committed and applied. After
// a failed write a group serves nothing until its log has been reopened from
// disk.
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

// Service implements the "log.replica" service. It is safe for concurrent use.
type Service struct {
	rpc.DRPCLogUnimplementedServer
	set       *settings.Settings
	log       *zap.Logger
	link      port.Link
	transport *transport
	groups    map[string]*group
	cancel    context.CancelFunc
	// SyncEach writes and syncs each entry separately, to measure the gain of
	// batching. It must be set before Start.
	SyncEach bool
}

// LogFolder returns the path of a group's log in the data folder.
func LogFolder(dataFolder, group string) string {
	return filepath.Join(dataFolder, "log-"+group)
}

// New returns a replica that keeps its logs in the data folder of the settings.
func New(set *settings.Settings, log *zap.Logger) *Service {
	return &Service{set: set, log: log.Named("replica"), groups: map[string]*group{}}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return port.NameReplica }

// Needs implements kernel.Service.
func (s *Service) Needs() []string {
	return []string{port.NameLink, port.NameEvents, port.NameMetrics}
}

// Start opens the logs of all groups, starts their loops and registers the RPCs
// of the log. An unusable data folder is returned as an error.
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
	s.transport = newTransport(ctx, s.link, s.set, s.log)
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
	g := newGroup(name, s.set, folder, s.transport, s.log)
	g.events = events
	if s.SyncEach {
		g.limits.syncEachEntry = true
		g.limits.maxAppendBytes = 1
	}
	g.meters = meters.group(name)
	if err := g.start(); err != nil {
		return err
	}
	s.groups[name] = g
	j := joiner{group: g, set: s.set, link: s.link, log: s.log}
	g.goroutines.Go(func() { j.run(ctx) })
	return nil
}

// UnknownGroupError reports that a daemon has no replica of a group.
type UnknownGroupError struct{ Group string }

// Error implements error.
func (e *UnknownGroupError) Error() string {
	return fmt.Sprintf("no group %q is held here; ask a replica of that group", e.Group)
}

func (s *Service) group(name string) (*group, error) {
	if g := s.groups[name]; g != nil {
		return g, nil
	}
	return nil, &UnknownGroupError{Group: name}
}

// Drain transfers leadership, and the vote where the others don't need it, to other replicas. It ends while the daemon still
// serves: a broker that stopped before would be sought in vain as long as its daemon leads.
func (s *Service) Drain(ctx context.Context) error {
	for _, g := range s.groups {
		g.stopVoting(ctx)
	}
	return nil
}

// Stop transfers leadership again, if the drain has not or if it has come back, and closes the
// logs.
func (s *Service) Stop(ctx context.Context) error {
	err := error(nil)
	for _, g := range s.groups {
		g.stopVoting(ctx)
	}
	s.cancel()
	for _, g := range s.groups {
		err = errors.Join(err, g.close())
	}
	s.transport.wait()
	return err
}

// Health implements kernel.Service. It returns the error that stopped a group,
// until the group's log has been reopened.
func (s *Service) Health() error {
	for _, g := range s.groups {
		if err := g.health(); err != nil {
			return err
		}
	}
	return nil
}

// Dump returns the status of each group.
func (s *Service) Dump() any {
	out := []port.ReplicaStatus{}
	for _, g := range s.groups {
		out = append(out, g.statusReport())
	}
	return out
}
