package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minSlowTime is how long a caller must be waited for before it is cut off. A caller
	// that reads at the speed of its link catches up with a burst within it.
	minSlowTime = 250 * time.Millisecond
	// slowBytesPerSecond is the average rate below which a caller that sends a body, or
	// reads a response that is complete, counts as slow.
	slowBytesPerSecond = 256 << 10
	// roomRetryInterval is the interval at which a request that needs memory asks again. Hundreds
	// may wait at a time, and each looks at all that are waited for.
	roomRetryInterval = 20 * time.Millisecond
	// minCutOffLogInterval is the least time between two log lines of cut offs.
	minCutOffLogInterval = 200 * time.Millisecond
)

// buffers bounds the bytes that the entry holds for all its callers together: request
// bodies, responses that are not streams, and events that were not written yet. At the
// bound it cuts off the slow caller whose request holds most. It is safe for concurrent use.
type buffers struct {
	limit int64
	used  atomic.Int64
	// onCutOff is called for each request that is cut off, with the lock held.
	onCutOff func(h *holding, waited time.Duration)

	mu sync.Mutex
	// waiting holds the requests that wait for their callers.
	waiting map[*holding]struct{}
	// ending counts the requests that were cut off and still hold memory.
	ending int
}

func newBuffers(limit int64) *buffers {
	return &buffers{limit: limit, waiting: map[*holding]struct{}{}}
}

// holding is what one request holds. Its methods are safe for concurrent use.
type holding struct {
	buffers *buffers
	request *request
	held    atomic.Int64
	// cutOff ends the request without a complete response. It is called at most once, with
	// the lock held and before the request has ended.
	cutOff func()

	// The lock of buffers guards these fields.

	// waits counts the reasons for which the request waits for its caller, since slowSince.
	waits     int
	slowSince time.Time
	isCut     bool
	ended     bool
}

func (b *buffers) newHolding(q *request) *holding { return &holding{buffers: b, request: q} }

// reserve adds bytes to what the request holds, unless that would exceed the bound.
func (h *holding) reserve(n int) bool {
	if h.buffers.used.Add(int64(n)) > h.buffers.limit {
		h.buffers.used.Add(int64(-n))
		return false
	}
	h.held.Add(int64(n))
	return true
}

// release returns bytes that were reserved.
func (h *holding) release(n int) {
	h.held.Add(int64(-n))
	h.buffers.used.Add(int64(-n))
}

// reserveOrCutOff reserves bytes. At the bound it cuts off slow callers until there is room,
// and returns false if there is none to cut off or ctx ends.
func (h *holding) reserveOrCutOff(ctx context.Context, n int) bool {
	for !h.reserve(n) {
		if !h.buffers.makeRoom(time.Now()) || !sleep(ctx, roomRetryInterval) {
			return false
		}
	}
	return true
}

// reserveOrWait does the same, but waits where there is no slow caller to cut off.
func (h *holding) reserveOrWait(ctx context.Context, n int) bool {
	for !h.reserve(n) {
		h.buffers.makeRoom(time.Now())
		if !sleep(ctx, roomRetryInterval) {
			return false
		}
	}
	return true
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// beginWaiting records that the request waits for its caller, which counts as slow
// minSlowTime after the given time. stopWaiting must follow.
func (h *holding) beginWaiting(since time.Time) {
	h.buffers.mu.Lock()
	defer h.buffers.mu.Unlock()
	h.waits++
	if h.waits == 1 && !h.ended && !h.isCut {
		h.slowSince = since
		h.buffers.waiting[h] = struct{}{}
	}
}

// waitSince changes the time given to beginWaiting.
func (h *holding) waitSince(since time.Time) {
	h.buffers.mu.Lock()
	defer h.buffers.mu.Unlock()
	h.slowSince = since
}

// stopWaiting ends what beginWaiting began.
func (h *holding) stopWaiting() {
	h.buffers.mu.Lock()
	defer h.buffers.mu.Unlock()
	h.waits--
	if h.waits == 0 {
		delete(h.buffers.waiting, h)
	}
}

// end returns all that the request holds, and reports whether it was cut off. It is not cut
// off afterwards.
func (h *holding) end() bool {
	h.buffers.mu.Lock()
	defer h.buffers.mu.Unlock()
	if !h.ended {
		h.ended = true
		delete(h.buffers.waiting, h)
		h.buffers.used.Add(-h.held.Swap(0))
		if h.isCut {
			h.buffers.ending--
		}
	}
	return h.isCut
}

// abandon ends a request whose caller is gone. It does nothing once the request has ended.
func (h *holding) abandon() {
	h.buffers.mu.Lock()
	defer h.buffers.mu.Unlock()
	if !h.ended && !h.isCut && h.cutOff != nil {
		h.cutOff()
	}
}

// wasCutOff reports whether the request was cut off.
func (h *holding) wasCutOff() bool {
	h.buffers.mu.Lock()
	defer h.buffers.mu.Unlock()
	return h.isCut
}

// makeRoom cuts off the slow caller whose request holds most, unless one that was cut off
// still holds memory, or the request that holds most has waited for its caller for less than
// minSlowTime: another one, which holds less, is not cut off in its place. It reports whether
// memory will be free soon.
func (b *buffers) makeRoom(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ending > 0 {
		return true
	}
	largest := (*holding)(nil)
	for h := range b.waiting {
		if h.cutOff != nil && !now.Before(h.slowSince) && (largest == nil || h.held.Load() > largest.held.Load()) {
			largest = h
		}
	}
	if largest == nil || largest.held.Load() == 0 {
		return false
	}
	if now.Sub(largest.slowSince) < minSlowTime {
		return true
	}
	delete(b.waiting, largest)
	largest.isCut = true
	b.ending++
	if b.onCutOff != nil {
		b.onCutOff(largest, now.Sub(largest.slowSince))
	}
	largest.cutOff()
	return true
}

// slowStart returns the time from which a caller that has taken or sent a number of bytes
// since it was first waited for counts as waited for: each second's worth of bytes gives it
// one more second.
func slowStart(began time.Time, done int) time.Time {
	return began.Add(time.Duration(done) * time.Second / slowBytesPerSecond)
}
