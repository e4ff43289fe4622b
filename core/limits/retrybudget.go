package limits

import "time"

const (
	// retrySlots is the number of slots into which the window of a RetryBudget is divided.
	retrySlots = 20
	// retryStock and retryRefill divide a budget into what may be in stock and what is
	// added over a window. What is sent in a window was in stock at its begin or was added
	// during it. The rest covers retries that take up to a tenth of the window to arrive.
	retryStock  = 0.5
	retryRefill = 0.4
)

// RetryBudget is one process's part of a retry budget, which limits the retries of all
// processes in any window to a fraction of the requests plus a fixed slack.
//
// It is a bucket of retries: each request and the part of the slack add to it, and it holds at
// most a fraction of what the requests of the last window and the part of the slack allow. A
// process starts with an empty one. The bound therefore adds up over the processes of one
// instance, of which each starts anew, and over instances between which the requests move.
//
// A retry is reserved when it is decided on and taken from the bucket when it is sent: it may
// wait for an upstream meanwhile, and the retries of several windows must not be sent in one.
//
// It is not safe for concurrent use.
type RetryBudget struct {
	window time.Duration
	// requests counts the requests by slot; slot is the current one.
	requests [retrySlots]int
	slot     int64
	level    float64
	earned   time.Duration
	pending  int
}

// RetryLimits are the declared limits, and the process's part of the slack.
type RetryLimits struct {
	Ratio float64
	Slack float64
	Part  Part
}

// RetryUsage is the state of a RetryBudget.
type RetryUsage struct {
	// Requests is the number of requests in the window.
	Requests int `json:"requests"`
	// Level is the number of retries in the bucket, of which Pending are reserved, and
	// Capacity the most that it holds.
	Level    float64 `json:"level"`
	Capacity float64 `json:"capacity"`
	Pending  int     `json:"pending"`
}

// NewRetryBudget returns an empty retry budget over a sliding window.
func NewRetryBudget(window time.Duration) *RetryBudget { return &RetryBudget{window: window} }

// RecordRequest counts the first attempt of a request.
func (r *RetryBudget) RecordRequest(now time.Duration, l RetryLimits) {
	r.refill(now, l)
	r.requests[r.slot%retrySlots]++
	r.add(retryRefill*l.Ratio, l)
}

// Reserve reserves a retry and returns true if there is one. Each reserved retry must be sent
// or released.
func (r *RetryBudget) Reserve(now time.Duration, l RetryLimits) bool {
	r.refill(now, l)
	if r.level < float64(r.pending+1) {
		return false
	}
	r.pending++
	return true
}

// Send takes a reserved retry, which is about to be sent. It returns false if the budget has
// become smaller meanwhile: the retry must not be sent and is released.
func (r *RetryBudget) Send(now time.Duration, l RetryLimits) bool {
	r.refill(now, l)
	r.pending--
	if r.level < 1 {
		return false
	}
	r.level--
	return true
}

// Release gives up a reserved retry.
func (r *RetryBudget) Release() { r.pending-- }

// Usage returns the state of the budget.
func (r *RetryBudget) Usage(now time.Duration, l RetryLimits) RetryUsage {
	r.refill(now, l)
	return RetryUsage{Requests: r.recent(), Level: r.level, Capacity: r.capacity(l), Pending: r.pending}
}

// refill drops the requests that have left the window and adds the part of the slack.
func (r *RetryBudget) refill(now time.Duration, l RetryLimits) {
	current := int64(now / (r.window / retrySlots))
	for range min(current-r.slot, retrySlots) {
		r.slot++
		r.requests[r.slot%retrySlots] = 0
	}
	r.slot = max(r.slot, current)
	share := float64(l.Part.Earned-r.earned) / float64(r.window)
	r.earned = l.Part.Earned
	r.add(retryRefill*l.Slack*share, l)
}

func (r *RetryBudget) add(retries float64, l RetryLimits) {
	r.level = min(r.level+retries, r.capacity(l))
}

// capacity returns how many retries the bucket holds at most.
func (r *RetryBudget) capacity(l RetryLimits) float64 {
	return retryStock * (l.Ratio*float64(r.recent()) + l.Slack*l.Part.Fraction)
}

// recent returns the number of requests in the window.
func (r *RetryBudget) recent() int {
	sum := 0
	for _, n := range r.requests {
		sum += n
	}
	return sum
}
