package matrix

import (
	"time"

	"github.com/verbenastep/verbenastep/core/claims"
	"github.com/verbenastep/verbenastep/core/promise"
)

const (
	// entryIdleTimeout is how long a caller waits for an entry from which nothing
	// arrives.
	entryIdleTimeout = 2500 * time.Millisecond
	// maxSends bounds how often a caller sends its request.
	maxSends = 12
)

// caller sends one request, and resends it under the same key to the next entry
// whenever it loses the answer.
type caller struct {
	sim       *simulation
	key       string
	tier      int
	nextEntry int
	sendCount int
	hasEnded  bool
	createdAt time.Duration
	endedAt   time.Duration
	// currentEntry is the entry to which the request was last sent.
	currentEntry *daemon
	// failure is set if the request ended with an error.
	failure *claims.Failure
}

func (c *caller) send() {
	if c.hasEnded || c.sendCount >= maxSends {
		return
	}
	c.sendCount++
	c.disconnect()
	d := c.sim.daemons[c.nextEntry]
	c.nextEntry = (c.nextEntry + 1) % len(c.sim.daemons)
	sent := c.sendCount
	if !d.isAlive || d.isClosed {
		c.sim.after(retryDelay, c.send)
		return
	}
	c.currentEntry = d
	c.sim.after(messageDelay, func() {
		if d.isReachable() {
			d.runWhenActive(d.generation, func() { d.accept(c, sent) })
		}
	})
	c.watchEntry(d, sent)
}

// disconnect closes the connection to the previous entry, which cancels work
// done for this caller alone.
func (c *caller) disconnect() {
	if c.currentEntry != nil && c.currentEntry.isAlive && c.sendCount > 1 {
		c.sim.recordEvent(promise.Event{Kind: promise.Refuse, Daemon: c.currentEntry.name, Workspace: workspaceName, Key: c.key, Code: "canceled", Ran: string(claims.MayHaveRun)})
	}
	c.currentEntry = nil
}

// watchEntry resends the request when the entry's heartbeats stop.
func (c *caller) watchEntry(d *daemon, sent int) {
	c.sim.after(entryIdleTimeout, func() {
		switch {
		case c.hasEnded || c.sendCount != sent:
		case d.isServing(c):
			c.watchEntry(d, sent)
		default:
			c.send()
		}
	})
}

// handleConnectionLoss resends the request after its connection broke.
func (c *caller) handleConnectionLoss(sent int) {
	if c.sendCount == sent {
		c.sim.after(messageDelay, c.send)
	}
}

// handleAnswer ends the request with the whole answer.
func (c *caller) handleAnswer(d *daemon, sent int, name, text string) {
	if c.hasEnded || c.sendCount != sent {
		return
	}
	c.complete()
	c.sim.recordEvent(promise.Event{Kind: promise.Answer, Daemon: d.name, Workspace: workspaceName, Key: c.key, Stream: name, Complete: true, ReceivedHash: hashOf(text)})
}

// handleFailure ends the request with a failure.
func (c *caller) handleFailure(d *daemon, sent int, f claims.Failure) {
	if c.hasEnded || c.sendCount != sent {
		return
	}
	c.complete()
	c.failure = &f
	code := string(f.Code)
	if f.Code == claims.KeyConflict {
		code = "conflict"
	}
	c.sim.recordEvent(promise.Event{Kind: promise.Refuse, Daemon: d.name, Workspace: workspaceName, Key: c.key, Code: code, Ran: string(f.Ran)})
}

func (c *caller) complete() {
	c.hasEnded = true
	c.endedAt = c.sim.now()
}
