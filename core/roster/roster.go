// Package roster keeps the upstreams that announce themselves by heartbeats.
//
// Heartbeats may arrive late, out of order, at any daemon and more than once.
// An upstream's process is told from an earlier one by when it was born; within
// one process heartbeats are ordered by their sequence. The package is pure:
// time is a duration on the caller's monotonic clock. Invariants: what is held
// of a process never goes back to an earlier heartbeat; a process that left
// never comes back; an address belongs to the process born last.
package roster

import (
	"slices"
	"strings"
	"time"
)

const (
	// tombstoneLife is how long a process that left is remembered, so that its
	// late heartbeats don't revive it. Heartbeats arrive seconds late at most.
	tombstoneLife = 2 * time.Minute
	// SilentAfter is how many heartbeat intervals without one make an upstream
	// silent. It allows for two lost heartbeats and one that is late.
	SilentAfter = 4
	// forgetAfter is how many make it forgotten.
	forgetAfter = 25
)

// Entry is one upstream as its newest heartbeat describes it.
type Entry struct {
	ID         string
	Pool       string
	Address    string
	DataCentre string
	Slots      int
	// Born is the start of its process in Unix milliseconds; zero where it does
	// not say.
	Born int64
	// Sequence orders the heartbeats of one process.
	Sequence uint64
	// Leaving says that it takes no new work; Gone that its process ends.
	Leaving bool
	Gone    bool
	// Cold is how much longer it is slow after its start.
	Cold time.Duration
	// Heard is when the heartbeat arrived.
	Heard time.Duration
}

// Roster is the set of upstreams. It is not safe for concurrent use.
type Roster struct {
	interval time.Duration
	entries  map[string]Entry
	// owners names the entry of the process born last at each address. It may
	// have ended since.
	owners map[string]string
}

// New returns an empty roster for upstreams that announce themselves once an
// interval.
func New(interval time.Duration) *Roster {
	return &Roster{interval: interval, entries: map[string]Entry{}, owners: map[string]string{}}
}

// later tells whether a heartbeat is newer than what is held.
func later(e, held Entry) bool {
	if e.Born != held.Born {
		return e.Born > held.Born
	}
	return !held.Gone && (e.Sequence > held.Sequence || e.Gone)
}

// Verdict says what became of a heartbeat.
type Verdict uint8

// Verdicts.
const (
	// Stale heartbeats change nothing.
	Stale Verdict = iota
	// Renewed ones say nothing new but that the upstream lives.
	Renewed
	// Changed ones change what the upstream may be used for.
	Changed
)

// Take takes in one heartbeat. One that is gone and does not say when it was
// born ends whatever process has the id.
func (r *Roster) Take(e Entry) Verdict {
	held, known := r.entries[e.ID]
	if e.Gone && e.Born == 0 {
		if !known || held.Gone {
			return Stale
		}
		e = farewell(held, e.Heard)
	}
	if known && !later(e, held) {
		return Stale
	}
	if r.ousted(e) {
		if !known {
			return Stale
		}
		e = farewell(e, e.Heard)
	}
	r.entries[e.ID] = e
	r.claimAddress(e)
	if known && sameUse(held, e) {
		return Renewed
	}
	return Changed
}

// farewell is the last entry of a process.
func farewell(held Entry, now time.Duration) Entry {
	held.Gone, held.Leaving, held.Heard = true, true, now
	return held
}

func sameUse(a, b Entry) bool {
	a.Sequence, a.Heard, a.Cold = b.Sequence, b.Heard, b.Cold
	return a == b
}

// owner returns the live entry that an address belongs to.
func (r *Roster) owner(address string) (Entry, bool) {
	x, ok := r.entries[r.owners[address]]
	return x, ok && !x.Gone && x.Address == address
}

// ousted tells whether a process's address belongs to another one that was born
// later.
func (r *Roster) ousted(e Entry) bool {
	if e.Gone || e.Address == "" {
		return false
	}
	x, ok := r.owner(e.Address)
	return ok && x.ID != e.ID && x.Born > e.Born
}

// claimAddress makes an address that of a process that is not ousted, and ends
// the one that had it.
func (r *Roster) claimAddress(e Entry) {
	if e.Gone || e.Address == "" {
		return
	}
	if x, ok := r.owner(e.Address); ok && x.ID != e.ID {
		r.entries[x.ID] = farewell(x, e.Heard)
	}
	r.owners[e.Address] = e.ID
}

// Leave ends an upstream by its id, as it asked itself. It returns the entry to
// pass on, and false where the upstream is not known.
func (r *Roster) Leave(now time.Duration, id string) (Entry, bool) {
	held, ok := r.entries[id]
	if !ok {
		return Entry{}, false
	}
	if !held.Gone {
		held = farewell(held, now)
		r.entries[id] = held
	}
	return held, true
}

// Find returns what is held of an upstream.
func (r *Roster) Find(id string) (Entry, bool) {
	e, ok := r.entries[id]
	return e, ok
}

// Silent tells whether an upstream has missed several heartbeats.
func (r *Roster) Silent(now time.Duration, e Entry) bool {
	return now-e.Heard > SilentAfter*r.interval
}

// All lists the upstreams by id, those that left included while they are
// remembered, and forgets what is too old.
func (r *Roster) All(now time.Duration) []Entry {
	out := make([]Entry, 0, len(r.entries))
	for _, e := range r.entries {
		age := now - e.Heard
		if (e.Gone && age > tombstoneLife) || (!e.Gone && age > forgetAfter*r.interval) {
			r.forget(e)
			continue
		}
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return strings.Compare(a.ID, b.ID) })
	return out
}

func (r *Roster) forget(e Entry) {
	delete(r.entries, e.ID)
	if r.owners[e.Address] == e.ID {
		delete(r.owners, e.Address)
	}
}
