package sched

import (
	"math"
	"time"
)

// need returns the time per output token, in seconds, that a request must have
// to end in time; at least the time that it gets now, so that it never forbids
// what runs already.
func (d *Dispatcher) need(now time.Duration, r *request, u *upstream, p parts) float64 {
	if r.output <= 0 {
		return math.Inf(1)
	}
	deviation := (r.output - r.least) / cautiousDeviations
	left := r.offer.Deadline - now - p.queue - p.prefill - p.link
	s := &u.known
	return max(left.Seconds()/(r.output+deviation), s.perToken(len(u.inFlight)))
}

// breaks says whether one more stream would slow a request of the same or a
// higher tier on the upstream so much that it misses its deadline.
func (d *Dispatcher) breaks(u *upstream, r *request) bool {
	s := &u.known
	after := s.perToken(len(u.inFlight) + 1)
	for t := range min(len(u.tight), r.offer.Tier+1) {
		if u.tight[t] > 0 && after > u.tight[t] {
			return true
		}
	}
	return false
}

// tighten takes in a granted request's need; zero stands for none.
func (u *upstream) tighten(r *request) {
	for len(u.tight) <= r.offer.Tier {
		u.tight = append(u.tight, 0)
	}
	t := &u.tight[r.offer.Tier]
	if r.need > 0 && (*t == 0 || r.need < *t) {
		*t = r.need
	}
}

// loosen recomputes a tier's need once its tightest request has left.
func (u *upstream) loosen(r *request) {
	tier := r.offer.Tier
	if tier >= len(u.tight) || r.need == 0 || r.need > u.tight[tier] {
		return
	}
	u.tight[tier] = 0
	for _, other := range u.inFlight {
		if other.offer.Tier == tier {
			u.tighten(other)
		}
	}
}
