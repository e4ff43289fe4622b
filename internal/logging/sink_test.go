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

// reader is standard output whose reader may stall.
type reader struct {
	mu    sync.Mutex
	stall chan struct{}
	text  bytes.Buffer
}

func (r *reader) Write(b []byte) (int, error) {
	if r.stall != nil {
		<-r.stall
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(b)
}

func (r *reader) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.String()
}

func logger(t *testing.T, out *reader, most int, rate float64) *zap.Logger {
	t.Helper()
	log, err := newLogger(settings.Log{Format: "json"}, newSink(out, most, rate))
	require.NoError(t, err)
	return log
}

func TestStalledReaderDelaysNobody(t *testing.T) {
	out := &reader{stall: make(chan struct{})}
	log := logger(t, out, 8<<10, 1<<30)
	began := time.Now()
	for i := range 10_000 {
		log.Info("granted", zap.Int("n", i))
	}
	log.Info("request ended", zap.String("request", "r-1"), Important())
	require.Less(t, time.Since(began), 2*time.Second)
	close(out.stall)
	require.NoError(t, log.Sync())
	require.Eventually(t, func() bool { return strings.Contains(out.String(), "r-1") }, 5*time.Second, time.Millisecond, "why a request failed is dropped last")
	log.Info("later")
	require.NoError(t, log.Sync())
	require.Contains(t, out.String(), `"dropped":`)
	require.Less(t, strings.Count(out.String(), "granted"), 10_000)
}

func TestRateIsBounded(t *testing.T) {
	out := &reader{}
	log := logger(t, out, 1<<20, 10_000)
	for range 1000 {
		log.Info("granted", zap.String("filler", strings.Repeat("x", 100)))
	}
	require.NoError(t, log.Sync())
	require.Less(t, len(out.String()), 15_000)
}

func TestLevelIsChecked(t *testing.T) {
	_, err := New(settings.Log{Level: "loud"})
	require.ErrorContains(t, err, "write debug, info, warn or error")
}
