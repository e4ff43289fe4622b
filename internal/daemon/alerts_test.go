package daemon

import (
	"encoding/json"
	"os"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
)

// missingMetrics returns the names for which no daemon of the cluster has a metric.
// All daemons are searched, since only the holder of a lease has a dispatcher's.
func (s *cluster) missingMetrics(named map[string]string) map[string]string {
	exist := map[string]bool{}
	for _, d := range s.daemons {
		m, err := kernel.Find[port.Metrics](d.Kernel(), port.NameMetrics)
		require.NoError(s.t, err)
		families, err := m.Gatherer().Gather()
		require.NoError(s.t, err)
		for _, f := range families {
			exist[f.GetName()] = true
		}
	}
	out := map[string]string{}
	for name, file := range named {
		base := regexp.MustCompile(`_(bucket|sum|count)$`).ReplaceAllString(name, "")
		if !exist[name] && !exist[base] {
			out[name] = file
		}
	}
	return out
}

// TestAlertsAndDashboardNameExistingMetrics guards against alert rules and panels
// that never show anything because a metric was renamed.
func TestAlertsAndDashboardNameExistingMetrics(t *testing.T) {
	s := startCluster(t, 2, 1)
	s.awaitReady()
	named := map[string]string{}
	for _, file := range []string{"alerts.yml", "dashboard.json"} {
		text, err := os.ReadFile("../../docs/operations/" + file)
		require.NoError(t, err)
		found := regexp.MustCompile(`verbenastep_[a-z_]+`).FindAllString(string(text), -1)
		require.NotEmpty(t, found)
		for _, name := range found {
			named[name] = file
		}
	}
	require.EventuallyWithT(t, func(c *assert.CollectT) {
		assert.Empty(c, s.missingMetrics(named), "metrics that no daemon has")
	}, testTimeout, 100*time.Millisecond)
	dashboard, err := os.ReadFile("../../docs/operations/dashboard.json")
	require.NoError(t, err)
	require.True(t, json.Valid(dashboard))
}
