package egress

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/internal/settings"
)

// TestUpstreamConnectionOutlivesSilence guards against a request that is lost because the
// kernel closes the connection to a sound upstream which acknowledges nothing for a second
// or two. A connection that the network has dropped must still be found.
func TestUpstreamConnectionOutlivesSilence(t *testing.T) {
	const longestSilence, longestLoss = 3 * time.Second, 5 * time.Second
	upstream, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer upstream.Close()
	c, err := New(&settings.Settings{}, zap.NewNop()).Dial(context.Background(), upstream.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	raw, err := c.(syscall.Conn).SyscallConn()
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
