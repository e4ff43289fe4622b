// Package quarantine tracks request contents that may crash upstreams and tells
// a dispatcher how to treat them. Package sched uses one Tracker per pool.
//
// When an upstream crashes, every request in flight on it becomes suspect,
// identified by the fingerprint of its content. A suspect that completes is
// cleared; one that is in flight at a second crash is quarantined for Duration.
//
// The package does no I/O: times are durations on the caller's monotonic clock,
// and each Change is returned for the caller to share with the other
// dispatchers. A Tracker is not safe for concurrent use.
package quarantine

import "time"

const (
	// quarantineThreshold is the number of crashes after which a content is
	// quarantined.
	quarantineThreshold = 2
	// Duration is how long a quarantined content is refused, counted from its last
	// crash.
	Duration = 10 * time.Minute
	// suspectTTL is how long a suspect that is not offered again is
	// remembered, counted from its last crash.
	suspectTTL = time.Hour
)

// Verdict tells how a dispatcher treats a request.
type Verdict uint8

// Verdicts on a request.
const (
	// Clear requests may run on any upstream.
	Clear Verdict = iota
	// Suspect requests may run only on upstreams that run no other suspect.
	Suspect
	// Undetermined requests stay queued: the content failed on an upstream that
	// may or may not have crashed, and if it did, the content reaches
	// quarantineThreshold.
	Undetermined
	// Quarantined requests are refused without being run.
	Quarantined
)

// Change is a crash count to share with the other dispatchers; zero crashes
// clears the suspicion.
type Change struct {
	Fingerprint uint64
	Crashes     int
}

// crashRecord holds the crashes counted for one fingerprint.
type crashRecord struct {
	crashes int
	since   time.Duration
	// shared reports whether the shared counts have included this fingerprint.
	shared bool
}

// Tracker holds the suspect and quarantined contents of one pool.
type Tracker struct {
	records map[uint64]crashRecord
	// pendingFailures counts failures by fingerprint on upstreams that are not
	// yet known to have survived or crashed.
	pendingFailures map[uint64]int
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{records: map[uint64]crashRecord{}, pendingFailures: map[uint64]int{}}
}

// Sync merges the shared crash counts; the higher count wins. A fingerprint
// that was shared before and is missing now was cleared by another dispatcher
// and is removed; one that has not been shared yet is kept, since its change
// may still be on the way.
func (t *Tracker) Sync(now time.Duration, shared map[uint64]int) {
	for f, n := range shared {
		m, ok := t.records[f]
		if !ok || n > m.crashes {
			m = crashRecord{crashes: n, since: now}
		}
		m.shared = true
		t.records[f] = m
	}
	for f, m := range t.records {
		if _, ok := shared[f]; !ok && m.shared {
			delete(t.records, f)
		}
	}
}

// Verdict returns how to treat a content and, for a quarantined one, the time
// until the quarantine ends. Fingerprint zero stands for unknown content and is
// always clear.
func (t *Tracker) Verdict(now time.Duration, fingerprint uint64) (Verdict, time.Duration) {
	m, ok := t.records[fingerprint]
	switch {
	case fingerprint == 0:
		return Clear, 0
	case m.crashes >= quarantineThreshold:
		return Quarantined, max(0, m.since+Duration-now)
	case m.crashes+t.pendingFailures[fingerprint] >= quarantineThreshold:
		return Undetermined, 0
	case ok:
		return Suspect, 0
	}
	return Clear, 0
}

// RecordFailure records that a content failed on an upstream that may have
// crashed. ResolveFailure resolves it.
func (t *Tracker) RecordFailure(fingerprint uint64) {
	t.pendingFailures[fingerprint]++
}

// ResolveFailure resolves one failure recorded by RecordFailure, once the
// upstream is known to have survived or its crash has been counted.
func (t *Tracker) ResolveFailure(fingerprint uint64) {
	t.pendingFailures[fingerprint]--
	if t.pendingFailures[fingerprint] <= 0 {
		delete(t.pendingFailures, fingerprint)
	}
}

// RecordCrash counts one crash for each distinct content that was in flight on
// a crashed upstream. Unknown contents, with fingerprint zero, are skipped.
func (t *Tracker) RecordCrash(now time.Duration, inFlight []uint64) []Change {
	out := []Change{}
	seen := map[uint64]bool{}
	for _, f := range inFlight {
		if f == 0 || seen[f] {
			continue
		}
		seen[f] = true
		m := crashRecord{crashes: t.records[f].crashes + 1, since: now}
		t.records[f] = m
		out = append(out, Change{Fingerprint: f, Crashes: m.crashes})
	}
	return out
}

// RecordCompletion clears a suspect whose request completed. It returns false
// where there is nothing to clear; a quarantine is not ended early.
func (t *Tracker) RecordCompletion(fingerprint uint64) (Change, bool) {
	m, ok := t.records[fingerprint]
	if !ok || m.crashes >= quarantineThreshold {
		return Change{}, false
	}
	delete(t.records, fingerprint)
	return Change{Fingerprint: fingerprint}, true
}

// Expire removes quarantines after Duration and suspicions after suspectTTL.
func (t *Tracker) Expire(now time.Duration) []Change {
	out := []Change{}
	for f, m := range t.records {
		ttl := suspectTTL
		if m.crashes >= quarantineThreshold {
			ttl = Duration
		}
		if now-m.since >= ttl {
			delete(t.records, f)
			out = append(out, Change{Fingerprint: f})
		}
	}
	return out
}

// Len returns the number of suspect and quarantined contents.
func (t *Tracker) Len() int { return len(t.records) }
