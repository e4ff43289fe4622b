package matrix

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/verbenastep/verbenastep/core/claims"
	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/core/sched"
	"github.com/verbenastep/verbenastep/core/state"
)

// waiter is a caller's connection to an entry; sendNumber says which of its
// sends opened it.
type waiter struct {
	caller     *caller
	sendNumber int
}

// attemptResult is the answer or the failure with which an attempt ended.
type attemptResult struct {
	failure *claims.Failure
	stream  string
	text    string
}

// attempt performs the effects of the state machine of one request at one
// entry.
type attempt struct {
	daemon      *daemon
	key         string
	tier        int
	machine     *claims.Machine
	waiters     []waiter
	connection  *connection
	stream      string
	text        strings.Builder
	frame       string
	offerNumber uint64
	result      *attemptResult
	// deadline is the time at which the caller stops waiting.
	deadline     time.Duration
	receiveCount int
	// isReceiving is set while the machine waits for an event of the connection.
	isReceiving bool
}

func newAttempt(d *daemon, c *caller) *attempt {
	name := fmt.Sprintf("%s-%d-%d", d.name, d.generation, d.attemptCount)
	a := &attempt{daemon: d, key: c.key, tier: c.tier, deadline: d.sim.now() + requestTimeout, machine: claims.NewMachine(claims.Request{
		Workspace: workspaceName, Key: c.key, Keyed: true, PlainService: d.sim.requestKind == serviceCall, Digest: c.key, Pool: poolName, Stream: name, Entry: d.name,
	})}
	d.runAfter(requestTimeout, func() { a.step(claims.Event{Kind: claims.Expired}) })
	return a
}

func (a *attempt) isSubject() bool {
	return a.daemon.sim.subject != nil && a.key == a.daemon.sim.subject.key
}

func sortedAttempts(m map[string]*attempt) []*attempt {
	out := []*attempt{}
	for _, a := range m {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *attempt) int { return cmp.Compare(a.key, b.key) })
	return out
}

func (a *attempt) step(e claims.Event) {
	for _, f := range a.machine.Step(e) {
		if a.isSubject() {
			a.reportStep(f)
		}
		if !a.daemon.isAlive {
			return
		}
		if f.Delayed {
			a.daemon.runAfter(retryDelay, func() { a.perform(f) })
			continue
		}
		a.perform(f)
	}
}

// perform executes one effect.
func (a *attempt) perform(f claims.Effect) {
	d := a.daemon
	switch f.Kind {
	case claims.Lookup:
		d.sim.log.lookup(&d.process, a.key, func(c state.Claim, ok bool) {
			kind := claims.NotFound
			if ok {
				kind = claims.Found
			}
			a.step(claims.Event{Kind: kind, Claim: c})
		})
	case claims.Acquire:
		d.session.offer(a)
	case claims.Dial:
		a.dial(f.Address)
	case claims.Propose:
		d.sim.log.propose(&d.process, state.Command{Claim: &f.Claim}, a.handleClaimResult)
	case claims.Send:
		a.send(f.Stream)
	case claims.Receive:
		a.receive()
	case claims.Resume:
		a.resume(f)
	case claims.Fetch:
		a.fetch(f)
	case claims.Dispatched:
		a.stream = f.Stream
	case claims.Deliver:
		a.text.WriteString(a.frame)
	case claims.CloseConnection:
		a.closeConnection()
	case claims.Release:
		d.session.release(a, slotOutcomes[f.Slot])
	case claims.Finish:
		a.finish(f.Finish)
	case claims.ResolveClaim:
		a.resolveClaim(f.Claim)
	case claims.ServeRecorded:
		a.complete(&attemptResult{stream: f.Claim.Stream, text: string(f.Claim.Body)})
	case claims.End:
		a.complete(&attemptResult{stream: a.stream, text: a.text.String()})
	case claims.Fail:
		a.complete(&attemptResult{failure: &f.Failure})
	}
}

// slotOutcomes maps the use of a slot to the outcome reported to the scheduler.
var slotOutcomes = map[claims.Slot]sched.Outcome{
	claims.SlotCompleted:      sched.Completed,
	claims.SlotNotSent:        sched.NotSent,
	claims.SlotCanceled:       sched.Canceled,
	claims.SlotConnectionLost: sched.ConnectionLost,
}

func (a *attempt) handleClaimResult(r state.Result, ok bool) {
	e := claims.Event{Kind: claims.ClaimUnconfirmed}
	if r.Claim != nil {
		e.Claim = *r.Claim
	}
	switch {
	case !ok:
	case r.Status == state.OK:
		e.Kind = claims.ClaimCommitted
	case r.Status == state.Exists:
		e.Kind = claims.ClaimExists
	default:
		e.Kind = claims.ClaimConflict
	}
	a.step(e)
}

func (a *attempt) dial(address string) {
	e := a.daemon.sim.engineAt(address)
	a.daemon.runAfter(2*messageDelay, func() {
		if !e.isReachable() {
			a.step(claims.Event{Kind: claims.Unreachable})
			return
		}
		a.connection = &connection{owner: a}
		a.step(claims.Event{Kind: claims.Connected, Address: address})
	})
}

func (a *attempt) send(name string) {
	sim := a.daemon.sim
	e := sim.engineAt(a.upstream())
	sim.recordEvent(promise.Event{Kind: promise.Dispatch, Daemon: a.daemon.name, Workspace: workspaceName, Key: a.key, Stream: name, Upstream: e.name})
	c := a.connection
	started := false
	a.daemon.send(&e.process, func() { started = e.execute(name, a.key, c) })
	a.daemon.runAfter(2*messageDelay, func() {
		switch {
		case !started:
			a.step(claims.Event{Kind: claims.SendInterrupted})
		case sim.requestKind == streamRequest:
			a.step(claims.Event{Kind: claims.Started})
		default:
			a.receive()
		}
	})
}

// upstream returns the name of the upstream granted last, or an empty string.
func (a *attempt) upstream() string { return a.daemon.session.upstream(a.offerNumber) }

// receive waits for the next event of the connection.
func (a *attempt) receive() {
	a.isReceiving = true
	a.receiveCount++
	number := a.receiveCount
	c := a.connection
	if len(c.inbox) > 0 {
		a.deliverNext(c)
		return
	}
	if a.daemon.sim.requestKind == serviceCall {
		return
	}
	a.daemon.runAfter(streamIdleTimeout, func() {
		if a.isReceiving && a.receiveCount == number {
			a.isReceiving = false
			a.step(claims.Event{Kind: a.connectionLossEvent()})
		}
	})
}

// connectionLossEvent returns the event that reports a lost connection to the
// machine.
func (a *attempt) connectionLossEvent() claims.EventKind {
	if a.daemon.sim.requestKind == serviceCall {
		return claims.SendInterrupted
	}
	return claims.ConnectionLost
}

// deliverNext passes the oldest received event to the machine if it waits for
// one.
func (a *attempt) deliverNext(c *connection) {
	if c != a.connection || c.isClosed || !a.isReceiving || len(c.inbox) == 0 {
		return
	}
	e, text := c.inbox[0], c.texts[0]
	c.inbox, c.texts = c.inbox[1:], c.texts[1:]
	a.isReceiving = false
	a.frame = text
	if e.Kind == claims.ConnectionLost {
		e.Kind = a.connectionLossEvent()
	}
	if e.Kind == claims.Replied {
		a.text.WriteString(text)
	}
	a.step(e)
}

func (a *attempt) closeConnection() {
	a.isReceiving = false
	if a.connection != nil {
		a.connection.isClosed = true
	}
}

// resume reads the rest of a stream from the engine over a new connection.
func (a *attempt) resume(f claims.Effect) {
	e := a.daemon.sim.engineAt(f.Address)
	c := &connection{owner: a, nextFrame: int(f.Offset) / frameBytes}
	a.daemon.runAfter(2*messageDelay, func() {
		x, exists := e.executions[f.Stream]
		switch {
		case !e.isReachable() || a.daemon.partitionedUntil > a.daemon.sim.now():
			a.step(claims.Event{Kind: claims.Unreachable})
		case !exists:
			a.step(claims.Event{Kind: claims.Rejected})
		default:
			a.connection = c
			x.connections = append(x.connections, c)
			a.step(claims.Event{Kind: claims.Started})
			c.sendFrom(f.Stream, x, int(f.Offset))
		}
	})
}

// sendFrom sends the rest of the frame that contains the offset, then the
// frames after it.
func (c *connection) sendFrom(name string, x *execution, offset int) {
	if part := offset % frameBytes; part != 0 && c.nextFrame < x.frameCount {
		end := (c.nextFrame + 1) * frameBytes
		c.deliverFrame(claims.Frame{Stream: name, Offset: int64(offset), Length: int64(end - offset), End: c.nextFrame == answerFrames-1}, x.answer[offset:end])
		c.nextFrame++
	}
	c.sendNewFrames(name, x)
}

// fetch reads the answer from the entry that dispatched the request.
func (a *attempt) fetch(f claims.Effect) {
	owner := a.daemon.sim.daemonAt(f.Address)
	answered := false
	reply := func(e claims.Event, x *attemptResult) {
		if answered {
			return
		}
		answered = true
		if x != nil && x.failure == nil {
			a.text.Reset()
			a.text.WriteString(x.text)
		}
		a.step(e)
	}
	if !owner.isAlive {
		a.daemon.runAfter(2*messageDelay, func() { reply(claims.Event{Kind: owner.fetchFailureEvent()}, nil) })
		return
	}
	a.daemon.send(&owner.process, func() { owner.answerFetch(a, f.Stream, reply) })
	a.watchOwner(owner, owner.generation, reply)
}

// watchOwner ends a fetch when the heartbeats of the owner stop.
func (a *attempt) watchOwner(owner *daemon, generation int, reply func(claims.Event, *attemptResult)) {
	a.daemon.runAfter(fetchIdleTimeout, func() {
		if !owner.isReachable() || owner.generation != generation || owner.pausedUntil > owner.sim.now() || !a.daemon.isReachable() {
			reply(claims.Event{Kind: owner.fetchFailureEvent()}, nil)
			return
		}
		if a.result == nil {
			a.watchOwner(owner, generation, reply)
		}
	})
}

// fetchFailureEvent returns the event for a broken fetch: the owner counts as
// dead only if membership no longer counts it as live.
func (d *daemon) fetchFailureEvent() claims.EventKind {
	if d.isCountedLive() {
		return claims.FetchInterrupted
	}
	return claims.OwnerDead
}

// answerFetch answers a fetch once the owner's own attempt has ended.
func (d *daemon) answerFetch(from *attempt, name string, reply func(claims.Event, *attemptResult)) {
	for _, x := range sortedAttempts(d.attempts) {
		if x.stream == name && x.key == from.key {
			x.onEnd(func() {
				d.send(&from.daemon.process, func() {
					kind := claims.Fetched
					if x.result.failure != nil {
						kind = claims.FetchFailed
					}
					reply(claims.Event{Kind: kind}, x.result)
				})
			})
			return
		}
	}
	d.send(&from.daemon.process, func() { reply(claims.Event{Kind: claims.AnswerNotHeld}, nil) })
}

// onEnd calls fn when the attempt has ended.
func (a *attempt) onEnd(fn func()) {
	if a.result != nil {
		fn()
		return
	}
	a.daemon.runAfter(messageDelay, func() { a.onEnd(fn) })
}

func (a *attempt) finish(f state.Finish) {
	if a.daemon.sim.requestKind == serviceCall && !f.Unknown && !f.NotRun {
		f.Body = []byte(a.text.String())
	}
	a.daemon.sim.log.proposeUntilAnswered(&a.daemon.process, state.Command{Finish: &f}, func(state.Result) {})
}

func (a *attempt) resolveClaim(c state.Claim) {
	log := a.daemon.sim.log
	log.proposeUntilAnswered(&a.daemon.process, state.Command{Claim: &c}, func(r state.Result) {
		if r.Status == state.OK {
			f := state.Finish{Workspace: c.Workspace, Key: c.Key, Stream: c.Stream, NotRun: true}
			log.proposeUntilAnswered(&a.daemon.process, state.Command{Finish: &f}, func(state.Result) {})
		}
	})
}

func (a *attempt) complete(e *attemptResult) {
	a.result = e
	a.notifyWaiters()
	if e.failure != nil {
		// A failed attempt is removed, so that a resend looks the claim up again.
		delete(a.daemon.attempts, a.key)
	}
}

// notifyWaiters sends the result to every waiting caller.
func (a *attempt) notifyWaiters() {
	for _, x := range a.waiters {
		a.daemon.runAfter(messageDelay, func() {
			switch {
			case !a.daemon.isReachable():
			case a.result.failure == nil:
				x.caller.handleAnswer(a.daemon, x.sendNumber, a.result.stream, a.result.text)
			default:
				failure := *a.result.failure
				if failure.Code == claims.OwnerFailure {
					failure.Ran = claims.MayHaveRun
				}
				x.caller.handleFailure(a.daemon, x.sendNumber, failure)
			}
		})
	}
	a.waiters = nil
}
