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
