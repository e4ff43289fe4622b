package broker

import (
	"math"
	"time"

	"github.com/verbenastep/verbenastep/internal/brokerwire"
)

// minLevelChange is the smallest change of a quota level that is sent, as a fraction of
// the quota. Quotas may be exceeded by 0.1; unsent changes use a fifth of that.
const minLevelChange = 0.02

// sendLevels sends the quota levels to the entries, which use them while no broker
// grants and pass them on to the next broker. An entry gets all levels once, then the
// changes. The caller holds the lock.
func (s *Service) sendLevels() {
	if time.Since(s.levelsSentAt) < quotaLevelInterval {
		return
	}
	s.levelsSentAt = time.Now()
	s.queueLevels(levelChanges(s.sentLevels, s.core.QuotaLevels(s.now())))
}

// queueLevels sends changed levels to the sessions, or all of them to those that have none
// yet. The caller holds the lock.
func (s *Service) queueLevels(changes map[string]float64) {
	for x := range s.listeners {
		switch {
		case !x.hasLevels:
			x.hasLevels = true
			r := s.reply(x)
			r.QuotasSet, r.Quotas = true, brokerwire.EncodeQuotaLevels(s.sentLevels)
			x.send(r)
		case len(changes) > 0:
			r := s.reply(x)
			r.Quotas = brokerwire.EncodeQuotaLevels(changes)
			x.send(r)
		}
	}
}

// levelChanges updates the levels that were sent and returns those that changed. A
// workspace that is not listed has its full quota.
func levelChanges(sent, current map[string]float64) map[string]float64 {
	out := map[string]float64{}
	for name, left := range current {
		if old, known := sent[name]; !known || math.Abs(old-left) > minLevelChange {
			sent[name], out[name] = left, left
		}
	}
	for name := range sent {
		if _, listed := current[name]; !listed {
			delete(sent, name)
			out[name] = 1
		}
	}
	return out
}
