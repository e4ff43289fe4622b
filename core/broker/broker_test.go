package broker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/routes"
	"github.com/verbenastep/verbenastep/core/suspects"
)

// newServiceBroker returns a broker with one upstream "u" of a plain service.
func newServiceBroker(slots int) *Broker {
	b := New(1)
	b.SetUpstreams([]Upstream{{ID: "u", Pool: "p", Address: "a", Slots: slots}})
	return b
}

// newOffer returns an offer of entry "e" that is never late.
func newOffer(n uint64) Offer {
	return Offer{ID: ID{Entry: "e", Number: n}, Pool: "p", LatencyTarget: time.Minute, LatestUseful: time.Minute, Deadline: time.Hour}
}

// grantNumbers returns the request numbers of the grants, in order.
func grantNumbers(d Decisions) []uint64 {
	out := []uint64{}
	for _, g := range d.Grants {
		out = append(out, g.ID.Number)
	}
	return out
}

func TestUpstreamNeverExceedsItsSlots(t *testing.T) {
	b := newServiceBroker(2)
	for n := range uint64(5) {
		b.Offer(0, newOffer(n))
	}
	require.Equal(t, []uint64{0, 1}, grantNumbers(b.Decide(0)))
	require.Empty(t, grantNumbers(b.Decide(time.Second)))
	b.End(time.Second, End{ID: ID{Entry: "e", Number: 1}, Outcome: Completed, TimeToFirstEvent: time.Second})
	b.End(time.Second, End{ID: ID{Entry: "e", Number: 1}, Outcome: Completed, TimeToFirstEvent: time.Second})
	require.Equal(t, []uint64{2}, grantNumbers(b.Decide(time.Second)), "a repeated end frees no second slot")
}

func TestQueueOrdersByRankBeforeArrival(t *testing.T) {
	b := newServiceBroker(1)
	for n, rank := range []int{2, 1, 0, 1} {
		o := newOffer(uint64(n))
		o.Rank = rank
		b.Offer(time.Duration(n), o)
	}
	order := []uint64{}
	for now := time.Second; len(order) < 4; now += time.Second {
		g := grantNumbers(b.Decide(now))
		require.Len(t, g, 1)
		order = append(order, g[0])
		b.End(now, End{ID: ID{Entry: "e", Number: g[0]}, Outcome: Completed, TimeToFirstEvent: time.Millisecond})
	}
	require.Equal(t, []uint64{2, 1, 3, 0}, order)
}

func TestLeavingAndAvoidedUpstreamsGetNoRequests(t *testing.T) {
	b := newServiceBroker(4)
	o := newOffer(1)
	o.Avoid = []string{"u"}
	b.Offer(0, o)
	require.Empty(t, b.Decide(0).Grants)
	b.SetUpstreams([]Upstream{{ID: "u", Pool: "p", Slots: 4, Leaving: true}})
	b.Offer(0, newOffer(2))
	require.Empty(t, b.Decide(0).Grants)
	refused := b.Decide(noUpstreamTimeout).Refusals
	require.Len(t, refused, 2)
	require.Equal(t, NoUpstream, refused[0].Code)
	require.Positive(t, refused[0].RetryAfter)
}

func TestUnreachableUpstreamBacksOffExponentially(t *testing.T) {
	b := newServiceBroker(4)
	now := time.Duration(0)
	for n, delay := range []time.Duration{minBackOffDelay, 2 * minBackOffDelay, 4 * minBackOffDelay, maxBackOffDelay, maxBackOffDelay} {
		b.Offer(now, newOffer(uint64(n)))
		require.Len(t, b.Decide(now).Grants, 1)
		b.End(now, End{ID: ID{Entry: "e", Number: uint64(n)}, Outcome: Unreachable})
		b.Offer(now, newOffer(uint64(100+n)))
		require.Empty(t, b.Decide(now+delay-time.Millisecond).Grants)
		b.Cancel(ID{Entry: "e", Number: uint64(100 + n)})
		now += delay
	}
}

func TestContentThatCrashesUpstreamsIsQuarantined(t *testing.T) {
	b := newServiceBroker(4)
	for n := range uint64(crashesToQuarantine) {
		o := newOffer(n)
		o.Fingerprint = 7
		b.Offer(0, o)
		require.Len(t, b.Decide(time.Duration(n)*maxBackOffDelay).Grants, 1)
		b.End(time.Duration(n)*maxBackOffDelay, End{ID: o.ID, Outcome: ConnectionLost})
	}
	o := newOffer(50)
	o.Fingerprint = 7
	now := crashesToQuarantine * maxBackOffDelay
	b.Offer(now, o)
	refused := b.Decide(now).Refusals
	require.Len(t, refused, 1)
	require.Equal(t, Quarantined, refused[0].Code)
	o.ID.Number = 51
	now += suspects.QuarantineDuration(crashesToQuarantine)
	b.Offer(now, o)
	require.Len(t, b.Decide(now).Grants, 1, "the quarantine expires")
}

func TestCompletedRequestClearsSuspect(t *testing.T) {
	b := newServiceBroker(4)
	for n := range uint64(9) {
		o := newOffer(n)
		o.Fingerprint = 7
		now := time.Duration(n) * maxBackOffDelay
		b.Offer(now, o)
		require.Len(t, b.Decide(now).Grants, 1)
		outcome := ConnectionLost
		if n%2 == 1 {
			outcome = Completed
		}
		b.End(now, End{ID: o.ID, Outcome: outcome, TimeToFirstEvent: time.Millisecond})
	}
}

// TestResyncKeepsRunningRequestsAndDropsOthers covers a lost session: the entry
// offers its running requests again, and a grant may not have reached it.
func TestResyncKeepsRunningRequestsAndDropsOthers(t *testing.T) {
	b := newServiceBroker(2)
	b.Offer(0, newOffer(1))
	b.Offer(0, newOffer(2))
	require.Equal(t, []uint64{1, 2}, grantNumbers(b.Decide(0)))
	b.LoseEntry(0, "e")
	running := newOffer(1)
	running.Running = "u"
	b.Resync(0, "e", []Offer{running, newOffer(2), newOffer(3)})
	require.Equal(t, []uint64{2}, grantNumbers(b.Decide(0)), "the lost grant is repeated on the slot that it released")
	b.End(0, End{ID: ID{Entry: "e", Number: 1}, Outcome: Completed, TimeToFirstEvent: time.Millisecond})
	require.Equal(t, []uint64{3}, grantNumbers(b.Decide(0)))
}

func TestSlotsOfLostEntryAreReleasedAfterTimeout(t *testing.T) {
	b := newServiceBroker(1)
	b.Offer(0, newOffer(1))
	b.Decide(0)
	b.LoseEntry(0, "e")
	other := newOffer(9)
	other.ID.Entry = "f"
	b.Offer(0, other)
	require.Empty(t, b.Decide(orphanTimeout/2).Grants, "the orphaned request may still run")
	require.Equal(t, []uint64{9}, grantNumbers(b.Decide(2*orphanTimeout)))
}

func TestNewBrokerAdoptsRunningRequests(t *testing.T) {
	b := newServiceBroker(1)
	running := newOffer(1)
	running.Running = "u"
	b.Offer(0, running)
	b.Offer(0, newOffer(2))
	require.Empty(t, b.Decide(0).Grants)
}

func TestQuotaIsRefundedIfRequestDidNotRun(t *testing.T) {
	b := newServiceBroker(10)
	b.SetTable(routes.NewIndex(&routes.Table{Workspaces: []routes.Workspace{{Name: "w", TokensPerSecond: 100, TokenBurst: 1000}}}))
	now := 20 * time.Second
	charged := func(n uint64) Offer {
		o := newOffer(n)
		o.Workspace, o.QuotaCharge = "w", 600
		return o
	}
	b.Offer(now, charged(1))
	require.Len(t, b.Decide(now).Grants, 1)
	b.Offer(now, charged(2))
	refused := b.Decide(now).Refusals
	require.Len(t, refused, 1, "two requests exceed the burst")
	require.Equal(t, LimitExceeded, refused[0].Code)
	b.End(now, End{ID: ID{Entry: "e", Number: 1}, Outcome: Rejected})
	b.Offer(now, charged(3))
	require.Empty(t, b.Decide(now).Refusals)
}

// TestLongOutageKeepsQuota lets a saturated workspace use the local brokers of all entries
// evenly during an outage, and then a new broker. Over any window of eight seconds it may
// use a tenth more than its rate and burst.
func TestLongOutageKeepsQuota(t *testing.T) {
	const rate, burst, entries, request = 10_000, 10_000, 50, 40
	const step, windowSteps = 100 * time.Millisecond, 80
	table := routes.NewIndex(&routes.Table{Workspaces: []routes.Workspace{{Name: "w", TokensPerSecond: rate, TokenBurst: burst}}})
	number := uint64(0)
	// use offers as many requests as a broker accepts and returns the granted tokens.
	use := func(b *Broker, now time.Duration) int64 {
		granted := int64(0)
		for {
			number++
			o := newOffer(number)
			o.Workspace, o.QuotaCharge = "w", request
			b.Offer(now, o)
			d := b.Decide(now)
			if len(d.Grants) == 0 {
				return granted
			}
			granted += request
		}
	}
	broker := func(share float64) *Broker {
		b := New(share)
		b.SetUpstreams([]Upstream{{ID: "u", Pool: "p", Address: "a", Slots: 1 << 20}})
		b.SetTable(table)
		return b
	}
	usedBySteps := []int64{}
	now := time.Minute
	run := func(steps int, brokers ...*Broker) []int64 {
		byBroker := make([]int64, len(brokers))
		for range steps {
			sum := int64(0)
			for i, b := range brokers {
				n := use(b, now)
				byBroker[i] += n
				sum += n
			}
			usedBySteps = append(usedBySteps, sum)
			now += step
		}
		return byBroker
	}
	first := broker(1)
	run(20, first)
	levels := first.QuotaLevels(now)
	locals := []*Broker{}
	for range entries {
		b := broker(1.0 / entries)
		b.ResetQuotas(now)
		b.LowerQuotas(now, levels)
		locals = append(locals, b)
	}
	byEntry := run(50, locals...)
	next := broker(1)
	for _, tokens := range byEntry {
		next.LowerQuotas(now, levels)
		next.SpendQuotas(now, map[string]int64{"w": tokens})
	}
	run(100, next)
	most := int64(0)
	for i := range usedBySteps {
		sum := int64(0)
		for _, n := range usedBySteps[i:min(len(usedBySteps), i+windowSteps)] {
			sum += n
		}
		most = max(most, sum)
	}
	require.LessOrEqual(t, float64(most), 1.1*(burst+rate*(windowSteps*step).Seconds()))
}

// TestUseDuringOutageIsCoveredByItsRefill lets entries use four fifths of a quota during an
// outage of seven seconds. The next broker, which is told of all these tokens, must go on
// accepting as much. An entry that started during the outage knows no level.
func TestUseDuringOutageIsCoveredByItsRefill(t *testing.T) {
	const rate, burst, entries, outage = 10_000, 10_000, 50, 7 * time.Second
	table := routes.NewIndex(&routes.Table{Workspaces: []routes.Workspace{{Name: "w", TokensPerSecond: rate, TokenBurst: burst}}})
	next := newServiceBroker(1 << 20)
	next.SetTable(table)
	now := time.Minute
	used := map[string]int64{"w": int64(0.8 * rate * outage.Seconds() / entries)}
	for entry := range entries {
		local := New(1.0 / entries)
		local.SetTable(table)
		if entry%10 != 0 {
			next.LowerQuotas(now, local.RefillLevels(map[string]float64{"w": 0.5}, outage))
		}
		next.SpendQuotas(now, used)
	}
	for n := range uint64(20) {
		o := newOffer(n)
		o.Workspace, o.QuotaCharge = "w", 0.8*rate/10
		next.Offer(now, o)
		require.Empty(t, next.Decide(now).Refusals)
		now += 100 * time.Millisecond
	}
}

// TestUseDuringOutageBeyondItsRefillIsCharged is the same for a workspace that used more than
// its quota was refilled by.
func TestUseDuringOutageBeyondItsRefillIsCharged(t *testing.T) {
	const rate, burst, outage = 10_000, 10_000, 2 * time.Second
	table := routes.NewIndex(&routes.Table{Workspaces: []routes.Workspace{{Name: "w", TokensPerSecond: rate, TokenBurst: burst}}})
	next := newServiceBroker(1 << 20)
	next.SetTable(table)
	now := time.Minute
	next.SpendQuotas(now, map[string]int64{"w": 15_000})
	next.LowerQuotas(now, next.RefillLevels(map[string]float64{"w": 0.2}, outage))
	next.SpendQuotas(now, map[string]int64{"w": 10_000})
	require.InDelta(t, -0.3, next.QuotaLevels(now)["w"], 0.001, "0.2 of the quota, two refills, 2.5 used")
}

// TestBrokerChangeGrantsNoSecondBurst guards against a quota that starts full at
// each broker: it uses up a quota at one broker, then at nine local brokers and at
// the next broker, all of which received the first broker's quota levels.
func TestBrokerChangeGrantsNoSecondBurst(t *testing.T) {
	const rate, burst, entries = 1000, 5000, 9
	table := routes.NewIndex(&routes.Table{Workspaces: []routes.Workspace{{Name: "w", TokensPerSecond: rate, TokenBurst: burst}}})
	number := uint64(0)
	// drain offers requests until one is refused and returns the granted tokens.
	drain := func(b *Broker, now time.Duration) int {
		granted := 0
		for {
			number++
			o := newOffer(number)
			o.Workspace, o.QuotaCharge = "w", 50
			b.Offer(now, o)
			d := b.Decide(now)
			if len(d.Grants) == 0 {
				return granted
			}
			granted += 50
		}
	}
	broker := func(share float64) *Broker {
		b := New(share)
		b.SetUpstreams([]Upstream{{ID: "u", Pool: "p", Address: "a", Slots: 1 << 20}})
		b.SetTable(table)
		return b
	}
	old := broker(1)
	now := time.Minute
	total := drain(old, now)
	require.Equal(t, burst, total)
	levels := old.QuotaLevels(now)
	require.Less(t, levels["w"], 0.01)
	for range entries {
		alone := broker(1.0 / entries)
		alone.LowerQuotas(now, levels)
		total += drain(alone, now+time.Second)
	}
	next := broker(1)
	next.LowerQuotas(now+time.Second, levels)
	total += drain(next, now+2*time.Second)
	require.LessOrEqual(t, total, burst+4*rate, "one burst, and the rate for the elapsed time")
	fresh := broker(1)
	require.Equal(t, burst, drain(fresh, now), "an unused quota has the whole burst")
}

// TestRestartsOfAllDaemonsRenewNoQuota guards against a quota that is full again at each broker
// of which nobody remembers the one before: all daemons are killed and start again several times.
func TestRestartsOfAllDaemonsRenewNoQuota(t *testing.T) {
	const rate, burst, restarts = 1000, 5000, 5
	table := routes.NewIndex(&routes.Table{Workspaces: []routes.Workspace{{Name: "w", TokensPerSecond: rate, TokenBurst: burst}}})
	number, total := uint64(0), 0
	drain := func(b *Broker, now time.Duration) {
		for {
			number++
			o := newOffer(number)
			o.Workspace, o.QuotaCharge = "w", 50
			b.Offer(now, o)
			if d := b.Decide(now); len(d.Grants) == 0 {
				return
			}
			total += 50
		}
	}
	start := func(now time.Duration) *Broker {
		b := New(1)
		b.SetUpstreams([]Upstream{{ID: "u", Pool: "p", Address: "a", Slots: 1 << 20}})
		b.SetTable(table)
		b.ResetQuotas(now)
		return b
	}
	now := time.Minute
	b := start(0)
	drain(b, now)
	require.Equal(t, burst, total, "a broker that has granted for long has the whole burst")
	for range restarts {
		b = start(now)
		drain(b, now)
		now += time.Second
		drain(b, now)
	}
	require.LessOrEqual(t, total, burst+restarts*rate)

	// The slack covers one restart.
	const slack = 2000
	total = 0
	for range 2 {
		b = New(1)
		b.SetQuotaSlack(slack)
		b.SetUpstreams([]Upstream{{ID: "u", Pool: "p", Address: "a", Slots: 1 << 20}})
		b.SetTable(table)
		if total > 0 {
			b.ResetQuotas(now)
		}
		drain(b, now)
	}
	require.Equal(t, burst+slack, total)

	// Entries that remember the last broker tell the next one, also after it has granted.
	next := start(now)
	now += time.Second
	total = 0
	drain(next, now)
	require.Equal(t, rate, total)
	levels := map[string]float64{"w": 1}
	require.Less(t, next.QuotaLevels(now)["w"], 0.01)
	next.LowerQuotas(now, levels)
	drain(next, now)
	require.Equal(t, burst, total, "what was granted before counts against the level")
	next.LowerQuotas(now, levels)
	drain(next, now)
	require.Equal(t, burst, total)
}

// TestLateQuotaLevelIsNoDebt guards against a workspace that is refused for long: a broker has
// granted for a while without knowing what was left of the quota, when an entry that was cut off
// names the level that the broker before had left.
func TestLateQuotaLevelIsNoDebt(t *testing.T) {
	const rate, burst = 1000, 5000
	b := newServiceBroker(1 << 20)
	b.SetTable(routes.NewIndex(&routes.Table{Workspaces: []routes.Workspace{{Name: "w", TokensPerSecond: rate, TokenBurst: burst}}}))
	b.ResetQuotas(0)
	now := time.Duration(0)
	for n := range uint64(600) {
		now += 100 * time.Millisecond
		o := newOffer(n)
		o.Workspace, o.QuotaCharge = "w", rate/20
		b.Offer(now, o)
		require.Empty(t, b.Decide(now).Refusals)
	}
	b.LowerQuotas(now, map[string]float64{"w": 12})
	require.Empty(t, b.QuotaLevels(now), "half of the rate was used, and the quota is full")
}
