package schedbench

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestJobsEndOnceAndRunsAreReproducible runs each policy twice with a straggler
// and a burst: every job must end exactly once by its deadline, no engine may
// keep work, and both runs must give the same jobs.
func TestJobsEndOnceAndRunsAreReproducible(t *testing.T) {
	s := karoo()
	for _, p := range policies() {
		first := runWithFaults(t, s, p)
		require.Equal(t, first, runWithFaults(t, s, p), p.name)
	}
}

// runWithFaults runs a short workload with a straggler and a burst, checks its
// invariants and returns the jobs without their streams.
func runWithFaults(t *testing.T, s site, p namedPolicy) []job {
	a := arrivals{site: s, rate: 25, duration: 40 * time.Second, seed: 5, burstFactor: 3, burstStart: 10 * time.Second, burstEnd: 15 * time.Second}
	jobs := a.draw()
	sim := newSimulation(s, p.make(s, 5), a.duration)
	sim.engines[0].slowdown = stragglerSlowdown
	sim.run(jobs)
	require.Zero(t, sim.unfinished)
	out := []job{}
	for _, j := range jobs {
		require.NotZero(t, j.endedAt, "job %d of %s", j.id, p.name)
		require.LessOrEqual(t, j.endedAt, j.deadline)
		require.False(t, j.completed && j.refusalCode != "")
		require.LessOrEqual(t, j.prefillComputed, float64(j.promptTokens)+epsilon)
		copied := *j
		copied.stream = nil
		out = append(out, copied)
	}
	for _, e := range sim.engines {
		require.Zero(t, e.outstanding())
	}
	return out
}

// TestEngineModelMatchesManualCalculation compares batch admission, prefill
// time, prefix cache hits and decode time with values calculated by hand.
func TestEngineModelMatchesManualCalculation(t *testing.T) {
	e := newEngine(0, engineSpec{prefillTokensPerSecond: 1000, secondsPerToken: 0.01, knee: 4, maxBatch: 2, cacheBlocks: 100})
	blocks := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	first := &job{promptTokens: 1000, outputTokens: 100, blocks: blocks}
	e.add(first)
	e.add(&job{promptTokens: 1000, outputTokens: 10, blocks: blocks})
	e.add(&job{promptTokens: 1000, outputTokens: 10})
	require.Len(t, e.waiting, 1, "the batch is full")
	seconds, _ := e.nextEnd()
	require.InDelta(t, 1, seconds, epsilon)
	e.advance(1)
	require.Empty(t, e.completeDue())
	seconds, _ = e.nextEnd()
	require.InDelta(t, 0.488, seconds, epsilon, "512 tokens are cached")
	require.Equal(t, 512, e.prefilling[0].job.cachedTokens)
	e.advance(1.488)
	e.completeDue()
	require.InDelta(t, 0.0125, e.tokenTime(), epsilon, "two streams")
	e.cancel(first)
	require.Empty(t, e.waiting, "the freed slot is taken")
}
