package matrix

import (
	"slices"
	"time"

	"github.com/verbenastep/verbenastep/core/claims"
	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/core/state"
)

// daemon is an entry that may also hold the dispatcher's lease.
type daemon struct {
	process
	attempts     map[string]*attempt
	attemptCount int
	lastRenewal  time.Duration
	session      session
	host         *dispatchHost
	// isLeaving and isClosed are stages of a graceful shutdown: no longer in the
	// directory, and no longer accepting connections.
	isLeaving bool
	isClosed  bool
}

func newDaemon(sim *simulation, name string) *daemon {
	return &daemon{process: process{sim: sim, name: name}}
}

func (d *daemon) start() {
	d.isAlive = true
	d.attempts = map[string]*attempt{}
	d.session = newSession(d)
	d.host = nil
	d.isLeaving, d.isClosed, d.hasLeft = false, false, false
	d.sim.recordEvent(promise.Event{Kind: promise.Started, Daemon: d.name})
	d.every(sessionCheckInterval, d.session.maintain)
	d.every(leaseCheckInterval, d.maintainLease)
}

// crash terminates the daemon, which loses its memory, and restarts it after
// restartDelay.
func (d *daemon) crash() {
	if !d.isAlive {
		return
	}
	d.sim.recordEvent(promise.Event{Kind: promise.Crashed, Daemon: d.name})
	attempts := d.attempts
	d.terminate()
	d.attempts = map[string]*attempt{}
	d.host = nil
	for _, a := range sortedAttempts(attempts) {
		for _, waiting := range a.waiters {
			waiting.caller.handleConnectionLoss(waiting.sendNumber)
		}
	}
	d.sim.after(restartDelay, d.start)
}

// accept starts a request, or attaches the caller to the one that runs under
// its key.
func (d *daemon) accept(c *caller, sent int) {
	if c.hasEnded || c.sendCount != sent {
		return
	}
	d.sim.recordEvent(promise.Event{Kind: promise.Accept, Daemon: d.name, Workspace: workspaceName, Key: c.key, NonIdempotent: d.sim.requestKind == serviceCall, Tier: c.tier})
	a, ok := d.attempts[c.key]
	if !ok {
		d.attemptCount++
		a = newAttempt(d, c)
		d.attempts[c.key] = a
	}
	a.waiters = append(a.waiters, waiter{caller: c, sendNumber: sent})
	if a.result != nil {
		a.notifyWaiters()
		return
	}
	if !ok {
		a.step(claims.Event{Kind: claims.Begin})
	}
}

// isServing reports whether the caller still receives heartbeats from the
// entry.
func (d *daemon) isServing(c *caller) bool {
	a, ok := d.attempts[c.key]
	return ok && d.isReachable() && d.pausedUntil <= d.sim.now() && a.result == nil
}

// maintainLease acquires or renews the dispatcher's lease when due.
func (d *daemon) maintainLease() {
	l := d.sim.log.machine.Lease(leaseName)
	now := d.sim.now()
	due := l.Holder == "" || l.Holder == d.name && now-d.lastRenewal >= renewInterval
	if d.isClosed || !due || !d.sim.log.hasLeader() || !d.isReachable() {
		return
	}
	d.lastRenewal = now
	d.runAfter(d.acquireDelay(), d.acquireLease)
}

// acquireDelay returns how long the daemon waits before it acquires the lease,
// so that daemons later in the list go first; zero for the holder.
func (d *daemon) acquireDelay() time.Duration {
	if d.host != nil {
		return 0
	}
	return time.Duration(len(d.sim.daemons)-1-slices.Index(d.sim.daemons, d)) * acquireDelayStep
}

func (d *daemon) acquireLease() {
	if l := d.sim.log.machine.Lease(leaseName); l.Holder != "" && l.Holder != d.name {
		return
	}
	requestedAt := d.sim.now()
	d.sim.log.propose(&d.process, state.Command{Acquire: &state.Acquire{Name: leaseName, Holder: d.name}}, func(r state.Result, ok bool) {
		if !ok || r.Status != state.OK {
			return
		}
		if d.host == nil || d.host.epoch != r.Lease.Epoch {
			d.host = newDispatchHost(d, r.Lease.Epoch)
		}
		d.host.leaseValidUntil = requestedAt + holderTTL
	})
}

// holdsLease reports whether the daemon's lease is valid by its own clock.
func (d *daemon) holdsLease() bool {
	return d.isAlive && d.host != nil && d.sim.now() < d.host.leaseValidUntil
}

// dispatcher returns the daemon that dispatches now, or nil.
func (sim *simulation) dispatcher() *daemon {
	for _, d := range sim.daemons {
		if d.holdsLease() && sim.log.machine.Lease(leaseName).Holder == d.name {
			return d
		}
	}
	return nil
}

const (
	// holderTTL is how long a holder trusts its lease, counted from the request.
	// It is shorter than leaseTTL by the bound on clock drift.
	holderTTL     = 1500 * time.Millisecond
	renewInterval = 400 * time.Millisecond
	// leaseCheckInterval is the interval at which a daemon checks the lease, and
	// acquireDelayStep the difference between the delays of consecutive daemons.
	leaseCheckInterval = 150 * time.Millisecond
	acquireDelayStep   = 150 * time.Millisecond
	// sessionCheckInterval is the interval at which an entry checks its session.
	sessionCheckInterval = 50 * time.Millisecond
)
