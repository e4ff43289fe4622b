package brokerclient

import "time"

// alonePause is the longest pause between two looks at the entry's own books.
const alonePause = time.Second

// decideAlone grants from the entry's own books while no broker does.
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
		s.version = table.Table.Version
		s.core.Configure(table)
	}
	if s.attached {
		return alonePause
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
