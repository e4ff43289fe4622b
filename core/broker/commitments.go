package broker

import "time"

const (
	// DefaultMaxCommitments is the default bound of the commitments of a broker. It exceeds
	// the refusals that name a time within maxRetryDelay at 2,000 requests a second.
	DefaultMaxCommitments = 10_000
	// DefaultReturnShare is the default part of a rank's capacity that is committed to refused
	// requests at least; all that the load of the rank leaves is committed as well. Each request
	// that returns late in place of a first arrival that could be on time costs half its value.
	DefaultReturnShare = 0.1
	// returnTolerance is how early a request may return: callers' clocks and the rounding of
	// the time that they are told differ by less.
	returnTolerance = 20 * time.Millisecond
	// returnWindow is how long after the time in its refusal a request may return.
	returnWindow = 2 * time.Second
	// retryTimeDivisor divides the time that a caller has left to give the longest retry
	// delay that it honours. retryTimeMargin is subtracted for the way to the caller.
	retryTimeDivisor = 3
	retryTimeMargin  = 50 * time.Millisecond
)

// Commitment is a refusal that names a time at which the request is served if it returns.
type Commitment struct {
	Fingerprint uint64
	// Due is the time from which on the request may return.
	Due time.Duration
}

// Accepts reports whether a request that arrives now returns as it was told to.
func (c Commitment) Accepts(now time.Duration) bool {
	return now >= c.Due-returnTolerance && !c.IsExpired(now)
}

// IsExpired reports whether the time to return is over.
func (c Commitment) IsExpired(now time.Duration) bool { return now > c.Due+returnWindow }

// commitment is a commitment with the request that it was made to.
type commitment struct {
	Commitment
	pool string
	rank int
}

// commitments holds the commitments of a broker, by fingerprint. A request is known by its
// fingerprint, since callers return to any entry and use a new request id for each attempt.
// It is bounded: each commitment is removed when it is used or has expired.
type commitments struct {
	limit int
	byID  map[uint64]commitment
	// order lists commitments by the time at which they were made.
	order []Commitment
	// fresh collects those that Commitments has not returned yet.
	fresh []Commitment
}

func newCommitments(x Overload) commitments {
	limit := x.MaxCommitments
	if limit <= 0 {
		limit = DefaultMaxCommitments
	}
	return commitments{limit: limit, byID: map[uint64]commitment{}}
}

// expire removes commitments from the front of order that are used or expired. A retry delay
// is shorter than maxRetryDelay, so that few expired ones stay behind one that is not.
func (c *commitments) expire(now time.Duration) {
	n := 0
	for _, x := range c.order {
		if y, ok := c.byID[x.Fingerprint]; ok && y.Commitment == x {
			if !x.IsExpired(now) {
				break
			}
			delete(c.byID, x.Fingerprint)
		}
		n++
	}
	c.order = c.order[n:]
}

// add records a commitment. It returns false if there are too many.
func (c *commitments) add(now time.Duration, x commitment) bool {
	c.expire(now)
	if len(c.order) >= c.limit {
		return false
	}
	c.byID[x.Fingerprint] = x
	c.order = append(c.order, x.Commitment)
	if len(c.fresh) < c.limit {
		c.fresh = append(c.fresh, x.Commitment)
	}
	return true
}

// recognise marks a request that the broker refused before. One that returns when it was told
// to is placed before the first arrivals of its rank and uses up the commitment. One that
// returns early is treated as a first arrival, and gets no further commitment. The commitment
// remains: the early request may be another one with the same content.
func (o *overload) recognise(now time.Duration, req *request) {
	x, ok := o.commitments.byID[req.Fingerprint]
	if !ok || x.pool != req.Pool || x.rank != req.Rank || x.IsExpired(now) {
		return
	}
	req.returned = true
	if !x.Accepts(now) {
		o.stats.Early++
		return
	}
	delete(o.commitments.byID, req.Fingerprint)
	o.stats.Returned++
	req.committed = true
	// The caller counts the latency target from its first attempt.
	req.late = true
}

// NewCommitments returns the commitments since the last call, for followers that refuse
// requests of ranks that are shed.
func (b *Broker) NewCommitments() []Commitment {
	if b.overload == nil {
		return nil
	}
	out := b.overload.commitments.fresh
	b.overload.commitments.fresh = nil
	return out
}

// returnRoom is the capacity of a rank that is committed to requests that will return. Each
// commitment takes the next part of the time in which the rank has room.
type returnRoom struct {
	bookedUntil time.Duration
}

// due returns when a request with the given slot time may return if the rank has the given
// number of slots for returns, and the new end of the booked time.
func (x *returnRoom) due(now time.Duration, slotTime, slots float64) (due, bookedUntil time.Duration) {
	due = max(now+minRetryDelay, x.bookedUntil)
	return due, due + seconds(slotTime/slots)
}

// spreadRetry returns a delay up to the longest that the caller honours: near that one if the
// given delay is longer, so that callers return after the burst, and not all at once.
func (r *round) spreadRetry(req *request, delay, longest time.Duration) time.Duration {
	if delay <= longest {
		return delay
	}
	spread := time.Duration(hashFraction(req.ID.Number) * float64(longest) / 2)
	return max(minRetryDelay, longest-spread)
}

// retryAfter returns the retry delay of a refusal, and commits room to the request if there is
// some within the time that the caller waits. Otherwise it returns the given delay.
func (x *poolOverload) retryAfter(r *round, p *pool, req *request, otherwise time.Duration) time.Duration {
	rank := &x.ranks[rankIndex(req.Rank)]
	rank.shares.activate(r.now)
	if req.Fingerprint == 0 || req.returned || req.Resumes != 0 {
		return otherwise
	}
	spare := p.spareSlots(r.now, req.Rank, r.slots)
	slots := max(x.overload.returnShare*spare, spare-p.load.rank(r.now, req.Rank))
	slotTime := p.slotTime(req)
	total, totalUntil := rank.room.due(r.now, slotTime, slots)
	own, ownUntil := rank.shares.roomOf(r.now, req.Workspace).due(r.now, slotTime, slots/rank.shares.count())
	longest := min(maxRetryDelay, (req.Deadline-r.now)/retryTimeDivisor-retryTimeMargin)
	if longest < minRetryDelay {
		return otherwise
	}
	room := max(total, own)
	if room-r.now > longest {
		return min(maxRetryDelay, max(otherwise, room-r.now))
	}
	due := max(room, r.now+r.spreadRetry(req, otherwise, longest))
	c := commitment{Commitment: Commitment{Fingerprint: req.Fingerprint, Due: due}, pool: req.Pool, rank: req.Rank}
	if !x.overload.commitments.add(r.now, c) {
		return otherwise
	}
	rank.room.bookedUntil = totalUntil
	rank.shares.roomOf(r.now, req.Workspace).bookedUntil = ownUntil
	x.overload.stats.Committed++
	return due - r.now
}
