package replica

import (
	"context"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/port"
)

// ReadTable returns the route table. The read is linearizable: it sees every
// command committed before the call, and fails if ctx ends before the replica
// can guarantee that.
func (s *Service) ReadTable(ctx context.Context) (state.Publish, error) {
	g, err := s.group(port.GroupMain)
	if err != nil {
		return state.Publish{}, err
	}
	if err := g.read(ctx); err != nil {
		return state.Publish{}, err
	}
	g.mu.Lock()
	table, applied, status := g.machine.Table(), g.applied, g.status
	g.mu.Unlock()
	g.log.Info("route table read", zap.Uint64("version", table.Version), zap.Stringer("role", status.Role), zap.Uint64("term", status.Term), zap.Uint64("applied", applied))
	return table, nil
}

// Leadership reports whether this replica leads the main group, and returns the
// leader. The leader's address is empty if none is known.
func (s *Service) Leadership() (leads bool, leader port.Leader) {
	g, err := s.group(port.GroupMain)
	if err != nil {
		return false, port.Leader{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.status.Members {
		if m.ID == g.status.Leader {
			leader = port.Leader{Address: m.Address, Term: g.status.Term}
		}
	}
	return g.leads(), leader
}

// MemberAddresses returns the peer addresses of the main group's members,
// including learners.
func (s *Service) MemberAddresses() []string {
	g, err := s.group(port.GroupMain)
	if err != nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	out := []string{}
	for _, m := range g.status.Members {
		out = append(out, m.Address)
	}
	return out
}

// CopiesToSurvive returns on how many disks something must be to outlive the loss
// of as many voters as the main group tolerates.
func (s *Service) CopiesToSurvive() int {
	g, err := s.group(port.GroupMain)
	if err != nil {
		return 1
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(0, countVoters(g.status.Members)-1)/2 + 1
}
