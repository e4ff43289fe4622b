package limits

import "time"

// Bucket is a token bucket: it fills at a rate and holds at most a burst. The
// zero value is full at its first use.
type Bucket struct {
	level float64
	at    time.Duration
	begun bool
}

// Take takes n tokens where the bucket holds them above a reserve, or is full
// and can never hold more. Otherwise it takes none and returns how long it is
// until it holds them. Rate, burst and reserve, in tokens a second and tokens,
// may change between calls.
func (b *Bucket) Take(now time.Duration, rate, burst, reserve, n float64) (wait time.Duration, ok bool) {
	b.fill(now, rate, burst)
	need := min(n+reserve, burst)
	if b.level >= need {
		b.level -= n
		return 0, true
	}
	return time.Duration((need - b.level) / max(rate, 1e-9) * float64(time.Second)), false
}

// Level returns how many tokens the bucket holds.
func (b *Bucket) Level(now time.Duration, rate, burst float64) float64 {
	b.fill(now, rate, burst)
	return b.level
}

// Lower takes tokens out of the bucket down to a level, where it holds more.
func (b *Bucket) Lower(now time.Duration, rate, burst, level float64) {
	b.fill(now, rate, burst)
	b.level = min(b.level, level)
}

// Return gives back tokens that were taken and not used.
func (b *Bucket) Return(n float64) { b.level += n }

func (b *Bucket) fill(now time.Duration, rate, burst float64) {
	if !b.begun {
		b.begun = true
		b.level = burst
		b.at = now
	}
	b.level = min(burst, b.level+rate*max(0, now-b.at).Seconds())
	b.at = now
}
