package config

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestWorkspaceLookupWithAndWithoutIndex(t *testing.T) {
	files := Files{"w.json": json.RawMessage(`{"workspaces":[{"name":"a","tier":"t","home_region":"r","keys":["k1","k2"]},{"name":"b","tier":"t","home_region":"r","keys":["k3"]}]}`)}
	merged, err := Merge(files)
	require.NoError(t, err)
	unmerged := &Config{Workspaces: merged.Workspaces}
	for _, c := range []*Config{merged, unmerged} {
		w, ok := c.WorkspaceByKey("k3")
		require.True(t, ok)
		require.Equal(t, "b", w.Name)
		w, ok = c.Workspace("a")
		require.True(t, ok)
		require.Equal(t, []string{"k1", "k2"}, w.Keys)
		_, ok = c.WorkspaceByKey("k4")
		require.False(t, ok)
		_, ok = c.Workspace("c")
		require.False(t, ok)
	}
}
