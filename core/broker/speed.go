package broker

import (
	"math"
	"time"
)

const (
	// initialTokenTime is the assumed time per output token, in seconds, before the
	// first observation: that of a large model on current hardware.
	initialTokenTime = 0.007
	// initialPrefillRatio is the assumed time per prompt token, as a fraction of the
	// time per output token.
	initialPrefillRatio = 1.0 / 300
	// initialOverhead is the assumed time to the first event of an empty prompt, in
	// output tokens.
	initialOverhead = 15
	// initialCallTime is the assumed time of a service call, in seconds.
	initialCallTime = 0.06
	// upstreamWeight and poolWeight are the weights of a new observation in the
	// moving averages of an upstream and of a pool.
	upstreamWeight = 0.2
	poolWeight     = 0.02
	// minPrefillTokens is the shortest prompt from which the prefill time is learned,
	// in tokens: for shorter prompts the overhead dominates.
	minPrefillTokens = 1500
	// minOutputTokens is the shortest answer from which the time per token is
	// learned.
	minOutputTokens = 8
)

// poolTimes are moving averages over all upstreams of a pool.
type poolTimes struct {
	// tokenTime is the time per output token and callTime the time of a service
	// call at its upstream, in seconds.
	tokenTime float64
	callTime  float64
	// holdTime is the time from the grant of a service call to its release.
	holdTime float64
	// prefillRatio is the time per prompt token and overhead the time to the first
	// event of an empty prompt, both in multiples of the time per output token.
	prefillRatio float64
	overhead     float64
}

func newPoolTimes() poolTimes {
	return poolTimes{tokenTime: initialTokenTime, callTime: initialCallTime, holdTime: initialCallTime, prefillRatio: initialPrefillRatio, overhead: initialOverhead}
}

// upstreamTimes holds the moving averages of one upstream, in seconds; zero before the
// first observation.
type upstreamTimes struct {
	// born is the start time of the process that was observed last. The times of one that has been
	// replaced are still the best guess to choose by.
	born      int64
	tokenTime float64
	callTime  float64
	// holdTime is the time from a grant to its release; callTime, for an engine runTime, is
	// the part of it at the upstream.
	holdTime float64
	runTime  float64
}

// hasReplaced reports whether the upstream's process is known to be another one than that which
// started at born.
func (u *upstream) hasReplaced(born int64) bool { return born > 0 && born < u.Born }

// beginTimes prepares for an observation of the process that started at born: it does not add to the
// averages of another one.
func (u *upstream) beginTimes(born int64) {
	if u.hasReplaced(u.times.born) {
		u.times.tokenTime, u.times.callTime = 0, 0
	}
	u.times.born = born
}

// movingAverage returns the moving average after an observation with the given weight;
// zero means that there was none before.
func movingAverage(old, observed, weight float64) float64 {
	if old == 0 {
		return observed
	}
	return old + weight*(observed-old)
}

// tokenTime returns an upstream's time per output token, in seconds.
func (p *pool) tokenTime(u *upstream) float64 {
	if u.times.tokenTime == 0 {
		return p.times.tokenTime
	}
	return u.times.tokenTime
}

// callTime returns the time of a service call at an upstream, in seconds.
func (p *pool) callTime(u *upstream) float64 {
	if u.times.callTime == 0 {
		return p.times.callTime
	}
	return u.times.callTime
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// prefillTime estimates how long an upstream needs to prefill a request's prompt,
// without the prefix that it has cached.
func (p *pool) prefillTime(req *request, u *upstream) time.Duration {
	if p.engine == nil {
		return 0
	}
	uncached := req.PromptTokens
	if u.sessions.contains(req.Session) {
		uncached -= req.SessionTokens
	}
	return seconds(p.tokenTime(u) * p.times.prefillRatio * float64(max(0, uncached)))
}

// overheadTime estimates the time from the end of the prefill to the first event,
// or the time of a service call with its round trip.
func (p *pool) overheadTime(req *request, u *upstream) time.Duration {
	if p.engine == nil {
		return seconds(p.callTime(u) + p.transits.call(req.Region, u.Region))
	}
	return seconds(p.tokenTime(u) * p.times.overhead)
}

// decodeTime estimates the time from the end of the prefill to the end of the
// answer.
func (p *pool) decodeTime(req *request, u *upstream) time.Duration {
	if p.engine == nil {
		return p.overheadTime(req, u)
	}
	return seconds(p.tokenTime(u) * (p.times.overhead + float64(req.OutputTokens)))
}

// slotTime estimates how long a request holds a slot of an average upstream, in
// seconds.
func (p *pool) slotTime(req *request) float64 {
	if p.engine == nil {
		return p.times.holdTime
	}
	return p.times.tokenTime * (p.times.overhead + p.times.prefillRatio*float64(req.PromptTokens) + float64(req.OutputTokens))
}

// learn updates the health and the moving averages from an ended request.
func (p *pool) learn(now time.Duration, req *request, e End) {
	u := req.assigned
	u.health.record(now, e.Outcome)
	if e.Outcome == Rejected && u.isBrittle() {
		u.health.unavailableUntil = max(u.health.unavailableUntil, now+brittleRejectedDelay)
	}
	p.learnWindow(now, req, e)
	if e.Outcome != Completed {
		return
	}
	if u.hasReplaced(req.bornAtGrant) {
		return
	}
	hold := now - req.granted
	if req.Running == "" {
		// The time of a grant by another broker is not known.
		p.transits.learnGrant(hold, req, e)
	}
	if p.engine == nil {
		if req.Running == "" {
			p.learnCall(req, hold, e)
		}
		return
	}
	if req.Running == "" && e.TimeToFirstEvent > 0 {
		u.learnRun(hold, e)
	}
	if e.OutputTokens >= minOutputTokens && e.DecodeTime > 0 {
		tokenTime := e.DecodeTime.Seconds() / float64(e.OutputTokens)
		u.beginTimes(req.bornAtGrant)
		u.times.tokenTime = movingAverage(u.times.tokenTime, tokenTime, upstreamWeight)
		p.times.tokenTime = movingAverage(p.times.tokenTime, tokenTime, poolWeight)
	}
	if !req.prefilledAlone || u.times.tokenTime == 0 || e.TimeToFirstEvent <= 0 {
		return
	}
	p.learnTimeToFirstEvent(req, e.TimeToFirstEvent.Seconds()/u.times.tokenTime, u.sessions.wasCached(req.Session))
}

// learnTimeToFirstEvent updates overhead or prefill ratio from the time to the first
// event, in output tokens, of a prompt that was prefilled alone.
func (p *pool) learnTimeToFirstEvent(req *request, first float64, cached bool) {
	if cached {
		return
	}
	if req.PromptTokens < minPrefillTokens {
		overhead := first - p.times.prefillRatio*float64(req.PromptTokens)
		p.times.overhead = movingAverage(p.times.overhead, math.Max(1, overhead), poolWeight)
		return
	}
	ratio := (first - p.times.overhead) / float64(req.PromptTokens)
	if ratio > 0 {
		p.times.prefillRatio = movingAverage(p.times.prefillRatio, ratio, poolWeight)
	}
}
