package broker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// born is the start time of the upstream's process in these tests.
const born = 5

// newNoticeBroker returns a broker with upstreams of the given ids, with room for all
// requests, in a plain service.
func newNoticeBroker(ids ...string) *Broker {
	b := New(1)
	list := []Upstream{}
	for _, id := range ids {
		list = append(list, Upstream{ID: id, Pool: "p", Address: id, Slots: 100, Born: born})
	}
	b.SetUpstreams(list)
	return b
}

// grantTo offers a request of an entry and returns the upstream that is granted, or an
// empty string.
func grantTo(b *Broker, now time.Duration, entry string, number uint64) string {
	o := newOffer(number)
	o.ID.Entry = entry
	b.Offer(now, o)
	for _, g := range b.Decide(now).Grants {
		if g.ID == o.ID {
			return g.Upstream
		}
	}
	return ""
}

// endWith ends a request of entry "e" with what its upstream said.
func endWith(b *Broker, now time.Duration, number uint64, e End) {
	e.ID = ID{Entry: "e", Number: number}
	b.End(now, e)
}

// TestUpstreamThatSaidItLeavesIsGrantedToNobody guards against requests to an upstream that
// said in an answer that it leaves, while the roster does not show it yet.
func TestUpstreamThatSaidItLeavesIsGrantedToNobody(t *testing.T) {
	b := newNoticeBroker("u")
	require.Equal(t, "u", grantTo(b, 0, "e", 1))
	endWith(b, 0, 1, End{Outcome: Completed, TimeToFirstEvent: time.Millisecond, Leaving: true, Born: born})
	require.Empty(t, grantTo(b, 0, "e", 2))
	require.Empty(t, grantTo(b, 0, "f", 1))
	b.SetUpstreams([]Upstream{{ID: "u", Pool: "p", Address: "u", Slots: 100, Born: born}})
	refused := b.Decide(noUpstreamTimeout).Refusals
	require.Len(t, refused, 2, "as for upstreams that the roster shows as leaving")
	require.Equal(t, NoUpstream, refused[0].Code)
	require.True(t, b.Dump()[0].Upstreams[0].Leaving)
}

// TestReturnedGrantTellsThatUpstreamLeaves guards against a broker that grants a leaving
// upstream again and again: the stream whose header said so goes on, and the entry can tell
// it only with a grant that it returns.
func TestReturnedGrantTellsThatUpstreamLeaves(t *testing.T) {
	b := newNoticeBroker("u")
	require.Equal(t, "u", grantTo(b, 0, "e", 1))
	endWith(b, 0, 1, End{Outcome: NotSent, Leaving: true, Born: born})
	require.Empty(t, grantTo(b, 0, "f", 1))
}

// TestLaterProcessIsNotLeaving guards against an upstream that gets no requests after it has
// restarted under its id, also where the notice arrives after the restart, and in an entry's
// next broker.
func TestLaterProcessIsNotLeaving(t *testing.T) {
	restarted := []Upstream{{ID: "u", Pool: "p", Address: "u", Slots: 100, Born: born + 1}}
	notice := End{Outcome: ConnectionLost, Leaving: true, Born: born}
	for name, events := range map[string]func(*Broker){
		"notice first":  func(b *Broker) { endWith(b, 0, 1, notice); b.SetUpstreams(restarted) },
		"restart first": func(b *Broker) { b.SetUpstreams(restarted); endWith(b, 0, 1, notice) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newNoticeBroker("u")
			require.Equal(t, "u", grantTo(b, 0, "e", 1))
			events(b)
			require.Equal(t, "u", grantTo(b, time.Second, "e", 2))
		})
	}
	next := New(1)
	next.SetUpstreams(restarted)
	running := newOffer(1)
	running.Running = "u"
	next.Offer(0, running)
	endWith(next, 0, 1, notice)
	require.Equal(t, "u", grantTo(next, time.Second, "e", 2))
}

// TestProcessWithoutStartTimeIsNotMarked guards against an upstream that gets no requests
// for good: where the roster does not state start times, no later process can be told.
func TestProcessWithoutStartTimeIsNotMarked(t *testing.T) {
	b := newServiceBroker(4)
	require.Equal(t, "u", grantTo(b, 0, "e", 1))
	endWith(b, 0, 1, End{Outcome: Completed, TimeToFirstEvent: time.Millisecond, Leaving: true})
	require.Equal(t, "u", grantTo(b, 0, "e", 2))
}

// TestPausedUpstreamIsNotGrantedToEntry guards against requests to an upstream that told the
// entry to keep away for a time. Other entries may use it, and the entry afterwards.
func TestPausedUpstreamIsNotGrantedToEntry(t *testing.T) {
	const pause = 2 * time.Second
	b := newNoticeBroker("u")
	require.Equal(t, "u", grantTo(b, 0, "e", 1))
	endWith(b, 0, 1, End{Outcome: UpstreamError, RetryAfter: pause, Born: born})
	require.Empty(t, grantTo(b, 0, "e", 2))
	require.Equal(t, "u", grantTo(b, 0, "f", 1))
	require.Empty(t, b.Decide(pause-time.Millisecond).Grants)
	require.Equal(t, []uint64{2}, grantNumbers(b.Decide(pause)))
}

// TestShorterPauseDoesNotEndLongerOne guards against requests within the time that an
// upstream asked for, since a later answer names a shorter one.
func TestShorterPauseDoesNotEndLongerOne(t *testing.T) {
	b := newNoticeBroker("u")
	for n := range uint64(2) {
		require.Equal(t, "u", grantTo(b, 0, "e", n))
	}
	endWith(b, 0, 0, End{Outcome: UpstreamError, RetryAfter: 3 * time.Second, Born: born})
	endWith(b, 0, 1, End{Outcome: UpstreamError, RetryAfter: time.Second, Born: born})
	require.Empty(t, grantTo(b, 2*time.Second, "e", 2))
}

// TestPauseEndsWithProcess guards against an upstream that gets no requests of an entry
// since its process before a restart wanted none.
func TestPauseEndsWithProcess(t *testing.T) {
	b := newNoticeBroker("u")
	require.Equal(t, "u", grantTo(b, 0, "e", 1))
	endWith(b, 0, 1, End{Outcome: UpstreamError, RetryAfter: time.Minute, Born: born})
	b.SetUpstreams([]Upstream{{ID: "u", Pool: "p", Address: "u", Slots: 100, Born: born + 1}})
	require.Equal(t, "u", grantTo(b, time.Second, "e", 2))
}

// TestPausedEntryUsesOtherUpstreams guards against requests that wait for a paused upstream
// while another one is free.
func TestPausedEntryUsesOtherUpstreams(t *testing.T) {
	b := newNoticeBroker("u", "v")
	first := grantTo(b, 0, "e", 1)
	endWith(b, 0, 1, End{Outcome: NotSent, RetryAfter: time.Second, Born: born})
	for n := range uint64(20) {
		require.NotEqual(t, first, grantTo(b, time.Millisecond, "e", 2+n))
	}
}

// TestPausedEntryDoesNotHoldUpOthers guards against a queue whose first requests are all of
// an entry that may use no upstream: the round skipped only some of them and ended.
func TestPausedEntryDoesNotHoldUpOthers(t *testing.T) {
	b := newNoticeBroker("u")
	require.Equal(t, "u", grantTo(b, 0, "e", 1))
	endWith(b, 0, 1, End{Outcome: UpstreamError, RetryAfter: time.Minute, Born: born})
	for n := range uint64(2 * maxSkippedRequests) {
		require.Empty(t, grantTo(b, 0, "e", 2+n))
	}
	require.Equal(t, "u", grantTo(b, 0, "f", 1))
}

// TestExpiredPausesAreForgotten guards against memory that grows with all entries that ever
// were.
func TestExpiredPausesAreForgotten(t *testing.T) {
	n := notices{}
	for i := range 100 {
		n.record(time.Duration(i)*time.Second, string(rune('a'+i)), End{RetryAfter: time.Second, Born: born})
	}
	require.Len(t, n.pausedUntil, 1)
}
