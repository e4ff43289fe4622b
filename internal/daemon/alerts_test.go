package daemon

import (
	"encoding/json"
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
)

func TestOperatorsFilesNameOnlyMetricsThatExist(t *testing.T) {
	s := startSite(t, 2, 1)
	s.ready()
	m, err := kernel.Find[port.Metrics](s.daemons[0].Kernel(), port.NameMetrics)
	require.NoError(t, err)
	families, err := m.Gatherer().Gather()
	require.NoError(t, err)
	exist := map[string]bool{}
	for _, f := range families {
		exist[f.GetName()] = true
	}
	for _, file := range []string{"alerts.yml", "dashboard.json"} {
		text, err := os.ReadFile("../../docs/operations/" + file)
		require.NoError(t, err)
		named := regexp.MustCompile(`verbenastep_[a-z_]+`).FindAllString(string(text), -1)
		require.NotEmpty(t, named)
		for _, name := range named {
			base := regexp.MustCompile(`_(bucket|sum|count)$`).ReplaceAllString(name, "")
			require.True(t, exist[name] || exist[base], "%s names %s", file, name)
		}
	}
	dashboard, err := os.ReadFile("../../docs/operations/dashboard.json")
	require.NoError(t, err)
	require.True(t, json.Valid(dashboard))
}
