package sched

import (
	"container/heap"
	"time"

	"github.com/verbenastep/verbenastep/core/quarantine"
)

// Decide grants what fits and refuses what must be.
func (d *Dispatcher) Decide(now time.Duration) Decisions {
	out := Decisions{}
	d.expireUpstreams(now, &out)
	d.freeOrphans(now)
	d.sweep(now)
	d.refuseDoomed(now, &out)
	if d.knownGone(now) {
		d.refuseAll(now, &out)
	}
	d.grantAll(now, &out)
	d.shed(now, &out)
	d.suspects = append(d.suspects, d.tracker.Expire(now)...)
	out.Suspects, out.Ended = d.suspects, d.ended
	d.suspects, d.ended = nil, nil
	return out
}

// refuseDoomed refuses what can no longer finish in time, before any work.
func (d *Dispatcher) refuseDoomed(now time.Duration, out *Decisions) {
	for len(d.doomed) > 0 && d.doomed[0].doomAt <= now {
		d.drop(now, d.doomed[0], TooLate, "the answer can no longer arrive before the deadline", out)
	}
}

// knownGone says whether no upstream has served the pool for long enough that
// one which lives would have announced itself, since the dispatcher began too.
func (d *Dispatcher) knownGone(now time.Duration) bool {
	if !d.started || d.anyLive(now) {
		d.started = true
		d.lastLive = now
	}
	return now-d.lastLive >= announceGrace
}

// refuseAll refuses everything, since no upstream serves the pool.
func (d *Dispatcher) refuseAll(now time.Duration, out *Decisions) {
	for len(d.doomed) > 0 {
		d.drop(now, d.doomed[0], NoUpstream, "no upstream serves the pool here", out)
	}
}

// drop refuses a queued request.
func (d *Dispatcher) drop(now time.Duration, r *request, code Code, why string, out *Decisions) {
	d.forgetQueued(r)
	if code == Overload || code == Spill {
		d.calmFrom = now + calmAfter
	}
	refusal := d.refuse(now, r.offer, code, d.comeBack(code), why)
	d.recent.last().WaitedMS = milliseconds(now - r.arrived)
	out.Refusals = append(out.Refusals, *refusal)
}

func (d *Dispatcher) refuse(_ time.Duration, o Offer, code Code, after time.Duration, why string) *Refusal {
	d.recent.add(Explanation{ID: o.ID, State: "refused", Code: code, Reason: why})
	return &Refusal{ID: o.ID, Code: code, Workspace: o.Workspace, Tier: o.Tier, RetryAfter: after, Why: why}
}

// grantAll grants in the order of the tiers. While a higher tier waits, a lower
// one is granted nothing but short requests on slots that the higher tier's long
// ones may not take, and not even these while requests are being shed.
func (d *Dispatcher) grantAll(now time.Duration, out *Decisions) {
	d.localityWaits = 0
	classesLeft := [classes]bool{true, true}
	for _, t := range d.tiers {
		if t == nil {
			continue
		}
		before := len(d.setAside)
		for len(d.setAside)-before < maxSetAside && d.grantOne(now, t, classesLeft, out) {
		}
		if t.queued == 0 || len(d.setAside) > before {
			continue
		}
		if now < d.calmFrom {
			break
		}
		classesLeft[long] = false
	}
	for _, r := range d.setAside {
		r.workspace.tier.enqueue(r)
	}
	d.setAside = d.setAside[:0]
}

// calmAfter is how long after a request was shed capacity counts as short.
const calmAfter = 10 * time.Second

// maxSetAside is how many requests of a tier may be passed over in a round
// since no upstream with room suits them.
const maxSetAside = 8

// grantOne grants the tier's next request; it returns false where none can be.
func (d *Dispatcher) grantOne(now time.Duration, t *tier, allowed [classes]bool, out *Decisions) bool {
	for c := range d.open {
		allowed[c] = allowed[c] && d.openFor(now, class(c))
	}
	r := t.head(allowed)
	if r == nil {
		return false
	}
	r.suspect = d.suspectNow(now, r)
	verdict, left := d.tracker.Verdict(now, r.offer.Fingerprint)
	if verdict == quarantine.Unsettled {
		t.dequeue(r)
		d.setAside = append(d.setAside, r)
		return true
	}
	if verdict == quarantine.Quarantined {
		d.forgetQueued(r)
		out.Refusals = append(out.Refusals, *d.refuse(now, r.offer, Quarantined, left, "the content was in flight at two crashes of upstreams"))
		return true
	}
	u, p, set := d.choose(now, r)
	if u != nil && (d.waits(now, r, p) || d.waitsForPrefix(now, r, p, &set)) {
		u = nil
	}
	if u == nil {
		t.dequeue(r)
		d.setAside = append(d.setAside, r)
		return true
	}
	out.Grants = append(out.Grants, d.grant(now, r, u, p, set))
	return true
}

// openFor says whether any upstream has room for a class; those that lost it
// as time passed are taken out first.
func (d *Dispatcher) openFor(now time.Duration, c class) bool {
	h := &d.open[c]
	for len(h.items) > 0 && !d.room(now, h.items[0], c) {
		d.refresh(now, h.items[0])
	}
	return len(h.items) > 0
}

// waits says whether a request had better wait than take an upstream on which
// it would miss its deadline: where a faster one could still make it, or where
// not even a short answer would arrive in time.
func (d *Dispatcher) waits(now time.Duration, r *request, p parts) bool {
	if now+p.total <= r.offer.Deadline {
		return false
	}
	if now+d.fastest.service(float64(r.offer.PromptTokens), r.output) <= r.offer.Deadline {
		return true
	}
	decode := time.Duration(0)
	if r.output > 0 {
		decode = time.Duration(float64(p.decode) * (r.least + r.output) / (2 * r.output))
	}
	return now+p.queue+p.prefill+p.link+decode > r.offer.Deadline
}

func (d *Dispatcher) grant(now time.Duration, r *request, u *upstream, p parts, set candidateSet) Grant {
	t := r.workspace.tier
	why := explainGrant(now, r, u, set)
	t.dequeue(r)
	heap.Remove(&d.doomed, r.doomIndex)
	d.queued--
	t.running++
	t.floor = r.workspace.counter
	r.granted = now
	r.expected = p.total
	r.need = d.need(now, r, u, p)
	for _, x := range set.scores[:set.n] {
		r.bestCached = max(r.bestCached, x.cached)
	}
	d.place(now, r, u, p)
	u.prefillUntil = max(now, u.prefillUntil) + p.prefill
	for i := len(r.offer.Blocks) - 1; i >= 0; i-- {
		if u.cache.touch(r.offer.Blocks[i]) {
			d.holding.add(r.offer.Blocks[i], u.id)
		}
	}
	r.charged = r.uncached() + outputCost*r.output
	t.charge(r.workspace, r.charged)
	d.drain.granted += r.cost
	d.recent.add(why)
	return Grant{
		ID: r.offer.ID, Workspace: r.offer.Workspace, Tier: r.offer.Tier, Waited: now - r.arrived,
		Upstream: u.Name, Address: u.Address, Incarnation: u.Incarnation, Why: why,
	}
}

// Wake returns when Decide has something to do by itself.
func (d *Dispatcher) Wake() (time.Duration, bool) {
	at, found := time.Duration(0), false
	consider := func(t time.Duration) {
		if !found || t < at {
			at, found = t, true
		}
	}
	if len(d.doomed) > 0 {
		consider(d.doomed[0].doomAt)
	}
	if len(d.leases) > 0 {
		consider(d.leases[0].expires)
	}
	if len(d.orphans) > 0 {
		consider(d.orphans[0].at)
	}
	return at, found
}

// Live counts the upstreams that take new work.
func (d *Dispatcher) Live(now time.Duration) int {
	n := 0
	for _, u := range d.leases {
		if u.expires > now && !u.leaving {
			n++
		}
	}
	return n
}

// anyLive says whether any upstream takes new work.
func (d *Dispatcher) anyLive(now time.Duration) bool {
	for _, u := range d.leases {
		if u.expires > now && !u.leaving {
			return true
		}
	}
	return false
}
