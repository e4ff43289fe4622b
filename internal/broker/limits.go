package broker

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/internal/brokerwire"
)

// learnLimits adds what upstreams said of the requests that they take. A follower keeps it as
// well: for entries that start, and for the time when it leads. The caller holds the lock.
func (s *Service) learnLimits(list []*rpc.UpstreamLimit) {
	changed := false
	for _, x := range list {
		l := brokerwire.DecodeLimit(s.now(), x)
		if !s.core.LearnLimit(s.now(), l) {
			continue
		}
		changed = true
		s.log.Info("upstream limit changed", brokerwire.LimitFields(l)...)
	}
	if changed {
		// The entries hear of it with the roster, changes of which are collected.
		if due := time.Now().Add(s.batchDelayLocked() - rosterInterval); s.rosterReadAt.After(due) {
			s.rosterReadAt = due
		}
	}
}

// learnRosterLimits adds what the leader's roster says of limits. The caller holds the lock.
func (s *Service) learnRosterLimits(roster []*rpc.RosterEntry) {
	list := []*rpc.UpstreamLimit{}
	for _, e := range roster {
		if e.Limit != nil {
			list = append(list, e.Limit)
		}
	}
	s.learnLimits(list)
}

// encodeLimit returns what an upstream said of the requests that it takes, nil if nothing. The
// caller holds the lock.
func (s *Service) encodeLimit(upstream string) *rpc.UpstreamLimit {
	l, ok := s.core.Limit(upstream)
	if !ok {
		return nil
	}
	return brokerwire.EncodeLimit(s.now(), l)
}

// withLimitAge returns a roster entry that was announced earlier with the present age of its
// limit. The caller holds the lock.
func (s *Service) withLimitAge(e *rpc.RosterEntry) *rpc.RosterEntry {
	if e.Limit == nil {
		return e
	}
	out := proto.Clone(e).(*rpc.RosterEntry)
	out.Limit = s.encodeLimit(e.Id)
	return out
}

// limitChanged reports whether an upstream's limit changed, apart from when it was named.
func limitChanged(old, current *rpc.UpstreamLimit) bool {
	a, b := brokerwire.DecodeLimit(0, old), brokerwire.DecodeLimit(0, current)
	a.AskedAt, b.AskedAt = 0, 0
	return a != b
}
