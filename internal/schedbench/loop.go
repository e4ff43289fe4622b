package schedbench

import (
	"container/heap"
	"sort"
	"time"
)

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order int
	fn    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// policy decides where jobs go.
type policy interface {
	// arrive takes a new job.
	arrive(w *world, j *job)
	// left says that an engine has finished a job or that it was cancelled.
	left(w *world, j *job, e *engine)
	// tick is called every tickEvery.
	tick(w *world)
	// withdraw forgets a job that waits, when its caller went away.
	withdraw(w *world, j *job)
}

// tickEvery is how often policies look by themselves.
const tickEvery = 100 * time.Millisecond

// world is one run.
type world struct {
	now     time.Duration
	events  eventHeap
	order   int
	engines []*engine
	on      map[*job]*engine
	policy  policy
	live    int
	length  time.Duration
	begun   [16]int
	queued  [16]int
	// inversions counts jobs shed for overload while a lower tier was queued or
	// in service; lateInversions those refused for their deadline meanwhile.
	inversions     int
	lateInversions int
}

func (w *world) after(d time.Duration, fn func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now + d, order: w.order, fn: fn})
}

// newWorld builds a site's engines; all of the last generation are last.
func newWorld(s site, p policy, length time.Duration) *world {
	w := &world{policy: p, on: map[*job]*engine{}, length: length}
	for _, spec := range s.engines {
		for range spec.count {
			w.engines = append(w.engines, newEngine(len(w.engines), spec))
		}
	}
	return w
}

// run plays all jobs to their end.
func (w *world) run(jobs []*job) {
	for _, j := range jobs {
		w.after(j.arrived, func() { w.arrive(j) })
	}
	w.live = len(jobs)
	w.tick()
	for len(w.events) > 0 && w.live > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.fn()
	}
}

func (w *world) tick() {
	w.policy.tick(w)
	w.after(tickEvery, w.tick)
}

func (w *world) arrive(j *job) {
	w.queued[j.tier]++
	w.after(j.deadline-w.now, func() { w.expire(j) })
	w.policy.arrive(w, j)
}

// start puts a job on an engine.
func (w *world) start(j *job, e *engine) {
	e.advance(w.now.Seconds())
	best := 0
	for _, other := range w.engines {
		best = max(best, other.cache.matched(j.blocks))
	}
	j.repeated = max(0, best-e.cache.matched(j.blocks)) * blockTokens
	w.queued[j.tier]--
	w.begun[j.tier]++
	w.on[j] = e
	e.add(j)
	w.plan(e)
}

// plan schedules the engine's next end.
func (w *world) plan(e *engine) {
	e.version++
	version := e.version
	in, ok := e.next()
	if !ok {
		return
	}
	w.after(at(in)+time.Nanosecond, func() {
		if e.version == version {
			w.step(e)
		}
	})
}

func (w *world) step(e *engine) {
	e.advance(w.now.Seconds())
	done := e.settle()
	w.plan(e)
	for _, j := range done {
		j.whole = j.ended == 0
		w.end(j, e)
	}
}

// end closes a job that an engine had.
func (w *world) end(j *job, e *engine) {
	if j.ended != 0 {
		return
	}
	j.ended = w.now
	delete(w.on, j)
	w.begun[j.tier]--
	w.live--
	w.policy.left(w, j, e)
}

// refuse closes a job that no engine had.
func (w *world) refuse(j *job, code string, late bool) {
	if j.ended != 0 {
		return
	}
	w.queued[j.tier]--
	for t := j.tier + 1; t < len(w.begun); t++ {
		if w.begun[t]+w.queued[t] == 0 {
			continue
		}
		if late {
			w.lateInversions++
		} else {
			w.inversions++
		}
		break
	}
	j.ended = w.now
	j.refused = code
	w.live--
}

// expire is a caller that goes away at its deadline.
func (w *world) expire(j *job) {
	if j.ended != 0 {
		return
	}
	e := w.on[j]
	if e == nil {
		w.refuse(j, "gone", true)
		w.policy.withdraw(w, j)
		return
	}
	e.advance(w.now.Seconds())
	e.cancel(j)
	w.plan(e)
	w.end(j, e)
}

func sortJobs(jobs []*job) {
	sort.SliceStable(jobs, func(a, b int) bool { return jobs[a].arrived < jobs[b].arrived })
}
