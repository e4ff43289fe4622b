package broker

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/verbenastep/verbenastep/core/suspects"
)

const (
	// Penalties are added to the estimated time in the choice of an upstream.

	// otherRegionPenalty is for upstreams in another region, on top of the round
	// trip: the link between regions is narrow and billed.
	otherRegionPenalty = 60 * time.Millisecond
	// otherDataCentrePenalty is for upstreams in another data centre of the region.
	otherDataCentrePenalty = 4 * time.Millisecond
	// failurePenalty is for upstreams that fail all requests; it is scaled by the
	// failure rate.
	failurePenalty = 3 * time.Second
	// silentPenalty is for upstreams whose heartbeats are overdue.
	silentPenalty = 5 * time.Second
	// missedTargetPenalty is for upstreams that would miss the latency target.
	missedTargetPenalty = 10 * time.Second
	// maxSkippedRequests is how many requests without a suitable upstream a round
	// skips before it ends.
	maxSkippedRequests = 64
	// noUpstreamTimeout is how long a pool may have no upstream before its requests
	// are refused. A restarted upstream, or the roster of a new broker, arrives
	// within this time.
	noUpstreamTimeout = 1500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the retry delay in refusals.
	minRetryDelay = 300 * time.Millisecond
	maxRetryDelay = 4 * time.Second
	// decideInterval is the longest time between two rounds while requests wait.
	decideInterval = 20 * time.Millisecond
	// maxRoundDecisions is after how many grants, or refusals, of a pool a round ends. After a
	// change of brokers thousands of requests wait, and the caller must not be kept for the time
	// that all of them take.
	maxRoundDecisions = 256
)

// Decide runs one round of decisions: it grants requests while upstreams have room
// and refuses those that would be served too late. It returns all decisions since
// the previous call.
func (b *Broker) Decide(now time.Duration) Decisions {
	b.dropOrphans(now)
	b.placeUnlisted(now)
	for _, p := range b.pools {
		p.expireVersions(now)
		p.startWindows(now)
		r := p.newRound(now, b.share)
		if r.slots > 0 || !p.started {
			p.started = true
			p.lastServed = now
		}
		p.isUnfinished = false
		if len(p.queue) == 0 {
			continue
		}
		if b.grantWaiting(p, r); !p.isUnfinished {
			b.refuseLate(p, r)
		}
	}
	out := b.pending
	b.pending = Decisions{}
	return out
}

// NextDelay returns the longest delay before the next call of Decide, and false if no
// request waits. It is zero if the last round ended before all requests were looked at.
func (b *Broker) NextDelay() (time.Duration, bool) {
	waits := false
	for _, p := range b.pools {
		if p.isUnfinished {
			return 0, true
		}
		waits = waits || len(p.queue) > 0
	}
	return decideInterval, waits
}

func (b *Broker) dropOrphans(now time.Duration) {
	if now < b.nextOrphanEnd {
		return
	}
	b.nextOrphanEnd = math.MaxInt64
	for _, req := range b.requests {
		switch {
		case req.orphanedUntil == 0:
		case req.orphanedUntil <= now:
			b.drop(req)
		default:
			b.nextOrphanEnd = min(b.nextOrphanEnd, req.orphanedUntil)
		}
	}
}

// round holds what is computed once for a round of decisions on a pool.
type round struct {
	now   time.Duration
	share float64
	// open lists the upstreams with a free slot, ordered by ID.
	open []*upstream
	// fallback is the single upstream that the broker uses if its share amounts to
	// no slot on any upstream; nil otherwise.
	fallback *upstream
	// slots is the number of this broker's slots on all available upstreams; of those with
	// a limit, as many as the limit keeps busy.
	slots float64
	// limitWait is the time until an upstream takes a request, if all available ones have
	// reached their limits; zero otherwise.
	limitWait time.Duration
	// minTokenTime is the time per token of the fastest upstream, in seconds;
	// minCallTimes holds the call times of the fastest upstream of each region. Upstreams
	// that have reached their limits count only if all have.
	minTokenTime float64
	minCallTimes map[string]float64
	// paced is nil if no upstream is held back by its slow start.
	paced *paced
}

// newRound collects the available upstreams of the pool.
func (p *pool) newRound(now time.Duration, share float64) *round {
	r := &round{now: now, share: share, open: p.open[:0], minCallTimes: map[string]float64{}}
	lowest := (*upstream)(nil)
	atLimit := []*upstream{}
	p.versions.startRound(now, p)
	for _, u := range p.order {
		if u.isLeaving() || u.health.isUnavailable(now) || p.versions.passesOver(r, u) {
			continue
		}
		capacity := u.capacity(now, share)
		r.slots += p.usableSlots(u, capacity, share)
		if !u.isBrittle() && (lowest == nil || u.roundingPoint < lowest.roundingPoint) {
			lowest = u
		}
		if u.limitWait(now, share) > 0 {
			atLimit = append(atLimit, u)
			continue
		}
		if len(u.inFlight) < u.pacedCapacity(now, share) {
			r.open = append(r.open, u)
		} else if len(u.inFlight) < capacity {
			r.hold(u)
		}
		r.addTimes(p, u)
	}
	p.addSteady(r)
	if len(r.minCallTimes) == 0 {
		r.useLimited(p, atLimit)
	}
	if r.slots == 0 && lowest != nil {
		// The share is no slot on any upstream: use one upstream, so that every
		// entry can make progress. Brittle ones would be overrun by many entries.
		r.fallback, r.slots = lowest, 1
		if len(lowest.inFlight) == 0 && lowest.limitWait(now, share) == 0 {
			r.open = append(r.open, lowest)
		}
	}
	return r
}

// usableSlots returns how many of an upstream's slots can be kept busy. Grants beyond the slots
// of an engine are in transit; the times of its requests don't include that.
func (p *pool) usableSlots(u *upstream, capacity int, share float64) float64 {
	usable := float64(capacity)
	if p.engine != nil {
		usable = min(usable, float64(u.Slots))
	}
	if !u.isLimited() {
		return usable
	}
	return min(usable, u.limitedSlots(share, p.slotTimes))
}

// addTimes includes an upstream in the times of the fastest ones.
func (r *round) addTimes(p *pool, u *upstream) {
	r.minTokenTime = shortest(r.minTokenTime, p.tokenTime(u))
	r.minCallTimes[u.Region] = shortest(r.minCallTimes[u.Region], p.callTime(u))
}

// useLimited bases the estimates on upstreams that have reached their limits, since there are
// no others.
func (r *round) useLimited(p *pool, atLimit []*upstream) {
	for i, u := range atLimit {
		r.addTimes(p, u)
		if wait := u.limitWait(r.now, r.share); i == 0 || wait < r.limitWait {
			r.limitWait = wait
		}
	}
}

// shortest returns the smaller of two times, or other if known is zero.
func shortest(known, other float64) float64 {
	if known == 0 {
		return other
	}
	return min(known, other)
}

// closeIfFull removes an upstream from the open ones if it has no free slot left.
func (r *round) closeIfFull(u *upstream) {
	if u != r.fallback && len(u.inFlight) < u.pacedCapacity(r.now, r.share) && u.limitWait(r.now, r.share) == 0 {
		return
	}
	r.closeWindow(u)
	r.open = slices.DeleteFunc(r.open, func(o *upstream) bool { return o == u })
}

// grantWaiting grants requests in queue order while any upstream has room. A request
// that can still be on time waits for an upstream where it will be.
func (b *Broker) grantWaiting(p *pool, r *round) {
	skipped, granted := 0, 0
	for i := 0; i < len(p.queue) && skipped < maxSkippedRequests && r.hasRoom(); {
		if granted == maxRoundDecisions {
			p.isUnfinished = true
			break
		}
		req := p.queue[i]
		if r.noneOpenTo(req.ID.Entry) && r.noneHeldFor(req.ID.Entry) {
			// Not counted as skipped, so that it does not hold up other entries.
			i++
			continue
		}
		if b.refuseTooLarge(p, req) || b.refuseQuarantined(r.now, req) {
			p.queue = slices.Delete(p.queue, i, i+1)
			continue
		}
		stage, mayRun := b.suspects.Stage(r.now, req.ID, req.contents)
		if !mayRun {
			// Not counted as skipped either.
			i++
			continue
		}
		b.bindVersion(r.now, p, req)
		u, first := p.choose(r, req, stage)
		u, first = p.chooseHeld(r, req, stage, u, first)
		if u == nil || p.shouldWait(r, req, first) {
			if !p.exceedsShare(r.share, req) {
				r.passOver(p, req)
				skipped++
			}
			i++
			continue
		}
		granted++
		p.queue = slices.Delete(p.queue, i, i+1)
		p.admissions.record(r.now, req, true, 0)
		p.overload.grantedRequest(req)
		p.assign(r.now, req, u)
		b.spendLimit(r.now, req)
		b.startTrial(r.now, req, u, stage, first)
		streams := b.recordStream(r.now, req, u.SoftwareVersion)
		reason := p.countTry(r.now, u)
		r.closeIfFull(u)
		b.pending.Grants = append(b.pending.Grants, Grant{
			ID: req.ID, Upstream: u.ID, Address: u.Address, Born: u.Born, ExpectedTimeToFirstEvent: first, Waited: r.now - req.arrived,
			FreeSlots: u.capacity(r.now, b.share) - len(u.inFlight), Queued: len(p.queue),
			SoftwareVersion: u.SoftwareVersion, VersionReason: reason, Streams: streams,
		})
	}
	p.open = r.open
}

// shouldWait reports whether a request would miss its latency target if its first event
// took the given time, but can meet it on a faster upstream that is occupied now. That one
// may have another software version than a request must run at.
func (p *pool) shouldWait(r *round, req *request, first time.Duration) bool {
	left := req.LatencyTarget - r.now - p.transits.grant(req)
	return !req.late && !req.VersionBound && first > left && p.minTimeToFirstEvent(r, req) <= left
}

// choose returns the open upstream with the lowest cost for a request and the
// estimated time to its first event there, or nil if no open upstream is suitable. stage is
// that of the request's trial.
func (p *pool) choose(r *round, req *request, stage suspects.Stage) (*upstream, time.Duration) {
	best, bestCost, bestFirst := (*upstream)(nil), time.Duration(0), time.Duration(0)
	limit := p.maxTokenTime(r, req)
	for _, u := range r.open {
		if !p.fits(r.now, r.share, u, req) || !u.allows(r.now, stage) || (limit > 0 && p.tokenTime(u) >= limit) {
			continue
		}
		first := p.timeToFirstEvent(r.now, req, u)
		cost := p.placementCost(r.now+p.transits.grant(req), req, u, first)
		if best == nil || cost < bestCost {
			best, bestCost, bestFirst = u, cost, first
		}
	}
	return best, bestFirst
}

// outputLengthMargin is the factor by which an answer may exceed its estimated
// length and must still end before the deadline. Estimates are right at the median
// but often far off.
const outputLengthMargin = 1.6

// maxTokenTime returns the time per output token, in seconds, from which an
// upstream can't complete a request before its deadline. It returns zero, which
// allows every upstream, if none is fast enough or the request has no deadline or
// no engine, or must run at one software version.
func (p *pool) maxTokenTime(r *round, req *request) float64 {
	units := p.times.overhead + p.times.prefillRatio*float64(req.PromptTokens) + outputLengthMargin*float64(req.OutputTokens)
	if p.engine == nil || req.VersionBound || req.Deadline <= r.now || units <= 0 {
		return 0
	}
	limit := (req.Deadline - r.now).Seconds() / units
	if r.minTokenTime >= limit {
		return 0
	}
	return limit
}

// timeToFirstEvent estimates the time to a request's first event on an upstream: the wait for
// a slot or the prefill of the prompts ahead, that of its own, the overhead, and half of the
// warm-up time that remains.
func (p *pool) timeToFirstEvent(now time.Duration, req *request, u *upstream) time.Duration {
	return max(0, u.prefillUntil-now, p.slotWait(req, u)) + p.prefillTime(req, u) + p.overheadTime(req, u) + u.WarmUpTime/2
}

// placementCost returns the estimated time of a request on an upstream with all
// penalties; first is the time to its first event. On an engine, half of the decode
// time counts; on a plain service, the time grows with the number of occupied slots.
func (p *pool) placementCost(now time.Duration, req *request, u *upstream, first time.Duration) time.Duration {
	cost := first + p.decodeTime(req, u)/2
	if p.engine == nil {
		cost = first * time.Duration(len(u.inFlight)+u.Slots) / time.Duration(max(1, u.Slots))
	}
	switch {
	case u.DataCentre == req.DataCentre:
	case u.Region == req.Region:
		cost += otherDataCentrePenalty
	default:
		cost += otherRegionPenalty
	}
	if now+first > req.LatencyTarget {
		cost += missedTargetPenalty
	}
	if u.Silent {
		cost += silentPenalty
	}
	return cost + time.Duration(u.health.failureRate*float64(failurePenalty)) - p.rolloutPreference(u)
}

// refuseLate refuses requests as soon as the estimate says that they would be
// served too late. A request that will miss its latency target but would still be
// useful moves behind the requests that can meet theirs.
func (b *Broker) refuseLate(p *pool, r *round) {
	if r.slots == 0 {
		b.refuseUnserved(r.now, p)
		return
	}
	ahead, refused := 0.0, 0
	late := []*request{}
	for i := 0; i < len(p.queue); {
		if refused == maxRoundDecisions {
			p.isUnfinished = true
			break
		}
		req := p.queue[i]
		if b.refuseTooLarge(p, req) || b.refuseUnresumable(r.now, p, req) {
			p.queue = slices.Delete(p.queue, i, i+1)
			continue
		}
		wait := r.limitWait + p.waitBehind(r, req, ahead)
		first := r.now + wait + p.transits.grant(req) + p.minTimeToFirstEvent(r, req)
		switch {
		case first <= req.LatencyTarget-estimateMargin(req), req.late && first <= req.LatestUseful:
			p.admissions.record(r.now, req, true, 0)
			if !p.exceedsShare(r.share, req) {
				ahead += p.slotTime(req)
			}
			p.overload.waits(r.now, req)
			i++
			continue
		case !req.late && first-wait+p.lateWait(r, req, wait, ahead) <= req.LatestUseful:
			p.admissions.record(r.now, req, true, 0)
			late = append(late, req)
		default:
			reason := fmt.Sprintf("%d ms of waiting behind %.1f s of work on %.4g slots would be too late", wait.Milliseconds(), ahead, r.slots)
			p.admissions.record(r.now, req, false, wait)
			b.refuseOverloaded(p, r, req, wait, reason)
			refused++
		}
		p.queue = slices.Delete(p.queue, i, i+1)
	}
	for _, req := range late {
		req.late = true
		p.insert(req)
	}
}

// estimateMarginDivisor divides a request's latency target to give the error that is
// allowed for in the estimate of its wait.
const estimateMarginDivisor = 10

// estimateMargin returns the part of a request's latency target that is kept free: under
// overload the requests wait for as long as the estimate allows, and an estimate that is a
// little too low would make them all late.
func estimateMargin(req *request) time.Duration {
	return max(0, req.LatencyTarget-req.arrived) / estimateMarginDivisor
}

// refuseUnserved refuses the requests of a pool that has had no upstream for
// noUpstreamTimeout, or that have missed their latency target meanwhile.
func (b *Broker) refuseUnserved(now time.Duration, p *pool) {
	for i := 0; i < len(p.queue); {
		req := p.queue[i]
		if now-p.lastServed < noUpstreamTimeout && now < req.LatencyTarget {
			i++
			continue
		}
		p.queue = slices.Delete(p.queue, i, i+1)
		b.refuse(req, NoUpstream, minRetryDelay, "no upstream serves the pool")
	}
}

// queueWait estimates how long a request waits behind the requests ahead of it,
// which hold slots for a total of ahead seconds, and behind requests of ranks before the
// given one that keep arriving. At least a twentieth of the slots is assumed to be left for it.
func (p *pool) queueWait(now time.Duration, rank int, ahead, slots float64) time.Duration {
	return seconds(ahead / p.spareSlots(now, rank, slots))
}

// minTimeToFirstEvent estimates the time to a request's first event on the fastest
// upstream.
func (p *pool) minTimeToFirstEvent(r *round, req *request) time.Duration {
	if p.engine == nil {
		least := 0.0
		for region, callTime := range r.minCallTimes {
			least = shortest(least, callTime+p.transits.call(req.Region, region))
		}
		return seconds(least)
	}
	return seconds(r.minTokenTime * (p.times.overhead + p.times.prefillRatio*float64(req.PromptTokens)))
}
