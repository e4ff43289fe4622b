// Package accept listens for callers so that a planned stop cuts off no request that has begun
// to arrive. The entries use it below their HTTP servers.
//
// Guarantees: a connection that waits in the kernel's queue at StopAccepting is accepted, and
// CloseIdle closes no connection on which a part of a request has arrived; the server never reads
// a request of a connection that it has closed. A connection that is being set up at that moment is
// reset, and a request that arrives while its idle connection is being closed is lost, unread, as
// always in HTTP/1.1.
package accept

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/verbenastep/verbenastep/internal/wait"
)

const (
	// idlePollInterval is the interval at which WaitIdle looks at the connections.
	idlePollInterval = 5 * time.Millisecond
	// newConnTime is how long a new connection may carry no byte of a request before it
	// counts as idle.
	newConnTime = 500 * time.Millisecond
	// minIdleTime is the least time between the two looks that must find a connection idle
	// before it is closed. Between the end of a read in the kernel and the record of it, and
	// between two requests that the server has buffered, a busy connection looks idle.
	minIdleTime = 4 * time.Millisecond
	// handOverTimeout bounds the wait for the server to take a connection.
	handOverTimeout = time.Second
)

// Listener is a TCP listener that knows its connections. It is safe for concurrent use.
type Listener struct {
	*net.TCPListener
	keepAlive net.KeepAliveConfig
	// isStopping is set once StopAccepting is called; last delivers the connections that it
	// has accepted.
	isStopping atomic.Bool
	last       chan net.Conn
	// lingers is set by LingerOnClose.
	lingers atomic.Bool
	// lingering is the number of connections that linger.
	lingering atomic.Int64
	mu        sync.Mutex
	conns     map[*conn]struct{}
}

// New returns a listener on top of another one, which must be a *net.TCPListener with the
// given configuration of keep-alive.
func New(ln net.Listener, keepAlive net.KeepAliveConfig) *Listener {
	return &Listener{TCPListener: ln.(*net.TCPListener), keepAlive: keepAlive, last: make(chan net.Conn), conns: map[*conn]struct{}{}}
}

// conn is a caller's connection.
type conn struct {
	*net.TCPConn
	listener   *Listener
	acceptedAt time.Time
	// hasInput is set once a byte has arrived since the last request ended, wasUsed once a
	// request has ended.
	hasInput atomic.Bool
	wasUsed  atomic.Bool
	// readAhead is set once the server has read the first byte of the next request while it
	// serves one. isIdleBegin is set from the end of a request until the server waits for another.
	readAhead   atomic.Bool
	isIdleBegin atomic.Bool
	// inputs counts the reads that brought bytes and the requests that began.
	inputs atomic.Int64
	// requests counts the requests that began.
	requests atomic.Int64
	// idleSince is when CloseIdle first found the connection idle after idleInputs, and zero if
	// it did not; the lock of the listener guards both.
	idleSince  time.Time
	idleInputs int64
	// isClosed is set once the server has closed the connection, which may linger then.
	isClosed atomic.Bool

	mu sync.Mutex
	// isEnding is set while the next read ends the connection unless a request has begun to
	// arrive. readDeadline is the deadline that the server has set.
	isEnding     bool
	readDeadline time.Time
}

// expired is a deadline that has passed.
var expired = time.Unix(1, 0)

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}

// ConnContext must be called from the ConnContext callback of the HTTP server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Handler returns a handler that marks the connection of each request as busy until OnStateChange
// is called with StateIdle, and calls next unless the server has closed the connection. The server
// buffers a request that arrives together with an earlier one, so that no read from the connection
// shows it.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			if c.isClosed.Load() {
				return
			}
			c.recordInput()
			c.requests.Add(1)
		}
		next.ServeHTTP(w, r)
	})
}

// RequestNumber returns the number of a request on its connection, from 1, by the request's
// context; zero if the connection is not one of a Listener.
func RequestNumber(ctx context.Context) int64 {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		return c.requests.Load()
	}
	return 0
}

func (c *conn) recordInput() {
	c.inputs.Add(1)
	if !c.hasInput.Load() {
		c.hasInput.Store(true)
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.AcceptTCP()
	if err == nil {
		return l.add(raw), nil
	}
	if l.isStopping.Load() {
		if c, open := <-l.last; open {
			return c, nil
		}
		return nil, net.ErrClosed
	}
	return nil, err
}

func (l *Listener) add(raw *net.TCPConn) net.Conn {
	c := &conn{TCPConn: raw, listener: l, acceptedAt: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c
}

// readAheadBytes is the size of the buffer with which the server looks for the next request while it
// serves one. It reads nothing else with a buffer of this size.
const readAheadBytes = 1

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		if c.isClosed.Load() {
			return 0, net.ErrClosed
		}
		if !c.endRead(n, len(p), err) {
			return n, err
		}
	}
}

// endRead records the result of a read into a buffer of a size. It reports whether to read again,
// since bytes have arrived on a connection that was about to end.
func (c *conn) endRead(n, size int, err error) (again bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.recordInput()
		if size == readAheadBytes {
			c.readAhead.Store(true)
		}
	}
	again = c.isEnding && errors.Is(err, os.ErrDeadlineExceeded) && controlSocket(c, hasUnread)
	if n > 0 || again {
		c.keep()
	}
	return again
}

// SetReadDeadline implements net.Conn. The server sets a deadline when it begins to wait for the
// next request, and another one when the request's first bytes are there, also if it had buffered
// them.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if !c.isIdleBegin.Swap(false) && c.wasUsed.Load() {
		c.recordInput()
		c.keep()
	}
	if c.isEnding || c.isClosed.Load() {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// end makes the server close the connection if it is idle: its read fails unless a part of a
// request arrives first. It reports whether the connection is idle. Closing it here instead would
// cut off a request whose bytes the server has taken, but not recorded yet.
func (c *conn) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isIdle() {
		return false
	}
	c.isEnding = true
	return c.TCPConn.SetReadDeadline(expired) == nil
}

// keep undoes end. The caller holds the lock.
func (c *conn) keep() {
	if c.isEnding {
		c.isEnding = false
		_ = c.TCPConn.SetReadDeadline(c.readDeadline)
	}
}

// Close implements net.Conn. Where the connection lingers, reads and writes end at once and the
// caller is told that nothing follows, but the listener holds the connection until that has ended.
func (c *conn) Close() error {
	if c.isClosed.Swap(true) {
		return net.ErrClosed
	}
	if !c.lingersOnClose() {
		return c.release()
	}
	if c.listener.lingering.Add(1) > maxLingering {
		c.listener.lingering.Add(-1)
		return c.release()
	}
	// A read that ends makes the server write, which must fail by then.
	if err := c.CloseWrite(); err != nil {
		c.listener.lingering.Add(-1)
		_ = c.release()
		return err
	}
	_ = c.TCPConn.SetDeadline(expired)
	go c.linger()
	return nil
}

// release closes the socket.
func (c *conn) release() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}

// OnStateChange must be called from the ConnState callback of the HTTP server.
func OnStateChange(raw net.Conn, s http.ConnState) {
	if c, ok := raw.(*conn); ok && s == http.StateIdle {
		c.wasUsed.Store(true)
		c.isIdleBegin.Store(true)
		c.hasInput.Store(c.readAhead.Swap(false))
	}
}

// StopAccepting accepts what waits in the kernel's queue and closes the listener. The HTTP server
// gets the last connections from Accept, which fails afterwards. Further calls do nothing.
func (l *Listener) StopAccepting() {
	if l.isStopping.Swap(true) {
		return
	}
	l.LingerOnClose()
	_ = l.SetDeadline(time.Unix(1, 0))
	defer close(l.last)
	fds := []int{}
	controlSocket(l, func(fd int) bool {
		fds = acceptRest(fd)
		return true
	})
	_ = l.TCPListener.Close()
	for _, fd := range fds {
		c, err := l.connOf(fd)
		if err != nil {
			continue
		}
		select {
		case l.last <- c:
		case <-time.After(handOverTimeout):
			_ = c.Close() // the server has ended
		}
	}
}

// Close implements net.Listener. It does nothing once StopAccepting is called, which closes the
// listener.
func (l *Listener) Close() error {
	if l.isStopping.Load() {
		return nil
	}
	return l.TCPListener.Close()
}

// acceptRest takes the connections that wait on a listening socket and makes it refuse others.
// Closing resets what waits, so nothing may come between the last look and the end.
func acceptRest(fd int) []int {
	// The kernel ignores requests for new connections while more than none waits.
	_ = unix.Listen(fd, 0)
	fds := []int{}
	for {
		c, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
			fds = append(fds, c)
		case unix.EINTR, unix.ECONNABORTED:
		default:
			_ = unix.Shutdown(fd, unix.SHUT_RDWR)
			return fds
		}
	}
}

// connOf returns the connection of a socket.
func (l *Listener) connOf(fd int) (net.Conn, error) {
	file := os.NewFile(uintptr(fd), "caller")
	defer file.Close()
	raw, err := net.FileConn(file)
	if err != nil {
		return nil, err
	}
	tcp := raw.(*net.TCPConn)
	_ = tcp.SetNoDelay(true)
	_ = tcp.SetKeepAliveConfig(l.keepAlive)
	return l.add(tcp), nil
}

// controlSocket runs a function on a socket and returns its result.
func controlSocket(socket syscall.Conn, fn func(fd int) bool) bool {
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	result := false
	controlErr := raw.Control(func(fd uintptr) { result = fn(int(fd)) })
	return controlErr == nil && result
}

// CloseIdle makes the server close the connections that carry no request, and carried none when it
// was called at least minIdleTime before. It returns how many are open.
func (l *Listener) CloseIdle() int {
	l.mu.Lock()
	idle, open := []*conn{}, len(l.conns)
	now := time.Now()
	for c := range l.conns {
		if c.staysIdle(now) {
			idle = append(idle, c)
		}
	}
	l.mu.Unlock()
	for _, c := range idle {
		c.end()
	}
	return open
}

// WaitIdle closes connections as they become idle, until none is left or ctx ends.
func (l *Listener) WaitIdle(ctx context.Context) {
	for l.CloseIdle() > 0 && ctx.Err() == nil {
		wait.Sleep(ctx, idlePollInterval)
	}
}

// staysIdle reports whether the connection is idle and has been since an earlier call, at least
// minIdleTime ago. The caller holds the lock of the listener.
func (c *conn) staysIdle(now time.Time) bool {
	inputs := c.inputs.Load()
	switch {
	case !c.isIdle():
		c.idleSince = time.Time{}
		return false
	case c.idleSince.IsZero() || inputs != c.idleInputs:
		c.idleSince, c.idleInputs = now, inputs
		return false
	}
	return now.Sub(c.idleSince) >= minIdleTime
}

// isIdle reports whether no part of a request has arrived since the last one ended.
func (c *conn) isIdle() bool {
	if c.isClosed.Load() || c.hasInput.Load() || !c.wasUsed.Load() && time.Since(c.acceptedAt) < newConnTime {
		return false
	}
	return !controlSocket(c, hasUnread)
}

// hasUnread reports whether a socket has bytes that were not read.
func hasUnread(fd int) bool {
	buf := [1]byte{}
	n, _, err := syscall.Recvfrom(fd, buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == nil && n > 0
}
