// Package paths tracks which upstreams an entry can connect to by itself, and which only other
// entries reach. Package egress uses it.
//
// It does no I/O: the caller passes the time as a duration on its monotonic clock. A Tracker is
// not safe for concurrent use.
package paths

import (
	"maps"
	"time"
)

const (
	// lostFailures is how many connections in a row must fail, each to an upstream that
	// another entry reaches, for the path to that upstream to be lost.
	lostFailures = 2
	// partitionPaths is how many paths must have failed since the last connection for the
	// entry to count as partitioned from all upstreams.
	partitionPaths = 3
	// failureTTL is how long a failure counts: a path that is not used is tried again.
	failureTTL = 10 * time.Second
	// probeInterval is the time between two direct connections that are tried while paths
	// are lost.
	probeInterval = 400 * time.Millisecond
)

// Tracker holds the state of the paths of one entry.
type Tracker struct {
	failed map[string]*failure
	// sinceConnection holds the paths that failed since the last direct connection.
	sinceConnection map[string]struct{}
	partitioned     bool
	nextProbe       time.Duration
	// probed is the path that was probed last.
	probed string
}

// failure counts the failures of one path in a row.
type failure struct {
	count  int
	lastAt time.Duration
}

// New returns a tracker of sound paths.
func New() *Tracker {
	return &Tracker{failed: map[string]*failure{}, sinceConnection: map[string]struct{}{}}
}

// RecordFailure records that the entry could not connect to the upstream at an address, which
// another entry reached at that time. It returns true if the entry is now partitioned from all
// upstreams and was not before.
func (t *Tracker) RecordFailure(now time.Duration, address string) bool {
	t.expire(now)
	f := t.failed[address]
	if f == nil {
		f = &failure{}
		t.failed[address] = f
	}
	f.count++
	f.lastAt = now
	t.sinceConnection[address] = struct{}{}
	if t.partitioned || len(t.sinceConnection) < partitionPaths {
		return false
	}
	t.partitioned = true
	return true
}

// RecordConnection records that the entry connected to the upstream at an address. It returns
// true if the entry was partitioned from all upstreams until now.
func (t *Tracker) RecordConnection(address string) bool {
	was := t.partitioned
	clear(t.sinceConnection)
	if was {
		// The other paths are tried again as they are used.
		clear(t.failed)
		t.partitioned = false
	}
	delete(t.failed, address)
	return was
}

// IsLost reports whether the path to the upstream at an address is lost.
func (t *Tracker) IsLost(now time.Duration, address string) bool {
	t.expire(now)
	f := t.failed[address]
	return t.partitioned || f != nil && f.count >= lostFailures
}

// IsPartitioned reports whether the entry is partitioned from all upstreams.
func (t *Tracker) IsPartitioned() bool { return t.partitioned }

// Probe returns the address of a lost path to try now, and false if none is due.
func (t *Tracker) Probe(now time.Duration) (address string, due bool) {
	t.expire(now)
	if now < t.nextProbe {
		return "", false
	}
	first, next := "", ""
	for address, f := range t.failed {
		if f.count < lostFailures && !t.partitioned {
			continue
		}
		if first == "" || address < first {
			first = address
		}
		if address > t.probed && (next == "" || address < next) {
			next = address
		}
	}
	if next == "" {
		next = first
	}
	if next == "" {
		return "", false
	}
	t.probed, t.nextProbe = next, now+probeInterval
	return next, true
}

// RecordDetour records that another entry connected to the upstream at an address for this
// one, which did not try by itself. A partition lasts while there are detours.
func (t *Tracker) RecordDetour(now time.Duration, address string) {
	t.expire(now)
	if f := t.failed[address]; f != nil {
		f.lastAt = now
	} else if t.partitioned {
		t.failed[address] = &failure{count: lostFailures, lastAt: now}
	}
}

// expire forgets failures of long ago.
func (t *Tracker) expire(now time.Duration) {
	maps.DeleteFunc(t.failed, func(_ string, f *failure) bool { return now-f.lastAt > failureTTL })
	maps.DeleteFunc(t.sinceConnection, func(address string, _ struct{}) bool { return t.failed[address] == nil })
	t.partitioned = t.partitioned && len(t.failed) > 0
}
