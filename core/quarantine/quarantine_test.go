package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSecondCrashQuarantinesForAWhile(t *testing.T) {
	k := New()
	require.Equal(t, []Change{{7, 1}, {8, 1}}, k.Crashed(0, []uint64{7, 8, 7, 0}))
	change, ok := k.Completed(8)
	require.True(t, ok)
	require.Equal(t, Change{Fingerprint: 8}, change)
	require.Equal(t, []Change{{7, 2}}, k.Crashed(time.Second, []uint64{7}))
	verdict, left := k.Verdict(time.Second, 7)
	require.Equal(t, Quarantined, verdict)
	require.Equal(t, Hold, left)
	_, ok = k.Completed(7)
	require.False(t, ok, "a late answer does not end a quarantine")
	require.Empty(t, k.Expire(time.Second+Hold-1))
	require.Equal(t, []Change{{7, 0}}, k.Expire(time.Second+Hold))
	require.Zero(t, k.Len())
}

func TestSharedCountsAreTakenOver(t *testing.T) {
	k := New()
	k.Crashed(0, []uint64{5})
	k.Sync(0, map[uint64]int{9: 2})
	verdict, _ := k.Verdict(0, 5)
	require.Equal(t, Suspect, verdict, "not committed yet, so kept")
	verdict, _ = k.Verdict(0, 9)
	require.Equal(t, Quarantined, verdict)
	k.Sync(0, map[uint64]int{5: 1})
	k.Sync(0, map[uint64]int{})
	require.Zero(t, k.Len(), "cleared elsewhere")
}
