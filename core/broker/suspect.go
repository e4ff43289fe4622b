package broker

import (
	"encoding/binary"
	"hash/fnv"
	"io"
	"time"

	"github.com/verbenastep/verbenastep/core/suspects"
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
	// SettledAfter is the time from the loss of the connection until the roster showed that the
	// upstream had crashed; zero if that was known at once.
	SettledAfter time.Duration
}

// contents returns what the request may crash an upstream with; see package suspects.
func (o *Offer) contents() []uint64 {
	if o.Fingerprint == 0 {
		return o.SharedParts
	}
	return append([]uint64{o.Fingerprint}, o.SharedParts...)
}

// recordCrash learns from the end of a request. A lost connection is held against the
// request's contents, a complete answer clears them.
func (b *Broker) recordCrash(now time.Duration, req *request, e End) {
	contents := req.contents
	b.suspects.EndTrial(now, req.ID, contents)
	switch {
	case e.Outcome == Completed:
		b.suspects.Clear(now, contents)
		b.clearUnclearLosses(contents)
		return
	case e.Outcome != ConnectionLost && e.Outcome != UnclearLoss:
		return
	case e.AnswerBegun && req.Fingerprint != 0:
		// The answer began with the same parts of the prompt.
		contents = contents[:1]
	case e.AnswerBegun:
		return
	}
	run := suspects.Run{Attempt: req.ID.attempt(), Granted: req.granted, Lost: now}
	if e.Outcome == UnclearLoss {
		b.keepUnclearLoss(unclearLoss{
			Run: run, id: req.ID, upstream: req.assigned.ID, born: req.bornAtGrant, address: req.assigned.Address, contents: contents,
		})
		return
	}
	b.holdAgainst(now, run, req.ID, req.assigned.ID, contents)
}

// holdAgainst holds the crash of an upstream against the contents that it ran.
func (b *Broker) holdAgainst(now time.Duration, run suspects.Run, id ID, upstream string, contents []uint64) {
	for _, s := range b.suspects.HoldAgainst(now, run, contents) {
		if len(b.pending.Suspicions) < maxReportedSuspicions {
			b.pending.Suspicions = append(b.pending.Suspicions, Suspicion{
				ID: id, Upstream: upstream, Content: s.Content, Crashes: s.Crashes, Quarantined: s.IsQuarantined(), SettledAfter: now - run.Lost,
			})
		}
	}
}

// refuseQuarantined refuses a request with contents in quarantine. It returns true if it
// did. Only the broker of all entries tries a content again after its quarantine: each entry
// by itself would try it once.
func (b *Broker) refuseQuarantined(now time.Duration, req *request) bool {
	left := b.suspects.RefusedFor(now, req.contents, b.share == 1)
	if left > 0 {
		b.refuse(req, Quarantined, left, "upstreams crashed under several requests with a content of this one")
	}
	return left > 0
}

// startTrial records the trial of a request that was granted an upstream on which the first
// event should take the given time.
func (b *Broker) startTrial(now time.Duration, req *request, u *upstream, stage suspects.Stage, first time.Duration) {
	if stage == suspects.Clear {
		return
	}
	end := b.suspects.StartTrial(now, req.ID, req.contents, first)
	u.trialEnd = max(u.trialEnd, end)
	if stage == suspects.LastTrial {
		u.lastTrialEnd = max(u.lastTrialEnd, end)
	}
}

// allows reports whether a request in a stage may run beside the trials of the upstream.
func (u *upstream) allows(now time.Duration, stage suspects.Stage) bool {
	return stage == suspects.Clear || now >= u.lastTrialEnd && (stage != suspects.LastTrial || now >= u.trialEnd)
}

// attempt returns a hash of the ID by which all brokers know the attempt.
func (id ID) attempt() uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, id.Entry) // Write of a hash never fails
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, id.Number))
	return h.Sum64()
}

// SuspectedContents returns the contents that are suspected or in quarantine, as
// suspects.Tracker.All does.
func (b *Broker) SuspectedContents(now time.Duration) []suspects.Suspect {
	return b.suspects.All(now)
}

// InheritSuspicions takes over what a broker that this one replaces knows of crashes. The other one
// must not be used any more.
func (b *Broker) InheritSuspicions(from *Broker) {
	b.suspects, b.unclearLosses = from.suspects, from.unclearLosses
}

// SuspectCount returns the number of contents that are suspected or in quarantine.
func (b *Broker) SuspectCount(now time.Duration) int { return b.suspects.Len(now) }

// UnclearLossCount returns the number of lost connections that may have been crashes.
func (b *Broker) UnclearLossCount() int { return len(b.unclearLosses) }

// TakeSuspectChanges returns the contents that were suspected, changed or cleared since the last
// call.
func (b *Broker) TakeSuspectChanges(now time.Duration) []suspects.Suspect {
	return b.suspects.TakeChanges(now)
}

// LearnSuspects merges what another broker knows of crashes and of answers that clear contents.
func (b *Broker) LearnSuspects(now time.Duration, list []suspects.Suspect) {
	b.suspects.Learn(now, list)
}
