package directory

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// testMembers lists two daemons in data centre a, one elsewhere in its region, one
// in another region and one that drains.
func testMembers() []port.Member {
	return []port.Member{
		{Callers: "far", DataCentre: "c", Region: "s", Load: 0},
		{Callers: "near", DataCentre: "b", Region: "r", Load: 0},
		{Callers: "busy", DataCentre: "a", Region: "r", Load: 0.9},
		{Callers: "idle", DataCentre: "a", Region: "r", Load: 0.1},
		{Callers: "leaving", DataCentre: "a", Region: "r", Leaving: true},
	}
}

func TestNearestEntriesFirstWithoutDraining(t *testing.T) {
	got := choose(testMembers(), "a", rand.New(rand.NewPCG(1, 1)).Float64)
	require.ElementsMatch(t, []string{"busy", "idle"}, got[:2])
	require.Equal(t, []string{"near", "far"}, got[2:])
}

func TestCallersSpreadInProportionToSpareCapacity(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	first := map[string]int{}
	for range 10_000 {
		first[choose(testMembers(), "a", rng.Float64)[0]]++
	}
	require.InDelta(t, 9000, first["idle"], 300)
	require.InDelta(t, 1000, first["busy"], 300)
}

// TestDaemonWithoutConfigurationIsNotListed guards against callers sent to a daemon
// that has just started and refuses them because it knows no workspace yet.
func TestDaemonWithoutConfigurationIsNotListed(t *testing.T) {
	live := []port.Member{{Callers: "new", DataCentre: "a"}, {Callers: "old", DataCentre: "b", Version: 3}}
	require.Equal(t, []string{"old"}, choose(live, "a", rand.New(rand.NewPCG(1, 1)).Float64))
	require.Equal(t, []string{"new"}, choose(live[:1], "a", rand.New(rand.NewPCG(1, 1)).Float64))
}

func TestAnswerIsBounded(t *testing.T) {
	live := []port.Member{}
	for range 700 {
		live = append(live, port.Member{Callers: "x", DataCentre: "a"})
	}
	require.Len(t, choose(live, "a", rand.New(rand.NewPCG(1, 1)).Float64), maxAddresses)
}

// fakeMembers lists itself as leaving after Announce.
type fakeMembers struct {
	leaving bool
}

func (f *fakeMembers) AnnounceDrain() { f.leaving = true }

func (f *fakeMembers) Live() []port.Member {
	return []port.Member{{Callers: "self", DataCentre: "a", Leaving: f.leaving}, {Callers: "other", DataCentre: "b"}}
}

func (f *fakeMembers) Find(string) (port.Member, bool) { return port.Member{}, false }

// TestDrainWaitsUntilAnswersExpire guards against callers with a cached answer that
// find the listed daemon stopped.
func TestDrainWaitsUntilAnswersExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(&settings.Settings{DataCentre: "a"}, zap.NewNop())
		s.members = &fakeMembers{}
		addresses, ttl := s.Answer("")
		require.Equal(t, []string{"self", "other"}, addresses)
		started := time.Now()
		require.NoError(t, s.Drain(t.Context()))
		require.Greater(t, time.Since(started), ttl)
		addresses, _ = s.Answer("")
		require.Equal(t, []string{"other"}, addresses)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.ErrorIs(t, s.Drain(ctx), context.DeadlineExceeded)
	})
}

// TestPartitionedDaemonNamesLostEntries guards against callers that keep to the entries on the
// small side of a network partition because an entry there answers them, and against entries that
// name nobody after a real loss.
func TestPartitionedDaemonNamesLostEntries(t *testing.T) {
	members := func(entries, replicas int) []port.Member {
		live := []port.Member{}
		for range entries {
			live = append(live, port.Member{Callers: "x", DataCentre: "a"})
		}
		for range replicas {
			live = append(live, port.Member{Replica: true})
		}
		return live
	}
	i := isolation{}
	named := func(now time.Duration, entries, replicas int) int {
		return countEntries(i.members(now, members(entries, replicas)))
	}
	require.Equal(t, 1, named(0, 1, 0), "a daemon that has just started")
	require.Equal(t, 9, named(time.Second, 9, 3))
	require.Equal(t, 2, named(2*time.Second, 2, 1), "entries are lost, a control daemon is live")
	require.Equal(t, 5, named(3*time.Second, 5, 0), "all control daemons are lost, most entries are live")
	require.Equal(t, 9, named(4*time.Second, 4, 0))
	require.Equal(t, 9, named(4*time.Second+isolationWindow/2, 4, 0))
	require.Equal(t, 4, named(4*time.Second+2*isolationWindow, 4, 0), "the loss is long ago")
}
