package link

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The first attempt never gets an answer, as when its SYN is lost or the host is
// still down; the second must start after one delay and succeed.
func TestDialRetriesAfterOneDelayWhenFirstAttemptHangs(t *testing.T) {
	attempts := atomic.Int64{}
	ours, theirs := net.Pipe()
	defer theirs.Close()
	dial := func(ctx context.Context) (net.Conn, error) {
		if attempts.Add(1) == 1 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return ours, nil
	}
	conn, err := dialHedged(t.Context(), dial, 10*time.Millisecond)
	require.NoError(t, err)
	require.Equal(t, ours, conn)
	require.Equal(t, int64(2), attempts.Load())
}

func TestDialReturnsRefusalWithoutDelay(t *testing.T) {
	refused := errors.New("refused")
	dial := func(context.Context) (net.Conn, error) { return nil, refused }
	_, err := dialHedged(t.Context(), dial, time.Hour)
	require.ErrorIs(t, err, refused)
}

// An attempt that connects after another has been returned must close its
// connection, or the connection leaks.
func TestDialClosesSurplusConnections(t *testing.T) {
	first, second := make(chan net.Conn), make(chan net.Conn)
	attempts := atomic.Int64{}
	dial := func(context.Context) (net.Conn, error) {
		if attempts.Add(1) == 1 {
			return <-first, nil
		}
		return <-second, nil
	}
	a, farA := net.Pipe()
	b, farB := net.Pipe()
	defer farA.Close()
	go func() { second <- b }()
	conn, err := dialHedged(t.Context(), dial, 10*time.Millisecond)
	require.NoError(t, err)
	require.Equal(t, b, conn)
	first <- a
	_, err = farA.Read(make([]byte, 1))
	require.Error(t, err, "the other end is closed")
	_ = farB.Close()
}
