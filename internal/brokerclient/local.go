package brokerclient

import (
	"time"

	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/internal/brokerwire"
)

// localDecideInterval is the longest time between two rounds of the local broker.
const localDecideInterval = time.Second

// firstBrokerTimeout is how long an entry with its first route table waits for a broker
// before it uses its local broker. The daemon that sent the table knows the leader, so
// the entry finds it within a few round trips.
const firstBrokerTimeout = 300 * time.Millisecond

// nextBrokerTimeout is how long after the loss of a broker the entry refuses nothing for want of
// its own share: the next broker has all upstreams and quotas, and after a planned stop it is found
// within a few round trips between regions.
const nextBrokerTimeout = 300 * time.Millisecond

// runLocal runs rounds of the local broker while no other broker grants.
func (s *Service) runLocal() {
	timer := time.NewTimer(localDecideInterval)
	defer timer.Stop()
	for s.ctx.Err() == nil {
		timer.Reset(s.decideLocal())
		select {
		case <-s.wakeLocal:
		case <-timer.C:
		case <-s.ctx.Done():
		}
	}
}

// decideLocal updates the local broker's route table and, if no other broker grants, runs
// one round of decisions. It returns the delay before the next call.
func (s *Service) decideLocal() time.Duration {
	table := s.view.Routes()
	s.mu.Lock()
	defer s.mu.Unlock()
	if table != nil && table.Table.Version != s.tableVersion {
		if s.tableVersion == 0 {
			s.localAllowedFrom = s.now() + firstBrokerTimeout
		}
		s.tableVersion = table.Table.Version
		s.local.SetTable(table)
	}
	if s.attached || table == nil {
		return localDecideInterval
	}
	if left := s.localAllowedFrom - s.now(); left > 0 {
		return left
	}
	s.updateShare()
	s.syncRollouts()
	decisions := s.local.Decide(s.now())
	for _, x := range decisions.Suspicions {
		s.log.Info("content suspected of a crash", brokerwire.SuspicionFields(x)...)
	}
	for _, g := range decisions.Grants {
		s.settleGrant(g, byEntry)
	}
	for _, r := range decisions.Refusals {
		if !s.holdRefusal(r) {
			s.settleRefusal(r, byEntry)
		}
	}
	delay := localDecideInterval
	if next, waits := s.local.NextDelay(); waits {
		delay = next
	}
	if left := s.holdTime(); left > 0 && len(s.heldRefusals) > 0 {
		return min(left, delay)
	}
	s.settleHeldRefusals()
	return delay
}

// holdTime returns for how long refusals are kept back from now. The caller holds the lock.
func (s *Service) holdTime() time.Duration {
	if s.brokerLostAt == 0 {
		return 0
	}
	return s.brokerLostAt + nextBrokerTimeout - s.now()
}

// holdRefusal keeps back a refusal that follows from the entry's own share, and reports whether it
// did. The request is offered to the next broker; if there is none in time, it is refused then.
// The caller holds the lock.
func (s *Service) holdRefusal(r broker.Refusal) bool {
	if s.holdTime() <= 0 || r.Code != broker.Overloaded && r.Code != broker.LimitExceeded {
		return false
	}
	s.heldRefusals = append(s.heldRefusals, r)
	return true
}

// settleHeldRefusals delivers the refusals that were kept back. The caller holds the lock.
func (s *Service) settleHeldRefusals() {
	for _, r := range s.heldRefusals {
		// It may have been offered once more, in a session without a broker.
		s.local.Cancel(r.ID)
		s.settleRefusal(r, byEntry)
	}
	s.heldRefusals = nil
}
