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

// wholePause is the pause after a whole roster was told, for each upstream in it:
// encoding and sending one takes a few microseconds of a whole core, of which a
// control daemon may have a fraction, and the log goes first.
const wholePause = 40 * time.Microsecond

// tellRoster tells an entry what it lacks of the roster as the other entries know
// it; the lock is held. An entry that comes from a leader hears at once what has
// changed since. The whole roster, which the daemon that leads tells to each entry
// once and others to those that have none, takes its turn: an entry whose turn has
// not come is told with one of its next messages.
func (s *Service) tellRoster(x *session) {
	if !x.told && !x.since.IsZero() {
		x.told = true
		s.sendRoster(x, false)
	}
	if x.whole || !s.leads && x.told || time.Now().Before(s.nextWhole) {
		return
	}
	x.told, x.whole = true, true
	s.sendRoster(x, true)
	s.nextWhole = time.Now().Add(time.Duration(len(s.told)) * wholePause)
}

// sendRoster sends all of the roster, or what has changed since the entry's own.
func (s *Service) sendRoster(x *session, whole bool) {
	r := s.reply()
	r.RosterSet = whole
	for id, e := range s.told {
		if whole && e.Gone || !whole && s.toldAt[id].Before(x.since) {
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
