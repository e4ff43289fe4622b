package egress

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// directConn is a connection to an upstream that this entry opened itself. Read returns io.EOF only if
// the upstream ended its side in order, so that a response that ends with its connection is complete.
//
// The kernel reports the loss of a connection to one call only. If that is a write, reads return io.EOF
// from then on. Read therefore waits for the result of a write in progress before it returns io.EOF.
//
// At the end of the connection Read removes the write deadline.
type directConn struct {
	// Conn is a *net.TCPConn. Its methods that write without Write are left out.
	net.Conn
	// writing is held during each write, and guards writeErr, the error of the first one that failed.
	writing  sync.Mutex
	writeErr error
	// isInterrupted is set while Read ends a write in progress, which goes on afterwards.
	isInterrupted atomic.Bool
	// endOnce guards end, which is what Read returns at the end of the connection.
	endOnce sync.Once
	end     error
}

// SyscallConn implements syscall.Conn.
func (c *directConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(*net.TCPConn).SyscallConn()
}

// Read implements net.Conn. At the end of the connection it returns the error with which a write failed
// before, if there is one.
func (c *directConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != io.EOF {
		return n, err
	}
	c.endOnce.Do(c.setEnd)
	return n, c.end
}

// setEnd sets end to the error of a write that failed with the loss of the connection, else to io.EOF. Such
// a write may not have returned yet. One in progress is interrupted, since it would block for long if the
// upstream reads nothing.
func (c *directConn) setEnd() {
	c.isInterrupted.Store(true)
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	_ = c.SetWriteDeadline(time.Time{})
	c.isInterrupted.Store(false)
	c.end = io.EOF
	if c.writeErr != nil && !errors.Is(c.writeErr, syscall.EPIPE) {
		// EPIPE means that the upstream had ended its side before it closed the connection.
		c.end = c.writeErr
	}
}

// Write implements net.Conn.
func (c *directConn) Write(b []byte) (int, error) {
	written := 0
	for {
		n, err := c.writeOnce(b[written:])
		written += n
		if err != errInterrupted {
			return written, err
		}
	}
}

var errInterrupted = errors.New("the write was interrupted")

// writeOnce writes until an error. It returns errInterrupted if the write is to go on.
func (c *directConn) writeOnce(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.isInterrupted.Load() {
		return n, errInterrupted
	}
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}
