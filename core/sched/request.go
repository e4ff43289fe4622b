package sched

import (
	"container/heap"
	"time"

	"github.com/verbenastep/verbenastep/core/suspects"
)

// class separates short requests from all others.
type class uint8

const (
	short class = iota
	long
	classes
)

// notInHeap is the index of an item that is in no heap.
const notInHeap = -1

// request is an offered request and its scheduling state.
type request struct {
	offer     Offer
	arrivedAt time.Duration
	workspace *workspace
	class     class
	// output is the predicted answer length and cautiousOutput a cautious lower
	// estimate, in tokens.
	output         float64
	cautiousOutput float64
	// cost is the predicted work in uncached prompt tokens.
	cost float64
	// laneKey orders a lane; see agingFactor.
	laneKey          time.Duration
	laneIndex        int
	latestStartIndex int
	// latestStart is when the request can no longer finish before its deadline.
	latestStart time.Duration
	// firstAtHead is when the request was first at the head of the queue; zero
	// where it never was.
	firstAtHead time.Duration
	// The fields below are set when the request is granted.
	upstream    string
	incarnation uint64
	// crashCounted reports whether a crash of its upstream has already been
	// counted for it.
	crashCounted bool
	grantedAt    time.Duration
	charged      float64
	expectedTime time.Duration
	// tokenBudget is the maximum time per output token, in seconds, with which
	// the request meets its deadline; zero where unknown.
	tokenBudget float64
	cached      int
	// bestCached is the largest expected cache hit, in tokens, among the
	// candidates.
	bestCached   int
	batchAtStart int
	prefillAlone bool
	suspect      bool
	// prefixStage is how the request stands with the prefixes of its prompt.
	prefixStage suspects.Stage
	// orphanedUntil is when the slot is freed unless the entry reconnects; zero
	// where the entry is connected.
	orphanedUntil time.Duration
}

// uncached returns the prompt tokens that the upstream is expected to compute.
func (r *request) uncached() float64 {
	return float64(max(0, r.offer.PromptTokens-r.cached))
}

// requestHeap is a heap of a lane's requests ordered by laneKey.
type requestHeap []*request

func (h requestHeap) Len() int { return len(h) }
func (h requestHeap) Less(i, j int) bool {
	if h[i].laneKey != h[j].laneKey {
		return h[i].laneKey < h[j].laneKey
	}
	return lessID(h[i].offer.ID, h[j].offer.ID)
}

func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].laneIndex = i
	h[j].laneIndex = j
}

func (h *requestHeap) Push(x any) {
	r := x.(*request)
	r.laneIndex = len(*h)
	*h = append(*h, r)
}

func (h *requestHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.laneIndex = notInHeap
	return last
}

func lessID(a, b ID) bool {
	if a.Entry != b.Entry {
		return a.Entry < b.Entry
	}
	return a.Number < b.Number
}

// latestStartHeap is a heap of queued requests ordered by latestStart.
type latestStartHeap []*request

func (h latestStartHeap) Len() int           { return len(h) }
func (h latestStartHeap) Less(i, j int) bool { return h[i].latestStart < h[j].latestStart }
func (h latestStartHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].latestStartIndex = i
	h[j].latestStartIndex = j
}

func (h *latestStartHeap) Push(x any) {
	r := x.(*request)
	r.latestStartIndex = len(*h)
	*h = append(*h, r)
}

func (h *latestStartHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.latestStartIndex = notInHeap
	return last
}

// orphan is a running request whose entry has disconnected, with the time at
// which its slot is freed. Items of requests that have ended, or whose entry
// has reconnected, are skipped.
type orphan struct {
	at time.Duration
	id ID
}

type orphanHeap []orphan

func (h orphanHeap) Len() int           { return len(h) }
func (h orphanHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h orphanHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *orphanHeap) Push(x any)        { *h = append(*h, x.(orphan)) }
func (h *orphanHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

var (
	_ heap.Interface = (*requestHeap)(nil)
	_ heap.Interface = (*latestStartHeap)(nil)
	_ heap.Interface = (*orphanHeap)(nil)
)
