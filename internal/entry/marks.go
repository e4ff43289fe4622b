package entry

import "sync"

// keptMarks is how many marked keys an entry remembers.
const keptMarks = 4096

// keyID tells keys of different workspaces apart.
type keyID struct {
	workspace string
	key       string
}

// marks remembers the newest attempt under each key that this entry knows to be
// marked as not run. A forgotten mark costs its caller one more refusal.
type marks struct {
	mu    sync.Mutex
	known map[keyID]uint64
	order []keyID
}

func newMarks() *marks { return &marks{known: map[keyID]uint64{}} }

// note remembers an attempt.
func (m *marks) note(workspace, key string, attempt uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := keyID{workspace, key}
	old, again := m.known[id]
	m.known[id] = max(old, attempt, 1)
	if again {
		return
	}
	m.order = append(m.order, id)
	if len(m.order) > keptMarks {
		delete(m.known, m.order[0])
		m.order = m.order[1:]
	}
}

// attempt returns what is known of a key; zero for nothing.
func (m *marks) attempt(workspace, key string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.known[keyID{workspace, key}]
}
