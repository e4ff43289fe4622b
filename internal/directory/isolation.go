package directory

import (
	"sync"
	"time"

	"github.com/verbenastep/verbenastep/internal/port"
)

// isolationWindow is the time for which the number of live entries is remembered, in two halves.
// A network partition that lasts longer leaves an entry with the members that it still reaches.
const isolationWindow = time.Minute

// isolation finds out whether this daemon is partitioned from the others. Its own list of live
// entries is then of little use to callers. It is safe for concurrent use.
type isolation struct {
	mu sync.Mutex
	// halfStarted is the start of the current half of the window; current and previous are the
	// highest numbers of live entries in it and in the one before.
	halfStarted       time.Duration
	current, previous int
}

// isIsolated reports whether no control daemon is live and more than half of the entries have
// been lost within the window.
func (i *isolation) isIsolated(now time.Duration, live []port.Member) bool {
	entries, replicas := 0, 0
	for _, m := range live {
		if m.Callers != "" {
			entries++
		}
		if m.Replica {
			replicas++
		}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if elapsed := now - i.halfStarted; elapsed >= isolationWindow/2 {
		i.previous = i.current
		if elapsed >= isolationWindow {
			i.previous = 0
		}
		i.current, i.halfStarted = 0, now
	}
	i.current = max(i.current, entries)
	return replicas == 0 && 2*entries < max(i.current, i.previous)
}
