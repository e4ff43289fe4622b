package broker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/routes"
)

// refusedCaller returns a broker whose single engine is full and has a queue, with the refusal
// of the request with fingerprint 7.
func refusedCaller(t *testing.T, on bool) (*Broker, Refusal) {
	t.Helper()
	s := newOverloadSim(1, on)
	b := s.broker
	for n := range uint64(40) {
		b.Offer(0, overloadOffer("first", n, 0))
	}
	b.Decide(0)
	o := overloadOffer("first", 100, 0)
	o.Fingerprint = 7
	b.Offer(0, o)
	for _, r := range append(b.Decide(0).Refusals, b.Decide(0).Refusals...) {
		if r.ID == o.ID {
			require.Positive(t, r.RetryAfter)
			require.LessOrEqual(t, r.RetryAfter, o.Deadline/3, "the caller would not wait longer")
			return b, r
		}
	}
	require.Fail(t, "the request is not refused")
	return nil, Refusal{}
}

func overloadOffer(entry string, number uint64, now time.Duration) Offer {
	return Offer{
		ID: ID{Entry: entry, Number: number}, Pool: simPool, Workspace: "w", PromptTokens: 1000, OutputTokens: 100,
		LatencyTarget: now + time.Second, LatestUseful: now + 2*time.Second, Deadline: now + 10*time.Second, AbandonAt: now + 4*time.Second,
	}
}

// nextGranted offers first arrivals and the request with fingerprint 7, and returns the entry of
// the next request that is granted.
func nextGranted(t *testing.T, b *Broker, now time.Duration) string {
	t.Helper()
	b.Decide(now)
	for n := range uint64(20) {
		b.Offer(now, overloadOffer("other", n, now))
	}
	o := overloadOffer("second", 1, now)
	o.Fingerprint = 7
	b.Offer(now, o)
	b.Decide(now)
	for id, req := range b.requests {
		if req.assigned != nil && id.Entry == "first" {
			b.End(now, End{ID: id, Outcome: Completed})
			grants := b.Decide(now).Grants
			require.Len(t, grants, 1)
			return grants[0].ID.Entry
		}
	}
	require.Fail(t, "nothing ran")
	return ""
}

// Guards against a refused caller that returns when it was told to and competes with first
// arrivals again; it may return through another entry.
func TestOverloadReturnAsToldGoesFirst(t *testing.T) {
	b, r := refusedCaller(t, true)
	require.Equal(t, "second", nextGranted(t, b, r.RetryAfter))
	b, r = refusedCaller(t, false)
	require.NotEqual(t, "second", nextGranted(t, b, r.RetryAfter), "the decision shows only if it is enabled")
}

// Guards against callers that gain by returning before they were told to, and against other
// requests with the same content that end a commitment.
func TestOverloadEarlyReturnGainsNothing(t *testing.T) {
	b, r := refusedCaller(t, true)
	require.NotEqual(t, "second", nextGranted(t, b, r.RetryAfter/2))
	stats, _ := b.OverloadStats()
	require.EqualValues(t, 1, stats.Early)
	require.EqualValues(t, 1, stats.Committed, "an early return gets no further commitment")
	for n := range uint64(2) {
		o := overloadOffer("third", n, r.RetryAfter)
		o.Fingerprint = 7
		b.Offer(r.RetryAfter, o)
	}
	stats, _ = b.OverloadStats()
	require.EqualValues(t, 1, stats.Returned, "a commitment is for one request")
}

// Guards against a record that grows with the refusals of a long overload.
func TestOverloadCommitmentsAreBounded(t *testing.T) {
	c := newCommitments(Overload{MaxCommitments: 3})
	add := func(now time.Duration, fingerprint uint64) bool {
		return c.add(now, commitment{Commitment: Commitment{Fingerprint: fingerprint, Due: now}})
	}
	for n := range uint64(3) {
		require.True(t, add(0, n+1))
	}
	require.False(t, add(0, 9))
	require.True(t, add(returnWindow+1, 9), "expired commitments make room")
	require.Len(t, c.byID, 1)
	require.Len(t, c.order, 1)
}

// herdLoad is a thundering herd: bursts of 1.7 times the capacity for half of the time, after
// which refused callers return, a fifth of them at once.
func herdLoad(s *overloadSim) {
	for _, k := range overloadKinds {
		s.arrive(k, 0, 10*time.Second, 0.8)
		s.arrive(k, 10*time.Second, 20*time.Second, 1.7)
		s.arrive(k, 20*time.Second, 30*time.Second, 0.8)
		s.arrive(k, 30*time.Second, 33*time.Second, 2.2)
		s.arrive(k, 33*time.Second, 36*time.Second, 0.8)
	}
}

// Guards against callers that are refused twice in a herd of callers that retry while bursts
// alternate with room.
func TestOverloadHerdOfRetriesIsServedInItsRoom(t *testing.T) {
	without, with := compareOverload(herdLoad)
	stats, _ := with.broker.OverloadStats()
	t.Logf("%+v large without: %v, with: %v", stats, without.large, with.large)
	for r := range 3 {
		t.Logf("rank %d without: %v", r, without.byRank[r])
		t.Logf("rank %d with:    %v", r, with.byRank[r])
	}
	require.Greater(t, float64(stats.Kept), 0.9*float64(stats.Returned))
	require.Positive(t, stats.Returned)
	require.Less(t, float64(with.byRank[2].refusedTwice), 0.9*float64(without.byRank[2].refusedTwice))
	require.Less(t, float64(with.byRank[2].refusedLate), 0.85*float64(without.byRank[2].refusedLate), "late requests count the arrivals that overtake them")
	require.Greater(t, with.value(), 0.99*without.value())
	require.Greater(t, with.byRank[0].served(), 0.999)
	require.Greater(t, with.large.served(), 0.5*with.byRank[2].served(), "large requests must not starve")
}

// Guards against a workspace at 7.5 times its usual rate that raises the refusals of the other
// 15 workspaces of its rank.
func TestOverloadGreedyWorkspaceDoesNotHarmOthers(t *testing.T) {
	without, with := compareOverload(func(s *overloadSim) {
		high, low := overloadKinds[0], overloadKinds[1]
		low.perSecond = 115
		low.greedyFactor, low.greedyFrom, low.greedyTo = 7.5, 10*time.Second, 20*time.Second
		s.arrive(high, 0, 30*time.Second, 1)
		s.arrive(low, 0, 30*time.Second, 1)
	})
	a, b := without.others(1), with.others(1)
	t.Logf("others without: %v", a)
	t.Logf("others with:    %v", b)
	t.Logf("greedy without: %v", without.byWorkspace[[2]int{1, 0}])
	t.Logf("greedy with:    %v", with.byWorkspace[[2]int{1, 0}])
	t.Logf("value %.4f without, %.4f with", without.value(), with.value())
	require.Less(t, b.refusedOnce, a.refusedOnce/2)
	require.Less(t, b.refusedTwice, a.refusedTwice/2)
	require.Greater(t, with.byWorkspace[[2]int{1, 0}].served(), 0.4, "the workspace keeps its own part")
}

// Guards against low-rank requests that are accepted at the start of a burst of a high rank, of
// which the usual average shows little, and are refused after they have waited.
func TestOverloadBurstOfHigherRankShowsAtOnce(t *testing.T) {
	const slots, burst = 100, 80
	p := newPool(simPool)
	p.overload = newPoolOverload(&overload{})
	for now := time.Duration(0); now < recentLoadWindow; now += 10 * time.Millisecond {
		p.load.add(now, 0, burst*0.01)
		p.overload.recent.add(now, 0, burst*0.01)
	}
	require.Less(t, p.spareSlots(recentLoadWindow, 1, slots), slots-burst/2.0)
	require.InDelta(t, slots, p.spareSlots(recentLoadWindow, 0, slots), 0, "a rank does not count itself")
	p.overload = nil
	require.Greater(t, p.spareSlots(recentLoadWindow, 1, slots), slots-burst/2.0)
}

// Guards against low-rank requests that wait in vain when a burst of a high rank begins, and
// against any harm to the high rank by bursts of a low one before, during and after.
func TestOverloadBurstsOfTwoRanks(t *testing.T) {
	without, with := compareOverload(func(s *overloadSim) {
		high, low := overloadKinds[0], overloadKinds[2]
		for i := range 6 {
			at := time.Duration(i) * 10 * time.Second
			s.arrive(high, at, at+3*time.Second, 1.7)
			s.arrive(high, at+3*time.Second, at+6*time.Second, 4)
			s.arrive(high, at+6*time.Second, at+10*time.Second, 1.2)
			s.arrive(low, at, at+5*time.Second, 1)
			s.arrive(low, at+5*time.Second, at+10*time.Second, 2)
		}
	})
	for _, rank := range []int{0, 2} {
		t.Logf("rank %d without: %v", rank, without.byRank[rank])
		t.Logf("rank %d with:    %v", rank, with.byRank[rank])
	}
	stats, _ := with.broker.OverloadStats()
	require.Positive(t, stats.Preempted)
	require.Zero(t, with.byRank[0].refusedOnce)
	require.Greater(t, float64(with.byRank[0].onTime), 0.998*float64(with.byRank[0].callers), "the fair order may make single requests late")
	require.Less(t, with.byRank[2].refusedLate, without.byRank[2].refusedLate)
	require.Less(t, with.byRank[2].refusedTwice, without.byRank[2].refusedTwice)
	require.GreaterOrEqual(t, with.value(), without.value())
}

// Guards against refusals of requests that engines could serve late, within their callers'
// patience, after a short burst.
func TestOverloadBurstIsServedLate(t *testing.T) {
	without, with := compareOverload(func(s *overloadSim) {
		k := overloadKinds[2]
		k.target, k.deadline = 400*time.Millisecond, 4*time.Second
		for i := range 6 {
			at := time.Duration(i) * 4 * time.Second
			s.arrive(k, at, at+time.Second, 3.2)
			s.arrive(k, at+time.Second, at+4*time.Second, 0.8)
		}
	})
	t.Logf("without: %v", without.byRank[2])
	t.Logf("with:    %v", with.byRank[2])
	require.Less(t, with.byRank[2].refusedOnce, without.byRank[2].refusedOnce/4)
	require.Less(t, with.byRank[2].refusedLate, without.byRank[2].refusedLate/4)
	require.Greater(t, float64(with.byRank[2].onTime), 0.99*float64(without.byRank[2].onTime))
}

// Guards against workspaces whose quotas differ and that are held to the same share, and against
// one with a very small quota that starves.
func TestOverloadShareFollowsQuota(t *testing.T) {
	first, second := 0, 1
	w := newShareWeights(routes.NewIndex(&routes.Table{Workspaces: []routes.Workspace{
		{Name: "large", Rank: &first, TokensPerSecond: 3000},
		{Name: "small", Rank: &first, TokensPerSecond: 1000},
		{Name: "tiny", Rank: &first, TokensPerSecond: 1},
		{Name: "unlimited", Rank: &first},
		{Name: "other rank", Rank: &second, TokensPerSecond: 9},
	}}))
	require.InDelta(t, 3, w.of("large")/w.of("small"), 1e-9)
	require.InDelta(t, minShareWeight, w.of("tiny"), 0)
	require.InDelta(t, 1, w.of("unlimited"), 0)
	require.InDelta(t, 1, w.of("other rank"), 0)
	s := newOverloadSim(1, true)
	p := s.broker.pool(simPool)
	s.broker.overload.weights = w
	p.overload.ranks[0].shares.activate(0)
	cost := func(workspace string) float64 {
		req := &request{Offer: Offer{Workspace: workspace, OutputTokens: 100}}
		p.overload.charge(0, p, req)
		return req.shareCost
	}
	require.InDelta(t, 3, cost("small")/cost("large"), 1e-9, "the larger quota is charged less for the same request")
}

// Guards against the loss of the order, of the promise between ranks, when low-rank callers
// return as they were told to.
func TestOverloadReturnNeverPassesHigherRank(t *testing.T) {
	high, low := &request{Offer: Offer{Rank: 0}}, &request{Offer: Offer{Rank: 1}, requestOverload: requestOverload{committed: true}}
	high.late, high.shareTag = true, 1e9
	require.Negative(t, compare(high, low))
}

// Guards against pools that a refused request of an unknown pool adds, with the setting or without.
func TestOverloadRefusalAddsNoPool(t *testing.T) {
	for _, on := range []bool{false, true} {
		b := newOverloadSim(1, on).broker
		b.refuse(&request{Offer: Offer{Pool: "unknown"}}, LimitExceeded, 0, "")
		require.NotContains(t, b.pools, "unknown")
	}
}
