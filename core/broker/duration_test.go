package broker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestExpectedDurationFollowsTheUpstream guards against requests that a stopping entry begins and must
// abort, since their duration was taken for that of a faster upstream than the one that is granted,
// and against refusals of requests that a fast one would end in time.
func TestExpectedDurationFollowsTheUpstream(t *testing.T) {
	b := newEngineBroker(1, 4)
	b.SetUpstreams([]Upstream{{ID: "fast", Pool: "p", Address: "a", Slots: 4}, {ID: "slow", Pool: "p", Address: "b", Slots: 4}, {ID: "gone", Pool: "p", Address: "c", Slots: 4, Leaving: true}})
	b.SetEstimates([]Estimates{{ID: "fast", TokenTime: 0.001}, {ID: "slow", TokenTime: 0.01}, {ID: "gone", TokenTime: 0.0001}})
	o := newOffer(1)
	o.OutputTokens = 1000
	atSlow, known := b.ExpectedDuration(o, "slow")
	require.True(t, known)
	require.GreaterOrEqual(t, atSlow, 10*time.Second)
	require.Less(t, atSlow, 11*time.Second)
	atFast, known := b.ExpectedDuration(o, "fast")
	require.True(t, known)
	require.GreaterOrEqual(t, atFast, time.Second)
	require.Less(t, atFast, 2*time.Second)
	anywhere, known := b.ExpectedDuration(o, "")
	require.True(t, known)
	require.Equal(t, atFast, anywhere, "an upstream that leaves takes no request")
	atNew, known := b.ExpectedDuration(o, "new")
	require.True(t, known)
	require.Equal(t, atSlow, atNew)
}

// TestExpectedDurationIsUnknownWithoutBasis guards against an estimate for responses of which
// nothing tells how long they get, or of pools of which no upstream has been measured.
func TestExpectedDurationIsUnknownWithoutBasis(t *testing.T) {
	b := newEngineBroker(1, 4)
	o := newOffer(1)
	_, known := b.ExpectedDuration(o, "")
	require.False(t, known)
	o.OutputTokens = 10
	_, known = b.ExpectedDuration(o, "")
	require.False(t, known, "no upstream has been measured")
	_, known = b.ExpectedDuration(o, "u")
	require.False(t, known, "no upstream has been measured")
	o.Pool = "other"
	_, known = b.ExpectedDuration(o, "")
	require.False(t, known)
}

// TestExpectedDurationOfUpstreamsThatHaveJustStarted guards against requests that a stopping entry
// begins and must abort at an upstream whose speed is not known yet, while that of its pool is.
func TestExpectedDurationOfUpstreamsThatHaveJustStarted(t *testing.T) {
	b := newEngineBroker(1, 4)
	b.SetUpstreams([]Upstream{{ID: "known", Pool: "p", Address: "a", Slots: 4}, {ID: "new", Pool: "p", Address: "b", Slots: 4}})
	b.SetEstimates([]Estimates{{ID: "known", TokenTime: 0.03}})
	o := newOffer(1)
	o.OutputTokens = 200
	atKnown, _ := b.ExpectedDuration(o, "known")
	atNew, known := b.ExpectedDuration(o, "new")
	require.True(t, known)
	require.GreaterOrEqual(t, atNew, atKnown)
}
