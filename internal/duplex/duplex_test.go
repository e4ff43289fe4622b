package duplex

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testStream is the entry's side of a server's stream.
type testStream struct {
	requests chan string
	sent     chan string
	out      chan string
	ended    chan error
}

var errClosed = errors.New("closed")

// startServer runs a server that answers each message with "handled" and the message
// and whose sends return the given error.
func startServer(ctx context.Context, heartbeatInterval, idleTimeout time.Duration, send error) *testStream {
	r := &testStream{requests: make(chan string), sent: make(chan string, 64), out: make(chan string, 4), ended: make(chan error, 1)}
	s := Server[string, string]{
		Recv: func() (string, error) {
			m, ok := <-r.requests
			if !ok {
				return "", errClosed
			}
			return m, nil
		},
		Send: func(m string) error {
			r.sent <- m
			return send
		},
		Handle:       func(m string) { r.out <- "handled " + m },
		NewHeartbeat: func() (string, bool) { return "heartbeat", len(r.out) == 0 },
		Outgoing:     r.out, HeartbeatInterval: heartbeatInterval, IdleTimeout: idleTimeout,
	}
	go func() { r.ended <- s.Run(ctx) }()
	return r
}

func TestServerReceivesAndSends(t *testing.T) {
	r := startServer(t.Context(), time.Hour, time.Hour, nil)
	r.requests <- "a"
	require.Equal(t, "handled a", <-r.sent)
	close(r.requests)
	require.NoError(t, <-r.ended, "the entry closed its stream")
}

func TestServerSendsHeartbeats(t *testing.T) {
	r := startServer(t.Context(), time.Millisecond, time.Hour, nil)
	require.Equal(t, "heartbeat", <-r.sent)
	require.Equal(t, "heartbeat", <-r.sent)
	close(r.requests)
}

// TestBusyStreamNeedsNoHeartbeats guards against heartbeats to hundreds of entries that get
// other messages all the time.
func TestBusyStreamNeedsNoHeartbeats(t *testing.T) {
	const interval = 200 * time.Millisecond
	r := startServer(t.Context(), interval, time.Hour, nil)
	last := time.Now()
	for range 60 {
		r.requests <- "a"
		answer := <-r.sent
		if answer == "heartbeat" {
			// Allowed only if the test itself was delayed for that long.
			require.GreaterOrEqual(t, time.Since(last), interval*9/10)
			answer = <-r.sent
		}
		require.Equal(t, "handled a", answer)
		last = time.Now()
		time.Sleep(interval / 20)
	}
	close(r.requests)
}

func TestServerEndsStreamOfSilentEntry(t *testing.T) {
	r := startServer(t.Context(), time.Hour, 10*time.Millisecond, nil)
	require.NoError(t, <-r.ended)
}

func TestSendErrorEndsStream(t *testing.T) {
	r := startServer(t.Context(), time.Millisecond, time.Hour, errClosed)
	require.ErrorIs(t, <-r.ended, errClosed)
}

func TestContextEndsStream(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	r := startServer(ctx, time.Hour, time.Hour, nil)
	cancel()
	require.NoError(t, <-r.ended)
}

func TestReceiveReturnsErrorOfStreamOrContext(t *testing.T) {
	in := make(chan string)
	require.ErrorIs(t, Receive(t.Context(), func() (string, error) { return "", errClosed }, in), errClosed)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, Receive(ctx, func() (string, error) { return "unread", nil }, in), context.Canceled)
}
