package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/consensus"
)

const (
	// heldUpSeeds is the number of schedules per number of replicas.
	heldUpSeeds = 50
	// maxHeldUp is an election timeout less a heartbeat interval, so that a heartbeat that was sent
	// in time is read in time, and less the tick that may have passed since the loop ran last.
	maxHeldUp = (electionTimeoutTicks - heartbeatIntervalTicks - 1) * tickInterval
)

// holdUp makes the replica's loop stand still again and again, for random times up to maxHeldUp. What
// arrives meanwhile waits.
func (s *simReplica) holdUp() {
	s.sim.schedule(s.sim.randomDuration(tickInterval, 3*tickInterval), func() {
		d := s.sim.randomDuration(tickInterval, maxHeldUp)
		s.suspend(d)
		s.sim.schedule(d, s.holdUp)
	})
}

// Guards against a leader that steps down, and followers that seek another one, because their own
// loops are held up while messages of the others wait: on busy processors the replicas then lead
// in turn, and each change of leader makes them busier.
func TestHeldUpReplicasKeepTheirLeader(t *testing.T) {
	for _, size := range []int{3, 5, 6} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(heldUpSeeds) {
				sim := newSimulation(seed, size, injectedDefect{})
				sim.faultsEnded = true
				sim.run(electionDuration)
				leader := sim.leader()
				require.NotNil(t, leader)
				term := leader.engine.node.Status().Term
				for _, s := range sim.replicas {
					s.holdUp()
				}
				sim.run(sim.now + 20*time.Second)
				require.Empty(t, sim.checker.violation)
				for _, s := range sim.replicas {
					require.Equal(t, term, s.engine.node.Status().Term, "seed %d: elections", seed)
				}
				require.Equal(t, consensus.Leader, leader.engine.node.Status().Role, "seed %d", seed)
			}
		})
	}
}
