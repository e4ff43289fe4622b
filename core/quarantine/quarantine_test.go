package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSecondCrashQuarantinesForAWhile(t *testing.T) {
	tracker := New()
	require.Equal(t, []Change{{7, 1}, {8, 1}}, tracker.RecordCrash(0, []uint64{7, 8, 7, 0}))
	change, ok := tracker.RecordCompletion(8)
	require.True(t, ok)
	require.Equal(t, Change{Fingerprint: 8}, change)
	require.Equal(t, []Change{{7, 2}}, tracker.RecordCrash(time.Second, []uint64{7}))
	verdict, left := tracker.Verdict(time.Second, 7)
	require.Equal(t, Quarantined, verdict)
	require.Equal(t, Duration, left)
	_, ok = tracker.RecordCompletion(7)
	require.False(t, ok, "a completed request does not end a quarantine")
	require.Empty(t, tracker.Expire(time.Second+Duration-1))
	require.Equal(t, []Change{{7, 0}}, tracker.Expire(time.Second+Duration))
	require.Zero(t, tracker.Len())
}

func TestSharedCountsAreMerged(t *testing.T) {
	tracker := New()
	tracker.RecordCrash(0, []uint64{5})
	tracker.Sync(0, map[uint64]int{9: 2})
	verdict, _ := tracker.Verdict(0, 5)
	require.Equal(t, Suspect, verdict, "a count that is not yet shared is kept")
	verdict, _ = tracker.Verdict(0, 9)
	require.Equal(t, Quarantined, verdict)
	tracker.Sync(0, map[uint64]int{5: 1})
	tracker.Sync(0, map[uint64]int{})
	require.Zero(t, tracker.Len(), "the suspicion was cleared by another dispatcher")
}
