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

// withoutMetrics returns the names that no daemon of the site has a metric for:
// a dispatcher's are on the daemon that holds its lease.
func (s *site) withoutMetrics(named map[string]string) map[string]string {
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

func TestOperatorsFilesNameOnlyMetricsThatExist(t *testing.T) {
	s := startSite(t, 2, 1)
	s.ready()
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
		assert.Empty(c, s.withoutMetrics(named), "metrics that no daemon has")
	}, patience, 100*time.Millisecond)
	dashboard, err := os.ReadFile("../../docs/operations/dashboard.json")
	require.NoError(t, err)
	require.True(t, json.Valid(dashboard))
}
