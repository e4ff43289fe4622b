// Package tables publishes route tables through the replicated log and reads
// back what is accepted.
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
	// readTimeout bounds a read: a caller that waits a second goes elsewhere.
	readTimeout = 800 * time.Millisecond
	// publishTimeout bounds a publication for the same reason; a table of a few
	// megabytes takes longer over a narrow link.
	publishTimeout = 900 * time.Millisecond
	// bytesTimeout is added for each megabyte.
	bytesTimeout = time.Second
)

// reader is what the replica offers besides.
type reader interface {
	ReadTable(ctx context.Context) (state.Publish, error)
}

// Service is the "config.tables" service.
type Service struct {
	log    *zap.Logger
	logs   port.Log
	reader reader
}

// New returns the service.
func New(log *zap.Logger) *Service { return &Service{log: log.Named("tables")} }

// Name returns the service's name.
func (s *Service) Name() string { return port.NameTables }

// Needs returns the log and the replica.
func (s *Service) Needs() []string { return []string{port.NameLog, port.NameReplica} }

// Start finds the log.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	err := error(nil)
	if s.logs, err = kernel.Find[port.Log](k, port.NameLog); err != nil {
		return err
	}
	s.reader, err = kernel.Find[reader](k, port.NameReplica)
	return err
}

// Publish checks a table and commits it; source is what the operator sent. It
// returns the version in force afterwards, which is another than the table's
// where that was superseded. An error of kind malformed says that the table is
// refused, any other that it may or may not be in force.
func (s *Service) Publish(ctx context.Context, t *routes.Table, source []byte) (uint64, error) {
	if err := t.Check(); err != nil {
		s.log.Info("route table refused", zap.Uint64("version", t.Version), zap.Error(err))
		return 0, fault.New(fault.Malformed, "correct the table and publish it again", "%v", err)
	}
	began := time.Now()
	table, err := routes.Encode(t)
	if err != nil {
		return 0, err
	}
	packed, err := routes.Pack(source)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout+time.Duration(len(table)+len(packed))*bytesTimeout/(1<<20))
	defer cancel()
	result, err := s.logs.Propose(ctx, port.GroupMain, state.Command{Publish: &state.Publish{Version: t.Version, Table: table, Source: packed}})
	took := zap.Duration("took", time.Since(began))
	if err != nil {
		s.log.Warn("route table not acknowledged", zap.Uint64("version", t.Version), took, zap.Error(err))
		return 0, err
	}
	s.log.Info("route table acknowledged", zap.Uint64("version", t.Version), zap.String("status", string(result.Status)),
		zap.Uint64("in_force", result.Version), zap.Int("bytes", len(table)), took)
	return result.Version, nil
}

// Read returns the document of the table in force, and false where none was
// published. It fails where a newer one may be in force.
func (s *Service) Read(ctx context.Context) (source []byte, found bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	p, err := s.reader.ReadTable(ctx)
	if err != nil {
		s.log.Info("read of the route table refused", zap.Error(err))
		return nil, false, fault.New(fault.Unavailable, "ask again, or ask another control daemon", "the log does not confirm which table is the newest: %v", err)
	}
	if p.Version == 0 {
		return nil, false, nil
	}
	source, err = routes.Unpack(p.Source)
	return source, err == nil, err
}

// Stop does nothing.
func (s *Service) Stop(context.Context) error { return nil }

// Health returns nil.
func (s *Service) Health() error { return nil }

// Dump has nothing of its own.
func (s *Service) Dump() any { return struct{}{} }
