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

// FuzzFrames checks that reading arbitrary bytes as a stream ends with an error
// after no more frames than bytes.
func FuzzFrames(f *testing.F) {
	f.Add([]byte("{\"stream\":\"s\",\"offset\":0,\"text\":\"a\"}\n\n{\"stream\":\"s\",\"offset\":1,\"end\":true}\n"))
	f.Add([]byte("{\"offset\":-1}\n{\"offset\":"))
	f.Add([]byte("\n\n\r\n"))
	f.Add([]byte("null\n[]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		local, remote := net.Pipe()
		defer remote.Close()
		lines := bufio.NewScanner(bytes.NewReader(data))
		lines.Buffer(nil, maxFrameBytes)
		s := &Stream{conn: &Conn{netConn: &upstreamConn{Conn: local}}, body: io.NopCloser(nil), scanner: lines}
		defer s.Close()
		for range len(data) + 1 {
			if _, err := s.Next(time.Minute); err != nil {
				return
			}
		}
		require.Fail(t, "more frames than bytes")
	})
}
