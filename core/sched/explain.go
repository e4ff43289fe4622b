package sched

import "time"

// Explanation tells why a request went where it did.
type Explanation struct {
	ID       ID          `json:"id"`
	State    string      `json:"state"`
	Code     Code        `json:"code,omitempty"`
	WaitedMS float64     `json:"waited_ms"`
	Chosen   string      `json:"chosen,omitempty"`
	Reason   string      `json:"reason"`
	Examined []Candidate `json:"candidates,omitempty"`
}

// Candidate is one upstream that was weighed, with the parts of its score in
// milliseconds.
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

// candidate shows how an upstream scored for a request.
func candidate(u *upstream, r *request, p parts) Candidate {
	c := Candidate{
		Upstream: u.Name, InFlight: len(u.inFlight), Slots: u.capacity(),
		QueueMS: milliseconds(p.queue), PrefillMS: milliseconds(p.prefill), DecodeMS: milliseconds(p.decode),
		LinkMS: milliseconds(p.link), ScoreMS: milliseconds(p.total),
	}
	if r.offer.PromptTokens > 0 {
		c.CachedPart = float64(p.cached) / float64(r.offer.PromptTokens)
	}
	return c
}

// explainGrant shows the candidates of a grant.
func explainGrant(now time.Duration, r *request, chosen *upstream, set candidateSet) Explanation {
	e := Explanation{ID: r.offer.ID, State: "granted", WaitedMS: milliseconds(now - r.arrived), Chosen: chosen.Name, Reason: "least expected completion"}
	e.Examined = make([]Candidate, 0, set.n)
	found := false
	for i, u := range set.items[:set.n] {
		c := candidate(u, r, set.scores[i])
		if r.suspect && u.suspects > 0 {
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

// Explain tells the state of a request that waits or runs, or of one decided
// lately.
func (d *Dispatcher) Explain(now time.Duration, id ID) (Explanation, bool) {
	r, ok := d.requests[id]
	if !ok || r.upstream != "" {
		if e, found := d.recent.find(id); found {
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

// explainWait shows every upstream and what keeps a request from it.
func (d *Dispatcher) explainWait(now time.Duration, r *request) Explanation {
	e := Explanation{ID: r.offer.ID, State: "queued", WaitedMS: milliseconds(now - r.arrived), Reason: "no upstream has a free slot"}
	for _, t := range d.tiers[:r.offer.Tier] {
		if t != nil && t.queued > 0 {
			e.Reason = "a higher tier waits"
		}
	}
	for _, u := range d.byID {
		c := candidate(u, r, d.score(now, u, r))
		c.Excluded = d.excluded(now, u, r)
		e.Examined = append(e.Examined, c)
	}
	return e
}

func (d *Dispatcher) excluded(now time.Duration, u *upstream, r *request) string {
	switch {
	case u.leaving:
		return "it leaves"
	case u.expires <= now:
		return "its announcement ran out"
	case len(u.inFlight) >= u.capacity():
		return "all slots are in use"
	case r.class == long && u.straggler.demoted:
		return "it is a straggler and takes short requests only"
	case !d.room(now, u, r.class):
		return "the free slots are kept for short requests"
	case r.suspect && u.suspects > 0:
		return "another suspect runs there"
	}
	return ""
}

// recentSize is how many decisions are kept for operators.
const recentSize = 512

// recent is a ring of the latest decisions.
type recent struct {
	items [recentSize]Explanation
	next  int
}

func (x *recent) add(e Explanation) {
	x.items[x.next%recentSize] = e
	x.next++
}

// last returns the decision added last.
func (x *recent) last() *Explanation {
	return &x.items[(x.next-1)%recentSize]
}

func (x *recent) find(id ID) (Explanation, bool) {
	for i := x.next - 1; i >= 0 && i >= x.next-recentSize; i-- {
		if e := x.items[i%recentSize]; e.ID == id {
			return e, true
		}
	}
	return Explanation{}, false
}

// list returns the decisions, the latest first.
func (x *recent) list(most int) []Explanation {
	out := []Explanation{}
	for i := x.next - 1; i >= 0 && i >= x.next-most; i-- {
		out = append(out, x.items[i%recentSize])
	}
	return out
}
