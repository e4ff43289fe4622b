package replica

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/consensus"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/clock"
)

const (
	suspensionSchedules = 200
	// electionDuration is longer than any election between running replicas.
	electionDuration = 2 * time.Second
)

// suspend suspends the replica's machine: its steady clock stands still, and what
// arrives waits.
func (s *simReplica) suspend(d time.Duration) {
	if s.engine == nil || s.isSuspended {
		return
	}
	s.isSuspended, s.suspendedAt = true, s.sim.now
	s.sim.schedule(d, s.wake)
}

// wake ends a suspension. The waiting jobs run in random order, since they came
// over several connections. The tick that is due runs after them.
func (s *simReplica) wake() {
	if !s.isSuspended {
		return
	}
	s.isSuspended = false
	s.suspendedFor += s.sim.now - s.suspendedAt
	waiting := s.waitingJobs
	s.waitingJobs = nil
	s.sim.random.Shuffle(len(waiting), func(i, j int) { waiting[i], waiting[j] = waiting[j], waiting[i] })
	for _, j := range waiting {
		s.handle(j)
	}
	s.handle((*engine).tick)
}

// propose submits a command at a replica and returns its outcomes.
func (s *simReplica) propose(t *testing.T, c state.Command) chan outcome {
	t.Helper()
	data, err := json.Marshal(c)
	require.NoError(t, err)
	p := &proposal{command: c, data: data, done: make(chan outcome, 1)}
	s.handle(func(e *engine) { e.submit(p) })
	return p.done
}

// newElectedSimulation returns three replicas without faults, and their leader.
func newElectedSimulation(t *testing.T) (*simulation, *simReplica) {
	t.Helper()
	sim := newSimulation(1, 3, injectedDefect{})
	sim.faultsEnded = true
	sim.run(electionDuration)
	require.NotNil(t, sim.leader())
	return sim, sim.leader()
}

// A leader that was suspended and replaced answered a read from its own state,
// older than what its successor had acknowledged: its lease was measured by a clock
// that stands still in a suspension.
func TestSuspendedLeaderAnswersNoReadFromBeforeItsSuspension(t *testing.T) {
	sim, old := newElectedSimulation(t)
	old.suspend(2 * electionDuration)
	sim.run(sim.now + electionDuration)
	successor := sim.leader()
	require.NotSame(t, old, successor)
	files := config.Files{"a.json": json.RawMessage(`{}`)}
	done := successor.propose(t, state.Command{Apply: &state.Apply{Files: files, Operator: "operator"}})
	sim.run(sim.now + electionDuration/2)
	require.Equal(t, state.OK, (<-done).result.Status)

	acknowledged, _, _ := successor.engine.machine.Config()
	read := make(chan struct{})
	old.waitingJobs = nil
	old.handle(func(e *engine) { e.read(read) })
	old.wake()
	select {
	case <-read:
		version, _, _ := old.engine.machine.Config()
		require.GreaterOrEqual(t, version, acknowledged, "version that the woken leader reads")
	default:
	}
}

// A leader that was suspended and replaced renewed a lease that its successor had
// expired and granted to another holder.
func TestSuspendedLeaderRenewsNoLease(t *testing.T) {
	sim, old := newElectedSimulation(t)
	acquire := func(holder string) state.Command {
		return state.Command{Acquire: &state.Acquire{Name: leaseName, Holder: holder}}
	}
	first := old.propose(t, acquire("first"))
	sim.run(sim.now + electionDuration/2)
	require.Equal(t, state.OK, (<-first).result.Status)

	old.suspend(2*leaseExpiryTimeout + 2*electionDuration)
	sim.run(sim.now + leaseExpiryTimeout + electionDuration)
	second := sim.leader().propose(t, acquire("second"))
	sim.run(sim.now + electionDuration/2)
	require.Equal(t, state.OK, (<-second).result.Status)

	old.waitingJobs = nil
	renewed := old.propose(t, acquire("first"))
	old.wake()
	select {
	case out := <-renewed:
		require.True(t, out.refused, "the woken leader renews a lease that %s holds", "second")
	default:
	}
}

// Suspensions of up to three seconds among all other faults: no read is stale, no
// lease has two holders.
func TestSchedulesWithSuspensions(t *testing.T) {
	for shard := range uint64(shardCount) {
		t.Run(fmt.Sprint(shard), func(t *testing.T) {
			t.Parallel()
			for seed := shard; seed < suspensionSchedules; seed += shardCount {
				sim := newSchedule(seed, injectedDefect{})
				sim.suspends = true
				sim.runSchedule()
				require.Empty(t, sim.checker.violation, "seed %d at %v", seed, sim.now)
			}
		})
	}
}

// The simulation shows nothing unless production measures by the same clock.
func TestSystemClocksMeasureLeasesSinceBoot(t *testing.T) {
	before := clock.SinceBoot()
	elapsed := systemClocks().elapsed()
	require.GreaterOrEqual(t, elapsed, before)
	require.LessOrEqual(t, elapsed, clock.SinceBoot())
}

// A leader that was suspended and replaced still led for its broker until its loop ran again:
// it granted beside its successor.
func TestSuspendedLeaderDoesNotLeadWhenItWakes(t *testing.T) {
	sim, old := newElectedSimulation(t)
	require.True(t, old.group.leads())
	old.suspend(2 * electionDuration)
	sim.run(sim.now + electionDuration)
	require.NotSame(t, old, sim.leader())
	require.Equal(t, consensus.Leader, old.group.status.Role, "it has not noticed yet")
	require.False(t, old.group.leads())
	require.True(t, sim.leader().group.leads())
}
