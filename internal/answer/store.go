package answer

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// DefaultStoreBytes is the default of Store.MaxBytes, in bytes.
const DefaultStoreBytes = 128 << 20

// storeKey identifies an answer; keys are unique only within their workspace.
type storeKey struct {
	workspace string
	key       string
}

// Store holds answers by workspace and key. It is safe for concurrent use; its
// exported fields must be set before the first use.
type Store struct {
	// MaxBytes is the number of bytes above which the oldest finished answers are
	// removed. Running answers are never removed.
	MaxBytes int64
	// OnRemoved is called for each finished answer that expires or is removed
	// because of MaxBytes.
	OnRemoved func(*Answer)

	mu         sync.Mutex
	answers    map[storeKey]*Answer
	totalBytes atomic.Int64
}

// NewStore returns an empty store with the default limit.
func NewStore() *Store {
	return &Store{MaxBytes: DefaultStoreBytes, OnRemoved: func(*Answer) {}, answers: map[storeKey]*Answer{}}
}

// PutIfAbsent adds an answer and reports true. If the key already has an answer,
// it returns that one and false.
func (s *Store) PutIfAbsent(a *Answer) (*Answer, bool) {
	if s.totalBytes.Load() > s.MaxBytes {
		s.Expire(time.Time{})
	}
	m := a.Meta()
	s.mu.Lock()
	defer s.mu.Unlock()
	k := storeKey{m.Workspace, m.Key}
	if existing, ok := s.answers[k]; ok {
		return existing, false
	}
	a.storeBytes = &s.totalBytes
	s.answers[k] = a
	return a, true
}

// Get returns the answer of a key, if the store holds one.
func (s *Store) Get(workspace, key string) (*Answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.answers[storeKey{workspace, key}]
	return a, ok
}

// Remove deletes an answer, so that a retry under its key is processed as a new
// request. It does not call OnRemoved.
func (s *Store) Remove(a *Answer) {
	m := a.Meta()
	s.mu.Lock()
	defer s.mu.Unlock()
	k := storeKey{m.Workspace, m.Key}
	if s.answers[k] == a {
		s.deleteLocked(k, a)
	}
}

// deleteLocked deletes an answer. The caller holds mu.
func (s *Store) deleteLocked(k storeKey, a *Answer) {
	delete(s.answers, k)
	s.totalBytes.Add(-a.Length())
}

// Expire removes answers that ended before the given time, and the oldest
// finished answers while the store exceeds its limit.
func (s *Store) Expire(before time.Time) {
	for _, a := range s.removeExpired(before) {
		s.OnRemoved(a)
	}
}

// finishedAnswer is an ended answer, which may be removed.
type finishedAnswer struct {
	key     storeKey
	answer  *Answer
	endedAt time.Time
}

// removeExpired removes the answers that Expire names and returns them.
func (s *Store) removeExpired(before time.Time) []*Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := []finishedAnswer{}
	for k, a := range s.answers {
		if at, ended := a.endTime(); ended {
			candidates = append(candidates, finishedAnswer{key: k, answer: a, endedAt: at})
		}
	}
	slices.SortFunc(candidates, func(x, y finishedAnswer) int { return x.endedAt.Compare(y.endedAt) })
	removed := []*Answer{}
	for _, f := range candidates {
		if !f.endedAt.Before(before) && s.totalBytes.Load() <= s.MaxBytes {
			break
		}
		s.deleteLocked(f.key, f.answer)
		removed = append(removed, f.answer)
	}
	return removed
}

// Bytes returns the total size of all answers.
func (s *Store) Bytes() int64 { return s.totalBytes.Load() }

// Len returns the number of answers.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.answers)
}
