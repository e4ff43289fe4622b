package rendezvous

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPointIsUniform(t *testing.T) {
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

func TestOnlyKeysOfRemovedMemberMove(t *testing.T) {
	owner := func(key string, members int) int {
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
		before, after := owner(key, 10), owner(key, 9)
		if before != after {
			require.Equal(t, 9, before, "only keys of the removed member may move")
			moved++
		}
	}
	require.InDelta(t, 1000, moved, 150)
}
