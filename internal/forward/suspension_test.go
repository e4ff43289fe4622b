package forward

import (
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/internal/clock"
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
