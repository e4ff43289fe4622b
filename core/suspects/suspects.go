// Package suspects finds out which content of requests crashes upstreams. A content is what
// a request may crash an upstream with: the request as a whole, or a part of its prompt that
// other requests share. Packages broker and sched use one Tracker each.
//
// Everything that an upstream runs is lost with it, so which content is at fault shows only
// over several crashes:
//
//   - A content is suspected from the first crash that is held against it. A complete answer
//     clears all contents of its request.
//   - Requests with a suspected content run one at a time until their answer should have
//     begun: a trial. A crash counts only if the request was granted some time after the one
//     before, so that upstreams that are lost together put nothing into quarantine.
//   - At quarantineThreshold crashes without an answer in between, requests that have all
//     contents which were present at each of these crashes are refused.
//
// Trackers exchange each crash that they counted and each clearing, and merge them to the same counts
// in whatever order they arrive.
//
// The package does no I/O: times are durations on the caller's monotonic clock.
package suspects

import (
	"math"
	"slices"
	"time"
)

const (
	// quarantineThreshold is how many crashes in turn put a content into quarantine. Two
	// may be unrelated faults; the third is not worth the risk to another upstream.
	quarantineThreshold = 3
	// minQuarantine is the duration of a content's first quarantine. Then one request with
	// it is tried again; if that crashes an upstream too, the next quarantine is
	// quarantineGrowth times as long, up to maxQuarantine.
	minQuarantine    = 20 * time.Second
	quarantineGrowth = 8
	maxQuarantine    = 24 * time.Hour
	// suspectTTL is how long a suspicion is remembered after the last crash.
	suspectTTL = 2 * time.Minute
	// quarantineMemory is how long a content that was in quarantine stays suspected.
	quarantineMemory = 24 * time.Hour
	// maxCountedRuns bounds the runs that are kept of a suspect, and so its count of crashes. With
	// as many the quarantine has reached maxQuarantine.
	maxCountedRuns = 8
	// maxSuspects bounds the suspects; no further content is suspected beyond it.
	maxSuspects = 10_000
	// crashSpread is the time within which upstreams that are lost together are reported.
	// No trial begins within it after the second crash and later ones; after the first, the
	// request itself goes on elsewhere at once.
	crashSpread = 400 * time.Millisecond

	// A trial lasts trialFactor times the estimated time to the first event and
	// trialMargin, at most maxTrial.
	trialFactor = 2
	trialMargin = 300 * time.Millisecond
	maxTrial    = 2 * time.Second
)

// Suspect is what trackers tell each other about a content.
type Suspect struct {
	Content uint64
	// Crashes is the number of crashes held against the content; zero if it is cleared.
	Crashes int
	// Runs are the runs that the crashes ended, in the order in which they became known; empty from
	// a tracker of an earlier version.
	Runs []Run
	// ClearedAt is when an answer last cleared the content of earlier crashes, if IsCleared is set.
	IsCleared bool
	ClearedAt time.Duration
	// Together lists the contents that were present at each of these crashes.
	Together []uint64
	// RefusedUntil is until when requests with these contents are refused.
	RefusedUntil time.Duration
}

// IsQuarantined reports whether requests with the content are refused, or were until lately.
func (s Suspect) IsQuarantined() bool { return s.Crashes >= quarantineThreshold }

// Stage is how a request stands with the contents that it has.
type Stage uint8

const (
	// Clear requests have no suspected content.
	Clear Stage = iota
	// FirstTrial requests may run beside others in that stage.
	FirstTrial
	// LastTrial requests put a content into quarantine if their upstream crashes, so they
	// run beside no other trial.
	LastTrial
)

// Run is the time for which an upstream had a request, from the grant to the loss of its
// connection.
type Run struct {
	// Attempt identifies the run to all trackers; zero if nothing does.
	Attempt uint64
	Granted time.Duration
	Lost    time.Duration
}

// countsWith reports whether the crash that ended a run counts beside that of another: it is not the
// same one, and the upstreams were not lost together.
func (r Run) countsWith(other Run) bool {
	return !(r.Attempt != 0 && r.Attempt == other.Attempt) && !r.overlaps(other)
}

// overlaps reports whether the upstream of a run may have been lost together with that of another.
func (r Run) overlaps(other Run) bool { return r.Granted < other.Lost && other.Granted < r.Lost }

// suspect is a content under which upstreams crashed, with no complete answer since.
type suspect[ID comparable] struct {
	Suspect
	expiresAt time.Duration
	// trial is the request that runs until trialEnd while others with the content wait.
	trial    ID
	trialEnd time.Duration
}

// refuse refuses requests with the content until its quarantine ends.
func (s *suspect[ID]) refuse(now time.Duration) {
	s.RefusedUntil = now + QuarantineDuration(s.Crashes)
	s.expiresAt = s.RefusedUntil + quarantineMemory
}

// QuarantineDuration returns the duration of the quarantine after a number of crashes.
func QuarantineDuration(crashes int) time.Duration {
	factor := math.Pow(quarantineGrowth, float64(crashes-quarantineThreshold))
	return time.Duration(min(float64(minQuarantine)*factor, float64(maxQuarantine)))
}

// Tracker holds the suspected contents of requests, which ID identifies. It is not safe for
// concurrent use.
type Tracker[ID comparable] struct {
	suspects map[uint64]*suspect[ID]
	// clearings holds when contents were cleared: reports of earlier crashes that arrive later do not
	// count.
	clearings map[uint64]clearing
	// changed holds the contents that TakeChanges returns.
	changed map[uint64]bool
}

// New returns a tracker without suspects.
func New[ID comparable]() *Tracker[ID] {
	return &Tracker[ID]{suspects: map[uint64]*suspect[ID]{}, clearings: map[uint64]clearing{}, changed: map[uint64]bool{}}
}

// find returns a suspected content, or nil.
func (t *Tracker[ID]) find(now time.Duration, content uint64) *suspect[ID] {
	s := t.suspects[content]
	if s == nil || s.expiresAt < now {
		return nil
	}
	return s
}

// HoldAgainst holds the crash of an upstream against the contents of the request that it ran.
// It may be known later than other crashes that followed it. HoldAgainst returns the contents for
// which the crash counts.
func (t *Tracker[ID]) HoldAgainst(now time.Duration, run Run, contents []uint64) []Suspect {
	t.removeExpired(now)
	out := []Suspect{}
	for _, c := range contents {
		s := t.find(now, c)
		if s == nil && len(t.suspects) >= maxSuspects || run.Lost < t.clearings[c].at {
			continue
		}
		if s == nil {
			s = &suspect[ID]{Suspect: Suspect{Content: c, Together: contents}}
			s.count(run)
			t.suspects[c] = s
		} else if !s.count(run) {
			continue
		}
		s.expiresAt, s.trialEnd = now+suspectTTL, max(s.trialEnd, run.Lost)
		if s.Crashes > 1 {
			s.trialEnd = max(s.trialEnd, run.Lost+crashSpread)
		}
		s.narrow(contents)
		if s.IsQuarantined() {
			s.refuse(now)
		}
		t.changed[c] = true
		out = append(out, s.Suspect)
	}
	return out
}

// count counts the crash that ended a run, unless it is known or its upstream was lost together with
// that of another one. It reports whether it did.
func (s *suspect[ID]) count(run Run) bool {
	if slices.ContainsFunc(s.Runs, func(other Run) bool { return !run.countsWith(other) }) {
		return false
	}
	s.Runs = append(s.Runs[max(0, len(s.Runs)-maxCountedRuns+1):len(s.Runs):len(s.Runs)], run)
	s.Crashes = len(s.Runs)
	return true
}

// narrow limits what was present at each crash to what was present at a further one.
func (s *suspect[ID]) narrow(contents []uint64) {
	s.Together = slices.DeleteFunc(slices.Clone(s.Together), func(other uint64) bool { return !slices.Contains(contents, other) })
}

// RefusedFor returns how long requests with these contents are still refused; zero if they
// are not. After a quarantine one request is tried again if mayRetry is set.
func (t *Tracker[ID]) RefusedFor(now time.Duration, contents []uint64, mayRetry bool) time.Duration {
	if len(t.suspects) == 0 {
		return 0
	}
	longest := time.Duration(0)
	for _, c := range contents {
		s := t.find(now, c)
		if s == nil || !s.isAtFault(contents) {
			continue
		}
		if left := s.RefusedUntil - now; left > 0 || !mayRetry {
			longest = max(longest, left, minQuarantine)
		}
	}
	return longest
}

// isAtFault reports whether requests with these contents are the ones that crash upstreams.
func (s *suspect[ID]) isAtFault(contents []uint64) bool {
	return s.IsQuarantined() && !slices.ContainsFunc(s.Together, func(c uint64) bool { return !slices.Contains(contents, c) })
}

// Stage returns how a waiting request stands with its contents, and false if it has to wait
// for the trial of another request.
func (t *Tracker[ID]) Stage(now time.Duration, id ID, contents []uint64) (Stage, bool) {
	out := Clear
	if len(t.suspects) == 0 {
		return out, true
	}
	for _, c := range contents {
		s := t.find(now, c)
		switch {
		case s == nil:
		case now < s.trialEnd && s.trial != id:
			return out, false
		case s.Crashes >= quarantineThreshold-1:
			out = LastTrial
		default:
			out = max(out, FirstTrial)
		}
	}
	return out, true
}

// StartTrial records that a request runs, whose first event should take the given time. It
// returns the end of its trial.
func (t *Tracker[ID]) StartTrial(now time.Duration, id ID, contents []uint64, first time.Duration) time.Duration {
	end := now + min(maxTrial, trialFactor*first+trialMargin)
	for _, c := range contents {
		s := t.find(now, c)
		if s == nil {
			continue
		}
		s.trial, s.trialEnd = id, end
		if s.isAtFault(contents) {
			// Others are refused until the outcome is known.
			s.refuse(now)
			t.changed[c] = true
		}
	}
	return end
}

// EndTrial ends the trial of a request that has ended.
func (t *Tracker[ID]) EndTrial(now time.Duration, id ID, contents []uint64) {
	for _, c := range contents {
		if s := t.suspects[c]; s != nil && s.trial == id {
			s.trialEnd = now
		}
	}
}
