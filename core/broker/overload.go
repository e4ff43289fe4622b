package broker

import "time"

// Overload holds the settings of the decisions under overload: commitments to refused callers,
// fair sharing between workspaces of a rank, and late service.
type Overload struct {
	// MaxCommitments bounds the refused requests that are remembered; zero means
	// DefaultMaxCommitments.
	MaxCommitments int
	// ReturnShare is the part of a rank's capacity that is committed to refused requests at
	// least; zero means DefaultReturnShare.
	ReturnShare float64
}

// OverloadStats counts decisions under overload since the broker was created.
type OverloadStats struct {
	// Committed refusals name a time at which the request is served if it returns.
	Committed uint64
	// Returned requests came back in the time that their refusal named, Early ones before it.
	Returned uint64
	Early    uint64
	// Kept and Broken commitments are those of returned requests that were granted or
	// refused.
	Kept   uint64
	Broken uint64
	// Late requests were granted after they could be on time, GivenUp ones refused after that.
	Late    uint64
	GivenUp uint64
	// Reordered requests were queued behind other workspaces of their rank that had used less.
	Reordered uint64
	// Preempted requests were refused while a burst of a higher rank began.
	Preempted uint64
}

// overload is the state of the decisions under overload that belongs to no pool.
type overload struct {
	returnShare float64
	weights     shareWeights
	commitments commitments
	stats       OverloadStats
}

// poolOverload is the part of the state that belongs to a pool. The methods that other modules
// call may be called on nil, which decides nothing.
type poolOverload struct {
	overload *overload
	ranks    [maxRanks]rankOverload
	recent   load
}

// rankOverload is the state of one rank of a pool.
type rankOverload struct {
	shares shares
	room   returnRoom
}

// requestOverload is the state of a request.
type requestOverload struct {
	// committed is true if the request returned when it was told to.
	committed bool
	// returned is true if the broker refused the same request before.
	returned bool
	// shareTag is the position in the fair order of the request's rank; shareCost is what its
	// workspace is charged, in output tokens over the weight of the workspace.
	shareTag    float64
	shareCost   float64
	shareWeight float64
}

// SetOverload enables the decisions under overload. Call it before the first offer.
func (b *Broker) SetOverload(x Overload) {
	if x.ReturnShare == 0 {
		x.ReturnShare = DefaultReturnShare
	}
	b.overload = &overload{returnShare: x.ReturnShare, commitments: newCommitments(x)}
	b.overload.setTable(b.table)
	for _, p := range b.pools {
		p.overload = newPoolOverload(b.overload)
	}
}

// OverloadStats returns the decisions so far, and false if they are not enabled.
func (b *Broker) OverloadStats() (OverloadStats, bool) {
	if b.overload == nil {
		return OverloadStats{}, false
	}
	return b.overload.stats, true
}

func newPoolOverload(o *overload) *poolOverload {
	if o == nil {
		return nil
	}
	return &poolOverload{overload: o, recent: load{window: recentLoadWindow}}
}

// admit sets the state of a new request before it is queued.
func (x *poolOverload) admit(now time.Duration, p *pool, req *request) {
	if x == nil {
		return
	}
	x.overload.recognise(now, req)
	x.extendService(p, req)
	x.recent.add(now, req.Rank, p.slotTime(req))
	x.charge(now, p, req)
}

// grantedRequest records the grant of a request that waited.
func (x *poolOverload) grantedRequest(req *request) {
	if x == nil {
		return
	}
	switch {
	case req.committed:
		x.overload.stats.Kept++
	case req.late:
		x.overload.stats.Late++
	}
}

// refuseOverloaded refuses a request that would be served too late.
func (b *Broker) refuseOverloaded(p *pool, r *round, req *request, wait time.Duration, reason string) {
	after := RetryDelay(req.ID.Number, wait)
	if x := p.overload; x != nil {
		after = x.retryAfter(r, p, req, after)
		if usual := p.load.higherRanks(r.now, req.Rank); x.higherRanks(r.now, req.Rank, usual) > usual {
			x.overload.stats.Preempted++
		}
		switch {
		case req.committed:
			x.overload.stats.Broken++
		case req.late:
			x.overload.stats.GivenUp++
		}
	}
	b.refuse(req, Overloaded, after, reason)
}
