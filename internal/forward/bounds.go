package forward

import (
	"bufio"
	"errors"
	"io"
	"net"
)

const (
	// maxResponseHeadBytes bounds a status line with its header.
	maxResponseHeadBytes = 64 << 10
	// bodyChunkBytes is how much of a body is read at a time.
	bodyChunkBytes = 16 << 10
)

// These texts are part of error responses to callers.
var (
	errTooLarge    = errors.New("the answer is too long")
	errBuffersFull = errors.New("too many long answers wait for their callers")
	errSlowCaller  = errors.New("the caller is too slow while memory is short")
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

// holdStepBytes is how much of an event is read before it is counted.
const holdStepBytes = readBufferBytes

// heldReader reads lines and counts their bytes.
type heldReader struct {
	*bufio.Reader
	// hold counts bytes; it may wait or fail.
	hold   func(n int) error
	unheld int
}

// appendLine appends a line with its end to buf, which may grow to maxBytes.
func (r *heldReader) appendLine(buf []byte, maxBytes int) ([]byte, error) {
	for {
		part, err := r.ReadSlice('\n')
		buf = append(buf, part...)
		r.unheld += len(part)
		if r.unheld >= holdStepBytes {
			if holdErr := r.flush(); holdErr != nil {
				return buf, holdErr
			}
		}
		if err != bufio.ErrBufferFull {
			return buf, err
		}
		if len(buf) > maxBytes {
			return buf, errTooLarge
		}
	}
}

// flush counts the bytes that were read since the last call.
func (r *heldReader) flush() error {
	n := r.unheld
	r.unheld = 0
	if n == 0 {
		return nil
	}
	return r.hold(n)
}

// isLoss reports whether an error of a response means that the connection ended, rather than
// that the upstream sent something else than a response.
func isLoss(err error) bool {
	network := (*net.OpError)(nil)
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, errPartialEvent) || errors.As(err, &network)
}
