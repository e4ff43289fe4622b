package sched

import (
	"slices"
	"time"
)

const (
	// demoteSlowness is the slowness relative to the pool's median at which an
	// upstream is demoted.
	demoteSlowness = 2.5
	// restoreSlowness is the slowness below which a demoted upstream is
	// restored.
	restoreSlowness = 1.6
	// minSpeedSamples is the minimum number of answers needed to judge an
	// upstream's speed.
	minSpeedSamples = 3
	// minPeers is the minimum number of upstreams needed for a comparison.
	minPeers = 3
	// demotedSlotDivisor divides the slots of a demoted upstream.
	demotedSlotDivisor = 8
	// overdueFactor is the multiple of a request's expected time after which
	// the running request is overdue.
	overdueFactor = 2.5
	// minOverdue is the minimum number of overdue requests that demotes an
	// upstream, minOverdueRatio their minimum fraction of the requests in
	// flight.
	minOverdue      = 3
	minOverdueRatio = 0.6
	// stragglerCheckInterval is how often upstreams are compared.
	stragglerCheckInterval = time.Second
	// trialInterval is the minimum time between the trial requests of a slow
	// upstream. A trial is a short request that another upstream could finish
	// sooner, sent so that a recovery is noticed.
	trialInterval = 10 * time.Second
)

// straggler holds how an upstream's speed compares to the pool.
type straggler struct {
	demoted bool
	// slowness is the time per token divided by the pool's median.
	slowness float64
	// lastTrial is when the upstream last got a trial request.
	lastTrial time.Duration
	// answers is the number of complete answers since the demotion.
	answers int
}

// findStragglers compares all upstreams with the pool's median, at most once
// per stragglerCheckInterval.
func (d *Dispatcher) findStragglers(now time.Duration) {
	if now < d.nextStragglerCheck || d.params.PlainService {
		return
	}
	d.nextStragglerCheck = now + stragglerCheckInterval
	d.updateFastest(now)
	median, ok := d.medianToken(now)
	if !ok {
		return
	}
	d.slowUpstreams = d.slowUpstreams[:0]
	for _, u := range d.byID {
		d.updateStraggler(now, u, median)
		if u.straggler.demoted || u.straggler.slowness >= restoreSlowness {
			d.slowUpstreams = append(d.slowUpstreams, u)
		}
	}
}

// medianToken returns the median time per token of the live upstreams. It
// returns false where fewer than minPeers have enough samples.
func (d *Dispatcher) medianToken(now time.Duration) (float64, bool) {
	d.scratch = d.scratch[:0]
	for _, u := range d.byID {
		if u.expires > now && u.speed.tokenSamples >= minSpeedSamples {
			d.scratch = append(d.scratch, u.speed.token)
		}
	}
	if len(d.scratch) < minPeers {
		return 0, false
	}
	slices.Sort(d.scratch)
	return d.scratch[len(d.scratch)/2], true
}

func (d *Dispatcher) updateStraggler(now time.Duration, u *upstream, median float64) {
	s := &u.straggler
	s.slowness = u.speed.token / median
	wasDemoted := s.demoted
	slow := u.speed.tokenSamples >= minSpeedSamples && s.slowness >= demoteSlowness
	switch {
	case !s.demoted && (slow || overdue(now, u)):
		s.demoted = true
		s.answers = 0
	case s.demoted && s.answers >= minSpeedSamples && s.slowness < restoreSlowness:
		s.demoted = false
	}
	if s.demoted != wasDemoted {
		d.refresh(now, u)
	}
}

// overdue reports whether most requests in flight on an upstream have run far
// longer than expected. This detects a straggler before it completes any
// request.
func overdue(now time.Duration, u *upstream) bool {
	overdueCount := 0
	for _, r := range u.inFlight {
		if float64(now-r.grantedAt) > overdueFactor*float64(r.expectedTime) {
			overdueCount++
		}
	}
	return overdueCount >= minOverdue && float64(overdueCount) >= minOverdueRatio*float64(len(u.inFlight))
}

// pickTrial returns a slow upstream that is due for a trial request, or nil.
func (d *Dispatcher) pickTrial(now time.Duration, r *request) *upstream {
	if r.class != short || len(d.slowUpstreams) == 0 {
		return nil
	}
	d.nextTrial++
	u := d.slowUpstreams[d.nextTrial%len(d.slowUpstreams)]
	if now-u.straggler.lastTrial < trialInterval || !d.hasRoom(now, u, short) {
		return nil
	}
	if now+d.score(now, u, r).total > r.offer.Deadline {
		return nil
	}
	u.straggler.lastTrial = now
	return u
}

// updateFastest recomputes the best speeds of the live upstreams and the pool's
// average.
func (d *Dispatcher) updateFastest(now time.Duration) {
	best := d.poolSpeed
	for _, u := range d.byID {
		if u.expires <= now || u.draining || u.straggler.demoted {
			continue
		}
		s := &u.blendedSpeed
		best.prefill = min(best.prefill, s.prefill)
		best.token = min(best.token, s.token)
	}
	d.fastest = best
}
