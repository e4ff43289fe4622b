package limits

import "time"

// repeatSlots is the number of slots into which the window of a Repeats is divided.
const repeatSlots = 20

// Repeats is one daemon's part of a retry budget. Each daemon counts its own
// requests and has an equal part of the slack, so that the retries of all daemons
// together stay within the budget. It is not safe for concurrent use.
type Repeats struct {
	window   time.Duration
	requests [repeatSlots]int
	retries  [repeatSlots]int
	slot     int64
}

// NewRepeats returns a retry budget over a sliding window.
func NewRepeats(window time.Duration) *Repeats { return &Repeats{window: window} }

// advance clears the slots that have left the window and returns the index of the
// current slot.
func (r *Repeats) advance(now time.Duration) int {
	current := int64(now / (r.window / repeatSlots))
	for range min(current-r.slot, repeatSlots) {
		r.slot++
		r.requests[r.slot%repeatSlots] = 0
		r.retries[r.slot%repeatSlots] = 0
	}
	r.slot = max(r.slot, current)
	return int(r.slot % repeatSlots)
}

// Request counts the first attempt of a request.
func (r *Repeats) Request(now time.Duration) { r.requests[r.advance(now)]++ }

// Allow counts a retry and returns true if the retries in the window stay within
// ratio times its requests plus this daemon's slack.
func (r *Repeats) Allow(now time.Duration, ratio float64, slack float64) bool {
	at := r.advance(now)
	requests, retries := 0, 0
	for i := range repeatSlots {
		requests += r.requests[i]
		retries += r.retries[i]
	}
	if float64(retries+1) > ratio*float64(requests)+slack {
		return false
	}
	r.retries[at]++
	return true
}
