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

// testOffer returns an offer of 1000 prompt tokens and at most 400 output
// tokens.
func testOffer(n int, workspace string, tier int) Offer {
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

func complete(t require.TestingT, d *Dispatcher, now time.Duration, g Grant, token time.Duration) {
	_, err := d.Release(now, Release{ID: g.ID, Outcome: Completed, Prefill: time.Second / 4, Decode: 100 * token, OutputTokens: 101})
	require.NoError(t, err)
}

func TestInvalidInputChangesNoState(t *testing.T) {
	d := newTestDispatcher(t, 0)
	mustOffer(t, d, 0, testOffer(1, "w", 0))
	d.Decide(0)
	before := d.Dump(0)
	bad := map[string]func(*Offer){
		"tier below": func(o *Offer) { o.Tier = -1 },
		"tier above": func(o *Offer) { o.Tier = maxTiers },
		"weight":     func(o *Offer) { o.Weight = 0 },
		"prompt":     func(o *Offer) { o.PromptTokens = -1 },
		"max tokens": func(o *Offer) { o.MaxTokens = -1 },
		"limit":      func(o *Offer) { o.Limits = limits.Limits{Concurrency: -1} },
		"entry":      func(o *Offer) { o.ID.Entry = "" },
	}
	for name, invalidate := range bad {
		o := testOffer(2, "w", 0)
		invalidate(&o)
		_, err := d.Offer(0, o)
		require.IsType(t, &OfferError{}, err, name)
	}
	for _, r := range []Release{{ID: ID{"e", 1}}, {ID: ID{"e", 1}, Outcome: Completed, OutputTokens: -1}, {ID: ID{"e", 9}, Outcome: Completed}} {
		_, err := d.Release(0, r)
		require.IsType(t, &OfferError{}, err)
	}
	require.IsType(t, &OfferError{}, d.Announce(0, Upstream{Name: "x"}))
	require.False(t, d.Drain(0, "unknown", 9))
	require.Equal(t, before, d.Dump(0))
}

func TestHigherTierIsGrantedFirst(t *testing.T) {
	d := New(Params{})
	mustAnnounce(t, d, 0, "u", 1)
	for i, tier := range []int{2, 1, 0, 1} {
		mustOffer(t, d, 0, testOffer(i, "w", tier))
	}
	order := []int{}
	for range 4 {
		g := d.Decide(0).Grants[0]
		order = append(order, g.Tier)
		complete(t, d, 0, g, time.Millisecond)
	}
	require.Equal(t, []int{0, 1, 1, 2}, order)
}

func TestSharesFollowWeights(t *testing.T) {
	d := New(Params{})
	mustAnnounce(t, d, 0, "u", 1)
	for i := range 400 {
		o := testOffer(i, "light", 0)
		if i%2 == 0 {
			o.Workspace, o.Weight = "heavy", 3
		}
		mustOffer(t, d, 0, o)
	}
	served := map[string]int{}
	for range 100 {
		g := d.Decide(0).Grants[0]
		served[g.Workspace]++
		complete(t, d, 0, g, time.Millisecond)
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
			complete(t, d, 0, g, time.Millisecond)
		}
		return served
	}
	for i := range 200 {
		mustOffer(t, d, 0, testOffer(i, "busy", 0))
	}
	serve(100)
	for i := range 50 {
		mustOffer(t, d, 0, testOffer(1000+i, "idle", 0))
	}
	require.InDelta(t, 10, serve(20)["idle"], 2)
}

func TestRequestIsGrantedToPrefixHolder(t *testing.T) {
	d := New(Params{})
	mustAnnounce(t, d, 0, "a", 8)
	mustAnnounce(t, d, 0, "b", 8)
	o := testOffer(1, "w", 0)
	o.Blocks = []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}
	mustOffer(t, d, 0, testOffer(9, "w", 0))
	other := d.Decide(0).Grants[0]
	mustOffer(t, d, 0, o)
	first := d.Decide(0).Grants[0]
	require.NotEqual(t, other.Upstream, first.Upstream)
	complete(t, d, time.Second, other, time.Millisecond)
	complete(t, d, time.Second, first, time.Millisecond)
	o.ID.Number = 2
	mustOffer(t, d, time.Minute, o)
	again := d.Decide(time.Minute).Grants[0]
	require.Equal(t, first.Upstream, again.Upstream)
	require.Len(t, again.Explanation.Examined, 2)
}

// TestWaitForPrefixHolderIsBounded guards against idle slots: a request waits
// for the upstream that holds its prefix, but once localityTimeout has passed
// it is granted to another one.
func TestWaitForPrefixHolderIsBounded(t *testing.T) {
	d := New(Params{})
	mustAnnounce(t, d, 0, "a", 1)
	mustAnnounce(t, d, 0, "b", 1)
	o := testOffer(1, "w", 0)
	o.Blocks = []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}
	mustOffer(t, d, 0, o)
	holder := d.Decide(0).Grants[0].Upstream
	o.ID.Number = 2
	mustOffer(t, d, 0, o)
	require.Empty(t, d.Decide(0).Grants)
	require.Empty(t, d.Decide(localityTimeout-1).Grants)
	g := d.Decide(localityTimeout + 1).Grants
	require.Len(t, g, 1)
	require.NotEqual(t, holder, g[0].Upstream)
}

func TestCacheEventsNeverRaiseTrust(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCacheModel()
		c.trust = 0.5
		for range 30 {
			before := c.trust
			c.applyEvent(CacheEvent{Sequence: rapid.Uint64Range(0, 40).Draw(t, "sequence"), Evicted: rapid.Bool().Draw(t, "evicted"), Blocks: []uint64{1}})
			require.LessOrEqual(t, c.trust, before)
		}
	})
}

func TestCacheEventGapLowersTrust(t *testing.T) {
	c := newCacheModel()
	c.applyEvent(CacheEvent{Sequence: 1})
	c.applyEvent(CacheEvent{Sequence: 2})
	require.InDelta(t, 1, c.trust, 0)
	c.applyEvent(CacheEvent{Sequence: 4})
	require.Less(t, c.trust, 1.0)
}

// TestChargesFollowActualOutput guards against unfair shares from wrong
// predictions: two workspaces have equal predictions, but the answers of one
// are four times shorter, so it must be served four times as often.
func TestChargesFollowActualOutput(t *testing.T) {
	d := New(Params{})
	mustAnnounce(t, d, 0, "u", 1)
	for i := range 200 {
		o := testOffer(i, "short-answers", 0)
		if i%2 == 0 {
			o.Workspace = "long-answers"
		}
		o.PromptTokens = 0
		mustOffer(t, d, 0, o)
	}
	served := map[string]int{}
	for range 60 {
		g := d.Decide(0).Grants[0]
		served[g.Workspace]++
		tokens := 400
		if g.Workspace == "short-answers" {
			tokens = 100
		}
		_, err := d.Release(0, Release{ID: g.ID, Outcome: Completed, OutputTokens: tokens})
		require.NoError(t, err)
	}
	require.InDelta(t, 48, served["short-answers"], 4, "four short answers cost as much as one long answer")
}

// TestReservedSlotsServeOnlyShortRequestsOfLowerTiers fills all slots of an upstream
// but the reserved one. While a higher tier has requests queued, a lower one
// may use the reserved slot for short requests only.
func TestReservedSlotsServeOnlyShortRequestsOfLowerTiers(t *testing.T) {
	d := New(Params{})
	mustAnnounce(t, d, 0, "u", 8)
	shortOffer := func(n int) Offer {
		o := testOffer(n, "w", 1)
		o.PromptTokens, o.MaxTokens = 10, 10
		return o
	}
	for i := range 9 {
		mustOffer(t, d, 0, testOffer(i, "w", 0))
	}
	mustOffer(t, d, 0, testOffer(20, "w", 1))
	mustOffer(t, d, 0, shortOffer(21))
	mustOffer(t, d, 0, shortOffer(22))
	granted := []uint64{}
	for _, g := range d.Decide(0).Grants {
		granted = append(granted, g.ID.Number)
	}
	require.Len(t, granted, 8)
	require.Contains(t, granted, uint64(21))
	require.NotContains(t, granted, uint64(20))
}

// TestLowestTierIsShedFirst checks that no request is shed while one of a lower
// tier is in service, and that the lowest queued tier is shed first.
func TestLowestTierIsShedFirst(t *testing.T) {
	d := New(Params{QueueLimit: 1})
	mustAnnounce(t, d, 0, "u", 1)
	mustOffer(t, d, 0, testOffer(1, "w", 2))
	running := d.Decide(0).Grants[0]
	for i, tier := range []int{0, 1, 1} {
		mustOffer(t, d, 0, testOffer(10+i, "w", tier))
	}
	require.Empty(t, d.Decide(0).Refusals, "tier 2 is in service")
	complete(t, d, 0, running, time.Millisecond)
	out := d.Decide(0)
	require.Equal(t, 0, out.Grants[0].Tier)
	require.Len(t, out.Refusals, 1)
	require.Equal(t, 1, out.Refusals[0].Tier)
}

// TestOwnRequestsAreNeverCountedAsForeign reports earlier counts of the dispatcher's own
// requests with every lag up to 2 s: a stale report must not be taken for the
// load of others.
func TestOwnRequestsAreNeverCountedAsForeign(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := foreignLoad{}
		history := []int{0}
		for step := range 60 {
			now := time.Duration(step) * time.Second / 2
			history = append(history, max(0, history[len(history)-1]+rapid.IntRange(-2, 2).Draw(t, "change")))
			l.recordOwn(now, history[len(history)-1])
			lag := rapid.IntRange(0, min(4, len(history)-1)).Draw(t, "lag")
			l.recordReport(Load{Running: history[len(history)-1-lag], Age: time.Duration(lag) * time.Second / 2}, 8)
			require.Zero(t, l.requests())
		}
	})
}

func TestStragglerIsDemotedAndRecovers(t *testing.T) {
	d := New(Params{})
	for i := range 4 {
		mustAnnounce(t, d, 0, fmt.Sprintf("u%d", i), 8)
	}
	now, next := time.Duration(0), 0
	runRounds := func(rounds int, slow time.Duration) (onSlow, lookups int) {
		for range rounds {
			now += time.Second
			for i := range 4 {
				next++
				o := testOffer(next, "w", 0)
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
				complete(t, d, now+time.Second/2, g, token)
			}
		}
		return onSlow, lookups
	}
	runRounds(20, 1)
	runRounds(60, 5)
	require.True(t, d.upstreams["u0"].straggler.demoted)
	onSlow, _ := runRounds(20, 5)
	require.LessOrEqual(t, onSlow, 20, "a demoted upstream gets at most one request per second")
	runRounds(120, 1)
	require.False(t, d.upstreams["u0"].straggler.demoted)
}

func TestUnreachableDeadlineIsRefusedBeforeGrant(t *testing.T) {
	d := New(Params{})
	mustAnnounce(t, d, 0, "u", 4)
	o := testOffer(1, "w", 0)
	o.PromptTokens, o.Deadline = 1_000_000, time.Second
	mustOffer(t, d, 0, o)
	require.Empty(t, d.Decide(0).Grants)
	out := d.Decide(time.Second)
	require.Empty(t, out.Grants)
	require.Equal(t, DeadlineUnreachable, out.Refusals[0].Code)
}

func TestSpillPrecedesShedding(t *testing.T) {
	codeOf := func(change func(*Offer)) Code {
		d := New(Params{QueueLimit: 1, Spill: true})
		mustAnnounce(t, d, 0, "u", 1)
		for i := range 3 {
			o := testOffer(i, "w", 1)
			change(&o)
			mustOffer(t, d, 0, o)
		}
		out := d.Decide(0)
		require.Len(t, out.Refusals, 1)
		return out.Refusals[0].Code
	}
	require.Equal(t, Spill, codeOf(func(*Offer) {}))
	require.Equal(t, Overloaded, codeOf(func(o *Offer) { o.Final = true }), "the other regions refused the request")
	require.Equal(t, Overloaded, codeOf(func(o *Offer) { o.SpilledFrom = "r" }), "a spilled request is not spilled again")
}

func TestCrashingRequestIsQuarantinedAndInnocentsAreNot(t *testing.T) {
	d := New(Params{})
	mustAnnounce(t, d, 0, "a", 4)
	number := 0
	send := func(print uint64) {
		number++
		o := testOffer(number, "w", 0)
		o.Fingerprint = print
		mustOffer(t, d, 0, o)
	}
	crash := func(name string, incarnation uint64, grants []Grant) []quarantine.Change {
		for _, g := range grants {
			_, err := d.Release(0, Release{ID: g.ID, Outcome: ConnectionLost})
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
	require.Len(t, alone, 1, "two suspects must not run on one upstream")
	require.Equal(t, []quarantine.Change{{Fingerprint: 66, Crashes: 2}}, crash("a", 3, alone))
	unaffected := d.upstreams["a"].inFlight
	require.Len(t, unaffected, 1)
	o := testOffer(99, "w", 0)
	o.Fingerprint = 66
	refusal, err := d.Offer(0, o)
	require.NoError(t, err)
	require.Equal(t, Quarantined, refusal.Code)
	require.Equal(t, quarantine.Duration, refusal.RetryAfter)
}

// TestOrphanedRequestsKeepSlotsForBoundedTime disconnects the entry of requests
// of different sizes. Each keeps its slot for twice its expected time, but at
// least 2 s and at most 30 s.
func TestOrphanedRequestsKeepSlotsForBoundedTime(t *testing.T) {
	for tokens, want := range map[int]time.Duration{10: minOrphanTimeout, 1000: 20 * time.Second, 100_000: maxOrphanTimeout} {
		d := New(Params{})
		mustAnnounce(t, d, 0, "u", 1)
		o := testOffer(1, "w", 0)
		o.PromptTokens, o.MaxTokens = 0, tokens
		mustOffer(t, d, 0, o)
		require.Len(t, d.Decide(0).Grants, 1)
		d.LoseEntry(0, "e")
		other := testOffer(2, "w", 0)
		other.ID.Entry = "f"
		mustOffer(t, d, 0, other)
		require.Empty(t, d.Decide(want-1).Grants, "%d tokens", tokens)
		require.Len(t, d.Decide(want).Grants, 1, "%d tokens", tokens)
	}
}

// TestNewDispatcherWaitsForAnnouncementsBeforeRefusing guards against a new
// dispatcher that refuses requests before live upstreams have announced
// themselves. Later requests are refused at once.
func TestNewDispatcherWaitsForAnnouncementsBeforeRefusing(t *testing.T) {
	d := New(Params{})
	offer := func(now time.Duration, n int) {
		o := testOffer(n, "w", 0)
		o.Deadline = 9 * time.Hour
		mustOffer(t, d, now, o)
	}
	offer(time.Hour, 1)
	require.Empty(t, d.Decide(time.Hour).Refusals)
	require.Empty(t, d.Decide(time.Hour+noUpstreamTimeout-1).Refusals)
	out := d.Decide(time.Hour + noUpstreamTimeout)
	require.Equal(t, NoUpstream, out.Refusals[0].Code)
	offer(2*time.Hour, 2)
	require.Len(t, d.Decide(2*time.Hour).Refusals, 1, "the pool is known to be without upstreams")
}

func TestServiceConcurrencyLimitsSlots(t *testing.T) {
	d := New(Params{PlainService: true, Concurrency: 2})
	mustAnnounce(t, d, 0, "u", 8)
	for i := range 5 {
		mustOffer(t, d, 0, testOffer(i, "w", 0))
	}
	require.Len(t, d.Decide(0).Grants, 2)
}

func TestExplainCoversAllStates(t *testing.T) {
	d := New(Params{})
	mustAnnounce(t, d, 0, "u", 1)
	for i := range 2 {
		mustOffer(t, d, 0, testOffer(i, "w", 0))
	}
	late := testOffer(7, "w", 0)
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

// TestThirdAttemptWaitsForTwoUnresolvedFailures guards against a third crash: a
// content fails on two upstreams before it is known whether they crashed. It
// stays queued until then; it is refused if they crashed and granted if they
// are alive.
func TestThirdAttemptWaitsForTwoUnresolvedFailures(t *testing.T) {
	for _, died := range []bool{true, false} {
		d := New(Params{})
		renew := func(now time.Duration, names ...string) {
			for _, n := range names {
				require.NoError(t, d.Announce(now, Upstream{Name: n, Slots: 1, Lease: 2 * time.Second, Incarnation: 1}))
			}
		}
		send := func(now time.Duration, number int) []Grant {
			o := testOffer(number, "w", 0)
			o.Fingerprint = 66
			mustOffer(t, d, now, o)
			return d.Decide(now).Grants
		}
		renew(0, "a", "b", "c")
		grants := append(send(0, 1), send(0, 2)...)
		require.Len(t, grants, 2)
		require.NotEqual(t, grants[0].Upstream, grants[1].Upstream)
		for _, g := range grants {
			_, err := d.Release(0, Release{ID: g.ID, Outcome: ConnectionLost})
			require.NoError(t, err)
		}
		require.Empty(t, send(0, 3), "two failures are unresolved")
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

// A prefix that crashes every upstream which begins to answer on it took down one after the
// other: no two of the requests were alike, so no content was ever quarantined. Requests that
// share only the beginning of the prefix must go on.
func TestPrefixThatCrashesUpstreamsIsRefused(t *testing.T) {
	const common, bad, requests = 7, 8, 30
	d := New(Params{})
	now, crashes, refused, sound := time.Duration(0), 0, 0, 0
	for _, name := range []string{"a", "b", "c", "d"} {
		mustAnnounce(t, d, now, name, 4)
	}
	for n := range requests {
		now += 500 * time.Millisecond
		for i, blocks := range [][]uint64{{common, bad, uint64(1000 + n)}, {common, uint64(2000 + n)}} {
			o := testOffer(2*n+i, "w", 0)
			o.Fingerprint, o.Blocks, o.PromptTokens = uint64(100+2*n+i), blocks, 64*len(blocks)
			refusal, err := d.Offer(now, o)
			require.NoError(t, err)
			if refusal != nil {
				require.Equal(t, Quarantined, refusal.Code)
				require.Zero(t, i, "a sound request is refused")
				refused++
				continue
			}
			for _, g := range d.Decide(now).Grants {
				if g.ID.Number%2 == 0 {
					crashes++
					_, err := d.Release(now, Release{ID: g.ID, Outcome: ConnectionLost})
					require.NoError(t, err)
					require.NoError(t, d.Announce(now, Upstream{Name: g.Upstream, Slots: 4, Lease: time.Hour, Incarnation: uint64(crashes + 1)}))
					continue
				}
				sound++
				complete(t, d, now, g, time.Millisecond)
			}
		}
	}
	require.LessOrEqual(t, crashes, 4)
	require.Greater(t, refused, requests/2)
	require.Greater(t, sound, requests*9/10)
}

// TestPartitionedEntryQuarantinesNoSoundPrefix guards against a sound prefix that is refused at
// all entries since the connections of one entry to sound upstreams were lost under it.
func TestPartitionedEntryQuarantinesNoSoundPrefix(t *testing.T) {
	const common, rounds = 7, 30
	d := New(Params{})
	for _, name := range []string{"a", "b", "c", "d"} {
		mustAnnounce(t, d, 0, name, 4)
	}
	refused := 0
	for n := range rounds {
		now := time.Duration(n) * 500 * time.Millisecond
		for i, entry := range []string{"partitioned", "sound"} {
			o := testOffer(2*n+i, "w", 0)
			o.ID.Entry = entry
			o.Fingerprint, o.Blocks, o.PromptTokens = uint64(100+2*n+i), []uint64{common, uint64(1000 + 2*n + i)}, 128
			refusal, err := d.Offer(now, o)
			require.NoError(t, err)
			if refusal != nil {
				refused += i
			}
		}
		for _, g := range d.Decide(now).Grants {
			if g.ID.Entry == "sound" {
				complete(t, d, now, g, time.Millisecond)
				continue
			}
			_, err := d.Release(now, Release{ID: g.ID, Outcome: ConnectionLost})
			require.NoError(t, err)
		}
	}
	require.Zero(t, refused, "requests of the sound entry")
}
