package replica

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/verbenastep/verbenastep/core/consensus"
)

const (
	namespace = "verbenastep"
	subsystem = "log"
)

// meters holds the metrics of all groups, labelled by group.
type meters struct {
	commits *prometheus.CounterVec
	sync    *prometheus.HistogramVec
	term    *prometheus.GaugeVec
	leader  *prometheus.GaugeVec
	lag     *prometheus.GaugeVec
	version *prometheus.GaugeVec
	voters  *prometheus.GaugeVec
	// replyingVoters counts the voters that reply, on the leader.
	replyingVoters *prometheus.GaugeVec
	delays         *prometheus.CounterVec
}

func newMeters(r prometheus.Registerer) *meters {
	gauge := func(name, help string, labels ...string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help}, labels)
	}
	m := &meters{
		commits: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem, Name: "commits_total", Help: "Entries committed and applied."}, []string{"group"}),
		sync: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "sync_seconds", Help: "Time of one write and sync.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 2, 16),
		}, []string{"group"}),
		term:    gauge("term", "Present term.", "group"),
		leader:  gauge("leader", "1 on the leader.", "group"),
		lag:     gauge("replica_lag_entries", "Entries a replica lacks, on the leader.", "group", "replica"),
		version: gauge("config_version", "Accepted configuration version as applied here.", "group"),
		voters:  gauge("voters", "Replicas that vote, as known here.", "group"),

		replyingVoters: gauge("replying_voters", "Voters that reply, on the leader; more than half of the voters must.", "group"),
		delays:         prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem, Name: "loop_delays_total", Help: "Times that the loop of the log stood still for half of an election timeout."}, []string{"group"}),
	}
	r.MustRegister(m.commits, m.sync, m.term, m.leader, m.lag, m.version, m.voters, m.replyingVoters, m.delays)
	return m
}

// groupMeters holds the metrics of one group.
type groupMeters struct {
	name    string
	commits prometheus.Counter
	sync    prometheus.Observer
	term    prometheus.Gauge
	leader  prometheus.Gauge
	version prometheus.Gauge
	voters  prometheus.Gauge
	lag     *prometheus.GaugeVec

	replyingVoters prometheus.Gauge
	delays         prometheus.Counter
}

func (m *meters) group(name string) *groupMeters {
	return &groupMeters{
		name: name, commits: m.commits.WithLabelValues(name), sync: m.sync.WithLabelValues(name),
		term: m.term.WithLabelValues(name), leader: m.leader.WithLabelValues(name),
		version: m.version.WithLabelValues(name), lag: m.lag,
		voters: m.voters.WithLabelValues(name), replyingVoters: m.replyingVoters.WithLabelValues(name), delays: m.delays.WithLabelValues(name),
	}
}

// update sets the gauges from the status and the configuration version.
func (m *groupMeters) update(s consensus.Status, version uint64) {
	m.term.Set(float64(s.Term))
	m.version.Set(float64(version))
	m.voters.Set(float64(countVoters(s.Members)))
	m.leader.Set(0)
	m.replyingVoters.Set(0)
	if s.Role == consensus.Leader {
		m.leader.Set(1)
		m.replyingVoters.Set(float64(countReplyingVoters(s, s.Members)))
	}
	for _, p := range s.Peers {
		m.lag.WithLabelValues(m.name, p.Member.Name).Set(float64(s.LastIndex - min(p.MatchIndex, s.LastIndex)))
	}
}
