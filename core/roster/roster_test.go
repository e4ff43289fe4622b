package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const interval = time.Second

func beat(id string, born int64, seq uint64) Entry {
	return Entry{ID: id, Pool: "p", Address: "10.0.0.1:80", Slots: 2, Born: born, Sequence: seq}
}

func TestLateHeartbeatChangesNothing(t *testing.T) {
	r := New(interval)
	leaving := beat("a", 1, 5)
	leaving.Leaving = true
	require.Equal(t, Changed, r.Take(leaving))
	require.Equal(t, Stale, r.Take(beat("a", 1, 4)))
	e, _ := r.Find("a")
	require.True(t, e.Leaving)
	require.Equal(t, Renewed, r.Take(func() Entry { x := leaving; x.Sequence = 6; return x }()))
}

func TestRebornUnderTheSameIDStartsAnew(t *testing.T) {
	r := New(interval)
	r.Take(beat("a", 1, 90))
	require.Equal(t, Changed, r.Take(beat("a", 2, 1)))
	require.Equal(t, Stale, r.Take(beat("a", 1, 91)), "a heartbeat of the earlier process")
	e, _ := r.Find("a")
	require.Equal(t, int64(2), e.Born)
}

func TestProcessThatLeftNeverComesBack(t *testing.T) {
	r := New(interval)
	r.Take(beat("a", 1, 1))
	_, known := r.Leave(0, "a")
	require.True(t, known)
	require.Equal(t, Stale, r.Take(beat("a", 1, 2)))
	require.Equal(t, Stale, r.Take(Entry{ID: "a", Gone: true}), "told once more")
	require.Equal(t, Changed, r.Take(beat("a", 2, 1)), "a new process may use the id")
}

func TestFarewellWithoutBirthEndsWhateverIsThere(t *testing.T) {
	r := New(interval)
	require.Equal(t, Stale, r.Take(Entry{ID: "a", Gone: true}), "nobody of that id is known")
	r.Take(beat("a", 7, 3))
	require.Equal(t, Changed, r.Take(Entry{ID: "a", Gone: true}))
	e, _ := r.Find("a")
	require.True(t, e.Gone)
}

func TestAddressBelongsToTheProcessBornLast(t *testing.T) {
	r := New(interval)
	r.Take(beat("old", 1, 1))
	r.Take(beat("new", 2, 1))
	e, _ := r.Find("old")
	require.True(t, e.Gone)
	require.Equal(t, Stale, r.Take(beat("older", 1, 9)), "delayed until after its successor registered")
	require.Equal(t, Stale, r.Take(beat("old", 1, 2)))
}

func TestSilentUpstreamsAreKeptForAWhileThenForgotten(t *testing.T) {
	r := New(interval)
	r.Take(beat("a", 1, 1))
	e := r.All(3 * interval)[0]
	require.False(t, r.Silent(3*interval, e))
	require.True(t, r.Silent((SilentAfter+1)*interval, e))
	require.Len(t, r.All(10*interval), 1)
	require.Empty(t, r.All((forgetAfter+1)*interval))
}

// TestAnyOrderOfHeartbeatsEndsAlike gives two rosters the same heartbeats in
// different orders, some twice.
func TestAnyOrderOfHeartbeatsEndsAlike(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		all := []Entry{}
		for _, id := range []string{"a", "b"} {
			for born := int64(1); born <= 3; born++ {
				for seq := uint64(1); seq <= 4; seq++ {
					e := beat(id, born, seq)
					e.Address = id
					e.Leaving = seq >= 3
					all = append(all, e)
				}
			}
		}
		one, two := New(interval), New(interval)
		for _, i := range rng.Perm(len(all)) {
			one.Take(all[i])
		}
		for _, i := range append(rng.Perm(len(all)), rng.Perm(len(all))...) {
			two.Take(all[i])
		}
		require.Equal(t, one.All(0), two.All(0), "seed %d", seed)
	}
}

// renewal returns the time of one heartbeat in a roster of a size, the best of a
// few rounds.
func renewal(size int) time.Duration {
	const rounds, beats = 5, 2000
	r := New(interval)
	ids := make([]string, size)
	for i := range ids {
		ids[i] = fmt.Sprintf("i-%d", i)
		r.Take(Entry{ID: ids[i], Address: ids[i], Born: 1, Sequence: 1})
	}
	best := time.Hour
	for round := range rounds {
		began := time.Now()
		for i := range beats {
			id := ids[(round*beats+i)%size]
			e, _ := r.Find(id)
			e.Sequence++
			r.Take(e)
		}
		best = min(best, time.Since(began)/beats)
	}
	return best
}

// TestCostOfAHeartbeatDoesNotGrowWithTheRoster compares 100 upstreams with the
// target's 10,000: a search through all would cost 100 times as much.
func TestCostOfAHeartbeatDoesNotGrowWithTheRoster(t *testing.T) {
	const most = 20 // allows for the caches that the large roster does not fit in
	small, large := renewal(100), renewal(10_000)
	require.Less(t, large, most*small, "a heartbeat takes %s among 100 upstreams, %s among 10,000", small, large)
}

func TestMoveToAnAddressOfALaterProcessEndsTheEarlier(t *testing.T) {
	r := New(interval)
	r.Take(beat("new", 9, 1))
	other := beat("a", 1, 1)
	other.Address = "10.0.0.2:80"
	require.Equal(t, Changed, r.Take(other))
	require.Equal(t, Changed, r.Take(beat("a", 2, 1)), "born before the process at that address")
	e, _ := r.Find("a")
	require.True(t, e.Gone)
	e, _ = r.Find("new")
	require.False(t, e.Gone)
}

func TestAddressOfAForgottenProcessIsFree(t *testing.T) {
	r := New(interval)
	r.Take(beat("new", 9, 1))
	r.All((forgetAfter + 1) * interval)
	e := beat("a", 1, 1)
	e.Heard = (forgetAfter + 1) * interval
	require.Equal(t, Changed, r.Take(e))
	require.Len(t, r.owners, 1)
}
