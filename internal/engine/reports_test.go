package engine

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/api/upstream"
)

const idleTimeout = 300 * time.Millisecond

// serveOne accepts connections and runs a script on each after it has read a request.
func serveOne(t *testing.T, script func(c net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				script(c)
			}()
		}
	}()
	return ln.Addr().String()
}

func dial(t *testing.T, address string) *Conn {
	t.Helper()
	c, err := Dial(context.Background(), address)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

// drip writes a text every 20 ms until the connection is closed.
func drip(c net.Conn, text string) {
	for {
		time.Sleep(20 * time.Millisecond)
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// TestLateCopyAnswersNoOtherCall guards against a second copy of a reply that answers the next
// call (report 1): each call has a connection of its own, and none carries a second one.
func TestLateCopyAnswersNoOtherCall(t *testing.T) {
	calls := atomic.Int64{}
	address := serveOne(t, func(c net.Conn) {
		n := calls.Add(1)
		fmt.Fprintf(c, strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", 2), n, n)
		time.Sleep(50 * time.Millisecond)
	})
	call := ServiceRequest{Method: http.MethodPost, Path: "/x", Header: http.Header{}}
	first := dial(t, address)
	for _, c := range []*Conn{first, dial(t, address)} {
		reply, err := c.CallService(context.Background(), call, 100)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint(calls.Load()), string(reply.Body))
	}
	_, err := first.CallService(context.Background(), call, 100)
	require.ErrorContains(t, err, "has already carried a request")
}

// TestDrippingRunnerEnds guards against a stream that never ends: its runner sends a byte now
// and then and completes neither a header nor a frame (report 3).
func TestDrippingRunnerEnds(t *testing.T) {
	for name, beginning := range map[string]string{
		"header": "HTTP/1.1 200 OK\r\nOther: ",
		"frame":  "HTTP/1.1 200 OK\r\n\r\n{\"stream\":\"",
		"error":  "HTTP/1.1 500 x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := serveOne(t, func(c net.Conn) {
				_, _ = io.WriteString(c, beginning)
				drip(c, "x")
			})
			ended := make(chan error, 1)
			c := dial(t, address)
			go func() {
				s, err := c.Start(context.Background(), upstream.Start{}, idleTimeout)
				if err == nil {
					_, err = s.Next(idleTimeout)
				}
				ended <- err
			}()
			select {
			case err := <-ended:
				require.Error(t, err)
			case <-time.After(20 * idleTimeout):
				t.Fatal("the stream has not ended")
			}
		})
	}
}

// TestDrippingServiceEnds guards against the same for a call of a service.
func TestDrippingServiceEnds(t *testing.T) {
	for name, beginning := range map[string]string{"header": "HTTP/1.1 200 OK\r\nOther: ", "body": "HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := serveOne(t, func(c net.Conn) {
				_, _ = io.WriteString(c, beginning)
				drip(c, "x")
			})
			ctx, cancel := context.WithTimeout(context.Background(), idleTimeout)
			defer cancel()
			_, err := dial(t, address).CallService(ctx, ServiceRequest{Method: http.MethodGet, Path: "/x", Header: http.Header{}}, 1<<20)
			require.ErrorIs(t, err, context.DeadlineExceeded)
		})
	}
}

// TestSlowRunnerIsNotCutOff guards against a sound stream that is cut since its frames are far
// apart (report 3): heartbeats say that the runner works.
func TestSlowRunnerIsNotCutOff(t *testing.T) {
	address := serveOne(t, func(c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		for i := range 3 {
			for range 6 {
				time.Sleep(idleTimeout / 3)
				_, _ = io.WriteString(c, "\n")
			}
			fmt.Fprintf(c, "{\"stream\":\"s\",\"text\":\"%d\",\"end\":%v}\n", i, i == 2)
		}
	})
	s, err := dial(t, address).Start(context.Background(), upstream.Start{}, idleTimeout)
	require.NoError(t, err)
	text := ""
	for range 3 {
		f, err := s.Next(idleTimeout)
		require.NoError(t, err)
		text += f.Text
	}
	require.Equal(t, "012", text)
}
