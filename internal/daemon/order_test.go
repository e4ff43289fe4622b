package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/internal/dispatch"
	"github.com/verbenastep/verbenastep/internal/entry"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/logclient"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// TestEntryStopsBeforeWhatItsRequestsUse: a service stops before all it needs,
// so the entry must need whatever a request in flight passes through.
func TestEntryStopsBeforeWhatItsRequestsUse(t *testing.T) {
	set := &settings.Settings{Roles: []settings.Role{settings.Replica}}
	needs := map[string][]string{}
	for _, s := range []kernel.Service{entry.New(set, zap.NewNop(), port.Holder{}), logclient.New(set, zap.NewNop()), dispatch.New(set, zap.NewNop(), port.Holder{})} {
		needs[s.Name()] = s.Needs()
	}
	reached := map[string]bool{}
	open := []string{port.NameEntry}
	for len(open) > 0 {
		name := open[0]
		open = append(open[1:], needs[name]...)
		reached[name] = true
	}
	for _, name := range []string{port.NameDispatcher, port.NameReplica, port.NameScheduler, port.NameLog, port.NameDirectory} {
		require.True(t, reached[name], "the entry doesn't outlive its requests' use of %s", name)
	}
	require.NotContains(t, logclient.New(&settings.Settings{}, zap.NewNop()).Needs(), port.NameReplica)
}
