package forward

import (
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/limits"
	"github.com/verbenastep/verbenastep/internal/clock"
	"github.com/verbenastep/verbenastep/internal/settings"
)

var errRetryBudget = errors.New("the retry budget became smaller while the request waited")

// retryBudgets holds this entry's part of each pool's retry budget. It is safe for
// concurrent use.
type retryBudgets struct {
	retry settings.Retry
	// elapsed counts suspensions of the machine: the requests from before one have left the
	// window in which the budget is measured.
	elapsed func() time.Duration
	started time.Duration

	mu     sync.Mutex
	byPool map[string]*limits.RetryBudget
}

func newRetryBudgets(retry settings.Retry) *retryBudgets {
	return &retryBudgets{retry: retry, elapsed: clock.SinceBoot, started: clock.SinceBoot(), byPool: map[string]*limits.RetryBudget{}}
}

// forPool returns a pool's budget. The caller holds b.mu.
func (b *retryBudgets) forPool(pool string) *limits.RetryBudget {
	r := b.byPool[pool]
	if r == nil {
		r = limits.NewRetryBudget(settings.Milliseconds(b.retry.WindowMS))
		b.byPool[pool] = r
	}
	return r
}

// limits returns the declared limits with this entry's part.
func (b *retryBudgets) limits(part limits.Part) limits.RetryLimits {
	return limits.RetryLimits{Ratio: b.retry.RatioOrDefault(), Slack: b.retry.Slack, Part: part}
}

// recordRequest counts a new request, which adds to the budget.
func (b *retryBudgets) recordRequest(pool string, part limits.Part) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forPool(pool).RecordRequest(b.elapsed(), b.limits(part))
}

// retryDecision is whether a retry is allowed, and on what the decision rests.
type retryDecision struct {
	allowed bool
	usage   limits.RetryUsage
	part    limits.Part
	// age is the time since the process started.
	age time.Duration
}

// reserve decides whether the budget allows a retry, and reserves it if so. The retry must be
// sent or released.
func (b *retryBudgets) reserve(pool string, part limits.Part) retryDecision {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, l := b.elapsed(), b.limits(part)
	budget := b.forPool(pool)
	d := retryDecision{usage: budget.Usage(now, l), part: part, age: now - b.started}
	d.allowed = budget.Reserve(now, l)
	return d
}

// send counts a reserved retry that is about to be sent. It returns false if the retry must
// not be sent any more.
func (b *retryBudgets) send(pool string, part limits.Part) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.forPool(pool).Send(b.elapsed(), b.limits(part))
}

// release gives up a reserved retry.
func (b *retryBudgets) release(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forPool(pool).Release()
}

// logFields describes the decision in a log line.
func (d retryDecision) logFields() []zap.Field {
	return []zap.Field{
		zap.Int("requests", d.usage.Requests), zap.Float64("budget", d.usage.Level), zap.Float64("capacity", d.usage.Capacity), zap.Int("pending", d.usage.Pending),
		zap.Float64("share", d.part.Fraction), zap.Int("entries", d.part.Processes), zap.Duration("process_age", d.age),
	}
}

// dump returns the state of the budgets by pool.
func (b *retryBudgets) dump(part limits.Part) map[string]limits.RetryUsage {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]limits.RetryUsage, len(b.byPool))
	for pool, budget := range b.byPool {
		out[pool] = budget.Usage(b.elapsed(), b.limits(part))
	}
	return out
}
