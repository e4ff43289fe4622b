package matrix

import (
	"slices"
	"time"

	"github.com/verbenastep/verbenastep/core/claims"
	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/core/state"
)

// daemon is an entry that may hold the dispatcher's lease too.
type daemon struct {
	process
	attempts map[string]*attempt
	started  int
	renewed  time.Duration
	session  session
	host     *host
	// leaving and closed are stages of a graceful shutdown: out of the
	// directory, and taking no connection any more.
	leaving bool
	closed  bool
}

func newDaemon(w *world, name string) *daemon {
	return &daemon{process: process{world: w, name: name}}
}

func (d *daemon) start() {
	d.alive = true
	d.attempts = map[string]*attempt{}
	d.session = newSession(d)
	d.host = nil
	d.leaving, d.closed, d.left = false, false, false
	d.world.record(promise.Event{Kind: promise.Started, Daemon: d.name})
	d.every(sessionTick, d.session.tick)
	d.every(seekEvery, d.keepLease)
}

// crash loses all that the daemon had in memory.
func (d *daemon) crash() {
	if !d.alive {
		return
	}
	d.world.record(promise.Event{Kind: promise.Crashed, Daemon: d.name})
	attempts := d.attempts
	d.die()
	d.attempts = map[string]*attempt{}
	d.host = nil
	for _, a := range sortedAttempts(attempts) {
		for _, waiting := range a.waiting {
			waiting.caller.lost(waiting.sent)
		}
	}
	d.world.after(restartAfter, d.start)
}

// accept takes a request, or joins the one that runs under its key.
func (d *daemon) accept(c *caller, sent int) {
	if c.ended || c.sends != sent {
		return
	}
	d.world.record(promise.Event{Kind: promise.Accept, Daemon: d.name, Workspace: space, Key: c.key, NonIdempotent: d.world.kind == call, Tier: c.tier})
	a, ok := d.attempts[c.key]
	if !ok {
		d.started++
		a = newAttempt(d, c)
		d.attempts[c.key] = a
	}
	a.waiting = append(a.waiting, waiter{caller: c, sent: sent})
	if a.ended != nil {
		a.tell()
		return
	}
	if !ok {
		a.step(claims.Event{Kind: claims.Begin})
	}
}

// serving tells whether the caller still hears the entry's heartbeats.
func (d *daemon) serving(c *caller) bool {
	a, ok := d.attempts[c.key]
	return ok && d.reachable() && d.paused <= d.world.now() && a.ended == nil
}

// keepLease takes or renews the dispatcher's lease.
func (d *daemon) keepLease() {
	l := d.world.log.machine.Lease(leaseName)
	now := d.world.now()
	due := l.Holder == "" || l.Holder == d.name && now-d.renewed >= renewEvery
	if d.closed || !due || !d.world.log.up() || !d.reachable() {
		return
	}
	d.renewed = now
	d.do(d.rank(), d.renew)
}

// rank is how long the daemon lets others go first where the lease is free.
func (d *daemon) rank() time.Duration {
	if d.host != nil {
		return 0
	}
	return time.Duration(len(d.world.daemons)-1-slices.Index(d.world.daemons, d)) * rankPause
}

func (d *daemon) renew() {
	if l := d.world.log.machine.Lease(leaseName); l.Holder != "" && l.Holder != d.name {
		return
	}
	asked := d.world.now()
	d.world.log.propose(&d.process, state.Command{Acquire: &state.Acquire{Name: leaseName, Holder: d.name}}, func(r state.Result, ok bool) {
		if !ok || r.Status != state.OK {
			return
		}
		if d.host == nil || d.host.epoch != r.Lease.Epoch {
			d.host = newHost(d, r.Lease.Epoch)
		}
		d.host.until = asked + holderLife
	})
}

// holdsLease tells whether the daemon dispatches by its own clock.
func (d *daemon) holdsLease() bool {
	return d.alive && d.host != nil && d.world.now() < d.host.until
}

// dispatcher finds the daemon that dispatches now.
func (w *world) dispatcher() *daemon {
	for _, d := range w.daemons {
		if d.holdsLease() && w.log.machine.Lease(leaseName).Holder == d.name {
			return d
		}
	}
	return nil
}

const (
	// holderLife is how long a holder trusts its lease after asking for it;
	// shorter than leaseLife by the bound on drift.
	holderLife = 1500 * time.Millisecond
	renewEvery = 400 * time.Millisecond
	// seekEvery is how often a daemon looks at the lease, and rankPause how much
	// longer each waits than the one before it.
	seekEvery = 150 * time.Millisecond
	rankPause = 150 * time.Millisecond
	// sessionTick is how often an entry looks after its session.
	sessionTick = 50 * time.Millisecond
)
