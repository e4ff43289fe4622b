package sched

import (
	"container/heap"
	"time"
)

// LoseEntry forgets what an entry has waiting. What it runs keeps its slots
// for a bounded time, since the upstreams go on with it.
func (d *Dispatcher) LoseEntry(now time.Duration, entry string) {
	for id, r := range d.requests {
		if id.Entry != entry {
			continue
		}
		if r.upstream == "" {
			d.forgetQueued(r)
			continue
		}
		left := orphanFactor*r.expected - (now - r.granted)
		r.orphaned = now + min(orphanTime, max(orphanLeast, left))
		heap.Push(&d.orphans, orphan{at: r.orphaned, id: id})
	}
}

// Resync replaces what is known of an entry by what it offers again on a new
// session, and returns the refusals. A granted request that the entry offers as
// waiting never reached it: its slot is freed and it waits again.
func (d *Dispatcher) Resync(now time.Duration, entry string, offers []Offer) ([]Refusal, []error) {
	again := make(map[ID]Offer, len(offers))
	for _, o := range offers {
		again[o.ID] = o
	}
	for id, r := range d.requests {
		if id.Entry == entry {
			d.resume(now, r, again)
		}
	}
	refusals, failed := []Refusal{}, []error{}
	for _, o := range offers {
		refusal, err := d.Offer(now, o)
		if err != nil {
			failed = append(failed, err)
		}
		if refusal != nil {
			refusals = append(refusals, *refusal)
		}
	}
	return refusals, failed
}

// resume keeps a running request that the entry still runs, and ends the rest.
func (d *Dispatcher) resume(now time.Duration, r *request, again map[ID]Offer) {
	o, ok := again[r.offer.ID]
	switch {
	case r.upstream == "" && ok && o.Running == "":
	case r.upstream == "":
		d.forgetQueued(r)
	case ok && o.Running == r.upstream:
		r.orphaned = 0
	default:
		d.end(now, r, Release{ID: r.offer.ID, Outcome: NotSent})
	}
}

// freeOrphans frees the slots of running requests whose entry did not return.
func (d *Dispatcher) freeOrphans(now time.Duration) {
	for len(d.orphans) > 0 && d.orphans[0].at <= now {
		o := heap.Pop(&d.orphans).(orphan)
		r, ok := d.requests[o.id]
		if ok && r.orphaned != 0 && r.orphaned <= now {
			d.end(now, r, Release{ID: o.id, Outcome: Canceled})
		}
	}
}

// TakeEnded returns the requests that ended since the last round, which Decide
// then does not return again.
func (d *Dispatcher) TakeEnded() []Ended {
	out := d.ended
	d.ended = nil
	return out
}
