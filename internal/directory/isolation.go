package directory

import (
	"sync"
	"time"

	"github.com/verbenastep/verbenastep/internal/port"
)

const (
	// isolationWindow is the time for which the largest member list is remembered, in two
	// halves. A network partition that lasts longer leaves an entry with the members that it
	// still reaches.
	isolationWindow = time.Minute
	// isolationInterval is how often the member list is read.
	isolationInterval = time.Second
)

// isolation finds out whether this daemon is partitioned from most others, so that its list of
// live entries is of little use to callers. It is safe for concurrent use.
type isolation struct {
	mu sync.Mutex
	// halfStarted is the start of the current half of the window; current and previous are the
	// largest member lists in it and in the one before.
	halfStarted       time.Duration
	current, previous []port.Member
}

// members returns the members to answer with: the live ones or, if no control daemon is live and
// more than half of the entries have been lost within the window, the largest list of the window.
// Whether these are out of reach or have failed can't be told; callers pass over those that don't
// answer.
func (i *isolation) members(now time.Duration, live []port.Member) []port.Member {
	i.mu.Lock()
	defer i.mu.Unlock()
	if elapsed := now - i.halfStarted; elapsed >= isolationWindow/2 {
		i.previous = i.current
		if elapsed >= isolationWindow {
			i.previous = nil
		}
		i.current, i.halfStarted = nil, now
	}
	if countEntries(live) >= countEntries(i.current) {
		i.current = live
	}
	largest := i.current
	if countEntries(i.previous) > countEntries(largest) {
		largest = i.previous
	}
	if hasReplica(live) || 2*countEntries(live) >= countEntries(largest) {
		return live
	}
	return largest
}

func countEntries(members []port.Member) int {
	n := 0
	for _, m := range members {
		if m.Callers != "" {
			n++
		}
	}
	return n
}

func hasReplica(members []port.Member) bool {
	for _, m := range members {
		if m.Replica {
			return true
		}
	}
	return false
}
