package cli

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRewriteKeepsTheRestOfThePage(t *testing.T) {
	page := filepath.Join(t.TempDir(), "page.md")
	require.NoError(t, os.WriteFile(page, []byte("a\n"+benchBegin+"old\n"+benchEnd+"z\n"), 0o600))
	require.NoError(t, rewriteTables(page, []byte("new\n")))
	data, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Equal(t, "a\n"+benchBegin+"new\n"+benchEnd+"z\n", string(data))
	require.NoError(t, os.WriteFile(page, []byte("no markers"), 0o600))
	require.ErrorContains(t, rewriteTables(page, nil), "add")
}
