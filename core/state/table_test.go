package state

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func publish(m *Machine, version uint64, content string) Result {
	return m.Apply(Command{Publish: &Publish{Version: version, Table: []byte(content), Source: []byte(content)}})
}

func TestHighestTableWins(t *testing.T) {
	m := New()
	require.Equal(t, Invalid, publish(m, 0, "a").Status)
	require.Equal(t, Invalid, publish(m, 1, "").Status)
	require.Equal(t, OK, publish(m, 7, "a").Status)
	require.Equal(t, Superseded, publish(m, 7, "b").Status, "other content with the version in force")
	require.Equal(t, Superseded, publish(m, 6, "c").Status)
	require.Equal(t, "a", string(m.Table().Table))
	require.Equal(t, Result{Status: OK, Version: 40}, publish(m, 40, "d"))
}

func TestSnapshotRestoresTable(t *testing.T) {
	m := New()
	publish(m, 9, "a")
	data, err := m.Snapshot()
	require.NoError(t, err)
	restored := New()
	require.NoError(t, restored.Restore(data))
	require.Equal(t, m.Table(), restored.Table())
	require.Equal(t, Superseded, publish(restored, 9, "b").Status)
	empty, err := New().Snapshot()
	require.NoError(t, err)
	require.NoError(t, restored.Restore(empty))
	require.Zero(t, restored.Table().Version)
}
