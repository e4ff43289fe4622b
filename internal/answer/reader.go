package answer

import (
	"context"
	"time"

	"github.com/verbenastep/verbenastep/api/fault"
)

// Reader reads one answer from an offset.
type Reader struct {
	answer *Answer
	// offset is how many bytes are taken, guarded by the answer's lock.
	offset int64
}

// Attach adds a reader at an offset, in bytes. It must be closed.
func (a *Answer) Attach(offset int64) *Reader {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := &Reader{answer: a, offset: offset}
	a.readers[r] = struct{}{}
	return r
}

// Close ends the reading.
func (r *Reader) Close() {
	a := r.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.readers[r]; !ok {
		return
	}
	delete(a.readers, r)
	r.moved()
	if len(a.readers) == 0 && !a.ended {
		close(a.detached)
		a.detached = make(chan struct{})
	}
}

func (r *Reader) moved() {
	close(r.answer.moved)
	r.answer.moved = make(chan struct{})
}

// Piece is what one Read returns.
type Piece struct {
	// Offset is where Data begins.
	Offset int64
	Data   []byte
	// Ended says that nothing follows Data.
	Ended   bool
	Result  Result
	Failure *fault.Error
}

// Read waits for bytes beyond what was read, or for the end. After the wait it
// returns an empty piece; a wait of zero has no bound.
func (r *Reader) Read(ctx context.Context, wait time.Duration) (Piece, error) {
	timeout := (<-chan time.Time)(nil)
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		timeout = timer.C
	}
	for {
		p, changed, err := r.take()
		if err != nil || len(p.Data) > 0 || p.Ended {
			return p, err
		}
		select {
		case <-changed:
		case <-timeout:
			return p, nil
		case <-ctx.Done():
			return Piece{}, ctx.Err()
		}
	}
}

func (r *Reader) take() (Piece, <-chan struct{}, error) {
	a := r.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	have := int64(len(a.data))
	if r.offset > have {
		if a.ended {
			return Piece{}, nil, &OffsetError{Have: have, Got: r.offset}
		}
		return Piece{Offset: r.offset}, a.changed, nil
	}
	p := Piece{Offset: r.offset, Data: a.data[r.offset:have:have], Ended: a.ended, Result: a.result, Failure: a.failure}
	if len(p.Data) > 0 {
		r.offset = have
		r.moved()
	}
	return p, a.changed, nil
}
