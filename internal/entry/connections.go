package entry

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connections bounds the callers' connections. Where there are too many it
// closes the one that has carried no request for longest, so that idle or slow
// callers never keep others out.
type connections struct {
	limit int

	mu    sync.Mutex
	quiet map[net.Conn]time.Time
	total int
}

func newConnections(limit int) *connections {
	return &connections{limit: limit, quiet: map[net.Conn]time.Time{}}
}

// changed follows each connection; it is the server's ConnState.
func (c *connections) changed(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew:
		c.total++
		c.quiet[conn] = time.Now()
		if c.total > c.limit {
			c.closeQuietest()
		}
	case http.StateIdle:
		c.quiet[conn] = time.Now()
	case http.StateActive:
		delete(c.quiet, conn)
	case http.StateClosed, http.StateHijacked:
		delete(c.quiet, conn)
		c.total--
	}
}

// closeQuietest closes the longest quiet connection: the new one where all
// others carry requests.
func (c *connections) closeQuietest() {
	oldest := net.Conn(nil)
	for conn, at := range c.quiet {
		if oldest == nil || at.Before(c.quiet[oldest]) {
			oldest = conn
		}
	}
	if oldest != nil {
		delete(c.quiet, oldest)
		_ = oldest.Close()
	}
}

// count returns how many connections are open.
func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}
