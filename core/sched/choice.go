package sched

import "time"

const (
	// maxLeastLoaded is the number of least loaded upstreams scored for a
	// grant: the first three levels of a binary heap.
	maxLeastLoaded = 7
	// maxCandidates is the maximum number of upstreams scored for one grant.
	maxCandidates = maxLeastLoaded + maxHolders
	// suspectPenalty is added to a suspect's score for each request in flight
	// on the upstream, to keep it away from other requests.
	suspectPenalty = time.Second
	// prefillInterferenceWeight weighs, per stream in flight, the time by which
	// a new prefill delays that stream.
	prefillInterferenceWeight = 1.0
)

// completionEstimate is the expected completion time of a request on an
// upstream, split into its parts.
type completionEstimate struct {
	queue   time.Duration
	prefill time.Duration
	decode  time.Duration
	link    time.Duration
	total   time.Duration
	cached  int
}

// score estimates the completion time of a request on an upstream, without side
// effects.
func (d *Dispatcher) score(now time.Duration, u *upstream, r *request) completionEstimate {
	s := &u.blendedSpeed
	estimate := completionEstimate{cached: d.cached(u, r)}
	uncached := float64(max(0, r.offer.PromptTokens-estimate.cached))
	n := len(u.inFlight) + u.foreignLoad.requests() + 1
	estimate.queue = max(0, min(u.prefillUntil-now, seconds(s.prefill*u.uncachedTokens)))
	estimate.prefill = seconds(s.prefill * uncached)
	estimate.decode = seconds(s.perToken(n)*r.output + s.call)
	if r.offer.SpilledFrom != "" {
		estimate.link = d.params.Link.cost(r.offer.PromptTokens)
	}
	estimate.total = estimate.queue + estimate.prefill + estimate.decode + estimate.link
	return estimate
}

// cached estimates the prompt tokens that the upstream can serve from its
// prefix cache. At least one prompt token is always computed.
func (d *Dispatcher) cached(u *upstream, r *request) int {
	blocks := u.cache.matchedBlocks(r.offer.Blocks)
	tokens := float64(blocks*d.params.BlockTokens) * u.cache.trust
	return max(0, min(int(tokens), r.offer.PromptTokens-1))
}

// candidateSet collects distinct upstreams without allocating.
type candidateSet struct {
	items  [maxCandidates]*upstream
	scores [maxCandidates]completionEstimate
	n      int
	// holders are upstreams that were granted the prompt's first heldBlocks
	// blocks.
	holders    holderSet
	heldBlocks int
}

func (c *candidateSet) add(u *upstream) {
	for _, have := range c.items[:c.n] {
		if have == u {
			return
		}
	}
	c.items[c.n] = u
	c.n++
}

// candidates returns the least loaded upstreams with room and those that hold
// the longest prefix of the prompt.
func (d *Dispatcher) candidates(now time.Duration, r *request) candidateSet {
	set := candidateSet{}
	open := d.withRoom[r.class].items
	for i := range min(maxLeastLoaded, len(open)) {
		set.add(open[i])
	}
	set.holders, set.heldBlocks = d.blockHolders.longestHeld(r.offer.Blocks)
	for _, id := range set.holders.ids[:set.holders.used] {
		u := d.byID[id]
		if d.hasRoom(now, u, r.class) {
			set.add(u)
		}
	}
	return set
}

// chooseUpstream returns the candidate with the lowest estimated completion
// time, including the delay that the request's prefill causes to the streams in
// flight, or nil. Occasionally it returns a slow upstream instead to measure
// its recovery; see pickTrial.
func (d *Dispatcher) chooseUpstream(now time.Duration, r *request) (*upstream, completionEstimate, candidateSet) {
	set := d.candidates(now, r)
	best, bestEstimate, lowestRank := (*upstream)(nil), completionEstimate{}, time.Duration(0)
	for i, u := range set.items[:set.n] {
		if !d.hasRoom(now, u, r.class) {
			d.refresh(now, u)
			continue
		}
		if r.suspect && u.suspectCount > 0 {
			continue
		}
		estimate := d.score(now, u, r)
		set.scores[i] = estimate
		if d.wouldMissDeadlines(u, r) {
			continue
		}
		rank := estimate.total + time.Duration(prefillInterferenceWeight*float64(len(u.inFlight))*float64(estimate.prefill))
		if r.suspect {
			rank += suspectPenalty * time.Duration(len(u.inFlight))
		}
		if best == nil || rank < lowestRank || rank == lowestRank && u.Name < best.Name {
			best, bestEstimate, lowestRank = u, estimate, rank
		}
	}
	if u := d.pickTrial(now, r); u != nil && best != nil && !r.suspect {
		best, bestEstimate = u, d.score(now, u, r)
	}
	return best, bestEstimate, set
}
