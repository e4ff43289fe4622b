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

func TestWatchSendsOnlyWhatChanged(t *testing.T) {
	g := newGroup(port.GroupMain, &settings.Settings{}, nil, nil, zap.NewNop())
	for _, name := range []string{"a", "b"} {
		g.machine.Apply(state.Command{Acquire: &state.Acquire{Name: name, Holder: "h"}})
		g.leaseAt[name] = 1
	}
	g.applied = 1
	w := &watcher{}
	first, _, err := g.update(w)
	require.NoError(t, err)
	require.True(t, first.Full)
	require.Len(t, first.Leases, 2)
	idle, _, err := g.update(w)
	require.NoError(t, err)
	require.Empty(t, idle.Leases)
	require.False(t, idle.SuspectsFull)
	g.machine.Apply(state.Command{Expire: &state.Expire{Name: "b", Epoch: 1}})
	g.applied, g.leaseAt["b"] = 2, 2
	next, _, err := g.update(w)
	require.NoError(t, err)
	require.Len(t, next.Leases, 1)
	require.False(t, next.Full)
}

func TestWatchEndsWithoutALeader(t *testing.T) {
	g := newGroup(port.GroupMain, &settings.Settings{}, nil, nil, zap.NewNop())
	g.status = consensus.Status{Leader: 3}
	require.Equal(t, 0, g.leaderless(1))
	g.status.Leader = 0
	require.Equal(t, lostKeepalives, g.leaderless(lostKeepalives-1))
}
