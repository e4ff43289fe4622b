package state

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/rollout"
)

func startRollout(m *Machine, target string) Result {
	return m.Apply(Command{Rollout: &Rollout{Start: &rollout.Start{Pool: "p", Target: target, Duration: 12 * time.Second}}})
}

func advanceRollout(m *Machine, number uint64, phase rollout.Phase) Result {
	return m.Apply(Command{Rollout: &Rollout{Advance: &rollout.Advance{Pool: "p", Number: number, Phase: phase}}})
}

// Guards against a repeated or late command that starts a rollout again or reopens one.
func TestRolloutCommandsAreIdempotent(t *testing.T) {
	m := New()
	first := startRollout(m, "v2")
	require.Equal(t, OK, first.Status)
	require.Equal(t, first, startRollout(m, "v2"))
	require.Equal(t, Conflict, startRollout(m, "v3").Status)
	shift := advanceRollout(m, 1, rollout.Shift)
	require.Equal(t, rollout.Shift, shift.Rollout.Phase)
	require.Equal(t, shift, advanceRollout(m, 1, rollout.Shift))
	ended := advanceRollout(m, 1, rollout.RolledBack)
	require.Equal(t, ended, advanceRollout(m, 1, rollout.RolledBack))
	require.Equal(t, ended.Rollout, advanceRollout(m, 1, rollout.Shift).Rollout)
	require.Equal(t, ended, startRollout(m, "v2"))
	require.Equal(t, uint64(2), startRollout(m, "v3").Rollout.Number)
	require.Equal(t, Conflict, advanceRollout(m, 1, rollout.Completed).Status, "a command of the earlier order")
}

// Guards against a malformed command that panics or changes the state.
func TestMalformedRolloutCommandChangesNothing(t *testing.T) {
	m := New()
	require.Equal(t, Result{Status: Invalid}, m.Apply(Command{Rollout: &Rollout{}}))
	require.Equal(t, Invalid, advanceRollout(m, 1, rollout.Shift).Status)
	require.Equal(t, Invalid, startRollout(m, "").Status)
	startRollout(m, "v2")
	require.Equal(t, Invalid, advanceRollout(m, 1, "other").Status)
	require.Equal(t, Invalid, m.Apply(Command{Rollout: &Rollout{Start: &rollout.Start{}, Advance: &rollout.Advance{}}}).Status)
	require.Len(t, m.Rollouts(), 1)
}

// Guards against a rollout that is lost with a snapshot, changes in a frozen one, or keeps an
// old snapshot from being restored.
func TestSnapshotRestoresRollouts(t *testing.T) {
	m := New()
	old, err := m.Snapshot()
	require.NoError(t, err)
	require.NotContains(t, string(old), "rollouts")
	startRollout(m, "v2")
	frozen := m.Freeze()
	advanceRollout(m, 1, rollout.Settle)
	data, err := frozen.Encode()
	require.NoError(t, err)
	restored := New()
	require.NoError(t, restored.Restore(data))
	r, ok := restored.Rollout("p")
	require.True(t, ok)
	require.Equal(t, rollout.Record{Pool: "p", Target: "v2", Number: 1, Phase: rollout.Trial, Duration: 12 * time.Second}, r)
	require.NoError(t, restored.Restore(old))
	require.Empty(t, restored.Rollouts())
	require.Error(t, restored.Restore([]byte(`{"versions":[{}],"rollouts":[{"pool":"p"}]}`)))
}

// Guards against fields that a build without rollouts can't ignore: its command has no field
// set, which it answers with Invalid, and its snapshot has no unknown shapes.
func TestEarlierBuildIgnoresRollouts(t *testing.T) {
	data, err := json.Marshal(Command{Rollout: &Rollout{Start: &rollout.Start{Pool: "p", Target: "v2", Duration: 1}}})
	require.NoError(t, err)
	var fields map[string]json.RawMessage
	require.NoError(t, json.Unmarshal(data, &fields))
	require.Len(t, fields, 1)
	require.Contains(t, fields, "rollout")
	require.Equal(t, Result{Status: Invalid}, New().Apply(Command{}))
}
