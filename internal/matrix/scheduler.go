package matrix

import (
	"time"

	"github.com/verbenastep/verbenastep/core/sched"
)

// announceLease is how long an upstream's announcement holds.
const announceLease = 2 * time.Second

// scheduler is the real dispatcher's decisions.
type scheduler struct {
	core  *sched.Dispatcher
	tiers map[sched.ID]int
}

func newScheduler() *scheduler {
	return &scheduler{core: sched.New(sched.Params{Region: region}), tiers: map[sched.ID]int{}}
}

func (s *scheduler) offer(now time.Duration, o sched.Offer) []sched.Refusal {
	s.tiers[o.ID] = o.Tier
	refusal, _ := s.core.Offer(now, o)
	if refusal == nil {
		return nil
	}
	return []sched.Refusal{*refusal}
}

// resync replaces all that is known of an entry by what it offers now.
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
		Name: e.name, Address: e.name, Region: region, Incarnation: e.incarnation, Slots: slots, Lease: announceLease,
	})
}

func (s *scheduler) leave(now time.Duration, e *engine) { s.core.Drain(now, e.name, e.incarnation) }

func (s *scheduler) decide(now time.Duration) sched.Decisions { return s.core.Decide(now) }
