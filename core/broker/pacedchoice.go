package broker

import (
	"slices"
	"time"

	"github.com/verbenastep/verbenastep/core/suspects"
)

// pacedWaitShare is the part of the time from a request's arrival to its latency target within
// which another upstream must be able to serve it, by the estimate, for the request to be kept
// from an upstream in slow start. The rest covers the error of the estimate.
const pacedWaitShare = 0.25

// paced is the part of a round that concerns upstreams in slow start; nil if there are none.
type paced struct {
	// held lists the upstreams whose window is full but that have free slots.
	held []*upstream
	// steady holds the capacity and the times of the upstreams that are not in slow start.
	// steadyUpstreams lists them.
	steady          *round
	steadyUpstreams []*upstream
	// ahead is the time for which the requests that were passed over hold a slot, in seconds.
	ahead float64
}

// hold adds an upstream whose window is full.
func (r *round) hold(u *upstream) {
	if r.paced == nil {
		r.paced = &paced{}
	}
	r.paced.held = append(r.paced.held, u)
}

// addSteady collects the upstreams that are not in slow start, if any is, without those that the
// pool's rollout restricts: no request can wait for them.
func (p *pool) addSteady(r *round) {
	if p.opening == 0 {
		return
	}
	if r.paced == nil {
		r.paced = &paced{}
	}
	steady := &round{now: r.now, share: r.share, minCallTimes: map[string]float64{}}
	for _, u := range p.order {
		if p.versions.isRestricted(u) {
			continue
		}
		if u.isLeaving() || u.Silent || u.health.isUnavailable(r.now) || !u.window.isOpen() || u.limitWait(r.now, r.share) > 0 {
			continue
		}
		if slots := p.usableSlots(u, u.capacity(r.now, r.share), r.share); slots > 0 {
			steady.slots += slots
			r.paced.steadyUpstreams = append(r.paced.steadyUpstreams, u)
			steady.addTimes(p, u)
		}
	}
	r.paced.steady = steady
}

// closeWindow keeps an upstream whose window is full for requests that need it, and removes it
// from those once it has no free slot.
func (r *round) closeWindow(u *upstream) {
	if u.window.isOpen() || r.paced == nil {
		return
	}
	r.paced.held = slices.DeleteFunc(r.paced.held, func(o *upstream) bool { return o == u })
	if len(u.inFlight) < u.capacity(r.now, r.share) && u.limitWait(r.now, r.share) == 0 {
		r.paced.held = append(r.paced.held, u)
	}
}

// hasRoom reports whether any upstream has a free slot, within its window or beyond.
func (r *round) hasRoom() bool { return len(r.open) > 0 || r.paced != nil && len(r.paced.held) > 0 }

// noneHeldFor reports whether no upstream whose window is full can get requests of an entry now.
func (r *round) noneHeldFor(entry string) bool {
	return r.paced == nil || !slices.ContainsFunc(r.paced.held, func(u *upstream) bool { return u.isOpenTo(r.now, entry) })
}

// chooseHeld returns the choice for a request if upstreams beyond their window count, given the
// choice without them. They are used only if the request would not be on time otherwise.
func (p *pool) chooseHeld(r *round, req *request, stage suspects.Stage, u *upstream, first time.Duration) (*upstream, time.Duration) {
	if r.paced == nil || len(r.paced.held) == 0 || p.isOnTime(r, req, u, first) || p.isServedInTime(r, req) {
		return u, first
	}
	open := r.open
	r.open = r.paced.held
	held, heldFirst := p.choose(r, req, stage)
	r.open = open
	if held == nil || u != nil && !p.isOnTime(r, req, held, heldFirst) {
		return u, first
	}
	return held, heldFirst
}

// isOnTime reports whether a request is on time on an upstream that may be nil.
func (p *pool) isOnTime(r *round, req *request, u *upstream, first time.Duration) bool {
	return u != nil && r.now+p.transits.grant(req)+first <= req.LatencyTarget
}

// isServedInTime reports whether the upstreams that are not in slow start can serve a request in
// time, by the estimate, though none of them may be free now. Requests that can't use all
// upstreams, and late ones, are never kept waiting for them.
func (p *pool) isServedInTime(r *round, req *request) bool {
	steady := r.paced.steady
	if steady.slots == 0 || req.late || req.VersionBound || len(req.Avoid) > 0 {
		return false
	}
	if !slices.ContainsFunc(r.paced.steadyUpstreams, func(u *upstream) bool { return p.fits(r.now, r.share, u, req) }) {
		return false
	}
	wait := p.queueWait(r.now, req.Rank, r.paced.ahead+p.slotTime(req), steady.slots)
	end := r.now + wait + p.transits.grant(req) + p.minTimeToFirstEvent(steady, req)
	return end <= req.arrived+time.Duration(pacedWaitShare*float64(req.LatencyTarget-req.arrived))
}

// passOver counts a request that was left waiting.
func (r *round) passOver(p *pool, req *request) {
	if r.paced != nil {
		r.paced.ahead += p.slotTime(req)
	}
}
