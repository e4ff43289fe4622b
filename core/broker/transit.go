package broker

import "time"

const (
	// maxTransitFactor bounds how many requests of a plain service may be granted per
	// slot of its upstream. Upstreams queue several requests per slot and reject
	// further ones.
	maxTransitFactor = 4
	// maxEngineTransitFactor is the same for engines. They run a request for much longer than
	// messages travel, and one that waits there can't give way to a higher rank any more.
	maxEngineTransitFactor = 1.5
	// transitWeight is the weight of a new observation in the averages of transit times.
	transitWeight = 0.05
)

// transits holds the learned transit times of a pool, in seconds: how long messages
// between regions take, apart from the work at the upstream.
type transits struct {
	// grants holds, by the region of the entry, the time that a grant takes there.
	grants map[string]float64
	// calls holds, by the regions of entry and upstream, the average time of calls as
	// the entry sees it; localCalls is the average within regions.
	calls      map[regionPair]float64
	localCalls float64
}

// regionPair is the regions of an entry and of an upstream.
type regionPair struct{ entry, upstream string }

func newTransits() transits {
	return transits{grants: map[string]float64{}, calls: map[regionPair]float64{}}
}

// grant returns the estimated time that a grant takes to the entry of a request.
func (t *transits) grant(req *request) time.Duration { return seconds(t.grants[req.Region]) }

// call returns the round trip between the region of a request's entry and that of an
// upstream, in seconds: by how much calls between them take longer than those within a
// region. It is zero before both were observed.
func (t *transits) call(entry, upstream string) float64 {
	observed := t.calls[regionPair{entry, upstream}]
	if entry == upstream || observed == 0 || t.localCalls == 0 {
		return 0
	}
	return max(0, observed-t.localCalls)
}

// learnGrant updates the transit of grants. The time from grant to release that the
// entry does not account for is that of the grant and of the release, which take the
// same way.
func (t *transits) learnGrant(hold time.Duration, req *request, e End) {
	transit := max(0, hold-e.TimeToFirstEvent-e.DecodeTime).Seconds() / 2
	t.grants[req.Region] = movingAverage(t.grants[req.Region], transit, transitWeight)
}

// learnCall updates the average time of calls between two regions.
func (t *transits) learnCall(entry, upstream string, observed float64) {
	if entry == upstream {
		t.localCalls = movingAverage(t.localCalls, observed, transitWeight)
		return
	}
	way := regionPair{entry, upstream}
	t.calls[way] = movingAverage(t.calls[way], observed, transitWeight)
}

// learnCall updates the times of a plain service from a completed call.
func (p *pool) learnCall(req *request, hold time.Duration, e End) {
	u := req.assigned
	p.transits.learnCall(req.Region, u.Region, e.TimeToFirstEvent.Seconds())
	observed := max(0, e.TimeToFirstEvent.Seconds()-p.transits.call(req.Region, u.Region))
	u.beginTimes(req.bornAtGrant)
	u.times.callTime = movingAverage(u.times.callTime, observed, upstreamWeight)
	p.times.callTime = movingAverage(p.times.callTime, observed, poolWeight)
	u.times.holdTime = movingAverage(u.times.holdTime, hold.Seconds(), upstreamWeight)
	p.times.holdTime = movingAverage(p.times.holdTime, hold.Seconds(), poolWeight)
}

// learnRun updates how long grants of an engine are held and how long the engine runs them.
func (u *upstream) learnRun(hold time.Duration, e End) {
	u.times.runTime = movingAverage(u.times.runTime, (e.TimeToFirstEvent + e.DecodeTime).Seconds(), transitWeight)
	u.times.holdTime = movingAverage(u.times.holdTime, hold.Seconds(), transitWeight)
}

// transitFactor returns how many grants per slot keep the slots of an upstream busy, by
// Little's law: the time that a grant is held over the time that its request is at the
// upstream. It is 1 until both are known.
func (t *upstreamTimes) transitFactor() float64 {
	limit, atUpstream := float64(maxTransitFactor), t.callTime
	if t.runTime > 0 {
		limit, atUpstream = maxEngineTransitFactor, t.runTime
	}
	if atUpstream <= 0 || t.holdTime <= atUpstream {
		return 1
	}
	return min(limit, t.holdTime/atUpstream)
}

// slotWait estimates how long a request that is granted now waits for a slot of an engine whose
// slots are all granted: one becomes free every runTime/Slots, also while the grant travels.
func (p *pool) slotWait(req *request, u *upstream) time.Duration {
	ahead := len(u.inFlight) - u.Slots + 1
	if p.engine == nil || ahead <= 0 {
		return 0
	}
	return max(0, seconds(float64(ahead)*u.times.runTime/float64(u.Slots))-2*p.transits.grant(req))
}
