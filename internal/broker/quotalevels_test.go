package broker

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOnlyChangedLevelsAreSent guards against traffic that grows with the number of
// workspaces (up to 1,700) instead of with those whose usage changes.
func TestOnlyChangedLevelsAreSent(t *testing.T) {
	sent := map[string]float64{}
	require.Equal(t, map[string]float64{"a": 0.5, "b": 0.3}, levelChanges(sent, map[string]float64{"a": 0.5, "b": 0.3}))
	require.Empty(t, levelChanges(sent, map[string]float64{"a": 0.49, "b": 0.3}))
	require.Equal(t, map[string]float64{"a": 0.479}, levelChanges(sent, map[string]float64{"a": 0.479, "b": 0.3}), "small changes add up")
	require.Equal(t, map[string]float64{"b": 1}, levelChanges(sent, map[string]float64{"a": 0.479}), "the quota is full again")
	require.Empty(t, levelChanges(sent, map[string]float64{"a": 0.479}))
}
