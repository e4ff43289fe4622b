package broker

import (
	"maps"
	"slices"
	"time"
)

// notices holds what a process of an upstream said of further requests.
type notices struct {
	// born is that of the process. Its notices do not hold for later processes.
	born    int64
	leaving bool
	// pausedUntil is, by entry, until when the process wants no requests of it.
	pausedUntil map[string]time.Duration
}

// record records what an upstream said to an entry. It ignores what an earlier process said.
func (n *notices) record(now time.Duration, entry string, e End) {
	if e.Born < n.born || !e.Leaving && e.RetryAfter <= 0 {
		return
	}
	if e.Born > n.born {
		*n = notices{born: e.Born}
	}
	// Without a start time the process can't be told from a later one, which would get no
	// requests for good.
	n.leaving = n.leaving || e.Leaving && e.Born > 0
	if e.RetryAfter <= 0 {
		return
	}
	if n.pausedUntil == nil {
		n.pausedUntil = map[string]time.Duration{}
	}
	maps.DeleteFunc(n.pausedUntil, func(_ string, until time.Duration) bool { return until <= now })
	n.pausedUntil[entry] = max(n.pausedUntil[entry], now+e.RetryAfter)
}

// isLeaving reports whether the upstream leaves, by the roster or by its own notice.
func (u *upstream) isLeaving() bool {
	return u.Leaving || u.notices.leaving && u.Born <= u.notices.born
}

// isPaused reports whether the upstream wants no requests of an entry now.
func (u *upstream) isPaused(now time.Duration, entry string) bool {
	return now < u.notices.pausedUntil[entry] && u.Born <= u.notices.born
}

// isOpenTo reports whether an upstream wants requests of an entry now, and the entry has a path
// to it.
func (u *upstream) isOpenTo(now time.Duration, entry string) bool {
	return !u.isPaused(now, entry) && !u.paths.contains(now, entry)
}

// noneOpenTo reports whether no open upstream can get requests of an entry now.
func (r *round) noneOpenTo(entry string) bool {
	return !slices.ContainsFunc(r.open, func(u *upstream) bool { return u.isOpenTo(r.now, entry) })
}
