package logging

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// logged are the packages whose lines docs/OPERATIONS.md explains.
var logged = []string{"forward", "broker", "brokerclient", "roster", "tables", "view", "replica", "member", "link"}

var field = regexp.MustCompile(`zap\.[A-Z]\w*\("([a-z_]+)"`)

// TestEveryFieldIsOnThePage holds the page's vocabulary and the code together.
func TestEveryFieldIsOnThePage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	explained := map[string]bool{}
	for _, m := range regexp.MustCompile("`([a-z_]+)`").FindAllStringSubmatch(string(page), -1) {
		explained[m[1]] = true
	}
	used := 0
	for _, name := range logged {
		files, err := filepath.Glob("../" + name + "/*.go")
		require.NoError(t, err)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			for _, m := range field.FindAllStringSubmatch(string(text), -1) {
				used++
				require.True(t, explained[m[1]], "%s logs %q; explain it in docs/OPERATIONS.md", file, m[1])
			}
		}
	}
	require.Greater(t, used, 50)
}
