package sched

import (
	"container/heap"
	"time"

	"github.com/verbenastep/verbenastep/core/quarantine"
)

// Dispatcher holds one pool's queue and upstreams.
type Dispatcher struct {
	params   Params
	requests map[ID]*request
	// tiers are by rank; absent ones are nil.
	tiers  []*tier
	queued int
	doomed doomHeap
	// orphans are running requests whose entry is gone.
	orphans orphanHeap

	upstreams map[string]*upstream
	byID      []*upstream
	open      [classes]openHeap
	leases    leaseHeap
	holding   holderIndex
	probation []*upstream
	nextTrial int
	nextSweep time.Duration
	// fastest holds the least times of any upstream.
	fastest speed
	scratch []float64

	pool      speed
	lengths   lengths
	meanCost  float64
	lastShort time.Duration
	seenShort bool
	drain     drain
	// lastLive is when an upstream last was live, or the first round.
	lastLive time.Duration
	started  bool
	// calmFrom is when capacity no longer counts as short.
	calmFrom time.Duration

	tracker  *quarantine.Tracker
	suspects []quarantine.Change
	// ended are requests that ended since the last round.
	ended []Ended
	// setAside are requests that no upstream with room suits in this round.
	setAside []*request
	// localityWaits counts those that wait for a prefix in this round.
	localityWaits int
	recent        recent
}

// Configure replaces the parameters.
func (d *Dispatcher) Configure(p Params) {
	if p.BlockTokens == 0 {
		p.BlockTokens = defaultBlockTokens
	}
	d.params = p
}

// New returns an empty dispatcher.
func New(p Params) *Dispatcher {
	d := &Dispatcher{
		requests: map[ID]*request{}, upstreams: map[string]*upstream{},
		holding: holderIndex{sets: map[uint64]holderSet{}}, pool: newSpeed(),
		lengths: lengths{stats: map[lengthKey]lengthStat{}}, tracker: quarantine.New(), fastest: newSpeed(),
	}
	for c := range d.open {
		d.open[c].class = class(c)
	}
	d.Configure(p)
	return d
}

func (d *Dispatcher) tier(rank int) *tier {
	for len(d.tiers) <= rank {
		d.tiers = append(d.tiers, nil)
	}
	if d.tiers[rank] == nil {
		d.tiers[rank] = newTier(rank)
	}
	return d.tiers[rank]
}

// Offer queues a request, or takes up one that already runs. A refusal is the
// final answer to a request that a limit or a quarantine forbids; an error says
// that the offer is malformed and changed nothing.
func (d *Dispatcher) Offer(now time.Duration, o Offer) (*Refusal, error) {
	if err := checkOffer(o); err != nil {
		return nil, err
	}
	if _, ok := d.requests[o.ID]; ok {
		return nil, nil
	}
	if refusal := d.admit(now, o); refusal != nil {
		return refusal, nil
	}
	t := d.tier(o.Tier)
	r := &request{offer: o, arrived: now, workspace: t.workspace(o.Workspace, o.Weight), laneIndex: notQueued, doomIndex: notQueued}
	d.predictWork(now, r)
	d.requests[o.ID] = r
	if o.Running != "" {
		d.adopt(now, r)
		return nil, nil
	}
	t.notePatience(now, o)
	t.enqueue(r)
	heap.Push(&d.doomed, r)
	d.queued++
	return nil, nil
}

// admit counts a request against its workspace's limits and looks for its
// quarantine.
func (d *Dispatcher) admit(now time.Duration, o Offer) *Refusal {
	verdict, left := d.tracker.Verdict(now, o.Fingerprint)
	if verdict == quarantine.Quarantined && o.Running == "" {
		return d.refuse(now, o, Quarantined, left, "the content was in flight at two crashes of upstreams")
	}
	usage := &d.tier(o.Tier).workspace(o.Workspace, o.Weight).usage
	if o.Running != "" || o.Admitted || o.Spilled != "" || o.Final {
		usage.Resume()
		return nil
	}
	denial, ok := usage.Admit(now, o.Limits)
	if !ok {
		return d.refuse(now, o, Limited, denial.RetryAfter, "the workspace is at its limit "+denial.Limit)
	}
	return nil
}

// adopt counts a running request that an earlier dispatcher granted.
func (d *Dispatcher) adopt(now time.Duration, r *request) {
	r.upstream = r.offer.Running
	r.granted = now
	r.expected = d.pool.service(float64(r.offer.PromptTokens), r.output)
	r.workspace.tier.running++
	if u, ok := d.upstreams[r.upstream]; ok {
		d.place(now, r, u, parts{})
	}
}

// place counts a request on its upstream.
func (d *Dispatcher) place(now time.Duration, r *request, u *upstream, p parts) {
	r.upstream = u.Name
	r.incarnation = u.Incarnation
	r.cached = p.cached
	r.clearStart = u.prefillUntil <= now
	u.inFlight[r.offer.ID] = r
	u.tighten(r)
	r.beside = len(u.inFlight)
	u.uncached += r.uncached()
	if r.class == long {
		u.longs++
	}
	verdict, _ := d.tracker.Verdict(now, r.offer.Fingerprint)
	r.suspect = verdict != quarantine.Clear
	if r.suspect {
		u.suspects++
	}
	u.load.own(now, len(u.inFlight))
	d.refresh(now, u)
}

// unplace takes a request off its upstream.
func (d *Dispatcher) unplace(now time.Duration, r *request) *upstream {
	u, ok := d.upstreams[r.upstream]
	if !ok || u.inFlight[r.offer.ID] != r {
		return nil
	}
	u.load.own(now, len(u.inFlight))
	delete(u.inFlight, r.offer.ID)
	u.loosen(r)
	u.uncached -= r.uncached()
	if r.class == long {
		u.longs--
	}
	if r.suspect {
		u.suspects--
	}
	d.refresh(now, u)
	return u
}

// Cancel forgets a request that waits. A granted one ends by Release.
func (d *Dispatcher) Cancel(id ID) {
	r, ok := d.requests[id]
	if !ok || r.upstream != "" {
		return
	}
	d.forgetQueued(r)
}

// forgetQueued removes a queued request.
func (d *Dispatcher) forgetQueued(r *request) {
	r.workspace.tier.dequeue(r)
	heap.Remove(&d.doomed, r.doomIndex)
	d.queued--
	r.workspace.usage.Leave()
	delete(d.requests, r.offer.ID)
	d.ended = append(d.ended, Ended{ID: r.offer.ID, Workspace: r.offer.Workspace, Tier: r.offer.Tier})
}

// Ended is a request that is no longer queued or granted, and what it cost.
type Ended struct {
	ID        ID
	Workspace string
	Tier      int
	Upstream  string
	// Lost is the uncached prompt tokens computed for an answer that did not
	// arrive whole.
	Lost int
	// Repeated is the prompt tokens computed though another upstream with room
	// should still have held them.
	Repeated int
}

// Release frees the slot of a granted request and learns from it.
func (d *Dispatcher) Release(now time.Duration, rel Release) (Ended, error) {
	if err := checkRelease(rel); err != nil {
		return Ended{}, err
	}
	r, ok := d.requests[rel.ID]
	if !ok || r.upstream == "" {
		return Ended{}, &OfferError{ID: rel.ID, Message: "it holds no grant", Remedy: "release each grant once"}
	}
	return d.end(now, r, rel), nil
}

func (r *request) ended(rel Release) Ended {
	e := Ended{ID: r.offer.ID, Workspace: r.offer.Workspace, Tier: r.offer.Tier, Upstream: r.upstream}
	computed := max(0, r.offer.PromptTokens-rel.CachedTokens)
	if rel.Outcome == Canceled || rel.Outcome == Broken {
		e.Lost = computed
	}
	if rel.Outcome == Done {
		e.Repeated = min(computed, max(0, r.bestCached-rel.CachedTokens))
	}
	return e
}

// end frees a granted request's slot.
func (d *Dispatcher) end(now time.Duration, r *request, rel Release) Ended {
	ended := r.ended(rel)
	d.ended = append(d.ended, ended)
	delete(d.requests, r.offer.ID)
	r.workspace.tier.running--
	r.workspace.usage.Leave()
	u := d.unplace(now, r)
	d.settle(now, r, rel)
	if u != nil && rel.Outcome == Broken {
		d.noteBroken(now, u, r)
	}
	if u != nil && rel.Outcome == Done {
		d.learn(now, u, r, rel)
	}
	return ended
}

// settle corrects what was charged at the grant to the work that was done.
func (d *Dispatcher) settle(now time.Duration, r *request, rel Release) {
	actual := float64(max(0, r.offer.PromptTokens-rel.CachedTokens)) + outputCost*float64(rel.OutputTokens)
	if rel.Outcome == NotSent {
		actual = 0
	}
	r.workspace.tier.charge(r.workspace, actual-r.charged)
	tokens := int64(max(0, r.offer.PromptTokens-rel.CachedTokens) + rel.OutputTokens)
	if rel.Outcome != NotSent {
		r.workspace.usage.Spend(now, tokens)
	}
}

// learn takes in what a whole answer showed.
func (d *Dispatcher) learn(now time.Duration, u *upstream, r *request, rel Release) {
	if change, ok := d.tracker.Completed(r.offer.Fingerprint); ok {
		d.suspects = append(d.suspects, change)
	}
	if r.offer.Running != "" {
		return
	}
	if d.params.Plain {
		learn(&u.speed.call, &u.speed.callSeen, rel.Decode.Seconds(), speedGain)
		learn(&d.pool.call, &d.pool.callSeen, rel.Decode.Seconds(), poolGain)
		d.refresh(now, u)
		return
	}
	d.lengths.learn(r.offer, rel.OutputTokens)
	o := observation{
		uncached: float64(r.offer.PromptTokens - rel.CachedTokens), prefill: rel.Prefill, clean: r.clearStart,
		tokens: rel.OutputTokens, decode: rel.Decode, beside: (r.beside + len(u.inFlight) + 1) / 2,
	}
	known := u.known
	single := u.speed.observe(o, speedGain)
	d.pool.observe(o, poolGain)
	if single > 0 {
		u.slots.adapt(single/known.token, u.Slots)
	}
	u.straggler.answers++
	u.cache.confirm(float64(r.cached), float64(rel.CachedTokens))
	d.refresh(now, u)
}
