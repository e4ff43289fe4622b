package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// production is a rollout like those of the deployment with 60 engines of 5 slots.
func production(v version) scenario {
	return scenario{
		version: v, duration: 12 * time.Second, upstreams: 60, utilisation: 0.5,
		callTime: 150 * time.Millisecond, sizes: 0.3, burst: 1,
	}
}

// play plays a scenario with several seeds and requires the checks of the simulation and the
// phase in which it ends.
func play(t *testing.T, s scenario, end Phase) {
	t.Helper()
	for seed := range uint64(8) {
		x := newSim(seed, s)
		r := x.play()
		require.Empty(t, x.faults, "seed %d: %s", seed, r.Reason)
		require.Equal(t, end, r.Phase, "seed %d: %s", seed, r.Reason)
	}
}

// Guards against a version that fails from the start and is not rolled back.
func TestVersionBadAtOnceIsRolledBack(t *testing.T) {
	play(t, production(version{fraction: 0.2, route: -1}), RolledBack)
	play(t, production(version{fraction: 1, route: -1}), RolledBack)
}

// Guards against failures of every answer that are taken for crashes of the few upstreams, and
// against evidence that is dropped between bursts.
func TestVersionThatFailsAlwaysIsRolledBackInASmallPool(t *testing.T) {
	for _, d := range []time.Duration{12 * time.Second, time.Minute} {
		s := production(version{fraction: 1, route: -1})
		s.upstreams, s.duration = 8, d
		play(t, s, RolledBack)
	}
}

// Guards against a version that turns bad after the first good answers and is trusted by them.
func TestVersionBadLaterIsRolledBack(t *testing.T) {
	play(t, production(version{fraction: 0.3, since: 4 * time.Second, route: -1}), RolledBack)
}

// Guards against a trial that never loads an upstream fully.
func TestVersionBadUnderLoadIsRolledBack(t *testing.T) {
	play(t, production(version{fraction: 0.6, route: -1, underLoad: true}), RolledBack)
}

// Guards against a bad route that is hidden by the good ones, and by a route that normally fails.
func TestVersionBadOnOneRouteIsRolledBack(t *testing.T) {
	play(t, production(version{fraction: 0.7, route: 2}), RolledBack)
	play(t, production(version{fraction: 0.7, route: noisyRoute}), RolledBack)
}

// Guards against slow answers that the upstreams' differences in speed hide, and against an
// expected time that learns the slowness.
func TestSlowVersionIsRolledBack(t *testing.T) {
	play(t, production(version{fraction: 0.4, badTime: 5, route: -1}), RolledBack)
}

// Guards against a cold start of the target's upstreams that is held against the version.
func TestColdStartIsNotHeldAgainstTheVersion(t *testing.T) {
	play(t, production(version{route: -1, cold: 8}), Completed)
}

// Guards against slow first answers that count as failures, since the entry repeats each slow
// request at another upstream and reports a timeout.
func TestColdStartWithTimeoutsIsNotHeldAgainstTheVersion(t *testing.T) {
	for _, cold := range []float64{3, 5, 8} {
		for _, upstreams := range []int{15, 60} {
			s := production(version{route: -1, cold: cold})
			s.upstreams = upstreams
			play(t, s, Completed)
		}
	}
}

// Guards against timeouts that never count because no upstream of the version ever answers.
func TestVersionThatNeverAnswersIsRolledBack(t *testing.T) {
	play(t, production(version{fraction: 1, badTime: 100, route: -1}), RolledBack)
}

// Guards against crashes of single upstreams, beside each other in both versions, that are
// held against the version.
func TestCrashesAreNotHeldAgainstTheVersion(t *testing.T) {
	s := production(good())
	s.crashes = []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, 5500 * time.Millisecond}
	play(t, s, Completed)
}

// Guards against a disturbance of both versions that is held against the target.
func TestDisturbanceOfBothVersionsIsNotHeldAgainstTheTarget(t *testing.T) {
	for _, at := range []time.Duration{2 * time.Second, 6 * time.Second, 7500 * time.Millisecond} {
		s := production(good())
		s.disturbed = at
		play(t, s, Completed)
	}
}

// Guards against a good version that is late because of a burst or of late upstreams.
func TestGoodVersionCompletesUnderABurstWithLateUpstreams(t *testing.T) {
	s := production(good())
	s.burst, s.late = 1.7, true
	play(t, s, Completed)
}

// Guards against false alarms over many answers: 300 answers a second for two minutes, of
// which some of one route fail on both versions.
func TestGoodVersionIsNotJudgedBadOverManyAnswers(t *testing.T) {
	s := production(good())
	s.duration = 2 * time.Minute
	x := newSim(1, s)
	r := x.play()
	require.Equal(t, Completed, r.Phase, r.Reason)
	require.Greater(t, x.requests, 30_000)
}

// Guards against a rollout that never ends, and a bad version that is trusted, where few
// requests come.
func TestFewRequests(t *testing.T) {
	for _, rate := range []float64{0.001, 0.3, 1, 3, 10, 30} {
		s := production(version{route: -1})
		s.rate = rate
		if rate == 0.3 {
			// In 12 s, failures of the noisy route alone could come.
			s.duration = time.Minute
		}
		play(t, s, Completed)
	}
	for _, rate := range []float64{1, 3, 10, 30} {
		s := production(version{fraction: 0.9, route: -1})
		s.rate = rate
		play(t, s, RolledBack)
	}
}
