package clock

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Time since boot must not run behind the steady clock, or a lease would be valid
// for longer by it.
func TestSinceBootKeepsUpWithSteady(t *testing.T) {
	bootBefore, steadyBefore := SinceBoot(), Steady()
	time.Sleep(20 * time.Millisecond)
	steadyAfter, bootAfter := Steady(), SinceBoot()
	require.GreaterOrEqual(t, bootAfter-bootBefore, steadyAfter-steadyBefore)
}

// A suspension that leaves no line in the log can't be told from a freeze or a
// slow process.
func TestMonitorReportsSuspensionsAndStalls(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	m := NewMonitor(zap.New(core))
	steady, sinceBoot := time.Duration(0), time.Hour
	m.steady = func() time.Duration { return steady }
	m.sinceBoot = func() time.Duration { return sinceBoot }
	m.lastSinceBoot = sinceBoot

	steady, sinceBoot = steady+checkInterval, sinceBoot+checkInterval+time.Millisecond
	m.check()
	require.Empty(t, logs.TakeAll(), "clocks that run together")

	steady, sinceBoot = steady+checkInterval, sinceBoot+checkInterval+3*time.Second
	m.check()
	lines := logs.TakeAll()
	require.Len(t, lines, 1)
	require.Equal(t, "machine was suspended", lines[0].Message)
	require.Equal(t, 3*time.Second, lines[0].ContextMap()["suspended"])
	require.InDelta(t, 3, testutil.ToFloat64(m.suspended), 0.001)

	steady, sinceBoot = steady+checkInterval+2*time.Second, sinceBoot+checkInterval+2*time.Second
	m.check()
	lines = logs.TakeAll()
	require.Len(t, lines, 1)
	require.Equal(t, "process did not run", lines[0].Message)
}
