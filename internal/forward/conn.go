package forward

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/verbenastep/verbenastep/internal/clock"
	"github.com/verbenastep/verbenastep/internal/egress"
	"github.com/verbenastep/verbenastep/internal/httpresponse"
	"github.com/verbenastep/verbenastep/internal/port"
)

const (
	// maxIdleTime is the longest idle time after which a connection is reused whose upstream does
	// not state for how long it keeps it. maxIdleTimeAtMostOnce is the same for requests that may
	// not be repeated: they are lost if the upstream closes the connection at the same moment.
	maxIdleTime           = 4 * time.Second
	maxIdleTimeAtMostOnce = 1500 * time.Millisecond
	// keepAliveMargin is subtracted from the keep-alive timeout that the upstream
	// states.
	keepAliveMargin = time.Second
	// maxIdleConns bounds the idle connections to one upstream, which seldom runs
	// more requests of one entry concurrently.
	maxIdleConns = 8
	// maxUnserved bounds the requests that a connection carried and that may come again.
	maxUnserved = 32
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a connection to a caller
	// that the network has dropped while nothing is sent, within about two seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	readBufferBytes   = 4 << 10
)

// callerKeepAlive returns the TCP keep-alive settings of callers' connections.
func callerKeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// conn is a connection to an upstream; it carries one request at a time.
type conn struct {
	net.Conn
	// reader reads from the connection through head.
	reader *bufio.Reader
	head   *headReader
	// idleSince is the end of the last response by the pool's clock. keepAliveTimeout
	// is the time for which the upstream then keeps the connection; zero if it states
	// none.
	idleSince        time.Duration
	keepAliveTimeout time.Duration
	reused           bool
	// namesRequests is set once a response has named the request that it answers.
	namesRequests bool
	// unserved holds hashes of the ids of requests that were refused or failed on the connection.
	// They go over another one if they come again: a copy of their first response has their id.
	unserved []uint64
}

// isClean reports whether an idle connection is open and has no unread bytes,
// which would be taken for the next response.
func (c *conn) isClean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if tunnel, ok := c.Conn.(interface{ IsClean() bool }); ok {
		return tunnel.IsClean()
	}
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		buf := [1]byte{}
		_, _, e := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = e == syscall.EAGAIN || e == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && empty
}

// readHead reads the head of a response to a request with a method. It skips interim responses, which
// may have maxResponseHeadBytes together with the final one.
func (c *conn) readHead(method string) (*http.Response, error) {
	defer c.head.endHead()
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // never fails
	if err := c.head.beginHead(buffered); err != nil {
		return nil, err
	}
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err == nil {
			err = httpresponse.Check(resp)
		}
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}

// isReusable reports whether an idle connection may carry another request;
// atMostOnce is set for a request that may not be repeated.
func (c *conn) isReusable(now time.Duration, atMostOnce bool) bool {
	idle := now - c.idleSince
	switch {
	case c.keepAliveTimeout > 0:
		return idle < c.keepAliveTimeout-keepAliveMargin
	case atMostOnce:
		return idle < maxIdleTimeAtMostOnce
	}
	return idle < maxIdleTime
}

// connPool holds idle connections by address. It is safe for concurrent use.
type connPool struct {
	egress port.Egress
	// elapsed counts suspensions of the machine, in which an upstream may close a
	// connection unnoticed.
	elapsed func() time.Duration
	mu      sync.Mutex
	idle    map[string][]*conn
	// onDial is called before each new connection.
	onDial func()
}

func newConnPool(egress port.Egress, onDial func()) *connPool {
	return &connPool{egress: egress, elapsed: clock.SinceBoot, idle: map[string][]*conn{}, onDial: onDial}
}

// get returns an idle connection that can be reused for the request with an id, or a new one.
// atMostOnce is set for a request that may not be repeated.
func (p *connPool) get(ctx context.Context, address, request string, atMostOnce bool) (*conn, error) {
	for {
		c := p.takeIdle(address, request)
		if c == nil {
			break
		}
		if now := p.elapsed(); !c.isReusable(now, atMostOnce) && c.isReusable(now, false) {
			// It serves the next request that may be repeated.
			p.putBack(address, c)
			break
		}
		if c.isReusable(p.elapsed(), atMostOnce) && c.isClean() && egress.IsTunnel(c.Conn) == p.egress.IsPathLost(address) {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
	p.onDial()
	raw, err := p.egress.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	head := &headReader{source: raw}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(head, readBufferBytes), head: head}, nil
}

// takeIdle removes and returns the connection with the shortest idle time of those that a
// request with an id may use, or nil.
func (p *connPool) takeIdle(address, request string) *conn {
	id := hashText(request)
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i, c := range slices.Backward(list) {
		if !slices.Contains(c.unserved, id) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// putBack returns a connection that takeIdle removed.
func (p *connPool) putBack(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[address] = append(p.idle[address], c)
}

// put adds a connection whose response has ended, or closes it if the pool holds
// enough for the address or it has carried too many that may come again. h is the response
// header.
func (p *connPool) put(address string, c *conn, h http.Header) {
	c.idleSince = p.elapsed()
	c.keepAliveTimeout = parseKeepAliveTimeout(h)
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdleConns || len(c.unserved) >= maxUnserved {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// parseKeepAliveTimeout returns the timeout of the Keep-Alive header, zero if there
// is none.
func parseKeepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}

// sweep closes expired idle connections, or all of them.
func (p *connPool) sweep(all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.elapsed()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if !all && c.isReusable(now, false) && (!egress.IsTunnel(c.Conn) || c.isClean()) {
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
