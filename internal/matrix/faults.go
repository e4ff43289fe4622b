package matrix

import (
	"fmt"
	"time"

	"github.com/verbenastep/verbenastep/core/claims"
	"github.com/verbenastep/verbenastep/core/promise"
)

// step is a column of the table: a point on the path of the subject request.
type step string

// Steps in order. A fault is injected as the entry is about to do what the step
// names; for steps that end in "sent", 1.5 message delays later.
const (
	stepAccept       step = "accept"
	stepQueue        step = "queue"
	stepQueueSent    step = "queue sent"
	stepGrant        step = "grant"
	stepClaim        step = "claim"
	stepClaimSent    step = "claim sent"
	stepDispatch     step = "dispatch"
	stepDispatchSent step = "dispatch sent"
	stepStream       step = "stream"
	stepFinish       step = "finish"
)

func requestSteps() []step {
	return []step{stepAccept, stepQueue, stepQueueSent, stepGrant, stepClaim, stepClaimSent, stepDispatch, stepDispatchSent, stepStream, stepFinish}
}

// streamStepFrame is the number of frames delivered before the step "stream".
const streamStepFrame = 8

// reportStep calls onStep for the step that an effect belongs to.
func (a *attempt) reportStep(f claims.Effect) {
	w := a.daemon.sim
	later := func(s step) {
		w.after(messageDelay+messageDelay/2, func() { w.onStep(s, a) })
	}
	switch f.Kind {
	case claims.Lookup:
		w.onStep(stepAccept, a)
	case claims.Acquire:
		w.onStep(stepQueue, a)
		later(stepQueueSent)
	case claims.Dial:
		w.onStep(stepGrant, a)
	case claims.Propose:
		w.onStep(stepClaim, a)
		later(stepClaimSent)
	case claims.Send:
		w.onStep(stepDispatch, a)
		later(stepDispatchSent)
	case claims.Deliver:
		if a.text.Len() == streamStepFrame*frameBytes {
			w.onStep(stepStream, a)
		}
	case claims.End:
		w.onStep(stepFinish, a)
	}
}

// fault is a row of the table.
type fault struct {
	name string
	// bound is the longest time from the fault until every caller has its result.
	bound time.Duration
	// inject causes the fault at the subject's attempt.
	inject func(w *simulation, a *attempt)
}

const (
	// processLossBound is the target of 3 s for the loss of any one process, plus
	// the time of one request.
	processLossBound = 3*time.Second + answerBound
	// pauseDuration is how long a paused process stays paused, partitionDuration
	// how long a daemon stays partitioned.
	pauseDuration     = 5 * time.Second
	partitionDuration = 20 * time.Second
	// stragglerSlowdown is the factor by which a straggler is slower.
	stragglerSlowdown = 10
	// burstSize is the number of requests in a burst.
	burstSize = 40
	// answerBound bounds one request without faults.
	answerBound = 600 * time.Millisecond
)

// burstServiceTime is the time in which the engines serve a burst.
const burstServiceTime = burstSize/(2*upstreamSlots)*answerBound + answerBound

// faults returns the rows. The loss of a process must be repaired within 3 s.
// Faults visible only by silence add the idle timeout that detects them; for a
// plain service call, which may be silent until its reply, that is the request
// timeout. A straggler keeps its requests, which take longer by its slowdown.
func faults() []fault {
	return []fault{
		{"entry dies", processLossBound, func(_ *simulation, a *attempt) { a.daemon.crash() }},
		{"dispatcher dies", processLossBound, atDispatcher(func(d *daemon) { d.crash() })},
		{"log leader dies", processLossBound, func(w *simulation, _ *attempt) { w.log.loseLeader() }},
		{"log leader dies after a commit", processLossBound, func(w *simulation, _ *attempt) { w.log.losesNextReply = true }},
		{"upstream dies", processLossBound, func(w *simulation, a *attempt) { w.engineOf(a).crash() }},
		{"dispatcher cut off silently", processLossBound + sessionTimeout, atDispatcher(func(d *daemon) { d.sim.partition(d) })},
		{"entry cut off silently", processLossBound + entryIdleTimeout, func(w *simulation, a *attempt) { w.partition(a.daemon) }},
		{"entry paused", processLossBound + entryIdleTimeout, func(w *simulation, a *attempt) { a.daemon.pause() }},
		{"dispatcher paused", processLossBound + sessionTimeout, atDispatcher(func(d *daemon) { d.pause() })},
		{"straggler", stragglerSlowdown * answerBound, func(w *simulation, a *attempt) { w.engineOf(a).slowdown = stragglerSlowdown }},
		{"burst", burstServiceTime + answerBound, func(w *simulation, _ *attempt) { w.sendBurst() }},
		{"caller sends again", answerBound + answerBound, func(w *simulation, _ *attempt) { w.subject.send() }},
		{"connection silent for good", requestTimeout + answerBound, silenceConnection},
		{"frame late", lateFrameDelay + answerBound, func(w *simulation, _ *attempt) { w.pendingDamage.frame = damageLate }},
		{"frame of another answer", 2 * answerBound, func(w *simulation, _ *attempt) { w.pendingDamage.frame = damageForeign }},
		{"frame doubled", 2 * answerBound, func(w *simulation, _ *attempt) { w.pendingDamage.frame = damageDuplicated }},
		{"frame truncated", 2 * answerBound, func(w *simulation, _ *attempt) { w.pendingDamage.frame = damageTruncated }},
		{"message lost", sessionTimeout + 2*answerBound, func(w *simulation, a *attempt) {
			w.pendingDamage.linkMessage, w.pendingDamage.link = damageLost, a.daemon
		}},
		{"message doubled", 2 * answerBound, func(w *simulation, a *attempt) {
			w.pendingDamage.linkMessage, w.pendingDamage.link = damageDuplicated, a.daemon
		}},
		{"messages reordered", 2 * answerBound, func(w *simulation, a *attempt) {
			w.pendingDamage.linkMessage, w.pendingDamage.link = damageReordered, a.daemon
		}},
		{"upstream leaves", 2 * answerBound, func(w *simulation, a *attempt) { w.drainUpstream(w.engineOf(a)) }},
	}
}

// atDispatcher returns an injection at the current dispatcher. It sets
// noDispatcher if there is none, as between two holders of the lease.
func atDispatcher(do func(*daemon)) func(*simulation, *attempt) {
	return func(w *simulation, _ *attempt) {
		d := w.dispatcher()
		if d == nil {
			w.noDispatcher = true
			return
		}
		do(d)
	}
}

// engineOf returns the upstream that serves an attempt, or the first one if
// none was granted yet.
func (w *simulation) engineOf(a *attempt) *engine {
	if name := a.upstream(); name != "" {
		return w.engineAt(name)
	}
	return w.engines[0]
}

// partition cuts a daemon off from all others for partitionDuration.
func (w *simulation) partition(d *daemon) {
	d.partitionedUntil, d.unreachableSince = w.now()+partitionDuration, w.now()
	w.recordEvent(promise.Event{Kind: promise.Partitioned, Daemon: d.name})
}

// pause suspends a daemon for pauseDuration.
func (d *daemon) pause() {
	d.pausedUntil, d.unreachableSince = d.sim.now()+pauseDuration, d.sim.now()
}

func (w *simulation) drainUpstream(e *engine) {
	e.isLeaving = true
	w.recordEvent(promise.Event{Kind: promise.Leave, Upstream: e.name})
	for _, d := range w.daemons {
		if d.host != nil {
			d.host.scheduler.leave(w.now(), e)
		}
	}
}

// sendBurst sends burstSize requests of a lower tier.
func (w *simulation) sendBurst() {
	for range burstSize {
		c := &caller{sim: w, key: fmt.Sprintf("bulk-%d", len(w.otherCallers)), tier: burstTier, nextEntry: len(w.otherCallers) % len(w.daemons), createdAt: w.now()}
		w.otherCallers = append(w.otherCallers, c)
		c.send()
	}
}

// silenceConnection stops delivery on the subject's connection, or on its next
// one if it has none yet.
func silenceConnection(w *simulation, a *attempt) {
	if a.connection != nil {
		a.connection.isSilent = true
		return
	}
	w.pendingDamage.frame = damageSilent
}
