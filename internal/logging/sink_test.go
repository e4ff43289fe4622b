package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/internal/settings"
)

// output is a log output whose reader stalls until stall is closed.
type output struct {
	mu    sync.Mutex
	stall chan struct{}
	text  bytes.Buffer
}

func (r *output) Write(b []byte) (int, error) {
	if r.stall != nil {
		<-r.stall
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(b)
}

func (r *output) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.String()
}

// newTestLogger returns a logger with a buffer and a rate in bytes and bytes per
// second.
func newTestLogger(t *testing.T, out *output, maxPending int, rate float64) *zap.Logger {
	t.Helper()
	log, err := newLogger(settings.Log{Format: "json"}, newSink(out, maxPending, rate))
	require.NoError(t, err)
	return log
}

// TestStalledReaderDoesNotBlock guards against requests that wait for a reader of
// the log that has stopped. Important lines survive the drops, and the number of
// dropped lines is logged.
func TestStalledReaderDoesNotBlock(t *testing.T) {
	out := &output{stall: make(chan struct{})}
	log := newTestLogger(t, out, 8<<10, 1<<30)
	started := time.Now()
	for i := range 10_000 {
		log.Info("granted", zap.Int("n", i))
	}
	log.Info("request ended", zap.String("request", "r-1"), Important())
	require.Less(t, time.Since(started), 2*time.Second)
	close(out.stall)
	require.NoError(t, log.Sync())
	require.Eventually(t, func() bool { return strings.Contains(out.String(), "r-1") }, 5*time.Second, time.Millisecond, "an important line is dropped last")
	log.Info("later")
	require.NoError(t, log.Sync())
	require.Contains(t, out.String(), `"dropped":`)
	require.Less(t, strings.Count(out.String(), "granted"), 10_000)
}

func TestRateIsLimited(t *testing.T) {
	out := &output{}
	log := newTestLogger(t, out, 1<<20, 10_000)
	for range 1000 {
		log.Info("granted", zap.String("filler", strings.Repeat("x", 100)))
	}
	require.NoError(t, log.Sync())
	require.Less(t, len(out.String()), 15_000)
}

func TestUnknownLevelIsAnError(t *testing.T) {
	_, err := New(settings.Log{Level: "loud"})
	require.ErrorContains(t, err, "write debug, info, warn or error")
}
