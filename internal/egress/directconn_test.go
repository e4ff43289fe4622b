package egress

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/internal/netfault"
)

// uploadBytes is more than the buffers of a loopback connection hold.
const uploadBytes = 16 << 20

// connectPair connects to a listener in the given way and returns both ends.
func connectPair(t *testing.T, ln net.Listener, dial func(address string) (net.Conn, error)) (near net.Conn, far *net.TCPConn) {
	t.Helper()
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := ln.Accept()
		if err == nil {
			accepted <- c
		}
	}()
	near, err := dial(ln.Addr().String())
	require.NoError(t, err)
	far = (<-accepted).(*net.TCPConn)
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return near, far
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

func dialDirectly(address string) (net.Conn, error) {
	return DialDirectly(context.Background(), address)
}

// resetWhenSent sends a text and resets the connection.
func resetWhenSent(t *testing.T, c *net.TCPConn, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
	require.NoError(t, c.SetLinger(0))
	require.NoError(t, c.Close())
}

// TestResetThatWriteSawIsNoEnd guards against a connection that seems to end in order: its upstream
// reset it, and the kernel reported that to a write, which leaves a plain end to the reads.
func TestResetThatWriteSawIsNoEnd(t *testing.T) {
	near, far := connectPair(t, listen(t), dialDirectly)
	written := make(chan error, 1)
	go func() {
		_, err := near.Write(make([]byte, uploadBytes))
		written <- err
	}()
	_, err := io.CopyN(io.Discard, far, 1)
	require.NoError(t, err)
	resetWhenSent(t, far, "part")
	require.ErrorIs(t, <-written, syscall.ECONNRESET)
	for range 2 {
		got, err := io.ReadAll(near)
		require.ErrorIs(t, err, syscall.ECONNRESET, "read %q", got)
	}
}

// TestResetBesideBlockedWriteIsNoEnd guards against the same where the read returns before the write
// that fails with the reset.
func TestResetBesideBlockedWriteIsNoEnd(t *testing.T) {
	const tries = 300
	ln := listen(t)
	for range tries {
		near, far := connectPair(t, ln, dialDirectly)
		go func() { _, _ = near.Write(make([]byte, uploadBytes)) }()
		read := make(chan error, 1)
		go func() {
			_, err := io.ReadAll(near)
			read <- err
		}()
		_, err := io.CopyN(io.Discard, far, 1)
		require.NoError(t, err)
		resetWhenSent(t, far, "part")
		require.ErrorIs(t, <-read, syscall.ECONNRESET)
	}
}

// TestCarriedResetIsNoEnd guards against the same through another entry, which writes and reads the
// connection for this one.
func TestCarriedResetIsNoEnd(t *testing.T) {
	const tries = 100
	n := newTestNet(t, 2, 1)
	n.entries[0].path.Set(netfault.Reset)
	ln := listen(t)
	n.entries[1].upstreams = testUpstreams{ln.Addr().String()}
	for range tries {
		near, far := connectPair(t, ln, func(address string) (net.Conn, error) { return n.entries[0].Dial(context.Background(), address) })
		require.True(t, IsTunnel(near))
		go func() { _, _ = near.Write(make([]byte, uploadBytes)) }()
		_, err := io.CopyN(io.Discard, far, 1)
		require.NoError(t, err)
		resetWhenSent(t, far, "part")
		got, err := io.ReadAll(near)
		require.Error(t, err, "looks like an end in order, after %q", got)
		require.NoError(t, near.Close())
	}
}

// TestOrderlyEndDuringWriteIsAnEnd guards against a sound response that counts as cut since its
// request was not read, and against a request that is cut off by the end of its response: the upstream
// ends its side, reads on or closes.
func TestOrderlyEndDuringWriteIsAnEnd(t *testing.T) {
	const tries, pause = 20, 5 * time.Millisecond
	ln := listen(t)
	for name, finish := range map[string]func(far *net.TCPConn, written <-chan error){
		"reads on": func(far *net.TCPConn, written <-chan error) {
			n, err := io.CopyN(io.Discard, far, uploadBytes-1)
			require.NoError(t, err, "only %d bytes came after the end", n)
			require.NoError(t, <-written)
		},
		"closes": func(far *net.TCPConn, written <-chan error) {
			require.NoError(t, far.Close())
			require.Error(t, <-written)
		},
	} {
		for when, readFirst := range map[string]bool{"before it is known": true, "once it is closed": false} {
			t.Run(name+"/"+when, func(t *testing.T) {
				for range tries {
					near, far := connectPair(t, ln, dialDirectly)
					written := make(chan error, 1)
					go func() {
						_, err := near.Write(make([]byte, uploadBytes))
						written <- err
					}()
					_, err := io.CopyN(io.Discard, far, 1)
					require.NoError(t, err)
					_, err = io.WriteString(far, "whole")
					require.NoError(t, err)
					require.NoError(t, far.CloseWrite())
					time.Sleep(pause)
					if !readFirst {
						finish(far, written)
					}
					got, err := io.ReadAll(near)
					require.NoError(t, err)
					require.Equal(t, "whole", string(got))
					if readFirst {
						finish(far, written)
					}
					_, err = near.Read(make([]byte, 1))
					require.Equal(t, io.EOF, err, "the end does not change")
				}
			})
		}
	}
}

// TestWriteDeadlineEndsWrite guards against a write that goes on after its deadline as if it had been
// interrupted.
func TestWriteDeadlineEndsWrite(t *testing.T) {
	near, _ := connectPair(t, listen(t), dialDirectly)
	require.NoError(t, near.SetWriteDeadline(time.Now().Add(10*time.Millisecond)))
	_, err := near.Write(make([]byte, uploadBytes))
	timeout := net.Error(nil)
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout())
}
