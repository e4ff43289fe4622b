package broker

import "github.com/verbenastep/verbenastep/internal/brokerwire"

// sendSuspects sends the entries which contents crashed upstreams and which were cleared of it: they
// refuse requests in quarantine while no broker grants, and pass all on to the next broker, which
// goes on counting. An entry gets all of them once, then the changes. The caller holds the lock.
func (s *Service) sendSuspects() {
	now := s.now()
	changes := s.core.TakeSuspectChanges(now)
	for x := range s.listeners {
		list := changes
		if !x.hasSuspects {
			x.hasSuspects = true
			list = s.core.SuspectedContents(now)
		}
		if len(list) > 0 {
			r := s.reply(x)
			r.Suspects = brokerwire.EncodeSuspects(now, list)
			x.send(r)
		}
	}
}
