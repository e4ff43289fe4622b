package main

import (
	"context"
	"errors"
	"os"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// TestRepeatedSIGTERMCutsNothing guards against requests in flight that are cut off since a
// supervisor sends SIGTERM more than once, or two restarts overlap.
func TestRepeatedSIGTERMCutsNothing(t *testing.T) {
	for _, first := range []os.Signal{syscall.SIGTERM, syscall.SIGINT} {
		synctest.Test(t, func(t *testing.T) {
			received, finish := make(chan os.Signal, pendingSignals), make(chan struct{})
			received <- first
			ended := make(chan error, 1)
			go func() {
				ended <- stopAfterSignal(received, zap.NewNop(), func(ctx context.Context) error {
					<-finish
					return ctx.Err()
				})
			}()
			for range 3 {
				received <- syscall.SIGTERM
				synctest.Wait()
			}
			close(finish)
			require.NoError(t, <-ended, "the drain was canceled")
		})
	}
}

// TestSIGINTStopsAtOnce guards against a person at a terminal who must wait for the end of a drain.
func TestSIGINTStopsAtOnce(t *testing.T) {
	for _, list := range [][]os.Signal{{syscall.SIGTERM, syscall.SIGINT}, {syscall.SIGINT, syscall.SIGINT}, {syscall.SIGTERM, syscall.SIGTERM, syscall.SIGINT}} {
		synctest.Test(t, func(t *testing.T) {
			received := make(chan os.Signal, pendingSignals)
			for _, s := range list {
				received <- s
			}
			err := stopAfterSignal(received, zap.NewNop(), func(ctx context.Context) error {
				<-ctx.Done()
				return ctx.Err()
			})
			require.ErrorIs(t, err, context.Canceled)
		})
	}
}

// TestErrorOfStopIsReturned guards against a daemon that reports success although it cut requests
// off.
func TestErrorOfStopIsReturned(t *testing.T) {
	received := make(chan os.Signal, 1)
	received <- syscall.SIGTERM
	want := errors.New("cut off")
	require.ErrorIs(t, stopAfterSignal(received, zap.NewNop(), func(context.Context) error { return want }), want)
}
