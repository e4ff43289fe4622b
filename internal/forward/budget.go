package forward

import (
	"sync"
	"time"

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

	mu     sync.Mutex
	byPool map[string]*limits.RetryBudget
}

func newRetryBudgets(retry settings.Retry) *retryBudgets {
	return &retryBudgets{retry: retry, elapsed: clock.SinceBoot, byPool: map[string]*limits.RetryBudget{}}
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

// allow reports whether the budget, shared by a number of entries, allows a retry,
// and counts the retry if so.
func (b *retryBudgets) allow(pool string, entries int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	slack := usedBudgetShare * b.retry.Slack / float64(entries)
	return b.forPool(pool).AllowRetry(b.elapsed(), usedBudgetShare*b.retry.RatioOrDefault(), slack)
}
