package member

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/verbenastep/verbenastep/core/member"
)

// metrics holds the metrics of the membership protocol.
type metrics struct {
	messages *prometheus.CounterVec
	bytes    *prometheus.CounterVec
}

func newMetrics() metrics {
	return metrics{
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "verbenastep_member_messages_total", Help: "Messages of the membership protocol.",
		}, []string{"direction"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "verbenastep_member_bytes_total", Help: "Bytes of the membership protocol's messages, without the framing.",
		}, []string{"direction"}),
	}
}

func (m metrics) register(r prometheus.Registerer, s *Service) error {
	all := []prometheus.Collector{m.messages, m.bytes}
	for _, status := range []member.Status{member.Alive, member.Suspect, member.Dead} {
		all = append(all, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "verbenastep_members", Help: "Other daemons by status.",
			ConstLabels: prometheus.Labels{"status": status.String()},
		}, func() float64 { return s.countMembers(status) }))
	}
	for _, c := range all {
		if err := r.Register(c); err != nil {
			return err
		}
	}
	return nil
}

func (m metrics) recordSent(bytes int) {
	m.messages.WithLabelValues("sent").Inc()
	m.bytes.WithLabelValues("sent").Add(float64(bytes))
}

func (m metrics) recordReceived(bytes int) {
	m.messages.WithLabelValues("received").Inc()
	m.bytes.WithLabelValues("received").Add(float64(bytes))
}

func (s *Service) countMembers(status member.Status) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, m := range s.machine.Members() {
		if m.Status == status {
			n++
		}
	}
	return float64(n)
}
