package view

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/rollout"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// TestRolloutNeverGoesBack guards against an entry that sends requests to a version that was
// rolled back, because it turned to a replica that is behind, and against one that ignores the
// next order.
func TestRolloutNeverGoesBack(t *testing.T) {
	s := New(&settings.Settings{}, zap.NewNop())
	steps := []struct {
		got, want rollout.Record
		notified  bool
	}{
		{rollout.Record{Pool: "p", Number: 1, Phase: rollout.Trial}, rollout.Record{Pool: "p", Number: 1, Phase: rollout.Trial}, true},
		{rollout.Record{Pool: "p", Number: 1, Phase: rollout.RolledBack}, rollout.Record{Pool: "p", Number: 1, Phase: rollout.RolledBack}, true},
		{rollout.Record{Pool: "p", Number: 1, Phase: rollout.Shift}, rollout.Record{Pool: "p", Number: 1, Phase: rollout.RolledBack}, false},
		{rollout.Record{Pool: "p", Number: 1, Phase: rollout.Completed}, rollout.Record{Pool: "p", Number: 1, Phase: rollout.RolledBack}, false},
		{rollout.Record{Pool: "p", Number: 2, Phase: rollout.Trial}, rollout.Record{Pool: "p", Number: 2, Phase: rollout.Trial}, true},
		{rollout.Record{Pool: "p", Number: 1, Phase: rollout.Completed}, rollout.Record{Pool: "p", Number: 2, Phase: rollout.Trial}, false},
	}
	for i, step := range steps {
		changed := s.Changed()
		data, err := json.Marshal(step.got)
		require.NoError(t, err)
		require.NoError(t, s.apply(&rpc.WatchUpdate{Rollouts: [][]byte{data}, RolloutsFull: true}))
		require.NoError(t, s.apply(&rpc.WatchUpdate{}), "an update of an earlier version says nothing of rollouts")
		require.Equal(t, []rollout.Record{step.want}, s.Rollouts(), i)
		select {
		case <-changed:
			require.True(t, step.notified, i)
		default:
			require.False(t, step.notified, i)
		}
	}
}
