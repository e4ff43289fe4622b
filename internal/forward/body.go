package forward

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	// minBodyBytes is the least size of a buffer for a body of unknown length.
	minBodyBytes = 512
	// memoryRetryDelay is the Retry-After of a request that the entry has no memory for.
	memoryRetryDelay = 500 * time.Millisecond
)

// bodyReader reads the body of a caller's request into memory that grows with what has
// arrived, whatever length the caller states.
type bodyReader struct {
	q *request
	r *http.Request
	// in is the body, bounded.
	in    io.Reader
	began time.Time
	// waiting is set once the caller did not send the whole body at once.
	waiting bool
}

// readBody reads the whole body, up to maxBytes or the default. The caller has until the
// request's deadline to send it.
func (q *request) readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) *gatewayError {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	connection := http.NewResponseController(w)
	_ = connection.SetReadDeadline(q.deadline)
	q.holding.cutOff = func() { _ = connection.SetReadDeadline(time.Unix(1, 0)) }
	reader := &bodyReader{q: q, r: r, in: http.MaxBytesReader(w, r.Body, maxBytes), began: time.Now()}
	err := reader.read()
	if reader.waiting {
		q.holding.stopWaiting()
	}
	// Before the header of a refusal net/http reads on in an unread body. An expired deadline
	// ends that at once; a cleared one would let a stalled sender hold the refusal back.
	after := time.Time{}
	if err != nil {
		after = time.Unix(1, 0)
	}
	_ = connection.SetReadDeadline(after)
	if q.holding.wasCutOff() {
		err = errBuffersFull
	}
	return bodyRefusal(err)
}

// limitUnreadBody bounds the time that net/http reads on in the body of a request that is
// refused before its body is read, so that a stalled sender does not hold the refusal back.
func limitUnreadBody(w http.ResponseWriter, r *http.Request) {
	if r.Body != nil && r.Body != http.NoBody {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(minWriteTime))
	}
}

// bodyRefusal returns the refusal of a request whose body was not read whole; nil if err is.
func bodyRefusal(err error) *gatewayError {
	tooLarge := (*http.MaxBytesError)(nil)
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return &gatewayError{status: http.StatusRequestEntityTooLarge, code: "too_large", reason: "the body is longer than the table allows"}
	case errors.Is(err, errBuffersFull):
		return &gatewayError{status: http.StatusServiceUnavailable, code: "no_memory", reason: "the entry holds too many bodies and responses; the request did not run", retryAfter: memoryRetryDelay}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &gatewayError{status: http.StatusRequestTimeout, code: "body_timeout", reason: "the body did not arrive before the deadline; the request did not run"}
	}
	return &gatewayError{status: http.StatusBadRequest, code: "incomplete", reason: "the body did not arrive whole"}
}

// read sets the body of the request.
func (b *bodyReader) read() error {
	body := []byte(nil)
	for {
		if len(body) == cap(body) {
			grown, err := b.grow(body)
			if err != nil {
				return err
			}
			body = grown
		}
		n, err := b.in.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			b.q.body = body
			return nil
		}
		if err != nil {
			return err
		}
		b.recordProgress(len(body))
	}
}

// grow returns the body with room for more: twice as much, and no more than the stated
// length with one byte for the end.
func (b *bodyReader) grow(body []byte) ([]byte, error) {
	size := max(2*cap(body), minBodyBytes)
	if stated := b.r.ContentLength; stated >= 0 && int64(cap(body)) < stated+1 {
		size = int(min(max(int64(size), bodyChunkBytes), stated+1))
	}
	if !b.q.holding.reserveOrCutOff(b.r.Context(), size-cap(body)) {
		return nil, errBuffersFull
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	return grown, nil
}

// recordProgress tells the buffers how long the caller has been waited for.
func (b *bodyReader) recordProgress(received int) {
	since := slowStart(b.began, received)
	if !b.waiting {
		b.waiting = true
		b.q.holding.beginWaiting(since)
		return
	}
	b.q.holding.waitSince(since)
}
