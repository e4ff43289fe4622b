package sched

import (
	"container/heap"
	"time"
)

const (
	// reserveDivisor sets the fraction of an upstream's slots, one in
	// reserveDivisor, that long requests leave free while short ones are
	// arriving.
	reserveDivisor = 8
	// minSlotsForReserve is the number of slots below which an upstream
	// reserves none.
	minSlotsForReserve = 4
	// reserveWindow is how long slots stay reserved after the last short
	// request.
	reserveWindow = 60 * time.Second
)

// upstream is an announced upstream and the requests in flight on it.
type upstream struct {
	Upstream
	id       int32
	expires  time.Duration
	draining bool
	inFlight map[ID]*request
	// longCount and suspectCount count the long and the suspect requests in
	// flight.
	longCount    int
	suspectCount int
	// uncachedTokens is the sum of the expected uncached prompt tokens of the
	// requests in flight.
	uncachedTokens float64
	// prefillUntil is when the prefill of all granted requests is expected to
	// end.
	prefillUntil time.Duration
	// tokenBudgets holds, by tier, the smallest token budget of the requests in
	// flight; zero where there is none.
	tokenBudgets []float64
	speed        speed
	// blendedSpeed is the speed averaged with the pool's.
	blendedSpeed speed
	slotLimit    slotLimit
	straggler    straggler
	cache        *cacheModel
	foreignLoad  foreignLoad
	// recentFailures are failed requests of which it is not known whether the
	// upstream crashed, oldest first.
	recentFailures []failure
	// baseCost orders upstreams by load alone, in seconds of expected
	// completion of a typical request.
	baseCost   float64
	roomIndex  [classes]int
	leaseIndex int
}

// hasRoom reports whether the upstream has a free slot for a class of request.
func (d *Dispatcher) hasRoom(now time.Duration, u *upstream, c class) bool {
	if u.draining || u.expires <= now {
		return false
	}
	capacity := u.capacity()
	if len(u.inFlight) >= capacity {
		return false
	}
	if c == short {
		return true
	}
	if u.straggler.demoted {
		return false
	}
	return u.longCount < capacity-d.reservedSlots(now, capacity)
}

// capacity returns the maximum number of concurrent requests.
func (u *upstream) capacity() int {
	if u.straggler.demoted {
		return max(1, u.slotLimit.current(u.Slots)/demotedSlotDivisor)
	}
	return u.slotLimit.current(u.Slots)
}

// reservedSlots returns the number of slots that long requests leave free.
func (d *Dispatcher) reservedSlots(now time.Duration, slots int) int {
	if d.params.PlainService || !d.seenShort || now-d.lastShort > reserveWindow || slots < minSlotsForReserve {
		return 0
	}
	return max(1, slots/reserveDivisor)
}

// refresh recomputes an upstream's blended speed and its position in the heaps
// of upstreams with room.
func (d *Dispatcher) refresh(now time.Duration, u *upstream) {
	u.blendedSpeed = blend(&u.speed, &d.poolSpeed)
	s := &u.blendedSpeed
	n := len(u.inFlight) + u.foreignLoad.requests()
	u.baseCost = s.prefill*u.uncachedTokens*remainingPrefillRatio + s.perToken(n+1)*d.typicalOutput() + s.call*float64(n+1)/float64(max(1, u.Slots))
	for c := range d.withRoom {
		h := &d.withRoom[c]
		fits := d.hasRoom(now, u, class(c))
		switch {
		case fits && u.roomIndex[c] == notInHeap:
			heap.Push(h, u)
		case fits:
			heap.Fix(h, u.roomIndex[c])
		case u.roomIndex[c] != notInHeap:
			heap.Remove(h, u.roomIndex[c])
		}
	}
}

// remainingPrefillRatio is the average fraction of the granted prefill that
// remains to be computed.
const remainingPrefillRatio = 0.5

// typicalOutput is the answer length assumed where no particular request is
// considered, in tokens.
func (d *Dispatcher) typicalOutput() float64 {
	return d.meanCost / (2 * outputCost)
}

// roomHeap is a heap of upstreams with room for a class, ordered by baseCost.
type roomHeap struct {
	class class
	items []*upstream
}

func (h *roomHeap) Len() int { return len(h.items) }
func (h *roomHeap) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if a.baseCost != b.baseCost {
		return a.baseCost < b.baseCost
	}
	return a.Name < b.Name
}

func (h *roomHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].roomIndex[h.class] = i
	h.items[j].roomIndex[h.class] = j
}

func (h *roomHeap) Push(x any) {
	u := x.(*upstream)
	u.roomIndex[h.class] = len(h.items)
	h.items = append(h.items, u)
}

func (h *roomHeap) Pop() any {
	last := h.items[len(h.items)-1]
	h.items[len(h.items)-1] = nil
	h.items = h.items[:len(h.items)-1]
	last.roomIndex[h.class] = notInHeap
	return last
}

// leaseHeap is a heap of upstreams ordered by the end of their leases.
type leaseHeap []*upstream

func (h leaseHeap) Len() int           { return len(h) }
func (h leaseHeap) Less(i, j int) bool { return h[i].expires < h[j].expires }
func (h leaseHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].leaseIndex = i
	h[j].leaseIndex = j
}

func (h *leaseHeap) Push(x any) {
	u := x.(*upstream)
	u.leaseIndex = len(*h)
	*h = append(*h, u)
}

func (h *leaseHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.leaseIndex = notInHeap
	return last
}

// failure is a request that failed on an upstream.
type failure struct {
	fingerprint uint64
	at          time.Duration
}
