package clock

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
)

const (
	// checkInterval is the interval between two comparisons of the clocks.
	checkInterval = 500 * time.Millisecond
	// minSuspension is the shortest suspension that is reported; smaller
	// differences come from reading one clock after the other.
	minSuspension = 50 * time.Millisecond
	// minStall is the shortest time without processor that is reported.
	minStall = time.Second
)

// Monitor is the "clock" service. It logs when the machine was suspended, and when
// the process did not run though the machine's steady clock did.
type Monitor struct {
	log       *zap.Logger
	steady    func() time.Duration
	sinceBoot func() time.Duration
	suspended prometheus.Counter
	cancel    context.CancelFunc
	done      sync.WaitGroup

	lastSteady    time.Duration
	lastSinceBoot time.Duration
}

// NewMonitor returns the service.
func NewMonitor(log *zap.Logger) *Monitor {
	return &Monitor{
		log: log.Named("clock"), steady: Steady, sinceBoot: SinceBoot,
		suspended: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "verbenastep", Subsystem: "clock", Name: "suspended_seconds_total", Help: "Time for which the machine was suspended.",
		}),
	}
}

// Name returns the service's name.
func (m *Monitor) Name() string { return port.NameClock }

// Needs returns the metrics registry.
func (m *Monitor) Needs() []string { return []string{port.NameMetrics} }

// Start begins to compare the clocks.
func (m *Monitor) Start(_ context.Context, k *kernel.Kernel) error {
	metrics, err := kernel.Find[port.Metrics](k, port.NameMetrics)
	if err != nil {
		return err
	}
	if err := metrics.Registerer().Register(m.suspended); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.lastSteady, m.lastSinceBoot = m.steady(), m.sinceBoot()
	m.done.Go(func() { m.run(ctx) })
	return nil
}

func (m *Monitor) run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.check()
		case <-ctx.Done():
			return
		}
	}
}

// check compares the time that has passed by both clocks since the last call.
func (m *Monitor) check() {
	steady, sinceBoot := m.steady(), m.sinceBoot()
	ran, passed := steady-m.lastSteady, sinceBoot-m.lastSinceBoot
	m.lastSteady, m.lastSinceBoot = steady, sinceBoot
	if suspended := passed - ran; suspended >= minSuspension {
		m.suspended.Add(suspended.Seconds())
		m.log.Warn("machine was suspended", zap.Duration("suspended", suspended), zap.Duration("since_check", passed))
	}
	if ran-checkInterval >= minStall {
		m.log.Warn("process did not run", zap.Duration("stalled", ran-checkInterval))
	}
}

// Stop ends the comparison.
func (m *Monitor) Stop(context.Context) error {
	m.cancel()
	m.done.Wait()
	return nil
}

// Health always returns nil.
func (m *Monitor) Health() error { return nil }

// Dump returns the readings of both clocks in seconds.
func (m *Monitor) Dump() any {
	return struct {
		Steady    float64 `json:"steady_s"`
		SinceBoot float64 `json:"since_boot_s"`
	}{m.steady().Seconds(), m.sinceBoot().Seconds()}
}
