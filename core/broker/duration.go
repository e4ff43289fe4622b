package broker

import (
	"slices"
	"time"
)

// DurationBasis is what an estimated duration was measured at.
type DurationBasis uint8

const (
	// NoBasis means that there is no estimate: the length of the response is unknown, or no
	// upstream of the pool has been measured.
	NoBasis DurationBasis = iota
	// PoolBasis means that other upstreams of the pool were measured. They may be several times as
	// fast.
	PoolBasis
	// UpstreamBasis means that the upstream itself was measured.
	UpstreamBasis
)

// String returns the basis as log lines name it.
func (b DurationBasis) String() string {
	switch b {
	case PoolBasis:
		return "pool"
	case UpstreamBasis:
		return "upstream"
	default:
		return "none"
	}
}

// DurationEstimate is an estimate of the time from the grant of a request to the end of its response.
type DurationEstimate struct {
	Duration time.Duration
	Basis    DurationBasis
}

// ExpectedDuration estimates the time from the grant of a request to the end of a response of
// OutputTokens at an upstream of its pool: at the fastest one if upstream is empty, at the slowest
// that was measured if the upstream itself was not.
func (b *Broker) ExpectedDuration(o Offer, upstream string) DurationEstimate {
	p := b.pools[o.Pool]
	if p == nil || p.engine != nil && o.OutputTokens == 0 {
		return DurationEstimate{}
	}
	req := &request{Offer: o}
	if u := p.upstreams[upstream]; u != nil && p.isMeasured(u) {
		return DurationEstimate{Duration: p.duration(req, u), Basis: UpstreamBasis}
	}
	durations := []time.Duration{}
	for _, u := range p.order {
		if !u.isLeaving() && p.isMeasured(u) {
			durations = append(durations, p.duration(req, u))
		}
	}
	switch {
	case len(durations) == 0:
		return DurationEstimate{}
	case upstream == "":
		return DurationEstimate{Duration: slices.Min(durations), Basis: PoolBasis}
	}
	return DurationEstimate{Duration: slices.Max(durations), Basis: PoolBasis}
}

// isMeasured reports whether the speed of an upstream's process is known: that of one that has just
// started is not.
func (p *pool) isMeasured(u *upstream) bool {
	if u.hasReplaced(u.times.born) {
		return false
	}
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
