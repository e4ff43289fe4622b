package broker

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/rollout"
)

// countingController grants the target a fixed number of requests.
type countingController struct {
	left, requests, tries int
	answers               []rollout.Answer
}

func (c *countingController) CountRequest(time.Duration) { c.requests++ }
func (c *countingController) MayTry(time.Duration) bool  { return c.tries < c.left }
func (c *countingController) CountTry(time.Duration)     { c.tries++ }
func (c *countingController) Learn(_ time.Duration, a rollout.Answer) {
	c.answers = append(c.answers, a)
}

// rolloutPool returns a broker with two upstreams of version v1 and two of version v2, with
// four slots each within the broker's share. The old ones are in the data centre of the
// requests.
func rolloutPool(share float64) *Broker {
	b := New(share)
	list := []Upstream{}
	for i, version := range []string{"v1", "v1", "v2", "v2"} {
		u := Upstream{ID: fmt.Sprintf("u%d", i), Pool: "p", Slots: int(4 / share), DataCentre: "dc", Region: "r", SoftwareVersion: version}
		if version == "v2" {
			u.DataCentre, u.Region = "far", "q"
		}
		list = append(list, u)
	}
	b.SetUpstreams(list)
	return b
}

// grantMany offers requests and returns the number of grants by upstream.
func grantMany(b *Broker, first, n int) map[string]int {
	for i := range n {
		b.Offer(0, Offer{ID: ID{Entry: "e", Number: uint64(first + i)}, Pool: "p", DataCentre: "dc", Region: "r", LatencyTarget: time.Second, Deadline: 2 * time.Second, Route: 9})
	}
	out := map[string]int{}
	for _, g := range b.Decide(0).Grants {
		out[g.Upstream]++
	}
	return out
}

// TestTrialIsBoundedAndFillsOneUpstream guards against a version on trial that gets more
// requests than were reserved, none because its upstreams are farther away, or so few each
// that none of them works under load.
func TestTrialIsBoundedAndFillsOneUpstream(t *testing.T) {
	b, c := rolloutPool(1), &countingController{left: 3}
	b.SetGate("p", rollout.Gate{Target: "v2", Phase: rollout.Trial}, nil)
	require.Equal(t, map[string]int{"u0": 1, "u1": 1}, grantMany(b, 0, 2), "no controller, no trial")
	b.SetRollout("p", c)
	require.Equal(t, map[string]int{"u2": 3, "u0": 2, "u1": 1}, grantMany(b, 10, 6))
	require.Equal(t, []int{6, 3}, []int{c.requests, c.tries})
	c.left = 100
	require.Equal(t, 4, b.pools["p"].upstreams["u2"].capacity(0, 1))
	require.Equal(t, map[string]int{"u2": 1, "u0": 1, "u1": 2}, grantMany(b, 20, 4), "the other upstream of the version gets none while one has room")
	require.Equal(t, rollout.Fleet{TargetSlots: 8, OldSlots: 8, Load: 12, OldRunning: 8}, b.RolloutFleet(0, "p"))
}

// TestSlotsOnTrialDoNotCountAsCapacity guards against requests that are accepted, and then
// late, because the broker counts on upstreams that it may not use.
func TestSlotsOnTrialDoNotCountAsCapacity(t *testing.T) {
	b := rolloutPool(1)
	b.SetRollout("p", &countingController{left: 100})
	for phase, slots := range map[rollout.Phase]float64{rollout.Trial: 8, rollout.Shift: 8, rollout.Settle: 8, rollout.RolledBack: 8, "": 16} {
		g := rollout.Gate{Target: "v2", Phase: phase}
		if phase == "" {
			g = rollout.Gate{}
		}
		b.SetGate("p", g, nil)
		require.Equal(t, slots, b.pools["p"].newRound(0, 1).slots, phase)
	}
}

// TestGatesHoldAtEveryBroker guards against a broker that sends requests to a version that is
// on trial elsewhere, was rolled back, or is about to be stopped.
func TestGatesHoldAtEveryBroker(t *testing.T) {
	target, old := map[string]int{"u2": 4, "u3": 4}, map[string]int{"u0": 4, "u1": 4}
	for phase, local := range map[rollout.Phase]map[string]int{
		rollout.Trial: old, rollout.Shift: old, rollout.Settle: target, rollout.Completed: target, rollout.RolledBack: old,
	} {
		for _, share := range []float64{1, 0.5} {
			b := rolloutPool(share)
			b.SetGate("p", rollout.Gate{Target: "v2", Phase: phase}, []string{"v1"})
			require.Equal(t, local, grantMany(b, 0, 20), "%s, share %g", phase, share)
		}
	}
}

// TestStreamOfTheOldVersionIsResumedWhileItSettles guards against a stream that breaks because
// its version gets no new requests.
func TestStreamOfTheOldVersionIsResumedWhileItSettles(t *testing.T) {
	for phase, granted := range map[rollout.Phase]int{rollout.Settle: 1, rollout.Completed: 0} {
		b := rolloutPool(1)
		b.SetGate("p", rollout.Gate{Target: "v2", Phase: phase}, []string{"v1"})
		b.Offer(0, Offer{ID: ID{Number: 1}, Pool: "p", Resumes: 5, VersionBound: true, SoftwareVersion: "v1", LatencyTarget: time.Second, Deadline: 2 * time.Second})
		require.Len(t, b.Decide(0).Grants, granted, phase)
	}
}

// TestRolledBackVersionServesOnceItIsTheOnlyOne guards against a pool that stays without
// service because its only version was once rolled back.
func TestRolledBackVersionServesOnceItIsTheOnlyOne(t *testing.T) {
	b := rolloutPool(1)
	b.SetGate("p", rollout.Gate{Target: "v1", Phase: rollout.RolledBack}, nil)
	b.SetUpstreams([]Upstream{{ID: "u0", Pool: "p", Slots: 1, SoftwareVersion: "v1"}})
	for _, at := range []time.Duration{0, onlyVersionDelay - 1, onlyVersionDelay} {
		b.Offer(at, Offer{ID: ID{Number: uint64(at)}, Pool: "p", LatencyTarget: at + time.Second, Deadline: at + time.Second})
		require.Equal(t, at == onlyVersionDelay, len(b.Decide(at).Grants) == 1, at)
	}
}

// TestControllerLearnsFromEnds guards against an analysis that misses answers, takes a cold
// start for slowness, or learns from requests that did not run. A failure without a time can't be
// told from what a crash ended.
func TestControllerLearnsFromEnds(t *testing.T) {
	b, c := rolloutPool(1), &countingController{left: 100}
	b.SetGate("p", rollout.Gate{Target: "v2", Phase: rollout.Trial}, nil)
	b.SetRollout("p", c)
	number := uint64(100)
	end := func(o Outcome, took time.Duration) {
		number++
		b.Offer(0, Offer{ID: ID{Number: number}, Pool: "p", LatencyTarget: time.Second, Deadline: 2 * time.Second, Route: 9})
		grants := b.Decide(0).Grants
		require.Len(t, grants, 1)
		require.Equal(t, "rollout of v2: trial", grants[0].VersionReason)
		b.End(took, End{ID: grants[0].ID, Outcome: o, TimeToFirstEvent: took})
	}
	end(Completed, 40*time.Millisecond)
	end(UpstreamError, 30*time.Millisecond)
	end(NotSent, 0)
	end(Canceled, 0)
	require.Equal(t, []rollout.Answer{
		{Route: 9, Target: true, Upstream: "u2", Time: 40 * time.Millisecond, Expected: 60 * time.Millisecond},
		{Route: 9, Target: true, Upstream: "u2", Failed: true, Time: 30 * time.Millisecond},
	}, c.answers)
	b.pools["p"].upstreams["u2"].WarmUpTime = time.Second
	end(Completed, 400*time.Millisecond)
	require.Zero(t, c.answers[2].Time, "a cold start is not slowness")
}

// TestTimeoutsTellHowLongTheyLasted guards against a cold start that counts as failures: the entry
// repeated a slow request elsewhere and ended the first attempt.
func TestTimeoutsTellHowLongTheyLasted(t *testing.T) {
	b, c := rolloutPool(1), &countingController{left: 100}
	b.SetGate("p", rollout.Gate{Target: "v2", Phase: rollout.Trial}, nil)
	b.SetRollout("p", c)
	for i, warmUp := range []time.Duration{0, time.Second} {
		b.pools["p"].upstreams["u2"].WarmUpTime = warmUp
		b.Offer(0, Offer{ID: ID{Number: uint64(i)}, Pool: "p", LatencyTarget: time.Second, Deadline: 2 * time.Second, Route: 9})
		grants := b.Decide(0).Grants
		require.Len(t, grants, 1)
		b.End(700*time.Millisecond, End{ID: grants[0].ID, Outcome: TimedOut})
	}
	require.Equal(t, []rollout.Answer{{Route: 9, Target: true, Upstream: "u2", Failed: true, TimedOut: true, Time: 700 * time.Millisecond}}, c.answers, "none while the upstream warms up")
}

// TestRetriesAreNotCountedAsRequests guards against a share that grows by requests that are
// offered again.
func TestRetriesAreNotCountedAsRequests(t *testing.T) {
	b, c := rolloutPool(1), &countingController{}
	b.SetGate("p", rollout.Gate{Target: "v2", Phase: rollout.Trial}, nil)
	b.SetRollout("p", c)
	for i, o := range []Offer{{}, {Route: 1, Avoid: []string{"u0"}}, {Counted: true}, {Avoid: []string{"u0"}}, {Resumes: 3}, {Running: "u1"}} {
		o.ID, o.Pool = ID{Number: uint64(i)}, "p"
		b.Offer(0, o)
	}
	require.Equal(t, 2, c.requests, "upstreams to avoid are no sign of another attempt where that is sent")
}

// TestRequestsOfUnlistedUpstreamsRun guards against a rollout that is completed while requests run
// on the old version: a new leader does not list their upstream yet when the entry reports them.
func TestRequestsOfUnlistedUpstreamsRun(t *testing.T) {
	target, old := Upstream{ID: "u2", Pool: "p", Slots: 4, SoftwareVersion: "v2"}, Upstream{ID: "u0", Pool: "p", Slots: 4, SoftwareVersion: "v1"}
	newLeader := func() *Broker {
		b := New(1)
		b.SetGate("p", rollout.Gate{Target: "v2", Phase: rollout.Settle}, nil)
		b.SetRollout("p", &countingController{left: 100})
		b.SetUpstreams([]Upstream{target})
		runs := Offer{ID: ID{Entry: "e", Number: 1}, Pool: "p", Running: "u0", VersionBound: true, SoftwareVersion: "v1", Deadline: time.Minute}
		b.Resync(0, "e", []Offer{runs})
		b.Offer(0, runs)
		b.Decide(0)
		require.Equal(t, 1, b.RolloutFleet(0, "p").OldRunning)
		return b
	}
	end := End{ID: ID{Entry: "e", Number: 1}, Outcome: Completed}

	b := newLeader()
	b.End(time.Second, end)
	require.Zero(t, b.RolloutFleet(time.Second, "p").OldRunning, "ended before the upstream is listed")

	b = newLeader()
	b.SetUpstreams([]Upstream{old, target})
	b.Decide(time.Second)
	require.Equal(t, rollout.Fleet{TargetSlots: 4, OldSlots: 4, Load: 1, OldRunning: 1}, b.RolloutFleet(time.Second, "p"))
	require.Len(t, b.pools["p"].upstreams["u0"].inFlight, 1)
	b.End(2*time.Second, end)
	require.Zero(t, b.RolloutFleet(2*time.Second, "p").OldRunning, "ended after it is listed")

	b = newLeader()
	require.Equal(t, 1, b.RolloutFleet(time.Minute, "p").OldRunning)
	b.Decide(time.Minute + maxUnlistedTime)
	require.Empty(t, b.unlisted, "the upstream is gone")

	b = newLeader()
	b.LoseEntry(time.Second, "e")
	require.Equal(t, 1, b.RolloutFleet(2*time.Second, "p").OldRunning)
	require.Zero(t, b.RolloutFleet(time.Second+maxUnlistedTime, "p").OldRunning, "nobody reports the end")

	b = newLeader()
	b.Resync(time.Second, "e", nil)
	require.Zero(t, b.RolloutFleet(time.Second, "p").OldRunning, "the entry says that it ended")
}

// TestShiftObeysSlowStart guards against a new upstream of the target that gets more requests than
// its slow start opens: each one beyond it is slow.
func TestShiftObeysSlowStart(t *testing.T) {
	b := New(1)
	b.SetPace(Pace{InitialSlots: 2, TimeFactor: 2})
	b.SetRollout("p", &countingController{left: 1000})
	old, target := Upstream{ID: "u0", Pool: "p", Slots: 400, SoftwareVersion: "v1"}, Upstream{ID: "u2", Pool: "p", Slots: 40, SoftwareVersion: "v2", Born: 1}
	b.SetGate("p", rollout.Gate{Target: "v2", Phase: rollout.Shift}, nil)
	b.SetUpstreams([]Upstream{old})
	b.Decide(0)
	b.Decide(20 * time.Second)
	b.SetUpstreams([]Upstream{old, target})
	for i := range 10 {
		now := 20*time.Second + time.Duration(i)*time.Millisecond
		for n := range 5 {
			b.Offer(now, Offer{ID: ID{Entry: "e", Number: uint64(10*i + n)}, Pool: "p", LatencyTarget: now + 2*time.Second, Deadline: now + 5*time.Second})
		}
		b.Decide(now)
		u := b.pools["p"].upstreams["u2"]
		require.LessOrEqual(t, len(u.inFlight), u.pacedCapacity(now, 1))
	}
	require.NotEmpty(t, b.pools["p"].upstreams["u2"].inFlight)
}

// TestRequestsDoNotWaitForGatedUpstreams guards against requests that are kept from upstreams in
// slow start since idle upstreams of a version that gets no requests could serve them.
func TestRequestsDoNotWaitForGatedUpstreams(t *testing.T) {
	b := New(1)
	b.SetPace(Pace{InitialSlots: 1, TimeFactor: 2})
	b.SetGate("p", rollout.Gate{Target: "v2", Phase: rollout.Settle}, nil)
	list := []Upstream{{ID: "t0", Pool: "p", Slots: 1, SoftwareVersion: "v2", Born: 1}, {ID: "o0", Pool: "p", Slots: 100, SoftwareVersion: "v1", Born: 1}}
	b.SetUpstreams(list)
	b.Decide(0)
	b.Decide(20 * time.Second)
	b.SetUpstreams(append(list, Upstream{ID: "t1", Pool: "p", Slots: 20, SoftwareVersion: "v2", Born: 2}))
	p := b.pools["p"]
	p.startWindows(20 * time.Second)
	r := p.newRound(20*time.Second, 1)
	require.NotNil(t, r.paced)
	require.InDelta(t, 1, r.paced.steady.slots, 0.5)
	require.Len(t, r.paced.steadyUpstreams, 1)
}
