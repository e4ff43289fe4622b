package limits

import "time"

// Bucket is a token bucket. The zero value is full at its first use. It is not safe
// for concurrent use.
type Bucket struct {
	level   float64
	updated time.Duration
	started bool
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
		b.level -= n
		return 0, true
	}
	return time.Duration((need - b.level) / max(rate, 1e-9) * float64(time.Second)), false
}

// Level returns the number of tokens in the bucket.
func (b *Bucket) Level(now time.Duration, rate, burst float64) float64 {
	b.refill(now, rate, burst)
	return b.level
}

// Lower reduces the bucket to the given level if it holds more.
func (b *Bucket) Lower(now time.Duration, rate, burst, level float64) {
	b.refill(now, rate, burst)
	b.level = min(b.level, level)
}

// Spend takes n tokens that were used already; the level may become negative.
func (b *Bucket) Spend(now time.Duration, rate, burst, n float64) {
	b.refill(now, rate, burst)
	b.level -= n
}

// Refund adds tokens that were taken but not used.
func (b *Bucket) Refund(n float64) { b.level += n }

func (b *Bucket) refill(now time.Duration, rate, burst float64) {
	if !b.started {
		b.started = true
		b.level = burst
		b.updated = now
	}
	b.level = min(burst, b.level+rate*max(0, now-b.updated).Seconds())
	b.updated = now
}
