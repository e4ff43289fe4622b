package broker

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newTimedOffer returns an offer of a request that may wait for some seconds.
func newTimedOffer(n uint64, prompt, output, maxOutput int) Offer {
	o := newEngineOffer(n, prompt, output, maxOutput)
	o.LatencyTarget, o.LatestUseful, o.Deadline = 5*time.Second, 6*time.Second, 30*time.Second
	return o
}

// TestRequestBeyondEngineMemoryIsRefused guards against requests that fit into no engine's memory
// and wait until they are late, while the requests behind them are not looked at.
func TestRequestBeyondEngineMemoryIsRefused(t *testing.T) {
	for _, share := range []float64{1, 0.25} {
		b := newEngineBroker(share, 8)
		for n := range uint64(maxSkippedRequests + 6) {
			b.Offer(0, newTimedOffer(n, 100, 50, testMemoryTokens))
		}
		b.Offer(0, newTimedOffer(1000, 10, 5, 5))
		out := b.Decide(0)
		require.Len(t, out.Refusals, maxSkippedRequests+6)
		for _, r := range out.Refusals {
			require.Equal(t, ExceedsMemory, r.Code)
			require.Zero(t, r.RetryAfter, "a later try would not fit either")
		}
		require.Len(t, out.Grants, 1)
		require.Equal(t, uint64(1000), out.Grants[0].ID.Number)
	}
}

// TestRequestBeyondSmallerMemoryIsRefused guards against a waiting request that a change of the
// route table makes too large.
func TestRequestBeyondSmallerMemoryIsRefused(t *testing.T) {
	b := newEngineBroker(1, 1)
	b.Offer(0, newTimedOffer(1, 100, 50, 50))
	require.Len(t, b.Decide(0).Grants, 1)
	b.Offer(0, newTimedOffer(2, 100, 50, 400))
	require.Empty(t, b.Decide(0).Refusals)
	b.pool("p").engine.MemoryTokens = 300
	out := b.Decide(time.Millisecond)
	require.Len(t, out.Refusals, 1)
	require.Equal(t, ExceedsMemory, out.Refusals[0].Code)
}

// TestLargeRequestsHoldUpNoOthers guards against requests beyond a local broker's part of the
// memory that keep it from looking at the small ones behind them.
func TestLargeRequestsHoldUpNoOthers(t *testing.T) {
	b := newEngineBroker(0.25, 8)
	for n := range uint64(2 * maxSkippedRequests) {
		b.Offer(0, newTimedOffer(n, 100, 50, 500))
	}
	b.Offer(0, newTimedOffer(1000, 10, 5, 5))
	require.Contains(t, grantNumbers(b.Decide(0)), uint64(1000))
}

// TestLocalBrokerGrantsLargeRequests guards against requests that fit into an engine and that no
// local broker grants since they exceed its part of the memory.
func TestLocalBrokerGrantsLargeRequests(t *testing.T) {
	const brokers, share = 4, 0.25
	large, ofEngine := 0, map[string]int{}
	for i := range brokers {
		b := newEngineBroker(share, 8)
		b.SetName(fmt.Sprint(i))
		list := []Upstream{}
		for n := range 40 {
			list = append(list, Upstream{ID: fmt.Sprint("u", n), Pool: "p", Address: "a", Slots: 8})
		}
		b.SetUpstreams(list)
		for n := range uint64(2 * maxSkippedRequests) {
			b.Offer(0, newTimedOffer(n, 100, 50, 500))
		}
		b.Offer(0, newTimedOffer(1000, 10, 5, 5))
		small := false
		for _, g := range b.Decide(0).Grants {
			if g.ID.Number == 1000 {
				small = true
				continue
			}
			large++
			ofEngine[g.Upstream]++
		}
		require.True(t, small, "the small request behind the large ones is granted")
		require.NotEmpty(t, ofEngine)
		for id := range ofEngine {
			require.LessOrEqual(t, ofEngine[id], i+1, "each broker grants one at a time on an engine")
		}
	}
	require.InDelta(t, 40, large, 20, "about one broker for each engine")
}
