// Package limits counts what a workspace uses against its declared limits: a
// rate of requests, a number of requests at once, and tokens over an hour.
//
// The package is pure: time is a duration on the caller's monotonic clock. One
// Usage counts for one workspace at one dispatcher, over all entries together,
// so within one pool and region the count is exact.
package limits

import (
	"fmt"
	"time"
)

// Limits bound one workspace. Zero means no limit.
type Limits struct {
	// RequestsPerMinute is an average rate, with a burst of one tenth of it.
	RequestsPerMinute int64
	// Concurrency counts requests queued or in service.
	Concurrency int64
	// TokensPerHour counts uncached prompt tokens and output tokens.
	TokensPerHour int64
}

const (
	// burstPart divides the rate per minute into the largest burst.
	burstPart = 10
	// slots divide the hour over which tokens are counted.
	slots = 60
	// slotLength is how long one of them is.
	slotLength = time.Hour / slots
	// awayPart divides the limits for a region that isn't the workspace's home.
	awayPart = 4
)

// Away returns the limits that a region other than the workspace's home
// enforces: a quarter, and at least one. With the home region's full limits,
// n regions together exceed the declared limit by at most (n-1)/4 of it.
func (l Limits) Away() Limits {
	return Limits{
		RequestsPerMinute: part(l.RequestsPerMinute),
		Concurrency:       part(l.Concurrency),
		TokensPerHour:     part(l.TokensPerHour),
	}
}

func part(n int64) int64 {
	if n == 0 {
		return 0
	}
	return max(1, n/awayPart)
}

// Check returns an error where a limit is negative.
func (l Limits) Check() error {
	if l.RequestsPerMinute < 0 || l.Concurrency < 0 || l.TokensPerHour < 0 {
		return &Error{Message: "a limit is negative", Remedy: "declare zero for no limit, or a positive number"}
	}
	return nil
}

// Error says that limits are malformed.
type Error struct {
	Message string
	Remedy  string
}

// Error names the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("%s; %s", e.Message, e.Remedy)
}

// Denial says which limit a request exceeds and when to come back.
type Denial struct {
	Limit      string
	RetryAfter time.Duration
}

// Usage is what one workspace uses. The zero value has used nothing.
type Usage struct {
	started bool
	// credit is how many requests may come at once, refilled up to the burst.
	credit  float64
	filled  time.Duration
	present int64
	// spent counts tokens by minute; slot is the newest minute's number.
	spent [slots]int64
	total int64
	slot  int64
}

// Admit counts one request, or says which limit forbids it; then nothing
// changes. Each admitted request ends by one Leave.
func (u *Usage) Admit(now time.Duration, l Limits) (Denial, bool) {
	u.refill(now, l)
	u.advance(now)
	if l.Concurrency > 0 && u.present >= l.Concurrency {
		return Denial{Limit: "concurrency", RetryAfter: time.Second}, false
	}
	if l.TokensPerHour > 0 && u.total >= l.TokensPerHour {
		return Denial{Limit: "tokens_per_hour", RetryAfter: u.untilSpentFalls(now)}, false
	}
	if l.RequestsPerMinute > 0 {
		if u.credit < 1 {
			missing := 1 - u.credit
			return Denial{Limit: "requests_per_minute", RetryAfter: time.Duration(missing / float64(l.RequestsPerMinute) * float64(time.Minute))}, false
		}
		u.credit--
	}
	u.present++
	return Denial{}, true
}

// Resume counts a request that was admitted before, by another dispatcher.
func (u *Usage) Resume() { u.present++ }

// Leave ends one admitted request.
func (u *Usage) Leave() { u.present-- }

// Present returns how many admitted requests have not ended.
func (u *Usage) Present() int64 { return u.present }

// Spend counts tokens; a negative number corrects an earlier estimate.
func (u *Usage) Spend(now time.Duration, tokens int64) {
	u.advance(now)
	u.spent[u.slot%slots] += tokens
	u.total += tokens
}

// burst returns the most requests at once.
func burst(l Limits) float64 {
	return max(1, float64(l.RequestsPerMinute)/burstPart)
}

func (u *Usage) refill(now time.Duration, l Limits) {
	if !u.started {
		u.started = true
		u.credit = burst(l)
		u.filled = now
		return
	}
	u.credit += (now - u.filled).Minutes() * float64(l.RequestsPerMinute)
	u.credit = min(u.credit, burst(l))
	u.filled = now
}

// advance drops the minutes that are over an hour old.
func (u *Usage) advance(now time.Duration) {
	want := int64(now / slotLength)
	for n := 0; u.slot < want && n < slots; n++ {
		u.slot++
		u.total -= u.spent[u.slot%slots]
		u.spent[u.slot%slots] = 0
	}
	u.slot = max(u.slot, want)
}

// untilSpentFalls returns when the oldest minute with tokens is dropped.
func (u *Usage) untilSpentFalls(now time.Duration) time.Duration {
	for n := int64(1); n <= slots; n++ {
		if u.spent[(u.slot+n)%slots] > 0 {
			return time.Duration(u.slot+n)*slotLength - now
		}
	}
	return slotLength
}
