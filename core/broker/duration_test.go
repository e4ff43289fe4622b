package broker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestExpectedDurationFollowsTheSlowestUpstreamAndTheLongestResponse guards against requests that a
// stopping entry begins and must abort, since their duration was taken for that of a fast upstream
// or of the length that the caller expects.
func TestExpectedDurationFollowsTheSlowestUpstreamAndTheLongestResponse(t *testing.T) {
	b := newEngineBroker(1, 4)
	b.SetUpstreams([]Upstream{{ID: "fast", Pool: "p", Address: "a", Slots: 4}, {ID: "slow", Pool: "p", Address: "b", Slots: 4}})
	b.SetEstimates([]Estimates{{ID: "fast", TokenTime: 0.001}, {ID: "slow", TokenTime: 0.01}})
	o := newOffer(1)
	o.OutputTokens, o.MaxOutputTokens = 10, 1000
	atSlow, known := b.ExpectedDuration(o, "slow")
	require.True(t, known)
	require.GreaterOrEqual(t, atSlow, 10*time.Second)
	require.Less(t, atSlow, 11*time.Second)
	anywhere, known := b.ExpectedDuration(o, "")
	require.True(t, known)
	require.Equal(t, atSlow, anywhere)
	atFast, known := b.ExpectedDuration(o, "fast")
	require.True(t, known)
	require.Less(t, atFast, 2*time.Second)
}

// TestExpectedDurationIsUnknownWithoutBound guards against an estimate for responses of which
// nothing tells how long they may get, or of pools that are not known.
func TestExpectedDurationIsUnknownWithoutBound(t *testing.T) {
	b := newEngineBroker(1, 4)
	o := newOffer(1)
	_, known := b.ExpectedDuration(o, "")
	require.False(t, known)
	o.Pool, o.MaxOutputTokens = "other", 10
	_, known = b.ExpectedDuration(o, "")
	require.False(t, known)
}
