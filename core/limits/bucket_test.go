package limits

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	testRate  = 1000.0
	testBurst = 2000.0
)

// TestBucketBoundsEveryWindow takes as many tokens as possible every 10 ms. In no
// window of 8 s may it get more than the rate allows plus one burst.
func TestBucketBoundsEveryWindow(t *testing.T) {
	b := Bucket{}
	spent := []float64{}
	for ms := 0; ms < 20_000; ms += 10 {
		taken := 0.0
		for {
			if _, ok := b.Take(time.Duration(ms)*time.Millisecond, testRate, testBurst, 0, 50); !ok {
				break
			}
			taken += 50
		}
		spent = append(spent, taken)
	}
	for from := 0; from+800 <= len(spent); from += 10 {
		sum := 0.0
		for _, n := range spent[from : from+800] {
			sum += n
		}
		require.LessOrEqual(t, sum, testRate*8+testBurst)
	}
}

// TestBucketKeepsReserveForUrgentRequests empties the bucket down to the reserve; a
// request without a reserve must still be admitted.
func TestBucketKeepsReserveForUrgentRequests(t *testing.T) {
	b := Bucket{}
	now := 10 * time.Second
	for range 100 {
		b.Take(now, testRate, testBurst, 0.4*testBurst, 100)
	}
	wait, ok := b.Take(now, testRate, testBurst, 0.4*testBurst, 100)
	require.False(t, ok)
	require.Positive(t, wait)
	_, ok = b.Take(now, testRate, testBurst, 0, 100)
	require.True(t, ok)
}

// TestBucketTakesMoreThanBurstOnceFull guards against a request larger than the burst
// that is refused for ever.
func TestBucketTakesMoreThanBurstOnceFull(t *testing.T) {
	b := Bucket{}
	b.Take(0, testRate, testBurst, 0, 100)
	wait, ok := b.Take(0, testRate, testBurst, 0, 3*testBurst)
	require.False(t, ok)
	_, ok = b.Take(wait, testRate, testBurst, 0, 3*testBurst)
	require.True(t, ok)
	_, ok = b.Take(wait+time.Second, testRate, testBurst, 0, 1)
	require.False(t, ok, "the negative level must refill first")
}

// TestRetriesStayWithinBudgetInEveryWindow takes as many retries as possible every 10 ms, while
// requests arrive and after they have ended.
func TestRetriesStayWithinBudgetInEveryWindow(t *testing.T) {
	const window, ratio, slack = 10 * time.Second, 0.2, 5.0
	r := NewRetryBudget(window)
	allowed, requests := []int{}, 0
	for ms := 0; ms < 40_000; ms += 10 {
		now := time.Duration(ms) * time.Millisecond
		l := RetryLimits{Ratio: ratio, Slack: slack, Part: Part{Fraction: 1, Earned: now}}
		if ms < 20_000 && ms%50 == 0 {
			r.RecordRequest(now, l)
			requests++
		}
		n := 0
		for r.Reserve(now, l) && r.Send(now, l) {
			n++
		}
		allowed = append(allowed, n)
	}
	require.Equal(t, 400, requests)
	for from := 0; from+1000 <= len(allowed); from++ {
		sum := 0
		for _, n := range allowed[from : from+1000] {
			sum += n
		}
		// A window contains at most 200 requests.
		require.LessOrEqual(t, sum, int(ratio*200+slack))
	}
}
