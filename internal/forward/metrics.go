package forward

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

var (
	// firstEventBuckets are in seconds, around the latency targets of streams and
	// service calls.
	firstEventBuckets = []float64{.02, .05, .1, .2, .3, .42, .6, .8, 1, 2, 5, 10}
	// pauseBuckets are in seconds, from the target between tokens to a stall.
	pauseBuckets = []float64{.01, .028, .05, .1, .2, .3, .5, 1, 2, 5}
)

// metrics count the entry's requests by the outcome that callers see, its failed
// upstream attempts and its connections, and measure response times.
type metrics struct {
	requests       *prometheus.CounterVec
	failedAttempts *prometheus.CounterVec
	firstEvent     *prometheus.HistogramVec
	longestPause   *prometheus.HistogramVec
	connections    prometheus.Counter
	cutOffs        *prometheus.CounterVec
	drained        *prometheus.CounterVec
	retries        *prometheus.CounterVec
	retryShare     prometheus.Gauge
}

// Reasons of cut offs.
const (
	cutOffByBound    = "bound"
	cutOffByDeadline = "deadline"
)

// registerBuffered registers the gauge of the bytes that are held for callers.
func registerBuffered(r prometheus.Registerer, b *buffers) error {
	return r.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "verbenastep", Subsystem: "forward", Name: "buffered_bytes", Help: "Bytes of request bodies and responses that are held for callers.",
	}, func() float64 { return float64(b.used.Load()) }))
}

func newMetrics(r prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "verbenastep", Subsystem: "forward", Name: "requests_total", Help: "Requests by pool, rank and outcome.",
		}, []string{"pool", "rank", "outcome"}),
		failedAttempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "verbenastep", Subsystem: "forward", Name: "failed_tries_total", Help: "Tries at upstreams that brought no answer.",
		}, []string{"pool", "outcome"}),
		firstEvent: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "verbenastep", Subsystem: "forward", Name: "first_event_seconds", Help: "Time from arrival to the first event or the answer.", Buckets: firstEventBuckets,
		}, []string{"pool", "rank"}),
		longestPause: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "verbenastep", Subsystem: "forward", Name: "longest_pause_seconds", Help: "Longest pause between two events of a stream.", Buckets: pauseBuckets,
		}, []string{"pool", "rank"}),
		connections: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "verbenastep", Subsystem: "forward", Name: "upstream_connections_total", Help: "New connections to upstreams.",
		}),
		cutOffs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "verbenastep", Subsystem: "forward", Name: "slow_callers_cut_off_total", Help: "Slow callers that were disconnected, by reason.",
		}, []string{"reason"}),
	}
	m.drained = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "verbenastep", Subsystem: "forward", Name: "drain_requests_total", Help: "Requests that ended while the entry drained, by stage and outcome.",
	}, []string{"stage", "outcome"})
	m.retries = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "verbenastep", Subsystem: "forward", Name: "retries_total", Help: "Retries that the retry budget was asked for, by decision.",
	}, []string{"pool", "decision"})
	m.retryShare = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: "verbenastep", Subsystem: "forward", Name: "retry_share", Help: "Part of the slack of the retry budgets that this entry had at the newest decision, 0 to 1.",
	})
	for _, reason := range []string{cutOffByBound, cutOffByDeadline} {
		m.cutOffs.WithLabelValues(reason) // exported before the first one
	}
	for _, c := range []prometheus.Collector{m.requests, m.failedAttempts, m.firstEvent, m.longestPause, m.connections, m.cutOffs, m.drained, m.retries, m.retryShare} {
		if err := r.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// recordRetry counts a decision on a retry.
func (m *metrics) recordRetry(pool string, d retryDecision) {
	decision := "allowed"
	if !d.allowed {
		decision = "refused"
	}
	m.retries.WithLabelValues(pool, decision).Inc()
	m.retryShare.Set(d.part.Fraction)
}

// recordEnd counts a request that ended.
func (m *metrics) recordEnd(x *exchange) {
	rank := strconv.Itoa(x.rank)
	m.requests.WithLabelValues(x.pool, rank, x.outcome).Inc()
	if x.timeToFirstEvent > 0 {
		m.firstEvent.WithLabelValues(x.pool, rank).Observe(x.timeToFirstEvent.Seconds())
	}
	if x.stream.events > 1 {
		m.longestPause.WithLabelValues(x.pool, rank).Observe(x.stream.longestPause.Seconds())
	}
}
