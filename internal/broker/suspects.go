package broker

import "github.com/verbenastep/verbenastep/internal/brokerwire"

// sendSuspects tells the entries which contents are in quarantine: they refuse requests with
// them while no broker grants, and pass them on to the next broker. An entry gets all of them
// once, then the changes. The caller holds the lock.
func (s *Service) sendSuspects() {
	now := s.now()
	changes := s.core.TakeSuspectChanges(now)
	for x := range s.listeners {
		list := changes
		if !x.hasSuspects {
			x.hasSuspects = true
			list = s.core.QuarantinedContents(now)
		}
		if len(list) > 0 {
			r := s.reply(x)
			r.Suspects = brokerwire.EncodeSuspects(now, list)
			x.send(r)
		}
	}
}
