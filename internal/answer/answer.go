// Package answer keeps answers while they grow and for a time after, so that
// several readers, late ones too, each get all bytes from their own offset.
//
// Invariants: bytes once appended never change; an answer has exactly one end,
// whole or failed, and nothing is appended after it.
package answer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/verbenastep/verbenastep/api/fault"
)

const (
	// MaxBytes is the largest answer.
	MaxBytes = 8 << 20
	// Window is how far, in bytes, an answer may grow ahead of its slowest
	// reader before whoever fills it should wait.
	Window = 1 << 20
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
	// Form is the shape in which callers receive the answer.
	Form string
}

// Result is what stands at an answer's end.
type Result struct {
	// Status is a plain service's HTTP status, 200 for a model.
	Status       int
	ContentType  string
	Finish       string
	PromptTokens int
	// CachedTokens of the prompt were not computed.
	CachedTokens int
	OutputTokens int
}

// Answer is one answer.
type Answer struct {
	Created time.Time

	mu      sync.Mutex
	meta    Meta
	data    []byte
	ended   bool
	endedAt time.Time
	result  Result
	failure *fault.Error
	started bool
	// changed is closed at each growth, begun at the start, moved whenever a
	// reader goes on, detached when the last reader goes away before the end.
	changed  chan struct{}
	begun    chan struct{}
	moved    chan struct{}
	detached chan struct{}
	readers  map[*Reader]struct{}
	// held counts the bytes of all answers of the store.
	held      *atomic.Int64
	delivered atomic.Bool
}

// New returns an empty answer.
func New(m Meta) *Answer {
	return &Answer{
		meta: m, Created: time.Now(), changed: make(chan struct{}), begun: make(chan struct{}), moved: make(chan struct{}),
		detached: make(chan struct{}), readers: map[*Reader]struct{}{}, held: &atomic.Int64{},
	}
}

// OffsetError says that a piece does not continue the answer.
type OffsetError struct {
	Have, Got int64
}

// Error names the remedy.
func (e *OffsetError) Error() string {
	return fmt.Sprintf("a piece at offset %d does not continue %d bytes; resume at the latter", e.Got, e.Have)
}

// Meta describes the answer.
func (a *Answer) Meta() Meta {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.meta
}

// Append adds a piece that starts at an offset. A piece that repeats bytes
// already held, leaves a gap or exceeds MaxBytes is refused.
func (a *Answer) Append(offset int64, piece []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	have := int64(len(a.data))
	if offset != have || a.ended || have+int64(len(piece)) > MaxBytes {
		return &OffsetError{Have: have, Got: offset}
	}
	a.data = append(a.data, piece...)
	a.held.Add(int64(len(piece)))
	a.start()
	a.signal()
	return nil
}

// Begin marks that the request is dispatched.
func (a *Answer) Begin(stream string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.meta.Stream = stream
	a.start()
	a.signal()
}

func (a *Answer) start() {
	if !a.started {
		a.started = true
		close(a.begun)
	}
}

// Begun returns a channel that is closed once the answer has a stream, bytes
// or an end.
func (a *Answer) Begun() <-chan struct{} { return a.begun }

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
	a.start()
	a.signal()
}

func (a *Answer) signal() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Length returns how many bytes are held.
func (a *Answer) Length() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int64(len(a.data))
}

// Whole tells whether the answer has its explicit end.
func (a *Answer) Whole() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ended && a.failure == nil
}

// Delivered marks that a caller received the whole answer.
func (a *Answer) Delivered() { a.delivered.Store(true) }

// WasDelivered tells whether a caller received the whole answer.
func (a *Answer) WasDelivered() bool { return a.delivered.Load() }

// Result returns what stands at the end; it is zero before.
func (a *Answer) Result() Result {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.result
}

// endTime tells when the answer ended.
func (a *Answer) endTime() (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.endedAt, a.ended
}

// Detached returns a channel that is closed when the last reader goes away
// before the end.
func (a *Answer) Detached() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.detached
}

// WaitRoom waits until the slowest reader is less than Window behind, or there
// is no reader, or the context ends.
func (a *Answer) WaitRoom(ctx context.Context) {
	for {
		a.mu.Lock()
		behind := a.lag() >= Window
		moved := a.moved
		a.mu.Unlock()
		if !behind {
			return
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return
		}
	}
}

func (a *Answer) lag() int64 {
	worst := int64(0)
	for r := range a.readers {
		worst = max(worst, int64(len(a.data))-r.offset)
	}
	return worst
}

// Describe fills in pool and form where they are not known yet.
func (a *Answer) Describe(pool, form string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.meta.Pool == "" {
		a.meta.Pool = pool
	}
	if a.meta.Form == "" {
		a.meta.Form = form
	}
}

// Sum returns the SHA-256 hash of the bytes held, in hex.
func (a *Answer) Sum() string {
	a.mu.Lock()
	data := a.data
	a.mu.Unlock()
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
