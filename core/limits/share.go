package limits

import "time"

// Share is the part of an allowance that one of several processes may use without asking the
// others for each use. A leader names the number of processes; the parts of all processes never
// add up to more than the whole:
//
//   - a process without a message of a leader for maxGap has no part, since the leader may not
//     count it any more;
//   - it has a part only once it has been in contact for maxGap, in which the others get the new
//     number;
//   - the highest number of the last two maxGap counts: a process whose contact ends may keep its
//     part for as long after the leader has ceased to count it.
//
// It is not safe for concurrent use.
type Share struct {
	maxGap time.Duration
	// began and last delimit the current contact.
	began, last time.Duration
	isKnown     bool
	// counts holds the counts that may be the highest of their time, highest first.
	counts []processCount
	// earned is the part over time until at.
	earned time.Duration
	at     time.Duration
}

// processCount is a number of processes that a leader named, and when it last did.
type processCount struct {
	at time.Duration
	n  int
}

// NewShare returns the part of a process that starts.
func NewShare(maxGap time.Duration) *Share { return &Share{maxGap: maxGap} }

// Contact records a message of a leader that names the number of processes.
func (s *Share) Contact(now time.Duration, processes int) {
	s.Earned(now)
	if !s.inContact(now) {
		s.began = now
	}
	s.last, s.isKnown = now, true
	for len(s.counts) > 0 && s.counts[len(s.counts)-1].n <= processes {
		s.counts = s.counts[:len(s.counts)-1]
	}
	s.counts = append(s.counts, processCount{now, processes})
	for s.counts[0].at < now-2*s.maxGap {
		s.counts = s.counts[1:]
	}
}

func (s *Share) inContact(now time.Duration) bool { return s.isKnown && now-s.last <= s.maxGap }

// Processes returns the number of processes that share the allowance, at least 1.
func (s *Share) Processes() int {
	if len(s.counts) == 0 {
		return 1
	}
	return max(1, s.counts[0].n)
}

// Fraction returns the part of the allowance that the process has now.
func (s *Share) Fraction(now time.Duration) float64 {
	if !s.inContact(now) || now-s.began < s.maxGap {
		return 0
	}
	return 1 / float64(s.Processes())
}

// Earned returns the time for which the process would have had the whole allowance so far, had it
// had it all at once: the integral of Fraction.
func (s *Share) Earned(now time.Duration) time.Duration {
	from, to := max(s.at, s.began+s.maxGap), min(now, s.last+s.maxGap)
	if s.isKnown && to > from {
		s.earned += (to - from) / time.Duration(s.Processes())
	}
	s.at = max(s.at, now)
	return s.earned
}

// Part returns the process's part now.
func (s *Share) Part(now time.Duration) Part {
	return Part{Fraction: s.Fraction(now), Earned: s.Earned(now), Processes: s.Processes()}
}

// Part is one process's part of an allowance that several processes share.
type Part struct {
	// Fraction is the part that the process has now, Earned its integral over time.
	Fraction float64
	Earned   time.Duration
	// Processes is the number of processes that share the allowance.
	Processes int
}
