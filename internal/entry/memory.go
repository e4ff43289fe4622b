package entry

import (
	"context"
	"slices"
	"sync"

	"github.com/verbenastep/verbenastep/api/fault"
)

// DefaultBodyMemory is the memory for the bodies and prompts of requests that
// are not dispatched yet, in bytes.
const DefaultBodyMemory = 256 << 20

// memoryPool limits the memory of request bodies. If it is exhausted, requests
// wait before their body is read, ordered by tier and then by arrival. It is
// safe for concurrent use.
type memoryPool struct {
	mu      sync.Mutex
	free    int64
	waiting []*memoryWaiter
	nextID  uint64
}

// memoryWaiter is a request that waits for memory. A lower tier index means a
// higher priority.
type memoryWaiter struct {
	tier  int
	id    uint64
	size  int64
	ready chan struct{}
}

func newMemoryPool(size int64) *memoryPool { return &memoryPool{free: size} }

// acquire reserves size bytes and returns the function that releases them, which
// may be called more than once. If the context ends first it returns an error
// that asks the caller to retry.
func (m *memoryPool) acquire(ctx context.Context, tier int, size int64) (func(), error) {
	w := m.enqueue(tier, size)
	select {
	case <-w.ready:
		once := sync.Once{}
		return func() { once.Do(func() { m.release(w.size) }) }, nil
	case <-ctx.Done():
		m.cancel(w)
		return nil, fault.New(fault.Unavailable, "send the request again later", "the entry had no memory for the body in time").After(upstreamRetryAfter)
	}
}

// enqueue adds a waiter in order of tier and arrival.
func (m *memoryPool) enqueue(tier int, size int64) *memoryWaiter {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextID++
	w := &memoryWaiter{tier: tier, id: m.nextID, size: size, ready: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(m.waiting, w, func(x, y *memoryWaiter) int {
		if x.tier != y.tier {
			return x.tier - y.tier
		}
		return int(x.id) - int(y.id)
	})
	m.waiting = slices.Insert(m.waiting, at, w)
	m.grant()
	return w
}

// grant reserves memory for the waiters in order, up to the first that does not
// fit. The caller holds mu.
func (m *memoryPool) grant() {
	for len(m.waiting) > 0 && m.waiting[0].size <= m.free {
		w := m.waiting[0]
		m.waiting = slices.Delete(m.waiting, 0, 1)
		m.free -= w.size
		close(w.ready)
	}
}

// release returns bytes to the pool.
func (m *memoryPool) release(size int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.free += size
	m.grant()
}

// cancel removes a waiter, or releases its bytes if they were granted meanwhile.
func (m *memoryPool) cancel(w *memoryWaiter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := slices.Index(m.waiting, w)
	if i < 0 {
		m.free += w.size
	} else {
		m.waiting = slices.Delete(m.waiting, i, i+1)
	}
	m.grant()
}

// reserved returns how many bytes are reserved, given the size of the pool.
func (m *memoryPool) reserved(size int64) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return size - m.free
}
