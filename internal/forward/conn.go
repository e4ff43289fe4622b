package forward

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds a new connection to an upstream: two round trips
	// between regions, the handshake and a busy accept queue.
	dialTimeout = 400 * time.Millisecond
	// idleReuse is the longest idle time after which a connection is used again
	// for a request that may be repeated; onceReuse for others, since a request
	// that meets the upstream's own close is lost.
	idleReuse = 4 * time.Second
	onceReuse = 1500 * time.Millisecond
	// idleMargin is left to the time that the upstream states.
	idleMargin = time.Second
	// maxIdle is the most idle connections to one upstream: it seldom runs more
	// requests of one entry at once.
	maxIdle = 8
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a connection that
	// something between its ends has lost, within about two seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// userTimeout is how long sent bytes may stay unacknowledged.
	userTimeout = 2 * time.Second
	// tcpUserTimeout is the option's number on Linux.
	tcpUserTimeout = 0x12
	readBuffer     = 4 << 10
)

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// setUserTimeout bounds how long the kernel sends again before it gives up.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	err := error(nil)
	failed := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if failed != nil {
		return failed
	}
	return err
}

// conn is a connection to an upstream; it carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleSince is when the last answer ended, stated how long the upstream
	// keeps it then; zero where it does not say.
	idleSince time.Time
	stated    time.Duration
	reused    bool
}

// clean tells whether an idle connection is open and carries nothing: bytes
// that nobody asked for belong to no request.
func (c *conn) clean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		one := [1]byte{}
		_, _, e := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = e == syscall.EAGAIN || e == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// usable tells whether an idle connection may carry another request.
func (c *conn) usable(now time.Time, once bool) bool {
	most := idleReuse
	if once {
		most = onceReuse
	}
	if c.stated > 0 {
		most = min(most, c.stated-idleMargin)
	}
	return now.Sub(c.idleSince) < most
}

// pool keeps idle connections by address.
type pool struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*conn
	// made counts new connections.
	made func()
}

func newPool(made func()) *pool {
	return &pool{
		dialer: net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive(), Control: setUserTimeout},
		idle:   map[string][]*conn{}, made: made,
	}
}

// get returns an idle connection that is clean, or a new one.
func (p *pool) get(ctx context.Context, address string, once bool) (*conn, error) {
	for {
		c := p.take(address)
		if c == nil {
			break
		}
		if c.usable(time.Now(), once) && c.clean() {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
	p.made()
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// take returns the connection that has been idle for the shortest time.
func (p *pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put keeps a connection whose answer has ended, unless the answer says that
// it closes.
func (p *pool) put(address string, c *conn, h http.Header) {
	c.idleSince = time.Now()
	c.stated = keepAliveTime(h)
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// keepAliveTime reads how long an upstream keeps an idle connection.
func keepAliveTime(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}

// sweep closes connections that are too old to be used, and all of them where
// the pool is closed.
func (p *pool) sweep(all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if !all && c.usable(now, false) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}
