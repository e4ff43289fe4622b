package forward

import (
	"sync"
	"time"

	"github.com/verbenastep/verbenastep/core/limits"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// budgetShare is the part of the budget that is used, since windows of the
// entries and of those who count don't begin at the same moment.
const budgetShare = 0.8

// budgets are this entry's parts of the retry budgets, by pool.
type budgets struct {
	retry settings.Retry
	began time.Time

	mu     sync.Mutex
	byPool map[string]*limits.Repeats
}

func newBudgets(retry settings.Retry) *budgets {
	return &budgets{retry: retry, began: time.Now(), byPool: map[string]*limits.Repeats{}}
}

// of returns a pool's budget; the lock is held.
func (b *budgets) of(pool string) *limits.Repeats {
	r := b.byPool[pool]
	if r == nil {
		r = limits.NewRepeats(time.Duration(b.retry.WindowMS) * time.Millisecond)
		b.byPool[pool] = r
	}
	return r
}

// request counts a request that is sent for the first time.
func (b *budgets) request(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(pool).Request(time.Since(b.began))
}

// allow counts a repeat where the budget, shared by a number of entries, has
// room.
func (b *budgets) allow(pool string, entries int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	slack := budgetShare * float64(b.retry.Slack) / float64(entries)
	return b.of(pool).Allow(time.Since(b.began), budgetShare*b.retry.Ratio, slack)
}
