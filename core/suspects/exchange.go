package suspects

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxReported bounds the contents that TakeChanges returns, and those short of a quarantine that All
	// returns.
	maxReported = 1000
	// maxRefusalSkew is how much later the end of a refusal has to be at another tracker to be taken
	// over: times shift by the delay of a message.
	maxRefusalSkew = time.Second
	// unknownGrant stands for the time of a grant that another tracker did not state.
	unknownGrant = 24 * time.Hour
)

// clearing is what is remembered of a content that was cleared.
type clearing struct {
	at time.Duration
	// attempts identifies the runs that were known to have crashed upstreams before.
	attempts  []uint64
	expiresAt time.Duration
}

// covers reports whether the content was cleared of the crash that ended a run.
func (c clearing) covers(r Run) bool {
	return r.Lost <= c.at || r.Attempt != 0 && slices.Contains(c.attempts, r.Attempt)
}

// Clear removes contents of a complete answer from suspicion. What was suspected together with
// them is at fault without them.
func (t *Tracker[ID]) Clear(now time.Duration, contents []uint64) {
	for _, c := range contents {
		if t.suspects[c] != nil {
			t.clearUntil(now, c, now)
		}
	}
}

// clearUntil clears a content of the crashes until a time.
func (t *Tracker[ID]) clearUntil(now time.Duration, content uint64, at time.Duration) {
	t.removeExpired(now)
	s := t.suspects[content]
	c, isKnown := t.clearings[content]
	if !isKnown {
		c.at = at
	} else if at <= c.at && s == nil {
		return
	}
	c.at, c.expiresAt = max(at, c.at), max(c.expiresAt, now+suspectTTL)
	left := []Run{}
	if s != nil {
		for _, r := range s.Runs {
			if c.covers(r) {
				c.attempts = append(c.attempts[max(0, len(c.attempts)-maxCountedRuns+1):len(c.attempts):len(c.attempts)], r.Attempt)
			} else {
				left = append(left, r)
			}
		}
		if s.IsQuarantined() {
			c.expiresAt = now + quarantineMemory
		}
	}
	if isKnown || len(t.clearings) < maxSuspects {
		t.clearings[content] = c
	}
	if s == nil || len(left) == len(s.Runs) {
		return
	}
	t.changed[content] = true
	if len(left) > 0 {
		s.Runs, s.Crashes = left, len(left)
		if !s.IsQuarantined() {
			s.RefusedUntil = 0
		}
		return
	}
	delete(t.suspects, content)
	for _, other := range t.suspects {
		if slices.Contains(other.Together, content) {
			other.Together = slices.DeleteFunc(slices.Clone(other.Together), func(x uint64) bool { return x == content })
			t.changed[other.Content] = true
		}
	}
}

// removeExpired makes room once there are as many suspects or clearings as may be kept.
func (t *Tracker[ID]) removeExpired(now time.Duration) {
	if len(t.suspects) >= maxSuspects {
		maps.DeleteFunc(t.suspects, func(_ uint64, s *suspect[ID]) bool { return s.expiresAt < now })
	}
	if len(t.clearings) >= maxSuspects {
		maps.DeleteFunc(t.clearings, func(_ uint64, c clearing) bool { return c.expiresAt < now })
	}
}

// Len returns the number of suspected contents.
func (t *Tracker[ID]) Len(now time.Duration) int {
	n := 0
	for c := range t.suspects {
		if t.find(now, c) != nil {
			n++
		}
	}
	return n
}

// All returns the suspected contents, those in quarantine first and then those of the latest
// crashes.
func (t *Tracker[ID]) All(now time.Duration) []Suspect {
	out, quarantined := []Suspect{}, 0
	for c := range t.suspects {
		if s := t.find(now, c); s != nil {
			x := s.Suspect
			t.describeClearing(&x)
			out = append(out, x)
			if s.IsQuarantined() {
				quarantined++
			}
		}
	}
	slices.SortFunc(out, func(a, b Suspect) int {
		if a.IsQuarantined() != b.IsQuarantined() {
			return map[bool]int{true: -1, false: 1}[a.IsQuarantined()]
		}
		return cmp.Compare(b.lastCrash(), a.lastCrash())
	})
	return out[:min(len(out), quarantined+maxReported)]
}

// describeClearing sets when an answer cleared the content.
func (t *Tracker[ID]) describeClearing(x *Suspect) {
	c, ok := t.clearings[x.Content]
	x.IsCleared, x.ClearedAt = ok, c.at
}

// lastCrash returns when the last of the crashes became known.
func (s Suspect) lastCrash() time.Duration {
	last := time.Duration(math.MinInt64)
	for _, r := range s.Runs {
		last = max(last, r.Lost)
	}
	return last
}

// TakeChanges returns contents that were suspected or cleared, or whose quarantine changed, since the
// last call; the rest is left for the next one if there are many.
func (t *Tracker[ID]) TakeChanges(now time.Duration) []Suspect {
	out := []Suspect{}
	for c := range t.changed {
		if len(out) == maxReported {
			break
		}
		delete(t.changed, c)
		change := Suspect{Content: c}
		if s := t.find(now, c); s != nil {
			change = s.Suspect
		}
		t.describeClearing(&change)
		out = append(out, change)
	}
	return out
}

// Learn merges what another tracker knows of contents: crashes that are not known yet are counted,
// but for those of which an answer has cleared the content.
func (t *Tracker[ID]) Learn(now time.Duration, list []Suspect) {
	for _, x := range list {
		switch {
		case x.IsCleared:
			t.clearUntil(now, x.Content, min(now, x.ClearedAt))
		case x.Crashes == 0:
			// A tracker of an earlier version does not say when.
			t.clearUntil(now, x.Content, now)
		}
		if x.Crashes > 0 {
			t.merge(now, x)
		}
	}
}

// runs returns the runs of a suspect. Of a tracker of an earlier version only their number is known:
// no run that was granted before now counts beside them.
func (s Suspect) runs(now time.Duration) []Run {
	if len(s.Runs) > 0 {
		return s.Runs
	}
	return slices.Repeat([]Run{{Granted: now - unknownGrant, Lost: now}}, min(s.Crashes, maxCountedRuns))
}

// merge adds the crashes that another tracker holds against a content.
func (t *Tracker[ID]) merge(now time.Duration, x Suspect) {
	x.Runs = slices.Clone(x.runs(now))
	if c, ok := t.clearings[x.Content]; ok {
		x.Runs = slices.DeleteFunc(x.Runs, c.covers)
	}
	x.Crashes = len(x.Runs)
	s := t.find(now, x.Content)
	switch {
	case x.Crashes == 0:
		return
	case s != nil:
	case len(t.suspects) >= maxSuspects, !x.IsQuarantined() && x.lastCrash()+suspectTTL < now:
		return
	default:
		s = &suspect[ID]{Suspect: Suspect{Content: x.Content, Together: x.Together}}
		t.suspects[x.Content] = s
	}
	if s.add(x) {
		s.updateExpiry(now)
		t.changed[x.Content] = true
	}
}

// add adds the crashes of another tracker and reports whether that changed anything.
func (s *suspect[ID]) add(x Suspect) bool {
	before, together, further := s.Crashes, len(s.Together), x.Runs
	if x.Crashes > before {
		s.Runs, s.Crashes, further = x.Runs, x.Crashes, s.Runs
	}
	for _, r := range further {
		s.count(r)
	}
	s.narrow(x.Together)
	refusedUntil := x.RefusedUntil
	if s.IsQuarantined() && s.Crashes > max(before, x.Crashes) {
		// Neither tracker has refused requests for so many crashes.
		refusedUntil = max(refusedUntil, s.lastCrash()+QuarantineDuration(s.Crashes))
	}
	isLonger := s.IsQuarantined() && refusedUntil > s.RefusedUntil+maxRefusalSkew
	if isLonger || s.Crashes != before {
		s.RefusedUntil = max(s.RefusedUntil, refusedUntil)
	}
	return isLonger || s.Crashes != before || len(s.Together) != together
}

// updateExpiry sets when the suspect is forgotten.
func (s *suspect[ID]) updateExpiry(now time.Duration) {
	s.expiresAt = max(s.expiresAt, s.lastCrash()+suspectTTL)
	if s.IsQuarantined() {
		s.expiresAt = max(s.expiresAt, max(now, s.RefusedUntil)+quarantineMemory)
	}
}
