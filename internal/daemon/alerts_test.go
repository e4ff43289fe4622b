package daemon

import (
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
)

func TestAlertsNameOnlyMetricsThatExist(t *testing.T) {
	s := startSite(t, 1, 1)
	s.ready()
	m, err := kernel.Find[port.Metrics](s.daemons[0].Kernel(), port.NameMetrics)
	require.NoError(t, err)
	families, err := m.Gatherer().Gather()
	require.NoError(t, err)
	exist := map[string]bool{}
	for _, f := range families {
		exist[f.GetName()] = true
	}
	rules, err := os.ReadFile("../../docs/operations/alerts.yml")
	require.NoError(t, err)
	named := regexp.MustCompile(`verbenastep_[a-z_]+`).FindAllString(string(rules), -1)
	require.NotEmpty(t, named)
	for _, name := range named {
		base := regexp.MustCompile(`_(bucket|sum|count)$`).ReplaceAllString(name, "")
		require.True(t, exist[name] || exist[base], name)
	}
}
