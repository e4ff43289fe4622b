package sched

import (
	"container/heap"
	"time"

	"github.com/verbenastep/verbenastep/core/quarantine"
	"github.com/verbenastep/verbenastep/core/suspects"
)

// Decide runs one scheduling round: it expires leases and orphaned requests,
// refuses what can no longer finish in time, grants what fits, and sheds the
// excess.
func (d *Dispatcher) Decide(now time.Duration) Decisions {
	out := Decisions{}
	d.expireUpstreams(now, &out)
	d.freeOrphans(now)
	d.findStragglers(now)
	d.refuseUnreachable(now, &out)
	if d.poolUnavailable(now) {
		d.refuseAll(now, &out)
	}
	d.grantAll(now, &out)
	d.shed(now, &out)
	d.suspectChanges = append(d.suspectChanges, d.tracker.Expire(now)...)
	out.Suspects, out.Ended = d.suspectChanges, d.ended
	d.suspectChanges, d.ended = nil, nil
	return out
}

// refuseUnreachable refuses queued requests that can no longer finish before
// their deadline, so that no work is spent on them.
func (d *Dispatcher) refuseUnreachable(now time.Duration, out *Decisions) {
	for len(d.byLatestStart) > 0 && d.byLatestStart[0].latestStart <= now {
		d.refuseQueued(now, d.byLatestStart[0], DeadlineUnreachable, "the answer can no longer arrive before the deadline", out)
	}
}

// poolUnavailable reports whether no upstream has been live for
// noUpstreamTimeout, counted from the first round at the earliest, so that live
// upstreams have had time to announce themselves.
func (d *Dispatcher) poolUnavailable(now time.Duration) bool {
	if !d.started || d.anyLive(now) {
		d.started = true
		d.lastLive = now
	}
	return now-d.lastLive >= noUpstreamTimeout
}

// refuseAll refuses all queued requests because no upstream serves the pool.
func (d *Dispatcher) refuseAll(now time.Duration, out *Decisions) {
	for len(d.byLatestStart) > 0 {
		d.refuseQueued(now, d.byLatestStart[0], NoUpstream, "no upstream serves the pool here", out)
	}
}

// refuseQueued removes a queued request and refuses it.
func (d *Dispatcher) refuseQueued(now time.Duration, r *request, code Code, reason string, out *Decisions) {
	d.removeQueued(r)
	if code == Overloaded || code == Spill {
		d.shortageUntil = now + shortageWindow
	}
	refusal := d.refuse(now, r.offer, code, d.retryDelay(code), reason)
	d.recentDecisions.last().WaitedMS = milliseconds(now - r.arrivedAt)
	out.Refusals = append(out.Refusals, *refusal)
}

func (d *Dispatcher) refuse(_ time.Duration, o Offer, code Code, after time.Duration, reason string) *Refusal {
	d.recentDecisions.add(Explanation{ID: o.ID, State: "refused", Code: code, Reason: reason})
	return &Refusal{ID: o.ID, Code: code, Workspace: o.Workspace, Tier: o.Tier, RetryAfter: after, Reason: reason}
}

// grantAll grants requests in tier order. While a higher tier has requests
// queued, a lower one may be granted only short requests, on slots reserved for
// them, and not even these while capacity is short. Requests that no upstream
// with room suits are deferred and queued again at the end of the round.
func (d *Dispatcher) grantAll(now time.Duration, out *Decisions) {
	d.localityWaits = 0
	allowedClasses := [classes]bool{true, true}
	for _, t := range d.tiers {
		if t == nil {
			continue
		}
		before := len(d.deferred)
		for len(d.deferred)-before < maxDeferredPerTier && d.grantOne(now, t, allowedClasses, out) {
		}
		if t.queued == 0 || len(d.deferred) > before {
			continue
		}
		if now < d.shortageUntil {
			break
		}
		allowedClasses[long] = false
	}
	for _, r := range d.deferred {
		r.workspace.tier.enqueue(r)
	}
	d.deferred = d.deferred[:0]
}

// shortageWindow is how long capacity counts as short after a request was shed.
const shortageWindow = 10 * time.Second

// maxDeferredPerTier is the maximum number of requests of a tier that a round
// may skip because no upstream with room suits them.
const maxDeferredPerTier = 8

// grantOne grants, defers or refuses the tier's next request. It returns false
// where no request can be considered.
func (d *Dispatcher) grantOne(now time.Duration, t *tier, allowed [classes]bool, out *Decisions) bool {
	for c := range d.withRoom {
		allowed[c] = allowed[c] && d.anyRoom(now, class(c))
	}
	r := t.head(allowed)
	if r == nil {
		return false
	}
	stage, mayRun := d.prefixes.Stage(now, r.offer.ID, r.offer.Blocks)
	r.prefixStage = stage
	r.suspect = d.isSuspect(now, r) || stage != suspects.Clear
	verdict, left := d.tracker.Verdict(now, r.offer.Fingerprint)
	if verdict == quarantine.Undetermined || !mayRun {
		t.dequeue(r)
		d.deferred = append(d.deferred, r)
		return true
	}
	if verdict == quarantine.Quarantined {
		d.removeQueued(r)
		out.Refusals = append(out.Refusals, *d.refuse(now, r.offer, Quarantined, left, "the content was in flight at two crashes of upstreams"))
		return true
	}
	if left := d.prefixes.RefusedFor(now, r.offer.Blocks, true); left > 0 {
		d.removeQueued(r)
		out.Refusals = append(out.Refusals, *d.refuse(now, r.offer, Quarantined, left, quarantinedPrefixReason))
		return true
	}
	u, estimate, set := d.chooseUpstream(now, r)
	if u != nil && (d.shouldWait(now, r, estimate) || d.shouldWaitForPrefix(now, r, estimate, &set)) {
		u = nil
	}
	if u == nil {
		t.dequeue(r)
		d.deferred = append(d.deferred, r)
		return true
	}
	out.Grants = append(out.Grants, d.grant(now, r, u, estimate, set))
	return true
}

// anyRoom reports whether any upstream has room for a class. It first removes
// upstreams from the heap that have lost their room because time has passed.
func (d *Dispatcher) anyRoom(now time.Duration, c class) bool {
	h := &d.withRoom[c]
	for len(h.items) > 0 && !d.hasRoom(now, h.items[0], c) {
		d.refresh(now, h.items[0])
	}
	return len(h.items) > 0
}

// shouldWait reports whether a request is better left queued than granted to an
// upstream on which it would miss its deadline. That is so where the fastest
// upstream could still meet the deadline, or where even a short answer would
// arrive late on this one.
func (d *Dispatcher) shouldWait(now time.Duration, r *request, estimate completionEstimate) bool {
	if now+estimate.total <= r.offer.Deadline {
		return false
	}
	if now+d.fastest.serviceTime(float64(r.offer.PromptTokens), r.output) <= r.offer.Deadline {
		return true
	}
	decode := time.Duration(0)
	if r.output > 0 {
		decode = time.Duration(float64(estimate.decode) * (r.cautiousOutput + r.output) / (2 * r.output))
	}
	return now+estimate.queue+estimate.prefill+estimate.link+decode > r.offer.Deadline
}

func (d *Dispatcher) grant(now time.Duration, r *request, u *upstream, estimate completionEstimate, set candidateSet) Grant {
	t := r.workspace.tier
	explanation := explainGrant(now, r, u, set)
	t.dequeue(r)
	heap.Remove(&d.byLatestStart, r.latestStartIndex)
	d.queued--
	t.running++
	t.lastServedCounter = r.workspace.counter
	r.grantedAt = now
	r.expectedTime = estimate.total
	r.tokenBudget = d.tokenBudget(now, r, u, estimate)
	for _, x := range set.scores[:set.n] {
		r.bestCached = max(r.bestCached, x.cached)
	}
	d.assign(now, r, u, estimate)
	if r.prefixStage != suspects.Clear {
		d.prefixes.StartTrial(now, r.offer.ID, r.offer.Blocks, estimate.queue+estimate.prefill)
	}
	u.prefillUntil = max(now, u.prefillUntil) + estimate.prefill
	for i := len(r.offer.Blocks) - 1; i >= 0; i-- {
		if u.cache.touch(r.offer.Blocks[i]) {
			d.blockHolders.add(r.offer.Blocks[i], u.id)
		}
	}
	r.charged = r.uncached() + outputCost*r.output
	t.charge(r.workspace, r.charged)
	d.throughput.granted += r.cost
	d.recentDecisions.add(explanation)
	return Grant{
		ID: r.offer.ID, Workspace: r.offer.Workspace, Tier: r.offer.Tier, Waited: now - r.arrivedAt,
		Upstream: u.Name, Address: u.Address, Incarnation: u.Incarnation, Version: u.Version, Explanation: explanation,
	}
}

// NextWake returns the next time at which Decide must run without an external
// event: a deadline becomes unreachable, a lease expires or an orphaned
// request's slot is freed. It returns false where there is none.
func (d *Dispatcher) NextWake() (time.Duration, bool) {
	at, found := time.Duration(0), false
	consider := func(t time.Duration) {
		if !found || t < at {
			at, found = t, true
		}
	}
	if len(d.byLatestStart) > 0 {
		consider(d.byLatestStart[0].latestStart)
	}
	if len(d.leases) > 0 {
		consider(d.leases[0].expires)
	}
	if len(d.orphans) > 0 {
		consider(d.orphans[0].at)
	}
	return at, found
}

// LiveUpstreams returns the number of upstreams that accept new requests.
func (d *Dispatcher) LiveUpstreams(now time.Duration) int {
	n := 0
	for _, u := range d.leases {
		if u.expires > now && !u.draining {
			n++
		}
	}
	return n
}

// anyLive reports whether any upstream accepts new requests.
func (d *Dispatcher) anyLive(now time.Duration) bool {
	for _, u := range d.leases {
		if u.expires > now && !u.draining {
			return true
		}
	}
	return false
}
