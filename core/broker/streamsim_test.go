package broker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	simStep      = 100 * time.Millisecond
	simDuration  = 5 * time.Minute
	simEntries   = 3
	simDeadline  = 12 * time.Second
	simSettling  = 1700 * time.Millisecond
	simContents  = 40
	simDaemons   = 3
	simUpstreams = 3
)

// simStream is a stream with the version of its text, which the caller has a part of.
type simStream struct {
	version string
	content uint64
	until   time.Duration
	// isCertain is set if the leader, or the one before, granted it, and no entry by itself.
	isCertain bool
}

// streamSim plays a leader, followers that remember streams for the next one, and entries that
// decide alone while they reach none, through restarts, releases and changes of the leader.
type streamSim struct {
	t   *testing.T
	rng *rand.Rand
	now time.Duration
	// daemons are the control daemons: the memory of a follower, or the leader's broker.
	daemons []*Broker
	leader  int
	ledFrom time.Duration
	// told is when the other daemons tell the leader what they remember.
	told    time.Duration
	entries []*Broker
	// versions are those of the upstreams; gone holds those that left, and when.
	versions []string
	releases int
	gone     map[string]time.Duration
	streams  map[uint64]simStream
	number   uint64
	resumed  int
}

func newStreamSim(t *testing.T, seed uint64) *streamSim {
	s := &streamSim{t: t, rng: rand.New(rand.NewPCG(seed, 39)), gone: map[string]time.Duration{}, streams: map[uint64]simStream{}}
	for range simUpstreams {
		s.versions = append(s.versions, "v0")
	}
	for range simDaemons {
		s.daemons = append(s.daemons, New(1))
	}
	s.lead(0)
	s.restartEntries()
	return s
}

// roster lists the upstreams, and those that left within the last minute if withGone is set: a
// control daemon has them, an entry that has just started does not.
func (s *streamSim) roster(withGone bool) []Upstream {
	out := []Upstream{}
	for i, v := range s.versions {
		out = append(out, Upstream{ID: fmt.Sprintf("%d-%s", i, v), Pool: "p", Slots: 100, SoftwareVersion: v})
	}
	for v, at := range s.gone {
		if withGone && s.now-at <= time.Minute {
			out = append(out, Upstream{ID: "gone-" + v, Pool: "p", SoftwareVersion: v, Gone: true})
		}
	}
	return out
}

// lead makes a daemon the leader: its broker begins with the streams that the daemon remembers.
// The process of the last leader is lost.
func (s *streamSim) lead(n int) {
	b := New(1)
	if n != s.leader {
		s.daemons[s.leader] = New(1)
	}
	b.LearnStreams(s.now, s.daemons[n].Streams(s.now))
	b.SetUpstreams(s.roster(true))
	b.TrustVersionsFrom(s.now + simSettling)
	s.daemons[n], s.leader, s.ledFrom = b, n, s.now
	s.told = s.now + time.Duration(s.rng.IntN(800))*time.Millisecond
	for i, d := range s.daemons {
		if i != n {
			d.LearnStreams(s.now, b.Streams(s.now))
		}
	}
}

// restartEntries replaces all entries by new processes, which know the roster of now.
func (s *streamSim) restartEntries() {
	s.entries = nil
	for range simEntries {
		e := New(1.0 / simEntries)
		e.SetUpstreams(s.roster(false))
		s.entries = append(s.entries, e)
	}
}

// release replaces an upstream by one of a newer version, at times all at once.
func (s *streamSim) release() {
	s.releases++
	next := fmt.Sprintf("v%d", s.releases)
	for i, old := range s.versions {
		if i == 0 || s.rng.IntN(2) == 0 {
			s.versions[i] = next
			s.gone[old] = s.now
		}
	}
	s.daemons[s.leader].SetUpstreams(s.roster(true))
	for _, e := range s.entries {
		e.SetUpstreams(s.roster(false))
	}
}

// decide offers a request to the leader, or to an entry that decides alone, and returns its grant.
func (s *streamSim) decide(o Offer, alone bool) (Grant, bool) {
	s.number++
	b := s.daemons[s.leader]
	if alone {
		b = s.entries[s.rng.IntN(simEntries)]
	}
	o.ID, o.Pool = ID{Entry: "e", Number: s.number}, "p"
	o.LatencyTarget, o.LatestUseful, o.Deadline = s.now+10*time.Second, s.now+10*time.Second, s.now+simDeadline
	b.Offer(s.now, o)
	d := b.Decide(s.now)
	if len(d.Grants) == 0 {
		d = b.Decide(s.now + maxVersionWait)
		if len(d.Grants) == 0 {
			require.Len(s.t, d.Refusals, 1, "a resumption is not kept waiting")
			require.Equal(s.t, VersionUnavailable, d.Refusals[0].Code)
			return Grant{}, false
		}
	}
	g := d.Grants[0]
	b.End(s.now, End{ID: o.ID, Outcome: Completed, TimeToFirstEvent: time.Millisecond})
	if !alone {
		witness := (s.leader + 1) % simDaemons
		s.daemons[witness].LearnStreams(s.now, g.Streams)
	}
	return g, true
}

// begin begins a stream.
func (s *streamSim) begin() {
	stream, content := s.rng.Uint64(), 1+s.rng.Uint64N(simContents)
	alone := s.rng.IntN(6) == 0
	g, ok := s.decide(Offer{Stream: stream, Fingerprint: content}, alone)
	require.True(s.t, ok)
	s.streams[stream] = simStream{version: g.SoftwareVersion, content: content, until: s.now + simDeadline, isCertain: !alone}
}

// resume resumes a stream; what it goes on with may be resumed again.
func (s *streamSim) resume() {
	for stream, x := range s.streams {
		if x.until < s.now {
			delete(s.streams, stream)
			continue
		}
		o := Offer{Stream: s.rng.Uint64(), Resumes: stream, Fingerprint: x.content}
		// With several streams of its content, a caller without a name is that of any.
		if s.rng.IntN(3) == 0 && s.isAlone(x) {
			o.Resumes, o.ResumesContent = ContentStream(x.content, 0), true
		}
		alone := s.rng.IntN(6) == 0
		g, ok := s.decide(o, alone)
		if !ok {
			isKnown := x.isCertain && !alone && s.told == 0 && slices.Contains(s.versions, x.version)
			require.False(s.t, isKnown && !o.ResumesContent, "a stream that is known is refused at %s, led since %s", s.now, s.ledFrom)
			return
		}
		s.resumed++
		require.Equal(s.t, x.version, g.SoftwareVersion, "at %s, led since %s, unnamed %t", s.now, s.ledFrom, o.ResumesContent)
		x.isCertain = !alone
		s.streams[o.Stream] = x
		return
	}
}

// isAlone reports whether all streams of the content of x began at its version.
func (s *streamSim) isAlone(x simStream) bool {
	for _, other := range s.streams {
		if other.content == x.content && other.version != x.version {
			return false
		}
	}
	return true
}

func (s *streamSim) step() {
	s.now += simStep
	if s.told != 0 && s.now >= s.told {
		for i, d := range s.daemons {
			if i != s.leader {
				s.daemons[s.leader].LearnStreams(s.now, d.Streams(s.now))
			}
		}
		s.told = 0
	}
	s.begin()
	switch s.rng.IntN(60) {
	case 0:
		s.restartEntries()
	case 1:
		s.restartEntries()
		s.lead((s.leader + 1 + s.rng.IntN(simDaemons-1)) % simDaemons)
	case 2:
		s.release()
	case 3:
		s.release()
		s.restartEntries()
	}
	s.resume()
}

// TestResumedStreamsKeepTheirVersionThroughRestarts guards against texts of two software versions
// in one stream over random orders of releases, restarts of all entries, changes of the leader and
// resumptions, and against brokers that refuse what they could resume.
func TestResumedStreamsKeepTheirVersionThroughRestarts(t *testing.T) {
	t.Parallel()
	for seed := range uint64(30) {
		s := newStreamSim(t, seed)
		for s.now < simDuration {
			s.step()
		}
		require.NotZero(t, s.resumed, "seed %d", seed)
	}
}
