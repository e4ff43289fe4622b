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
	sim := a.daemon.sim
	later := func(s step) {
		sim.after(messageDelay+messageDelay/2, func() { sim.onStep(s, a) })
	}
	switch f.Kind {
	case claims.Lookup:
		sim.onStep(stepAccept, a)
	case claims.Acquire:
		sim.onStep(stepQueue, a)
		later(stepQueueSent)
	case claims.Dial:
		sim.onStep(stepGrant, a)
	case claims.Propose:
		sim.onStep(stepClaim, a)
		later(stepClaimSent)
	case claims.Send:
		sim.onStep(stepDispatch, a)
		later(stepDispatchSent)
	case claims.Deliver:
		if a.text.Len() == streamStepFrame*frameBytes {
			sim.onStep(stepStream, a)
		}
	case claims.End:
		sim.onStep(stepFinish, a)
	}
}

// fault is a row of the table.
type fault struct {
	name string
	// bound is the longest time from the fault until every caller has its result.
	bound time.Duration
	// inject causes the fault at the subject's attempt.
	inject func(sim *simulation, a *attempt)
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
		{"log leader dies", processLossBound, func(sim *simulation, _ *attempt) { sim.log.loseLeader() }},
		{"log leader dies after a commit", processLossBound, func(sim *simulation, _ *attempt) { sim.log.losesNextReply = true }},
		{"upstream dies", processLossBound, func(sim *simulation, a *attempt) { sim.engineOf(a).crash() }},
		{"dispatcher cut off silently", processLossBound + sessionTimeout, atDispatcher(func(d *daemon) { d.sim.partition(d) })},
		{"entry cut off silently", processLossBound + entryIdleTimeout, func(sim *simulation, a *attempt) { sim.partition(a.daemon) }},
		{"entry paused", processLossBound + entryIdleTimeout, func(sim *simulation, a *attempt) { a.daemon.pause() }},
		{"dispatcher paused", processLossBound + sessionTimeout, atDispatcher(func(d *daemon) { d.pause() })},
		{"straggler", stragglerSlowdown * answerBound, func(sim *simulation, a *attempt) { sim.engineOf(a).slowdown = stragglerSlowdown }},
		{"burst", burstServiceTime + answerBound, func(sim *simulation, _ *attempt) { sim.sendBurst() }},
		{"caller sends again", answerBound + answerBound, func(sim *simulation, _ *attempt) { sim.subject.send() }},
		{"connection silent for good", requestTimeout + answerBound, silenceConnection},
		{"frame late", lateFrameDelay + answerBound, func(sim *simulation, _ *attempt) { sim.pendingDamage.frame = damageLate }},
		{"frame of another answer", 2 * answerBound, func(sim *simulation, _ *attempt) { sim.pendingDamage.frame = damageForeign }},
		{"frame doubled", 2 * answerBound, func(sim *simulation, _ *attempt) { sim.pendingDamage.frame = damageDuplicated }},
		{"frame truncated", 2 * answerBound, func(sim *simulation, _ *attempt) { sim.pendingDamage.frame = damageTruncated }},
		{"message lost", sessionTimeout + 2*answerBound, func(sim *simulation, a *attempt) {
			sim.pendingDamage.linkMessage, sim.pendingDamage.link = damageLost, a.daemon
		}},
		{"message doubled", 2 * answerBound, func(sim *simulation, a *attempt) {
			sim.pendingDamage.linkMessage, sim.pendingDamage.link = damageDuplicated, a.daemon
		}},
		{"messages reordered", 2 * answerBound, func(sim *simulation, a *attempt) {
			sim.pendingDamage.linkMessage, sim.pendingDamage.link = damageReordered, a.daemon
		}},
		{"upstream leaves", 2 * answerBound, func(sim *simulation, a *attempt) { sim.drainUpstream(sim.engineOf(a)) }},
	}
}

// atDispatcher returns an injection at the current dispatcher. It sets
// noDispatcher if there is none, as between two holders of the lease.
func atDispatcher(do func(*daemon)) func(*simulation, *attempt) {
	return func(sim *simulation, _ *attempt) {
		d := sim.dispatcher()
		if d == nil {
			sim.noDispatcher = true
			return
		}
		do(d)
	}
}

// engineOf returns the upstream that serves an attempt, or the first one if
// none was granted yet.
func (sim *simulation) engineOf(a *attempt) *engine {
	if name := a.upstream(); name != "" {
		return sim.engineAt(name)
	}
	return sim.engines[0]
}

// partition cuts a daemon off from all others for partitionDuration.
func (sim *simulation) partition(d *daemon) {
	d.partitionedUntil, d.unreachableSince = sim.now()+partitionDuration, sim.now()
	sim.recordEvent(promise.Event{Kind: promise.Partitioned, Daemon: d.name})
}

// pause suspends a daemon for pauseDuration.
func (d *daemon) pause() {
	d.pausedUntil, d.unreachableSince = d.sim.now()+pauseDuration, d.sim.now()
}

func (sim *simulation) drainUpstream(e *engine) {
	e.isLeaving = true
	sim.recordEvent(promise.Event{Kind: promise.Leave, Upstream: e.name})
	for _, d := range sim.daemons {
		if d.host != nil {
			d.host.scheduler.leave(sim.now(), e)
		}
	}
}

// sendBurst sends burstSize requests of a lower tier.
func (sim *simulation) sendBurst() {
	for range burstSize {
		c := &caller{sim: sim, key: fmt.Sprintf("bulk-%d", len(sim.otherCallers)), tier: burstTier, nextEntry: len(sim.otherCallers) % len(sim.daemons), createdAt: sim.now()}
		sim.otherCallers = append(sim.otherCallers, c)
		c.send()
	}
}

// silenceConnection stops delivery on the subject's connection, or on its next
// one if it has none yet.
func silenceConnection(sim *simulation, a *attempt) {
	if a.connection != nil {
		a.connection.isSilent = true
		return
	}
	sim.pendingDamage.frame = damageSilent
}
