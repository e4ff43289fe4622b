package egress

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds the setup of a connection to an upstream. It covers two
	// round trips between regions, the handshake and a long accept queue.
	dialTimeout = 400 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a connection that the
	// network has dropped within four seconds: an upstream may be silent for a second or
	// two and go on. userTimeout bounds the time for which sent bytes may stay
	// unacknowledged; on Linux, keep-alive gives up by it as well.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	userTimeout       = 4 * time.Second
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux.
	tcpUserTimeout = 0x12
)

// DialFunc opens a connection to the upstream at an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// DialDirectly opens a connection from this daemon. Its Read returns io.EOF only if the upstream ended
// its side in order.
func DialDirectly(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         SetUserTimeout(userTimeout),
	}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &directConn{Conn: c}, nil
}

// SetUserTimeout returns a function that sets the TCP user timeout, which bounds the
// kernel's retransmissions, on a socket.
func SetUserTimeout(timeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		err := error(nil)
		controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}
}
