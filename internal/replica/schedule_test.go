package replica

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/consensus"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/port"
)

const (
	scheduleCount = 1000
	shardCount    = 8
	workspace     = "workspace"
	leaseName     = "lease"
	// faultsEnd and scheduleEnd are the virtual times at which a schedule stops
	// injecting faults and ends.
	faultsEnd   = 7 * time.Second
	scheduleEnd = 12 * time.Second
)

// replicationTimeout is the time within which the last entries must reach all
// replicas.
const replicationTimeout = time.Second

// gcPercent is the target of the garbage collector (GOGC). It is high because the
// schedules allocate much and retain little.
const gcPercent = 800

func TestMain(m *testing.M) {
	debug.SetGCPercent(gcPercent)
	os.Exit(m.Run())
}

// sendCommand sends a command to the leader or a random replica, and repeats it
// up to attempts times until it is answered.
func (sim *simulation) sendCommand(c state.Command, attempts int, answered func(state.Result)) {
	data, err := json.Marshal(c)
	if err != nil {
		sim.checker.fail("%v", err)
		return
	}
	p := &proposal{command: c, data: data, done: make(chan outcome, 1)}
	to := sim.replicas[sim.random.IntN(len(sim.replicas))]
	if l := sim.leader(); l != nil && sim.chance(0.7) {
		to = l
	}
	sim.schedule(sim.randomDuration(0, 5*time.Millisecond), func() {
		to.handle(func(e *engine) { e.submit(p) })
		deadline := sim.now + time.Second
		sim.pollers = append(sim.pollers, func() bool {
			select {
			case out := <-p.done:
				sim.schedule(sim.randomDuration(0, 5*time.Millisecond), func() { sim.handleOutcome(c, attempts, out, answered) })
				return true
			default:
			}
			if sim.now >= deadline {
				sim.handleOutcome(c, attempts, outcome{refused: true}, answered)
			}
			return sim.now >= deadline
		})
	})
}

// handleOutcome passes a result to answered, or sends the command again.
func (sim *simulation) handleOutcome(c state.Command, attempts int, out outcome, answered func(state.Result)) {
	switch {
	case !out.refused && out.err == nil:
		answered(out.result)
	case attempts > 1 && !sim.faultsEnded:
		sim.sendCommand(c, attempts-1, answered)
	}
}

// claimRepeatedly claims random keys until the faults end.
func (sim *simulation) claimRepeatedly() {
	if sim.faultsEnded {
		return
	}
	key := fmt.Sprintf("key-%d", sim.random.IntN(60))
	stream := fmt.Sprintf("stream-%d", sim.random.Uint64())
	c := &state.Claim{Workspace: workspace, Key: key, Digest: "digest", Stream: stream, AtMS: simulationStart.Add(sim.now).UnixMilli()}
	sim.sendCommand(state.Command{Claim: c}, 6, func(r state.Result) {
		if r.Status == state.OK || r.Status == state.Exists {
			sim.checker.checkClaim(key, r.Claim.Stream)
		}
	})
	sim.schedule(sim.randomDuration(10*time.Millisecond, 120*time.Millisecond), sim.claimRepeatedly)
}

// applyRepeatedly applies configurations, some of them twice, until the faults
// end.
func (sim *simulation) applyRepeatedly() {
	if sim.faultsEnded {
		return
	}
	files := config.Files{"a.json": json.RawMessage(fmt.Sprintf(`{"n":%d}`, sim.random.Uint64()))}
	a := &state.Apply{Base: sim.checker.maxVersion, Files: files, Operator: "operator"}
	first := uint64(0)
	answered := func(r state.Result) {
		if r.Status != state.OK {
			return
		}
		if first != 0 && r.Version != first {
			sim.checker.fail("a repeated change became version %d after %d", r.Version, first)
		}
		first = r.Version
		sim.checker.checkVersion(r.Version, r.Digest)
	}
	for range 1 + sim.random.IntN(2) {
		sim.sendCommand(state.Command{Apply: a}, 6, answered)
	}
	sim.schedule(sim.randomDuration(100*time.Millisecond, 600*time.Millisecond), sim.applyRepeatedly)
}

// readRepeatedly checks that a read on any replica sees what was acknowledged
// before it started.
func (sim *simulation) readRepeatedly() {
	s := sim.replicas[sim.random.IntN(len(sim.replicas))]
	before := sim.checker.acknowledged()
	done := make(chan struct{})
	generation := s.generation
	s.handle(func(e *engine) { e.read(done) })
	deadline := sim.now + 2*time.Second
	sim.pollers = append(sim.pollers, func() bool {
		if s.generation != generation || s.engine == nil {
			return true
		}
		select {
		case <-done:
			sim.checker.checkRead("a read on "+s.name(), s.engine.machine, before)
			return true
		default:
			return sim.now > deadline
		}
	})
	sim.schedule(sim.randomDuration(50*time.Millisecond, 200*time.Millisecond), sim.readRepeatedly)
}

// renewLeaseRepeatedly renews the lease by a drifting clock, with occasional
// pauses longer than the lease.
func (sim *simulation) renewLeaseRepeatedly(name string, rate float64) {
	if sim.faultsEnded {
		return
	}
	sent := sim.now
	duration := time.Duration(float64(port.LeaseTTL) / rate)
	sim.sendCommand(state.Command{Acquire: &state.Acquire{Name: leaseName, Holder: name}}, 1, func(r state.Result) {
		if r.Status == state.OK {
			sim.checker.checkLease(sim.now, name, r.Lease.Epoch, sent+duration)
		}
	})
	pause := sim.randomDuration(200*time.Millisecond, 500*time.Millisecond)
	if sim.chance(0.05) {
		pause = sim.randomDuration(time.Second, 4*time.Second)
	}
	sim.schedule(pause, func() { sim.renewLeaseRepeatedly(name, rate) })
}

// injectFaults injects one random fault after another until the faults end.
func (sim *simulation) injectFaults() {
	if sim.faultsEnded {
		return
	}
	s := sim.replicas[sim.random.IntN(len(sim.replicas))]
	if l := sim.leader(); l != nil && sim.chance(0.4) {
		s = l
	}
	if sim.losesPower && sim.chance(0.3) {
		sim.losePower(s)
	}
	if sim.suspends && sim.chance(0.4) {
		s.suspend(sim.randomDuration(300*time.Millisecond, 3*time.Second))
	}
	if s.isSuspended {
		sim.schedule(sim.randomDuration(50*time.Millisecond, time.Second), sim.injectFaults)
		return
	}
	switch sim.random.IntN(6) {
	case 0:
		if s.engine != nil {
			s.crash()
		}
	case 1, 2:
		s.disk.operationsUntilCrash = 1 + sim.random.IntN(12)
	case 3:
		sim.partition()
	case 4:
		s.handle(func(e *engine) { e.transferLeadership() })
	case 5:
		sim.loseDisk(s)
	}
	sim.schedule(sim.randomDuration(50*time.Millisecond, time.Second), sim.injectFaults)
}

// partition blocks the messages of one replica for a while, in one or both
// directions.
func (sim *simulation) partition() {
	one := sim.random.IntN(len(sim.replicas))
	ways := 1 + sim.random.IntN(3)
	for i := range sim.replicas {
		if i != one {
			sim.blocked[[2]int{one, i}] = ways&1 != 0
			sim.blocked[[2]int{i, one}] = ways&2 != 0
		}
	}
	sim.schedule(sim.randomDuration(100*time.Millisecond, 3*time.Second), func() { clear(sim.blocked) })
}

// loseDisk loses the disk of a replica, unless a previous loss is still being
// repaired: all replicas must be voters in the leader's committed membership.
func (sim *simulation) loseDisk(s *simReplica) {
	l := sim.leader()
	if l == nil || l.engine.node.Status().CommitIndex < l.engine.node.Status().LastIndex {
		return
	}
	members := l.engine.node.Status().Members
	known := false
	for _, m := range members {
		if m.Learner {
			return
		}
		known = known || m.ID == s.id
	}
	if len(members) != len(sim.replicas) || !known || sim.isDiskMissing() {
		return
	}
	sim.lostDisks++
	s.loseDisk()
}

// isDiskMissing reports whether the current disk of some replica is not a
// member. A further loss could then take the majority.
func (sim *simulation) isDiskMissing() bool {
	l := sim.leader()
	members := map[consensus.ID]bool{}
	for _, m := range l.engine.node.Status().Members {
		members[m.ID] = true
	}
	for _, s := range sim.replicas {
		if s.diskLost || !members[s.id] {
			return true
		}
	}
	return false
}

// haveAllApplied reports whether all replicas have applied the leader's whole
// log.
func (sim *simulation) haveAllApplied() bool {
	l := sim.leader()
	for _, s := range sim.replicas {
		if l == nil || s.engine == nil || s.group.applied < l.engine.node.Status().LastIndex {
			return false
		}
	}
	return true
}

// runSchedule runs the schedule of a seed and returns the simulation at its end.
func runSchedule(seed uint64, d injectedDefect) *simulation {
	return newSchedule(seed, d).runSchedule()
}

// newSchedule returns the simulation of a seed at its start.
func newSchedule(seed uint64, d injectedDefect) *simulation {
	size := 3
	if seed%5 == 0 {
		size = 5
	}
	return newSimulation(seed, size, d)
}

func (sim *simulation) runSchedule() *simulation {
	sim.schedule(time.Second, sim.claimRepeatedly)
	sim.schedule(time.Second, sim.applyRepeatedly)
	sim.schedule(time.Second, sim.readRepeatedly)
	sim.schedule(2*time.Second, sim.injectFaults)
	for i := range 3 {
		rate := 1 + maxClockDrift*(2*sim.random.Float64()-1)
		sim.schedule(time.Second, func() { sim.renewLeaseRepeatedly(fmt.Sprintf("holder-%d", i), rate) })
	}
	sim.run(faultsEnd)
	sim.faultsEnded = true
	clear(sim.blocked)
	for _, s := range sim.replicas {
		s.wake()
		s.disk.operationsUntilCrash = 0
	}
	sim.run(scheduleEnd)
	for end := scheduleEnd + replicationTimeout; sim.now < end && !sim.haveAllApplied(); {
		sim.run(sim.now + tickInterval)
	}
	sim.checker.checkFinalState(sim)
	return sim
}

// TestSchedules runs seeded schedules of crashes, torn writes, lost disks,
// partitions, delayed, lost and duplicated messages, and leadership transfers.
func TestSchedules(t *testing.T) {
	mu := sync.Mutex{}
	acks, grants, lost := 0, 0, 0
	t.Run("shards", func(t *testing.T) {
		for shard := range shardCount {
			t.Run(fmt.Sprint(shard), func(t *testing.T) {
				t.Parallel()
				for seed := uint64(shard); seed < scheduleCount; seed += shardCount {
					sim := runSchedule(seed, injectedDefect{})
					require.Empty(t, sim.checker.violation, "seed %d at %v", seed, sim.now)
					mu.Lock()
					acks += sim.checker.acks
					grants += sim.checker.grants
					lost += sim.lostDisks
					mu.Unlock()
				}
			})
		}
	})
	t.Logf("%d schedules: %d acknowledged writes, %d lease grants, %d lost disks", scheduleCount, acks, grants, lost)
	require.Greater(t, acks, scheduleCount*10)
	require.Greater(t, grants, scheduleCount)
	require.Greater(t, lost, scheduleCount/10)
}

// TestSchedulesFindDefects verifies that the invariant checks detect the
// defects they are meant for, so that TestSchedules can't pass because a check
// never fails.
func TestSchedulesFindDefects(t *testing.T) {
	cases := map[string]struct {
		defect injectedDefect
		// from is the first seed to run; shows is a part of the expected
		// violation.
		from  uint64
		shows string
	}{
		"sync does not write to disk":    {defect: injectedDefect{skipsSync: true}, from: 850, shows: "committed with terms"},
		"emptied replica keeps its vote": {defect: injectedDefect{reusesID: true}, shows: "committed with terms"},
		"clock drift exceeds the bound":  {defect: injectedDefect{excessiveDrift: true}, from: 100, shows: "lease held by"},
		"lease expires too early":        {defect: injectedDefect{earlyExpiry: true}, shows: "lease held by"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := c.from; seed < c.from+300; seed++ {
				if sim := runSchedule(seed, c.defect); strings.Contains(sim.checker.violation, c.shows) {
					t.Logf("seed %d: %s", seed, sim.checker.violation)
					return
				}
			}
			require.Fail(t, "no schedule detected the defect")
		})
	}
}
