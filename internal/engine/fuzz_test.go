package engine

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// FuzzFrames reads any bytes as a stream: it ends, with an error unless the
// bytes are whole lines of JSON.
func FuzzFrames(f *testing.F) {
	f.Add([]byte("{\"stream\":\"s\",\"offset\":0,\"text\":\"a\"}\n\n{\"stream\":\"s\",\"offset\":1,\"end\":true}\n"))
	f.Add([]byte("{\"offset\":-1}\n{\"offset\":"))
	f.Add([]byte("\n\n\r\n"))
	f.Add([]byte("null\n[]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		defer far.Close()
		lines := bufio.NewScanner(bytes.NewReader(data))
		lines.Buffer(nil, maxFrame)
		s := &Stream{conn: &Conn{raw: &countedConn{Conn: near}}, body: io.NopCloser(nil), lines: lines}
		defer s.Close()
		for range len(data) + 1 {
			if _, err := s.Next(time.Minute); err != nil {
				return
			}
		}
		require.Fail(t, "more frames than bytes")
	})
}
