package duplex

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rig is an entry's end of a server's stream.
type rig struct {
	asks  chan string
	said  chan string
	out   chan string
	ended chan error
}

var errClosed = errors.New("closed")

// startServer serves an entry; what it takes in comes back with "took" before it.
func startServer(ctx context.Context, heartbeat, silence time.Duration, send error) *rig {
	r := &rig{asks: make(chan string), said: make(chan string, 64), out: make(chan string, 4), ended: make(chan error, 1)}
	g := Server[string, string]{
		Recv: func() (string, error) {
			m, ok := <-r.asks
			if !ok {
				return "", errClosed
			}
			return m, nil
		},
		Send: func(m string) error {
			r.said <- m
			return send
		},
		Take: func(m string) { r.out <- "took " + m },
		Beat: func() string { return "beat" },
		Out:  r.out, Heartbeat: heartbeat, Silence: silence,
	}
	go func() { r.ended <- g.Run(ctx) }()
	return r
}

func TestServerTakesInAndSends(t *testing.T) {
	r := startServer(t.Context(), time.Hour, time.Hour, nil)
	r.asks <- "a"
	require.Equal(t, "took a", <-r.said)
	close(r.asks)
	require.NoError(t, <-r.ended, "the entry has closed its stream")
}

func TestServerSendsHeartbeats(t *testing.T) {
	r := startServer(t.Context(), time.Millisecond, time.Hour, nil)
	require.Equal(t, "beat", <-r.said)
	require.Equal(t, "beat", <-r.said)
	close(r.asks)
}

func TestSilentEntryIsLeft(t *testing.T) {
	r := startServer(t.Context(), time.Hour, 10*time.Millisecond, nil)
	require.NoError(t, <-r.ended)
}

func TestFailureToSendEndsTheSession(t *testing.T) {
	r := startServer(t.Context(), time.Millisecond, time.Hour, errClosed)
	require.ErrorIs(t, <-r.ended, errClosed)
}

func TestContextEndsTheSession(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	r := startServer(ctx, time.Hour, time.Hour, nil)
	cancel()
	require.NoError(t, <-r.ended)
}

func TestReceiveReturnsTheStreamsErrorOrTheContexts(t *testing.T) {
	in := make(chan string)
	require.ErrorIs(t, Receive(t.Context(), func() (string, error) { return "", errClosed }, in), errClosed)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, Receive(ctx, func() (string, error) { return "nobody reads it", nil }, in), context.Canceled)
}
