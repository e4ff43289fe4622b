package brokerclient

import "time"

// alonePause is the longest pause between two looks at the local broker.
const alonePause = time.Second

// brokerPatience is how long an entry that has just got its first route table
// waits for a broker before it decides by itself: the daemon that sent the table
// has a leader, which an entry finds within a few round trips.
const brokerPatience = 300 * time.Millisecond

// decideAlone grants from the local broker while no broker does.
func (s *Service) decideAlone() {
	timer := time.NewTimer(alonePause)
	defer timer.Stop()
	for s.ctx.Err() == nil {
		timer.Reset(s.decideOnce())
		select {
		case <-s.local:
		case <-timer.C:
		case <-s.ctx.Done():
		}
	}
}

func (s *Service) decideOnce() time.Duration {
	table := s.view.Routes()
	s.mu.Lock()
	defer s.mu.Unlock()
	if table != nil && table.Table.Version != s.version {
		if s.version == 0 {
			s.aloneFrom = s.now() + brokerPatience
		}
		s.version = table.Table.Version
		s.core.Configure(table)
	}
	if s.attached || table == nil {
		return alonePause
	}
	if left := s.aloneFrom - s.now(); left > 0 {
		return left
	}
	decided := s.core.Decide(s.now())
	for _, g := range decided.Grants {
		s.granted(g, byEntry)
	}
	for _, r := range decided.Refusals {
		s.refused(r, byEntry)
	}
	if pause, waits := s.core.Next(); waits {
		return pause
	}
	return alonePause
}
