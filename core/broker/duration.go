package broker

import (
	"slices"
	"time"
)

// ExpectedDuration estimates the time from the grant of a request to the end of a response of
// OutputTokens at an upstream of its pool: at the fastest one if upstream is empty, at the slowest
// if the broker does not know it yet. It returns false if nothing tells how long the response gets.
func (b *Broker) ExpectedDuration(o Offer, upstream string) (time.Duration, bool) {
	p := b.pools[o.Pool]
	if p == nil || p.engine != nil && o.OutputTokens == 0 {
		return 0, false
	}
	req := &request{Offer: o}
	if u := p.upstreams[upstream]; u != nil {
		return p.duration(req, u), true
	}
	durations := []time.Duration{}
	for _, u := range p.order {
		if !u.isLeaving() {
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

// duration estimates how long an upstream takes from the start of a request to the end of its
// response.
func (p *pool) duration(req *request, u *upstream) time.Duration {
	return p.prefillTime(req, u) + p.decodeTime(req, u)
}
