package rendezvous

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPointsSpreadEvenly(t *testing.T) {
	const n, parts = 20_000, 10
	count := [parts]int{}
	for i := range n {
		p := Point(fmt.Sprint("key-", i), "member")
		require.GreaterOrEqual(t, p, 0.0)
		require.Less(t, p, 1.0)
		count[int(p*parts)]++
	}
	for _, c := range count {
		require.InDelta(t, n/parts, c, n/parts/10)
	}
}

func TestFewKeysMoveWhenAMemberGoes(t *testing.T) {
	first := func(key string, members int) int {
		best := 0
		for m := range members {
			if Weight(key, fmt.Sprint(m)) > Weight(key, fmt.Sprint(best)) {
				best = m
			}
		}
		return best
	}
	moved := 0
	for i := range 10_000 {
		key := fmt.Sprint("key-", i)
		before, after := first(key, 10), first(key, 9)
		if before != after {
			require.Equal(t, 9, before, "only those of the member that went")
			moved++
		}
	}
	require.InDelta(t, 1000, moved, 150)
}
