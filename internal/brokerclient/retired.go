package brokerclient

import (
	"maps"
	"time"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
)

// retiredTTL is how long a process that leaves or is gone is remembered. It exceeds the time
// for which a control daemon may be cut off from the others and still serve entries.
const retiredTTL = 2 * time.Minute

// retirement is the newest process of an upstream that leaves or is gone.
type retirement struct {
	born int64
	gone bool
	at   time.Duration
}

// updateEntry applies one entry of a daemon's roster. The daemon may be cut off from the
// others, and its roster older than the entry's own: a process that left does not return. The
// caller holds the lock.
func (s *Service) updateEntry(e *rpc.RosterEntry) {
	if held := s.roster[e.Id]; e.Gone && held != nil {
		s.retire(e.Id, retirement{born: max(held.Born, e.Born), gone: true, at: s.now()})
	}
	if e.Leaving && !e.Gone {
		s.retire(e.Id, retirement{born: e.Born, at: s.now()})
	}
	r, retired := s.retired[e.Id]
	isOutdated := retired && e.Born > 0 && e.Born <= r.born
	switch {
	case e.Gone, isOutdated && r.gone:
		delete(s.roster, e.Id)
		return
	case isOutdated:
		e.Leaving = true
	}
	s.roster[e.Id] = e
}

// retire remembers a process that leaves or is gone, and forgets those of long ago. The caller
// holds the lock.
func (s *Service) retire(id string, r retirement) {
	if r.born == 0 {
		// Without a start time it can't be told from a later process.
		return
	}
	if old, ok := s.retired[id]; ok && old.born > r.born {
		return
	} else if ok && old.born == r.born {
		r.gone = r.gone || old.gone
	}
	maps.DeleteFunc(s.retired, func(_ string, r retirement) bool { return s.now()-r.at > retiredTTL })
	s.retired[id] = r
}

// isRetired reports whether the process that was granted leaves or is gone as far as this entry
// knows; a broker that has just started may not know it. The caller holds the lock.
func (s *Service) isRetired(g broker.Grant) bool {
	r, ok := s.retired[g.Upstream]
	return ok && g.Born > 0 && g.Born <= r.born
}
