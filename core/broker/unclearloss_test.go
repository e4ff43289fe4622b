package broker

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// poisonOffer returns an offer of the same content with another number.
func poisonOffer(now time.Duration, number uint64) Offer {
	return Offer{ID: ID{Entry: "e", Number: number}, Pool: "p", Fingerprint: 9, LatencyTarget: now + time.Second, Deadline: now + 2*time.Second}
}

// loseUnclear grants a request and reports that its connection was lost, by whose fault nobody could
// tell. It returns false if the request was refused as quarantined.
func loseUnclear(t *testing.T, b *Broker, now time.Duration, number uint64) bool {
	t.Helper()
	o := poisonOffer(now, number)
	b.Offer(now, o)
	d := b.Decide(now)
	for _, r := range d.Refusals {
		require.Equal(t, Quarantined, r.Code)
		return false
	}
	require.Len(t, d.Grants, 1)
	b.End(now+time.Millisecond, End{ID: o.ID, Outcome: UnclearLoss})
	return true
}

// process returns the only upstream, as the process of a start.
func process(id string, start int, heardAgo time.Duration) []Upstream {
	return []Upstream{{ID: id, Pool: "p", Address: "a", Slots: 4, Born: int64(start), HeardAgo: heardAgo}}
}

// TestContentIsQuarantinedOnceUnclearCrashesAreSettled guards against a content that crashes
// upstreams for ever, since at each crash no entry could tell the upstream's fault from the path's.
func TestContentIsQuarantinedOnceUnclearCrashesAreSettled(t *testing.T) {
	for name, id := range map[string]func(start int) string{
		"another id": func(start int) string { return fmt.Sprint("u-", start) },
		"same id":    func(int) string { return "u" },
	} {
		t.Run(name, func(t *testing.T) {
			b := New(1)
			now, runs := time.Duration(0), 0
			for start := 1; start <= 2*crashesToQuarantine; start++ {
				list := process(id(start), start, time.Millisecond)
				b.SetUpstreams(list)
				b.SettleLosses(now, list)
				if loseUnclear(t, b, now, uint64(start)) {
					runs++
				}
				now += 4 * time.Second
			}
			require.Equal(t, crashesToQuarantine, runs)
			require.Empty(t, b.unclearLosses)
		})
	}
}

// TestUnclearLossOfRunningProcessBlamesNothing guards against sound contents in quarantine, and
// against blame of their upstreams, after entries were cut off from an upstream that went on.
func TestUnclearLossOfRunningProcessBlamesNothing(t *testing.T) {
	b := New(1)
	now := time.Duration(0)
	for number := range uint64(4 * crashesToQuarantine) {
		list := process("u", 1, time.Millisecond)
		b.SetUpstreams(list)
		b.SettleLosses(now, list)
		require.True(t, loseUnclear(t, b, now, number))
		now += maxHeartbeatDelay + time.Second
	}
	b.SettleLosses(now, process("u", 1, time.Millisecond))
	list := process("u", 2, time.Millisecond)
	b.SetUpstreams(list)
	b.SettleLosses(now, list)
	require.True(t, loseUnclear(t, b, now, 1000), "a restart long after is no crash")
	require.Empty(t, quarantined(b, now))
	require.Zero(t, b.Estimates()["u"].FailureRate)
}

// TestAnswerClearsContentOfUnclearLosses guards against a content that comes into quarantine for
// crashes before it was answered.
func TestAnswerClearsContentOfUnclearLosses(t *testing.T) {
	b := New(1)
	for n := range crashesToQuarantine {
		list := process("u", n+1, time.Millisecond)
		b.SetUpstreams(list)
		require.True(t, loseUnclear(t, b, time.Duration(n)*time.Second, uint64(n)))
	}
	now := crashesToQuarantine * time.Second
	o := poisonOffer(now, 100)
	b.Offer(now, o)
	require.Len(t, b.Decide(now).Grants, 1)
	b.End(now, End{ID: o.ID, Outcome: Completed, TimeToFirstEvent: time.Millisecond})
	b.SettleLosses(now, process("u", 100, time.Millisecond))
	require.Empty(t, quarantined(b, now))
}

// TestHeartbeatOnItsWayAtTheCrashClearsNothing guards against a crash that is dropped because a
// heartbeat that the process sent before it arrives after it.
func TestHeartbeatOnItsWayAtTheCrashClearsNothing(t *testing.T) {
	b := New(1)
	b.SetUpstreams(process("u", 1, time.Millisecond))
	require.True(t, loseUnclear(t, b, 0, 1))
	b.SettleLosses(maxHeartbeatDelay, process("u", 1, time.Millisecond))
	b.SettleLosses(maxHeartbeatDelay, process("u", 2, time.Millisecond))
	suspicions := b.Decide(maxHeartbeatDelay).Suspicions
	require.Len(t, suspicions, 1)
	require.Equal(t, maxHeartbeatDelay-time.Millisecond, suspicions[0].SettledAfter)
}
