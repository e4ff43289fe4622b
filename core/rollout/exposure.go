package rollout

import (
	"math"
	"time"
)

const (
	// trialReservation is the part of the bound that the trial plans to use, so that the
	// first step of the shift fits into the rest.
	trialReservation = 0.6
	// slackReservation is the part of the slack that is used by design; the rest is for
	// requests in transit at a change of leader.
	slackReservation = 0.5
	// blockTime is the time for which a block that is reserved in advance lasts, beyond a
	// burst. An unused block is lost with its leader.
	blockTime = 500 * time.Millisecond
	// burst is the number of reserved requests with which a trial goes on. They are granted
	// in turn, so that one or two upstreams of the target run under full load.
	burst = 10
	// rateInterval is the time over which the rate of requests is measured.
	rateInterval = 500 * time.Millisecond
)

// exposure counts the requests of the pool and those that the target may have got.
type exposure struct {
	params Params
	// requests is a lower bound of the requests since the order.
	requests uint64
	// used is an upper bound of the target's requests; limit is the committed reservation.
	used  uint64
	limit uint64
	// proposed is the highest reservation that this controller proposed.
	proposed uint64
	// claimed is set once a command of this controller was committed. What was reserved
	// until then belongs to earlier leaders.
	claimed bool
	// bursting is set while the target gets requests of a trial.
	bursting bool
	// perSecond is the rate of requests; measuredAt and measuredRequests are from its last
	// measurement.
	perSecond        float64
	measuredAt       time.Duration
	measuredRequests uint64
}

func newExposure(now time.Duration, p Params, r Record) exposure {
	return exposure{
		params: p, requests: r.Requests, used: r.Reserved, limit: r.Reserved, proposed: r.Reserved,
		measuredAt: now, measuredRequests: r.Requests,
	}
}

func (e *exposure) countRequest() { e.requests++ }

func (e *exposure) countTry() {
	e.used++
	e.bursting = e.bursting && e.used < e.limit
}

// isReserved reports whether one more request of the target is within the reservation.
func (e *exposure) isReserved() bool { return e.claimed && e.used < e.limit }

// isBursting reports whether one more request of a trial is within the reservation, and
// enough are for a burst.
func (e *exposure) isBursting() bool { return e.isReserved() && e.bursting }

// bound returns a fraction of the number of requests that a version may get until it is
// trusted.
func (e *exposure) bound(fraction float64) uint64 {
	return uint64(fraction * (e.params.Share*float64(e.requests) + slackReservation*float64(e.params.Slack)))
}

// measureRate updates the rate of requests.
func (e *exposure) measureRate(now time.Duration) {
	if now < e.measuredAt+rateInterval {
		return
	}
	e.perSecond = float64(e.requests-e.measuredRequests) / (now - e.measuredAt).Seconds()
	e.measuredAt, e.measuredRequests = now, e.requests
}

// block returns how many requests are reserved in advance.
func (e *exposure) block() uint64 {
	return burst + uint64(math.Ceil(e.perSecond*blockTime.Seconds()))
}

// nextReservation returns the reservation to propose. That of a trusted version is not
// bounded.
func (e *exposure) nextReservation(fraction float64, trusted bool) uint64 {
	if !e.claimed {
		return e.limit
	}
	next := e.used + e.block()
	if !trusted {
		next = min(next, e.bound(fraction))
	}
	return max(e.limit, e.proposed, next)
}

// needs reports whether a reservation is worth a command of its own.
func (e *exposure) needs(reserved uint64) bool {
	return reserved > e.limit && e.used+e.block()/2 >= e.limit
}

// propose records a proposed reservation.
func (e *exposure) propose(reserved uint64) { e.proposed = max(e.proposed, reserved) }

// commit takes over the reservation of a committed record.
func (e *exposure) commit(r Record) {
	if !e.claimed || r.Reserved > e.proposed {
		// Another leader reserved this; which part of it was used is not known.
		e.used = max(e.used, r.Reserved)
	}
	e.claimed = true
	e.bursting = e.bursting || e.used+burst <= max(e.limit, r.Reserved)
	e.limit = max(e.limit, r.Reserved)
	e.proposed = max(e.proposed, e.limit)
}
