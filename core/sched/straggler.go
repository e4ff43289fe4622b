package sched

import (
	"slices"
	"time"
)

const (
	// demoteAt is how many times slower than its peers an upstream is demoted.
	demoteAt = 2.5
	// restoreAt is below how many times it is restored.
	restoreAt = 1.6
	// minSamples is how many answers must show its speed.
	minSamples = 3
	// minPeers is how many upstreams a comparison needs.
	minPeers = 3
	// trickleDivisor divides the slots of a demoted upstream.
	trickleDivisor = 8
	// overdueAt is how many times its expected time a request must have run to
	// count as overdue.
	overdueAt = 2.5
	// overdueLeast is the fewest overdue requests that demote, and overduePart
	// their part of all in flight.
	overdueLeast = 3
	overduePart  = 0.6
	// sweepEvery is how often peers are compared.
	sweepEvery = time.Second
	// trialPause is how often a slow upstream is given a short request that
	// another could finish sooner, so that its recovery shows.
	trialPause = 10 * time.Second
)

// straggler is an upstream's standing against its peers.
type straggler struct {
	demoted bool
	// slowness is its time per token over the median of the pool.
	slowness float64
	// lastTrial is when it last was given a trial request.
	lastTrial time.Duration
	// answers counts those since it was demoted.
	answers int
}

// sweep compares all upstreams with the median of the pool.
func (d *Dispatcher) sweep(now time.Duration) {
	if now < d.nextSweep || d.params.Plain {
		return
	}
	d.nextSweep = now + sweepEvery
	d.findFastest(now)
	median, ok := d.medianToken(now)
	if !ok {
		return
	}
	d.probation = d.probation[:0]
	for _, u := range d.byID {
		d.judge(now, u, median)
		if u.straggler.demoted || u.straggler.slowness >= restoreAt {
			d.probation = append(d.probation, u)
		}
	}
}

// medianToken returns the median time per token of live upstreams.
func (d *Dispatcher) medianToken(now time.Duration) (float64, bool) {
	d.scratch = d.scratch[:0]
	for _, u := range d.byID {
		if u.expires > now && u.speed.tokenSeen >= minSamples {
			d.scratch = append(d.scratch, u.speed.token)
		}
	}
	if len(d.scratch) < minPeers {
		return 0, false
	}
	slices.Sort(d.scratch)
	return d.scratch[len(d.scratch)/2], true
}

func (d *Dispatcher) judge(now time.Duration, u *upstream, median float64) {
	s := &u.straggler
	s.slowness = u.speed.token / median
	was := s.demoted
	slow := u.speed.tokenSeen >= minSamples && s.slowness >= demoteAt
	switch {
	case !s.demoted && (slow || overdue(now, u)):
		s.demoted = true
		s.answers = 0
	case s.demoted && s.answers >= minSamples && s.slowness < restoreAt:
		s.demoted = false
	}
	if s.demoted != was {
		d.refresh(now, u)
	}
}

// overdue says whether most of what runs on an upstream takes far longer than
// it should have: a straggler shows so before it finishes anything.
func overdue(now time.Duration, u *upstream) bool {
	late := 0
	for _, r := range u.inFlight {
		if float64(now-r.granted) > overdueAt*float64(r.expected) {
			late++
		}
	}
	return late >= overdueLeast && float64(late) >= overduePart*float64(len(u.inFlight))
}

// trial returns a slow upstream that is due a short request, or nil.
func (d *Dispatcher) trial(now time.Duration, r *request) *upstream {
	if r.class != short || len(d.probation) == 0 {
		return nil
	}
	d.nextTrial++
	u := d.probation[d.nextTrial%len(d.probation)]
	if now-u.straggler.lastTrial < trialPause || !d.room(now, u, short) {
		return nil
	}
	if now+d.score(now, u, r).total > r.offer.Deadline {
		return nil
	}
	u.straggler.lastTrial = now
	return u
}

// findFastest notes the best speeds that live upstreams have shown, or the
// pool's average.
func (d *Dispatcher) findFastest(now time.Duration) {
	best := d.pool
	for _, u := range d.byID {
		if u.expires <= now || u.leaving || u.straggler.demoted {
			continue
		}
		s := &u.known
		best.prefill = min(best.prefill, s.prefill)
		best.token = min(best.token, s.token)
	}
	d.fastest = best
}
