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
	atSlow := b.ExpectedDuration(o, "slow")
	require.Equal(t, UpstreamBasis, atSlow.Basis)
	require.GreaterOrEqual(t, atSlow.Duration, 10*time.Second)
	require.Less(t, atSlow.Duration, 11*time.Second)
	atFast := b.ExpectedDuration(o, "fast")
	require.Equal(t, UpstreamBasis, atFast.Basis)
	require.GreaterOrEqual(t, atFast.Duration, time.Second)
	require.Less(t, atFast.Duration, 2*time.Second)
	anywhere := b.ExpectedDuration(o, "")
	require.Equal(t, PoolBasis, anywhere.Basis)
	require.Equal(t, atFast.Duration, anywhere.Duration, "an upstream that leaves takes no request")
	atNew := b.ExpectedDuration(o, "new")
	require.Equal(t, PoolBasis, atNew.Basis)
	require.Equal(t, atSlow.Duration, atNew.Duration)
}

// TestExpectedDurationIsUnknownWithoutBasis guards against an estimate for responses of which
// nothing tells how long they get, or of pools of which no upstream has been measured.
func TestExpectedDurationIsUnknownWithoutBasis(t *testing.T) {
	b := newEngineBroker(1, 4)
	o := newOffer(1)
	require.Equal(t, NoBasis, b.ExpectedDuration(o, "").Basis)
	o.OutputTokens = 10
	require.Equal(t, NoBasis, b.ExpectedDuration(o, "").Basis, "no upstream has been measured")
	require.Equal(t, NoBasis, b.ExpectedDuration(o, "u").Basis, "no upstream has been measured")
	o.Pool = "other"
	require.Equal(t, NoBasis, b.ExpectedDuration(o, "").Basis)
}

// TestExpectedDurationOfUpstreamsThatHaveJustStarted guards against requests that a stopping entry
// begins and must abort at an upstream whose speed is not known yet, while that of its pool is.
func TestExpectedDurationOfUpstreamsThatHaveJustStarted(t *testing.T) {
	b := newEngineBroker(1, 4)
	b.SetUpstreams([]Upstream{{ID: "known", Pool: "p", Address: "a", Slots: 4}, {ID: "new", Pool: "p", Address: "b", Slots: 4}})
	b.SetEstimates([]Estimates{{ID: "known", TokenTime: 0.03}})
	o := newOffer(1)
	o.OutputTokens = 200
	atKnown := b.ExpectedDuration(o, "known")
	atNew := b.ExpectedDuration(o, "new")
	require.Equal(t, PoolBasis, atNew.Basis)
	require.GreaterOrEqual(t, atNew.Duration, atKnown.Duration)
}

// TestExpectedDurationOfRestartedUpstreams guards against requests that a stopping entry begins and
// must abort at an upstream that was started anew, since the speed of its last process is taken for
// its own: by the broker that measured it, and by one that receives the measurement.
func TestExpectedDurationOfRestartedUpstreams(t *testing.T) {
	upstreams := func(born int64) []Upstream {
		return []Upstream{{ID: "u", Pool: "p", Address: "a", Slots: 4, Born: born}, {ID: "other", Pool: "p", Address: "b", Slots: 4, Born: 1}}
	}
	b := newEngineBroker(1, 4)
	b.SetUpstreams(upstreams(1))
	b.SetEstimates([]Estimates{{ID: "u", Born: 1, TokenTime: 0.001}, {ID: "other", Born: 1, TokenTime: 0.001}})
	o := newOffer(1)
	o.OutputTokens = 1000
	require.Equal(t, UpstreamBasis, b.ExpectedDuration(o, "u").Basis)
	b.SetUpstreams(upstreams(2))
	require.Equal(t, PoolBasis, b.ExpectedDuration(o, "u").Basis)
	b.SetEstimates([]Estimates{{ID: "u", Born: 1, TokenTime: 0.001}})
	require.Equal(t, PoolBasis, b.ExpectedDuration(o, "u").Basis, "a measurement of the last process")
	b.SetEstimates([]Estimates{{ID: "u", Born: 2, TokenTime: 0.01}})
	measured := b.ExpectedDuration(o, "u")
	require.Equal(t, UpstreamBasis, measured.Basis)
	require.GreaterOrEqual(t, measured.Duration, 10*time.Second)
}

// TestFirstAnswerOfRestartedUpstreamSetsItsSpeed guards against an estimate that the last process of
// a restarted upstream dominates, after the new one has answered.
func TestFirstAnswerOfRestartedUpstreamSetsItsSpeed(t *testing.T) {
	b := newEngineBroker(1, 4)
	b.SetUpstreams([]Upstream{{ID: "u", Pool: "p", Address: "a", Slots: 4, Born: 1}})
	b.SetEstimates([]Estimates{{ID: "u", Born: 1, TokenTime: 0.001}})
	b.SetUpstreams([]Upstream{{ID: "u", Pool: "p", Address: "a", Slots: 4, Born: 2}})
	o := newOffer(1)
	b.Offer(0, o)
	require.Len(t, b.Decide(0).Grants, 1)
	b.End(time.Second, End{ID: o.ID, Outcome: Completed, OutputTokens: 100, TimeToFirstEvent: 10 * time.Millisecond, DecodeTime: time.Second})
	o.OutputTokens = 1000
	e := b.ExpectedDuration(o, "u")
	require.Equal(t, UpstreamBasis, e.Basis)
	require.GreaterOrEqual(t, e.Duration, 10*time.Second)
}
