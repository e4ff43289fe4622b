package entry

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// connections bounds the callers' connections. Where there are too many it
// closes the one that has carried no request for longest, so that idle or slow
// callers never keep others out.
type connections struct {
	limit int

	mu sync.Mutex
	// quiet holds the connections without a request, the longest first.
	quiet *list.List
	at    map[net.Conn]*list.Element
	total int
}

func newConnections(limit int) *connections {
	return &connections{limit: limit, quiet: list.New(), at: map[net.Conn]*list.Element{}}
}

// changed follows each connection; it is the server's ConnState.
func (c *connections) changed(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew:
		c.total++
		c.enter(conn)
		if c.total > c.limit {
			c.closeQuietest()
		}
	case http.StateIdle:
		c.enter(conn)
	case http.StateActive:
		c.leave(conn)
	case http.StateClosed, http.StateHijacked:
		c.leave(conn)
		c.total--
	}
}

func (c *connections) enter(conn net.Conn) {
	c.leave(conn)
	c.at[conn] = c.quiet.PushBack(conn)
}

func (c *connections) leave(conn net.Conn) {
	if e, ok := c.at[conn]; ok {
		c.quiet.Remove(e)
		delete(c.at, conn)
	}
}

// closeQuietest closes the longest quiet connection: the new one where all
// others carry requests.
func (c *connections) closeQuietest() {
	oldest := c.quiet.Front()
	if oldest == nil {
		return
	}
	conn := oldest.Value.(net.Conn)
	c.leave(conn)
	_ = conn.Close()
}

// count returns how many connections are open.
func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}
