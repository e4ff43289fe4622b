package forward

import (
	"bufio"
	"errors"
	"io"
	"net"

	"github.com/verbenastep/verbenastep/internal/httpresponse"
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

// headReader reads from a connection to an upstream, which may send without end. While it reads a
// head it fails with errTooLarge once that has maxResponseHeadBytes, and with a MalformedError once the
// head is malformed.
type headReader struct {
	source io.Reader
	inHead bool
	left   int
	check  httpresponse.HeadChecker
}

// beginHead begins a head, of which some bytes were read before.
func (h *headReader) beginHead(before []byte) error {
	h.inHead, h.left, h.check = true, maxResponseHeadBytes, httpresponse.HeadChecker{}
	return h.check.Check(before)
}

func (h *headReader) endHead() { h.inHead = false }

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.inHead {
		return h.source.Read(p)
	}
	if malformed := h.check.Check(nil); malformed != nil {
		return 0, malformed
	}
	if h.left <= 0 {
		return 0, errTooLarge
	}
	n, err := h.source.Read(p[:min(len(p), h.left)])
	h.left -= n
	if malformed := h.check.Check(p[:n]); malformed != nil {
		return 0, malformed
	}
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
