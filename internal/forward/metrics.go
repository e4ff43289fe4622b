package forward

import "github.com/prometheus/client_golang/prometheus"

// firstBuckets are in seconds, around the aims of streams and of plain calls.
var firstBuckets = []float64{.02, .05, .1, .2, .3, .42, .6, .8, 1, 2, 5, 10}

// metrics count what callers received.
type metrics struct {
	requests    *prometheus.CounterVec
	tries       *prometheus.CounterVec
	first       *prometheus.HistogramVec
	connections prometheus.Counter
}

func newMetrics(r prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "verbenastep", Subsystem: "forward", Name: "requests_total", Help: "Requests by pool and outcome.",
		}, []string{"pool", "outcome"}),
		tries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "verbenastep", Subsystem: "forward", Name: "failed_tries_total", Help: "Tries at upstreams that brought no answer.",
		}, []string{"pool", "outcome"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "verbenastep", Subsystem: "forward", Name: "first_event_seconds", Help: "Time from arrival to the first event or the answer.", Buckets: firstBuckets,
		}, []string{"pool"}),
		connections: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "verbenastep", Subsystem: "forward", Name: "upstream_connections_total", Help: "New connections to upstreams.",
		}),
	}
	for _, c := range []prometheus.Collector{m.requests, m.tries, m.first, m.connections} {
		if err := r.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}
