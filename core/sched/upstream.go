package sched

import (
	"container/heap"
	"time"
)

const (
	// reservePart is the part of an upstream's slots that long requests leave
	// free while short ones are about.
	reservePart = 8
	// reserveFrom is the fewest slots of which any is reserved.
	reserveFrom = 4
	// shortMemory is how long after the last short request slots are reserved.
	shortMemory = 60 * time.Second
)

// upstream is an announced upstream and what runs on it.
type upstream struct {
	Upstream
	id       int32
	expires  time.Duration
	leaving  bool
	inFlight map[ID]*request
	// longs counts the long requests in flight, suspects the suspect ones.
	longs    int
	suspects int
	// uncached and output sum what the requests in flight were granted with.
	uncached float64
	// prefillUntil is when the prefill of all granted requests should be over.
	prefillUntil time.Duration
	// tight is the least need of the requests in flight by tier.
	tight []float64
	speed speed
	// known is the speed with the pool's average counted in.
	known     speed
	slots     slots
	straggler straggler
	cache     *residency
	load      loadReport
	// broken are the requests that failed here lately, oldest first.
	broken []failure
	// base orders upstreams for a request that nothing is known of, in seconds.
	base  float64
	index [classes]int
	lease int
}

// room says whether the upstream has a slot for a class of request.
func (d *Dispatcher) room(now time.Duration, u *upstream, c class) bool {
	if u.leaving || u.expires <= now {
		return false
	}
	most := u.capacity()
	if len(u.inFlight) >= most {
		return false
	}
	if c == short {
		return true
	}
	if u.straggler.demoted {
		return false
	}
	return u.longs < most-d.reserve(now, most)
}

// capacity returns how many requests the upstream may run at once.
func (u *upstream) capacity() int {
	if u.straggler.demoted {
		return max(1, u.slots.now(u.Slots)/trickleDivisor)
	}
	return u.slots.now(u.Slots)
}

// reserve returns how many slots long requests leave free.
func (d *Dispatcher) reserve(now time.Duration, slots int) int {
	if d.params.Plain || !d.seenShort || now-d.lastShort > shortMemory || slots < reserveFrom {
		return 0
	}
	return max(1, slots/reservePart)
}

// refresh recomputes an upstream's place among those with room.
func (d *Dispatcher) refresh(now time.Duration, u *upstream) {
	u.known = blend(&u.speed, &d.pool)
	s := &u.known
	n := len(u.inFlight) + u.load.foreign()
	u.base = s.prefill*u.uncached*prefillPart + s.perToken(n+1)*d.typicalOutput() + s.call*float64(n+1)/float64(max(1, u.Slots))
	for c := range d.open {
		h := &d.open[c]
		has := d.room(now, u, class(c))
		switch {
		case has && u.index[c] == notQueued:
			heap.Push(h, u)
		case has:
			heap.Fix(h, u.index[c])
		case u.index[c] != notQueued:
			heap.Remove(h, u.index[c])
		}
	}
}

// prefillPart is the part of the granted prefill that is still to be done on
// average.
const prefillPart = 0.5

// typicalOutput is the answer assumed where no request is at hand, in tokens.
func (d *Dispatcher) typicalOutput() float64 {
	return d.meanCost / (2 * outputCost)
}

// openHeap orders upstreams with room for a class by their base.
type openHeap struct {
	class class
	items []*upstream
}

func (h *openHeap) Len() int { return len(h.items) }
func (h *openHeap) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if a.base != b.base {
		return a.base < b.base
	}
	return a.Name < b.Name
}

func (h *openHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].index[h.class] = i
	h.items[j].index[h.class] = j
}

func (h *openHeap) Push(x any) {
	u := x.(*upstream)
	u.index[h.class] = len(h.items)
	h.items = append(h.items, u)
}

func (h *openHeap) Pop() any {
	last := h.items[len(h.items)-1]
	h.items[len(h.items)-1] = nil
	h.items = h.items[:len(h.items)-1]
	last.index[h.class] = notQueued
	return last
}

// leaseHeap orders upstreams by the end of their leases.
type leaseHeap []*upstream

func (h leaseHeap) Len() int           { return len(h) }
func (h leaseHeap) Less(i, j int) bool { return h[i].expires < h[j].expires }
func (h leaseHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].lease = i
	h[j].lease = j
}

func (h *leaseHeap) Push(x any) {
	u := x.(*upstream)
	u.lease = len(*h)
	*h = append(*h, u)
}

func (h *leaseHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.lease = notQueued
	return last
}

// failure is a request that broke on an upstream.
type failure struct {
	fingerprint uint64
	at          time.Duration
}
