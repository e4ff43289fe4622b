// Package matrix runs every fault at every step of the system's work, over the
// real decisions of core: the path of a request (core/claims), the dispatcher
// (core/sched), and the replicated state (core/state, core/config). Small fakes
// stand at their interfaces: messages, an engine, and a log whose agreement is
// taken as given. Each cell ends with the promise checker's verdict and the
// time until the work was done again.
//
// All of it runs on one goroutine that sleeps from event to event, so that
// inside testing/synctest a run takes no time and always goes the same way.
package matrix

import (
	"container/heap"
	"time"

	"github.com/verbenastep/verbenastep/core/member"
)

// event is something due at a time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

// events is a heap by time and order of arrival.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// clock runs what is due, in order.
type clock struct {
	began time.Time
	queue events
	seq   int
}

func (c *clock) now() time.Duration { return time.Since(c.began) }

// after runs do once d has passed.
func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.queue, event{at: c.now() + d, seq: c.seq, do: do})
}

// run works until a time, or until done says so.
func (c *clock) run(until time.Duration, done func() bool) {
	for len(c.queue) > 0 && c.queue[0].at <= until && !done() {
		e := heap.Pop(&c.queue).(event)
		if wait := e.at - c.now(); wait > 0 {
			time.Sleep(wait)
		}
		e.do()
	}
}

// process is one daemon's process or an upstream's.
type process struct {
	world *world
	name  string
	alive bool
	// run grows with each start; what an earlier run had in mind is lost.
	run int
	// paused and cut end at these times.
	paused time.Duration
	cut    time.Duration
	// lost is when it last ceased to answer; left says that it said goodbye.
	lost time.Duration
	left bool
}

// do runs something in the process after a time, unless the process dies
// before; a paused process does it when it goes on.
func (p *process) do(d time.Duration, fn func()) {
	run := p.run
	p.world.after(d, func() { p.resume(run, fn) })
}

func (p *process) resume(run int, fn func()) {
	switch {
	case !p.alive || p.run != run:
	case p.paused > p.world.now():
		p.world.after(p.paused-p.world.now(), func() { p.resume(run, fn) })
	default:
		fn()
	}
}

// every runs fn now and again while the process lives.
func (p *process) every(d time.Duration, fn func()) {
	fn()
	p.do(d, func() { p.every(d, fn) })
}

func (p *process) reachable() bool { return p.alive && p.cut <= p.world.now() }

// believedLive tells whether membership still counts the process, at worst.
func (p *process) believedLive() bool {
	now := p.world.now()
	answers := p.reachable() && p.paused <= now
	return !p.left && (answers || now-p.lost < member.DefaultOptions().MaxDetectionTime())
}

func (p *process) die() {
	p.lost = p.world.now()
	p.alive = false
	p.run++
}

// send carries a message to another process; it is lost where either is dead or
// cut off when it arrives.
func (p *process) send(to *process, fn func()) {
	if !p.reachable() {
		return
	}
	run := to.run
	p.world.after(hop, func() {
		if p.cut > p.world.now() || !to.reachable() || to.run != run {
			return
		}
		to.resume(run, fn)
	})
}
