package sched

import (
	"container/heap"
	"time"

	"github.com/verbenastep/verbenastep/core/quarantine"
	"github.com/verbenastep/verbenastep/core/suspects"
)

// Dispatcher schedules the requests of one pool. It is not safe for concurrent
// use.
type Dispatcher struct {
	params   Params
	requests map[ID]*request
	// tiers is indexed by rank; unused ranks are nil.
	tiers         []*tier
	queued        int
	byLatestStart latestStartHeap
	// orphans are running requests whose entry has disconnected, by when their
	// slot is freed.
	orphans orphanHeap

	upstreams          map[string]*upstream
	byID               []*upstream
	withRoom           [classes]roomHeap
	leases             leaseHeap
	blockHolders       holderIndex
	slowUpstreams      []*upstream
	nextTrial          int
	nextStragglerCheck time.Duration
	// fastest holds the shortest times that any live upstream has shown.
	fastest speed
	scratch []float64

	poolSpeed  speed
	lengths    lengthPredictor
	meanCost   float64
	lastShort  time.Duration
	seenShort  bool
	throughput throughput
	// lastLive is when an upstream was last live, or the time of the first
	// round.
	lastLive time.Duration
	started  bool
	// shortageUntil is when capacity no longer counts as short.
	shortageUntil time.Duration

	// tracker counts crashes by whole contents, prefixes by the blocks of prompts.
	tracker        *quarantine.Tracker
	prefixes       *suspects.Tracker[ID]
	suspectChanges []quarantine.Change
	// ended lists requests that ended since the last round.
	ended []Ended
	// deferred are requests that no upstream with room suits in this round.
	deferred []*request
	// localityWaits counts the requests of this round that wait for an upstream
	// that holds their prefix.
	localityWaits   int
	recentDecisions decisionRing
}

// Configure replaces the parameters. It takes effect for later calls; a change
// of Concurrency with each upstream's next announcement.
func (d *Dispatcher) Configure(p Params) {
	if p.BlockTokens == 0 {
		p.BlockTokens = defaultBlockTokens
	}
	d.params = p
}

// New returns a dispatcher without requests or upstreams.
func New(p Params) *Dispatcher {
	d := &Dispatcher{
		requests: map[ID]*request{}, upstreams: map[string]*upstream{},
		blockHolders: holderIndex{sets: map[uint64]holderSet{}}, poolSpeed: newSpeed(),
		lengths: lengthPredictor{stats: map[lengthKey]lengthStat{}}, tracker: quarantine.New(), prefixes: suspects.New[ID](), fastest: newSpeed(),
	}
	for c := range d.withRoom {
		d.withRoom[c].class = class(c)
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

// Offer queues a request, or adopts one that is already running. A repeated
// offer is ignored. It returns a Refusal where a limit or a quarantine forbids
// the request, and an OfferError, with no state changed, where the offer is
// malformed.
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
	r := &request{offer: o, arrivedAt: now, workspace: t.workspace(o.Workspace, o.Weight), laneIndex: notInHeap, latestStartIndex: notInHeap}
	d.predictWork(now, r)
	d.requests[o.ID] = r
	if o.RunningOn != "" {
		d.adopt(now, r)
		return nil, nil
	}
	t.recordPatience(now, o)
	t.enqueue(r)
	heap.Push(&d.byLatestStart, r)
	d.queued++
	return nil, nil
}

// quarantinedPrefixReason is part of error responses to callers.
const quarantinedPrefixReason = "upstreams crashed under several requests with a prefix of this prompt"

// admit counts a request against its workspace's limits, and returns a refusal
// where a limit is reached or the content is quarantined. Limits were already
// applied to requests that run, were admitted earlier, or come from another
// region.
func (d *Dispatcher) admit(now time.Duration, o Offer) *Refusal {
	verdict, left := d.tracker.Verdict(now, o.Fingerprint)
	if verdict == quarantine.Quarantined && o.RunningOn == "" {
		return d.refuse(now, o, Quarantined, left, "the content was in flight at two crashes of upstreams")
	}
	if left := d.prefixes.RefusedFor(now, o.Blocks, true); left > 0 && o.RunningOn == "" {
		return d.refuse(now, o, Quarantined, left, quarantinedPrefixReason)
	}
	usage := &d.tier(o.Tier).workspace(o.Workspace, o.Weight).usage
	if o.RunningOn != "" || o.Admitted || o.SpilledFrom != "" || o.Final {
		usage.Readmit()
		return nil
	}
	denial, ok := usage.Admit(now, o.Limits)
	if !ok {
		return d.refuse(now, o, LimitExceeded, denial.RetryAfter, "the workspace is at its limit "+denial.Limit)
	}
	return nil
}

// adopt takes over a running request that an earlier dispatcher granted.
func (d *Dispatcher) adopt(now time.Duration, r *request) {
	r.upstream = r.offer.RunningOn
	r.grantedAt = now
	r.expectedTime = d.poolSpeed.serviceTime(float64(r.offer.PromptTokens), r.output)
	r.workspace.tier.running++
	if u, ok := d.upstreams[r.upstream]; ok {
		d.assign(now, r, u, completionEstimate{})
	}
}

// assign adds a request to the requests in flight on an upstream.
func (d *Dispatcher) assign(now time.Duration, r *request, u *upstream, estimate completionEstimate) {
	r.upstream = u.Name
	r.incarnation = u.Incarnation
	r.cached = estimate.cached
	r.prefillAlone = u.prefillUntil <= now
	u.inFlight[r.offer.ID] = r
	u.addTokenBudget(r)
	r.batchAtStart = len(u.inFlight)
	u.uncachedTokens += r.uncached()
	if r.class == long {
		u.longCount++
	}
	verdict, _ := d.tracker.Verdict(now, r.offer.Fingerprint)
	r.suspect = verdict != quarantine.Clear || r.prefixStage != suspects.Clear
	if r.suspect {
		u.suspectCount++
	}
	u.foreignLoad.recordOwn(now, len(u.inFlight))
	d.refresh(now, u)
}

// unassign removes a request from its upstream and returns the upstream, or nil
// where the upstream is unknown or does not run the request.
func (d *Dispatcher) unassign(now time.Duration, r *request) *upstream {
	u, ok := d.upstreams[r.upstream]
	if !ok || u.inFlight[r.offer.ID] != r {
		return nil
	}
	u.foreignLoad.recordOwn(now, len(u.inFlight))
	delete(u.inFlight, r.offer.ID)
	u.removeTokenBudget(r)
	u.uncachedTokens -= r.uncached()
	if r.class == long {
		u.longCount--
	}
	if r.suspect {
		u.suspectCount--
	}
	d.refresh(now, u)
	return u
}

// Cancel removes a queued request. A granted request is ended by Release
// instead.
func (d *Dispatcher) Cancel(id ID) {
	r, ok := d.requests[id]
	if !ok || r.upstream != "" {
		return
	}
	d.removeQueued(r)
}

// removeQueued removes a queued request and records its end.
func (d *Dispatcher) removeQueued(r *request) {
	r.workspace.tier.dequeue(r)
	heap.Remove(&d.byLatestStart, r.latestStartIndex)
	d.queued--
	r.workspace.usage.Release()
	delete(d.requests, r.offer.ID)
	d.ended = append(d.ended, Ended{ID: r.offer.ID, Workspace: r.offer.Workspace, Tier: r.offer.Tier})
}

// Ended describes a request that left the queue or its slot, and the
// computation that was wasted.
type Ended struct {
	ID        ID
	Workspace string
	Tier      int
	Upstream  string
	// WastedTokens is the number of uncached prompt tokens computed for an
	// answer that did not arrive completely.
	WastedTokens int
	// RepeatedTokens is the number of prompt tokens computed although another
	// upstream with room was expected to have them cached.
	RepeatedTokens int
}

// Release frees the slot of a granted request and learns from the reported
// measurements. It returns an OfferError where the release is malformed or the
// request holds no grant.
func (d *Dispatcher) Release(now time.Duration, rel Release) (Ended, error) {
	if err := checkRelease(rel); err != nil {
		return Ended{}, err
	}
	r, ok := d.requests[rel.ID]
	if !ok || r.upstream == "" {
		return Ended{}, &OfferError{ID: rel.ID, Message: "it holds no grant", Remedy: "release each grant once"}
	}
	return d.endRequest(now, r, rel), nil
}

func (r *request) ended(rel Release) Ended {
	e := Ended{ID: r.offer.ID, Workspace: r.offer.Workspace, Tier: r.offer.Tier, Upstream: r.upstream}
	computed := max(0, r.offer.PromptTokens-rel.CachedTokens)
	if rel.Outcome == Canceled || rel.Outcome == ConnectionLost {
		e.WastedTokens = computed
	}
	if rel.Outcome == Completed {
		e.RepeatedTokens = min(computed, max(0, r.bestCached-rel.CachedTokens))
	}
	return e
}

// endRequest frees a granted request's slot and updates charges, failure
// records and estimates.
func (d *Dispatcher) endRequest(now time.Duration, r *request, rel Release) Ended {
	ended := r.ended(rel)
	d.ended = append(d.ended, ended)
	delete(d.requests, r.offer.ID)
	r.workspace.tier.running--
	r.workspace.usage.Release()
	u := d.unassign(now, r)
	d.recordPrefix(now, r, rel)
	d.correctCharge(now, r, rel)
	if u != nil && rel.Outcome == ConnectionLost {
		d.recordFailure(now, u, r)
	}
	if u != nil && rel.Outcome == Completed {
		d.learnFromAnswer(now, u, r, rel)
	}
	return ended
}

// recordPrefix learns from the end of a request whether a prefix of its prompt crashes
// upstreams. A request that has begun its answer survived its prefix.
func (d *Dispatcher) recordPrefix(now time.Duration, r *request, rel Release) {
	d.prefixes.EndTrial(now, r.offer.ID, r.offer.Blocks)
	switch {
	case rel.Outcome == Completed:
		d.prefixes.Clear(now, r.offer.Blocks)
	case rel.Outcome == ConnectionLost && rel.OutputTokens == 0:
		d.prefixes.HoldAgainst(now, suspects.Run{Granted: r.grantedAt, Lost: now}, r.offer.Blocks)
	}
}

// correctCharge replaces the predicted work charged to the workspace at the
// grant by the work that was done.
func (d *Dispatcher) correctCharge(now time.Duration, r *request, rel Release) {
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

// learnFromAnswer updates the estimates of lengths, speeds, slots and cache
// hits from a complete answer.
func (d *Dispatcher) learnFromAnswer(now time.Duration, u *upstream, r *request, rel Release) {
	if change, ok := d.tracker.RecordCompletion(r.offer.Fingerprint); ok {
		d.suspectChanges = append(d.suspectChanges, change)
	}
	if r.offer.RunningOn != "" {
		return
	}
	if d.params.PlainService {
		updateAverage(&u.speed.call, &u.speed.callSamples, rel.Decode.Seconds(), speedGain)
		updateAverage(&d.poolSpeed.call, &d.poolSpeed.callSamples, rel.Decode.Seconds(), poolGain)
		d.refresh(now, u)
		return
	}
	d.lengths.learn(r.offer, rel.OutputTokens)
	o := observation{
		uncached: float64(r.offer.PromptTokens - rel.CachedTokens), prefill: rel.Prefill, prefillAlone: r.prefillAlone,
		tokens: rel.OutputTokens, decode: rel.Decode, batchSize: (r.batchAtStart + len(u.inFlight) + 1) / 2,
	}
	known := u.blendedSpeed
	single := u.speed.observe(o, speedGain)
	d.poolSpeed.observe(o, poolGain)
	if single > 0 {
		u.slotLimit.adapt(single/known.token, u.Slots)
	}
	u.straggler.answers++
	u.cache.learnFromHit(float64(r.cached), float64(rel.CachedTokens))
	d.refresh(now, u)
}
