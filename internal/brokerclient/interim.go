package brokerclient

import (
	"slices"
	"time"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/internal/brokerwire"
	"github.com/verbenastep/verbenastep/internal/port"
)

const (
	// maxInterimTime is how long an entry stays with an interim broker while a leader is known:
	// the daemon may not reach it. A relay is set up within it. maxLeaderlessInterimTime is the
	// same while none is known; each move costs some requests.
	maxInterimTime           = 1200 * time.Millisecond
	maxLeaderlessInterimTime = 10 * time.Second
)

// shouldLeaveInterim reports whether to look for another daemon than the interim broker at an
// address: if the view names a leader which that daemon does not reach, or after a long time if
// there is another one. The caller holds the lock.
func (s *Service) shouldLeaveInterim(address string) bool {
	served := s.now() - s.interimSince
	if leader := s.view.Leader().Address; leader != "" && leader != address {
		return served > maxInterimTime
	}
	return served > maxLeaderlessInterimTime && s.hasOtherControl(address)
}

// hasOtherControl reports whether a control daemon other than the one at an address is live.
func (s *Service) hasOtherControl(address string) bool {
	return s.members != nil && slices.ContainsFunc(s.members.Live(), func(m port.Member) bool { return m.Replica && !m.Leaving && m.Peers != address })
}

// usesInterim reports whether an interim broker grants in the session.
func (s *Service) usesInterim() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attached && s.interim
}

// grantedBy returns who grants in the session. The caller holds the lock.
func (s *Service) grantedBy() string {
	if s.interim {
		return byInterim
	}
	return byBroker
}

// interimQuotaReport returns what the first interim broker after a leader needs to know of the
// quotas: the levels that the leader left, refilled since, and what the entry granted by itself. A
// further interim broker has charged its own entries, and those before it the entry's requests.
// All of it is reported to the next leader. The caller holds the lock.
func (s *Service) interimQuotaReport() []*rpc.QuotaLevel {
	if s.toldInterim || !s.knowsQuotas {
		return nil
	}
	s.toldInterim = true
	return brokerwire.EncodeQuotaReport(s.local.RefillLevels(s.quotaLevels, s.now()-s.brokerHeardAt), s.localUse)
}
