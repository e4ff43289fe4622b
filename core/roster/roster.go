// Package roster tracks the upstreams that register by heartbeats. The control
// daemons merge the heartbeats that they receive, and those that other control
// daemons forward, into a Roster.
//
// Heartbeats may arrive late, out of order, at any daemon and more than once.
// Processes with the same id are ordered by their start time, heartbeats of one
// process by their sequence number. The package does no I/O; times are durations
// on the caller's monotonic clock. Invariants: the state of a process never
// reverts to an earlier heartbeat; a process that has left is never restored, also
// if its heartbeats arrive only after its departure; an address belongs to the process that
// started last.
package roster

import (
	"slices"
	"strings"
	"time"
)

const (
	// tombstoneTTL is the time for which a process that left is remembered, so
	// that its delayed heartbeats don't restore it. Heartbeats arrive seconds
	// late at most.
	tombstoneTTL = 2 * time.Minute
	// SilentAfter is the number of heartbeat intervals without a heartbeat after
	// which an upstream counts as silent. It allows for two lost heartbeats and
	// one that is late.
	SilentAfter = 4
	// removeAfter is the number of such intervals after which the upstream is
	// removed.
	removeAfter = 25
	// departureRepeatTime is how long after a departure another one of the same id is the same call,
	// sent again for want of an acknowledgement.
	departureRepeatTime = 2 * time.Second
)

// Entry is the state of one upstream as of its newest heartbeat. It is stored
// and dumped under its field names.
type Entry struct {
	ID         string
	Pool       string
	Address    string
	DataCentre string
	Slots      int
	// SoftwareVersion is the version of the upstream's software; empty if it is not
	// stated.
	SoftwareVersion string
	// Born is the start time of the process in Unix milliseconds; zero if it is
	// not stated.
	Born int64
	// Sequence orders the heartbeats of one process.
	Sequence uint64
	// Leaving is set if the upstream accepts no new requests, Gone if its
	// process has ended or is ending.
	Leaving bool
	Gone    bool
	// Cold is the remaining warm-up time, during which the upstream is slow.
	Cold time.Duration
	// EndedBefore ends the processes of the id that started earlier, in Unix milliseconds, also those
	// whose heartbeats have not arrived; zero for none. A departure that states no start time sets it.
	EndedBefore int64
	// Heard is the arrival time of the heartbeat; after a departure, that of the departure.
	Heard time.Duration
}

// IsUnknown reports whether the entry is the departure of an id without heartbeats.
func (e Entry) IsUnknown() bool { return e.Gone && e.EndedBefore > 0 && e.Pool == "" }

// IsDeparture reports whether the process takes no new requests or is gone.
func (e Entry) IsDeparture() bool { return e.Leaving || e.Gone }

// Roster is the set of upstreams. It is not safe for concurrent use.
type Roster struct {
	interval time.Duration
	entries  map[string]Entry
	// owners maps each address to the id of the process that started last there,
	// which may have ended since.
	owners map[string]string
}

// New returns an empty roster for upstreams that send a heartbeat once per
// interval.
func New(interval time.Duration) *Roster {
	return &Roster{interval: interval, entries: map[string]Entry{}, owners: map[string]string{}}
}

// isNewer reports whether a heartbeat is newer than the entry in the roster.
func isNewer(e, held Entry) bool {
	if e.Born != held.Born {
		return e.Born > held.Born
	}
	return !held.Gone && (e.Sequence > held.Sequence || e.Gone)
}

// MergeResult is the effect of a heartbeat on the roster.
type MergeResult uint8

// Results of Merge.
const (
	// Stale means that the heartbeat was outdated and changed nothing.
	Stale MergeResult = iota
	// Renewed means that the heartbeat only confirmed that the upstream is
	// alive.
	Renewed
	// Changed means that the heartbeat changed whether or how the upstream can
	// be used.
	Changed
)

// Merge applies one heartbeat, or a departure as Departure returns it.
func (r *Roster) Merge(e Entry) MergeResult {
	held, known := r.entries[e.ID]
	if e.namesNoProcess() && e.EndedBefore == 0 {
		// A daemon of an earlier version forwards it.
		if !known || held.Gone {
			return Stale
		}
		e = tombstone(held, e.Heard)
	}
	if known && (e.namesNoProcess() || !isNewer(e, held)) {
		return r.endEarlier(held, e)
	}
	if !r.isHeardLongAfter(e, held) {
		e.EndedBefore = max(e.EndedBefore, held.EndedBefore)
	}
	if !e.Gone && e.Born < e.EndedBefore {
		return Stale
	}
	if r.isSuperseded(e) {
		if !known && !e.IsDeparture() {
			return Stale
		}
		e = tombstone(e, e.Heard)
	}
	r.entries[e.ID] = e
	r.claimAddress(e)
	if known && sameUse(held, e) {
		return Renewed
	}
	return Changed
}

// namesNoProcess reports whether the entry is a departure without a start time.
func (e Entry) namesNoProcess() bool { return e.Gone && e.Born == 0 }

// endEarlier applies what an entry says of processes that started earlier to the one that is held.
func (r *Roster) endEarlier(held, e Entry) MergeResult {
	if e.EndedBefore <= held.EndedBefore || r.isHeardLongAfter(held, e) {
		return Stale
	}
	if held.Gone {
		held.Heard = max(held.Heard, e.Heard)
	} else if held.Born < e.EndedBefore {
		held = tombstone(held, e.Heard)
	}
	held.EndedBefore = e.EndedBefore
	r.entries[e.ID] = held
	return Changed
}

// isHeardLongAfter reports whether a heartbeat arrived so long after the departure of others with its
// id that no heartbeat of theirs is that late. It started after the departure, although its clock and
// that of the daemon which received the departure may say otherwise.
func (r *Roster) isHeardLongAfter(e, departed Entry) bool {
	return !e.Gone && e.Born < departed.EndedBefore && e.Heard-departed.Heard > removeAfter*r.interval
}

// Departure returns the entry to merge for a departure that states no start time: it also ends the
// process that the roster holds, whatever the clocks say. One that follows another within
// departureRepeatTime repeats it.
func (r *Roster) Departure(e Entry) Entry {
	held := r.entries[e.ID]
	if held.Gone && held.EndedBefore > 0 && e.EndedBefore-held.EndedBefore < departureRepeatTime.Milliseconds() {
		return held
	}
	e.EndedBefore = max(e.EndedBefore, held.Born+1)
	return e
}

// tombstone returns the final entry of a process.
func tombstone(held Entry, now time.Duration) Entry {
	held.Gone, held.Leaving, held.Heard = true, true, now
	return held
}

// sameUse reports whether two entries differ only in what every heartbeat
// updates; a change of any other field must reach all control daemons.
func sameUse(a, b Entry) bool {
	a.Sequence, a.Heard, a.Cold = b.Sequence, b.Heard, b.Cold
	return a == b
}

// owner returns the entry of the live process that an address belongs to.
func (r *Roster) owner(address string) (Entry, bool) {
	x, ok := r.entries[r.owners[address]]
	return x, ok && !x.Gone && x.Address == address
}

// isSuperseded reports whether the process's address belongs to another process
// that started later.
func (r *Roster) isSuperseded(e Entry) bool {
	if e.Gone || e.Address == "" {
		return false
	}
	x, ok := r.owner(e.Address)
	return ok && x.ID != e.ID && x.Born > e.Born
}

// claimAddress assigns the entry's address to its process, which must not be
// superseded, and ends the previous owner.
func (r *Roster) claimAddress(e Entry) {
	if e.Gone || e.Address == "" {
		return
	}
	if x, ok := r.owner(e.Address); ok && x.ID != e.ID {
		r.entries[x.ID] = tombstone(x, e.Heard)
	}
	r.owners[e.Address] = e.ID
}

// CountUnknown returns the number of departures of ids without heartbeats.
func (r *Roster) CountUnknown() int {
	n := 0
	for _, e := range r.entries {
		if e.IsUnknown() {
			n++
		}
	}
	return n
}

// Find returns the entry of an upstream, and false if the id is unknown.
func (r *Roster) Find(id string) (Entry, bool) {
	e, ok := r.entries[id]
	return e, ok
}

// Silent reports whether an upstream has sent no heartbeat for SilentAfter
// intervals.
func (r *Roster) Silent(now time.Duration, e Entry) bool {
	return now-e.Heard > SilentAfter*r.interval
}

// All returns the entries sorted by id, including tombstones, and removes
// expired entries.
func (r *Roster) All(now time.Duration) []Entry {
	out := make([]Entry, 0, len(r.entries))
	for _, e := range r.entries {
		age := now - e.Heard
		if (e.Gone && age > tombstoneTTL) || (!e.Gone && age > removeAfter*r.interval) {
			r.remove(e)
			continue
		}
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return strings.Compare(a.ID, b.ID) })
	return out
}

func (r *Roster) remove(e Entry) {
	delete(r.entries, e.ID)
	if r.owners[e.Address] == e.ID {
		delete(r.owners, e.Address)
	}
}
