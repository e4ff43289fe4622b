package forward

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/internal/clock"
	"github.com/verbenastep/verbenastep/internal/egress"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// TestIdleConnectionIsNotReusedAfterSuspension guards against a request that may run once
// at most and is lost on a connection which the upstream closed while this machine was
// suspended.
func TestIdleConnectionIsNotReusedAfterSuspension(t *testing.T) {
	u := newUpstream(t, sendNothing)
	dials := 0
	p := newConnPool(egress.New(&settings.Settings{}, zap.NewNop()), func() { dials++ })
	before := clock.SinceBoot()
	elapsed := p.elapsed()
	require.GreaterOrEqual(t, elapsed, before, "the pool measures by the time since boot")
	require.LessOrEqual(t, elapsed, clock.SinceBoot())

	p.elapsed = func() time.Duration { return elapsed }
	for _, atMostOnce := range []bool{false, true} {
		c, err := p.get(context.Background(), u.ln.Addr().String(), "a", atMostOnce)
		require.NoError(t, err)
		p.put(u.ln.Addr().String(), c, nil)
		elapsed += maxIdleTime
	}
	require.Equal(t, 2, dials)
	p.sweep(true)
}

// TestIdleConnectionsServeMixedRequests guards against connections that are closed and set up
// again under a mix of requests: one that may not be repeated took none that had been idle for
// over 1.5 s, although its upstream states that it keeps them for longer, and closed those that
// the next request, which may be repeated, could have used.
func TestIdleConnectionsServeMixedRequests(t *testing.T) {
	const atMostOnce = true
	for name, x := range map[string]struct {
		header http.Header
		idle   time.Duration
		// dials is the number of connections that a request which may not be repeated, and
		// after it one that may, set up.
		dials int
	}{
		"the upstream keeps it":           {http.Header{"Keep-Alive": {"timeout=5"}}, 3 * time.Second, 0},
		"the upstream keeps it for long":  {http.Header{"Keep-Alive": {"timeout=30"}}, 20 * time.Second, 0},
		"the upstream is about to close":  {http.Header{"Keep-Alive": {"timeout=3"}}, 2500 * time.Millisecond, 2},
		"the upstream states nothing":     {nil, 2 * time.Second, 1},
		"idle for too long for any":       {nil, maxIdleTime, 2},
		"idle for a short time, unstated": {nil, time.Second, 0},
	} {
		u := newUpstream(t, sendNothing)
		dials, elapsed := 0, time.Hour
		p := newConnPool(egress.New(&settings.Settings{}, zap.NewNop()), func() { dials++ })
		p.elapsed = func() time.Duration { return elapsed }
		address := u.ln.Addr().String()
		kept, err := p.get(t.Context(), address, "a", atMostOnce)
		require.NoError(t, err)
		p.put(address, kept, x.header)
		elapsed += x.idle
		dials = 0
		once, err := p.get(t.Context(), address, "a", atMostOnce)
		require.NoError(t, err)
		if once == kept {
			p.put(address, once, x.header)
		}
		_, err = p.get(t.Context(), address, "a", !atMostOnce)
		require.NoError(t, err)
		require.Equal(t, x.dials, dials, name)
		p.sweep(true)
	}
}
