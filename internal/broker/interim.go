package broker

import (
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/internal/brokerwire"
)

// interimDelay is how long a control daemon knows no leader before it grants to its entries
// itself. A new leader is found within it where the others have elected one already.
const interimDelay = 150 * time.Millisecond

// maxInterimShare is less than 1, with which a broker acts as that of all entries.
const maxInterimShare = 1 - 1e-9

// interim is the broker of a control daemon for the time in which no daemon leads the log. It
// serves the entries that are connected to this daemon, within their share of all upstreams and
// quotas, as each of them would by itself: a few large shares are used better than many small
// ones. It needs no agreement: the shares of all entries add up to the whole, and what may run
// once is guarded by the entries alone. The service's lock guards it.
type interim struct {
	active bool
	// leaderlessSince is when this daemon last knew a leader or led itself; zero while it does.
	// leaderSince is when it learned of the present leader; zero while it knows none.
	leaderlessSince time.Time
	leaderSince     time.Time
	// entries is the number of entries that the last leader served.
	entries int
	// quotaLevels is what the last interim broker left of the quotas; nil once a leader has
	// served the entries.
	quotaLevels map[string]float64
}

// updateInterim starts the interim broker once no leader has been known for a while, and ends it
// when there is one. It returns true if it has started. The caller holds the lock.
func (s *Service) updateInterim(hasTable bool) bool {
	x := &s.interim
	entries := 0
	if s.leads {
		entries = len(s.sessions)
	} else if s.relay.up {
		entries = int(s.relay.entries)
	}
	if entries > 0 && (entries > x.entries || time.Since(x.leaderSince) > entriesTimeout) {
		// A leader that has just begun does not serve all entries yet.
		x.entries = entries
	}
	if s.leads || s.relay.up {
		x.quotaLevels = nil
	}
	if s.leads || s.relay.up || s.leader.Address != "" {
		x.leaderlessSince = time.Time{}
		if x.leaderSince.IsZero() {
			x.leaderSince = time.Now()
		}
		if x.active && time.Since(x.leaderSince) > relayConnectTimeout {
			// The entries look for a daemon that reaches the leader.
			s.endInterim()
			s.replaceCore()
			s.replyToListeners()
		}
		return false
	}
	x.leaderSince = time.Time{}
	if x.leaderlessSince.IsZero() {
		x.leaderlessSince = time.Now()
	}
	if x.active || !hasTable || len(s.announced) == 0 || time.Since(x.leaderlessSince) < interimDelay {
		return false
	}
	x.active = true
	s.metrics.interim.Set(1)
	s.replaceCore()
	s.core.SetName(s.set.Name)
	s.shareInterim()
	s.log.Info("interim broker started", zap.Int("entries", len(s.sessions)))
	s.replyToListeners()
	return true
}

// endInterim ends the interim broker. The caller replaces the core and holds the lock.
func (s *Service) endInterim() {
	if !s.interim.active {
		return
	}
	s.interim.active = false
	s.interim.quotaLevels = s.core.QuotaLevels(s.now())
	s.metrics.interim.Set(0)
	s.log.Info("interim broker ended", zap.Int("entries", len(s.sessions)))
}

// shareInterim sets the share of the interim broker: that of its entries in all entries that are
// live or were connected to the last leader. The caller holds the lock.
func (s *Service) shareInterim() {
	if !s.interim.active {
		return
	}
	served, live := 0, 0
	for _, x := range s.sessions {
		if x.interim {
			served++
		}
	}
	for _, m := range s.members.Live() {
		if m.Callers != "" {
			live++
		}
	}
	share := float64(max(1, served)) / float64(max(1, served, live, s.interim.entries))
	s.core.SetShare(min(share, maxInterimShare))
}

// applyInterim passes an entry's message to the interim broker, once the entry has sent all its
// requests. The caller holds the lock.
func (s *Service) applyInterim(entry string, x *session, ask *rpc.BrokerAsk) {
	if !x.complete && !ask.Complete {
		s.learnLimits(ask.Limits)
		s.core.LearnSuspects(s.now(), brokerwire.DecodeSuspects(s.now(), ask.Suspects))
		return
	}
	if !x.complete {
		// Quotas are charged at once.
		x.complete = true
		s.shareInterim()
	}
	s.apply(entry, ask)
}
