package broker

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/verbenastep/verbenastep/core/broker"
)

// waitBuckets are in seconds, up to the longest time that a request may wait.
var waitBuckets = []float64{.001, .005, .02, .05, .1, .2, .5, 1, 2}

// metrics are the metrics of the broker service.
type metrics struct {
	grants           prometheus.Counter
	refusals         *prometheus.CounterVec
	waitTime         prometheus.Histogram
	leads            prometheus.Gauge
	entries          prometheus.Gauge
	leadershipStarts prometheus.Counter
	relays           prometheus.Gauge
	interim          prometheus.Gauge
	paceOpening      prometheus.Gauge
	paceChanges      *prometheus.CounterVec
	overload         *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		grants: prometheus.NewCounter(prometheus.CounterOpts{Namespace: "verbenastep", Subsystem: "broker", Name: "grants_total", Help: "Upstreams granted to requests."}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "verbenastep", Subsystem: "broker", Name: "refusals_total", Help: "Requests refused, none of which ran, by reason.",
		}, []string{"code"}),
		waitTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "verbenastep", Subsystem: "broker", Name: "wait_seconds", Help: "Time from offer to grant.", Buckets: waitBuckets,
		}),
		leads:            prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "verbenastep", Subsystem: "broker", Name: "leads", Help: "1 while this daemon grants."}),
		entries:          prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "verbenastep", Subsystem: "broker", Name: "entries", Help: "Entries that are connected."}),
		leadershipStarts: prometheus.NewCounter(prometheus.CounterOpts{Namespace: "verbenastep", Subsystem: "broker", Name: "moves_total", Help: "Times that this daemon began to grant."}),
	}
	m.relays = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "verbenastep", Subsystem: "broker", Name: "relays", Help: "1 while this daemon relays its entries' requests to the leader."})
	m.interim = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "verbenastep", Subsystem: "broker", Name: "interim", Help: "1 while this daemon grants to its own entries, since no daemon leads."})
	m.paceOpening = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "verbenastep", Subsystem: "broker", Name: "slow_start_upstreams", Help: "Upstreams in slow start."})
	m.paceChanges = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "verbenastep", Subsystem: "broker", Name: "slow_start_changes_total", Help: "Slow starts of upstreams that began, were cut or ended.",
	}, []string{"event"})
	m.overload = newOverloadCounter()
	for _, c := range []prometheus.Collector{m.overload, m.paceOpening, m.paceChanges, m.relays, m.interim, m.grants, m.refusals, m.waitTime, m.leads, m.entries, m.leadershipStarts} {
		if err := r.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// record counts a round of decisions.
func (m *metrics) record(d broker.Decisions) {
	for _, g := range d.Grants {
		m.grants.Inc()
		m.waitTime.Observe(g.Waited.Seconds())
	}
	for _, r := range d.Refusals {
		m.refusals.WithLabelValues(string(r.Code)).Inc()
	}
}
