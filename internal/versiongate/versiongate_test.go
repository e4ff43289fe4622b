package versiongate

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/rollout"
)

// gates records what a tracker sets.
type gates map[string]rollout.Gate

func (g gates) SetGate(pool string, x rollout.Gate, _ []string) { g[pool] = x }

// TestCompletedGateLastsWhileReplacedVersionsAreListed guards against requests to upstreams
// that are stopped at once after a rollout, and against a pool that refuses a version which is
// introduced later without a rollout.
func TestCompletedGateLastsWhileReplacedVersionsAreListed(t *testing.T) {
	listed := []string{"v1", "v2", "v1", ""}
	versions := func(string) []string { return listed }
	tracker, got := New(), gates{}
	running := rollout.Record{Pool: "p", Target: "v2", Number: 1, Phase: rollout.Settle}
	completed := running
	completed.Phase = rollout.Completed
	require.Len(t, tracker.Update([]rollout.Record{running}, versions), 1)
	require.Empty(t, tracker.Update([]rollout.Record{running}, versions))
	require.Len(t, tracker.Update([]rollout.Record{completed}, versions), 1)
	require.Equal(t, []string{"v1", ""}, tracker.pools["p"].replaced)
	for _, now := range []struct {
		listed []string
		gate   rollout.Gate
	}{{[]string{"v1", "v2", "v3"}, completed.Gate()}, {[]string{"v2", "v3"}, rollout.Gate{}}, {[]string{"v1", "v3"}, rollout.Gate{}}} {
		listed = now.listed
		tracker.Update([]rollout.Record{completed}, versions)
		tracker.Apply(got)
		require.Equal(t, now.gate, got["p"], now.listed)
	}

	late := New()
	late.Update([]rollout.Record{completed}, versions)
	late.Apply(got)
	require.Equal(t, rollout.Gate{}, got["p"], "a process that starts later")
}
