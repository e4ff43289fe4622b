package forward

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/limits"
)

// testRetries returns the state of the retry budget of the test entry's pool.
func (r *testEntry) testRetries() limits.RetryUsage {
	return r.service.retryBudgets.dump(wholeShare())["p"]
}

// TestAttemptAfterUnreachableUpstreamNeedsNoRetryBudget guards against a request that is refused
// though no upstream has had it: the budget limits what arrives once more.
func TestAttemptAfterUnreachableUpstreamNeedsNoRetryBudget(t *testing.T) {
	t.Parallel()
	r := newTestEntry(t, unreachableUpstream(t), newUpstream(t, respondWith(http.StatusOK, "", "second")))
	none := 0.0
	r.service.retryBudgets.retry.Ratio, r.service.retryBudgets.retry.Slack = &none, 0
	require.Equal(t, "second", r.call("once", "b").body)
}

// TestWaitingRetryIsTakenWhenSent guards against retries that are decided on in several windows
// and arrive in one: a retry that waits for an upstream keeps its place in the budget, which does
// not fill up meanwhile, and gives it back if it is never sent.
func TestWaitingRetryIsTakenWhenSent(t *testing.T) {
	t.Parallel()
	failing, other := newUpstream(t, closeConnection), newUpstream(t, respondWith(http.StatusOK, "", "second"))
	r := newTestEntry(t)
	proceed, waits := make(chan struct{}), make(chan struct{}, 2)
	r.service.brokerClient = &scriptedBroker{acquire: func(ctx context.Context, n int) (string, error) {
		if n%2 == 1 {
			return failing.address(), nil
		}
		waits <- struct{}{}
		select {
		case <-proceed:
			return other.address(), nil
		case <-ctx.Done():
			return "", ctx.Err()
		}
	}}
	calls := make(chan callResult)
	call := func() { calls <- r.call("idempotent", "b") }
	go call()
	<-waits
	full := r.testRetries()
	require.Equal(t, 1, full.Pending)
	require.LessOrEqual(t, full.Level, full.Capacity)
	close(proceed)
	require.Equal(t, "second", (<-calls).body)
	taken := r.testRetries()
	require.Zero(t, taken.Pending)
	require.Less(t, taken.Level, full.Level)

	proceed = make(chan struct{})
	go call()
	<-waits
	before := r.testRetries()
	require.Equal(t, 1, before.Pending)
	r.service.abort()
	require.NotEqual(t, http.StatusOK, (<-calls).status)
	after := r.testRetries()
	require.Zero(t, after.Pending)
	require.GreaterOrEqual(t, after.Level, before.Level)
}

// TestRetryIsNotSentBeyondShrunkenBudget guards against a retry that is sent though the budget that
// it was decided on has shrunk while it waited.
func TestRetryIsNotSentBeyondShrunkenBudget(t *testing.T) {
	t.Parallel()
	failing, other := newUpstream(t, closeConnection), newUpstream(t, respondWith(http.StatusOK, "", "second"))
	r := newTestEntry(t)
	none := 0.0
	r.service.brokerClient = &scriptedBroker{acquire: func(_ context.Context, n int) (string, error) {
		if n == 1 {
			return failing.address(), nil
		}
		r.service.retryBudgets.mu.Lock()
		defer r.service.retryBudgets.mu.Unlock()
		r.service.retryBudgets.retry.Ratio, r.service.retryBudgets.retry.Slack = &none, 0
		return other.address(), nil
	}}
	require.Equal(t, http.StatusBadGateway, r.call("idempotent", "b").status)
	require.Zero(t, other.requests())
	require.Zero(t, r.testRetries().Pending)
}

// TestNewBudgetHoldsNothing guards against a process that may retry at once after its start.
func TestNewBudgetHoldsNothing(t *testing.T) {
	t.Parallel()
	r := newTestEntry(t, newUpstream(t, closeConnection), newUpstream(t, respondWith(http.StatusOK, "", "second")))
	r.brokerClient.share = &limits.Part{Fraction: 1, Earned: 10 * time.Millisecond, Processes: 1}
	require.Equal(t, http.StatusBadGateway, r.call("idempotent", "b").status)
}
