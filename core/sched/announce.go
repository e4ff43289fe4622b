package sched

import (
	"container/heap"
	"time"

	"github.com/verbenastep/verbenastep/core/quarantine"
)

// maxRecentFailures bounds the failed requests remembered per upstream.
const maxRecentFailures = 1024

// maxAnnounceDelay is the maximum time that an announcement may take to arrive.
// A failure more recent than this may have happened after the announcement was
// sent, so the announcement does not prove that the upstream survived it.
const maxAnnounceDelay = time.Second

// Announce adds an upstream or renews its lease. A higher incarnation counts as
// a restart. It returns an OfferError where the announcement is malformed, has
// an earlier incarnation, or follows a Drain of the same incarnation.
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
	if ok && u.draining && a.Incarnation == u.Incarnation {
		return &OfferError{Message: "the announcement of " + a.Name + " came after its leave", Remedy: "raise the incarnation at each start"}
	}
	if !ok {
		u = d.addUpstream(a)
	}
	if a.Incarnation > u.Incarnation && ok {
		d.handleRestart(now, u)
	} else if ok {
		d.resolveFailures(u, now-maxAnnounceDelay)
	}
	events := a.Events
	a.Events = nil
	u.Upstream = a
	u.draining = false
	u.expires = now + a.Lease
	if u.leaseIndex == notInHeap {
		heap.Push(&d.leases, u)
	} else {
		heap.Fix(&d.leases, u.leaseIndex)
	}
	u.foreignLoad.recordReport(a.Load, a.Slots)
	for _, e := range events {
		u.cache.applyEvent(e)
	}
	if !ok {
		d.adoptRunning(now, u)
	}
	d.refresh(now, u)
	return nil
}

func (d *Dispatcher) addUpstream(a Upstream) *upstream {
	u := &upstream{
		Upstream: a, id: int32(len(d.byID)), inFlight: map[ID]*request{}, speed: newSpeed(), blendedSpeed: newSpeed(),
		cache: newCacheModel(), roomIndex: [classes]int{notInHeap, notInHeap}, leaseIndex: notInHeap,
	}
	d.upstreams[a.Name] = u
	d.byID = append(d.byID, u)
	return u
}

// adoptRunning assigns to a new upstream the running requests that were offered
// as running on it.
func (d *Dispatcher) adoptRunning(now time.Duration, u *upstream) {
	for id, r := range d.requests {
		if r.upstream == u.Name && u.inFlight[id] == nil {
			d.assign(now, r, u, completionEstimate{})
		}
	}
}

// handleRestart records a crash of the upstream's previous process unless that
// process was draining, and resets what was learned about its cache and load.
// Its requests keep occupying slots until they are released.
func (d *Dispatcher) handleRestart(now time.Duration, u *upstream) {
	if !u.draining {
		d.recordCrash(now, u)
	}
	u.cache.reset()
	u.prefillUntil = 0
	u.foreignLoad = foreignLoad{}
	u.slotLimit = slotLimit{}
}

// recordCrash counts a crash for every request in flight on a crashed upstream
// and for those that failed there without a known cause.
func (d *Dispatcher) recordCrash(now time.Duration, u *upstream) {
	fingerprints := d.resolveFailures(u, now)
	for _, r := range u.inFlight {
		if r.incarnation == u.Incarnation {
			fingerprints = append(fingerprints, r.offer.Fingerprint)
			r.crashCounted = true
		}
	}
	d.suspectChanges = append(d.suspectChanges, d.tracker.RecordCrash(now, fingerprints)...)
}

// recordFailure records a request that failed on an upstream until it is known
// whether the upstream crashed. Where its lease has already expired the crash
// is counted at once.
func (d *Dispatcher) recordFailure(now time.Duration, u *upstream, r *request) {
	if r.incarnation != u.Incarnation || len(u.recentFailures) >= maxRecentFailures || u.draining || r.crashCounted {
		return
	}
	if u.expires <= now {
		d.suspectChanges = append(d.suspectChanges, d.tracker.RecordCrash(now, []uint64{r.offer.Fingerprint})...)
		return
	}
	u.recentFailures = append(u.recentFailures, failure{fingerprint: r.offer.Fingerprint, at: now})
	d.tracker.RecordFailure(r.offer.Fingerprint)
}

// resolveFailures removes the failures up to a time from an upstream that has
// crashed or has proven to be alive since, and returns their fingerprints.
func (d *Dispatcher) resolveFailures(u *upstream, upTo time.Duration) []uint64 {
	fingerprints := []uint64{}
	for len(u.recentFailures) > 0 && u.recentFailures[0].at <= upTo {
		fingerprints = append(fingerprints, u.recentFailures[0].fingerprint)
		d.tracker.ResolveFailure(u.recentFailures[0].fingerprint)
		u.recentFailures = u.recentFailures[1:]
	}
	return fingerprints
}

// Drain starts draining an upstream: it gets no new requests, and its running
// requests continue. It returns false where the upstream is unknown, already
// draining, or of a later incarnation.
func (d *Dispatcher) Drain(now time.Duration, name string, incarnation uint64) bool {
	u, ok := d.upstreams[name]
	if !ok || incarnation < u.Incarnation || u.draining {
		return false
	}
	u.draining = true
	d.resolveFailures(u, now)
	d.refresh(now, u)
	return true
}

// expireUpstreams stops granting to upstreams whose lease has expired. One with
// unresolved failures is counted as crashed.
func (d *Dispatcher) expireUpstreams(now time.Duration, out *Decisions) {
	for len(d.leases) > 0 && d.leases[0].expires <= now {
		u := heap.Pop(&d.leases).(*upstream)
		d.refresh(now, u)
		out.LostUpstreams = append(out.LostUpstreams, u.Name)
		if len(u.recentFailures) > 0 && !u.draining {
			d.recordCrash(now, u)
		}
	}
}

// SyncSuspects merges the crash counts that the dispatchers share.
func (d *Dispatcher) SyncSuspects(now time.Duration, shared map[uint64]int) {
	d.tracker.Sync(now, shared)
}

// isSuspect reports whether a request's content is under suspicion.
func (d *Dispatcher) isSuspect(now time.Duration, r *request) bool {
	verdict, _ := d.tracker.Verdict(now, r.offer.Fingerprint)
	return verdict == quarantine.Suspect
}
