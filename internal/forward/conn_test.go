package forward

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/internal/clock"
)

// TestUpstreamConnectionOutlivesSilence guards against a request that is lost because the
// kernel closes the connection to a sound upstream which acknowledges nothing for a second
// or two. A connection that the network has dropped must still be found.
func TestUpstreamConnectionOutlivesSilence(t *testing.T) {
	const longestSilence, longestLoss = 3 * time.Second, 5 * time.Second
	u := newUpstream(t, sendNothing)
	c, err := newConnPool(func() {}).get(context.Background(), u.ln.Addr().String(), false)
	require.NoError(t, err)
	defer c.Close()
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	option := func(name int) time.Duration {
		value := 0
		require.NoError(t, raw.Control(func(fd uintptr) {
			value, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, name)
		}))
		require.NoError(t, err)
		return time.Duration(value)
	}
	userTimeout := option(tcpUserTimeout) * time.Millisecond
	probes := (option(syscall.TCP_KEEPIDLE) + option(syscall.TCP_KEEPINTVL)*option(syscall.TCP_KEEPCNT)) * time.Second
	for _, limit := range []time.Duration{userTimeout, probes} {
		require.Greater(t, limit, longestSilence)
		require.Less(t, limit, longestLoss)
	}
}

// TestIdleConnectionIsNotReusedAfterSuspension guards against a request that may run once
// at most and is lost on a connection which the upstream closed while this machine was
// suspended.
func TestIdleConnectionIsNotReusedAfterSuspension(t *testing.T) {
	u := newUpstream(t, sendNothing)
	dials := 0
	p := newConnPool(func() { dials++ })
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
