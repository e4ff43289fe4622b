package broker

import (
	"math"
	"time"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/work"
)

const (
	// speedNews is the change of a learned time, as a part of it, that entries
	// are told of; troubleNews that of the share of failures, in thousandths.
	// Smaller ones change no entry's choice.
	speedNews   = 0.25
	troubleNews = 100
)

// rosterPart is the most upstreams in one message, so that a session's buffer
// stays small: about 40 kB at 100 bytes each.
const rosterPart = 400

const (
	// rosterLife is how old an entry's roster may be for changes to suffice: half
	// of the time for which upstreams that left are remembered.
	rosterLife = time.Minute
	// rosterLag is how much later than others the daemon that told the entry may
	// have heard of a change: one that is cut off stops leading before.
	rosterLag = 5 * time.Second
)

// lacksSince is from when on an entry may lack changes of the roster; zero where
// it lacks all.
func lacksSince(first *rpc.BrokerAsk) time.Time {
	age := time.Duration(first.RosterAgeMs) * time.Millisecond
	if age == 0 || age > rosterLife {
		return time.Time{}
	}
	return time.Now().Add(-age - rosterLag)
}

// tellRoster tells an entry the roster as the other entries know it, once; the
// lock is held. The daemon that leads tells all of it. Others tell an entry that
// comes from a leader what has changed since: while nobody leads, entries go from
// one daemon to the next, and all of it each time would keep the daemons from
// electing one.
func (s *Service) tellRoster(x *session) {
	if x.told {
		return
	}
	x.told = true
	x.whole = s.leads || x.since.IsZero()
	r := s.reply()
	r.RosterSet = x.whole
	for id, e := range s.told {
		if x.whole && e.Gone || !x.whole && s.toldAt[id].Before(x.since) {
			continue
		}
		r.Roster = append(r.Roster, e)
		if len(r.Roster) == rosterPart {
			x.send(r)
			r = s.reply()
		}
	}
	if r.RosterSet || len(r.Roster) > 0 {
		x.send(r)
	}
}

// tellNews tells the entries what has changed of the upstreams since they were
// told last; the lock is held. Bytes grow with the changes, not with the roster.
func (s *Service) tellNews(list []port.RosterEntry) {
	r := s.reply()
	learned := s.core.Learned()
	present := make(map[string]bool, len(list))
	for _, e := range list {
		now := work.EncodeEntry(e, learned[e.ID])
		present[e.ID] = true
		if old := s.told[e.ID]; old != nil && !news(old, now) {
			continue
		}
		s.told[e.ID], s.toldAt[e.ID] = now, s.read
		r.Roster = append(r.Roster, now)
	}
	for id, old := range s.told {
		if !present[id] {
			delete(s.told, id)
			delete(s.toldAt, id)
			r.Roster = append(r.Roster, &rpc.RosterEntry{Id: id, Pool: old.Pool, Gone: true})
		}
	}
	if len(r.Roster) == 0 {
		return
	}
	for _, x := range s.sessions {
		if x.told {
			x.send(r)
		}
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
