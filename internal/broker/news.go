package broker

import (
	"math"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/internal/work"
)

const (
	// speedNews is the change of a learned time, as a part of it, that entries
	// are told of; troubleNews that of the share of failures, in thousandths.
	// Smaller ones change no entry's choice.
	speedNews   = 0.25
	troubleNews = 100
)

// tellNews tells the entries what has changed of the upstreams since they were
// told last; the lock is held. Bytes grow with the changes, not with the roster.
func (s *Service) tellNews() {
	r := s.reply()
	learned := s.core.Learned()
	present := map[string]bool{}
	for _, e := range s.roster.All() {
		now := work.EncodeEntry(e, learned[e.ID])
		present[e.ID] = true
		if old := s.told[e.ID]; old != nil && !news(old, now) {
			continue
		}
		s.told[e.ID] = now
		r.Roster = append(r.Roster, now)
	}
	for id, old := range s.told {
		if !present[id] {
			delete(s.told, id)
			r.Roster = append(r.Roster, &rpc.RosterEntry{Id: id, Pool: old.Pool, Gone: true})
		}
	}
	if len(r.Roster) == 0 {
		return
	}
	for _, x := range s.sessions {
		x.send(r)
	}
}

// news tells whether an entry should know of a change.
func news(old, now *rpc.RosterEntry) bool {
	same := old.Address == now.Address && old.Pool == now.Pool && old.Slots == now.Slots && old.Leaving == now.Leaving &&
		old.Gone == now.Gone && old.Silent == now.Silent && old.DataCentre == now.DataCentre
	return !same || moved(old.TokenUs, now.TokenUs) || moved(old.CallUs, now.CallUs) ||
		math.Abs(float64(old.Trouble)-float64(now.Trouble)) > troubleNews
}

func moved(old, now uint32) bool {
	return math.Abs(float64(old)-float64(now)) > speedNews*float64(old)
}
