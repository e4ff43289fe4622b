// Package limits enforces rate limits, quotas and retry budgets.
//
// Usage checks the requests of a workspace against its declared limits: a request
// rate, a number of concurrent requests, and tokens per hour. Each dispatcher keeps
// one Usage per workspace for the requests of all entries, so the count is exact
// within a pool and region. Bucket is a token bucket for quotas, RetryBudget
// limits retries.
//
// The package does no I/O: the caller passes the time as a duration on its monotonic
// clock. No type is safe for concurrent use.
package limits

import (
	"fmt"
	"time"
)

// Limits are the declared limits of a workspace. Zero means no limit.
type Limits struct {
	// RequestsPerMinute is an average rate, with a burst of one tenth of it.
	RequestsPerMinute int64
	// Concurrency limits the requests that are queued or in service.
	Concurrency int64
	// TokensPerHour limits the sum of uncached prompt tokens and output tokens.
	TokensPerHour int64
}

const (
	// burstDivisor divides the rate per minute to give the burst.
	burstDivisor = 10
	// tokenSlots is the number of tokenSlots in the hour over which tokens are counted.
	tokenSlots = 60
	// tokenSlotLength is the length of one slot.
	tokenSlotLength = time.Hour / tokenSlots
	// remoteDivisor divides the limits for regions other than the workspace's home.
	remoteDivisor = 4
)

// Remote returns the limits that a region other than the workspace's home region
// enforces: a quarter of each, but at least one. With the home region's full limits,
// n regions together exceed the declared limit by at most (n-1)/4 of it.
func (l Limits) Remote() Limits {
	return Limits{
		RequestsPerMinute: divide(l.RequestsPerMinute),
		Concurrency:       divide(l.Concurrency),
		TokensPerHour:     divide(l.TokensPerHour),
	}
}

// divide returns the remote part of a limit; no limit stays no limit.
func divide(n int64) int64 {
	if n == 0 {
		return 0
	}
	return max(1, n/remoteDivisor)
}

// Validate returns an *Error if a limit is negative.
func (l Limits) Validate() error {
	if l.RequestsPerMinute < 0 || l.Concurrency < 0 || l.TokensPerHour < 0 {
		return &Error{Message: "a limit is negative", Remedy: "declare zero for no limit, or a positive number"}
	}
	return nil
}

// Error reports invalid limits.
type Error struct {
	Message string
	Remedy  string
}

// Error returns the message and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("%s; %s", e.Message, e.Remedy)
}

// Denial is the limit that a request exceeds and the delay before a retry.
type Denial struct {
	Limit      string
	RetryAfter time.Duration
}

// Usage is the usage of one workspace. The zero value is ready to use.
type Usage struct {
	started bool
	// credit is the number of requests that the rate limit allows now; it was last
	// refilled at refilled.
	credit   float64
	refilled time.Duration
	inFlight int64
	// spent counts tokens by slot and total is their sum; slot is the number of the
	// newest slot since the clock's start.
	spent [tokenSlots]int64
	total int64
	slot  int64
}

// Admit admits a request, or returns the limit that forbids it and false. Call Release
// once for each admitted request when it ends.
func (u *Usage) Admit(now time.Duration, l Limits) (Denial, bool) {
	u.refill(now, l)
	u.advance(now)
	if l.Concurrency > 0 && u.inFlight >= l.Concurrency {
		return Denial{Limit: "concurrency", RetryAfter: time.Second}, false
	}
	if l.TokensPerHour > 0 && u.total >= l.TokensPerHour {
		return Denial{Limit: "tokens_per_hour", RetryAfter: u.untilTokensExpire(now)}, false
	}
	if l.RequestsPerMinute > 0 {
		if u.credit < 1 {
			missing := 1 - u.credit
			return Denial{Limit: "requests_per_minute", RetryAfter: time.Duration(missing / float64(l.RequestsPerMinute) * float64(time.Minute))}, false
		}
		u.credit--
	}
	u.inFlight++
	return Denial{}, true
}

// Readmit counts a request that another dispatcher admitted. Call Release when it ends.
func (u *Usage) Readmit() { u.inFlight++ }

// Release counts the end of an admitted request.
func (u *Usage) Release() { u.inFlight-- }

// InFlight returns the number of admitted requests that have not ended.
func (u *Usage) InFlight() int64 { return u.inFlight }

// Spend counts tokens; a negative number corrects an earlier estimate that was too
// high.
func (u *Usage) Spend(now time.Duration, tokens int64) {
	u.advance(now)
	u.spent[u.slot%tokenSlots] += tokens
	u.total += tokens
}

// burst returns the maximum credit under a rate limit.
func burst(l Limits) float64 {
	return max(1, float64(l.RequestsPerMinute)/burstDivisor)
}

func (u *Usage) refill(now time.Duration, l Limits) {
	if !u.started {
		u.started = true
		u.credit = burst(l)
		u.refilled = now
		return
	}
	u.credit += (now - u.refilled).Minutes() * float64(l.RequestsPerMinute)
	u.credit = min(u.credit, burst(l))
	u.refilled = now
}

// advance drops the slots that are over an hour old.
func (u *Usage) advance(now time.Duration) {
	current := int64(now / tokenSlotLength)
	for n := 0; u.slot < current && n < tokenSlots; n++ {
		u.slot++
		u.total -= u.spent[u.slot%tokenSlots]
		u.spent[u.slot%tokenSlots] = 0
	}
	u.slot = max(u.slot, current)
}

// untilTokensExpire returns the time until the oldest slot with tokens is dropped.
func (u *Usage) untilTokensExpire(now time.Duration) time.Duration {
	for n := int64(1); n <= tokenSlots; n++ {
		if u.spent[(u.slot+n)%tokenSlots] > 0 {
			return time.Duration(u.slot+n)*tokenSlotLength - now
		}
	}
	return tokenSlotLength
}
