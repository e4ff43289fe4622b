package brokerclient

import (
	"time"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/internal/brokerwire"
	"github.com/verbenastep/verbenastep/internal/wait"
)

// ReportLimit records what an upstream said of the requests that it takes, in its response to
// a request that was sent at the given time. The local broker obeys it from now on, and the
// broker is told if it is news.
func (s *Service) ReportLimit(l broker.RequestLimit, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.AskedAt = sentAt.Sub(s.started)
	if !s.local.LearnLimit(s.now(), l) {
		return
	}
	s.log.Info("upstream limit changed", brokerwire.LimitFields(l)...)
	s.pending.Limits = append(s.pending.Limits, brokerwire.EncodeLimit(s.now(), l))
	wait.Notify(s.wakeSession)
}

// learnRosterLimits records what the roster says of upstreams' limits. The caller holds the
// lock.
func (s *Service) learnRosterLimits(roster []*rpc.RosterEntry) {
	for _, e := range roster {
		if e.Limit != nil {
			s.local.LearnLimit(s.now(), brokerwire.DecodeLimit(s.now(), e.Limit))
		}
	}
}
