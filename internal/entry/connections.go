package entry

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// connections limits the number of open callers' connections. Above the limit it
// closes the connection that has been idle for longest, so that idle or slow
// callers can't exhaust the limit.
type connections struct {
	maxOpen int

	mu sync.Mutex
	// idle lists the connections without a request, longest idle at the front.
	idle *list.List
	// idleElements holds the list element of each idle connection.
	idleElements map[net.Conn]*list.Element
	total        int
}

func newConnections(limit int) *connections {
	return &connections{maxOpen: limit, idle: list.New(), idleElements: map[net.Conn]*list.Element{}}
}

// onStateChange is the ConnState callback of the HTTP server.
func (c *connections) onStateChange(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew:
		c.total++
		c.markIdle(conn)
		if c.total > c.maxOpen {
			c.closeLongestIdle()
		}
	case http.StateIdle:
		c.markIdle(conn)
	case http.StateActive:
		c.unmarkIdle(conn)
	case http.StateClosed, http.StateHijacked:
		c.unmarkIdle(conn)
		c.total--
	}
}

// markIdle moves a connection to the end of the idle list. The caller holds mu.
func (c *connections) markIdle(conn net.Conn) {
	c.unmarkIdle(conn)
	c.idleElements[conn] = c.idle.PushBack(conn)
}

// unmarkIdle removes a connection from the idle list. The caller holds mu.
func (c *connections) unmarkIdle(conn net.Conn) {
	if e, ok := c.idleElements[conn]; ok {
		c.idle.Remove(e)
		delete(c.idleElements, conn)
	}
}

// closeLongestIdle closes the connection that has been idle for longest. This is
// the newest one if all others carry requests. The caller holds mu.
func (c *connections) closeLongestIdle() {
	oldest := c.idle.Front()
	if oldest == nil {
		return
	}
	conn := oldest.Value.(net.Conn)
	c.unmarkIdle(conn)
	_ = conn.Close()
}

// count returns the number of open connections.
func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}
