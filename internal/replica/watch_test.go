package replica

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/consensus"
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
