package brokerclient

import "github.com/prometheus/client_golang/prometheus"

// metrics are the metrics of the broker client.
type metrics struct {
	grants     *prometheus.CounterVec
	refusals   *prometheus.CounterVec
	attached   prometheus.Gauge
	brokerLost prometheus.Counter
	// versionGrants and droppedGrants count during rollouts only.
	versionGrants *prometheus.CounterVec
	droppedGrants prometheus.Counter
}

func newMetrics() *metrics {
	return &metrics{
		grants: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "verbenastep", Subsystem: "work", Name: "grants_total", Help: "Requests granted an upstream, by the broker or by the entry alone.",
		}, []string{"by"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "verbenastep", Subsystem: "work", Name: "refusals_total", Help: "Requests refused, by the broker or by the entry alone.",
		}, []string{"by", "code"}),
		attached:   prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "verbenastep", Subsystem: "work", Name: "attached", Help: "1 while a broker grants for this entry."}),
		brokerLost: prometheus.NewCounter(prometheus.CounterOpts{Namespace: "verbenastep", Subsystem: "work", Name: "broker_lost_total", Help: "Times that this entry lost its broker."}),
		versionGrants: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "verbenastep", Subsystem: "work", Name: "version_grants_total", Help: "Requests granted an upstream of a pool with a rollout, by software version and its reason.",
		}, []string{"pool", "software", "why"}),
		droppedGrants: prometheus.NewCounter(prometheus.CounterOpts{Namespace: "verbenastep", Subsystem: "work", Name: "late_grants_total", Help: "Grants of a version that arrived after its rollback, or too late."}),
	}
}

func (m *metrics) register(r prometheus.Registerer) error {
	for _, c := range []prometheus.Collector{m.grants, m.refusals, m.attached, m.brokerLost, m.versionGrants, m.droppedGrants} {
		if err := r.Register(c); err != nil {
			return err
		}
	}
	return nil
}
