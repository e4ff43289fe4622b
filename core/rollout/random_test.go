package rollout

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const defaultSeeds = 30

func seeds() uint64 {
	if n, err := strconv.Atoi(os.Getenv("ROLLOUT_SEEDS")); err == nil {
		return uint64(n)
	}
	return defaultSeeds
}

func good() version { return version{name: "good", route: -1, cold: 5} }

// versions returns the kinds of versions, with random severity.
func versions(rng *rand.Rand, d time.Duration) []version {
	f := func(from, to float64) float64 { return from + (to-from)*rng.Float64() }
	return []version{
		good(),
		{name: "bad at once", fraction: f(0.2, 1), route: -1, cold: 4},
		{name: "bad later", fraction: f(0.25, 0.8), since: time.Duration(f(0.1, 0.35) * float64(d)), route: -1},
		{name: "bad under load", fraction: f(0.3, 0.8), route: -1, underLoad: true},
		{name: "bad on one route", fraction: f(0.5, 1), route: rng.IntN(simRoutes - 1)},
		{name: "slow", fraction: f(0.25, 0.6), badTime: f(4, 8), route: -1},
	}
}

func randomScenario(rng *rand.Rand, v version, d time.Duration) scenario {
	moment := func() time.Duration { return time.Duration((0.05 + 0.7*rng.Float64()) * float64(d)) }
	s := scenario{
		version: v, duration: d, upstreams: 8 + rng.IntN(30), utilisation: 0.4 + 0.15*rng.Float64(),
		callTime: time.Duration(40+rng.IntN(120)) * time.Millisecond, sizes: 0.8 * rng.Float64(),
		burst: 1 + 0.7*rng.Float64(), late: rng.IntN(2) == 0, paused: rng.IntN(2) == 0,
	}
	if v.badTime > 0 {
		// Fewer answers, or more varied ones, don't tell in time whether some are slow.
		s.upstreams, s.callTime, s.sizes = s.upstreams+15, s.callTime/2+30*time.Millisecond, s.sizes/2
	}
	switch rng.IntN(6) {
	case 0:
		s.disturbed = moment()
	case 1:
		s.crashes = []time.Duration{moment(), moment(), moment()}
	case 2:
		s.leaderLosses = []time.Duration{moment(), moment()}
	case 3:
		s.stalled, s.isolated = moment(), moment()
	case 4:
		s.lost, s.leaderLosses = moment(), []time.Duration{moment()}
	}
	return s
}

// Guards against a version that gets more requests than its bound, is rolled back too late
// or without cause, against a state that goes back, and against a completion that is early
// or late.
func TestRandomRollouts(t *testing.T) {
	for seed := range seeds() {
		rng := rand.New(rand.NewPCG(seed, 1))
		d := time.Duration(12+rng.IntN(10)) * time.Second
		for _, v := range versions(rng, d) {
			s := randomScenario(rng, v, d)
			x := newSim(seed, s)
			r := x.play()
			if len(x.faults) > 0 {
				t.Errorf("seed %d, %s: %v; ended %s at %v (%s), bad %d, tries %d of %d\n%+v", seed, v.name, x.faults, r.Phase, x.endedAt, r.Reason, x.bad, x.tries, x.requests, s)
			}
		}
	}
}

// caught reports for how many seeds the checks find a planted fault.
func caught(plant func(*scenario), v version) int {
	n := 0
	for seed := range uint64(5) {
		s := scenario{
			version: v, duration: 30 * time.Second, upstreams: 30, utilisation: 0.5, callTime: 100 * time.Millisecond, sizes: 0.3, burst: 1.3,
			leaderLosses: []time.Duration{3 * time.Second, 6 * time.Second, 9 * time.Second, 11 * time.Second},
		}
		plant(&s)
		x := newSim(seed, s)
		x.play()
		if len(x.faults) > 0 {
			n++
		}
	}
	return n
}

// Guards against checks of the simulation that see nothing.
func TestPlantedFaultsAreCaught(t *testing.T) {
	require.Zero(t, caught(func(*scenario) {}, good()))
	require.Equal(t, 5, caught(func(s *scenario) { s.resetReservation = true }, good()), "a reservation that is reset at a new leader")
	require.Equal(t, 5, caught(func(s *scenario) { s.noComparison, s.leaderLosses = true, nil }, good()), "an analysis without comparison")
	require.Equal(t, 5, caught(func(s *scenario) { s.earlyCompletion, s.leaderLosses = true, nil; s.callTime = 900 * time.Millisecond }, good()), "a completion before the last old request")
}
