package schedbench

import (
	"container/heap"
	"sort"
	"time"
)

// event is a function to call at a virtual time. Events at the same time run in
// the order of their sequence numbers.
type event struct {
	at       time.Duration
	sequence int
	fn       func()
}

// eventHeap orders events by time and sequence; it implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// policy assigns jobs to engines. Its methods are called from the simulation's
// event loop only.
type policy interface {
	// onArrival handles a new job.
	onArrival(sim *simulation, j *job)
	// onEnd handles a job that ended on an engine, completed or cancelled.
	onEnd(sim *simulation, j *job, e *engine)
	// onTick is called every tickInterval.
	onTick(sim *simulation)
	// onAbandon handles a waiting job whose caller disconnected.
	onAbandon(sim *simulation, j *job)
}

// tickInterval is the time between two calls of a policy's onTick.
const tickInterval = 100 * time.Millisecond

// simulation is one run of a policy over a workload in virtual time. It is
// deterministic and not safe for concurrent use.
type simulation struct {
	now           time.Duration
	events        eventHeap
	lastSequence  int
	engines       []*engine
	assigned      map[*job]*engine
	policy        policy
	unfinished    int
	duration      time.Duration
	runningByTier [16]int
	queuedByTier  [16]int
	// inversions counts jobs refused for overload while a lower tier was queued
	// or running; deadlineInversions counts jobs refused for their deadline in
	// the same situation.
	inversions         int
	deadlineInversions int
}

// after schedules fn at d from now.
func (sim *simulation) after(d time.Duration, fn func()) {
	sim.lastSequence++
	heap.Push(&sim.events, event{at: sim.now + d, sequence: sim.lastSequence, fn: fn})
}

// newSimulation creates a site's engines in the order of their generations.
func newSimulation(s site, p policy, duration time.Duration) *simulation {
	sim := &simulation{policy: p, assigned: map[*job]*engine{}, duration: duration}
	for _, spec := range s.engines {
		for range spec.count {
			sim.engines = append(sim.engines, newEngine(len(sim.engines), spec))
		}
	}
	return sim
}

// run processes events until all jobs have ended.
func (sim *simulation) run(jobs []*job) {
	for _, j := range jobs {
		sim.after(j.arrivedAt, func() { sim.arrive(j) })
	}
	sim.unfinished = len(jobs)
	sim.tick()
	for len(sim.events) > 0 && sim.unfinished > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.fn()
	}
}

func (sim *simulation) tick() {
	sim.policy.onTick(sim)
	sim.after(tickInterval, sim.tick)
}

func (sim *simulation) arrive(j *job) {
	sim.queuedByTier[j.tier]++
	sim.after(j.deadline-sim.now, func() { sim.expire(j) })
	sim.policy.onArrival(sim, j)
}

// start adds a job to an engine and records how much of its prefill repeats work
// that another engine has cached.
func (sim *simulation) start(j *job, e *engine) {
	e.advance(sim.now.Seconds())
	best := 0
	for _, other := range sim.engines {
		best = max(best, other.cache.prefixLength(j.blocks))
	}
	j.repeatedTokens = max(0, best-e.cache.prefixLength(j.blocks)) * blockTokens
	sim.queuedByTier[j.tier]--
	sim.runningByTier[j.tier]++
	sim.assigned[j] = e
	e.add(j)
	sim.scheduleNextEnd(e)
}

// scheduleNextEnd schedules the next end of a prefill or answer on an engine and
// invalidates the one scheduled before.
func (sim *simulation) scheduleNextEnd(e *engine) {
	e.scheduleVersion++
	version := e.scheduleVersion
	delay, ok := e.nextEnd()
	if !ok {
		return
	}
	sim.after(toDuration(delay)+time.Nanosecond, func() {
		if e.scheduleVersion == version {
			sim.completeDue(e)
		}
	})
}

// completeDue finishes the jobs whose answers have ended on an engine.
func (sim *simulation) completeDue(e *engine) {
	e.advance(sim.now.Seconds())
	done := e.completeDue()
	sim.scheduleNextEnd(e)
	for _, j := range done {
		j.completed = j.endedAt == 0
		sim.finish(j, e)
	}
}

// finish ends a job that an engine has run, unless it has ended already.
func (sim *simulation) finish(j *job, e *engine) {
	if j.endedAt != 0 {
		return
	}
	j.endedAt = sim.now
	delete(sim.assigned, j)
	sim.runningByTier[j.tier]--
	sim.unfinished--
	sim.policy.onEnd(sim, j, e)
}

// refuse ends a job that no engine has run and counts tier inversions.
func (sim *simulation) refuse(j *job, code string, byDeadline bool) {
	if j.endedAt != 0 {
		return
	}
	sim.queuedByTier[j.tier]--
	for t := j.tier + 1; t < len(sim.runningByTier); t++ {
		if sim.runningByTier[t]+sim.queuedByTier[t] == 0 {
			continue
		}
		if byDeadline {
			sim.deadlineInversions++
		} else {
			sim.inversions++
		}
		break
	}
	j.endedAt = sim.now
	j.refusalCode = code
	sim.unfinished--
}

// expire ends a job whose caller disconnects at its deadline.
func (sim *simulation) expire(j *job) {
	if j.endedAt != 0 {
		return
	}
	e := sim.assigned[j]
	if e == nil {
		sim.refuse(j, "deadline_exceeded", true)
		sim.policy.onAbandon(sim, j)
		return
	}
	e.advance(sim.now.Seconds())
	e.cancel(j)
	sim.scheduleNextEnd(e)
	sim.finish(j, e)
}

func sortByArrival(jobs []*job) {
	sort.SliceStable(jobs, func(a, b int) bool { return jobs[a].arrivedAt < jobs[b].arrivedAt })
}
