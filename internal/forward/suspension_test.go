package forward

import (
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/core/limits"
	"github.com/verbenastep/verbenastep/internal/clock"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// TestUpstreamIsNotGivenTheTimeOfASuspension guards against an upstream that works on for
// a caller whose deadline has passed: an entry that was suspended counted the time left by
// a clock that had stood still.
func TestUpstreamIsNotGivenTheTimeOfASuspension(t *testing.T) {
	const callerTimeout, suspension = 4 * time.Second, 3 * time.Second
	suspended := atomic.Int64{}
	first := newUpstream(t, func(c net.Conn, _ *http.Request, _ string) {
		suspended.Store(int64(suspension))
		_ = c.Close()
	})
	second := newUpstream(t, respondWith(http.StatusOK, "", "whole"))
	e := newTestEntry(t, first, second)
	sinceBoot := e.service.elapsed
	e.service.elapsed = func() time.Duration { return sinceBoot() + time.Duration(suspended.Load()) }
	result := e.call("idempotent", "body", "Wait", strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	require.Equal(t, http.StatusOK, result.status)
	wait, err := strconv.Atoi(second.seen[0].Header.Get("Wait"))
	require.NoError(t, err)
	require.LessOrEqual(t, time.Duration(wait)*time.Millisecond, callerTimeout-suspension)
}

// TestEntryCountsTheTimeLeftSinceBoot guards against an entry by whose clock a suspension
// takes no time.
func TestEntryCountsTheTimeLeftSinceBoot(t *testing.T) {
	e := newTestEntry(t)
	before := clock.SinceBoot()
	elapsed := e.service.elapsed()
	require.GreaterOrEqual(t, elapsed, before)
	require.LessOrEqual(t, elapsed, clock.SinceBoot())
}

// TestGrantFromBeforePauseIsReturned guards against a request that is sent by a grant from before
// a pause of the entry: its broker has lost the entry and granted the slot to another request.
func TestGrantFromBeforePauseIsReturned(t *testing.T) {
	first, second := newUpstream(t, respondWith(http.StatusOK, "", "first")), newUpstream(t, respondWith(http.StatusOK, "", "second"))
	e := newTestEntry(t, first, second)
	e.brokerClient.grantedAt = func(n int) time.Duration {
		if n == 1 {
			return e.service.elapsed() - maxGrantAge - time.Millisecond
		}
		return e.service.elapsed()
	}
	result := e.call("once", "body")
	require.Equal(t, http.StatusOK, result.status)
	require.Equal(t, "second", result.body)
	require.Zero(t, first.requests())
	require.Equal(t, []broker.Outcome{broker.NotSent, broker.Completed}, e.brokerClient.outcomes())
	require.True(t, e.brokerClient.offers[1].Counted, "the request is not counted again")
}

// TestRetryBudgetOfBeforeSuspensionIsGone guards against retries on the account of requests from
// before a suspension, which have left the window of the budget by all other clocks.
func TestRetryBudgetOfBeforeSuspensionIsGone(t *testing.T) {
	b := newRetryBudgets(settings.Retry{WindowMS: 10_000})
	now := time.Hour
	b.elapsed = func() time.Duration { return now }
	for range 100 {
		b.recordRequest("p", limits.Part{})
	}
	require.True(t, b.reserve("p", limits.Part{}).allowed)
	now += 10 * time.Second
	require.False(t, b.reserve("p", limits.Part{}).allowed)
	require.GreaterOrEqual(t, newRetryBudgets(settings.Retry{}).elapsed(), clock.Steady())
}
