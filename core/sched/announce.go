package sched

import (
	"container/heap"
	"time"

	"github.com/verbenastep/verbenastep/core/quarantine"
)

// maxBroken bounds the failures remembered of one upstream.
const maxBroken = 1024

// announceDelay is how old an announcement may be when it arrives: one that
// was sent before a crash doesn't show that the upstream lives.
const announceDelay = time.Second

// Announce adds or renews an upstream.
func (d *Dispatcher) Announce(now time.Duration, a Upstream) error {
	if err := checkUpstream(a); err != nil {
		return err
	}
	if d.params.Concurrency > 0 {
		a.Slots = min(a.Slots, d.params.Concurrency)
	}
	u, ok := d.upstreams[a.Name]
	if ok && a.Incarnation < u.Incarnation {
		return &OfferError{Message: "the announcement of " + a.Name + " is of an earlier start", Remedy: "raise the incarnation at each start"}
	}
	if ok && u.leaving && a.Incarnation == u.Incarnation {
		return &OfferError{Message: "the announcement of " + a.Name + " came after its leave", Remedy: "raise the incarnation at each start"}
	}
	if !ok {
		u = d.addUpstream(a)
	}
	if a.Incarnation > u.Incarnation && ok {
		d.restarted(now, u)
	} else if ok {
		d.settleBroken(u, now-announceDelay)
	}
	events := a.Events
	a.Events = nil
	u.Upstream = a
	u.leaving = false
	u.expires = now + a.Lease
	if u.lease == notQueued {
		heap.Push(&d.leases, u)
	} else {
		heap.Fix(&d.leases, u.lease)
	}
	u.load.take(a.Load, a.Slots)
	for _, e := range events {
		u.cache.event(e)
	}
	if !ok {
		d.adoptRunning(now, u)
	}
	d.refresh(now, u)
	return nil
}

func (d *Dispatcher) addUpstream(a Upstream) *upstream {
	u := &upstream{
		Upstream: a, id: int32(len(d.byID)), inFlight: map[ID]*request{}, speed: newSpeed(), known: newSpeed(),
		cache: newResidency(), index: [classes]int{notQueued, notQueued}, lease: notQueued,
	}
	d.upstreams[a.Name] = u
	d.byID = append(d.byID, u)
	return u
}

// adoptRunning gives a new upstream the running requests that name it.
func (d *Dispatcher) adoptRunning(now time.Duration, u *upstream) {
	for id, r := range d.requests {
		if r.upstream == u.Name && u.inFlight[id] == nil {
			d.place(now, r, u, parts{})
		}
	}
}

// restarted notes that all of an upstream's earlier work was lost in a crash,
// unless it left before. Its requests stay counted until they are released.
func (d *Dispatcher) restarted(now time.Duration, u *upstream) {
	if !u.leaving {
		d.crashed(now, u)
	}
	u.cache.reset()
	u.prefillUntil = 0
	u.load = loadReport{}
	u.slots = slots{}
}

// crashed makes suspects of all that was in flight on a dead upstream.
func (d *Dispatcher) crashed(now time.Duration, u *upstream) {
	prints := d.settleBroken(u, now)
	for _, r := range u.inFlight {
		if r.incarnation == u.Incarnation {
			prints = append(prints, r.offer.Fingerprint)
			r.counted = true
		}
	}
	d.suspects = append(d.suspects, d.tracker.Crashed(now, prints)...)
}

// noteBroken remembers a request that failed on an upstream, until it is known
// whether that died of it.
func (d *Dispatcher) noteBroken(now time.Duration, u *upstream, r *request) {
	if r.incarnation != u.Incarnation || len(u.broken) >= maxBroken || u.leaving || r.counted {
		return
	}
	if u.expires <= now {
		d.suspects = append(d.suspects, d.tracker.Crashed(now, []uint64{r.offer.Fingerprint})...)
		return
	}
	u.broken = append(u.broken, failure{fingerprint: r.offer.Fingerprint, at: now})
	d.tracker.Broke(r.offer.Fingerprint)
}

// settleBroken forgets the failures up to a time, of an upstream that has
// crashed or has shown since that it lives, and returns their fingerprints.
func (d *Dispatcher) settleBroken(u *upstream, upTo time.Duration) []uint64 {
	prints := []uint64{}
	for len(u.broken) > 0 && u.broken[0].at <= upTo {
		prints = append(prints, u.broken[0].fingerprint)
		d.tracker.Settled(u.broken[0].fingerprint)
		u.broken = u.broken[1:]
	}
	return prints
}

// Leave ends new work on an upstream at once. What it runs goes on. It returns
// false where that was so before.
func (d *Dispatcher) Leave(now time.Duration, name string, incarnation uint64) bool {
	u, ok := d.upstreams[name]
	if !ok || incarnation < u.Incarnation || u.leaving {
		return false
	}
	u.leaving = true
	d.settleBroken(u, now)
	d.refresh(now, u)
	return true
}

// expireUpstreams ends new work on upstreams that did not renew. One that
// broke requests before its lease ended has crashed.
func (d *Dispatcher) expireUpstreams(now time.Duration, out *Decisions) {
	for len(d.leases) > 0 && d.leases[0].expires <= now {
		u := heap.Pop(&d.leases).(*upstream)
		d.refresh(now, u)
		out.Lost = append(out.Lost, u.Name)
		if len(u.broken) > 0 && !u.leaving {
			d.crashed(now, u)
		}
	}
}

// SyncSuspects takes over the crash counts that the dispatchers share.
func (d *Dispatcher) SyncSuspects(now time.Duration, shared map[uint64]int) {
	d.tracker.Sync(now, shared)
}

// suspect says whether a request's content is under suspicion.
func (d *Dispatcher) suspectNow(now time.Duration, r *request) bool {
	verdict, _ := d.tracker.Verdict(now, r.offer.Fingerprint)
	return verdict == quarantine.Suspect
}
