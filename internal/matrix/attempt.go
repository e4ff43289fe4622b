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

// waiter is a caller's connection to an entry.
type waiter struct {
	caller *caller
	sent   int
}

// ending is how an attempt ended.
type ending struct {
	failure *claims.Failure
	stream  string
	text    string
}

// attempt carries out the effects of one request's machine at one entry.
type attempt struct {
	daemon  *daemon
	key     string
	tier    int
	machine *claims.Machine
	waiting []waiter
	conn    *conn
	stream  string
	text    strings.Builder
	frame   string
	offer   uint64
	ended   *ending
	// deadline is when the caller stops waiting.
	deadline time.Duration
	reads    int
	// awaiting says that the machine waits for the connection.
	awaiting bool
}

func newAttempt(d *daemon, c *caller) *attempt {
	name := fmt.Sprintf("%s-%d-%d", d.name, d.run, d.started)
	a := &attempt{daemon: d, key: c.key, tier: c.tier, deadline: d.world.now() + requestTime, machine: claims.NewMachine(claims.Request{
		Workspace: space, Key: c.key, Keyed: true, PlainService: d.world.kind == call, Digest: c.key, Pool: pool, Stream: name, Entry: d.name,
	})}
	d.do(requestTime, func() { a.step(claims.Event{Kind: claims.Expired}) })
	return a
}

func (a *attempt) subject() bool {
	return a.daemon.world.subject != nil && a.key == a.daemon.world.subject.key
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
		if a.subject() {
			a.mark(f)
		}
		if !a.daemon.alive {
			return
		}
		if f.Delayed {
			a.daemon.do(retryPause, func() { a.act(f) })
			continue
		}
		a.act(f)
	}
}

// act carries out one effect.
func (a *attempt) act(f claims.Effect) {
	d := a.daemon
	switch f.Kind {
	case claims.Lookup:
		d.world.log.lookup(&d.process, a.key, func(c state.Claim, ok bool) {
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
		d.world.log.propose(&d.process, state.Command{Claim: &f.Claim}, a.claimed)
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
		a.retire()
	case claims.Release:
		d.session.release(a, outcomes[f.Slot])
	case claims.Finish:
		a.finish(f.Finish)
	case claims.ResolveClaim:
		a.settle(f.Claim)
	case claims.ServeRecorded:
		a.end(&ending{stream: f.Claim.Stream, text: string(f.Claim.Body)})
	case claims.End:
		a.end(&ending{stream: a.stream, text: a.text.String()})
	case claims.Fail:
		a.end(&ending{failure: &f.Failure})
	}
}

// outcomes translates the use of a slot for the scheduler.
var outcomes = map[claims.Slot]sched.Outcome{
	claims.SlotCompleted:      sched.Completed,
	claims.SlotNotSent:        sched.NotSent,
	claims.SlotCanceled:       sched.Canceled,
	claims.SlotConnectionLost: sched.ConnectionLost,
}

func (a *attempt) claimed(r state.Result, ok bool) {
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
	e := a.daemon.world.engineAt(address)
	a.daemon.do(2*hop, func() {
		if !e.reachable() {
			a.step(claims.Event{Kind: claims.Unreachable})
			return
		}
		a.conn = &conn{owner: a}
		a.step(claims.Event{Kind: claims.Connected, Address: address})
	})
}

func (a *attempt) send(name string) {
	w := a.daemon.world
	e := w.engineAt(a.upstream())
	w.record(promise.Event{Kind: promise.Dispatch, Daemon: a.daemon.name, Workspace: space, Key: a.key, Stream: name, Upstream: e.name})
	c := a.conn
	started := false
	a.daemon.send(&e.process, func() { started = e.start(name, a.key, c) })
	a.daemon.do(2*hop, func() {
		switch {
		case !started:
			a.step(claims.Event{Kind: claims.SendInterrupted})
		case w.kind == stream:
			a.step(claims.Event{Kind: claims.Started})
		default:
			a.receive()
		}
	})
}

// upstream is the one that was granted last.
func (a *attempt) upstream() string { return a.daemon.session.upstream(a.offer) }

// receive waits for the next event of the connection.
func (a *attempt) receive() {
	a.awaiting = true
	a.reads++
	read := a.reads
	c := a.conn
	if len(c.inbox) > 0 {
		a.poll(c)
		return
	}
	if a.daemon.world.kind == call {
		return
	}
	a.daemon.do(silence, func() {
		if a.awaiting && a.reads == read {
			a.awaiting = false
			a.step(claims.Event{Kind: a.broken()})
		}
	})
}

// broken is what a lost connection means to the machine.
func (a *attempt) broken() claims.EventKind {
	if a.daemon.world.kind == call {
		return claims.SendInterrupted
	}
	return claims.ConnectionLost
}

// poll hands over what came in, where the machine waits for it.
func (a *attempt) poll(c *conn) {
	if c != a.conn || c.closed || !a.awaiting || len(c.inbox) == 0 {
		return
	}
	e, text := c.inbox[0], c.texts[0]
	c.inbox, c.texts = c.inbox[1:], c.texts[1:]
	a.awaiting = false
	a.frame = text
	if e.Kind == claims.ConnectionLost {
		e.Kind = a.broken()
	}
	if e.Kind == claims.Replied {
		a.text.WriteString(text)
	}
	a.step(e)
}

func (a *attempt) retire() {
	a.awaiting = false
	if a.conn != nil {
		a.conn.closed = true
	}
}

// resume asks the engine for the rest over a new connection.
func (a *attempt) resume(f claims.Effect) {
	e := a.daemon.world.engineAt(f.Address)
	c := &conn{owner: a, next: int(f.Offset) / frameBytes}
	a.daemon.do(2*hop, func() {
		x, held := e.works[f.Stream]
		switch {
		case !e.reachable() || a.daemon.cut > a.daemon.world.now():
			a.step(claims.Event{Kind: claims.Unreachable})
		case !held:
			a.step(claims.Event{Kind: claims.Rejected})
		default:
			a.conn = c
			x.conns = append(x.conns, c)
			a.step(claims.Event{Kind: claims.Started})
			c.resumeAt(f.Stream, x, int(f.Offset))
		}
	})
}

// resumeAt sends the rest of a frame that was cut, then the frames after it.
func (c *conn) resumeAt(name string, x *work, offset int) {
	if part := offset % frameBytes; part != 0 && c.next < x.made {
		end := (c.next + 1) * frameBytes
		c.deliver(claims.Frame{Stream: name, Offset: int64(offset), Length: int64(end - offset), End: c.next == frames-1}, x.content[offset:end])
		c.next++
	}
	c.push(name, x)
}

// fetch reads the answer from the entry that dispatched the request.
func (a *attempt) fetch(f claims.Effect) {
	owner := a.daemon.world.daemonAt(f.Address)
	answered := false
	reply := func(e claims.Event, x *ending) {
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
	if !owner.alive {
		a.daemon.do(2*hop, func() { reply(claims.Event{Kind: owner.fetchLost()}, nil) })
		return
	}
	a.daemon.send(&owner.process, func() { owner.hold(a, f.Stream, reply) })
	a.watchOwner(owner, owner.run, reply)
}

// watchOwner ends a fetch from an owner whose heartbeats cease.
func (a *attempt) watchOwner(owner *daemon, run int, reply func(claims.Event, *ending)) {
	a.daemon.do(fetchSilence, func() {
		if !owner.reachable() || owner.run != run || owner.paused > owner.world.now() || !a.daemon.reachable() {
			reply(claims.Event{Kind: owner.fetchLost()}, nil)
			return
		}
		if a.ended == nil {
			a.watchOwner(owner, run, reply)
		}
	})
}

// fetchLost is what a fetch that broke says of its owner: membership is asked
// whether it is dead.
func (d *daemon) fetchLost() claims.EventKind {
	if d.believedLive() {
		return claims.FetchInterrupted
	}
	return claims.OwnerDead
}

// hold answers a fetch once the owner's own attempt has ended.
func (d *daemon) hold(from *attempt, name string, reply func(claims.Event, *ending)) {
	for _, x := range sortedAttempts(d.attempts) {
		if x.stream == name && x.key == from.key {
			x.onEnd(func() {
				d.send(&from.daemon.process, func() {
					kind := claims.Fetched
					if x.ended.failure != nil {
						kind = claims.FetchFailed
					}
					reply(claims.Event{Kind: kind}, x.ended)
				})
			})
			return
		}
	}
	d.send(&from.daemon.process, func() { reply(claims.Event{Kind: claims.AnswerNotHeld}, nil) })
}

// onEnd calls fn at the attempt's end.
func (a *attempt) onEnd(fn func()) {
	if a.ended != nil {
		fn()
		return
	}
	a.daemon.do(hop, func() { a.onEnd(fn) })
}

func (a *attempt) finish(f state.Finish) {
	if a.daemon.world.kind == call && !f.Unknown && !f.NotRun {
		f.Body = []byte(a.text.String())
	}
	a.daemon.world.log.insist(&a.daemon.process, state.Command{Finish: &f}, func(state.Result) {})
}

func (a *attempt) settle(c state.Claim) {
	log := a.daemon.world.log
	log.insist(&a.daemon.process, state.Command{Claim: &c}, func(r state.Result) {
		if r.Status == state.OK {
			f := state.Finish{Workspace: c.Workspace, Key: c.Key, Stream: c.Stream, NotRun: true}
			log.insist(&a.daemon.process, state.Command{Finish: &f}, func(state.Result) {})
		}
	})
}

func (a *attempt) end(e *ending) {
	a.ended = e
	a.tell()
	if e.failure != nil {
		// A resend asks the log again.
		delete(a.daemon.attempts, a.key)
	}
}

// tell gives every waiting caller the end.
func (a *attempt) tell() {
	for _, x := range a.waiting {
		a.daemon.do(hop, func() {
			switch {
			case !a.daemon.reachable():
			case a.ended.failure == nil:
				x.caller.answered(a.daemon, x.sent, a.ended.stream, a.ended.text)
			default:
				failure := *a.ended.failure
				if failure.Code == claims.OwnerFailure {
					failure.Ran = claims.MayHaveRun
				}
				x.caller.refused(a.daemon, x.sent, failure)
			}
		})
	}
	a.waiting = nil
}
