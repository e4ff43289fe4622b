package limits

import "time"

// retrySlots is the number of slots into which the window of a RetryBudget is divided.
const retrySlots = 20

// RetryBudget is one daemon's part of a retry budget: a limit on retries as a
// fraction of the requests plus a fixed slack. Each daemon counts its own requests
// and has an equal part of the slack, so that the retries of all daemons together
// stay within the budget. It is not safe for concurrent use.
type RetryBudget struct {
	window   time.Duration
	requests [retrySlots]int
	retries  [retrySlots]int
	slot     int64
}

// NewRetryBudget returns a retry budget over a sliding window.
func NewRetryBudget(window time.Duration) *RetryBudget { return &RetryBudget{window: window} }

// advance clears the slots that have left the window and returns the index of the
// current slot.
func (r *RetryBudget) advance(now time.Duration) int {
	current := int64(now / (r.window / retrySlots))
	for range min(current-r.slot, retrySlots) {
		r.slot++
		r.requests[r.slot%retrySlots] = 0
		r.retries[r.slot%retrySlots] = 0
	}
	r.slot = max(r.slot, current)
	return int(r.slot % retrySlots)
}

// RecordRequest counts the first attempt of a request.
func (r *RetryBudget) RecordRequest(now time.Duration) { r.requests[r.advance(now)]++ }

// AllowRetry counts a retry and returns true if the retries in the window stay within
// ratio times its requests plus this daemon's slack.
func (r *RetryBudget) AllowRetry(now time.Duration, ratio float64, slack float64) bool {
	used := r.Usage(now)
	if float64(used.Retries+1) > ratio*float64(used.Requests)+slack {
		return false
	}
	r.retries[r.advance(now)]++
	return true
}

// RetryUsage is what a RetryBudget has counted in its window.
type RetryUsage struct {
	Requests int `json:"requests"`
	Retries  int `json:"retries"`
}

// Usage returns what is in the window.
func (r *RetryBudget) Usage(now time.Duration) RetryUsage {
	r.advance(now)
	u := RetryUsage{}
	for i := range retrySlots {
		u.Requests += r.requests[i]
		u.Retries += r.retries[i]
	}
	return u
}
