package engine

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/api/upstream"
)

// TestEndlessHeaderIsCutOff guards against a daemon that buffers the header of a runner which
// sends one without end. The buffers of a loopback connection hold a few megabytes.
func TestEndlessHeaderIsCutOff(t *testing.T) {
	const kernelBytes, endlessBytes = 8 << 20, 64 << 20
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	sent := atomic.Int64{}
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		chunk := bytes.Repeat([]byte("x"), maxResponseHeaderBytes)
		_, err = c.Write([]byte("HTTP/1.1 200 x\r\nLong: "))
		for err == nil && sent.Load() < endlessBytes {
			_, err = c.Write(chunk)
			sent.Add(int64(len(chunk)))
		}
	}()
	c, err := Dial(context.Background(), ln.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Start(context.Background(), upstream.Start{}, time.Minute)
	require.Error(t, err)
	require.Less(t, sent.Load(), int64(kernelBytes))
}
