package answer

import (
	"context"
	"time"

	"github.com/verbenastep/verbenastep/api/fault"
)

// Reader reads an answer from an offset. It is not safe for concurrent use.
type Reader struct {
	answer *Answer
	// offset is the position of the next byte to read, guarded by the answer's
	// mutex.
	offset int64
}

// Attach adds a reader that starts at an offset, in bytes. The reader must be
// closed.
func (a *Answer) Attach(offset int64) *Reader {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := &Reader{answer: a, offset: offset}
	a.readers[r] = struct{}{}
	return r
}

// Close detaches the reader from its answer. Further calls have no effect.
func (r *Reader) Close() {
	a := r.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.readers[r]; !ok {
		return
	}
	delete(a.readers, r)
	r.notifyWriters()
	if len(a.readers) == 0 && !a.ended {
		close(a.detached)
		a.detached = make(chan struct{})
	}
}

// notifyWriters wakes writers that wait for readers. The caller holds the
// answer's mutex.
func (r *Reader) notifyWriters() {
	close(r.answer.readerAdvanced)
	r.answer.readerAdvanced = make(chan struct{})
}

// Chunk is the result of one Read.
type Chunk struct {
	// Offset is the position of Data in the answer, in bytes.
	Offset int64
	Data   []byte
	// Ended reports that no bytes follow Data. Result and Failure are only
	// valid with it.
	Ended   bool
	Result  Result
	Failure *fault.Error
}

// Read returns the bytes that follow those already read. If there are none, it
// blocks until bytes arrive, the answer ends, or the context ends, and returns
// an empty Chunk when wait has passed; a wait of zero sets no limit. It returns
// an OffsetError if the answer ended before the reader's offset.
func (r *Reader) Read(ctx context.Context, wait time.Duration) (Chunk, error) {
	timeout := (<-chan time.Time)(nil)
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		timeout = timer.C
	}
	for {
		p, changed, err := r.readAvailable()
		if err != nil || len(p.Data) > 0 || p.Ended {
			return p, err
		}
		select {
		case <-changed:
		case <-timeout:
			return p, nil
		case <-ctx.Done():
			return Chunk{}, ctx.Err()
		}
	}
}

// readAvailable returns all unread bytes without blocking and advances the reader
// past them. It also returns the channel that is closed at the next change of the
// answer.
func (r *Reader) readAvailable() (Chunk, <-chan struct{}, error) {
	a := r.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	have := int64(len(a.data))
	if r.offset > have {
		if a.ended {
			return Chunk{}, nil, &OffsetError{Length: have, Offset: r.offset}
		}
		return Chunk{Offset: r.offset}, a.changed, nil
	}
	p := Chunk{Offset: r.offset, Data: a.data[r.offset:have:have], Ended: a.ended, Result: a.result, Failure: a.failure}
	if len(p.Data) > 0 {
		r.offset = have
		r.notifyWriters()
	}
	return p, a.changed, nil
}
