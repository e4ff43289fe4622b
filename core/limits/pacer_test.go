package limits

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPacerGrantsOneTurnAPeriod guards against a party that uses several turns in a period, or
// one that has expired.
func TestPacerGrantsOneTurnAPeriod(t *testing.T) {
	const period, window, phase = 10 * time.Second, time.Second, 0.5
	p := Pacer{}
	wait, ok := p.Take(0, period, window, phase)
	require.False(t, ok)
	require.Equal(t, 5*time.Second, wait)
	_, ok = p.Take(5500*time.Millisecond, period, window, phase)
	require.True(t, ok)
	wait, ok = p.Take(5600*time.Millisecond, period, window, phase)
	require.False(t, ok, "the turn is used")
	require.Equal(t, 9400*time.Millisecond, wait)
	_, ok = p.Take(17*time.Second, period, window, phase)
	require.False(t, ok, "the next turn has expired")
	require.Equal(t, 8*time.Second, p.Wait(17*time.Second, period, window, phase))
	_, ok = p.Take(25*time.Second, period, window, phase)
	require.True(t, ok)
}

// TestPacerKeepsDistanceAcrossPeriods guards against two turns in a row as the period changes.
func TestPacerKeepsDistanceAcrossPeriods(t *testing.T) {
	p := Pacer{}
	_, ok := p.Take(5*time.Second, 10*time.Second, time.Second, 0.5)
	require.True(t, ok)
	_, ok = p.Take(6*time.Second, 12*time.Second, time.Second, 0.5)
	require.False(t, ok)
}
