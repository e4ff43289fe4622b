package forward

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/verbenastep/verbenastep/core/broker"
)

const (
	// maxNotices bounds the registry. It exceeds the number of upstreams that leave in
	// a day.
	maxNotices = 10_000
	// maxPause bounds a pause, so that one bad answer does not take an upstream away for
	// good.
	maxPause = time.Minute
	// unstatedBornTTL is how long a notice holds for a process without a start time,
	// which can't be told from a later one. A roster forgets a process that left within
	// this time.
	unstatedBornTTL = 2 * time.Minute
	// avoidTime is how long new offers name a leaving upstream as one to avoid. The
	// broker has heard of it by then, by the end of a request or a grant that was
	// returned; a later process under the same id would be avoided as well.
	avoidTime = 2 * time.Second
	// maxAvoided bounds the upstreams that an offer avoids for their notices.
	maxAvoided = 8
)

// process identifies a process of an upstream.
type process struct {
	pool     string
	upstream string
	// born is its start time in Unix milliseconds; zero if it is not stated.
	born int64
}

// notice is what a process of an upstream told this entry of further requests.
type notice struct {
	born    int64
	leaving bool
	// pausedUntil is until when the process wants no requests of this entry.
	pausedUntil time.Time
	heardAt     time.Time
}

// holds reports whether the notice excludes a process now: the one that gave it or an
// earlier one.
func (n notice) holds(now time.Time, born int64) bool {
	if born > n.born || n.born == 0 && now.Sub(n.heardAt) > unstatedBornTTL {
		return false
	}
	return n.leaving || now.Before(n.pausedUntil)
}

// addTo adds the notice to the end of a request, for the broker.
func (n notice) addTo(now time.Time, e *broker.End) {
	e.Leaving, e.RetryAfter, e.Born = n.leaving, max(0, n.pausedUntil.Sub(now)), n.born
}

// departure is a process that said for the first time that it leaves.
type departure struct {
	process
	at time.Time
}

// notices holds, by upstream, what its newest process told this entry. It is safe for
// concurrent use.
type notices struct {
	mu         sync.Mutex
	byUpstream map[string]notice
	// departures are those of the last avoidTime, in order.
	departures []departure
}

func newNotices() *notices { return &notices{byUpstream: map[string]notice{}} }

// record records what a response of a process says. It reports whether the process says
// for the first time that it leaves, and whether it asks for a pause while it had none.
func (s *notices) record(now time.Time, p process, m ResponseMeta) (leaves, pauses bool) {
	if !m.Leaving && m.RetryAfter <= 0 {
		return false, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n, known := s.byUpstream[p.upstream]
	if known && p.born > n.born {
		n = notice{}
	}
	if known && p.born < n.born && p.born != 0 {
		return false, false
	}
	leaves = m.Leaving && !n.leaving
	pauses = m.RetryAfter > 0 && !now.Before(n.pausedUntil)
	n.born, n.heardAt, n.leaving = max(n.born, p.born), now, n.leaving || m.Leaving
	if until := now.Add(min(m.RetryAfter, maxPause)); m.RetryAfter > 0 && until.After(n.pausedUntil) {
		n.pausedUntil = until
	}
	if leaves {
		s.trimDepartures(now)
		s.departures = append(s.departures, departure{p, now})
	}
	if !known {
		s.makeRoom(now)
	}
	s.byUpstream[p.upstream] = n
	return leaves, pauses
}

// find returns the notice that excludes a process now, and false if there is none.
func (s *notices) find(now time.Time, p process) (notice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, known := s.byUpstream[p.upstream]
	if !known || !n.holds(now, p.born) {
		return notice{}, false
	}
	return n, true
}

// leaving returns upstreams of a pool that said lately that they leave, at most maxAvoided.
func (s *notices) leaving(now time.Time, pool string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trimDepartures(now)
	out := []string{}
	for _, d := range slices.Backward(s.departures) {
		if d.pool == pool && len(out) < maxAvoided {
			out = append(out, d.upstream)
		}
	}
	return out
}

// trimDepartures removes the departures before the last avoidTime. The caller holds the
// lock.
func (s *notices) trimDepartures(now time.Time) {
	first := slices.IndexFunc(s.departures, func(d departure) bool { return now.Sub(d.at) < avoidTime })
	if first < 0 {
		first = len(s.departures)
	}
	s.departures = slices.Delete(s.departures, 0, first)
}

// makeRoom removes notices that exclude nothing any more, and the oldest one if there are
// still too many. The caller holds the lock.
func (s *notices) makeRoom(now time.Time) {
	maps.DeleteFunc(s.byUpstream, func(_ string, n notice) bool { return !n.holds(now, n.born) })
	if len(s.byUpstream) < maxNotices {
		return
	}
	oldest, heardAt := "", now
	for id, n := range s.byUpstream {
		if !n.heardAt.After(heardAt) {
			oldest, heardAt = id, n.heardAt
		}
	}
	delete(s.byUpstream, oldest)
}
