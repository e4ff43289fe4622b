package answer

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// DefaultStoreBytes bounds the finished answers that a store keeps.
const DefaultStoreBytes = 128 << 20

// id tells answers of different workspaces apart.
type id struct {
	workspace string
	key       string
}

// Store holds answers by workspace and key.
type Store struct {
	// Limit is the most bytes; beyond it the oldest finished answers go.
	Limit int64
	// Dropped is told of each finished answer that the store lets go.
	Dropped func(*Answer)

	mu      sync.Mutex
	answers map[id]*Answer
	held    atomic.Int64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{Limit: DefaultStoreBytes, Dropped: func(*Answer) {}, answers: map[id]*Answer{}}
}

// Put adds an answer, or returns the one that the key has already.
func (s *Store) Put(a *Answer) (*Answer, bool) {
	if s.held.Load() > s.Limit {
		s.Expire(time.Time{})
	}
	m := a.Meta()
	s.mu.Lock()
	defer s.mu.Unlock()
	k := id{m.Workspace, m.Key}
	if old, ok := s.answers[k]; ok {
		return old, false
	}
	a.held = &s.held
	s.answers[k] = a
	return a, true
}

// Get finds an answer.
func (s *Store) Get(workspace, key string) (*Answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.answers[id{workspace, key}]
	return a, ok
}

// Remove forgets an answer, so that a resend of its key starts afresh.
func (s *Store) Remove(a *Answer) {
	m := a.Meta()
	s.mu.Lock()
	defer s.mu.Unlock()
	k := id{m.Workspace, m.Key}
	if s.answers[k] == a {
		s.drop(k, a)
	}
}

func (s *Store) drop(k id, a *Answer) {
	delete(s.answers, k)
	s.held.Add(-a.Length())
}

// Expire forgets answers that ended before a time, and the oldest finished
// ones beyond the limit.
func (s *Store) Expire(before time.Time) {
	for _, a := range s.expire(before) {
		s.Dropped(a)
	}
}

// finished is an answer that may go.
type finished struct {
	id     id
	answer *Answer
	at     time.Time
}

func (s *Store) expire(before time.Time) []*Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := []finished{}
	for k, a := range s.answers {
		if at, ended := a.endTime(); ended {
			old = append(old, finished{id: k, answer: a, at: at})
		}
	}
	slices.SortFunc(old, func(x, y finished) int { return x.at.Compare(y.at) })
	gone := []*Answer{}
	for _, f := range old {
		if !f.at.Before(before) && s.held.Load() <= s.Limit {
			break
		}
		s.drop(f.id, f.answer)
		gone = append(gone, f.answer)
	}
	return gone
}

// Bytes returns how many bytes all answers hold.
func (s *Store) Bytes() int64 { return s.held.Load() }

// Len counts the answers.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.answers)
}
