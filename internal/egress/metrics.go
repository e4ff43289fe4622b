package egress

import "github.com/prometheus/client_golang/prometheus"

// metrics are the metrics of the service.
type metrics struct {
	partitioned prometheus.Gauge
	opened      prometheus.Counter
	carried     prometheus.Gauge
	cut         prometheus.Counter
}

func newMetrics() *metrics {
	return &metrics{
		partitioned: prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "verbenastep", Subsystem: "egress", Name: "partitioned", Help: "1 while this entry reaches upstreams through other entries only."}),
		opened:      prometheus.NewCounter(prometheus.CounterOpts{Namespace: "verbenastep", Subsystem: "egress", Name: "tunnels_total", Help: "Connections to upstreams that were opened through other entries."}),
		carried:     prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "verbenastep", Subsystem: "egress", Name: "carried_tunnels", Help: "Connections that this entry carries for others."}),
		cut:         prometheus.NewCounter(prometheus.CounterOpts{Namespace: "verbenastep", Subsystem: "egress", Name: "carried_tunnels_cut_total", Help: "Connections of other entries that a planned stop cut off."}),
	}
}

func (m *metrics) register(r prometheus.Registerer) error {
	for _, c := range []prometheus.Collector{m.partitioned, m.opened, m.carried, m.cut} {
		if err := r.Register(c); err != nil {
			return err
		}
	}
	return nil
}
