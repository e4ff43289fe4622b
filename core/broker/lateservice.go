package broker

import "time"

// abandonMargin is the part of the time to a request's first event that is kept free: the
// event must reach the caller before it gives up.
const abandonMargin = 100 * time.Millisecond

// minLateShare is the part of the capacity of a rank that the estimate for late requests
// assumes at least: bursts end while they wait. With less, requests are refused that could be
// served after the burst; with more, requests wait that are refused in the end.
const minLateShare = 0.5

// extendService lets a request wait as long as its caller does, so that the answer ends before
// the deadline.
func (x *poolOverload) extendService(p *pool, req *request) {
	if req.AbandonAt > 0 {
		req.LatestUseful = max(req.LatestUseful, req.AbandonAt-abandonMargin)
	}
	if req.Deadline > 0 {
		req.LatestUseful = min(req.LatestUseful, req.Deadline-seconds(p.slotTime(req))-abandonMargin)
	}
}

// waitBehind estimates how long a request waits behind the requests ahead of it.
func (p *pool) waitBehind(r *round, req *request, ahead float64) time.Duration {
	if p.overload != nil && req.late && !req.committed {
		return p.lateQueueWait(r, req, ahead)
	}
	return p.queueWait(r.now, req.Rank, ahead, r.slots)
}

// lateQueueWait estimates how long a late request waits: also behind the arrivals of its own
// rank that can be on time.
func (p *pool) lateQueueWait(r *round, req *request, ahead float64) time.Duration {
	spare := p.spareSlots(r.now, req.Rank, r.slots)
	return seconds(ahead / max(spare-p.load.rank(r.now, req.Rank), spare*minLateShare))
}

// lateWait estimates how long a request waits that can't be on time any more, given the wait of
// one that can.
func (p *pool) lateWait(r *round, req *request, wait time.Duration, ahead float64) time.Duration {
	if p.overload == nil || req.committed {
		return wait
	}
	return r.limitWait + p.lateQueueWait(r, req, ahead)
}
