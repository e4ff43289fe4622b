package broker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// outOfStepSim plays the local broker of an entry that was cut off or stood still during releases:
// it knows the upstreams, and the streams that it began itself, as of any earlier moment.
type outOfStepSim struct {
	rng   *rand.Rand
	entry *Broker
	// serving holds the software versions in service after each release.
	serving [][]string
	known   int
	number  uint64
	now     time.Duration
}

func newOutOfStepSim(seed uint64) *outOfStepSim {
	s := &outOfStepSim{rng: rand.New(rand.NewPCG(seed, 47)), entry: New(0.5), serving: [][]string{{"v0"}}}
	for i := range 1 + s.rng.IntN(6) {
		old := s.serving[len(s.serving)-1]
		next := append([]string{fmt.Sprintf("v%d", i+1)}, old[:s.rng.IntN(len(old)+1)]...)
		s.serving = append(s.serving, next)
	}
	s.known = s.rng.IntN(len(s.serving))
	list := []Upstream{}
	for _, version := range s.serving[s.known] {
		list = append(list, Upstream{ID: version, Pool: "p", Slots: 100, SoftwareVersion: version})
	}
	s.entry.SetUpstreams(list)
	return s
}

// decide offers a request to the entry's local broker and returns its decisions.
func (s *outOfStepSim) decide(o Offer) Decisions {
	s.number++
	s.now += 100 * time.Millisecond
	o.ID, o.Pool = ID{Entry: "e", Number: s.number}, "p"
	o.LatencyTarget, o.LatestUseful, o.Deadline = s.now+10*time.Second, s.now+10*time.Second, s.now+12*time.Second
	s.entry.Offer(s.now, o)
	d := s.entry.Decide(s.now)
	if len(d.Grants)+len(d.Refusals) == 0 {
		s.now += maxVersionWait
		d = s.entry.Decide(s.now)
	}
	for _, g := range d.Grants {
		s.entry.End(s.now, End{ID: g.ID, Outcome: Completed, TimeToFirstEvent: time.Millisecond})
	}
	return d
}

// TestEntryOutOfStepJoinsNoVersions guards against a stream whose text is of two software versions:
// it began at an upstream of a new version through another entry, broke off, and was taken up at an
// entry that knows of no such version, alone with the upstreams of the one before. Such an entry
// refuses what it did not begin itself, as not run, whether the caller names the stream or not.
func TestEntryOutOfStepJoinsNoVersions(t *testing.T) {
	t.Parallel()
	for seed := range uint64(500) {
		s := newOutOfStepSim(seed)
		for range 30 {
			began, content := s.rng.Uint64(), 1+s.rng.Uint64N(4)
			resumption := Offer{Stream: s.rng.Uint64(), Resumes: began, Fingerprint: content}
			if s.rng.IntN(3) == 0 {
				resumption.Resumes, resumption.ResumesContent = ContentStream(content, 0), true
			}
			if s.rng.IntN(2) == 0 {
				// The entry begins a stream with the same content by itself.
				require.Len(t, s.decide(Offer{Stream: s.rng.Uint64(), Fingerprint: content}).Grants, 1)
			}
			d := s.decide(resumption)
			require.Empty(t, d.Grants, "seed %d: it may have begun at any of %v; the entry knows %v", seed, s.serving, s.serving[s.known])
			require.Len(t, d.Refusals, 1)
			require.Equal(t, VersionUnavailable, d.Refusals[0].Code)
			require.Positive(t, d.Refusals[0].RetryAfter)

			own := s.rng.Uint64()
			g := s.decide(Offer{Stream: own, Fingerprint: content}).Grants[0]
			again := s.decide(Offer{Stream: s.rng.Uint64(), Resumes: own, Fingerprint: content})
			require.Len(t, again.Grants, 1, "the entry knows the streams that it began")
			require.Equal(t, g.SoftwareVersion, again.Grants[0].SoftwareVersion)
		}
	}
}
