package sched

import (
	"container/heap"
	"time"

	"github.com/verbenastep/verbenastep/core/limits"
)

// agingFactor bounds how much later than a request another one of the same
// workspace may arrive and still overtake it.
//
// A lane is ordered by arrival time plus agingFactor times the predicted
// service time. A request is thus overtaken only by requests that arrive within
// agingFactor times its own predicted service time, capped by maxAging.
const agingFactor = 4

// maxAging caps how much later than a request another may arrive and still
// overtake it.
const maxAging = 60 * time.Second

// tier is the queue of one tier.
type tier struct {
	rank       int
	workspaces map[string]*workspace
	// lanes are the nonempty lanes of each class, ordered by workspace counter.
	lanes   [classes]laneHeap
	queued  int
	running int
	// queuedCost is the predicted work of the queued requests, in prompt
	// tokens.
	queuedCost float64
	// patience is the moving average of the time from arrival to deadline.
	patience time.Duration
	// lastServedCounter is the counter of the workspace that was served last.
	lastServedCounter float64
}

// workspace is the fair-share state and queue of one workspace in a tier.
type workspace struct {
	name   string
	tier   *tier
	weight float64
	// counter is the work charged so far, divided by the weight.
	counter    float64
	lanes      [classes]lane
	queued     int
	queuedCost float64
	usage      limits.Usage
}

// lane is a workspace's queue of one class.
type lane struct {
	workspace *workspace
	requests  requestHeap
	index     int
}

// laneHeap is a heap of lanes ordered by their workspaces' counters.
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
	last.index = notInHeap
	return last
}

func newTier(rank int) *tier {
	return &tier{rank: rank, workspaces: map[string]*workspace{}}
}

// workspace returns the named workspace, creating it on first use. A new weight
// takes effect immediately.
func (t *tier) workspace(name string, weight int) *workspace {
	w, ok := t.workspaces[name]
	if !ok {
		w = &workspace{name: name, tier: t}
		for c := range w.lanes {
			w.lanes[c] = lane{workspace: w, index: notInHeap}
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
		t.raiseCounter(w)
	}
	l := &w.lanes[r.class]
	heap.Push(&l.requests, r)
	if l.index == notInHeap {
		heap.Push(&t.lanes[r.class], l)
	}
	w.queued++
	w.queuedCost += r.cost
	t.queued++
	t.queuedCost += r.cost
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
	w.queuedCost -= r.cost
	t.queued--
	t.queuedCost -= r.cost
}

// head returns the next request to serve among the allowed classes: that of the
// workspace with the lowest counter and, within it, the one with the smallest
// laneKey.
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
	return a.laneKey < b.laneKey
}
