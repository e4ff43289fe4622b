package sched

import (
	"container/heap"
	"time"
)

// LoseEntry handles the loss of an entry's session: its queued requests are
// removed, and its running requests keep their slots for a bounded time,
// because the upstreams continue to run them.
func (d *Dispatcher) LoseEntry(now time.Duration, entry string) {
	for id, r := range d.requests {
		if id.Entry != entry {
			continue
		}
		if r.upstream == "" {
			d.removeQueued(r)
			continue
		}
		left := orphanFactor*r.expectedTime - (now - r.grantedAt)
		r.orphanedUntil = now + min(maxOrphanTimeout, max(minOrphanTimeout, left))
		heap.Push(&d.orphans, orphan{at: r.orphanedUntil, id: id})
	}
}

// Resync replaces the requests of an entry by those it offers on a new session,
// and returns the refusals and the errors of malformed offers. A granted
// request that the entry offers as queued never received its grant: its slot is
// freed and it is queued again.
func (d *Dispatcher) Resync(now time.Duration, entry string, offers []Offer) ([]Refusal, []error) {
	again := make(map[ID]Offer, len(offers))
	for _, o := range offers {
		again[o.ID] = o
	}
	for id, r := range d.requests {
		if id.Entry == entry {
			d.resyncRequest(now, r, again)
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

// resyncRequest keeps a request that the entry offers again in the same state
// and ends it otherwise.
func (d *Dispatcher) resyncRequest(now time.Duration, r *request, again map[ID]Offer) {
	o, ok := again[r.offer.ID]
	switch {
	case r.upstream == "" && ok && o.RunningOn == "":
	case r.upstream == "":
		d.removeQueued(r)
	case ok && o.RunningOn == r.upstream:
		r.orphanedUntil = 0
	default:
		d.endRequest(now, r, Release{ID: r.offer.ID, Outcome: NotSent})
	}
}

// freeOrphans frees the slots of running requests whose entry did not reconnect
// in time.
func (d *Dispatcher) freeOrphans(now time.Duration) {
	for len(d.orphans) > 0 && d.orphans[0].at <= now {
		o := heap.Pop(&d.orphans).(orphan)
		r, ok := d.requests[o.id]
		if ok && r.orphanedUntil != 0 && r.orphanedUntil <= now {
			d.endRequest(now, r, Release{ID: o.id, Outcome: Canceled})
		}
	}
}

// TakeEnded returns the requests that ended since the last round. Decide does
// not return these again.
func (d *Dispatcher) TakeEnded() []Ended {
	out := d.ended
	d.ended = nil
	return out
}
