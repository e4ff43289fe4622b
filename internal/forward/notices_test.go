package forward

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/broker"
)

// began is the time at which these tests begin.
var began = time.Unix(1_796_337_205, 0)

// isExcluded reports whether the upstream's process may get no requests after a time.
func isExcluded(s *notices, after time.Duration, born int64) bool {
	_, ok := s.find(began.Add(after), process{"p", "u", born})
	return ok
}

// TestLeavingProcessIsExcludedForGood guards against requests to a process that leaves, or
// to one before it, and against leaving out the process after it.
func TestLeavingProcessIsExcludedForGood(t *testing.T) {
	s := newNotices()
	require.False(t, isExcluded(s, 0, 5))
	s.record(began, process{"p", "u", 5}, ResponseMeta{Leaving: true})
	require.True(t, isExcluded(s, 24*time.Hour, 5))
	require.True(t, isExcluded(s, 0, 4), "the grant is of a roster that is out of date")
	require.True(t, isExcluded(s, 0, 0), "the broker is of an earlier version")
	require.False(t, isExcluded(s, 0, 6))
	s.record(began, process{"p", "u", 6}, ResponseMeta{RetryAfter: time.Second})
	require.False(t, isExcluded(s, time.Second, 6), "the later process has not said that it leaves")
}

// TestLateAnswerOfEarlierProcessIsIgnored guards against leaving out a process for what the
// one before it said.
func TestLateAnswerOfEarlierProcessIsIgnored(t *testing.T) {
	s := newNotices()
	s.record(began, process{"p", "u", 6}, ResponseMeta{RetryAfter: time.Second})
	s.record(began, process{"p", "u", 5}, ResponseMeta{Leaving: true})
	require.False(t, isExcluded(s, time.Second, 6))
	s.record(began, process{"p", "u", 0}, ResponseMeta{Leaving: true})
	require.True(t, isExcluded(s, time.Second, 6), "the broker is of an earlier version and does not say which process it was")
}

// TestPauseLastsUntilItsLatestEnd guards against requests within the time that an upstream
// asked for, since a later answer names a shorter one, and after it.
func TestPauseLastsUntilItsLatestEnd(t *testing.T) {
	s := newNotices()
	s.record(began, process{"p", "u", 5}, ResponseMeta{RetryAfter: 3 * time.Second})
	s.record(began.Add(time.Second), process{"p", "u", 5}, ResponseMeta{RetryAfter: time.Second})
	require.True(t, isExcluded(s, 3*time.Second-1, 5))
	require.False(t, isExcluded(s, 3*time.Second, 5))
}

// TestPauseIsBounded guards against one answer that takes an upstream away for good.
func TestPauseIsBounded(t *testing.T) {
	s := newNotices()
	s.record(began, process{"p", "u", 5}, ResponseMeta{RetryAfter: 1000 * time.Hour})
	require.False(t, isExcluded(s, maxPause, 5))
}

// TestProcessWithoutStartTimeIsExcludedForATime guards against an upstream that is left out
// for good, where no later process can be told from the one that left.
func TestProcessWithoutStartTimeIsExcludedForATime(t *testing.T) {
	s := newNotices()
	s.record(began, process{"p", "u", 0}, ResponseMeta{Leaving: true})
	require.True(t, isExcluded(s, unstatedBornTTL, 0))
	require.False(t, isExcluded(s, unstatedBornTTL+1, 0))
}

// TestNoticeIsNewOnce guards against a log line for each answer of a leaving or paused
// upstream.
func TestNoticeIsNewOnce(t *testing.T) {
	s := newNotices()
	u := process{"p", "u", 5}
	for _, first := range []bool{true, false} {
		leaves, pauses := s.record(began, u, ResponseMeta{Leaving: true, RetryAfter: time.Second})
		require.Equal(t, first, leaves)
		require.Equal(t, first, pauses)
	}
	leaves, pauses := s.record(began.Add(time.Second), u, ResponseMeta{Leaving: true, RetryAfter: time.Second})
	require.False(t, leaves)
	require.True(t, pauses, "the first pause has ended")
	u.born = 6
	leaves, _ = s.record(began, u, ResponseMeta{Leaving: true})
	require.True(t, leaves, "another process")
}

// TestRegistryIsBounded guards against memory that grows with all upstreams that ever were.
func TestRegistryIsBounded(t *testing.T) {
	s := newNotices()
	s.record(began, process{"p", "u", 5}, ResponseMeta{Leaving: true})
	for i := range maxNotices - 1 {
		s.byUpstream[strconv.Itoa(i)] = notice{born: 5, leaving: true, heardAt: began.Add(time.Second)}
	}
	s.record(began.Add(time.Second), process{"p", "v", 5}, ResponseMeta{Leaving: true})
	require.Len(t, s.byUpstream, maxNotices)
	require.False(t, isExcluded(s, time.Second, 5), "the oldest notice makes room")
	s = newNotices()
	for i := range 100 {
		s.record(began.Add(time.Duration(i)*time.Second), process{"p", strconv.Itoa(i), 5}, ResponseMeta{RetryAfter: time.Second})
	}
	require.Len(t, s.byUpstream, 1, "the other pauses have ended")
}

// TestOffersAvoidFewLeavingUpstreams guards against offers that name all upstreams which
// ever left, and against a process that is avoided for what the one before it said.
func TestOffersAvoidFewLeavingUpstreams(t *testing.T) {
	s := newNotices()
	s.record(began, process{"q", "other", 5}, ResponseMeta{Leaving: true})
	s.record(began, process{"p", "paused", 5}, ResponseMeta{RetryAfter: time.Minute})
	require.Empty(t, s.leaving(began, "p"), "a pause may end while the request waits")
	for i := range 2 * maxAvoided {
		for range 2 {
			s.record(began, process{"p", strconv.Itoa(i), 5}, ResponseMeta{Leaving: true})
		}
	}
	avoided := s.leaving(began.Add(avoidTime-1), "p")
	require.Len(t, avoided, maxAvoided)
	require.Equal(t, strconv.Itoa(2*maxAvoided-1), avoided[0], "the latest ones, which the broker may not know yet")
	require.Empty(t, s.leaving(began.Add(avoidTime), "p"))
	require.Empty(t, s.departures)
}

// TestEndCarriesRestOfPause guards against a broker that takes the end of a pause for later
// than the upstream meant.
func TestEndCarriesRestOfPause(t *testing.T) {
	s := newNotices()
	u := process{"p", "u", 5}
	s.record(began, u, ResponseMeta{RetryAfter: 3 * time.Second})
	now := began.Add(time.Second)
	n, ok := s.find(now, u)
	require.True(t, ok)
	e := broker.End{Outcome: broker.NotSent}
	n.addTo(now, &e)
	require.Equal(t, broker.End{Outcome: broker.NotSent, RetryAfter: 2 * time.Second, Born: 5}, e)
}
