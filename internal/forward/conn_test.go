package forward

import (
	"context"
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
		c, err := p.get(context.Background(), u.ln.Addr().String(), atMostOnce)
		require.NoError(t, err)
		p.put(u.ln.Addr().String(), c, nil)
		elapsed += maxIdleTime
	}
	require.Equal(t, 2, dials)
	p.sweep(true)
}
