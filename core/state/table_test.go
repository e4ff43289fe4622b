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
	require.Equal(t, Superseded, publish(m, 7, "b").Status, "other content under the version held")
	require.Equal(t, Superseded, publish(m, 6, "c").Status)
	require.Equal(t, "a", string(m.Table().Table))
	require.Equal(t, Result{Status: OK, Version: 40}, publish(m, 40, "d"))
}

func TestTableSurvivesASnapshot(t *testing.T) {
	m := New()
	publish(m, 9, "a")
	data, err := m.Snapshot()
	require.NoError(t, err)
	back := New()
	require.NoError(t, back.Restore(data))
	require.Equal(t, m.Table(), back.Table())
	require.Equal(t, Superseded, publish(back, 9, "b").Status)
	empty, err := New().Snapshot()
	require.NoError(t, err)
	require.NoError(t, back.Restore(empty))
	require.Zero(t, back.Table().Version)
}
