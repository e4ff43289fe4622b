package limits

import "time"

// repeatSlices is how many parts the window of a Repeats is counted in.
const repeatSlices = 20

// Repeats is one daemon's part of a budget for sending requests again. The sum
// over all daemons stays within the budget, since each counts its own requests
// and takes an equal part of the slack.
type Repeats struct {
	window   time.Duration
	requests [repeatSlices]int
	repeats  [repeatSlices]int
	slice    int64
}

// NewRepeats returns a budget over a sliding window.
func NewRepeats(window time.Duration) *Repeats { return &Repeats{window: window} }

func (r *Repeats) advance(now time.Duration) int {
	at := int64(now / (r.window / repeatSlices))
	for range min(at-r.slice, repeatSlices) {
		r.slice++
		r.requests[r.slice%repeatSlices] = 0
		r.repeats[r.slice%repeatSlices] = 0
	}
	r.slice = max(r.slice, at)
	return int(r.slice % repeatSlices)
}

// Request counts a request that was sent for the first time.
func (r *Repeats) Request(now time.Duration) { r.requests[r.advance(now)]++ }

// Allow counts a repeat where the budget has room: ratio times the requests of
// the window, and this daemon's slack.
func (r *Repeats) Allow(now time.Duration, ratio float64, slack float64) bool {
	at := r.advance(now)
	requests, repeats := 0, 0
	for i := range repeatSlices {
		requests += r.requests[i]
		repeats += r.repeats[i]
	}
	if float64(repeats+1) > ratio*float64(requests)+slack {
		return false
	}
	r.repeats[at]++
	return true
}
