package broker

import "time"

const (
	// sheddingWindow is the time over which the fate of new requests is counted, in two
	// halves.
	sheddingWindow = 100 * time.Millisecond
	// minShedRequests is how many new requests of a rank must be refused within the
	// window, and none accepted, for the rank to be shed.
	minShedRequests = 8
)

// Shedding is a rank of a pool whose new requests are all refused because of overload.
type Shedding struct {
	Pool string
	Rank int
	// Wait is the estimated wait of the last of them.
	Wait time.Duration
}

// admissions counts, by rank, the new requests of a pool that were accepted and refused.
type admissions struct {
	halfStarted       time.Duration
	current, previous [maxRanks]admission
}

type admission struct {
	accepted, refused int
	wait              time.Duration
}

func (a *admissions) advance(now time.Duration) {
	switch elapsed := now - a.halfStarted; {
	case elapsed < sheddingWindow/2:
		return
	case elapsed < sheddingWindow:
		a.previous = a.current
	default:
		a.previous = [maxRanks]admission{}
	}
	a.current = [maxRanks]admission{}
	a.halfStarted = now
}

// record counts the fate of a request in its first round; further calls for the same
// request have no effect. Requests that return as they were told to are not counted: followers
// pass them on although they refuse the rank.
func (a *admissions) record(now time.Duration, req *request, accepted bool, wait time.Duration) {
	if req.admissionCounted || req.committed {
		return
	}
	req.admissionCounted = true
	a.advance(now)
	c := &a.current[rankIndex(req.Rank)]
	if accepted {
		c.accepted++
		return
	}
	c.refused++
	c.wait = wait
}

// Shedding returns the ranks whose new requests are all refused. Their requests need not be
// offered for about as long as the refusals were counted: the broker would refuse them too.
func (b *Broker) Shedding(now time.Duration) []Shedding {
	out := []Shedding{}
	for _, p := range b.pools {
		p.admissions.advance(now)
		for rank := range maxRanks - 1 {
			c, old := p.admissions.current[rank], p.admissions.previous[rank]
			if c.accepted+old.accepted == 0 && c.refused+old.refused >= minShedRequests {
				out = append(out, Shedding{Pool: p.name, Rank: rank, Wait: max(c.wait, old.wait)})
			}
		}
	}
	return out
}

// RetryDelay returns when a caller that is refused because of overload should retry, given
// the estimated wait and the number of its request: after the wait, plus up to as long
// again, so that refused callers do not retry all at once.
func RetryDelay(number uint64, wait time.Duration) time.Duration {
	after := wait + time.Duration(hashFraction(number)*float64(max(wait, minRetryDelay)))
	return min(maxRetryDelay, max(minRetryDelay, after))
}

// hashFraction returns a multiplicative hash of a number, in [0, 1). It is deterministic.
func hashFraction(number uint64) float64 { return float64((number*2654435761)%1000) / 1000 }
