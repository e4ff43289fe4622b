package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/verbenastep/verbenastep/core/limits"
	"github.com/verbenastep/verbenastep/core/quarantine"
)

// request number n of a workspace, a page long.
func offerOf(n int, workspace string, tier int) Offer {
	return Offer{ID: ID{Entry: "e", Number: uint64(n)}, Workspace: workspace, Tier: tier, Weight: 1, PromptTokens: 1000, MaxTokens: 400, Deadline: time.Hour}
}

func mustOffer(t require.TestingT, d *Dispatcher, now time.Duration, o Offer) {
	refusal, err := d.Offer(now, o)
	require.NoError(t, err)
	require.Nil(t, refusal)
}

func mustAnnounce(t require.TestingT, d *Dispatcher, now time.Duration, name string, slots int) {
	require.NoError(t, d.Announce(now, Upstream{Name: name, Slots: slots, Lease: time.Hour, Incarnation: 1}))
}

func finish(t require.TestingT, d *Dispatcher, now time.Duration, g Grant, token time.Duration) {
	_, err := d.Release(now, Release{ID: g.ID, Outcome: Done, Prefill: time.Second / 4, Decode: 100 * token, OutputTokens: 101})
	require.NoError(t, err)
}

func TestBadInputChangesNothing(t *testing.T) {
	d := fresh(t, 0)
	mustOffer(t, d, 0, offerOf(1, "w", 0))
	d.Decide(0)
	before := d.Dump(0)
	bad := map[string]func(*Offer){
		"tier below": func(o *Offer) { o.Tier = -1 },
		"tier above": func(o *Offer) { o.Tier = maxTiers },
		"weight":     func(o *Offer) { o.Weight = 0 },
		"prompt":     func(o *Offer) { o.PromptTokens = -1 },
		"most":       func(o *Offer) { o.MaxTokens = -1 },
		"limit":      func(o *Offer) { o.Limits = limits.Limits{Concurrency: -1} },
		"entry":      func(o *Offer) { o.ID.Entry = "" },
	}
	for name, spoil := range bad {
		o := offerOf(2, "w", 0)
		spoil(&o)
		_, err := d.Offer(0, o)
		require.IsType(t, &OfferError{}, err, name)
	}
	for _, r := range []Release{{ID: ID{"e", 1}}, {ID: ID{"e", 1}, Outcome: Done, OutputTokens: -1}, {ID: ID{"e", 9}, Outcome: Done}} {
		_, err := d.Release(0, r)
		require.IsType(t, &OfferError{}, err)
	}
	require.IsType(t, &OfferError{}, d.Announce(0, Upstream{Name: "x"}))
	require.False(t, d.Leave(0, "unknown", 9))
	require.Equal(t, before, d.Dump(0))
}

func TestHigherTierGoesFirst(t *testing.T) {
	d := New(Params{})
	mustAnnounce(t, d, 0, "u", 1)
	for i, tier := range []int{2, 1, 0, 1} {
		mustOffer(t, d, 0, offerOf(i, "w", tier))
	}
	order := []int{}
	for range 4 {
		g := d.Decide(0).Grants[0]
		order = append(order, g.Tier)
		finish(t, d, 0, g, time.Millisecond)
	}
	require.Equal(t, []int{0, 1, 1, 2}, order)
}

func TestSharesFollowWeights(t *testing.T) {
	d := New(Params{})
	mustAnnounce(t, d, 0, "u", 1)
	for i := range 400 {
		o := offerOf(i, "light", 0)
		if i%2 == 0 {
			o.Workspace, o.Weight = "heavy", 3
		}
		mustOffer(t, d, 0, o)
	}
	served := map[string]int{}
	for range 100 {
		g := d.Decide(0).Grants[0]
		served[g.Workspace]++
		finish(t, d, 0, g, time.Millisecond)
	}
	require.InDelta(t, 75, served["heavy"], 3)
}

func TestIdleTimeEarnsNoCredit(t *testing.T) {
	d := New(Params{})
	mustAnnounce(t, d, 0, "u", 1)
	serve := func(n int) map[string]int {
		served := map[string]int{}
		for range n {
			g := d.Decide(0).Grants[0]
			served[g.Workspace]++
			finish(t, d, 0, g, time.Millisecond)
		}
		return served
	}
	for i := range 200 {
		mustOffer(t, d, 0, offerOf(i, "busy", 0))
	}
	serve(100)
	for i := range 50 {
		mustOffer(t, d, 0, offerOf(1000+i, "idle", 0))
	}
	require.InDelta(t, 10, serve(20)["idle"], 2)
}

func TestPrefixAttracts(t *testing.T) {
	d := New(Params{})
	mustAnnounce(t, d, 0, "a", 8)
	mustAnnounce(t, d, 0, "b", 8)
	o := offerOf(1, "w", 0)
	o.Blocks = []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}
	mustOffer(t, d, 0, offerOf(9, "w", 0))
	other := d.Decide(0).Grants[0]
	mustOffer(t, d, 0, o)
	first := d.Decide(0).Grants[0]
	require.NotEqual(t, other.Upstream, first.Upstream)
	finish(t, d, time.Second, other, time.Millisecond)
	finish(t, d, time.Second, first, time.Millisecond)
	o.ID.Number = 2
	mustOffer(t, d, time.Minute, o)
	again := d.Decide(time.Minute).Grants[0]
	require.Equal(t, first.Upstream, again.Upstream)
	require.Len(t, again.Why.Examined, 2)
}

// TestPrefixIsWaitedForABoundedTime fills the holder of a prompt's prefix.
func TestPrefixIsWaitedForABoundedTime(t *testing.T) {
	d := New(Params{})
	mustAnnounce(t, d, 0, "a", 1)
	mustAnnounce(t, d, 0, "b", 1)
	o := offerOf(1, "w", 0)
	o.Blocks = []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}
	mustOffer(t, d, 0, o)
	holder := d.Decide(0).Grants[0].Upstream
	o.ID.Number = 2
	mustOffer(t, d, 0, o)
	require.Empty(t, d.Decide(0).Grants)
	require.Empty(t, d.Decide(localityWait-1).Grants)
	g := d.Decide(localityWait + 1).Grants
	require.Len(t, g, 1)
	require.NotEqual(t, holder, g[0].Upstream)
}

func TestGapsNeverRaiseTrust(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newResidency()
		c.trust = 0.5
		for range 30 {
			before := c.trust
			c.event(CacheEvent{Sequence: rapid.Uint64Range(0, 40).Draw(t, "sequence"), Evicted: rapid.Bool().Draw(t, "evicted"), Blocks: []uint64{1}})
			require.LessOrEqual(t, c.trust, before)
		}
	})
}

func TestGapLowersTrust(t *testing.T) {
	c := newResidency()
	c.event(CacheEvent{Sequence: 1})
	c.event(CacheEvent{Sequence: 2})
	require.InDelta(t, 1, c.trust, 0)
	c.event(CacheEvent{Sequence: 4})
	require.Less(t, c.trust, 1.0)
}

// TestChargesFollowWhatHappened gives two workspaces equal predictions, of
// which one's answers turn out far shorter.
func TestChargesFollowWhatHappened(t *testing.T) {
	d := New(Params{})
	mustAnnounce(t, d, 0, "u", 1)
	for i := range 200 {
		o := offerOf(i, "brief", 0)
		if i%2 == 0 {
			o.Workspace = "full"
		}
		o.PromptTokens = 0
		mustOffer(t, d, 0, o)
	}
	served := map[string]int{}
	for range 60 {
		g := d.Decide(0).Grants[0]
		served[g.Workspace]++
		tokens := 400
		if g.Workspace == "brief" {
			tokens = 100
		}
		_, err := d.Release(0, Release{ID: g.ID, Outcome: Done, OutputTokens: tokens})
		require.NoError(t, err)
	}
	require.InDelta(t, 48, served["brief"], 4, "four answers for one")
}

// TestKeptSlotsGoToShortRequestsOfLowerTiersOnly fills all but the kept slot.
func TestKeptSlotsGoToShortRequestsOfLowerTiersOnly(t *testing.T) {
	d := New(Params{})
	mustAnnounce(t, d, 0, "u", 8)
	lookup := func(n int) Offer {
		o := offerOf(n, "w", 1)
		o.PromptTokens, o.MaxTokens = 10, 10
		return o
	}
	for i := range 9 {
		mustOffer(t, d, 0, offerOf(i, "w", 0))
	}
	mustOffer(t, d, 0, offerOf(20, "w", 1))
	mustOffer(t, d, 0, lookup(21))
	mustOffer(t, d, 0, lookup(22))
	granted := []uint64{}
	for _, g := range d.Decide(0).Grants {
		granted = append(granted, g.ID.Number)
	}
	require.Len(t, granted, 8)
	require.Contains(t, granted, uint64(21))
	require.NotContains(t, granted, uint64(20))
}

// TestLowestTierIsShedFirst keeps a lower tier in service: nothing above it is
// shed.
func TestLowestTierIsShedFirst(t *testing.T) {
	d := New(Params{QueueLimit: 1})
	mustAnnounce(t, d, 0, "u", 1)
	mustOffer(t, d, 0, offerOf(1, "w", 2))
	running := d.Decide(0).Grants[0]
	for i, tier := range []int{0, 1, 1} {
		mustOffer(t, d, 0, offerOf(10+i, "w", tier))
	}
	require.Empty(t, d.Decide(0).Refusals, "tier 2 is in service")
	finish(t, d, 0, running, time.Millisecond)
	out := d.Decide(0)
	require.Equal(t, 0, out.Grants[0].Tier)
	require.Len(t, out.Refusals, 1)
	require.Equal(t, 1, out.Refusals[0].Tier)
}

// TestOwnWorkIsNeverForeign reports any earlier count of our own requests, at
// any age: a lagging report must not look like another's load.
func TestOwnWorkIsNeverForeign(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := loadReport{}
		history := []int{0}
		for step := range 60 {
			now := time.Duration(step) * time.Second / 2
			history = append(history, max(0, history[len(history)-1]+rapid.IntRange(-2, 2).Draw(t, "change")))
			l.own(now, history[len(history)-1])
			lag := rapid.IntRange(0, min(4, len(history)-1)).Draw(t, "lag")
			l.take(Load{Running: history[len(history)-1-lag], Age: time.Duration(lag) * time.Second / 2}, 8)
			require.Zero(t, l.foreign())
		}
	})
}

func TestStragglerIsDemotedAndRecovers(t *testing.T) {
	d := New(Params{})
	for i := range 4 {
		mustAnnounce(t, d, 0, fmt.Sprintf("u%d", i), 8)
	}
	now, next := time.Duration(0), 0
	play := func(rounds int, slow time.Duration) (onSlow, lookups int) {
		for range rounds {
			now += time.Second
			for i := range 4 {
				next++
				o := offerOf(next, "w", 0)
				if i == 0 {
					o.PromptTokens, o.MaxTokens = 20, 20
				}
				mustOffer(t, d, now, o)
			}
			for _, g := range d.Decide(now).Grants {
				token := 20 * time.Millisecond
				if g.Upstream == "u0" {
					token *= slow
					onSlow++
				}
				finish(t, d, now+time.Second/2, g, token)
			}
		}
		return onSlow, lookups
	}
	play(20, 1)
	play(60, 5)
	require.True(t, d.upstreams["u0"].straggler.demoted)
	onSlow, _ := play(20, 5)
	require.LessOrEqual(t, onSlow, 20, "a trickle at most")
	play(120, 1)
	require.False(t, d.upstreams["u0"].straggler.demoted)
}

func TestWhatCannotFinishIsRefusedBeforeItRuns(t *testing.T) {
	d := New(Params{})
	mustAnnounce(t, d, 0, "u", 4)
	o := offerOf(1, "w", 0)
	o.PromptTokens, o.Deadline = 1_000_000, time.Second
	mustOffer(t, d, 0, o)
	require.Empty(t, d.Decide(0).Grants)
	out := d.Decide(time.Second)
	require.Empty(t, out.Grants)
	require.Equal(t, TooLate, out.Refusals[0].Code)
}

func TestSpillComesBeforeShed(t *testing.T) {
	codeOf := func(change func(*Offer)) Code {
		d := New(Params{QueueLimit: 1, Spill: true})
		mustAnnounce(t, d, 0, "u", 1)
		for i := range 3 {
			o := offerOf(i, "w", 1)
			change(&o)
			mustOffer(t, d, 0, o)
		}
		out := d.Decide(0)
		require.Len(t, out.Refusals, 1)
		return out.Refusals[0].Code
	}
	require.Equal(t, Spill, codeOf(func(*Offer) {}))
	require.Equal(t, Overload, codeOf(func(o *Offer) { o.Final = true }), "the others refused")
	require.Equal(t, Overload, codeOf(func(o *Offer) { o.Spilled = "r" }), "it goes back to where it came from")
}

func TestCrashingRequestIsQuarantinedAndInnocentsAreNot(t *testing.T) {
	d := New(Params{})
	mustAnnounce(t, d, 0, "a", 4)
	number := 0
	send := func(print uint64) {
		number++
		o := offerOf(number, "w", 0)
		o.Fingerprint = print
		mustOffer(t, d, 0, o)
	}
	crash := func(name string, incarnation uint64, grants []Grant) []quarantine.Change {
		for _, g := range grants {
			_, err := d.Release(0, Release{ID: g.ID, Outcome: Broken})
			require.NoError(t, err)
		}
		require.NoError(t, d.Announce(0, Upstream{Name: name, Slots: 4, Lease: time.Hour, Incarnation: incarnation}))
		return d.Decide(0).Suspects
	}
	send(66)
	send(1)
	require.Len(t, crash("a", 2, d.Decide(0).Grants), 2)
	send(66)
	send(1)
	alone := d.Decide(0).Grants
	require.Len(t, alone, 1, "suspects do not run side by side")
	require.Equal(t, []quarantine.Change{{Fingerprint: 66, Crashes: 2}}, crash("a", 3, alone))
	innocent := d.upstreams["a"].inFlight
	require.Len(t, innocent, 1)
	o := offerOf(99, "w", 0)
	o.Fingerprint = 66
	refusal, err := d.Offer(0, o)
	require.NoError(t, err)
	require.Equal(t, Quarantined, refusal.Code)
	require.Equal(t, quarantine.Hold, refusal.RetryAfter)
}

// TestAbsentEntryKeepsItsSlotsForABoundedTime loses the entries of requests of
// every size: twice the expected time, 2 s at the least and 30 s at the most.
func TestAbsentEntryKeepsItsSlotsForABoundedTime(t *testing.T) {
	for tokens, want := range map[int]time.Duration{10: orphanLeast, 1000: 20 * time.Second, 100_000: orphanTime} {
		d := New(Params{})
		mustAnnounce(t, d, 0, "u", 1)
		o := offerOf(1, "w", 0)
		o.PromptTokens, o.MaxTokens = 0, tokens
		mustOffer(t, d, 0, o)
		require.Len(t, d.Decide(0).Grants, 1)
		d.LoseEntry(0, "e")
		other := offerOf(2, "w", 0)
		other.ID.Entry = "f"
		mustOffer(t, d, 0, other)
		require.Empty(t, d.Decide(want-1).Grants, "%d tokens", tokens)
		require.Len(t, d.Decide(want).Grants, 1, "%d tokens", tokens)
	}
}

// TestSuccessorWaitsForAnnouncementsBeforeItRefuses begins without upstreams.
func TestSuccessorWaitsForAnnouncementsBeforeItRefuses(t *testing.T) {
	d := New(Params{})
	offer := func(now time.Duration, n int) {
		o := offerOf(n, "w", 0)
		o.Deadline = 9 * time.Hour
		mustOffer(t, d, now, o)
	}
	offer(time.Hour, 1)
	require.Empty(t, d.Decide(time.Hour).Refusals)
	require.Empty(t, d.Decide(time.Hour+announceGrace-1).Refusals)
	out := d.Decide(time.Hour + announceGrace)
	require.Equal(t, NoUpstream, out.Refusals[0].Code)
	offer(2*time.Hour, 2)
	require.Len(t, d.Decide(2*time.Hour).Refusals, 1, "known by then")
}

func TestPlainServiceTakesItsConcurrency(t *testing.T) {
	d := New(Params{Plain: true, Concurrency: 2})
	mustAnnounce(t, d, 0, "u", 8)
	for i := range 5 {
		mustOffer(t, d, 0, offerOf(i, "w", 0))
	}
	require.Len(t, d.Decide(0).Grants, 2)
}

func TestExplanationsForAllStates(t *testing.T) {
	d := New(Params{})
	mustAnnounce(t, d, 0, "u", 1)
	for i := range 2 {
		mustOffer(t, d, 0, offerOf(i, "w", 0))
	}
	late := offerOf(7, "w", 0)
	late.Deadline = -time.Second
	mustOffer(t, d, 0, late)
	d.Decide(0)
	states := map[uint64]string{0: "granted", 1: "queued", 7: "refused"}
	for n, state := range states {
		e, ok := d.Explain(0, ID{"e", n})
		require.True(t, ok)
		require.Equal(t, state, e.State)
	}
	waiting, _ := d.Explain(0, ID{"e", 1})
	require.Equal(t, "all slots are in use", waiting.Examined[0].Excluded)
	_, ok := d.Explain(0, ID{"e", 55})
	require.False(t, ok)
}

// TestThirdUpstreamWaitsForTwoUnsettledFailures sends a content that breaks on
// two upstreams in quick succession: it runs nowhere else until it is known
// whether they died, and then it is refused, or runs where they live after all.
func TestThirdUpstreamWaitsForTwoUnsettledFailures(t *testing.T) {
	for _, died := range []bool{true, false} {
		d := New(Params{})
		renew := func(now time.Duration, names ...string) {
			for _, n := range names {
				require.NoError(t, d.Announce(now, Upstream{Name: n, Slots: 1, Lease: 2 * time.Second, Incarnation: 1}))
			}
		}
		send := func(now time.Duration, number int) []Grant {
			o := offerOf(number, "w", 0)
			o.Fingerprint = 66
			mustOffer(t, d, now, o)
			return d.Decide(now).Grants
		}
		renew(0, "a", "b", "c")
		grants := append(send(0, 1), send(0, 2)...)
		require.Len(t, grants, 2)
		require.NotEqual(t, grants[0].Upstream, grants[1].Upstream)
		for _, g := range grants {
			_, err := d.Release(0, Release{ID: g.ID, Outcome: Broken})
			require.NoError(t, err)
		}
		require.Empty(t, send(0, 3), "two failures are unsettled")
		if died {
			for _, n := range []string{"a", "b", "c"} {
				if n != grants[0].Upstream && n != grants[1].Upstream {
					renew(1900*time.Millisecond, n)
				}
			}
			out := d.Decide(2100 * time.Millisecond)
			require.Empty(t, out.Grants)
			require.Len(t, out.Refusals, 1)
			require.Equal(t, Quarantined, out.Refusals[0].Code)
			continue
		}
		renew(1500*time.Millisecond, "a", "b", "c")
		require.Len(t, d.Decide(1500*time.Millisecond).Grants, 1)
	}
}
