package sched

import (
	"math"
	"time"
)

// tokenBudget returns the maximum time per output token, in seconds, with which
// a request meets its deadline. It is at least the current time per token, so
// that the budget never rules out the streams already running.
func (d *Dispatcher) tokenBudget(now time.Duration, r *request, u *upstream, estimate completionEstimate) float64 {
	if r.output <= 0 {
		return math.Inf(1)
	}
	deviation := (r.output - r.cautiousOutput) / cautiousDeviations
	left := r.offer.Deadline - now - estimate.queue - estimate.prefill - estimate.link
	s := &u.blendedSpeed
	return max(left.Seconds()/(r.output+deviation), s.perToken(len(u.inFlight)))
}

// wouldMissDeadlines reports whether one more stream on the upstream would slow
// a request of the same or a higher tier so much that it misses its deadline.
func (d *Dispatcher) wouldMissDeadlines(u *upstream, r *request) bool {
	s := &u.blendedSpeed
	after := s.perToken(len(u.inFlight) + 1)
	for t := range min(len(u.tokenBudgets), r.offer.Tier+1) {
		if u.tokenBudgets[t] > 0 && after > u.tokenBudgets[t] {
			return true
		}
	}
	return false
}

// addTokenBudget lowers the tier's budget to that of a granted request; zero is
// ignored.
func (u *upstream) addTokenBudget(r *request) {
	for len(u.tokenBudgets) <= r.offer.Tier {
		u.tokenBudgets = append(u.tokenBudgets, 0)
	}
	t := &u.tokenBudgets[r.offer.Tier]
	if r.tokenBudget > 0 && (*t == 0 || r.tokenBudget < *t) {
		*t = r.tokenBudget
	}
}

// removeTokenBudget recomputes the tier's budget after the request with the
// smallest budget has ended.
func (u *upstream) removeTokenBudget(r *request) {
	tier := r.offer.Tier
	if tier >= len(u.tokenBudgets) || r.tokenBudget == 0 || r.tokenBudget > u.tokenBudgets[tier] {
		return
	}
	u.tokenBudgets[tier] = 0
	for _, other := range u.inFlight {
		if other.offer.Tier == tier {
			u.addTokenBudget(other)
		}
	}
}
