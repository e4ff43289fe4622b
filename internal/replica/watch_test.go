package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/consensus"
	"github.com/verbenastep/verbenastep/core/rollout"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

func TestWatchSendsOnlyChanges(t *testing.T) {
	g := newGroup(port.GroupMain, &settings.Settings{}, nil, nil, zap.NewNop())
	for _, name := range []string{"a", "b"} {
		g.machine.Apply(state.Command{Acquire: &state.Acquire{Name: name, Holder: "h"}})
		g.leaseChangedAt[name] = 1
	}
	g.applied = 1
	w := &watcher{}
	first, _, err := g.update(w)
	require.NoError(t, err)
	require.True(t, first.Full)
	require.Len(t, first.Leases, 2)
	unchanged, _, err := g.update(w)
	require.NoError(t, err)
	require.Empty(t, unchanged.Leases)
	require.False(t, unchanged.SuspectsFull)
	g.machine.Apply(state.Command{Expire: &state.Expire{Name: "b", Epoch: 1}})
	g.applied, g.leaseChangedAt["b"] = 2, 2
	changed, _, err := g.update(w)
	require.NoError(t, err)
	require.Len(t, changed.Leases, 1)
	require.False(t, changed.Full)
}

func TestLeaderlessKeepalivesAreCounted(t *testing.T) {
	g := newGroup(port.GroupMain, &settings.Settings{}, nil, nil, zap.NewNop())
	g.status = consensus.Status{Leader: 3}
	require.Equal(t, 0, g.countLeaderless(1))
	g.status.Leader = 0
	require.Equal(t, maxLeaderlessKeepalives, g.countLeaderless(maxLeaderlessKeepalives-1))
}

// TestWatchSendsRolloutsAtChangesOfPhase guards against daemons that do not hear of a phase, and
// against an update to all daemons at each step within one.
func TestWatchSendsRolloutsAtChangesOfPhase(t *testing.T) {
	g := newGroup(port.GroupMain, &settings.Settings{}, nil, nil, zap.NewNop())
	w := &watcher{}
	apply := func(c state.Rollout) bool {
		g.applied++
		notify := g.markRollout(g.machine.Apply(state.Command{Rollout: &c}).Rollout, g.applied)
		u, _, err := g.update(w)
		require.NoError(t, err)
		require.Equal(t, notify, u.RolloutsFull)
		return notify
	}
	first, _, err := g.update(w)
	require.NoError(t, err)
	require.False(t, first.RolloutsFull, "without rollouts the message is as before")
	require.True(t, apply(state.Rollout{Start: &rollout.Start{Pool: "p", Target: "v2", Duration: time.Second}}))
	require.False(t, apply(state.Rollout{Start: &rollout.Start{Pool: "p", Target: "v2", Duration: time.Second}}))
	require.False(t, apply(state.Rollout{Advance: &rollout.Advance{Pool: "p", Number: 1, Phase: rollout.Trial, Reserved: 9}}))
	require.True(t, apply(state.Rollout{Advance: &rollout.Advance{Pool: "p", Number: 1, Phase: rollout.RolledBack, Reserved: 9}}))
}
