package broker

import "time"

const (
	// crashesToQuarantine is how many upstreams one content may take down
	// before it is refused. One that broke twice may have met two unrelated
	// faults; a third is one too many to spend another upstream on.
	crashesToQuarantine = 3
	// quarantineHold is how long it is refused.
	quarantineHold = 10 * time.Minute
	// suspicionLife is how long a content that broke is remembered.
	suspicionLife = 2 * time.Minute
	// maxSuspects bounds the memory for them.
	maxSuspects = 10_000
)

// suspicion is what is known of one content.
type suspicion struct {
	crashes int
	until   time.Duration
}

// noteCrash counts requests that ended with their connection, and clears those
// that were answered.
func (b *Broker) noteCrash(now time.Duration, w *work, o Outcome) {
	if w.Fingerprint == 0 {
		return
	}
	switch o {
	case Done:
		delete(b.suspect, w.Fingerprint)
	case Broken:
		s := b.suspect[w.Fingerprint]
		if s.until < now {
			s.crashes = 0
		}
		s.crashes++
		s.until = now + suspicionLife
		if s.crashes >= crashesToQuarantine {
			s.until = now + quarantineHold
		}
		b.forgetSuspects(now)
		b.suspect[w.Fingerprint] = s
	}
}

func (b *Broker) forgetSuspects(now time.Duration) {
	if len(b.suspect) < maxSuspects {
		return
	}
	for f, s := range b.suspect {
		if s.until < now {
			delete(b.suspect, f)
		}
	}
}

func (b *Broker) quarantined(now time.Duration, fingerprint uint64) (suspicion, bool) {
	s, ok := b.suspect[fingerprint]
	return s, ok && fingerprint != 0 && s.until > now && s.crashes >= crashesToQuarantine
}
