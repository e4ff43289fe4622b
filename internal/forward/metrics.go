package forward

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

var (
	// firstBuckets are in seconds, around the aims of streams and of plain calls.
	firstBuckets = []float64{.02, .05, .1, .2, .3, .42, .6, .8, 1, 2, 5, 10}
	// pauseBuckets are in seconds, from the target between tokens to a stall.
	pauseBuckets = []float64{.01, .028, .05, .1, .2, .3, .5, 1, 2, 5}
)

// metrics count what callers received.
type metrics struct {
	requests    *prometheus.CounterVec
	tries       *prometheus.CounterVec
	first       *prometheus.HistogramVec
	pause       *prometheus.HistogramVec
	connections prometheus.Counter
}

func newMetrics(r prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "verbenastep", Subsystem: "forward", Name: "requests_total", Help: "Requests by pool, rank and outcome.",
		}, []string{"pool", "rank", "outcome"}),
		tries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "verbenastep", Subsystem: "forward", Name: "failed_tries_total", Help: "Tries at upstreams that brought no answer.",
		}, []string{"pool", "outcome"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "verbenastep", Subsystem: "forward", Name: "first_event_seconds", Help: "Time from arrival to the first event or the answer.", Buckets: firstBuckets,
		}, []string{"pool", "rank"}),
		pause: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "verbenastep", Subsystem: "forward", Name: "longest_pause_seconds", Help: "Longest pause between two events of a stream.", Buckets: pauseBuckets,
		}, []string{"pool", "rank"}),
		connections: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "verbenastep", Subsystem: "forward", Name: "upstream_connections_total", Help: "New connections to upstreams.",
		}),
	}
	for _, c := range []prometheus.Collector{m.requests, m.tries, m.first, m.pause, m.connections} {
		if err := r.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// finished counts a request that ended.
func (m *metrics) finished(x *exchange) {
	rank := strconv.Itoa(x.rank)
	m.requests.WithLabelValues(x.pool, rank, x.outcome).Inc()
	if x.first > 0 {
		m.first.WithLabelValues(x.pool, rank).Observe(x.first.Seconds())
	}
	if x.stream.events > 1 {
		m.pause.WithLabelValues(x.pool, rank).Observe(x.stream.longest.Seconds())
	}
}
