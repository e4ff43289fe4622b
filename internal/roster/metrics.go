package roster

import "github.com/prometheus/client_golang/prometheus"

// stateCollector exports the number of upstreams by pool and state, counted at
// each scrape.
type stateCollector struct {
	s    *Service
	desc *prometheus.Desc
}

func newStateCollector(s *Service) *stateCollector {
	return &stateCollector{s: s, desc: prometheus.NewDesc("verbenastep_roster_upstreams",
		"Upstreams by state: ready, leaving, silent for several heartbeats, or gone and remembered.", []string{"pool", "state"}, nil)}
}

// Describe sends the metric's description.
func (c *stateCollector) Describe(out chan<- *prometheus.Desc) { out <- c.desc }

// Collect sends the current counts.
func (c *stateCollector) Collect(out chan<- prometheus.Metric) {
	type key struct{ pool, state string }
	counts := map[key]int{}
	for _, e := range c.s.All() {
		k := key{e.Pool, "ready"}
		switch {
		case e.Gone:
			k.state = "gone"
		case e.Silent:
			k.state = "silent"
		case e.Leaving:
			k.state = "leaving"
		}
		counts[k]++
	}
	for k, n := range counts {
		out <- prometheus.MustNewConstMetric(c.desc, prometheus.GaugeValue, float64(n), k.pool, k.state)
	}
}
