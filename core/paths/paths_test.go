package paths

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFailuresAtSeveralUpstreamsArePartition guards against an entry that finds out path by
// path, with a failed request each, that it reaches no upstream.
func TestFailuresAtSeveralUpstreamsArePartition(t *testing.T) {
	p := New()
	require.False(t, p.RecordFailure(0, "a"))
	require.False(t, p.IsLost(0, "a"), "one failure may be a lost packet")
	require.False(t, p.RecordFailure(0, "b"))
	require.False(t, p.IsLost(0, "z"))
	require.True(t, p.RecordFailure(0, "c"))
	require.True(t, p.IsLost(0, "z"))
	p.RecordDetour(failureTTL, "z")
	require.True(t, p.IsLost(failureTTL+1, "d"), "while other entries connect for this one")
	require.True(t, p.RecordConnection("b"))
	for _, address := range []string{"a", "b", "c", "z"} {
		require.False(t, p.IsLost(failureTTL+1, address))
	}
}

// TestSinglePathIsLost guards against a partition of all upstreams that is concluded from the
// path to one, and against one that never ends.
func TestSinglePathIsLost(t *testing.T) {
	p := New()
	for range 5 {
		p.RecordFailure(0, "a")
	}
	require.True(t, p.IsLost(time.Second, "a"))
	require.False(t, p.IsLost(time.Second, "b"))
	require.False(t, p.RecordConnection("a"))
	require.False(t, p.IsLost(time.Second, "a"))
	p.RecordFailure(0, "a")
	p.RecordFailure(0, "a")
	require.False(t, p.IsLost(failureTTL+1, "a"))
}

// TestFailuresBetweenConnectionsAreNoPartition guards against a partition that is concluded from
// lost packets on some of many paths.
func TestFailuresBetweenConnectionsAreNoPartition(t *testing.T) {
	p := New()
	for i := range 20 {
		require.False(t, p.RecordFailure(0, fmt.Sprint(i)))
		p.RecordConnection("sound")
	}
	require.False(t, p.IsLost(0, "z"))
}

// TestProbesTakeTurns guards against probes in quick succession, and against ones that go to
// the same upstream again and again, which may have ended.
func TestProbesTakeTurns(t *testing.T) {
	p := New()
	_, due := p.Probe(0)
	require.False(t, due)
	for i := range 3 {
		p.RecordFailure(0, fmt.Sprint(i))
	}
	probed := []string{}
	for now := time.Duration(0); now < 4*probeInterval; now += probeInterval / 4 {
		if address, due := p.Probe(now); due {
			probed = append(probed, address)
		}
	}
	require.Equal(t, []string{"0", "1", "2", "0"}, probed)
}
