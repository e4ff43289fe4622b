package logging

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// documentedPackages are the packages whose log fields docs/OPERATIONS.md explains.
var documentedPackages = []string{"forward", "broker", "brokerclient", "roster", "tables", "view", "replica", "member", "link"}

// logFieldPattern matches the construction of a log field and captures its key.
var logFieldPattern = regexp.MustCompile(`zap\.[A-Z]\w*\("([a-z_]+)"`)

// TestEveryLogFieldIsDocumented guards against log fields that operators find no
// explanation of in docs/OPERATIONS.md.
func TestEveryLogFieldIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	explained := map[string]bool{}
	for _, m := range regexp.MustCompile("`([a-z_]+)`").FindAllStringSubmatch(string(page), -1) {
		explained[m[1]] = true
	}
	used := 0
	for _, name := range documentedPackages {
		files, err := filepath.Glob("../" + name + "/*.go")
		require.NoError(t, err)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			for _, m := range logFieldPattern.FindAllStringSubmatch(string(text), -1) {
				used++
				require.True(t, explained[m[1]], "%s logs %q; explain it in docs/OPERATIONS.md", file, m[1])
			}
		}
	}
	require.Greater(t, used, 50)
}
