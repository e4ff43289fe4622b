package broker

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOnlyChangedLevelsAreTold keeps the bytes to an entry a matter of the
// workspaces whose use changes, not of all 1,700.
func TestOnlyChangedLevelsAreTold(t *testing.T) {
	told := map[string]float64{}
	require.Equal(t, map[string]float64{"a": 0.5, "b": 0.3}, levelChanges(told, map[string]float64{"a": 0.5, "b": 0.3}))
	require.Empty(t, levelChanges(told, map[string]float64{"a": 0.49, "b": 0.3}))
	require.Equal(t, map[string]float64{"a": 0.479}, levelChanges(told, map[string]float64{"a": 0.479, "b": 0.3}), "small steps add up")
	require.Equal(t, map[string]float64{"b": 1}, levelChanges(told, map[string]float64{"a": 0.479}), "the whole quota again")
	require.Empty(t, levelChanges(told, map[string]float64{"a": 0.479}))
}
