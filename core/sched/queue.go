package sched

import (
	"container/heap"
	"time"

	"github.com/verbenastep/verbenastep/core/limits"
)

// agingFactor is how many of its own predicted service times later another
// request may arrive and still be served before it.
//
// A lane is ordered by arrival plus agingFactor times the predicted service
// time. So within a workspace a request is overtaken only by requests that
// arrive within agingFactor times its own prediction, capped by maxAging.
const agingFactor = 4

// maxAging bounds how much later a request may arrive and still overtake.
const maxAging = 60 * time.Second

// tier holds the queue of one tier.
type tier struct {
	rank       int
	workspaces map[string]*workspace
	// lanes are the nonempty lanes of each class, by workspace counter.
	lanes   [classes]laneHeap
	queued  int
	running int
	// cost is the queued requests' predicted work.
	cost float64
	// patience is the average time that requests of the tier can wait.
	patience time.Duration
	// floor is the counter of the workspace that was served last.
	floor float64
}

// workspace is one customer's standing in a tier.
type workspace struct {
	name   string
	tier   *tier
	weight float64
	// counter is the work charged so far, divided by the weight.
	counter float64
	lanes   [classes]lane
	queued  int
	cost    float64
	usage   limits.Usage
}

// lane is a workspace's queue of one class.
type lane struct {
	workspace *workspace
	requests  requestHeap
	index     int
}

// laneHeap orders lanes by their workspaces' counters.
type laneHeap []*lane

func (h laneHeap) Len() int { return len(h) }
func (h laneHeap) Less(i, j int) bool {
	a, b := h[i].workspace, h[j].workspace
	if a.counter != b.counter {
		return a.counter < b.counter
	}
	return a.name < b.name
}

func (h laneHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *laneHeap) Push(x any) {
	l := x.(*lane)
	l.index = len(*h)
	*h = append(*h, l)
}

func (h *laneHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.index = notQueued
	return last
}

func newTier(rank int) *tier {
	return &tier{rank: rank, workspaces: map[string]*workspace{}}
}

// workspace finds or adds a workspace; a new weight takes effect at once.
func (t *tier) workspace(name string, weight int) *workspace {
	w, ok := t.workspaces[name]
	if !ok {
		w = &workspace{name: name, tier: t}
		for c := range w.lanes {
			w.lanes[c] = lane{workspace: w, index: notQueued}
		}
		t.workspaces[name] = w
	}
	w.weight = float64(weight)
	return w
}

// enqueue adds a request to its workspace's lane.
func (t *tier) enqueue(r *request) {
	w := r.workspace
	if w.queued == 0 {
		t.lift(w)
	}
	l := &w.lanes[r.class]
	heap.Push(&l.requests, r)
	if l.index == notQueued {
		heap.Push(&t.lanes[r.class], l)
	}
	w.queued++
	w.cost += r.cost
	t.queued++
	t.cost += r.cost
}

// dequeue removes a queued request.
func (t *tier) dequeue(r *request) {
	w := r.workspace
	l := &w.lanes[r.class]
	heap.Remove(&l.requests, r.laneIndex)
	if len(l.requests) == 0 {
		heap.Remove(&t.lanes[r.class], l.index)
	}
	w.queued--
	w.cost -= r.cost
	t.queued--
	t.cost -= r.cost
}

// head returns the request to serve next among the classes allowed: that of
// the workspace charged least, and within it the one with the smallest key.
func (t *tier) head(allowed [classes]bool) *request {
	best := (*request)(nil)
	for c := range t.lanes {
		if !allowed[c] || len(t.lanes[c]) == 0 {
			continue
		}
		r := t.lanes[c][0].requests[0]
		if best == nil || before(r, best) {
			best = r
		}
	}
	return best
}

func before(a, b *request) bool {
	if a.workspace.counter != b.workspace.counter {
		return a.workspace.counter < b.workspace.counter
	}
	return a.key < b.key
}
