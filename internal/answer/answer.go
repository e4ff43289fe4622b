// Package answer buffers answers while they are generated and retains them
// afterwards. Any number of readers can attach at any time, and each receives
// every byte from its own offset. The entry writes the answers and serves them
// to callers and to other entries.
//
// Appended bytes never change. An answer ends exactly once, complete or failed,
// and accepts no bytes after that. All types are safe for concurrent use.
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
	// MaxBytes is the maximum size of an answer.
	MaxBytes = 8 << 20
	// MaxReaderLag is the number of bytes by which an answer may be ahead of its
	// slowest reader before its writer has to wait (see WaitForReaders).
	MaxReaderLag = 1 << 20
)

// Meta identifies an answer and the request that it belongs to.
type Meta struct {
	Workspace string
	Key       string
	// Digest is the hash of the request's content, in hex.
	Digest string
	// Stream is the ID of the dispatched stream, empty before dispatch.
	Stream string
	// Pool is the model or service that answers.
	Pool string
	// Form is the response format that the caller asked for.
	Form string
}

// Result holds the properties of an answer that are known at its end.
type Result struct {
	// Status is the HTTP status of a service's reply, 200 for a model.
	Status       int
	ContentType  string
	FinishReason string
	PromptTokens int
	// CachedTokens is the number of prompt tokens read from the prefix cache.
	CachedTokens int
	OutputTokens int
}

// Answer is the growing or finished answer to one request.
type Answer struct {
	Created time.Time

	mu       sync.Mutex
	meta     Meta
	data     []byte
	ended    bool
	endedAt  time.Time
	result   Result
	failure  *fault.Error
	hasBegun bool
	// changed is closed and replaced on every append, dispatch and end.
	// begun is closed once, at the first of these.
	// readerAdvanced is closed and replaced when a reader advances or closes.
	// detached is closed and replaced when the last reader closes before the end.
	changed        chan struct{}
	begun          chan struct{}
	readerAdvanced chan struct{}
	detached       chan struct{}
	readers        map[*Reader]struct{}
	// storeBytes counts the bytes of all answers in the store, or of this answer
	// alone while no store holds the answer.
	storeBytes *atomic.Int64
	delivered  atomic.Bool
}

// New returns an empty answer.
func New(m Meta) *Answer {
	return &Answer{
		meta: m, Created: time.Now(), changed: make(chan struct{}), begun: make(chan struct{}), readerAdvanced: make(chan struct{}),
		detached: make(chan struct{}), readers: map[*Reader]struct{}{}, storeBytes: &atomic.Int64{},
	}
}

// OffsetError reports bytes or a read whose offset does not match the answer.
type OffsetError struct {
	// Length is the answer's length and Offset the offset given, both in bytes.
	Length, Offset int64
}

// Error implements error.
func (e *OffsetError) Error() string {
	return fmt.Sprintf("offset %d does not match the answer's length of %d bytes; continue at its length", e.Offset, e.Length)
}

// Meta returns a copy of the answer's metadata.
func (a *Answer) Meta() Meta {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.meta
}

// Append adds bytes that start at offset. It returns an OffsetError, and adds
// nothing, if they would repeat bytes, leave a gap, make the answer exceed
// MaxBytes or follow its end.
func (a *Answer) Append(offset int64, chunk []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	have := int64(len(a.data))
	if offset != have || a.ended || have+int64(len(chunk)) > MaxBytes {
		return &OffsetError{Length: have, Offset: offset}
	}
	a.data = append(a.data, chunk...)
	a.storeBytes.Add(int64(len(chunk)))
	a.markBegun()
	a.notifyReaders()
	return nil
}

// MarkDispatched records that the request was dispatched as the given stream.
func (a *Answer) MarkDispatched(stream string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.meta.Stream = stream
	a.markBegun()
	a.notifyReaders()
}

// markBegun closes begun at the first call. The caller holds mu.
func (a *Answer) markBegun() {
	if !a.hasBegun {
		a.hasBegun = true
		close(a.begun)
	}
}

// Begun returns a channel that is closed once the request is dispatched, or the
// answer has bytes or an end.
func (a *Answer) Begun() <-chan struct{} { return a.begun }

// End completes the answer. It has no effect on an answer that has ended.
func (a *Answer) End(r Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.result = r
	a.finish()
}

// Fail ends the answer with an error. It has no effect on an answer that has
// ended.
func (a *Answer) Fail(e *fault.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.failure = e
	a.finish()
}

// finish marks the answer as ended. The caller holds mu.
func (a *Answer) finish() {
	a.ended = true
	a.endedAt = time.Now()
	a.markBegun()
	a.notifyReaders()
}

// notifyReaders wakes the readers. The caller holds mu.
func (a *Answer) notifyReaders() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Length returns the number of bytes appended so far.
func (a *Answer) Length() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int64(len(a.data))
}

// IsComplete reports whether the answer ended without an error.
func (a *Answer) IsComplete() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ended && a.failure == nil
}

// MarkDelivered records that a caller received the complete answer.
func (a *Answer) MarkDelivered() { a.delivered.Store(true) }

// WasDelivered reports whether a caller received the complete answer.
func (a *Answer) WasDelivered() bool { return a.delivered.Load() }

// Result returns the result of a complete answer and the zero value before.
func (a *Answer) Result() Result {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.result
}

// endTime returns when the answer ended, and whether it has.
func (a *Answer) endTime() (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.endedAt, a.ended
}

// Detached returns a channel that is closed when the last current reader closes
// before the end of the answer.
func (a *Answer) Detached() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.detached
}

// WaitForReaders blocks the writer until the slowest reader is less than
// MaxReaderLag bytes behind, no reader is left, or the context ends.
func (a *Answer) WaitForReaders(ctx context.Context) {
	for {
		a.mu.Lock()
		behind := a.maxReaderLag() >= MaxReaderLag
		advanced := a.readerAdvanced
		a.mu.Unlock()
		if !behind {
			return
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return
		}
	}
}

// maxReaderLag returns how many bytes the slowest reader is behind. The caller
// holds mu.
func (a *Answer) maxReaderLag() int64 {
	lag := int64(0)
	for r := range a.readers {
		lag = max(lag, int64(len(a.data))-r.offset)
	}
	return lag
}

// Describe sets pool and form if they are still empty.
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

// Checksum returns the SHA-256 hash of the bytes appended so far, in hex.
func (a *Answer) Checksum() string {
	a.mu.Lock()
	data := a.data
	a.mu.Unlock()
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
