package schedbench

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEveryJobEndsOnceAndRunsRepeat plays each policy twice under faults.
func TestEveryJobEndsOnceAndRunsRepeat(t *testing.T) {
	s := karoo()
	for _, p := range policies() {
		first := playShort(t, s, p)
		require.Equal(t, first, playShort(t, s, p), p.name)
	}
}

func playShort(t *testing.T, s site, p named) []job {
	a := arrivals{site: s, rate: 25, length: 40 * time.Second, seed: 5, burst: 3, burstBegin: 10 * time.Second, burstEnd: 15 * time.Second}
	jobs := a.draw()
	w := newWorld(s, p.make(s, 5), a.length)
	w.engines[0].slow = stragglerFactor
	w.run(jobs)
	require.Zero(t, w.live)
	out := []job{}
	for _, j := range jobs {
		require.NotZero(t, j.ended, "job %d of %s", j.id, p.name)
		require.LessOrEqual(t, j.ended, j.deadline)
		require.False(t, j.whole && j.refused != "")
		require.LessOrEqual(t, j.computed, float64(j.prompt)+tiny)
		copied := *j
		copied.stream = nil
		out = append(out, copied)
	}
	for _, e := range w.engines {
		require.Zero(t, e.outstanding())
	}
	return out
}

// TestEngineBatchesAndCaches checks the model against sums by hand.
func TestEngineBatchesAndCaches(t *testing.T) {
	e := newEngine(0, engineSpec{prefill: 1000, token: 0.01, knee: 4, slots: 2, blocks: 100})
	blocks := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	first := &job{prompt: 1000, output: 100, blocks: blocks}
	e.add(first)
	e.add(&job{prompt: 1000, output: 10, blocks: blocks})
	e.add(&job{prompt: 1000, output: 10})
	require.Len(t, e.waiting, 1, "the batch is full")
	in, _ := e.next()
	require.InDelta(t, 1, in, tiny)
	e.advance(1)
	require.Empty(t, e.settle())
	in, _ = e.next()
	require.InDelta(t, 0.488, in, tiny, "512 tokens are cached")
	require.Equal(t, 512, e.filling[0].job.cached)
	e.advance(1.488)
	e.settle()
	require.InDelta(t, 0.0125, e.tokenTime(), tiny, "two streams")
	e.cancel(first)
	require.Empty(t, e.waiting, "the freed slot is taken")
}
