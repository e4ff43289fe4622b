package dispatch

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/verbenastep/verbenastep/core/sched"
)

// metrics are the dispatchers' metrics, labelled by pool.
type metrics struct {
	queue    *prometheus.GaugeVec
	grants   *prometheus.CounterVec
	refusals *prometheus.CounterVec
	wait     *prometheus.HistogramVec
	wasted   *prometheus.CounterVec
}

// Buckets of the wait histogram, in seconds.
const (
	firstBucket  = 0.001
	bucketFactor = 2.5
	bucketCount  = 14
)

func newMetrics(r prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		queue:    prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "verbenastep_sched_queue_length", Help: "Requests that wait for an upstream."}, []string{"pool", "tier"}),
		grants:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "verbenastep_sched_grants_total", Help: "Requests granted an upstream."}, []string{"pool", "tier"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "verbenastep_sched_refusals_total", Help: "Requests refused by the dispatcher."}, []string{"pool", "tier", "code"}),
		wait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "verbenastep_sched_wait_seconds", Help: "Time from offer to grant.",
			Buckets: prometheus.ExponentialBuckets(firstBucket, bucketFactor, bucketCount),
		}, []string{"pool", "tier"}),
		wasted: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "verbenastep_sched_wasted_prefill_tokens_total", Help: "Prompt tokens computed in vain (lost) or again (repeated)."}, []string{"pool", "workspace", "cause"}),
	}
	for _, c := range []prometheus.Collector{m.queue, m.grants, m.refusals, m.wait, m.wasted} {
		if err := r.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (m *metrics) recordGrant(pool string, g sched.Grant) {
	tier := strconv.Itoa(g.Tier)
	m.grants.WithLabelValues(pool, tier).Inc()
	m.wait.WithLabelValues(pool, tier).Observe(g.Waited.Seconds())
}

func (m *metrics) recordRefusal(pool string, r sched.Refusal) {
	m.refusals.WithLabelValues(pool, strconv.Itoa(r.Tier), string(r.Code)).Inc()
}

func (m *metrics) setQueueLengths(pool string, byTier []int) {
	for tier, n := range byTier {
		m.queue.WithLabelValues(pool, strconv.Itoa(tier)).Set(float64(n))
	}
}

func (m *metrics) recordWastedTokens(pool string, e sched.Ended) {
	if e.WastedTokens > 0 {
		m.wasted.WithLabelValues(pool, e.Workspace, "lost").Add(float64(e.WastedTokens))
	}
	if e.RepeatedTokens > 0 {
		m.wasted.WithLabelValues(pool, e.Workspace, "repeated").Add(float64(e.RepeatedTokens))
	}
}
