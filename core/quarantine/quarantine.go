// Package quarantine finds requests that crash the upstreams that run them.
//
// An upstream that dies makes every request in flight on it a suspect, by the
// fingerprint of its content. A suspect that completes is cleared; one that is
// present at a second crash is quarantined for a time. The package is pure:
// time is a duration on the caller's monotonic clock, and changes come out for
// the caller to share with the other dispatchers.
package quarantine

import "time"

const (
	// crashesToQuarantine is how many upstreams one content may take down.
	crashesToQuarantine = 2
	// Hold is how long a quarantined content is refused.
	Hold = 10 * time.Minute
	// suspicionLife is how long a suspect that never comes back is remembered.
	suspicionLife = time.Hour
)

// Verdict says how a request is to be treated.
type Verdict uint8

// Verdicts.
const (
	// Clear requests run anywhere.
	Clear Verdict = iota
	// Suspect requests run where no other suspect runs.
	Suspect
	// Unsettled requests wait: they failed on an upstream of which it is not
	// known yet whether it died, and another crash would be one too many.
	Unsettled
	// Quarantined requests are refused.
	Quarantined
)

// Change is a crash count to share; zero clears the suspicion.
type Change struct {
	Fingerprint uint64
	Crashes     int
}

// mark is what is known of one fingerprint.
type mark struct {
	crashes int
	since   time.Duration
	// shared says that the shared list has held this count.
	shared bool
}

// Tracker knows the suspects of one pool.
type Tracker struct {
	marks map[uint64]mark
	// unsettled counts, by fingerprint, the failures on upstreams of which it
	// is not known yet whether they died.
	unsettled map[uint64]int
}

// New returns a tracker without suspects.
func New() *Tracker {
	return &Tracker{marks: map[uint64]mark{}, unsettled: map[uint64]int{}}
}

// Sync takes over the shared crash counts. What the shared list held before
// and no longer holds was cleared elsewhere; what it has not held yet is on its
// way there and stays.
func (t *Tracker) Sync(now time.Duration, shared map[uint64]int) {
	for f, n := range shared {
		m, ok := t.marks[f]
		if !ok || n > m.crashes {
			m = mark{crashes: n, since: now}
		}
		m.shared = true
		t.marks[f] = m
	}
	for f, m := range t.marks {
		if _, ok := shared[f]; !ok && m.shared {
			delete(t.marks, f)
		}
	}
}

// Verdict returns how a content is to be treated and, where it is
// quarantined, for how long.
func (t *Tracker) Verdict(now time.Duration, fingerprint uint64) (Verdict, time.Duration) {
	m, ok := t.marks[fingerprint]
	switch {
	case fingerprint == 0:
		return Clear, 0
	case m.crashes >= crashesToQuarantine:
		return Quarantined, max(0, m.since+Hold-now)
	case m.crashes+t.unsettled[fingerprint] >= crashesToQuarantine:
		return Unsettled, 0
	case ok:
		return Suspect, 0
	}
	return Clear, 0
}

// Broke notes that a content failed on an upstream that may have died of it.
func (t *Tracker) Broke(fingerprint uint64) {
	t.unsettled[fingerprint]++
}

// Settled takes one failure back: its upstream lives, or counts as crashed.
func (t *Tracker) Settled(fingerprint uint64) {
	t.unsettled[fingerprint]--
	if t.unsettled[fingerprint] <= 0 {
		delete(t.unsettled, fingerprint)
	}
}

// Crashed counts a crash for each content that was in flight; a content that
// is given more than once is counted once.
func (t *Tracker) Crashed(now time.Duration, inFlight []uint64) []Change {
	out := []Change{}
	seen := map[uint64]bool{}
	for _, f := range inFlight {
		if f == 0 || seen[f] {
			continue
		}
		seen[f] = true
		m := mark{crashes: t.marks[f].crashes + 1, since: now}
		t.marks[f] = m
		out = append(out, Change{Fingerprint: f, Crashes: m.crashes})
	}
	return out
}

// Completed clears a suspect that ran to its end.
func (t *Tracker) Completed(fingerprint uint64) (Change, bool) {
	m, ok := t.marks[fingerprint]
	if !ok || m.crashes >= crashesToQuarantine {
		return Change{}, false
	}
	delete(t.marks, fingerprint)
	return Change{Fingerprint: fingerprint}, true
}

// Expire ends quarantines and suspicions whose time is over.
func (t *Tracker) Expire(now time.Duration) []Change {
	out := []Change{}
	for f, m := range t.marks {
		life := suspicionLife
		if m.crashes >= crashesToQuarantine {
			life = Hold
		}
		if now-m.since >= life {
			delete(t.marks, f)
			out = append(out, Change{Fingerprint: f})
		}
	}
	return out
}

// Len returns how many contents are suspect or quarantined.
func (t *Tracker) Len() int { return len(t.marks) }
