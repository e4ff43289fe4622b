// Package answer keeps answers while they grow and for a time after, so that
// several readers, late ones too, each get all bytes from their own offset.
//
// Invariants: bytes once appended never change; an answer has exactly one end,
// whole or failed, and nothing is appended after it.
package answer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/verbenastep/verbenastep/api/fault"
)

// Meta describes an answer as a whole.
type Meta struct {
	Workspace string
	Key       string
	// Digest is the hash of the request's content.
	Digest string
	// Stream is the dispatched stream; empty before dispatch.
	Stream string
	// Pool is the model or service.
	Pool string
}

// Result is what stands at an answer's end.
type Result struct {
	// Status is a plain service's HTTP status, 200 for a model.
	Status       int
	ContentType  string
	Finish       string
	PromptTokens int
	OutputTokens int
}

// Answer is one answer.
type Answer struct {
	Meta    Meta
	Created time.Time

	mu       sync.Mutex
	data     []byte
	ended    bool
	endedAt  time.Time
	result   Result
	failure  *fault.Error
	changed  chan struct{}
	started  bool
	detached chan struct{}
	readers  int
}

// New returns an empty answer.
func New(m Meta) *Answer {
	return &Answer{Meta: m, Created: time.Now(), changed: make(chan struct{}), detached: make(chan struct{})}
}

// OffsetError says that a piece does not continue the answer.
type OffsetError struct {
	Have, Got int64
}

// Error names the remedy.
func (e *OffsetError) Error() string {
	return fmt.Sprintf("a piece at offset %d does not continue %d bytes; resume at the latter", e.Got, e.Have)
}

// Append adds a piece that starts at an offset. A piece that repeats bytes
// already held, or leaves a gap, is refused.
func (a *Answer) Append(offset int64, piece []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if offset != int64(len(a.data)) || a.ended {
		return &OffsetError{Have: int64(len(a.data)), Got: offset}
	}
	a.data = append(a.data, piece...)
	a.started = true
	a.signal()
	return nil
}

// Begin marks that the request is dispatched.
func (a *Answer) Begin(stream string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Meta.Stream = stream
	a.started = true
	a.signal()
}

// End completes the answer.
func (a *Answer) End(r Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.result = r
	a.finish()
}

// Fail ends the answer with an error.
func (a *Answer) Fail(e *fault.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.failure = e
	a.finish()
}

func (a *Answer) finish() {
	a.ended = true
	a.endedAt = time.Now()
	a.started = true
	a.signal()
}

func (a *Answer) signal() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Piece is what one Read returns.
type Piece struct {
	Data []byte
	// Ended says that nothing follows Data.
	Ended   bool
	Result  Result
	Failure *fault.Error
}

// Read waits for bytes beyond an offset, or for the end. It returns at once
// where started is wanted and the answer has begun.
func (a *Answer) Read(ctx context.Context, offset int64) (Piece, error) {
	for {
		a.mu.Lock()
		if offset > int64(len(a.data)) {
			have := int64(len(a.data))
			a.mu.Unlock()
			return Piece{}, &OffsetError{Have: have, Got: offset}
		}
		p := Piece{Data: a.data[offset:len(a.data):len(a.data)], Ended: a.ended, Result: a.result, Failure: a.failure}
		changed := a.changed
		a.mu.Unlock()
		if len(p.Data) > 0 || p.Ended {
			return p, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Piece{}, ctx.Err()
		}
	}
}

// Length returns how many bytes are held.
func (a *Answer) Length() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int64(len(a.data))
}

// expired tells whether the answer may be forgotten.
func (a *Answer) expired(before time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ended && a.endedAt.Before(before)
}

// Attach counts a reader; the returned function ends its reading.
func (a *Answer) Attach() func() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
	once := sync.Once{}
	return func() { once.Do(a.detach) }
}

func (a *Answer) detach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers--
	if a.readers == 0 && !a.ended {
		close(a.detached)
		a.detached = make(chan struct{})
	}
}

// Detached returns a channel that is closed when the last reader goes away
// before the end.
func (a *Answer) Detached() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.detached
}

// id tells answers of different workspaces apart.
type id struct {
	workspace string
	key       string
}

// Store holds answers by workspace and key.
type Store struct {
	mu      sync.Mutex
	answers map[id]*Answer
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{answers: map[id]*Answer{}}
}

// Put adds an answer, or returns the one that the key has already.
func (s *Store) Put(a *Answer) (*Answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := id{a.Meta.Workspace, a.Meta.Key}
	if old, ok := s.answers[k]; ok {
		return old, false
	}
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
	s.mu.Lock()
	defer s.mu.Unlock()
	k := id{a.Meta.Workspace, a.Meta.Key}
	if s.answers[k] == a {
		delete(s.answers, k)
	}
}

// Expire forgets answers that ended before a time.
func (s *Store) Expire(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, a := range s.answers {
		if a.expired(before) {
			delete(s.answers, k)
		}
	}
}

// Len counts the answers.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.answers)
}
