package forward

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync/atomic"
)

const (
	// maxResponseHeadBytes bounds a status line with its header.
	maxResponseHeadBytes = 64 << 10
	// maxBufferedBytes bounds the bodies that all requests together hold until their
	// callers have them.
	maxBufferedBytes = 32 << 20
	// bodyChunkBytes is how much of a body is read at a time.
	bodyChunkBytes = 16 << 10
)

// These texts are part of error responses to callers.
var (
	errTooLarge    = errors.New("the answer is too long")
	errBuffersFull = errors.New("too many long answers wait for their callers")
)

// boundedReader reads from a connection to an upstream, which may send without end. While
// a bound is set it fails with errTooLarge once that is reached.
type boundedReader struct {
	source  io.Reader
	bounded bool
	left    int
}

func (b *boundedReader) setBound(n int) { b.bounded, b.left = true, n }

func (b *boundedReader) removeBound() { b.bounded = false }

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if !b.bounded {
		return b.source.Read(p)
	}
	if b.left <= 0 {
		return 0, errTooLarge
	}
	n, err := b.source.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

// readLine reads a line with its end, of at most maxBytes.
func readLine(r *bufio.Reader, maxBytes int) ([]byte, error) {
	line := []byte(nil)
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if err != bufio.ErrBufferFull {
			return line, err
		}
		if len(line) > maxBytes {
			return line, errTooLarge
		}
	}
}

// byteBudget counts bytes that are held at a time. It is safe for concurrent use.
type byteBudget struct{ used atomic.Int64 }

// reserve adds bytes and returns true, or returns false if that would exceed the limit.
func (b *byteBudget) reserve(n int, limit int64) bool {
	if b.used.Add(int64(n)) > limit {
		b.used.Add(int64(-n))
		return false
	}
	return true
}

func (b *byteBudget) release(n int64) { b.used.Add(-n) }

// isLoss reports whether an error of a response means that the connection ended, rather than
// that the upstream sent something else than a response.
func isLoss(err error) bool {
	network := (*net.OpError)(nil)
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, errPartialEvent) || errors.As(err, &network)
}
