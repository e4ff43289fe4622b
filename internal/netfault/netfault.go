// Package netfault cuts the connections that one daemon opens, for tests: they hang, are
// reset, or live on while new ones are refused.
package netfault

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Mode is what happens to connections.
type Mode uint8

// Modes.
const (
	// Sound connections work.
	Sound Mode = iota
	// Hang lets connections hang: bytes are lost, new connections are not established.
	Hang
	// Reset resets all connections and refuses new ones.
	Reset
	// RefuseNew refuses new connections; those that are open live on.
	RefuseNew
)

// connectTimeout is how long the setup of a connection that hangs takes at most.
const connectTimeout = 400 * time.Millisecond

// Switch cuts the connections that were opened through it. It is safe for concurrent use.
type Switch struct {
	dial func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	mode  Mode
	conns map[*conn]struct{}
	// changed is closed when the mode changes.
	changed chan struct{}
}

// New returns a switch of the connections that dial opens.
func New(dial func(ctx context.Context, address string) (net.Conn, error)) *Switch {
	return &Switch{dial: dial, conns: map[*conn]struct{}{}, changed: make(chan struct{})}
}

// Set changes what happens to connections.
func (s *Switch) Set(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	close(s.changed)
	s.changed = make(chan struct{})
	if m != Reset {
		return
	}
	for c := range s.conns {
		c.reset = true
		_ = c.Conn.Close()
	}
}

func (s *Switch) state() (Mode, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode, s.changed
}

// Dial opens a connection, or fails as the mode says.
func (s *Switch) Dial(ctx context.Context, address string) (net.Conn, error) {
	switch mode, _ := s.state(); mode {
	case Hang:
		select {
		case <-time.After(connectTimeout):
		case <-ctx.Done():
		}
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	case Reset, RefuseNew:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	raw, err := s.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, s: s, closed: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return c, nil
}

// conn is a connection that a switch may cut.
type conn struct {
	net.Conn
	s *Switch
	// reset is set by the switch, guarded by its lock.
	reset  bool
	once   sync.Once
	closed chan struct{}
}

// Read holds back what arrives while connections hang.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for {
		mode, changed := c.s.state()
		if mode != Hang {
			break
		}
		select {
		case <-changed:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	if c.wasReset() {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	}
	return n, err
}

// Write loses the bytes while connections hang.
func (c *conn) Write(b []byte) (int, error) {
	if mode, _ := c.s.state(); mode == Hang {
		return len(b), nil
	}
	if c.wasReset() {
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", syscall.ECONNRESET)}
	}
	return c.Conn.Write(b)
}

func (c *conn) wasReset() bool {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	return c.reset
}

// Close closes the connection.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.s.mu.Lock()
		defer c.s.mu.Unlock()
		delete(c.s.conns, c)
	})
	return c.Conn.Close()
}
