package replica

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/verbenastep/verbenastep/core/rollout"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/port"
)

// errNotProposed is the error of a command that this replica did not commit and never will.
var errNotProposed = errors.New("this replica does not lead, or its log is busy; the command is not committed")

// rolloutChange is what watchers receive of a rollout: the progress within a phase is not
// sent to them.
type rolloutChange struct {
	number uint64
	phase  rollout.Phase
}

// markRollout stores the index of a change of a rollout's number or phase. It reports whether
// there was one. The caller holds the lock.
func (g *group) markRollout(r *rollout.Record, index uint64) bool {
	if r == nil {
		return false
	}
	change := rolloutChange{number: r.Number, phase: r.Phase}
	if g.rolloutsSent[r.Pool] == change {
		return false
	}
	g.rolloutsSent[r.Pool] = change
	g.rolloutsChangedAt = index
	return true
}

// Rollouts returns the last rollout of each pool, as this replica has applied them, and the
// version of the route table that it has applied. They may be older than those of the leader.
func (s *Service) Rollouts() (records []rollout.Record, tableVersion uint64) {
	g, err := s.group(port.GroupMain)
	if err != nil {
		return nil, 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Rollouts(), g.machine.Table().Version
}

// ReadRollouts returns the last rollout of each pool and the route table. The read is
// linearizable, as that of ReadTable.
func (s *Service) ReadRollouts(ctx context.Context) ([]rollout.Record, state.Publish, error) {
	g, err := s.group(port.GroupMain)
	if err != nil {
		return nil, state.Publish{}, err
	}
	if err := g.read(ctx); err != nil {
		return nil, state.Publish{}, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Rollouts(), g.machine.Table(), nil
}

// AdvanceRollout commits a command if this replica leads, and returns the record afterwards.
// It is never passed on to another leader: the command follows from what this daemon knows
// as the leader.
func (s *Service) AdvanceRollout(ctx context.Context, a rollout.Advance) (rollout.Record, error) {
	g, err := s.group(port.GroupMain)
	if err != nil {
		return rollout.Record{}, err
	}
	p := &proposal{command: state.Command{Rollout: &state.Rollout{Advance: &a}}, done: make(chan outcome, 1)}
	if p.data, err = json.Marshal(p.command); err != nil {
		return rollout.Record{}, err
	}
	out := g.propose(ctx, []*proposal{p})[0]
	switch {
	case out.refused:
		return rollout.Record{}, errNotProposed
	case out.err != nil:
		return rollout.Record{}, out.err
	case out.result.Rollout == nil:
		return rollout.Record{}, errors.New("the pool has no rollout")
	}
	return *out.result.Rollout, nil
}
