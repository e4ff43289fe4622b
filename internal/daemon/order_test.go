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

// TestEntryStopsBeforeServicesOfItsRequests: a service stops before its
// dependencies, so the entry must depend, directly or not, on every service that
// a request in flight uses.
func TestEntryStopsBeforeServicesOfItsRequests(t *testing.T) {
	set := &settings.Settings{Roles: []settings.Role{settings.Replica}}
	needs := map[string][]string{}
	for _, s := range []kernel.Service{entry.New(set, zap.NewNop(), port.Holder{}), logclient.New(set, zap.NewNop()), dispatch.New(set, zap.NewNop(), port.Holder{})} {
		needs[s.Name()] = s.Needs()
	}
	reached := map[string]bool{}
	queue := []string{port.NameEntry}
	for len(queue) > 0 {
		name := queue[0]
		queue = append(queue[1:], needs[name]...)
		reached[name] = true
	}
	for _, name := range []string{port.NameDispatcher, port.NameReplica, port.NameScheduler, port.NameLog, port.NameDirectory} {
		require.True(t, reached[name], "the entry must depend on %s, which its requests use", name)
	}
	require.NotContains(t, logclient.New(&settings.Settings{}, zap.NewNop()).Needs(), port.NameReplica)
}
