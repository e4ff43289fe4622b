package sched

import "time"

const (
	// topCandidates is how many of the least loaded upstreams are weighed: the
	// first levels of a binary heap.
	topCandidates = 7
	// maxCandidates is the most upstreams that are weighed for one grant.
	maxCandidates = topCandidates + holders
	// suspectPenalty is added for each request beside a suspect.
	suspectPenalty = time.Second
	// prefillDelay weighs a prefill's time once more for each stream beside it,
	// which it delays.
	prefillDelay = 1.0
)

// parts is an upstream's expected completion time for one request.
type parts struct {
	queue   time.Duration
	prefill time.Duration
	decode  time.Duration
	link    time.Duration
	total   time.Duration
	cached  int
}

// score returns the expected completion of a request on an upstream. It
// changes nothing.
func (d *Dispatcher) score(now time.Duration, u *upstream, r *request) parts {
	s := &u.known
	p := parts{cached: d.cached(u, r)}
	uncached := float64(max(0, r.offer.PromptTokens-p.cached))
	n := len(u.inFlight) + u.load.foreign() + 1
	p.queue = max(0, min(u.prefillUntil-now, seconds(s.prefill*u.uncached)))
	p.prefill = seconds(s.prefill * uncached)
	p.decode = seconds(s.perToken(n)*r.output + s.call)
	if r.offer.Spilled != "" {
		p.link = d.params.Link.cost(r.offer.PromptTokens)
	}
	p.total = p.queue + p.prefill + p.decode + p.link
	return p
}

// cached returns the prompt tokens that an upstream should not have to compute.
func (d *Dispatcher) cached(u *upstream, r *request) int {
	blocks := u.cache.matched(r.offer.Blocks)
	tokens := float64(blocks*d.params.BlockTokens) * u.cache.trust
	return max(0, min(int(tokens), r.offer.PromptTokens-1))
}

// candidateSet collects upstreams without repeats and without allocation.
type candidateSet struct {
	items  [maxCandidates]*upstream
	scores [maxCandidates]parts
	n      int
	// held are the holders of the prompt's first depth blocks.
	held  holderSet
	depth int
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

// candidates are the least loaded upstreams with room and those that hold the
// longest part of the prompt.
func (d *Dispatcher) candidates(now time.Duration, r *request) candidateSet {
	set := candidateSet{}
	open := d.open[r.class].items
	for i := range min(topCandidates, len(open)) {
		set.add(open[i])
	}
	set.held, set.depth = d.holding.deepest(r.offer.Blocks)
	for _, id := range set.held.ids[:set.held.used] {
		u := d.byID[id]
		if d.room(now, u, r.class) {
			set.add(u)
		}
	}
	return set
}

// choose returns the upstream with the least expected completion, the delay of
// the requests beside it counted in, or nil.
func (d *Dispatcher) choose(now time.Duration, r *request) (*upstream, parts, candidateSet) {
	set := d.candidates(now, r)
	best, least, lowest := (*upstream)(nil), parts{}, time.Duration(0)
	for i, u := range set.items[:set.n] {
		if !d.room(now, u, r.class) {
			d.refresh(now, u)
			continue
		}
		if r.suspect && u.suspects > 0 {
			continue
		}
		p := d.score(now, u, r)
		set.scores[i] = p
		if d.breaks(u, r) {
			continue
		}
		rank := p.total + time.Duration(prefillDelay*float64(len(u.inFlight))*float64(p.prefill))
		if r.suspect {
			rank += suspectPenalty * time.Duration(len(u.inFlight))
		}
		if best == nil || rank < lowest || rank == lowest && u.Name < best.Name {
			best, least, lowest = u, p, rank
		}
	}
	if u := d.trial(now, r); u != nil && best != nil && !r.suspect {
		best, least = u, d.score(now, u, r)
	}
	return best, least, set
}
