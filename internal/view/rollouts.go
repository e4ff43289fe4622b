package view

import (
	"encoding/json"
	"slices"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/rollout"
)

// applyRollouts takes over the records that are newer than the known ones, since of two
// replicas that are watched for a moment one may be behind. It reports whether there was one.
// The caller holds s.mu.
func (s *Service) applyRollouts(u *rpc.WatchUpdate) (changed bool, err error) {
	if !u.RolloutsFull {
		return false, nil
	}
	list := slices.Clone(s.rollouts)
	for _, data := range u.Rollouts {
		r := rollout.Record{}
		if err := json.Unmarshal(data, &r); err != nil {
			return false, err
		}
		i := slices.IndexFunc(list, func(x rollout.Record) bool { return x.Pool == r.Pool })
		switch {
		case i < 0:
			list = append(list, r)
		case r.IsNewer(list[i]):
			list[i] = r
		default:
			continue
		}
		changed = true
		s.log.Info("rollout in force", zap.String("pool", r.Pool), zap.String("target", r.Target), zap.Uint64("number", r.Number),
			zap.String("phase", string(r.Phase)), zap.String("reason", r.Reason), zap.Uint64("index", u.Index))
	}
	// Readers keep the list that they got.
	s.rollouts = list
	return changed, nil
}

// Rollouts returns the last rollout of each pool, as of its last change of phase. The caller
// must not change the list.
func (s *Service) Rollouts() []rollout.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rollouts
}
