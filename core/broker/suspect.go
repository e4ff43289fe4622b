package broker

import (
	"maps"
	"math"
	"slices"
	"time"
)

// A content is what a request may crash an upstream with: the request as a whole, or one
// of the parts of its prompt that other requests share. Which of a request's contents is
// at fault shows only over several crashes, since everything that an upstream runs is lost
// with it:
//
//   - A content is suspected from the first crash that a request with it did not survive
//     until its answer began. A complete answer clears all contents of its request.
//   - Requests with a suspected content run one at a time until their answer should have
//     begun. A crash counts only if the request was granted some time after the one
//     before, so that upstreams that are lost together count once.
//   - At quarantineThreshold crashes without an answer in between, requests that have all
//     contents which were present at each of these crashes are refused.

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
	// maxSuspects is the number of suspects at which expired ones are removed.
	maxSuspects = 10_000
	// maxReportedSuspicions bounds the suspicions between two rounds of decisions.
	maxReportedSuspicions = 64

	// A trial is the time from the grant of a request with a suspected content until its
	// answer should have begun: trialFactor times the estimate and trialMargin, at most
	// maxTrial.
	trialFactor = 2
	trialMargin = 300 * time.Millisecond
	maxTrial    = 2 * time.Second
	// crashSpread is the time within which upstreams that are lost together are reported;
	// no trial begins within it after a crash.
	crashSpread = 400 * time.Millisecond
)

// Suspicion is a crash of an upstream that is held against a content which it ran.
type Suspicion struct {
	// ID is the request that had the content, Upstream the one that crashed.
	ID       ID
	Upstream string
	Content  uint64
	// Crashes is the number of crashes held against the content.
	Crashes int
	// Quarantined is set if requests with the content are refused from now on.
	Quarantined bool
}

// Suspect is what brokers tell each other about a content.
type Suspect struct {
	Content uint64
	// Crashes is the number of crashes held against the content; zero if it is cleared.
	Crashes int
	// Together lists the contents that were present at each of these crashes.
	Together []uint64
	// RefusedUntil is until when requests with these contents are refused.
	RefusedUntil time.Duration
}

// suspect is a content under which upstreams crashed, with no complete answer since.
type suspect struct {
	crashes int
	// crashedAt is the time of the last crash that was counted.
	crashedAt time.Duration
	// together lists the contents that were present at each of the crashes.
	together     []uint64
	refusedUntil time.Duration
	expiresAt    time.Duration
	// trial is the request that runs until trialEnd while others with the content wait.
	trial    ID
	trialEnd time.Duration
}

func (s *suspect) isQuarantined() bool { return s.crashes >= quarantineThreshold }

// quarantineDuration returns the duration of the quarantine after a number of crashes.
func quarantineDuration(crashes int) time.Duration {
	factor := math.Pow(quarantineGrowth, float64(crashes-quarantineThreshold))
	return time.Duration(min(float64(minQuarantine)*factor, float64(maxQuarantine)))
}

// contents returns what the request may crash an upstream with.
func (o *Offer) contents() []uint64 {
	if o.Fingerprint == 0 {
		return o.SharedParts
	}
	return append([]uint64{o.Fingerprint}, o.SharedParts...)
}

// hasAll reports whether the request has all of the contents.
func (o *Offer) hasAll(contents []uint64) bool {
	own := o.contents()
	return !slices.ContainsFunc(contents, func(c uint64) bool { return !slices.Contains(own, c) })
}

// recordCrash learns from the end of a request. A lost connection is held against the
// request's contents, a complete answer clears them.
func (b *Broker) recordCrash(now time.Duration, req *request, e End) {
	for _, c := range req.contents() {
		if s := b.suspects[c]; s != nil && s.trial == req.ID {
			s.trialEnd = now
		}
	}
	switch {
	case e.Outcome == Completed:
		b.clearSuspects(req.contents())
	case e.Outcome == ConnectionLost && e.AnswerBegun && req.Fingerprint != 0:
		// The answer began with the same parts of the prompt.
		b.holdAgainst(now, req, []uint64{req.Fingerprint})
	case e.Outcome == ConnectionLost && !e.AnswerBegun:
		b.holdAgainst(now, req, req.contents())
	}
}

// holdAgainst counts a crash against contents of a request.
func (b *Broker) holdAgainst(now time.Duration, req *request, contents []uint64) {
	b.removeExpiredSuspects(now)
	for _, c := range contents {
		s := b.suspect(now, c)
		if s == nil {
			s = &suspect{together: contents}
			b.suspects[c] = s
		} else if req.granted < s.crashedAt {
			continue
		}
		s.trialEnd = now + crashSpread
		s.crashes++
		s.crashedAt, s.expiresAt = now, now+suspectTTL
		s.together = slices.DeleteFunc(slices.Clone(s.together), func(other uint64) bool { return !slices.Contains(contents, other) })
		if s.isQuarantined() {
			s.refusedUntil = now + quarantineDuration(s.crashes)
			s.expiresAt = s.refusedUntil + quarantineMemory
			b.changedSuspects[c] = true
		}
		b.reportSuspicion(Suspicion{ID: req.ID, Upstream: req.assigned.ID, Content: c, Crashes: s.crashes, Quarantined: s.isQuarantined()})
	}
}

// suspect returns a suspected content, or nil.
func (b *Broker) suspect(now time.Duration, content uint64) *suspect {
	s := b.suspects[content]
	if s == nil || s.expiresAt < now {
		return nil
	}
	return s
}

// clearSuspects removes contents from suspicion. What was suspected together with them is
// at fault without them.
func (b *Broker) clearSuspects(contents []uint64) {
	for _, c := range contents {
		s := b.suspects[c]
		if s == nil {
			continue
		}
		delete(b.suspects, c)
		if s.isQuarantined() {
			b.changedSuspects[c] = true
		}
		for other, o := range b.suspects {
			if i := slices.Index(o.together, c); i >= 0 {
				o.together = slices.Delete(slices.Clone(o.together), i, i+1)
				if o.isQuarantined() {
					b.changedSuspects[other] = true
				}
			}
		}
	}
}

// reportSuspicion adds a suspicion to the pending decisions.
func (b *Broker) reportSuspicion(s Suspicion) {
	if len(b.pending.Suspicions) < maxReportedSuspicions {
		b.pending.Suspicions = append(b.pending.Suspicions, s)
	}
}

func (b *Broker) removeExpiredSuspects(now time.Duration) {
	if len(b.suspects) < maxSuspects {
		return
	}
	maps.DeleteFunc(b.suspects, func(_ uint64, s *suspect) bool { return s.expiresAt < now })
}

// refusedFor returns how long requests like this one are still refused because of their
// contents; zero if they are not. Only the broker of all entries tries a content again
// after its quarantine: each entry by itself would try it once.
func (b *Broker) refusedFor(now time.Duration, o *Offer) time.Duration {
	if len(b.suspects) == 0 {
		return 0
	}
	longest := time.Duration(0)
	for _, c := range o.contents() {
		s := b.suspect(now, c)
		if s == nil || !s.isQuarantined() || !o.hasAll(s.together) {
			continue
		}
		if left := s.refusedUntil - now; left > 0 || b.share < 1 {
			longest = max(longest, left, minQuarantine)
		}
	}
	return longest
}

// refuseQuarantined refuses a request with contents in quarantine. It returns true if it did.
func (b *Broker) refuseQuarantined(now time.Duration, req *request) bool {
	left := b.refusedFor(now, &req.Offer)
	if left > 0 {
		b.refuse(req, Quarantined, left, "upstreams crashed under several requests with a content of this one")
	}
	return left > 0
}

// trialOf returns how a waiting request stands with its suspected contents, and false if it
// has to wait for the trial of another request.
func (b *Broker) trialOf(now time.Duration, req *request) (trial, bool) {
	out := noTrial
	if len(b.suspects) == 0 {
		return out, true
	}
	for _, c := range req.contents() {
		s := b.suspect(now, c)
		switch {
		case s == nil:
		case now < s.trialEnd && s.trial != req.ID:
			return out, false
		case s.crashes >= quarantineThreshold-1:
			out = lastTrial
		default:
			out = max(out, firstTrial)
		}
	}
	return out, true
}

// trial is the stage of a request with suspected contents.
type trial uint8

const (
	noTrial trial = iota
	// firstTrial may share its upstream with others in that stage.
	firstTrial
	// lastTrial puts a content into quarantine if its upstream crashes, so no other
	// suspected content runs beside it.
	lastTrial
)

// allows reports whether a request in a stage may run beside the trials of an upstream.
func (u *upstream) allows(now time.Duration, t trial) bool {
	return t == noTrial || now >= u.lastTrialEnd && (t != lastTrial || now >= u.trialEnd)
}

// startTrial records the trial of a request that was granted an upstream on which the first
// event should take the given time.
func (b *Broker) startTrial(now time.Duration, req *request, u *upstream, t trial, first time.Duration) {
	if t == noTrial {
		return
	}
	end := now + min(maxTrial, trialFactor*first+trialMargin)
	u.trialEnd = max(u.trialEnd, end)
	if t == lastTrial {
		u.lastTrialEnd = max(u.lastTrialEnd, end)
	}
	for _, c := range req.contents() {
		s := b.suspect(now, c)
		if s == nil {
			continue
		}
		s.trial, s.trialEnd = req.ID, end
		if s.isQuarantined() && req.hasAll(s.together) {
			// Others are refused until the outcome is known.
			s.refusedUntil = now + quarantineDuration(s.crashes)
			s.expiresAt = s.refusedUntil + quarantineMemory
			b.changedSuspects[c] = true
		}
	}
}

// QuarantinedContents returns the contents in quarantine, in no particular order.
func (b *Broker) QuarantinedContents(now time.Duration) []Suspect {
	out := []Suspect{}
	for c := range b.suspects {
		if s := b.suspect(now, c); s != nil && s.isQuarantined() {
			out = append(out, s.export(c))
		}
	}
	return out
}

// ForgetSuspicions removes the contents that are suspected but not in quarantine. An entry
// calls it when it loses its broker, which may have seen answers that clear them.
func (b *Broker) ForgetSuspicions() {
	maps.DeleteFunc(b.suspects, func(_ uint64, s *suspect) bool { return !s.isQuarantined() })
}

func (s *suspect) export(content uint64) Suspect {
	return Suspect{Content: content, Crashes: s.crashes, Together: s.together, RefusedUntil: s.refusedUntil}
}

// TakeSuspectChanges returns the contents that have come into quarantine, changed there or
// left it since the last call.
func (b *Broker) TakeSuspectChanges(now time.Duration) []Suspect {
	out := []Suspect{}
	for c := range b.changedSuspects {
		change := Suspect{Content: c}
		if s := b.suspect(now, c); s != nil {
			change = s.export(c)
		}
		out = append(out, change)
	}
	clear(b.changedSuspects)
	return out
}

// LearnSuspects adds what another broker knows of suspected contents. The higher count of
// crashes holds; a count of zero clears a content.
func (b *Broker) LearnSuspects(now time.Duration, list []Suspect) {
	for _, x := range list {
		if x.Crashes == 0 {
			b.clearSuspects([]uint64{x.Content})
			continue
		}
		if s := b.suspect(now, x.Content); s != nil && (s.crashes > x.Crashes || s.crashes == x.Crashes && s.refusedUntil >= x.RefusedUntil) {
			continue
		}
		s := &suspect{crashes: x.Crashes, crashedAt: now, together: x.Together, refusedUntil: x.RefusedUntil, expiresAt: now + suspectTTL}
		if s.isQuarantined() {
			s.expiresAt = max(now, s.refusedUntil) + quarantineMemory
			b.changedSuspects[x.Content] = true
		}
		b.suspects[x.Content] = s
	}
}
