package matrix

import (
	"fmt"
	"time"

	"github.com/verbenastep/verbenastep/core/claims"
	"github.com/verbenastep/verbenastep/core/promise"
)

// step is a column: a point on the path of the subject's request.
type step string

// Steps, in their order. Each fault strikes as the entry is about to do what
// the step names; the steps that end in "sent" are a message's time later.
const (
	atAccept       step = "accept"
	atQueue        step = "queue"
	atQueueSent    step = "queue sent"
	atGrant        step = "grant"
	atClaim        step = "claim"
	atClaimSent    step = "claim sent"
	atDispatch     step = "dispatch"
	atDispatchSent step = "dispatch sent"
	atStream       step = "stream"
	atFinish       step = "finish"
)

func steps() []step {
	return []step{atAccept, atQueue, atQueueSent, atGrant, atClaim, atClaimSent, atDispatch, atDispatchSent, atStream, atFinish}
}

// streamAt is the frame before which the step "stream" lies.
const streamAt = 8

// mark tells the hook which step an effect belongs to.
func (a *attempt) mark(f claims.Effect) {
	w := a.daemon.world
	later := func(s step) {
		w.after(hop+hop/2, func() { w.hook(s, a) })
	}
	switch f.Kind {
	case claims.Lookup:
		w.hook(atAccept, a)
	case claims.Acquire:
		w.hook(atQueue, a)
		later(atQueueSent)
	case claims.Dial:
		w.hook(atGrant, a)
	case claims.Propose:
		w.hook(atClaim, a)
		later(atClaimSent)
	case claims.Send:
		w.hook(atDispatch, a)
		later(atDispatchSent)
	case claims.Deliver:
		if a.text.Len() == streamAt*frameBytes {
			w.hook(atStream, a)
		}
	case claims.End:
		w.hook(atFinish, a)
	}
}

// fault is a row.
type fault struct {
	name string
	// bound is the longest time from the fault until every caller has its end.
	bound time.Duration
	// strike brings it about at the subject's attempt.
	strike func(w *world, a *attempt)
}

const (
	// processBound is the target for the loss of any one process, 3 s, and a
	// request's own time.
	processBound = 3*time.Second + answerTime
	// pauseTime is how long a paused process stands still, cutTime how long a
	// daemon stays cut off.
	pauseTime = 5 * time.Second
	cutTime   = 20 * time.Second
	// slowdown is a straggler's.
	slowdown = 10
	// burstSize is how many requests a burst brings.
	burstSize = 40
	// answerTime bounds one undisturbed request.
	answerTime = 600 * time.Millisecond
)

// burstTime is the time in which the engines serve a burst.
const burstTime = burstSize/(2*slots)*answerTime + answerTime

// faults lists the rows. Bounds: the loss of a process is made good within 3 s;
// what shows only by silence takes the silence's time more, and for a plain
// call, which may be long without a sign of life, the request's; a straggler
// keeps what it has and takes as much longer as it is slower.
func faults() []fault {
	return []fault{
		{"entry dies", processBound, func(_ *world, a *attempt) { a.daemon.crash() }},
		{"dispatcher dies", processBound, atDispatcher(func(d *daemon) { d.crash() })},
		{"log leader dies", processBound, func(w *world, _ *attempt) { w.log.loseLeader() }},
		{"log leader dies after a commit", processBound, func(w *world, _ *attempt) { w.log.swallow = true }},
		{"upstream dies", processBound, func(w *world, a *attempt) { w.engineOf(a).crash() }},
		{"dispatcher cut off silently", processBound + sessionSilence, atDispatcher(func(d *daemon) { d.world.isolate(d) })},
		{"entry cut off silently", processBound + callerPatience, func(w *world, a *attempt) { w.isolate(a.daemon) }},
		{"entry paused", processBound + callerPatience, func(w *world, a *attempt) { a.daemon.pause() }},
		{"dispatcher paused", processBound + sessionSilence, atDispatcher(func(d *daemon) { d.pause() })},
		{"straggler", slowdown * answerTime, func(w *world, a *attempt) { w.engineOf(a).pace = slowdown }},
		{"burst", burstTime + answerTime, func(w *world, _ *attempt) { w.burst() }},
		{"caller sends again", answerTime + answerTime, func(w *world, _ *attempt) { w.subject.send() }},
		{"connection silent for good", requestTime + answerTime, silenced},
		{"frame late", lateBy + answerTime, func(w *world, _ *attempt) { w.taint.frame = late }},
		{"frame of another answer", 2 * answerTime, func(w *world, _ *attempt) { w.taint.frame = crossed }},
		{"frame doubled", 2 * answerTime, func(w *world, _ *attempt) { w.taint.frame = doubled }},
		{"frame truncated", 2 * answerTime, func(w *world, _ *attempt) { w.taint.frame = truncated }},
		{"message lost", sessionSilence + 2*answerTime, func(w *world, a *attempt) { w.taint.message, w.taint.link = lost, a.daemon }},
		{"message doubled", 2 * answerTime, func(w *world, a *attempt) { w.taint.message, w.taint.link = doubled, a.daemon }},
		{"messages reordered", 2 * answerTime, func(w *world, a *attempt) { w.taint.message, w.taint.link = reordered, a.daemon }},
		{"upstream leaves", 2 * answerTime, func(w *world, a *attempt) { w.leave(w.engineOf(a)) }},
	}
}

// atDispatcher strikes whoever dispatches; between two of them nobody does.
func atDispatcher(do func(*daemon)) func(*world, *attempt) {
	return func(w *world, _ *attempt) {
		d := w.dispatcher()
		if d == nil {
			w.missed = true
			return
		}
		do(d)
	}
}

// engineOf is the upstream that serves an attempt, or the one it will likely
// get.
func (w *world) engineOf(a *attempt) *engine {
	if name := a.upstream(); name != "" {
		return w.engineAt(name)
	}
	return w.engines[0]
}

// isolate cuts a daemon off from everyone for a long time.
func (w *world) isolate(d *daemon) {
	d.cut, d.lost = w.now()+cutTime, w.now()
	w.record(promise.Event{Kind: promise.Partitioned, Daemon: d.name})
}

// pause stops a daemon's process for a while.
func (d *daemon) pause() {
	d.paused, d.lost = d.world.now()+pauseTime, d.world.now()
}

func (w *world) leave(e *engine) {
	e.leaving = true
	w.record(promise.Event{Kind: promise.Leave, Upstream: e.name})
	for _, d := range w.daemons {
		if d.host != nil {
			d.host.core.leave(w.now(), e)
		}
	}
}

// burst brings many requests of a lower tier.
func (w *world) burst() {
	for range burstSize {
		c := &caller{world: w, key: fmt.Sprintf("bulk-%d", len(w.others)), tier: bulkTier, entry: len(w.others) % len(w.daemons), born: w.now()}
		w.others = append(w.others, c)
		c.send()
	}
}

// silenced makes the subject's connection carry nothing any more; where it has
// none yet, the next one.
func silenced(w *world, a *attempt) {
	if a.conn != nil {
		a.conn.silent = true
		return
	}
	w.taint.frame = silent
}
