package sched

import "time"

// Explanation describes the latest decision on a request, for operators.
type Explanation struct {
	ID       ID          `json:"id"`
	State    string      `json:"state"`
	Code     Code        `json:"code,omitempty"`
	WaitedMS float64     `json:"waited_ms"`
	Chosen   string      `json:"chosen,omitempty"`
	Reason   string      `json:"reason"`
	Examined []Candidate `json:"candidates,omitempty"`
}

// Candidate is an upstream that was scored for a request, with the parts of its
// score in milliseconds.
type Candidate struct {
	Upstream   string  `json:"upstream"`
	InFlight   int     `json:"in_flight"`
	Slots      int     `json:"slots"`
	QueueMS    float64 `json:"queue_ms"`
	PrefillMS  float64 `json:"prefill_ms"`
	DecodeMS   float64 `json:"decode_ms"`
	LinkMS     float64 `json:"link_ms"`
	ScoreMS    float64 `json:"score_ms"`
	CachedPart float64 `json:"cached_part"`
	Excluded   string  `json:"excluded,omitempty"`
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// newCandidate returns an upstream's score for a request.
func newCandidate(u *upstream, r *request, estimate completionEstimate) Candidate {
	c := Candidate{
		Upstream: u.Name, InFlight: len(u.inFlight), Slots: u.capacity(),
		QueueMS: milliseconds(estimate.queue), PrefillMS: milliseconds(estimate.prefill), DecodeMS: milliseconds(estimate.decode),
		LinkMS: milliseconds(estimate.link), ScoreMS: milliseconds(estimate.total),
	}
	if r.offer.PromptTokens > 0 {
		c.CachedPart = float64(estimate.cached) / float64(r.offer.PromptTokens)
	}
	return c
}

// explainGrant describes a grant and the candidates that were scored.
func explainGrant(now time.Duration, r *request, chosen *upstream, set candidateSet) Explanation {
	e := Explanation{ID: r.offer.ID, State: "granted", WaitedMS: milliseconds(now - r.arrivedAt), Chosen: chosen.Name, Reason: "least expected completion"}
	e.Examined = make([]Candidate, 0, set.n)
	found := false
	for i, u := range set.items[:set.n] {
		c := newCandidate(u, r, set.scores[i])
		if r.suspect && u.suspectCount > 0 {
			c.Excluded = "another suspect runs there"
		}
		found = found || u == chosen
		e.Examined = append(e.Examined, c)
	}
	if !found {
		e.Reason = "trial of a slow upstream"
	}
	return e
}

// Explain describes a request that is queued, running or recently decided. It
// returns false for an unknown one.
func (d *Dispatcher) Explain(now time.Duration, id ID) (Explanation, bool) {
	r, ok := d.requests[id]
	if !ok || r.upstream != "" {
		if e, found := d.recentDecisions.find(id); found {
			return e, true
		}
	}
	if !ok {
		return Explanation{}, false
	}
	if r.upstream != "" {
		return Explanation{ID: id, State: "granted", Chosen: r.upstream, Reason: "granted by an earlier dispatcher, or some time ago"}, true
	}
	return d.explainWait(now, r), true
}

// explainWait scores every upstream for a queued request and tells what
// excludes each.
func (d *Dispatcher) explainWait(now time.Duration, r *request) Explanation {
	e := Explanation{ID: r.offer.ID, State: "queued", WaitedMS: milliseconds(now - r.arrivedAt), Reason: "no upstream has a free slot"}
	for _, t := range d.tiers[:r.offer.Tier] {
		if t != nil && t.queued > 0 {
			e.Reason = "a higher tier waits"
		}
	}
	for _, u := range d.byID {
		c := newCandidate(u, r, d.score(now, u, r))
		c.Excluded = d.exclusionReason(now, u, r)
		e.Examined = append(e.Examined, c)
	}
	return e
}

func (d *Dispatcher) exclusionReason(now time.Duration, u *upstream, r *request) string {
	switch {
	case u.draining:
		return "it leaves"
	case u.expires <= now:
		return "its announcement ran out"
	case len(u.inFlight) >= u.capacity():
		return "all slots are in use"
	case r.class == long && u.straggler.demoted:
		return "it is a straggler and takes short requests only"
	case !d.hasRoom(now, u, r.class):
		return "the free slots are kept for short requests"
	case r.suspect && u.suspectCount > 0:
		return "another suspect runs there"
	}
	return ""
}

// maxRecentDecisions is the number of decisions kept for operators.
const maxRecentDecisions = 512

// decisionRing is a ring buffer of the latest decisions.
type decisionRing struct {
	items [maxRecentDecisions]Explanation
	next  int
}

func (x *decisionRing) add(e Explanation) {
	x.items[x.next%maxRecentDecisions] = e
	x.next++
}

// last returns the most recent decision.
func (x *decisionRing) last() *Explanation {
	return &x.items[(x.next-1)%maxRecentDecisions]
}

func (x *decisionRing) find(id ID) (Explanation, bool) {
	for i := x.next - 1; i >= 0 && i >= x.next-maxRecentDecisions; i-- {
		if e := x.items[i%maxRecentDecisions]; e.ID == id {
			return e, true
		}
	}
	return Explanation{}, false
}

// list returns up to limit decisions, the most recent first.
func (x *decisionRing) list(limit int) []Explanation {
	out := []Explanation{}
	for i := x.next - 1; i >= 0 && i >= x.next-limit; i-- {
		out = append(out, x.items[i%maxRecentDecisions])
	}
	return out
}
