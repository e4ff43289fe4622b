package limits

import "time"

// Bucket is a token bucket. The zero value is full at its first use. It is not safe
// for concurrent use.
type Bucket struct {
	level   float64
	updated time.Duration
	started bool
	// reported is the number of tokens that were used elsewhere; see Spend. credit is
	// the refill elsewhere, beyond a full bucket, that covers a part of them.
	reported    float64
	credit      float64
	creditKnown bool
	// unknown is true for a bucket of StartUnknown until its level is known; taken is what was
	// taken from it since unknownSince.
	unknown      bool
	unknownSince time.Duration
	taken        float64
}

// StartUnknown makes an unused bucket start at a level, since nobody knows what was taken from it
// before. The first call of Lower replaces that by its level at that time, unless an empty bucket
// would have filled up since.
func (b *Bucket) StartUnknown(at time.Duration, level float64) {
	b.started, b.unknown, b.unknownSince, b.updated, b.level = true, true, at, at, level
}

// Take takes n tokens if the bucket holds them above the reserve. If n and the reserve
// exceed the burst, it takes them once the bucket is full; the level may then become
// negative. Otherwise it takes none and returns how long the bucket needs to refill.
// Rate is in tokens per second, burst and reserve in tokens; all may change between
// calls.
func (b *Bucket) Take(now time.Duration, rate, burst, reserve, n float64) (wait time.Duration, ok bool) {
	b.refill(now, rate, burst)
	need := min(n+reserve, burst)
	if b.level >= need {
		b.take(n)
		return 0, true
	}
	return time.Duration((need - b.level) / max(rate, 1e-9) * float64(time.Second)), false
}

// Level returns the number of tokens in the bucket.
func (b *Bucket) Level(now time.Duration, rate, burst float64) float64 {
	b.refill(now, rate, burst)
	return b.level
}

// Lower reduces the bucket to the given level if it holds more. The level may exceed the
// burst: it is then what the bucket would have reached while tokens were used elsewhere, and
// the surplus only covers what Spend takes. Of several such levels the lowest counts.
func (b *Bucket) Lower(now time.Duration, rate, burst, level float64) {
	b.refill(now, rate, burst)
	credit := max(0, level-burst)
	if b.unknown {
		b.unknown = false
		b.level = burst - b.taken - max(0, b.reported-b.credit)
		level -= b.taken
	}
	b.level = min(b.level, level)
	if b.creditKnown {
		credit = min(b.credit, credit)
	}
	b.updateReported(b.reported, credit)
	b.creditKnown = true
}

// Spend takes n tokens that were used elsewhere already; the level may become negative.
func (b *Bucket) Spend(now time.Duration, rate, burst, n float64) {
	b.refill(now, rate, burst)
	b.updateReported(b.reported+n, b.credit)
}

// updateReported takes the part of the reported tokens that the credit does not cover.
func (b *Bucket) updateReported(reported, credit float64) {
	b.level -= max(0, reported-credit) - max(0, b.reported-b.credit)
	b.reported, b.credit = reported, credit
}

// Refund adds tokens that were taken but not used.
func (b *Bucket) Refund(n float64) { b.take(-n) }

func (b *Bucket) take(n float64) {
	b.level -= n
	if b.unknown {
		b.taken += n
	}
}

func (b *Bucket) refill(now time.Duration, rate, burst float64) {
	if !b.started {
		b.started = true
		b.level = burst
		b.updated = now
	}
	b.level = min(burst, b.level+rate*max(0, now-b.updated).Seconds())
	b.updated = now
	b.unknown = b.unknown && rate*(now-b.unknownSince).Seconds() < burst
}
