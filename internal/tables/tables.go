// Package tables publishes route tables to the replicated log and reads the table
// in force. The platform's control calls use it.
//
// A read is linearizable: it returns the newest table, or fails.
package tables

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/core/routes"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
)

const (
	// readTimeout bounds a read. Callers turn to another control daemon after a
	// second.
	readTimeout = 800 * time.Millisecond
	// publishTimeout bounds the publication of a small table, also below the second
	// after which callers turn to another control daemon.
	publishTimeout = 900 * time.Millisecond
	// timeoutPerMiB is added to publishTimeout for each MiB, since a table of a
	// few megabytes takes longer over a slow link.
	timeoutPerMiB = time.Second
)

// tableReader is the part of the replica's service that reads tables.
type tableReader interface {
	ReadTable(ctx context.Context) (state.Publish, error)
}

// Service is the "config.tables" service.
type Service struct {
	log    *zap.Logger
	logs   port.Log
	reader tableReader
}

// New returns the service.
func New(log *zap.Logger) *Service { return &Service{log: log.Named("tables")} }

// Name returns the service's name.
func (s *Service) Name() string { return port.NameTables }

// Needs returns the log and the replica.
func (s *Service) Needs() []string { return []string{port.NameLog, port.NameReplica} }

// Start looks up the log and the replica.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	err := error(nil)
	if s.logs, err = kernel.Find[port.Log](k, port.NameLog); err != nil {
		return err
	}
	s.reader, err = kernel.Find[tableReader](k, port.NameReplica)
	return err
}

// Publish validates a table and commits it together with source, the document
// that the operator sent. It returns the version in force afterwards, which
// differs from the table's version if that was superseded. After an error of kind
// fault.Malformed the table is rejected; after any other error it may or may not
// be in force.
func (s *Service) Publish(ctx context.Context, t *routes.Table, source []byte) (uint64, error) {
	if err := t.Check(); err != nil {
		s.log.Info("route table rejected", zap.Uint64("version", t.Version), zap.Error(err))
		return 0, fault.New(fault.Malformed, "correct the table and publish it again", "%v", err)
	}
	began := time.Now()
	table, err := routes.Encode(t)
	if err != nil {
		return 0, err
	}
	packedSource, err := routes.Compress(source)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout+time.Duration(len(table)+len(packedSource))*timeoutPerMiB/(1<<20))
	defer cancel()
	result, err := s.logs.Propose(ctx, port.GroupMain, state.Command{Publish: &state.Publish{Version: t.Version, Table: table, Source: packedSource}})
	took := zap.Duration("took", time.Since(began))
	if err != nil {
		s.log.Warn("route table not acknowledged", zap.Uint64("version", t.Version), took, zap.Error(err))
		return 0, err
	}
	s.log.Info("route table acknowledged", zap.Uint64("version", t.Version), zap.String("status", string(result.Status)),
		zap.Uint64("in_force", result.Version), zap.Int("bytes", len(table)), took)
	return result.Version, nil
}

// Read returns the source document of the table in force, and false if none was
// published. It fails if the log can't confirm that the table is the newest.
func (s *Service) Read(ctx context.Context) (source []byte, found bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	p, err := s.reader.ReadTable(ctx)
	if err != nil {
		s.log.Info("route table not read", zap.Error(err))
		return nil, false, fault.New(fault.Unavailable, "ask again, or ask another control daemon", "the log does not confirm which table is the newest: %v", err)
	}
	if p.Version == 0 {
		return nil, false, nil
	}
	source, err = routes.Decompress(p.Source)
	return source, err == nil, err
}

// Stop implements kernel.Service; there is nothing to stop.
func (s *Service) Stop(context.Context) error { return nil }

// Health always returns nil.
func (s *Service) Health() error { return nil }

// Dump returns an empty object; the service has no state.
func (s *Service) Dump() any { return struct{}{} }
