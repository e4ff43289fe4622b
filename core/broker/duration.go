package broker

import "time"

// ExpectedDuration estimates the time from the grant of a request to the end of its response, with
// the longest response that it allows, at an upstream of its pool; at the slowest one if upstream
// is empty or unknown. It returns false if nothing tells how long the response may get.
func (b *Broker) ExpectedDuration(o Offer, upstream string) (time.Duration, bool) {
	p := b.pools[o.Pool]
	if p == nil || len(p.order) == 0 || p.engine != nil && o.MaxOutputTokens == 0 {
		return 0, false
	}
	req := &request{Offer: o}
	req.OutputTokens = max(o.OutputTokens, o.MaxOutputTokens)
	if u := p.upstreams[upstream]; u != nil {
		return p.duration(req, u), true
	}
	longest := time.Duration(0)
	for _, u := range p.order {
		longest = max(longest, p.duration(req, u))
	}
	return longest, true
}

// duration estimates how long an upstream takes from the start of a request to the end of its
// response.
func (p *pool) duration(req *request, u *upstream) time.Duration {
	return p.prefillTime(req, u) + p.decodeTime(req, u)
}
