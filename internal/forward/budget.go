package forward

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/limits"
	"github.com/verbenastep/verbenastep/internal/clock"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// usedBudgetShare is the fraction of the retry budget that entries use. The rest
// covers the offset between the entries' windows and those in which the budget is
// measured.
const usedBudgetShare = 0.8

// retryBudgets holds this entry's share of each pool's retry budget. It is safe for
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

// recordRequest counts a new request, which adds to the budget.
func (b *retryBudgets) recordRequest(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forPool(pool).RecordRequest(b.elapsed())
}

// retryDecision is whether a retry is allowed, and on what the decision rests.
type retryDecision struct {
	allowed bool
	// used is what was counted before the decision. slack is this entry's part, which
	// entries entries share; age is the time since the process started.
	used    limits.RetryUsage
	slack   float64
	entries int
	age     time.Duration
}

// allow decides whether the budget, shared by a number of entries, allows a retry, and
// counts the retry if so.
func (b *retryBudgets) allow(pool string, entries int) retryDecision {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.elapsed()
	budget := b.forPool(pool)
	d := retryDecision{used: budget.Usage(now), slack: usedBudgetShare * b.retry.Slack / float64(entries), entries: entries, age: now - b.started}
	d.allowed = budget.AllowRetry(now, usedBudgetShare*b.retry.RatioOrDefault(), d.slack)
	return d
}

// logFields describes the decision in a log line.
func (d retryDecision) logFields() []zap.Field {
	return []zap.Field{
		zap.Int("requests", d.used.Requests), zap.Int("retries", d.used.Retries), zap.Float64("slack", d.slack),
		zap.Int("entries", d.entries), zap.Duration("process_age", d.age),
	}
}

// dump returns what the budgets have counted, by pool.
func (b *retryBudgets) dump() map[string]limits.RetryUsage {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]limits.RetryUsage, len(b.byPool))
	for pool, budget := range b.byPool {
		out[pool] = budget.Usage(b.elapsed())
	}
	return out
}
