package matrix

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"

	"github.com/verbenastep/verbenastep/core/claims"
	"github.com/verbenastep/verbenastep/core/promise"
)

const (
	frames     = 20
	frameBytes = 8
	frameTime  = 20 * time.Millisecond
	callTime   = 100 * time.Millisecond
	slots      = 4
	// lateBy delays a late frame beyond the silence that retires a connection.
	lateBy = silence + 500*time.Millisecond
)

// contentOf is the whole answer to a request.
func contentOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return strings.Repeat(hex.EncodeToString(sum[:]), 3)[:frames*frameBytes]
}

func hashOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:4])
}

// work is one dispatched request on an engine.
type work struct {
	content string
	made    int
	conns   []*conn
}

// engine stands for an upstream of either kind.
type engine struct {
	process
	incarnation uint64
	pace        time.Duration
	leaving     bool
	works       map[string]*work
}

func newEngine(w *world, name string) *engine {
	e := &engine{process: process{world: w, name: name}, pace: 1}
	e.begin()
	return e
}

func (e *engine) begin() {
	e.alive = true
	e.incarnation++
	e.works = map[string]*work{}
	e.world.record(promise.Event{Kind: promise.Join, Upstream: e.name})
}

func (e *engine) crash() {
	works := e.works
	e.die()
	for _, x := range works {
		for _, c := range x.conns {
			c.reset()
		}
	}
	e.world.after(restartAfter, func() {
		if !e.alive {
			e.begin()
		}
	})
}

// start executes a request at most once by its stream.
func (e *engine) start(name, key string, c *conn) bool {
	if _, ok := e.works[name]; ok {
		return false
	}
	content := contentOf(key)
	e.world.record(promise.Event{Kind: promise.Execute, Upstream: e.name, Workspace: space, Key: key, Stream: name, SentHash: hashOf(content)})
	x := &work{content: content, conns: []*conn{c}}
	e.works[name] = x
	if e.world.kind == call {
		e.do(callTime*e.pace, func() { c.reply(content) })
		return true
	}
	e.do(frameTime*e.pace, func() { e.generate(name, x) })
	return true
}

func (e *engine) generate(name string, x *work) {
	x.made++
	for _, c := range x.conns {
		c.push(name, x)
	}
	if x.made < frames {
		e.do(frameTime*e.pace, func() { e.generate(name, x) })
	}
}

// conn is a connection from an entry to an engine.
type conn struct {
	owner *attempt
	// next is the frame to send next.
	next int
	// silent says that nothing comes through any more.
	silent bool
	// held delays all frames until a time.
	held   time.Duration
	closed bool
	inbox  []claims.Event
	texts  []string
}

// push sends what the connection lacks, damaged where a fault says so.
func (c *conn) push(name string, x *work) {
	for ; c.next < x.made; c.next++ {
		offset := c.next * frameBytes
		text := x.content[offset : offset+frameBytes]
		f := claims.Frame{Stream: name, Offset: int64(offset), Length: frameBytes, End: c.next == frames-1}
		c.damaged(f, text)
	}
}

// damaged delivers one frame as the next fault of a frame has it.
func (c *conn) damaged(f claims.Frame, text string) {
	w := c.owner.daemon.world
	what := none
	if c.owner.subject() {
		what = take(&w.taint.frame)
	}
	switch what {
	case silent:
		c.silent = true
		return
	case late:
		c.held = w.now() + lateBy
	case crossed:
		other := f
		other.Stream = "of-another"
		c.deliver(other, "xxxxxxxx")
	case doubled:
		c.deliver(f, text)
	case truncated:
		f.Length, f.End = frameBytes/2, false
		text = text[:frameBytes/2]
	}
	c.deliver(f, text)
}

func (c *conn) deliver(f claims.Frame, text string) {
	c.arrive(claims.Event{Kind: claims.FrameRead, Frame: f}, text)
}

// reply sends a plain service's whole reply, which may be late or cut.
func (c *conn) reply(content string) {
	w := c.owner.daemon.world
	if !c.owner.subject() || w.taint.frame == crossed || w.taint.frame == doubled {
		c.arrive(claims.Event{Kind: claims.Replied, Length: int64(len(content))}, content)
		return
	}
	switch take(&w.taint.frame) {
	case late:
		c.held = c.owner.daemon.world.now() + lateBy
	case truncated:
		c.reset()
		return
	case silent:
		c.silent = true
	}
	c.arrive(claims.Event{Kind: claims.Replied, Length: int64(len(content))}, content)
}

// reset ends the connection as a dead peer does.
func (c *conn) reset() { c.arrive(claims.Event{Kind: claims.ConnectionLost}, "") }

func (c *conn) arrive(e claims.Event, text string) {
	if c.silent {
		return
	}
	p := &c.owner.daemon.process
	wait := max(hop, c.held-p.world.now())
	p.do(wait, func() {
		c.inbox = append(c.inbox, e)
		c.texts = append(c.texts, text)
		c.owner.poll(c)
	})
}
