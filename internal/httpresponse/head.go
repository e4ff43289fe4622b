package httpresponse

import (
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// headState is the part of a head that the next byte belongs to.
type headState uint8

const (
	inVersion headState = iota
	// atStatus is the first digit of the status, and inReason what follows it.
	atStatus
	inReason
	atLineStart
	// inEmptyLine is the byte behind a carriage return at the start of a line.
	inEmptyLine
	inName
	inValue
	// inFoldedValue is a line that begins with a blank and continues the value of the line before it.
	inFoldedValue
	// afterHead follows the head of a final response.
	afterHead
)

const (
	// versionBytes is the length of a version such as HTTP/1.1.
	versionBytes     = 8
	transferEncoding = "Transfer-Encoding"
)

// HeadChecker checks the heads of the responses to one request as their bytes arrive, those of interim
// ones included. net/http accepts blanks in field names, and then neither knows the field nor frames
// the body by it. The zero value is ready for use. It is not safe for concurrent use.
type HeadChecker struct {
	state     headState
	isInterim bool
	// version and name are the beginnings of the protocol's version and of the field's name.
	version    [versionBytes]byte
	versionLen int
	name       [len(transferEncoding)]byte
	nameLen    int
	err        error
}

// Check checks the bytes that follow those of the calls before. Once it has returned a MalformedError it
// returns it always. What follows the head of the final response is not checked.
func (h *HeadChecker) Check(p []byte) error {
	for _, b := range p {
		if h.err != nil || h.state == afterHead {
			break
		}
		h.step(b)
	}
	return h.err
}

// step checks one byte.
func (h *HeadChecker) step(b byte) {
	switch h.state {
	case inVersion, atStatus, inReason:
		h.stepStatusLine(b)
	case atLineStart:
		h.stepLineStart(b)
	case inEmptyLine:
		if b != '\n' {
			h.fail("carriage return in a field name")
			return
		}
		h.endHead()
	case inName:
		h.stepName(b)
	case inValue:
		if b == '\n' {
			h.state = atLineStart
		}
	case inFoldedValue:
		h.stepFolded(b)
	case afterHead:
	}
}

func (h *HeadChecker) stepStatusLine(b byte) {
	switch {
	case b == '\n':
		h.state = atLineStart
	case b == ' ' && h.state == inVersion:
		h.state = atStatus
	case h.state == inVersion:
		h.versionLen = appendByte(h.version[:], h.versionLen, b)
	case b != ' ' && h.state == atStatus:
		h.isInterim = b == '1'
		h.state = inReason
	}
}

func (h *HeadChecker) stepLineStart(b byte) {
	switch b {
	case '\n':
		h.endHead()
	case '\r':
		h.state = inEmptyLine
	case ' ', '\t':
		h.state = inFoldedValue
	case ':':
		h.fail("field without a name")
	default:
		h.state, h.nameLen = inName, 0
		h.stepName(b)
	}
}

func (h *HeadChecker) stepName(b byte) {
	switch {
	case b == ':':
		h.endName()
	case !httpguts.IsTokenRune(rune(b)):
		h.fail(fmt.Sprintf("byte %q in a field name", b))
	default:
		h.nameLen = appendByte(h.name[:], h.nameLen, b)
	}
}

// endName ends the name of a field. Before HTTP/1.1 there are no chunks: net/http leaves them in the body,
// and other recipients do not.
func (h *HeadChecker) endName() {
	h.state = inValue
	if h.nameLen != len(h.name) || !strings.EqualFold(string(h.name[:]), transferEncoding) {
		return
	}
	version := string(h.version[:min(h.versionLen, versionBytes)])
	if major, minor, ok := http.ParseHTTPVersion(version); ok && (major < 1 || major == 1 && minor < 1) {
		h.fail(transferEncoding + " in " + version)
	}
}

// appendByte appends a byte to a text of n bytes and returns its new length. Bytes that the buffer has
// no room for are counted only.
func appendByte(buf []byte, n int, b byte) int {
	if n < len(buf) {
		buf[n] = b
	}
	return n + 1
}

// stepFolded checks a line that begins with a blank. Recipients differ on whether one with a colon is a
// field, and so on where the body ends.
func (h *HeadChecker) stepFolded(b byte) {
	switch b {
	case ':':
		h.fail("field name that begins with a blank")
	case '\n':
		h.state = atLineStart
	}
}

// endHead ends a head. Another one follows that of an interim response.
func (h *HeadChecker) endHead() {
	if !h.isInterim {
		h.state = afterHead
		return
	}
	*h = HeadChecker{}
}

func (h *HeadChecker) fail(problem string) { h.err = &MalformedError{Problem: problem} }
