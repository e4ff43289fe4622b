package sched

import (
	"container/heap"
	"time"
)

// class separates short requests from the rest.
type class uint8

const (
	short class = iota
	long
	classes
)

// notQueued marks what is in no heap.
const notQueued = -1

// request is one offer and its state.
type request struct {
	offer   Offer
	arrived time.Duration
	// workspace is nil once the request ended.
	workspace *workspace
	class     class
	// output is the predicted answer, least a cautious lower bound, in tokens.
	output float64
	least  float64
	// cost is the predicted work in uncached prompt tokens.
	cost float64
	// key orders a lane; see queue.go.
	key       time.Duration
	laneIndex int
	doomIndex int
	// doomAt is when the request can no longer finish in time.
	doomAt time.Duration
	// considered is when the request was first at the head of the queue.
	considered time.Duration
	// set once granted:
	upstream    string
	incarnation uint64
	// counted says that a crash of its upstream has made it a suspect.
	counted  bool
	granted  time.Duration
	charged  float64
	expected time.Duration
	// need is the time per output token that it must have, in seconds.
	need   float64
	cached int
	// bestCached is the most that any upstream weighed should have held.
	bestCached int
	beside     int
	clearStart bool
	suspect    bool
	// orphaned is when the slot is freed without its entry; zero for never.
	orphaned time.Duration
}

// uncached returns the prompt tokens that the upstream must compute.
func (r *request) uncached() float64 {
	return float64(max(0, r.offer.PromptTokens-r.cached))
}

// requestHeap orders a lane's requests by key.
type requestHeap []*request

func (h requestHeap) Len() int { return len(h) }
func (h requestHeap) Less(i, j int) bool {
	if h[i].key != h[j].key {
		return h[i].key < h[j].key
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
	last.laneIndex = notQueued
	return last
}

func lessID(a, b ID) bool {
	if a.Entry != b.Entry {
		return a.Entry < b.Entry
	}
	return a.Number < b.Number
}

// doomHeap orders queued requests by when they can no longer finish.
type doomHeap []*request

func (h doomHeap) Len() int           { return len(h) }
func (h doomHeap) Less(i, j int) bool { return h[i].doomAt < h[j].doomAt }
func (h doomHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].doomIndex = i
	h[j].doomIndex = j
}

func (h *doomHeap) Push(x any) {
	r := x.(*request)
	r.doomIndex = len(*h)
	*h = append(*h, r)
}

func (h *doomHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.doomIndex = notQueued
	return last
}

// orphanHeap orders requests whose entry is gone by when their slot is freed.
// Entries of requests that ended or were taken up again are skipped.
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
	_ heap.Interface = (*doomHeap)(nil)
	_ heap.Interface = (*orphanHeap)(nil)
)
