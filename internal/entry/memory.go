package entry

import (
	"context"
	"slices"
	"sync"

	"github.com/verbenastep/verbenastep/api/fault"
)

// DefaultBodyMemory bounds the bodies and prompts that wait to be dispatched,
// in bytes.
const DefaultBodyMemory = 256 << 20

// memory lends bytes for bodies. Where it runs short, callers wait before their
// body is read: higher tiers are served first, and within a tier the first to
// come.
type memory struct {
	mu      sync.Mutex
	free    int64
	waiting []*borrower
	nextID  uint64
}

// borrower is a caller whose body is not read yet.
type borrower struct {
	tier  int
	id    uint64
	size  int64
	ready chan struct{}
}

func newMemory(size int64) *memory { return &memory{free: size} }

// borrow waits for bytes, which the returned function gives back.
func (m *memory) borrow(ctx context.Context, tier int, size int64) (func(), error) {
	b := m.enter(tier, size)
	select {
	case <-b.ready:
		once := sync.Once{}
		return func() { once.Do(func() { m.give(b.size) }) }, nil
	case <-ctx.Done():
		m.leave(b)
		return nil, fault.New(fault.Unavailable, "send the request again later", "the entry had no memory for the body in time").After(upstreamRetryAfter)
	}
}

func (m *memory) enter(tier int, size int64) *borrower {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextID++
	b := &borrower{tier: tier, id: m.nextID, size: size, ready: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(m.waiting, b, func(x, y *borrower) int {
		if x.tier != y.tier {
			return x.tier - y.tier
		}
		return int(x.id) - int(y.id)
	})
	m.waiting = slices.Insert(m.waiting, at, b)
	m.serve()
	return b
}

// serve lends to the first in line, and stops at one that must wait.
func (m *memory) serve() {
	for len(m.waiting) > 0 && m.waiting[0].size <= m.free {
		b := m.waiting[0]
		m.waiting = slices.Delete(m.waiting, 0, 1)
		m.free -= b.size
		close(b.ready)
	}
}

func (m *memory) give(size int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.free += size
	m.serve()
}

// leave ends a wait; bytes that were lent meanwhile go back.
func (m *memory) leave(b *borrower) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := slices.Index(m.waiting, b)
	if i < 0 {
		m.free += b.size
	} else {
		m.waiting = slices.Delete(m.waiting, i, i+1)
	}
	m.serve()
}

// lent returns how many bytes are short of the whole, for a memory of a size.
func (m *memory) lent(size int64) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return size - m.free
}
