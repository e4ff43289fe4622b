package replica

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

const powerLossSchedules = 400

// losePower cuts the power of all replicas at the same moment; the given one loses its
// disk, if the loss of one more can be borne.
func (sim *simulation) losePower(s *simReplica) {
	sim.loseDisk(s)
	for _, other := range sim.replicas {
		if other.engine != nil {
			other.wake()
		}
		if other.engine != nil {
			other.crash()
		}
	}
}

// An acknowledged change was lost when all replicas lost power at the moment at which one
// of them lost its disk.
func TestSchedulesWithLossOfPower(t *testing.T) {
	for shard := range uint64(shardCount) {
		t.Run(fmt.Sprint(shard), func(t *testing.T) {
			t.Parallel()
			for seed := shard; seed < powerLossSchedules; seed += shardCount {
				sim := newSchedule(seed, injectedDefect{})
				sim.suspends, sim.losesPower = true, true
				sim.runSchedule()
				require.Empty(t, sim.checker.violation, "seed %d at %v", seed, sim.now)
			}
		})
	}
}
