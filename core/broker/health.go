package broker

import "time"

const (
	// minBackOffDelay is how long an upstream that can't be reached gets no requests;
	// each further failure doubles the delay up to maxBackOffDelay.
	minBackOffDelay = 500 * time.Millisecond
	maxBackOffDelay = 4 * time.Second
	// rejectedDelay is how long an upstream gets no requests after it rejected one.
	rejectedDelay = 100 * time.Millisecond
	// misdirectedDelay is how long an upstream gets no requests after another process
	// answered on its address; a heartbeat of either process arrives within it.
	misdirectedDelay = 3 * time.Second
	// failureWeight is the weight of a new outcome in the failure rate.
	failureWeight = 0.12
	// probationFailures is how many consecutive failures put an upstream on
	// probation, in which it gets one request at a time.
	probationFailures = 3
)

// health tracks the outcomes of requests to one upstream.
type health struct {
	// failureRate is a moving average in [0, 1].
	failureRate         float64
	consecutiveFailures int
	// unavailableUntil is when the upstream may get requests again.
	unavailableUntil time.Duration
	// backOffDelay is the last delay after a failure; zero after a success.
	backOffDelay time.Duration
}

func (h *health) unavailable(now time.Duration) bool { return now < h.unavailableUntil }

func (h *health) onProbation() bool { return h.consecutiveFailures >= probationFailures }

// record updates the health by the outcome of a request.
func (h *health) record(now time.Duration, o Outcome) {
	switch o {
	case Completed:
		h.failureRate -= failureWeight * h.failureRate
		h.consecutiveFailures = 0
		h.backOffDelay = 0
	case Rejected:
		h.unavailableUntil = max(h.unavailableUntil, now+rejectedDelay)
	case Misdirected:
		h.unavailableUntil = max(h.unavailableUntil, now+misdirectedDelay)
	case Unreachable:
		h.recordFailure()
		h.backOffDelay = min(maxBackOffDelay, max(minBackOffDelay, 2*h.backOffDelay))
		h.unavailableUntil = now + h.backOffDelay
	case ConnectionLost, TimedOut, InvalidResponse:
		h.recordFailure()
		if h.consecutiveFailures >= probationFailures {
			h.backOffDelay = min(maxBackOffDelay, max(minBackOffDelay, 2*h.backOffDelay))
			h.unavailableUntil = now + h.backOffDelay
		}
	case UpstreamError:
		// An error answer proves that the upstream is alive.
		h.recordFailure()
		h.consecutiveFailures = 0
	}
}

func (h *health) recordFailure() {
	h.failureRate += failureWeight * (1 - h.failureRate)
	h.consecutiveFailures++
}

// sessionCache models which sessions an upstream has in its prefix cache, with
// least-recently-used eviction.
type sessionCache struct {
	// lastUse maps a session to the time of its last prompt; the lowest bit is set
	// if the session was cached before that prompt.
	lastUse map[uint64]uint64
	clock   uint64
}

// maxCachedSessions is how many sessions an upstream is assumed to cache. An engine
// with memory for 500,000 tokens holds about that many prompts of 4,000 tokens.
const maxCachedSessions = 100

func newSessionCache() sessionCache { return sessionCache{lastUse: map[uint64]uint64{}} }

// contains reports whether a session is cached; session 0 never is.
func (c *sessionCache) contains(id uint64) bool {
	_, ok := c.lastUse[id]
	return ok && id != 0
}

// wasCached reports whether a session was cached before its last touch.
func (c *sessionCache) wasCached(id uint64) bool { return id != 0 && c.lastUse[id]&1 == 1 }

// touch records a prompt of a session and evicts the least recently used session if
// there are too many.
func (c *sessionCache) touch(id uint64) {
	if id == 0 {
		return
	}
	_, cached := c.lastUse[id]
	c.clock += 2
	stamp := c.clock
	if cached {
		stamp |= 1
	}
	c.lastUse[id] = stamp
	if len(c.lastUse) <= maxCachedSessions {
		return
	}
	oldest, least := uint64(0), ^uint64(0)
	for k, v := range c.lastUse {
		if v < least {
			oldest, least = k, v
		}
	}
	delete(c.lastUse, oldest)
}
