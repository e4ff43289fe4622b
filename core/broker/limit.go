package broker

import (
	"math"
	"time"

	"github.com/verbenastep/verbenastep/core/limits"
)

const (
	// limitBurstTime is how much of a limit may be used at once, as a time at its rate.
	limitBurstTime = 500 * time.Millisecond
	// localLimitFactor is the part of an upstream's limit that all entries without a broker
	// use together: a broker may use the whole of it for the other entries, and upstreams
	// tolerate one and a half times their limit.
	localLimitFactor = 0.5
	// localTurnWindow is how long an entry without a broker may use its turn.
	localTurnWindow = time.Second
	// minLimit is the rate, in requests a second, at which an upstream that names a lower
	// one gets requests: only its answers tell when it takes more again.
	minLimit = 0.2
	// minLimitChange is the smallest relative change of a limit that is news. An upstream
	// may state another number in each answer; it bears half more than it states.
	minLimitChange = 0.1
	// maxLimiters bounds the limits that are remembered, also of upstreams that are gone. It
	// exceeds the number of upstreams that start in a day.
	maxLimiters = 10_000
)

// RequestLimit is what a process of an upstream says of the requests that it takes from all
// entries together.
type RequestLimit struct {
	Upstream string
	// Born is that of the process.
	Born int64
	// Limited is false if the process names no limit any more. PerSecond is the number of
	// requests a second otherwise.
	Limited   bool
	PerSecond float64
	// Brittle is true if the process says that it falls over once it has to reject more than
	// MaxRejections requests in a second.
	Brittle       bool
	MaxRejections int
	// AskedAt is when the request was sent that the process answered so. It orders what a
	// process says: answers overtake each other.
	AskedAt time.Duration
}

// supersedes reports whether the limit is newer than another one of the same upstream.
func (l RequestLimit) supersedes(old RequestLimit) bool {
	return l.Born > old.Born || l.Born == old.Born && l.AskedAt > old.AskedAt
}

// isSimilar reports whether two limits say about the same of the same process.
func (l RequestLimit) isSimilar(other RequestLimit) bool {
	if math.Abs(l.PerSecond-other.PerSecond) <= minLimitChange*other.PerSecond {
		l.PerSecond = other.PerSecond
	}
	l.AskedAt = other.AskedAt
	return l == other
}

// limiter enforces the limit of an upstream: by a bucket at the broker of all entries, by
// turns at an entry without a broker.
type limiter struct {
	RequestLimit
	// reported is the limit when it was last news.
	reported RequestLimit
	bucket   limits.Bucket
	// entriesAwaitedUntil is that of the broker.
	entriesAwaitedUntil time.Duration
	pacer               limits.Pacer
}

func newLimiter(now time.Duration, l RequestLimit) *limiter {
	x := &limiter{RequestLimit: l, reported: l}
	// Another broker may have used all of the limit until now.
	x.bucket.Lower(now, x.rate(), x.burst(), 0)
	return x
}

func (x *limiter) rate() float64  { return max(minLimit, x.PerSecond) }
func (x *limiter) burst() float64 { return max(1, x.rate()*limitBurstTime.Seconds()) }

// localPeriod returns the time between two turns of an entry with a share.
func (x *limiter) localPeriod(share float64) time.Duration {
	return seconds(min(1/(x.rate()*localLimitFactor*share), math.MaxInt32))
}

// limitWait returns how long the upstream takes no further request because of its
// limit, or while its entries are awaited.
func (u *upstream) limitWait(now time.Duration, share float64) time.Duration {
	x := u.limiter
	if wait := u.entriesWait(now); wait > 0 {
		return wait
	}
	switch {
	case !u.isLimited():
		return 0
	case share < 1:
		return x.pacer.Wait(now, x.localPeriod(share), localTurnWindow, u.roundingPoint)
	}
	level := x.bucket.Level(now, x.rate(), x.burst())
	if level >= 1 {
		return 0
	}
	// A level just below 1 is no wait after rounding, but no token either.
	return max(1, seconds((1-level)/x.rate()))
}

// spendLimit counts the grant of a request against its upstream's limit.
func (b *Broker) spendLimit(now time.Duration, req *request) {
	u := req.assigned
	x := u.limiter
	switch {
	case !u.isLimited():
	case b.share < 1:
		x.pacer.Take(now, x.localPeriod(b.share), localTurnWindow, u.roundingPoint)
	default:
		_, req.limitSpent = x.bucket.Take(now, x.rate(), x.burst(), 0, 1)
	}
}

// refundLimit takes back the grant of a request that was not sent, if the broker of all entries
// counted it. An unused turn of an entry expires instead.
func (b *Broker) refundLimit(req *request) {
	if req.limitSpent && req.assigned.limiter != nil {
		req.assigned.limiter.bucket.Refund(1)
	}
	req.limitSpent = false
}

// isLimited reports whether the upstream's process names a limit.
func (u *upstream) isLimited() bool {
	return u.limiter != nil && u.limiter.Limited && u.Born <= u.limiter.Born
}

// namedLimit returns the limit that the upstream names, nil if it names none.
func (u *upstream) namedLimit() *float64 {
	if !u.isLimited() {
		return nil
	}
	limit := u.limiter.PerSecond
	return &limit
}

// limitedSlots returns how many slots the upstream's limit keeps busy at most, given the time
// that a request holds one, in seconds.
func (u *upstream) limitedSlots(share, slotTime float64) float64 {
	rate := u.limiter.rate() * share
	if share < 1 {
		rate *= localLimitFactor
	}
	return rate * slotTime
}

// LearnLimit adds what an upstream said, to this entry or another one. It returns true if
// that is news: the upstream's limit has changed.
func (b *Broker) LearnLimit(now time.Duration, l RequestLimit) bool {
	x := b.limiters[l.Upstream]
	if x == nil {
		if !l.Limited && !l.Brittle {
			return false
		}
		b.makeRoomForLimiter()
		x = newLimiter(now, l)
		x.entriesAwaitedUntil = b.entriesAwaitedUntil
		b.limiters[l.Upstream] = x
		if u := b.upstream(l.Upstream); u != nil {
			u.limiter = x
		}
		return true
	}
	if !l.supersedes(x.RequestLimit) {
		return false
	}
	old := x.reported
	changed := !l.isSimilar(old) && (l.Limited || old.Limited || l.Brittle || old.Brittle)
	x.RequestLimit = l
	if !changed {
		return false
	}
	x.reported = l
	if l.Limited && (!old.Limited || l.PerSecond != old.PerSecond) {
		x.bucket.Lower(now, x.rate(), x.burst(), 0)
	}
	return true
}

// Limit returns what an upstream said of the requests that it takes, and false if it said
// nothing.
func (b *Broker) Limit(upstream string) (RequestLimit, bool) {
	x := b.limiters[upstream]
	if x == nil {
		return RequestLimit{}, false
	}
	return x.RequestLimit, true
}

// Limits returns what upstreams said of the requests that they take, in no particular order.
func (b *Broker) Limits() []RequestLimit {
	out := make([]RequestLimit, 0, len(b.limiters))
	for _, x := range b.limiters {
		out = append(out, x.RequestLimit)
	}
	return out
}

// makeRoomForLimiter removes the limit that was named longest ago if there are too many.
func (b *Broker) makeRoomForLimiter() {
	if len(b.limiters) < maxLimiters {
		return
	}
	oldest := (*limiter)(nil)
	for _, x := range b.limiters {
		if oldest == nil || x.AskedAt < oldest.AskedAt {
			oldest = x
		}
	}
	delete(b.limiters, oldest.Upstream)
}

// upstream returns an upstream of any pool, or nil.
func (b *Broker) upstream(id string) *upstream {
	for _, p := range b.pools {
		if u := p.upstreams[id]; u != nil {
			return u
		}
	}
	return nil
}
