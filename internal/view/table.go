package view

import (
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/routes"
	"github.com/verbenastep/verbenastep/internal/port"
)

// applyTable puts a route table in force if it is newer than the current one. The
// caller holds s.mu.
func (s *Service) applyTable(u *rpc.WatchUpdate) error {
	if len(u.Table) == 0 || u.TableVersion <= s.tableVersion() {
		return nil
	}
	t, err := routes.Decode(u.Table)
	if err != nil {
		return err
	}
	s.routes = routes.NewIndex(t)
	s.tableVersionGauge.Set(float64(t.Version))
	s.log.Info("route table in force", zap.Uint64("version", t.Version), zap.Int("routes", len(t.Routes)), zap.Uint64("index", u.Index))
	return nil
}

// tableVersion returns the route table version in force, zero if there is none.
// The caller holds s.mu.
func (s *Service) tableVersion() uint64 {
	if s.routes == nil {
		return 0
	}
	return s.routes.Table.Version
}

// Routes returns the route table in force, or nil if none is known yet.
func (s *Service) Routes() *routes.Index {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routes
}

// Leader returns the log's leader as of the last update.
func (s *Service) Leader() port.Leader {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader
}
