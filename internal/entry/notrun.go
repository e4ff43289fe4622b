package entry

import "sync"

// maxNotRunKeys is the maximum number of keys in notRunAttempts.
const maxNotRunKeys = 4096

// requestID identifies a request; keys are unique only within their workspace.
type requestID struct {
	workspace string
	key       string
}

// notRunAttempts caches the newest attempt under each key that the log has
// recorded as not run, as far as this entry knows. After an eviction the next
// retry under that key is refused once more. It is safe for concurrent use.
type notRunAttempts struct {
	mu       sync.Mutex
	attempts map[requestID]uint64
	order    []requestID
}

func newNotRunAttempts() *notRunAttempts { return &notRunAttempts{attempts: map[requestID]uint64{}} }

// add records an attempt as not run and evicts the oldest key above the maximum.
func (m *notRunAttempts) add(workspace, key string, attempt uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := requestID{workspace, key}
	previous, known := m.attempts[id]
	m.attempts[id] = max(previous, attempt, 1)
	if known {
		return
	}
	m.order = append(m.order, id)
	if len(m.order) > maxNotRunKeys {
		delete(m.attempts, m.order[0])
		m.order = m.order[1:]
	}
}

// newest returns the newest known attempt under a key, or zero.
func (m *notRunAttempts) newest(workspace, key string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.attempts[requestID{workspace, key}]
}
