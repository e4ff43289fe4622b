package roster

import "github.com/prometheus/client_golang/prometheus"

// states is how many upstreams are in which state, counted when it is asked for.
type states struct {
	s    *Service
	desc *prometheus.Desc
}

func newStates(s *Service) *states {
	return &states{s: s, desc: prometheus.NewDesc("verbenastep_roster_upstreams",
		"Upstreams by state: ready, leaving, silent for several heartbeats, or gone and remembered.", []string{"pool", "state"}, nil)}
}

// Describe gives the metric's form.
func (x *states) Describe(out chan<- *prometheus.Desc) { out <- x.desc }

// Collect counts the upstreams.
func (x *states) Collect(out chan<- prometheus.Metric) {
	type key struct{ pool, state string }
	counts := map[key]int{}
	for _, e := range x.s.All() {
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
		out <- prometheus.MustNewConstMetric(x.desc, prometheus.GaugeValue, float64(n), k.pool, k.state)
	}
}
