package view

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// machineAt returns a state machine that has accepted a number of versions.
func machineAt(t *testing.T, versions uint64) *state.Machine {
	t.Helper()
	m := state.New()
	for v := range versions {
		files := config.Files{"a.json": json.RawMessage(fmt.Sprintf(`{"tiers":[{"name":"t%d","goodput_ms":1000}]}`, v+1))}
		result := m.Apply(state.Command{Apply: &state.Apply{Base: v, Files: files}})
		require.Equal(t, state.OK, result.Status)
	}
	return m
}

func update(t *testing.T, m *state.Machine, version uint64, digest string) *rpc.WatchUpdate {
	t.Helper()
	d, ok := m.DeltaSince(version, digest)
	require.True(t, ok)
	data, err := json.Marshal(d)
	require.NoError(t, err)
	return &rpc.WatchUpdate{Config: data}
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	s := New(&settings.Settings{}, zap.NewNop())
	require.NoError(t, s.apply(update(t, machineAt(t, 300), 0, s.Snapshot().Digest)))
	require.Equal(t, uint64(300), s.Snapshot().Version)
	require.NoError(t, s.apply(update(t, machineAt(t, 299), 0, "")))
	require.Equal(t, uint64(300), s.Snapshot().Version)
	require.Equal(t, "t300", s.Snapshot().Config.Tiers[0].Name)
}

func TestDeltaForOtherDigestIsRejected(t *testing.T) {
	s := New(&settings.Settings{}, zap.NewNop())
	m := machineAt(t, 3)
	_, digest, _ := machineAt(t, 2).Config()
	wrong := (*config.DigestError)(nil)
	require.ErrorAs(t, s.apply(update(t, m, 2, digest)), &wrong)
	require.Equal(t, uint64(0), s.Snapshot().Version)
	require.NoError(t, s.apply(update(t, m, 0, "unknown")))
	require.Equal(t, uint64(3), s.Snapshot().Version)
}

func TestKeepaliveNotifiesNobody(t *testing.T) {
	s := New(&settings.Settings{}, zap.NewNop())
	lease, err := json.Marshal(state.Lease{Name: "l", Holder: "h", Epoch: 2})
	require.NoError(t, err)
	old, err := json.Marshal(state.Lease{Name: "l", Holder: "g", Epoch: 1})
	require.NoError(t, err)
	suspect, err := json.Marshal(state.Suspect{Pool: "p", Fingerprint: 1, Crashes: 1})
	require.NoError(t, err)
	require.NoError(t, s.apply(&rpc.WatchUpdate{Leases: [][]byte{lease}, Suspects: [][]byte{suspect}, SuspectsFull: true}))
	changed := s.Changed()
	require.NoError(t, s.apply(&rpc.WatchUpdate{Index: 7}))
	select {
	case <-changed:
		require.Fail(t, "a keepalive closed the channel of Changed")
	default:
	}
	require.NoError(t, s.apply(&rpc.WatchUpdate{Leases: [][]byte{old}}))
	require.Equal(t, "h", s.Lease("l").Holder)
	require.Len(t, s.Suspects("p"), 1)
}
