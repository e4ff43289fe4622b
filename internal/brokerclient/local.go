package brokerclient

import (
	"time"

	"github.com/verbenastep/verbenastep/internal/brokerwire"
)

// localDecideInterval is the longest time between two rounds of the local broker.
const localDecideInterval = time.Second

// firstBrokerTimeout is how long an entry with its first route table waits for a broker
// before it uses its local broker. The daemon that sent the table knows the leader, so
// the entry finds it within a few round trips.
const firstBrokerTimeout = 300 * time.Millisecond

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
		s.settleRefusal(r, byEntry)
	}
	if delay, waits := s.local.NextDelay(); waits {
		return delay
	}
	return localDecideInterval
}
