package broker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// limitWindow, limitFactor and limitSlack are the bound on what an upstream gets in some
	// time: limitFactor times what its limit allows, and limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitStep is the time between two rounds of the simulation.
	limitStep = 20 * time.Millisecond
	// limitSeeds is the number of simulations of each case.
	limitSeeds = 1
)

// limitSim simulates entries that ask for one limited upstream, with a broker or without one.
// Each entry offers requests at random; an upstream's answer takes a few milliseconds.
type limitSim struct {
	t       *testing.T
	now     time.Duration
	limit   float64
	rng     *rand.Rand
	leader  *Broker
	locals  []*Broker
	started []time.Duration
	number  uint64
	// detached is set for entries without a broker.
	detached []bool
	grants   []time.Duration
}

func newLimitSim(t *testing.T, entries int, limit float64, seed uint64) *limitSim {
	s := &limitSim{t: t, now: time.Minute, limit: limit, rng: rand.New(rand.NewPCG(seed, 1)), detached: make([]bool, entries)}
	s.leader = s.newBroker(1, "broker", 0)
	for i := range entries {
		s.locals = append(s.locals, nil)
		s.started = append(s.started, 0)
		s.startEntry(i)
	}
	return s
}

func (s *limitSim) newBroker(share float64, name string, now time.Duration) *Broker {
	b := New(share)
	b.SetName(name)
	b.SetUpstreams([]Upstream{{ID: "u", Pool: "p", Address: "u", Slots: 50, Born: born}})
	b.LearnLimit(now, RequestLimit{Upstream: "u", Born: born, Limited: true, PerSecond: s.limit, AskedAt: now})
	return b
}

// startEntry starts an entry, whose clock begins at zero and which knows the limit.
func (s *limitSim) startEntry(i int) {
	s.started[i] = s.now
	s.locals[i] = s.newBroker(1/float64(len(s.locals)+1), fmt.Sprintf("entry-%d-%d", i, s.now), 0)
	for j := range s.locals {
		if s.locals[j] != nil {
			s.locals[j].SetShare(1 / float64(len(s.locals)))
		}
	}
}

// run lets the entries offer requests at a rate each for a time.
func (s *limitSim) run(length time.Duration, perSecond float64) {
	for end := s.now + length; s.now < end; s.now += limitStep {
		for i, local := range s.locals {
			b, now := s.leader, s.now
			if s.detached[i] {
				b, now = local, s.now-s.started[i]
			}
			if s.rng.Float64() < perSecond*limitStep.Seconds() {
				s.number++
				b.Offer(now, Offer{ID: ID{Entry: fmt.Sprint(i), Number: s.number}, Pool: "p", LatencyTarget: now + time.Second, Deadline: now + 2*time.Second})
			}
			if s.detached[i] {
				s.decide(b, now)
			}
		}
		s.decide(s.leader, s.now)
	}
}

func (s *limitSim) decide(b *Broker, now time.Duration) {
	for _, g := range b.Decide(now).Grants {
		s.grants = append(s.grants, s.now)
		b.End(now, End{ID: g.ID, Outcome: Completed, TimeToFirstEvent: 5 * time.Millisecond})
	}
}

func (s *limitSim) detach(detached bool) {
	for i := range s.detached {
		s.detached[i] = detached
	}
}

// mostInWindow returns the highest number of grants within a limitWindow.
func (s *limitSim) mostInWindow() int {
	most, first := 0, 0
	for i, at := range s.grants {
		for at-s.grants[first] > limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestLimitHoldsOverBrokersAndEntries guards against an upstream that gets more requests than
// its limit allows: from a broker, from brokers in quick succession, from entries without one
// after a time without load, from those beside a broker that serves the others, and from
// entries that start.
func TestLimitHoldsOverBrokersAndEntries(t *testing.T) {
	for _, entries := range []int{1, 9, 63, 291} {
		for _, limit := range []float64{0, 1.1, 10, 60} {
			for seed := range uint64(limitSeeds) {
				s := newLimitSim(t, entries, limit, seed)
				perEntry := 4*limit/float64(entries) + 20/float64(entries)
				granted := func(length time.Duration, rate float64) float64 {
					before := len(s.grants)
					s.run(length, rate)
					return float64(len(s.grants) - before)
				}
				most := granted(10*time.Second, perEntry)
				require.GreaterOrEqual(t, most, 0.8*limit*10, "%d entries, %g a second: a broker uses what the limit allows", entries, limit)
				for range 3 {
					s.leader = s.newBroker(1, "broker", s.now)
					s.run(time.Second, perEntry)
				}
				s.run(30*time.Second, 0)
				s.detach(true)
				s.run(30*time.Second, 0)
				without := granted(20*time.Second, 3)
				require.GreaterOrEqual(t, without, 0.25*min(limit, 3*float64(entries))*20-limitSlack, "%d entries, %g a second: without a broker", entries, limit)
				for i := range s.locals {
					s.startEntry(i)
				}
				s.run(5*time.Second, 3)
				s.detach(false)
				for i := range entries / 2 {
					s.detached[i] = true
				}
				s.run(10*time.Second, perEntry+1)
				require.LessOrEqual(t, float64(s.mostInWindow()), limitFactor*limit*limitWindow.Seconds()+limitSlack, "%d entries, %g a second, seed %d", entries, limit, seed)
			}
		}
	}
}

// TestLateAnswerDoesNotChangeLimit guards against an old answer that arrives late and ends, or
// renews, what the upstream said since, and against one of an earlier process.
func TestLateAnswerDoesNotChangeLimit(t *testing.T) {
	said := func(limited bool, perSecond float64, at time.Duration, process int64) RequestLimit {
		return RequestLimit{Upstream: "u", Born: process, Limited: limited, PerSecond: perSecond, AskedAt: at}
	}
	b := newNoticeBroker("u")
	require.False(t, b.LearnLimit(0, said(false, 0, 10, born)), "an upstream without a limit is no news")
	require.True(t, b.LearnLimit(0, said(true, 2, 20, born)))
	require.False(t, b.LearnLimit(0, said(false, 0, 15, born)), "an older answer without a limit")
	require.False(t, b.LearnLimit(0, said(true, 2, 30, born)), "the same again")
	require.False(t, b.LearnLimit(0, said(true, 2.1, 31, born)), "about the same")
	require.False(t, b.LearnLimit(0, said(true, 2.15, 32, born)), "about the same as what was news")
	require.True(t, b.LearnLimit(0, said(true, 2.3, 33, born)), "small changes add up")
	require.False(t, b.LearnLimit(0, said(true, 9, 25, born)), "an older limit")
	require.True(t, b.LearnLimit(0, said(false, 0, 40, born)))
	require.Nil(t, b.Dump()[0].Upstreams[0].LimitPerSecond)
	require.False(t, b.LearnLimit(0, said(true, 2, 35, born)), "an older limit after its end")
	require.True(t, b.LearnLimit(0, said(true, 3, 50, born)))
	require.False(t, b.LearnLimit(0, said(false, 0, 60, born-1)), "an earlier process")
	require.InDelta(t, 3, *b.Dump()[0].Upstreams[0].LimitPerSecond, 0)
	b.SetUpstreams([]Upstream{{ID: "u", Pool: "p", Address: "u", Slots: 100, Born: born + 1}})
	require.Nil(t, b.Dump()[0].Upstreams[0].LimitPerSecond, "a later process has named none")
	require.True(t, b.LearnLimit(0, said(true, 3, 5, born+1)), "a later process")
}

// TestLimitedUpstreamDelaysNobody guards against requests that wait for an upstream at its limit
// while another one is free.
func TestLimitedUpstreamDelaysNobody(t *testing.T) {
	b := newNoticeBroker("fast", "slow")
	b.SetEstimates([]Estimates{{ID: "fast", CallTime: 0.01}, {ID: "slow", CallTime: 0.3}})
	b.LearnLimit(0, RequestLimit{Upstream: "fast", Born: born, Limited: true, PerSecond: 1})
	for n := range uint64(20) {
		b.Offer(0, Offer{ID: ID{Entry: "e", Number: n}, Pool: "p", LatencyTarget: 200 * time.Millisecond, Deadline: 2 * time.Second, LatestUseful: time.Second})
	}
	grants := b.Decide(time.Millisecond).Grants
	require.Len(t, grants, 20)
	for _, g := range grants {
		require.Equal(t, "slow", g.Upstream)
	}
}

// TestLimitsOfAllUpstreamsAreTheirCapacity guards against requests that wait, until they are
// too late, for upstreams that are idle but at their limits: they are refused at once, with the
// time after which the limits have room.
func TestLimitsOfAllUpstreamsAreTheirCapacity(t *testing.T) {
	b := newNoticeBroker("u", "v")
	for _, id := range []string{"u", "v"} {
		b.LearnLimit(0, RequestLimit{Upstream: id, Born: born, Limited: true, PerSecond: 1})
	}
	now := 10 * time.Second
	for n := range uint64(40) {
		b.Offer(now, Offer{ID: ID{Entry: "e", Number: n}, Pool: "p", LatencyTarget: now + time.Second, LatestUseful: now + time.Second, Deadline: now + 2*time.Second})
	}
	d := b.Decide(now)
	require.Len(t, d.Grants, 2, "one at each upstream")
	require.GreaterOrEqual(t, len(d.Refusals), 35, "two requests a second are served, one of them within the latency target")
	for _, r := range d.Refusals {
		require.Equal(t, Overloaded, r.Code)
		require.GreaterOrEqual(t, r.RetryAfter, time.Second)
	}
}

// TestUnsentRequestsRefundOnlyWhatTheySpent guards against an upstream that gets more than its
// limit, since requests that were granted before it named one, or by another broker, come back
// unsent and add to what others may use.
func TestUnsentRequestsRefundOnlyWhatTheySpent(t *testing.T) {
	const granted = 20
	b := newNoticeBroker("u")
	offer := func(now time.Duration, first, n uint64) []Grant {
		for i := range n {
			b.Offer(now, Offer{ID: ID{Entry: "e", Number: first + i}, Pool: "p", LatencyTarget: now + time.Second, Deadline: now + 2*time.Second})
		}
		return b.Decide(now).Grants
	}
	require.Len(t, offer(0, 0, granted), granted)
	b.LearnLimit(0, RequestLimit{Upstream: "u", Born: born, Limited: true, PerSecond: 1, AskedAt: 1})
	for n := range uint64(granted) {
		b.End(0, End{ID: ID{Entry: "e", Number: n}, Outcome: NotSent})
	}
	require.Empty(t, offer(0, 100, granted))
	one := offer(time.Second, 200, granted)
	require.Len(t, one, 1)
	b.End(time.Second, End{ID: one[0].ID, Outcome: NotSent})
	require.Len(t, offer(time.Second, 300, granted), 1, "what was spent comes back")
}
