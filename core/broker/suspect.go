package broker

import "time"

const (
	// quarantineThreshold is how many crashes of upstreams put a content into
	// quarantine. Two may be unrelated faults; the third is not worth the risk to
	// another upstream.
	quarantineThreshold = 3
	// quarantineDuration is how long requests with that content are refused.
	quarantineDuration = 10 * time.Minute
	// suspectTTL is how long a crash is remembered.
	suspectTTL = 2 * time.Minute
	// maxSuspects is the number of suspects at which expired ones are removed.
	maxSuspects = 10_000
)

// maxReportedSuspicions bounds the suspicions between two rounds of decisions.
const maxReportedSuspicions = 64

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

// suspect counts the crashes of upstreams that ran one content.
type suspect struct {
	crashes int
	until   time.Duration
}

// recordCrash counts a lost connection against the request's content; a complete
// answer clears the content.
func (b *Broker) recordCrash(now time.Duration, req *request, o Outcome) {
	if req.Fingerprint == 0 {
		return
	}
	switch o {
	case Completed:
		delete(b.suspects, req.Fingerprint)
	case ConnectionLost:
		s := b.suspects[req.Fingerprint]
		if s.until < now {
			s.crashes = 0
		}
		s.crashes++
		s.until = now + suspectTTL
		if s.crashes >= quarantineThreshold {
			s.until = now + quarantineDuration
		}
		b.removeExpiredSuspects(now)
		b.suspects[req.Fingerprint] = s
		b.reportSuspicion(Suspicion{ID: req.ID, Upstream: req.assigned.ID, Content: req.Fingerprint, Crashes: s.crashes, Quarantined: s.crashes >= quarantineThreshold})
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
	for f, s := range b.suspects {
		if s.until < now {
			delete(b.suspects, f)
		}
	}
}

// quarantined reports whether a content is in quarantine, and until when.
func (b *Broker) quarantined(now time.Duration, fingerprint uint64) (suspect, bool) {
	s, ok := b.suspects[fingerprint]
	return s, ok && fingerprint != 0 && s.until > now && s.crashes >= quarantineThreshold
}
