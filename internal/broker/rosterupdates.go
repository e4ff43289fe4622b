package broker

import (
	"math"
	"time"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/internal/brokerwire"
	"github.com/verbenastep/verbenastep/internal/port"
)

const (
	// minTimeChange is the smallest relative change of a learned time that is sent to
	// entries, minFailureRateChange that of the failure rate, in permille. Smaller
	// changes do not affect the choice of an upstream.
	minTimeChange        = 0.25
	minFailureRateChange = 100
	// estimatesInterval is the shortest time between two messages to all entries for
	// the same upstream, if only its learned estimates changed.
	estimatesInterval = 4 * time.Second
)

// maxRosterPart is the largest number of upstreams in one message. At 100 bytes each, a
// message takes about 40 kB of a session's buffer.
const maxRosterPart = 400

const (
	// maxRosterAge is the age up to which an entry's roster is updated by changes: half
	// of the time for which gone upstreams are remembered.
	maxRosterAge = time.Minute
	// maxRosterLag bounds how much later than other daemons the daemon that sent the
	// entry's roster may have received a change. A leader behind a network partition
	// stops leading, and thereby confirming rosters, within this time.
	maxRosterLag = 5 * time.Second
)

// outdatedSince returns the time from which on an entry may lack changes of the roster;
// zero if the entry needs the full roster.
func outdatedSince(first *rpc.BrokerAsk) time.Time {
	age := time.Duration(first.RosterAgeMs) * time.Millisecond
	if age == 0 || age > maxRosterAge {
		return time.Time{}
	}
	return time.Now().Add(-age - maxRosterLag)
}

// fullRosterDelay is the delay after a full roster, per upstream in it, before the next
// one is sent. Encoding and sending an upstream takes a few microseconds of a core; a
// control daemon may have only a fraction of a core, and the log has priority.
const fullRosterDelay = 40 * time.Microsecond

// sendRoster brings an entry's roster up to date with that of the other entries. An
// entry that has a recent roster from a leader gets the changes at once. The full roster
// is sent by the leader to each entry once, and by other daemons to entries that have
// none. Full rosters are rate limited: an entry that must wait gets its roster after one
// of its next messages. The caller holds the lock.
func (s *Service) sendRoster(x *session) {
	if !x.hasRoster && !x.outdatedSince.IsZero() {
		x.hasRoster = true
		s.queueRoster(x, false)
	}
	if x.hasFullRoster || !s.leads && x.hasRoster || time.Now().Before(s.nextFullRoster) {
		return
	}
	x.hasRoster, x.hasFullRoster = true, true
	s.work.rosters++
	s.queueRoster(x, true)
	s.nextFullRoster = time.Now().Add(time.Duration(len(s.announced)) * fullRosterDelay)
}

// queueRoster queues the full roster for an entry, or the changes that it lacks, in
// messages of at most maxRosterPart upstreams. The caller holds the lock.
func (s *Service) queueRoster(x *session, full bool) {
	r := s.reply(x)
	r.RosterSet = full
	for id, e := range s.announced {
		if full && e.Gone || !full && s.announcedAt[id].Before(x.outdatedSince) {
			continue
		}
		r.Roster = append(r.Roster, s.withLimitAge(e))
		if len(r.Roster) == maxRosterPart {
			x.send(r)
			r = s.reply(x)
		}
	}
	if r.RosterSet || len(r.Roster) > 0 {
		x.send(r)
	}
}

// announceChanges sends the entries the upstreams that changed since the last call, so
// that traffic grows with the changes and not with the roster. The caller holds the lock.
func (s *Service) announceChanges(list []port.RosterEntry) {
	changed := []*rpc.RosterEntry{}
	learned := s.core.Estimates()
	if !s.leads {
		learned = s.relay.estimates
	}
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		current := brokerwire.EncodeUpstream(e, learned[e.ID])
		current.Limit = s.encodeLimit(e.ID)
		listed[e.ID] = true
		if old := s.announced[e.ID]; old != nil && !rosterChanged(old, current) && !(estimatesChanged(old, current) && s.rosterReadAt.Sub(s.announcedAt[e.ID]) >= estimatesInterval) {
			continue
		}
		s.announced[e.ID], s.announcedAt[e.ID] = current, s.rosterReadAt
		changed = append(changed, current)
	}
	for id, old := range s.announced {
		if !listed[id] {
			delete(s.announced, id)
			delete(s.announcedAt, id)
			changed = append(changed, &rpc.RosterEntry{Id: id, Pool: old.Pool, Gone: true})
		}
	}
	if len(changed) == 0 {
		return
	}
	for x := range s.listeners {
		if x.hasRoster {
			r := s.reply(x)
			r.Roster = changed
			x.send(r)
		}
	}
}

// rosterChanged reports whether an upstream changed in what its heartbeats and answers say,
// which is sent to entries at once.
func rosterChanged(old, current *rpc.RosterEntry) bool {
	return old.Address != current.Address || old.Born != current.Born || old.Pool != current.Pool || old.Slots != current.Slots || old.Leaving != current.Leaving ||
		old.Gone != current.Gone || old.Silent != current.Silent || old.DataCentre != current.DataCentre || old.SoftwareVersion != current.SoftwareVersion || limitChanged(old.Limit, current.Limit) ||
		(old.PaceSlots == 0) != (current.PaceSlots == 0)
}

// estimatesChanged reports whether what the broker learned about an upstream changed so much
// that entries need it. They use it only while they have no broker.
func estimatesChanged(old, current *rpc.RosterEntry) bool {
	return timeChanged(old.TokenUs, current.TokenUs) || timeChanged(old.CallUs, current.CallUs) ||
		math.Abs(float64(old.Trouble)-float64(current.Trouble)) > minFailureRateChange || old.PaceSlots != current.PaceSlots
}

// timeChanged reports whether a learned time changed by more than minTimeChange.
func timeChanged(old, current uint32) bool {
	return math.Abs(float64(old)-float64(current)) > minTimeChange*float64(old)
}
