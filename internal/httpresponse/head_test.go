package httpresponse

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http/httpguts"
)

// checkInPieces returns the result of a HeadChecker that gets a text n bytes at a time.
func checkInPieces(text []byte, n int) error {
	h, err := HeadChecker{}, error(nil)
	for ; len(text) > 0; text = text[min(n, len(text)):] {
		err = h.Check(text[:min(n, len(text))])
	}
	return err
}

// FuzzHeadChecker guards against a response whose head passes the check although net/http finds a name
// in it that is none, and against a check that depends on how the bytes arrive.
func FuzzHeadChecker(f *testing.F) {
	for _, head := range []string{
		"HTTP/1.1 200 x\r\nA: b\r\nContent-Length: 2\r\n\r\n :",
		"HTTP/1.1 200 x\nA: b\n c\n\n",
		"HTTP/1.1 103 x\r\nA: b\r\n\r\nHTTP/1.1 200 x\r\nA b: c\r\n\r\n",
		"HTTP/1.1  100\r\n\r\nHTTP/1.0 200\r\nA : c\r\n\r\n",
		"HTTP/1.1 200 x\r\nA: b\r\n C: d\r\n\r\n",
		"HTTP/1.1 200 x\r\nA\x01: b\r\n\r\n",
		"\n\r\r\n: \x80",
	} {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		err := checkInPieces(text, max(1, len(text)))
		require.Equal(t, err, checkInPieces(text, 1))
		require.Equal(t, err, checkInPieces(text, 3))
		if err != nil {
			return
		}
		reader := bufio.NewReader(bytes.NewReader(text))
		for {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				return
			}
			for name := range resp.Header {
				require.True(t, httpguts.ValidHeaderFieldName(name), "%q", name)
			}
			if resp.StatusCode < http.StatusContinue || resp.StatusCode >= http.StatusOK {
				return
			}
		}
	})
}

// TestCheckBeginsAtStatus guards against a body, or a response behind it, that is taken for a head.
func TestCheckBeginsAtStatus(t *testing.T) {
	h := HeadChecker{}
	for _, part := range []string{"HTTP/1.1 200", " x\r\nA: b\r", "\n\r", "\n : no field\n : either", "HTTP/1.1 200 x\r\nA b: c\r\n\r\n"} {
		require.NoError(t, h.Check([]byte(part)))
	}
	h = HeadChecker{}
	require.Error(t, h.Check([]byte("HTTP/1.1 200 x\r\nA b: c\r\n\r\n")))
	require.Error(t, h.Check(nil), "an error stays")
}
