package matrix

import (
	"time"

	"github.com/verbenastep/verbenastep/core/claims"
	"github.com/verbenastep/verbenastep/core/promise"
)

const (
	// callerPatience is how long a caller waits on an entry that says nothing.
	callerPatience = 2500 * time.Millisecond
	// maxSends bounds a caller's resends.
	maxSends = 12
)

// caller sends one request, and sends it again under its key to another entry
// whenever it loses the answer.
type caller struct {
	world *world
	key   string
	tier  int
	entry int
	sends int
	ended bool
	born  time.Duration
	at    time.Duration
	// with is the entry asked last.
	with *daemon
	// failure is how the request ended, where not whole.
	failure *claims.Failure
}

func (c *caller) send() {
	if c.ended || c.sends >= maxSends {
		return
	}
	c.sends++
	c.leave()
	d := c.world.daemons[c.entry]
	c.entry = (c.entry + 1) % len(c.world.daemons)
	sent := c.sends
	if !d.alive || d.closed {
		c.world.after(retryPause, c.send)
		return
	}
	c.with = d
	c.world.after(hop, func() {
		if d.reachable() {
			d.resume(d.run, func() { d.accept(c, sent) })
		}
	})
	c.watch(d, sent)
}

// leave closes the connection to the entry asked before, which ends what it
// does for this caller alone.
func (c *caller) leave() {
	if c.with != nil && c.with.alive && c.sends > 1 {
		c.world.record(promise.Event{Kind: promise.Refuse, Daemon: c.with.name, Workspace: space, Key: c.key, Code: "canceled", Ran: string(claims.MayHaveRun)})
	}
	c.with = nil
}

// watch sends again where the entry's heartbeats cease.
func (c *caller) watch(d *daemon, sent int) {
	c.world.after(callerPatience, func() {
		switch {
		case c.ended || c.sends != sent:
		case d.serving(c):
			c.watch(d, sent)
		default:
			c.send()
		}
	})
}

// lost tells the caller that its connection broke.
func (c *caller) lost(sent int) {
	if c.sends == sent {
		c.world.after(hop, c.send)
	}
}

// answered gives the caller the whole answer.
func (c *caller) answered(d *daemon, sent int, name, text string) {
	if c.ended || c.sends != sent {
		return
	}
	c.end()
	c.world.record(promise.Event{Kind: promise.Answer, Daemon: d.name, Workspace: space, Key: c.key, Stream: name, Complete: true, ReceivedHash: hashOf(text)})
}

// refused gives the caller a failure.
func (c *caller) refused(d *daemon, sent int, f claims.Failure) {
	if c.ended || c.sends != sent {
		return
	}
	c.end()
	c.failure = &f
	code := string(f.Code)
	if f.Code == claims.KeyConflict {
		code = "conflict"
	}
	c.world.record(promise.Event{Kind: promise.Refuse, Daemon: d.name, Workspace: space, Key: c.key, Code: code, Ran: string(f.Ran)})
}

func (c *caller) end() {
	c.ended = true
	c.at = c.world.now()
}
