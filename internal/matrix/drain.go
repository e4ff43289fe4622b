package matrix

import (
	"fmt"
	"slices"
	"time"

	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/core/state"
)

// Steps of a graceful shutdown.
const (
	atAnnounced  step = "announced"
	atLifetime   step = "lifetime"
	atClosed     step = "closed"
	atHandedOver step = "handed over"
	atStopped    step = "stopped"
)

func drainSteps() []step {
	return []step{atAnnounced, atLifetime, atClosed, atHandedOver, atStopped}
}

const (
	// drainLife is how long a daemon serves after it left the directory.
	drainLife = 8 * time.Second
	// handover bounds what the change of the dispatcher takes by itself.
	handover = time.Second
)

// arrivals is the time between two requests during a shutdown, so that one is
// always in flight.
var arrivals = map[kind]time.Duration{stream: 250 * time.Millisecond, call: 40 * time.Millisecond}

// drain shuts a daemon down in the order of internal/daemon: leave the
// directory, serve for the answers' lifetime, close, wait for what runs, hand
// over the lease, stop. It starts again later.
func (d *daemon) drain(reached func(step)) {
	d.world.record(promise.Event{Kind: promise.Drain, Daemon: d.name})
	d.leaving = true
	reached(atAnnounced)
	d.do(drainLife/2, func() { reached(atLifetime) })
	d.do(drainLife, func() {
		d.closed = true
		reached(atClosed)
		d.awaitEnd(reached)
	})
}

func (d *daemon) awaitEnd(reached func(step)) {
	for _, a := range d.attempts {
		if a.ended == nil || len(a.waiting) > 0 {
			d.do(10*hop, func() { d.awaitEnd(reached) })
			return
		}
	}
	held := d.host
	d.host = nil
	reached(atHandedOver)
	stop := func(state.Result) { d.do(2*hop, func() { d.stop(reached) }) }
	if held == nil {
		stop(state.Result{})
		return
	}
	d.world.log.insist(&d.process, state.Command{Expire: &state.Expire{Name: leaseName, Epoch: held.epoch}}, stop)
}

func (d *daemon) stop(reached func(step)) {
	d.world.record(promise.Event{Kind: promise.Stopped, Daemon: d.name})
	d.die()
	d.left = true
	reached(atStopped)
	d.world.after(restartAfter, d.start)
}

// running finds a request in flight, at the daemon itself where there is one.
func (w *world) running(d *daemon) *attempt {
	for _, x := range append([]*daemon{d}, w.daemons...) {
		all := slices.DeleteFunc(sortedAttempts(x.attempts), func(a *attempt) bool { return a.ended != nil || len(a.waiting) == 0 })
		if x.alive && len(all) > 0 {
			return all[len(all)-1]
		}
	}
	return nil
}

// runDrain shuts the dispatcher's daemon down while requests come, and brings a
// fault about at a step of the shutdown.
func runDrain(k kind, f fault, at step) verdict {
	w := newWorld(k, 1)
	w.run(warmUp, never)
	v := verdict{kind: k, fault: f.name, step: at, bound: f.bound + handover, allowed: f.bound + handover, skipped: "the shutdown was cut short before"}
	d := w.dispatcher()
	last := time.Duration(0)
	w.arrive(d, w.now()+drainLife+2*time.Second)
	w.after(arrivals[k], func() {
		d.drain(func(s step) {
			if s == at && v.skipped != "" {
				v.skipped = w.strikeRunning(f, d)
				last = w.now()
			}
		})
	})
	w.run(limit, func() bool { return w.now() > warmUp+drainLife+3*time.Second && w.settled() })
	w.judge(&v, last)
	if v.skipped == "" {
		v.skipped = w.skipped(nil)
	}
	return v
}

// strikeRunning strikes at a request in flight; it says why it couldn't.
func (w *world) strikeRunning(f fault, d *daemon) string {
	a := w.running(d)
	if a == nil {
		return "no request was in flight"
	}
	for _, c := range w.others {
		if c.key == a.key {
			w.subject = c
		}
	}
	f.strike(w, a)
	return ""
}

// arrive sends a request now and again until a time: to the daemon that drains
// while a directory answer may name it, then to another.
func (w *world) arrive(d *daemon, until time.Duration) {
	if w.now() > until {
		return
	}
	entry := slices.Index(w.daemons, d)
	if w.now() > warmUp+drainLife {
		entry = (entry + 1) % len(w.daemons)
	}
	c := &caller{world: w, key: fmt.Sprintf("late-%d", len(w.others)), entry: entry, born: w.now()}
	w.others = append(w.others, c)
	if w.subject == nil {
		w.subject = c
	}
	c.send()
	w.after(arrivals[w.kind], func() { w.arrive(d, until) })
}
