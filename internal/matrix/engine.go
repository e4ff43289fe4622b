package matrix

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"

	"github.com/verbenastep/verbenastep/core/claims"
	"github.com/verbenastep/verbenastep/core/promise"
)

// Sizes and times of the engines' answers: an answer has answerFrames frames of
// frameBytes bytes each; callDuration is the service time of a plain call.
const (
	answerFrames  = 20
	frameBytes    = 8
	frameInterval = 20 * time.Millisecond
	callDuration  = 100 * time.Millisecond
	upstreamSlots = 4
	// lateFrameDelay delays a late frame beyond streamIdleTimeout, which closes
	// the connection.
	lateFrameDelay = streamIdleTimeout + 500*time.Millisecond
)

// answerTo returns the whole answer to a request.
func answerTo(key string) string {
	sum := sha256.Sum256([]byte(key))
	return strings.Repeat(hex.EncodeToString(sum[:]), 3)[:answerFrames*frameBytes]
}

func hashOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:4])
}

// execution is one request dispatched to an engine.
type execution struct {
	answer      string
	frameCount  int
	connections []*connection
}

// engine emulates an upstream: a runner or a plain service, depending on the
// simulation's kind of request. slowdown is the factor on its service times.
type engine struct {
	process
	incarnation uint64
	slowdown    time.Duration
	isLeaving   bool
	executions  map[string]*execution
}

func newEngine(sim *simulation, name string) *engine {
	e := &engine{process: process{sim: sim, name: name}, slowdown: 1}
	e.join()
	return e
}

func (e *engine) join() {
	e.isAlive = true
	e.incarnation++
	e.executions = map[string]*execution{}
	e.sim.recordEvent(promise.Event{Kind: promise.Join, Upstream: e.name})
}

func (e *engine) crash() {
	executions := e.executions
	e.terminate()
	for _, x := range executions {
		for _, c := range x.connections {
			c.reset()
		}
	}
	e.sim.after(restartDelay, func() {
		if !e.isAlive {
			e.join()
		}
	})
}

// execute starts a request unless its stream was started before.
func (e *engine) execute(name, key string, c *connection) bool {
	if _, ok := e.executions[name]; ok {
		return false
	}
	content := answerTo(key)
	e.sim.recordEvent(promise.Event{Kind: promise.Execute, Upstream: e.name, Workspace: workspaceName, Key: key, Stream: name, SentHash: hashOf(content)})
	x := &execution{answer: content, connections: []*connection{c}}
	e.executions[name] = x
	if e.sim.requestKind == serviceCall {
		e.runAfter(callDuration*e.slowdown, func() { c.sendReply(content) })
		return true
	}
	e.runAfter(frameInterval*e.slowdown, func() { e.generate(name, x) })
	return true
}

func (e *engine) generate(name string, x *execution) {
	x.frameCount++
	for _, c := range x.connections {
		c.sendNewFrames(name, x)
	}
	if x.frameCount < answerFrames {
		e.runAfter(frameInterval*e.slowdown, func() { e.generate(name, x) })
	}
}

// connection is a connection from an entry to an engine.
type connection struct {
	owner *attempt
	// nextFrame is the number of the next frame to send.
	nextFrame int
	// isSilent is set when nothing arrives on the connection any more.
	isSilent bool
	// heldUntil is the time until which all frames are delayed.
	heldUntil time.Duration
	isClosed  bool
	inbox     []claims.Event
	texts     []string
}

// sendNewFrames sends the frames that the connection has not carried yet.
func (c *connection) sendNewFrames(name string, x *execution) {
	for ; c.nextFrame < x.frameCount; c.nextFrame++ {
		offset := c.nextFrame * frameBytes
		text := x.answer[offset : offset+frameBytes]
		f := claims.Frame{Stream: name, Offset: int64(offset), Length: frameBytes, End: c.nextFrame == answerFrames-1}
		c.deliverDamaged(f, text)
	}
}

// deliverDamaged delivers one frame with the planned damage applied.
func (c *connection) deliverDamaged(f claims.Frame, text string) {
	sim := c.owner.daemon.sim
	kind := damageNone
	if c.owner.isSubject() {
		kind = consume(&sim.pendingDamage.frame)
	}
	switch kind {
	case damageSilent:
		c.isSilent = true
		return
	case damageLate:
		c.heldUntil = sim.now() + lateFrameDelay
	case damageForeign:
		other := f
		other.Stream = "of-another"
		c.deliverFrame(other, "xxxxxxxx")
	case damageDuplicated:
		c.deliverFrame(f, text)
	case damageTruncated:
		f.Length, f.End = frameBytes/2, false
		text = text[:frameBytes/2]
	}
	c.deliverFrame(f, text)
}

func (c *connection) deliverFrame(f claims.Frame, text string) {
	c.receive(claims.Event{Kind: claims.FrameRead, Frame: f}, text)
}

// sendReply sends the whole reply of a plain service with the planned damage
// applied.
func (c *connection) sendReply(content string) {
	sim := c.owner.daemon.sim
	if !c.owner.isSubject() || sim.pendingDamage.frame == damageForeign || sim.pendingDamage.frame == damageDuplicated {
		c.receive(claims.Event{Kind: claims.Replied, Length: int64(len(content))}, content)
		return
	}
	switch consume(&sim.pendingDamage.frame) {
	case damageLate:
		c.heldUntil = c.owner.daemon.sim.now() + lateFrameDelay
	case damageTruncated:
		c.reset()
		return
	case damageSilent:
		c.isSilent = true
	}
	c.receive(claims.Event{Kind: claims.Replied, Length: int64(len(content))}, content)
}

// reset ends the connection as the failure of its peer does.
func (c *connection) reset() { c.receive(claims.Event{Kind: claims.ConnectionLost}, "") }

func (c *connection) receive(e claims.Event, text string) {
	if c.isSilent {
		return
	}
	p := &c.owner.daemon.process
	wait := max(messageDelay, c.heldUntil-p.sim.now())
	p.runAfter(wait, func() {
		c.inbox = append(c.inbox, e)
		c.texts = append(c.texts, text)
		c.owner.deliverNext(c)
	})
}
