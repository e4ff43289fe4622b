package broker

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/verbenastep/verbenastep/core/rollout"
)

// rolloutMetrics are the metrics of rollouts, at the daemon that leads. Without rollouts they
// are not registered.
type rolloutMetrics struct {
	phase    *prometheus.GaugeVec
	requests *prometheus.GaugeVec
	reserved *prometheus.GaugeVec
	elapsed  *prometheus.GaugeVec
}

func newRolloutMetrics(r prometheus.Registerer) (*rolloutMetrics, error) {
	gauge := func(name, help string, labels ...string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "verbenastep", Subsystem: "rollout", Name: name, Help: help}, append([]string{"pool"}, labels...))
	}
	m := &rolloutMetrics{
		phase:    gauge("phase", "1 for the phase of a pool's last rollout.", "target", "phase"),
		requests: gauge("requests", "Requests to the pool since the order, at least; up to the settle phase."),
		reserved: gauge("reserved", "Requests that the target may have got, at most; up to the settle phase."),
		elapsed:  gauge("elapsed_seconds", "Time from the order to the last commit."),
	}
	for _, c := range []prometheus.Collector{m.phase, m.requests, m.reserved, m.elapsed} {
		if err := r.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// record exports a record.
func (m *rolloutMetrics) record(r rollout.Record) {
	if m == nil {
		return
	}
	m.phase.DeletePartialMatch(prometheus.Labels{"pool": r.Pool})
	m.phase.WithLabelValues(r.Pool, r.Target, string(r.Phase)).Set(1)
	m.requests.WithLabelValues(r.Pool).Set(float64(r.Requests))
	m.reserved.WithLabelValues(r.Pool).Set(float64(r.Reserved))
	m.elapsed.WithLabelValues(r.Pool).Set(r.Elapsed.Seconds())
}

// reset removes the records that a daemon exported as the leader.
func (m *rolloutMetrics) reset() {
	if m == nil {
		return
	}
	for _, v := range []*prometheus.GaugeVec{m.phase, m.requests, m.reserved, m.elapsed} {
		v.Reset()
	}
}
