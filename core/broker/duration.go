package broker

import (
	"slices"
	"time"
)

// ExpectedDuration estimates the time from the grant of a request to the end of a response of
// OutputTokens at an upstream of its pool: at the fastest one if upstream is empty, at the slowest
// if the speed of the upstream is not known yet. It returns false if nothing tells how long the
// response gets, or no upstream of the pool has been measured.
func (b *Broker) ExpectedDuration(o Offer, upstream string) (time.Duration, bool) {
	p := b.pools[o.Pool]
	if p == nil || p.engine != nil && o.OutputTokens == 0 {
		return 0, false
	}
	req := &request{Offer: o}
	if u := p.upstreams[upstream]; u != nil && p.isMeasured(u) {
		return p.duration(req, u), true
	}
	durations := []time.Duration{}
	for _, u := range p.order {
		if !u.isLeaving() && p.isMeasured(u) {
			durations = append(durations, p.duration(req, u))
		}
	}
	switch {
	case len(durations) == 0:
		return 0, false
	case upstream == "":
		return slices.Min(durations), true
	}
	return slices.Max(durations), true
}

// isMeasured reports whether the speed of an upstream is known: that of one that has just started
// is not.
func (p *pool) isMeasured(u *upstream) bool {
	if p.engine == nil {
		return u.times.callTime > 0
	}
	return u.times.tokenTime > 0
}

// duration estimates how long an upstream takes from the start of a request to the end of its
// response.
func (p *pool) duration(req *request, u *upstream) time.Duration {
	return p.prefillTime(req, u) + p.decodeTime(req, u)
}
