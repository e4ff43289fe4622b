package broker

import (
	"maps"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/internal/brokerwire"
	"github.com/verbenastep/verbenastep/internal/settings"
)

const (
	// overloadLogInterval is the shortest time between two log lines on decisions under
	// overload.
	overloadLogInterval = 5 * time.Second
	// maxFollowerCommitments bounds the commitments that a follower keeps, and those that wait
	// for a follower. Without one, a request that returns is treated as a first arrival.
	maxFollowerCommitments = 2 * settings.DefaultMaxCommitments
	// commitmentSweepInterval is how often a follower removes expired commitments.
	commitmentSweepInterval = time.Second
)

// enableOverload enables the decisions under overload if the settings ask for them.
func enableOverload(core *broker.Broker, set *settings.Settings) {
	if o := set.Routing.Overload; o != nil {
		core.SetOverload(broker.Overload{MaxCommitments: o.MaxCommitments, ReturnShare: o.ReturnShare})
	}
}

// queueCommitments adds the new commitments to the next message of each follower. The caller
// holds the lock.
func (s *Service) queueCommitments() {
	fresh := s.core.NewCommitments()
	if len(fresh) == 0 {
		return
	}
	for x := range s.listeners {
		if y := x.via; y != nil && len(y.commitments)+len(fresh) <= maxFollowerCommitments {
			y.commitments = append(y.commitments, fresh...)
		}
	}
}

// followerCommitments holds, by fingerprint, the requests that the leader told when to return.
type followerCommitments struct {
	due       map[uint64]broker.Commitment
	nextSweep time.Duration
}

// learn adds what a message of the leader says.
func (c *followerCommitments) learn(now time.Duration, list []*rpc.ReturnCommitment) {
	if now >= c.nextSweep {
		c.nextSweep = now + commitmentSweepInterval
		maps.DeleteFunc(c.due, func(_ uint64, x broker.Commitment) bool { return x.IsExpired(now) })
	}
	if c.due == nil {
		c.due = map[uint64]broker.Commitment{}
	}
	for _, x := range brokerwire.DecodeCommitments(now, list) {
		if len(c.due) < maxFollowerCommitments {
			c.due[x.Fingerprint] = x
		}
	}
}

// accepts reports whether a request returns as the leader told it to.
func (c *followerCommitments) accepts(now time.Duration, fingerprint uint64) bool {
	x, ok := c.due[fingerprint]
	return ok && x.Accepts(now)
}

// overloadReport makes metrics and log lines of the decisions under overload.
type overloadReport struct {
	last, logged broker.OverloadStats
	loggedAt     time.Time
}

// reportOverload counts the decisions since the last call, and logs them if it is due. The
// caller holds the lock.
func (s *Service) reportOverload() {
	stats, ok := s.core.OverloadStats()
	if !ok || stats == s.overload.last {
		return
	}
	old, current := overloadEvents(s.overload.last), overloadEvents(stats)
	for event, n := range current {
		s.metrics.overload.WithLabelValues(event).Add(float64(n - old[event]))
	}
	s.overload.last = stats
	if time.Since(s.overload.loggedAt) < overloadLogInterval {
		return
	}
	s.overload.loggedAt = time.Now()
	fields, before := []zap.Field{}, overloadEvents(s.overload.logged)
	for event, n := range current {
		if n > before[event] {
			fields = append(fields, zap.Uint64(event, n-before[event]))
		}
	}
	s.overload.logged = stats
	s.log.Info("decisions under overload", fields...)
}

// overloadEvents returns the counts by the label of the metric.
func overloadEvents(x broker.OverloadStats) map[string]uint64 {
	return map[string]uint64{
		"committed": x.Committed, "returned": x.Returned, "returned_early": x.Early, "kept": x.Kept, "broken": x.Broken,
		"served_late": x.Late, "given_up": x.GivenUp, "fair_order": x.Reordered, "refused_for_burst": x.Preempted,
	}
}

func newOverloadCounter() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "verbenastep", Subsystem: "broker", Name: "overload_total", Help: "Decisions under overload, by event.",
	}, []string{"event"})
}
