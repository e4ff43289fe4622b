package matrix

import (
	"fmt"
	"slices"
	"time"

	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/core/state"
)

// Steps of a graceful shutdown. stepDirectoryTTL is reached while directory
// answers may still name the daemon.
const (
	stepAnnounced    step = "announced"
	stepDirectoryTTL step = "lifetime"
	stepClosed       step = "closed"
	stepHandedOver   step = "handed over"
	stepStopped      step = "stopped"
)

func drainSteps() []step {
	return []step{stepAnnounced, stepDirectoryTTL, stepClosed, stepHandedOver, stepStopped}
}

const (
	// drainTime is how long a daemon continues to serve after it has left the
	// directory.
	drainTime = 8 * time.Second
	// handoverBound bounds the time that a planned change of the dispatcher
	// takes.
	handoverBound = time.Second
)

// arrivalIntervals is the time between two requests during a shutdown. It is
// short enough that a request is always in flight.
var arrivalIntervals = map[requestKind]time.Duration{streamRequest: 250 * time.Millisecond, serviceCall: 40 * time.Millisecond}

// drain shuts a daemon down in the order of internal/daemon: leave the
// directory, serve for the TTL of directory answers, close, wait for running
// requests, hand over the lease, stop. It calls reached at each step. The daemon
// restarts after restartDelay.
func (d *daemon) drain(reached func(step)) {
	d.sim.recordEvent(promise.Event{Kind: promise.Drain, Daemon: d.name})
	d.isLeaving = true
	reached(stepAnnounced)
	d.runAfter(drainTime/2, func() { reached(stepDirectoryTTL) })
	d.runAfter(drainTime, func() {
		d.isClosed = true
		reached(stepClosed)
		d.awaitAttempts(reached)
	})
}

func (d *daemon) awaitAttempts(reached func(step)) {
	for _, a := range d.attempts {
		if a.result == nil || len(a.waiters) > 0 {
			d.runAfter(10*messageDelay, func() { d.awaitAttempts(reached) })
			return
		}
	}
	host := d.host
	d.host = nil
	reached(stepHandedOver)
	stop := func(state.Result) { d.runAfter(2*messageDelay, func() { d.stop(reached) }) }
	if host == nil {
		stop(state.Result{})
		return
	}
	d.sim.log.proposeUntilAnswered(&d.process, state.Command{Expire: &state.Expire{Name: leaseName, Epoch: host.epoch}}, stop)
}

func (d *daemon) stop(reached func(step)) {
	d.sim.recordEvent(promise.Event{Kind: promise.Stopped, Daemon: d.name})
	d.terminate()
	d.hasLeft = true
	reached(stepStopped)
	d.sim.after(restartDelay, d.start)
}

// inFlightAttempt returns a request in flight, preferably at the given daemon,
// or nil.
func (sim *simulation) inFlightAttempt(d *daemon) *attempt {
	for _, x := range append([]*daemon{d}, sim.daemons...) {
		all := slices.DeleteFunc(sortedAttempts(x.attempts), func(a *attempt) bool { return a.result != nil || len(a.waiters) == 0 })
		if x.isAlive && len(all) > 0 {
			return all[len(all)-1]
		}
	}
	return nil
}

// runDrain shuts the dispatcher's daemon down while requests arrive, and
// injects a fault at a step of the shutdown.
func runDrain(k requestKind, f fault, at step) cellResult {
	sim := newSimulation(k, 1)
	sim.run(warmUpTime, runToDeadline)
	v := cellResult{kind: k, fault: f.name, step: at, bound: f.bound + handoverBound, rowBound: f.bound + handoverBound, skipReason: "the shutdown was cut short before"}
	d := sim.dispatcher()
	lastFault := time.Duration(0)
	sim.generateRequests(d, sim.now()+drainTime+2*time.Second)
	sim.after(arrivalIntervals[k], func() {
		d.drain(func(s step) {
			if s == at && v.skipReason != "" {
				v.skipReason = sim.injectInFlight(f, d)
				lastFault = sim.now()
			}
		})
	})
	sim.run(runTimeout, func() bool { return sim.now() > warmUpTime+drainTime+3*time.Second && sim.allCallersEnded() })
	sim.evaluate(&v, lastFault)
	if v.skipReason == "" {
		v.skipReason = sim.skipReason(nil)
	}
	return v
}

// injectInFlight injects a fault at a request in flight. It returns why it
// could not, or an empty string.
func (sim *simulation) injectInFlight(f fault, d *daemon) string {
	a := sim.inFlightAttempt(d)
	if a == nil {
		return "no request was in flight"
	}
	for _, c := range sim.otherCallers {
		if c.key == a.key {
			sim.subject = c
		}
	}
	f.inject(sim, a)
	return ""
}

// generateRequests sends requests at fixed intervals until a time: to the
// draining daemon while a directory answer may still name it, then to the next
// one.
func (sim *simulation) generateRequests(d *daemon, until time.Duration) {
	if sim.now() > until {
		return
	}
	entry := slices.Index(sim.daemons, d)
	if sim.now() > warmUpTime+drainTime {
		entry = (entry + 1) % len(sim.daemons)
	}
	c := &caller{sim: sim, key: fmt.Sprintf("late-%d", len(sim.otherCallers)), nextEntry: entry, createdAt: sim.now()}
	sim.otherCallers = append(sim.otherCallers, c)
	if sim.subject == nil {
		sim.subject = c
	}
	c.send()
	sim.after(arrivalIntervals[sim.requestKind], func() { sim.generateRequests(d, until) })
}
