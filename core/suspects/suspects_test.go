package suspects

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// crash runs requests with these contents one after the other, each of which crashes its
// upstream, and returns the time after the last.
func crash(t *Tracker[int], now time.Duration, times int, contents ...uint64) time.Duration {
	for range times {
		now += time.Second
		t.HoldAgainst(now, Run{Granted: now - 1, Lost: now}, contents)
	}
	return now
}

func refused(t *Tracker[int], now time.Duration, contents ...uint64) bool {
	return t.RefusedFor(now, contents, true) > 0
}

func TestContentIsRefusedAfterCrashesInTurn(t *testing.T) {
	x := New[int]()
	now := crash(x, 0, quarantineThreshold-1, 1)
	require.False(t, refused(x, now, 1))
	now = crash(x, now, 1, 1)
	require.True(t, refused(x, now, 1, 5))
	require.False(t, refused(x, now, 5))
	require.False(t, refused(x, now+minQuarantine, 1), "one request is tried again")
	require.Positive(t, x.RefusedFor(now+minQuarantine, []uint64{1}, false))
	now = crash(x, now+minQuarantine, 1, 1)
	require.True(t, refused(x, now+minQuarantine, 1), "the next quarantine is longer")
	require.False(t, refused(x, now+quarantineGrowth*minQuarantine, 1))
}

// Two contents that are always together at crashes can't be told apart: only requests with
// both may be refused, until an answer to one of them shows which is at fault.
func TestContentsThatCrashTogetherAreRefusedTogether(t *testing.T) {
	x := New[int]()
	now := crash(x, 0, quarantineThreshold, 1, 2)
	require.True(t, refused(x, now, 1, 2))
	require.False(t, refused(x, now, 1, 3))
	require.False(t, refused(x, now, 2, 3))
	x.Clear(now, []uint64{1, 3})
	require.False(t, refused(x, now, 1, 3))
	require.True(t, refused(x, now, 2, 3))
}

func TestAnswerClearsContents(t *testing.T) {
	x := New[int]()
	now := crash(x, 0, quarantineThreshold-1, 1)
	x.Clear(now, []uint64{1})
	now = crash(x, now, quarantineThreshold-1, 1)
	require.False(t, refused(x, now, 1))
}

// Requests that are lost with several upstreams at the same moment are no evidence that one
// of their contents is at fault, even if one is granted the next upstream in between.
func TestUpstreamsLostTogetherRefuseNothing(t *testing.T) {
	x := New[int]()
	const lost = time.Second
	for range 2 * quarantineThreshold {
		x.HoldAgainst(lost, Run{Granted: 0, Lost: lost}, []uint64{1})
	}
	stage, mayRun := x.Stage(lost, 7, []uint64{1})
	require.True(t, mayRun, "after the first crash the request goes on at once")
	require.Equal(t, FirstTrial, stage)
	x.HoldAgainst(lost, Run{Granted: lost, Lost: lost}, []uint64{1})
	_, mayRun = x.Stage(lost+crashSpread-1, 8, []uint64{1})
	require.False(t, mayRun, "the next trial waits for reports of the same loss")
	_, mayRun = x.Stage(lost+crashSpread, 8, []uint64{1})
	require.True(t, mayRun)
	require.False(t, refused(x, lost, 1))
}

func TestTrialsOfAContentTakeTurns(t *testing.T) {
	x := New[int]()
	now := crash(x, 0, 1, 1) + crashSpread
	end := x.StartTrial(now, 7, []uint64{1}, time.Second/10)
	_, mayRun := x.Stage(now, 8, []uint64{1, 2})
	require.False(t, mayRun)
	_, mayRun = x.Stage(now, 8, []uint64{2})
	require.True(t, mayRun)
	_, mayRun = x.Stage(end, 8, []uint64{1})
	require.True(t, mayRun, "the answer should have begun")
	x.EndTrial(now, 7, []uint64{1})
	_, mayRun = x.Stage(now, 8, []uint64{1})
	require.True(t, mayRun)
	now = crash(x, now, 1, 1) + crashSpread
	stage, _ := x.Stage(now, 9, []uint64{1})
	require.Equal(t, LastTrial, stage)
}

func TestTrackersLearnFromEachOther(t *testing.T) {
	x, y := New[int](), New[int]()
	now := crash(x, 0, quarantineThreshold, 1)
	y.Learn(now, x.TakeChanges(now))
	require.True(t, refused(y, now, 1))
	require.Empty(t, x.TakeChanges(now))
	y.Learn(now, []Suspect{{Content: 1, Crashes: 1}})
	require.True(t, refused(y, now, 1), "the higher count holds")
	x.Clear(now, []uint64{1})
	y.Learn(now, x.TakeChanges(now))
	require.False(t, refused(y, now, 1))
	crash(y, now, 1, 4)
	x.Learn(now+time.Second, y.TakeChanges(now+time.Second))
	for _, tracker := range []*Tracker[int]{x, y} {
		stage, mayRun := tracker.Stage(now+time.Second, 7, []uint64{4})
		require.True(t, mayRun)
		require.Equal(t, FirstTrial, stage, "suspicions short of a quarantine are exchanged too")
	}
}

// Crashes that become known late, and in another order, count as those that are known at once.
func TestCrashesCountInAnyOrder(t *testing.T) {
	x := New[int]()
	for _, at := range []time.Duration{2 * time.Second, 3 * time.Second, time.Second} {
		x.HoldAgainst(4*time.Second, Run{Granted: at, Lost: at + time.Millisecond}, []uint64{1})
	}
	require.True(t, refused(x, 4*time.Second, 1))
}

// event is a crash that a tracker learns of by itself.
func event(n int) Run {
	at := time.Duration(n) * time.Second
	return Run{Attempt: uint64(n), Granted: at, Lost: at + 100*time.Millisecond}
}

// TestCrashesMergeInAnyOrder guards against a content that goes on to crash upstreams, since each
// broker has counted some of its crashes and none all, and against a crash that counts twice since
// several report it.
func TestCrashesMergeInAnyOrder(t *testing.T) {
	const now = 10 * time.Second
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 3))
		total := 1 + rng.IntN(5)
		trackers := []*Tracker[int]{New[int](), New[int](), New[int](), New[int]()}
		for n := 1; n <= total; n++ {
			for _, i := range rng.Perm(len(trackers))[:1+rng.IntN(2)] {
				// A later report, and another clock.
				r := event(n)
				r.Lost += time.Duration(rng.IntN(50)) * time.Millisecond
				trackers[i].HoldAgainst(now, r, []uint64{1, uint64(2 + n)})
			}
		}
		merged := New[int]()
		for _, i := range append(rng.Perm(len(trackers)), rng.Perm(len(trackers))...) {
			merged.Learn(now, trackers[i].All(now))
			trackers[i].Learn(now, merged.All(now))
		}
		for _, x := range append(trackers, merged) {
			require.Equal(t, total, x.find(now, 1).Crashes, "seed %d", seed)
			require.Equal(t, total >= quarantineThreshold, refused(x, now, 1), "seed %d", seed)
			if total > 1 {
				require.Equal(t, []uint64{1}, x.find(now, 1).Together)
			}
		}
	}
}

// TestClearedCrashesDoNotReturn guards against a sound content that comes into quarantine, since a
// tracker that does not know of an answer reports the crashes before it. Crashes after it count.
func TestClearedCrashesDoNotReturn(t *testing.T) {
	now := 10 * time.Second
	cleared, away, other := New[int](), New[int](), New[int]()
	for n := 1; n <= 2; n++ {
		cleared.HoldAgainst(now, event(n), []uint64{1})
	}
	away.Learn(now, cleared.All(now))
	// Times shift on their way.
	late := event(2)
	late.Lost += 20 * time.Second
	away.HoldAgainst(now, event(3), []uint64{1})
	cleared.TakeChanges(now)
	cleared.Clear(now, []uint64{1})
	other.Learn(now, cleared.TakeChanges(now))
	for _, x := range []*Tracker[int]{cleared, other} {
		x.Learn(now, away.All(now))
		require.Nil(t, x.find(now, 1))
	}
	cleared.Learn(now, []Suspect{{Content: 1, Crashes: 1, Runs: []Run{late}, Together: []uint64{1}}})
	require.Nil(t, cleared.find(now, 1), "the clearing knows the attempt")
	cleared.HoldAgainst(now, event(4), []uint64{1})
	require.Nil(t, cleared.find(now, 1), "a crash before the answer that is settled after it")
	now += 10 * time.Second
	away.HoldAgainst(now, event(15), []uint64{1})
	require.True(t, refused(away, now, 1))
	for _, x := range []*Tracker[int]{cleared, other} {
		x.Learn(now, away.All(now))
		require.Equal(t, 1, x.find(now, 1).Crashes)
	}
	away.Learn(now, cleared.All(now))
	require.Equal(t, 1, away.find(now, 1).Crashes, "it hears of the answer")
	require.False(t, refused(away, now, 1))
}

// TestQuarantineOutlivesClearingOfEarlierCrashes guards against a request in quarantine that is let
// through, since an answer becomes known that came before the crashes that count.
func TestQuarantineOutlivesClearingOfEarlierCrashes(t *testing.T) {
	x, now := New[int](), 10*time.Second
	for n := 1; n <= quarantineThreshold+1; n++ {
		x.HoldAgainst(now, event(n), []uint64{1})
	}
	x.Learn(now, []Suspect{{Content: 1, IsCleared: true, ClearedAt: event(1).Lost}})
	require.Equal(t, quarantineThreshold, x.find(now, 1).Crashes)
	require.True(t, refused(x, now, 1))
	x.Learn(now, []Suspect{{Content: 1, IsCleared: true, ClearedAt: event(2).Lost}})
	require.False(t, refused(x, now, 1))
}

// TestExchangedSuspicionsExpire guards against suspicions that trackers renew for each other without
// end.
func TestExchangedSuspicionsExpire(t *testing.T) {
	x, y := New[int](), New[int]()
	now := crash(x, time.Second, 2, 1)
	crashed := now
	for ; now < crashed+suspectTTL; now += 10 * time.Second {
		y.Learn(now, x.All(now))
		x.Learn(now, y.All(now))
		require.Equal(t, 1, y.Len(now))
	}
	now += time.Second
	require.Empty(t, append(x.All(now), y.All(now)...))
	y.Learn(now, []Suspect{{Content: 1, Crashes: 1, Runs: []Run{{Granted: crashed - 1, Lost: crashed}}, Together: []uint64{1}}})
	require.Empty(t, y.All(now))
}
