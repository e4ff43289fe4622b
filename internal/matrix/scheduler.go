package matrix

import (
	"time"

	"github.com/verbenastep/verbenastep/core/sched"
)

// announcementTTL is the validity of an upstream's announcement.
const announcementTTL = 2 * time.Second

// scheduler wraps the dispatcher of core/sched and keeps the tier of each offer
// for the recorded events.
type scheduler struct {
	core  *sched.Dispatcher
	tiers map[sched.ID]int
}

func newScheduler() *scheduler {
	return &scheduler{core: sched.New(sched.Params{Region: regionName}), tiers: map[sched.ID]int{}}
}

func (s *scheduler) offer(now time.Duration, o sched.Offer) []sched.Refusal {
	s.tiers[o.ID] = o.Tier
	refusal, _ := s.core.Offer(now, o)
	if refusal == nil {
		return nil
	}
	return []sched.Refusal{*refusal}
}

// resync replaces all offers of an entry by the given ones.
func (s *scheduler) resync(now time.Duration, entry string, offers []sched.Offer) []sched.Refusal {
	for _, o := range offers {
		s.tiers[o.ID] = o.Tier
	}
	refusals, _ := s.core.Resync(now, entry, offers)
	return refusals
}

func (s *scheduler) release(now time.Duration, r sched.Release) { _, _ = s.core.Release(now, r) }

func (s *scheduler) loseEntry(now time.Duration, entry string) { s.core.LoseEntry(now, entry) }

func (s *scheduler) announce(now time.Duration, e *engine) {
	_ = s.core.Announce(now, sched.Upstream{
		Name: e.name, Address: e.name, Region: regionName, Incarnation: e.incarnation, Slots: upstreamSlots, Lease: announcementTTL,
	})
}

func (s *scheduler) leave(now time.Duration, e *engine) { s.core.Drain(now, e.name, e.incarnation) }

func (s *scheduler) decide(now time.Duration) sched.Decisions { return s.core.Decide(now) }
