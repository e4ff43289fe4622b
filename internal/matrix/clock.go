// Package matrix injects each kind of fault at each step of a request, of a
// graceful shutdown and of a configuration change. It runs the decision code of
// core: the path of a request (core/claims), the dispatcher (core/sched) and the
// replicated state (core/state, core/config). Small fakes stand for the rest:
// messages, an engine, and a log whose consensus is assumed to work. Each cell of
// the resulting tables holds the result of the promise checker and the time until
// all callers had their results. Only this package's tests use it.
//
// Everything runs on one goroutine that sleeps from event to event. Inside
// testing/synctest a run therefore takes no real time and is deterministic.
package matrix

import (
	"container/heap"
	"time"

	"github.com/verbenastep/verbenastep/core/member"
)

// event is a function scheduled for a time.
type event struct {
	at  time.Duration
	seq int
	fn  func()
}

// eventQueue is a heap ordered by time, then by order of insertion.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }

func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// clock runs scheduled events in order of time.
type clock struct {
	startedAt time.Time
	queue     eventQueue
	seq       int
}

func (c *clock) now() time.Duration { return time.Since(c.startedAt) }

// after schedules a function to run once d has passed.
func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.queue, event{at: c.now() + d, seq: c.seq, fn: do})
}

// run processes events until a time has come or done returns true.
func (c *clock) run(until time.Duration, done func() bool) {
	for len(c.queue) > 0 && c.queue[0].at <= until && !done() {
		e := heap.Pop(&c.queue).(event)
		if wait := e.at - c.now(); wait > 0 {
			time.Sleep(wait)
		}
		e.fn()
	}
}

// process is the process of a daemon or an upstream.
type process struct {
	sim     *simulation
	name    string
	isAlive bool
	// generation increases with each stop. Functions scheduled in an earlier
	// generation don't run.
	generation int
	// The process is paused or partitioned until these times.
	pausedUntil      time.Duration
	partitionedUntil time.Duration
	// unreachableSince is when the process last stopped answering; hasLeft is set
	// if it announced its shutdown.
	unreachableSince time.Duration
	hasLeft          bool
}

// runAfter runs a function in the process after d, unless the process
// terminates before. A paused process runs it when the pause ends.
func (p *process) runAfter(d time.Duration, fn func()) {
	generation := p.generation
	p.sim.after(d, func() { p.runWhenActive(generation, fn) })
}

func (p *process) runWhenActive(generation int, fn func()) {
	switch {
	case !p.isAlive || p.generation != generation:
	case p.pausedUntil > p.sim.now():
		p.sim.after(p.pausedUntil-p.sim.now(), func() { p.runWhenActive(generation, fn) })
	default:
		fn()
	}
}

// every runs fn at once and then at intervals of d while the process is alive.
func (p *process) every(d time.Duration, fn func()) {
	fn()
	p.runAfter(d, func() { p.every(d, fn) })
}

func (p *process) isReachable() bool { return p.isAlive && p.partitionedUntil <= p.sim.now() }

// isCountedLive reports whether membership may still count the process as live,
// given the longest time that it needs to detect a failure.
func (p *process) isCountedLive() bool {
	now := p.sim.now()
	answers := p.isReachable() && p.pausedUntil <= now
	return !p.hasLeft && (answers || now-p.unreachableSince < member.DefaultOptions().MaxDetectionTime())
}

func (p *process) terminate() {
	p.unreachableSince = p.sim.now()
	p.isAlive = false
	p.generation++
}

// send delivers a message to another process after messageDelay. The message is
// lost if either process is down or partitioned when it arrives.
func (p *process) send(to *process, fn func()) {
	if !p.isReachable() {
		return
	}
	generation := to.generation
	p.sim.after(messageDelay, func() {
		if p.partitionedUntil > p.sim.now() || !to.isReachable() || to.generation != generation {
			return
		}
		to.runWhenActive(generation, fn)
	})
}
