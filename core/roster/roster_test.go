package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const interval = time.Second

func heartbeat(id string, born int64, seq uint64) Entry {
	return Entry{ID: id, Pool: "p", Address: "10.0.0.1:80", Slots: 2, Born: born, Sequence: seq}
}

// departing returns a departure that names no process.
func departing(id string, endedBefore int64) Entry {
	return Entry{ID: id, Gone: true, Leaving: true, EndedBefore: endedBefore}
}

func TestOutdatedHeartbeatIsIgnored(t *testing.T) {
	r := New(interval)
	leaving := heartbeat("a", 1, 5)
	leaving.Leaving = true
	require.Equal(t, Changed, r.Merge(leaving))
	require.Equal(t, Stale, r.Merge(heartbeat("a", 1, 4)))
	e, _ := r.Find("a")
	require.True(t, e.Leaving)
	require.Equal(t, Renewed, r.Merge(func() Entry { x := leaving; x.Sequence = 6; return x }()))
}

func TestNewProcessReplacesProcessWithSameID(t *testing.T) {
	r := New(interval)
	r.Merge(heartbeat("a", 1, 90))
	require.Equal(t, Changed, r.Merge(heartbeat("a", 2, 1)))
	require.Equal(t, Stale, r.Merge(heartbeat("a", 1, 91)), "a heartbeat of the earlier process")
	e, _ := r.Find("a")
	require.Equal(t, int64(2), e.Born)
}

func TestProcessThatLeftIsNotRestored(t *testing.T) {
	r := New(interval)
	r.Merge(heartbeat("a", 1, 1))
	require.Equal(t, Changed, r.Merge(r.Departure(departing("a", 0))))
	require.Equal(t, Stale, r.Merge(heartbeat("a", 1, 2)))
	require.Equal(t, Stale, r.Merge(Entry{ID: "a", Gone: true}), "the same message again")
	require.Equal(t, Changed, r.Merge(heartbeat("a", 2, 1)), "a new process may use the id")
}

func TestLeaveWithoutStartTimeEndsCurrentProcess(t *testing.T) {
	r := New(interval)
	require.Equal(t, Stale, r.Merge(Entry{ID: "a", Gone: true}), "the id is unknown")
	r.Merge(heartbeat("a", 7, 3))
	require.Equal(t, Changed, r.Merge(Entry{ID: "a", Gone: true}))
	e, _ := r.Find("a")
	require.True(t, e.Gone)
}

func TestAddressBelongsToProcessStartedLast(t *testing.T) {
	r := New(interval)
	r.Merge(heartbeat("old", 1, 1))
	r.Merge(heartbeat("new", 2, 1))
	e, _ := r.Find("old")
	require.True(t, e.Gone)
	require.Equal(t, Stale, r.Merge(heartbeat("older", 1, 9)), "delayed until after its successor registered")
	require.Equal(t, Stale, r.Merge(heartbeat("old", 1, 2)))
}

func TestSilentUpstreamIsRemovedAfterExpiry(t *testing.T) {
	r := New(interval)
	r.Merge(heartbeat("a", 1, 1))
	e := r.All(3 * interval)[0]
	require.False(t, r.Silent(3*interval, e))
	require.True(t, r.Silent((SilentAfter+1)*interval, e))
	require.Len(t, r.All(10*interval), 1)
	require.Empty(t, r.All((removeAfter+1)*interval))
}

// TestMergeIsIndependentOfOrder guards against control daemons that disagree:
// two rosters that receive the same heartbeats in different orders, with
// duplicates, must hold the same entries.
func TestMergeIsIndependentOfOrder(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		all := []Entry{}
		for _, id := range []string{"a", "b"} {
			for born := int64(1); born <= 3; born++ {
				for seq := uint64(1); seq <= 4; seq++ {
					e := heartbeat(id, born, seq)
					e.Address = id
					e.Leaving = seq >= 3
					all = append(all, e)
				}
			}
		}
		one, two := New(interval), New(interval)
		for _, i := range rng.Perm(len(all)) {
			one.Merge(all[i])
		}
		for _, i := range append(rng.Perm(len(all)), rng.Perm(len(all))...) {
			two.Merge(all[i])
		}
		require.Equal(t, one.All(0), two.All(0), "seed %d", seed)
	}
}

// mergeTime returns the time that Merge takes in a roster of the given size: the
// lowest average of several rounds.
func mergeTime(size int) time.Duration {
	const rounds, heartbeats = 5, 2000
	r := New(interval)
	ids := make([]string, size)
	for i := range ids {
		ids[i] = fmt.Sprintf("i-%d", i)
		r.Merge(Entry{ID: ids[i], Address: ids[i], Born: 1, Sequence: 1})
	}
	best := time.Hour
	for round := range rounds {
		began := time.Now()
		for i := range heartbeats {
			id := ids[(round*heartbeats+i)%size]
			e, _ := r.Find(id)
			e.Sequence++
			r.Merge(e)
		}
		best = min(best, time.Since(began)/heartbeats)
	}
	return best
}

// TestMergeTimeIsIndependentOfRosterSize guards against a linear search: it
// compares 100 upstreams with the supported 10,000, where a search would take 100
// times as long.
func TestMergeTimeIsIndependentOfRosterSize(t *testing.T) {
	const maxRatio = 20 // allows for cache misses in the large roster
	small, large := mergeTime(100), mergeTime(10_000)
	require.Less(t, large, maxRatio*small, "a heartbeat takes %s among 100 upstreams, %s among 10,000", small, large)
}

func TestMoveToAddressOfLaterProcessEndsEarlierOne(t *testing.T) {
	r := New(interval)
	r.Merge(heartbeat("new", 9, 1))
	other := heartbeat("a", 1, 1)
	other.Address = "10.0.0.2:80"
	require.Equal(t, Changed, r.Merge(other))
	require.Equal(t, Changed, r.Merge(heartbeat("a", 2, 1)), "started before the process at that address")
	e, _ := r.Find("a")
	require.True(t, e.Gone)
	e, _ = r.Find("new")
	require.False(t, e.Gone)
}

func TestAddressOfRemovedProcessIsFree(t *testing.T) {
	r := New(interval)
	r.Merge(heartbeat("new", 9, 1))
	r.All((removeAfter + 1) * interval)
	e := heartbeat("a", 1, 1)
	e.Heard = (removeAfter + 1) * interval
	require.Equal(t, Changed, r.Merge(e))
	require.Len(t, r.owners, 1)
}

// TestDepartureOfProcessThatIsNotKnownIsKept guards against an upstream that gets requests after its
// departure was acknowledged: its heartbeats arrive only afterwards. A process that starts under the id later is not kept out.
func TestDepartureOfProcessThatIsNotKnownIsKept(t *testing.T) {
	for name, earlier := range map[string][]Entry{
		"id not known":         nil,
		"earlier process":      {heartbeat("a", 1, 9)},
		"earlier one has left": {heartbeat("a", 1, 9), departing("a", 2)},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(interval)
			for _, e := range earlier {
				r.Merge(e)
			}
			require.Equal(t, Changed, r.Merge(r.Departure(departing("a", 10_000))))
			for seq := range uint64(3) {
				r.Merge(heartbeat("a", 5, seq+1))
				e, known := r.Find("a")
				require.True(t, known)
				require.True(t, e.Gone, "after heartbeat %d", seq+1)
			}
			require.Equal(t, Changed, r.Merge(heartbeat("a", 10_001, 1)), "a process that started later")
			e, _ := r.Find("a")
			require.False(t, e.Leaving)
		})
	}
}

// TestProcessAfterDepartureIsNotKeptOutByClocks guards against an upstream that is started again
// under its id and gets no requests, since the clock of the daemon that recorded the departure was ahead.
func TestProcessAfterDepartureIsNotKeptOutByClocks(t *testing.T) {
	r := New(interval)
	r.Merge(r.Departure(departing("a", 10_000)))
	beat := func(seq uint64, at time.Duration) Entry {
		e := heartbeat("a", 5, seq)
		e.Heard = at
		r.Merge(e)
		e, _ = r.Find("a")
		return e
	}
	for n := time.Duration(1); n <= removeAfter; n++ {
		require.True(t, beat(uint64(n), n*interval).Gone, "it may be the heartbeat of a process that has left")
	}
	require.False(t, beat(30, (removeAfter+1)*interval).Gone)
	require.Equal(t, Stale, r.Merge(departing("a", 10_000)), "forwarded once more")
	require.False(t, beat(31, (removeAfter+2)*interval).Gone)
}

// TestDeparturesMergeInAnyOrder guards against control daemons that disagree on whether a process has
// left, since departures and heartbeats reached them in different orders.
func TestDeparturesMergeInAnyOrder(t *testing.T) {
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 2))
		all := []Entry{}
		for born := int64(2); born <= 8; born += 2 {
			for seq := uint64(1); seq <= 3; seq++ {
				e := heartbeat("a", born, seq)
				e.Leaving = seq == 3 && rng.IntN(2) == 0
				all = append(all, e)
			}
		}
		for range 1 + rng.IntN(3) {
			all = append(all, departing("a", 1+rng.Int64N(10)))
		}
		state := func(order []int) (born, ended int64, gone bool) {
			r := New(interval)
			for _, i := range order {
				r.Merge(all[i])
			}
			e, _ := r.Find("a")
			if e.Gone {
				e.Born = 0
			}
			return e.Born, e.EndedBefore, e.Gone
		}
		born, ended, gone := state(rng.Perm(len(all)))
		require.Equal(t, ended > 8, gone)
		require.Equal(t, !gone, born == 8)
		for range 5 {
			b, e, g := state(append(rng.Perm(len(all)), rng.Perm(len(all))...))
			require.Equal(t, []any{born, ended, gone}, []any{b, e, g}, "seed %d", seed)
		}
	}
}

// TestRepeatedDepartureIsTheSameOne guards against a departure that is never acknowledged, since each
// call of the upstream begins anew on a slow disk.
func TestRepeatedDepartureIsTheSameOne(t *testing.T) {
	r := New(interval)
	first := r.Departure(departing("a", 10_000))
	r.Merge(first)
	require.Equal(t, first, r.Departure(departing("a", 11_000)))
	later := r.Departure(departing("a", 20_000))
	require.Equal(t, Changed, r.Merge(later), "another process may have left")
}
