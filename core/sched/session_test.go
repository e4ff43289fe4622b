package sched

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// sessionRecorder drives a dispatcher through a session and records its
// decisions as text.
type sessionRecorder struct {
	t          *testing.T
	d          *Dispatcher
	transcript strings.Builder
	now        time.Duration
	// running lists the granted requests in the order of their grants.
	running []uint64
}

func (s *sessionRecorder) logf(format string, args ...any) {
	fmt.Fprintf(&s.transcript, "%8s ", s.now)
	fmt.Fprintf(&s.transcript, format+"\n", args...)
}

func (s *sessionRecorder) offer(n int, tier int, change func(*Offer)) {
	o := testOffer(n, fmt.Sprintf("w%d", n%2), tier)
	o.Deadline = s.now + 30*time.Second
	if change != nil {
		change(&o)
	}
	refusal, err := s.d.Offer(s.now, o)
	require.NoError(s.t, err)
	s.logf("offer %d of %s in tier %d", n, o.Workspace, tier)
	if refusal != nil {
		s.logf("refused %d: %s, %s, come back after %s", n, refusal.Code, refusal.Reason, refusal.RetryAfter)
	}
}

func (s *sessionRecorder) decide(after time.Duration) {
	s.now += after
	out := s.d.Decide(s.now)
	for _, g := range out.Grants {
		explanation, err := json.Marshal(g.Explanation)
		require.NoError(s.t, err)
		s.running = append(s.running, g.ID.Number)
		s.logf("granted %d to %s: %s", g.ID.Number, g.Upstream, explanation)
	}
	for _, r := range out.Refusals {
		s.logf("refused %d: %s, %s, come back after %s", r.ID.Number, r.Code, r.Reason, r.RetryAfter)
	}
	for _, c := range out.Suspects {
		s.logf("suspect %d: %d crashes", c.Fingerprint, c.Crashes)
	}
	for _, name := range out.LostUpstreams {
		s.logf("lost %s", name)
	}
	ended := []uint64{}
	for _, e := range out.Ended {
		ended = append(ended, e.ID.Number)
	}
	slices.Sort(ended)
	s.logf("ended %v", ended)
}

// release releases the request that was granted first.
func (s *sessionRecorder) release(outcome Outcome) {
	n := s.running[0]
	s.running = s.running[1:]
	e, err := s.d.Release(s.now, Release{ID: ID{"e", n}, Outcome: outcome, Prefill: time.Second / 4, Decode: 2 * time.Second, OutputTokens: 101, CachedTokens: 64})
	require.NoError(s.t, err)
	s.logf("released %d of %s: lost %d tokens, repeated %d", n, e.Upstream, e.WastedTokens, e.RepeatedTokens)
}

func (s *sessionRecorder) announce(name string, incarnation uint64) {
	require.NoError(s.t, s.d.Announce(s.now, Upstream{Name: name, Slots: 2, Lease: 8 * time.Second, Incarnation: incarnation}))
	s.logf("announced %s, start %d", name, incarnation)
}

func TestGoldenSession(t *testing.T) {
	s := &sessionRecorder{t: t, d: New(Params{QueueLimit: 4, Spill: true})}
	s.offer(1, 1, nil)
	s.decide(0)
	s.decide(noUpstreamTimeout)
	s.announce("a", 1)
	s.announce("b", 1)
	prefix := func(o *Offer) { o.Blocks = []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10} }
	for n := 2; n < 10; n++ {
		s.offer(n, n%3, prefix)
	}
	s.decide(time.Millisecond)
	s.decide(2 * time.Second)
	s.release(Completed)
	s.release(Canceled)
	s.decide(time.Second)
	s.offer(20, 2, func(o *Offer) { o.Deadline = s.now })
	s.announce("a", 2)
	s.decide(time.Second)
	s.d.LoseEntry(s.now, "e")
	s.decide(10 * time.Second)
	s.decide(30 * time.Second)
	goldie.New(t).Assert(t, "session", []byte(s.transcript.String()))
}
