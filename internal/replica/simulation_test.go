package replica

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/consensus"
	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// injectedDefect is a fault injected into the code under test to verify that the
// invariant checks detect it.
type injectedDefect struct {
	// skipsSync makes the sync of an appended file return without syncing.
	skipsSync bool
	// reusesID gives a replica that lost its disk its previous ID again.
	reusesID bool
	// excessiveDrift exceeds the clock drift that leases allow for.
	excessiveDrift bool
	// earlyExpiry expires leases before their holders stop relying on them.
	earlyExpiry bool
}

// simulation runs engines on fake disks and a fake network in virtual time.
type simulation struct {
	random      *rand.Rand
	defect      injectedDefect
	now         time.Duration
	queue       eventQueue
	eventCount  int
	replicas    []*simReplica
	blocked     map[[2]int]bool
	faultsEnded bool
	checker     *invariantChecker
	meters      *groupMeters
	lostDisks   int
	// suspends adds suspensions of machines to the faults.
	suspends bool
	// losesPower adds the loss of power of all replicas at once, and of one disk at
	// the same moment.
	losesPower bool
	// pollers are called after each tick of a replica until they return true.
	// sparePollers is the buffer for the next list of pollers.
	pollers      []func() bool
	sparePollers []func() bool
}

// event is a function scheduled at a virtual time. Events of the same time run
// in the order in which they were scheduled.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simReplica is the process and the disk of a replica.
type simReplica struct {
	sim        *simulation
	number     int
	label      string
	disk       *fakeDisk
	group      *group
	engine     *engine
	clockRate  float64
	id         consensus.ID
	generation int
	// diskLost reports that the disk was lost and its replacement is not in use
	// yet.
	diskLost     bool
	checkedIndex uint64
	// suspendedAt is when the current suspension began, if isSuspended is set;
	// suspendedFor is the total of the earlier ones. waitingJobs arrived meanwhile.
	isSuspended  bool
	suspendedAt  time.Duration
	suspendedFor time.Duration
	waitingJobs  []job
}

var sharedMeters = newMeters(prometheus.NewRegistry()).group("test")

// simulationStart is the start of virtual time.
var simulationStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// maxClockDrift bounds the deviation of each clock's rate, as a fraction. Two
// clocks then differ by less than the 10 % that leases allow for.
const maxClockDrift = 0.045

func newSimulation(seed uint64, size int, d injectedDefect) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 5)), defect: d, blocked: map[[2]int]bool{}, checker: newInvariantChecker(), meters: sharedMeters}
	drift := maxClockDrift
	if d.excessiveDrift {
		drift = 0.8
	}
	for i := range size {
		s := &simReplica{sim: sim, number: i, label: fmt.Sprintf("replica-%d", i), clockRate: 1 + drift*(2*sim.random.Float64()-1)}
		s.disk = newFakeDisk(sim.random)
		s.disk.skipsSync = d.skipsSync
		sim.replicas = append(sim.replicas, s)
		s.start()
		s.tick()
	}
	members := []consensus.Member{}
	for _, s := range sim.replicas {
		members = append(members, s.member())
	}
	sim.replicas[0].handle(func(e *engine) { e.bootstrap(state.New(), members) })
	return sim
}

func (sim *simulation) schedule(d time.Duration, f func()) {
	sim.eventCount++
	heap.Push(&sim.queue, &event{at: sim.now + d, order: sim.eventCount, do: f})
}

func (sim *simulation) randomDuration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(sim.random.Int64N(int64(hi-lo)))
}

func (sim *simulation) chance(p float64) bool { return sim.random.Float64() < p }

// run processes events until a virtual time or the first violation.
func (sim *simulation) run(until time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until && sim.checker.violation == "" {
		next := heap.Pop(&sim.queue).(*event)
		sim.now = next.at
		next.do()
	}
	sim.now = until
}

func (s *simReplica) name() string { return s.label }

func (s *simReplica) member() consensus.Member {
	return consensus.Member{ID: s.id, Name: s.name(), Address: s.name()}
}

// sinceBoot returns the time by the replica's drifting clock.
func (s *simReplica) sinceBoot() time.Duration {
	return time.Duration(float64(s.sim.now) * s.clockRate)
}

// steady returns the time of a clock that stands still while the replica is
// suspended.
func (s *simReplica) steady() time.Duration {
	return time.Duration(float64(s.sim.now-s.suspendedFor) * s.clockRate)
}

func (s *simReplica) clocks() clocks {
	return clocks{
		steady: s.steady, sinceBoot: s.sinceBoot,
		timeOfDay: func() time.Time { return simulationStart.Add(s.sinceBoot()) },
	}
}

// start starts the process by opening the log; after a failure it restarts
// later.
func (s *simReplica) start() {
	s.generation++
	set := &settings.Settings{Name: s.name(), Addresses: settings.Addresses{Peers: s.name()}}
	g := newGroup(port.GroupMain, set, s.disk, s, zap.NewNop())
	g.clocks = s.clocks()
	g.random = s.sim.random.Uint64N
	g.newID = func() consensus.ID { return consensus.ID(s.sim.random.Uint64() | 1) }
	if s.sim.defect.reusesID && s.id != 0 {
		g.newID = func() consensus.ID { return s.id }
	}
	g.spawn = func(f func()) { f() }
	g.events = s
	g.meters = s.sim.meters
	g.limits = limits{
		maxSegmentBytes: 2000, snapshotThresholdEntries: 60, snapshotThresholdBytes: 1 << 20, retainedEntries: 10,
		maxChunkBytes: 700, maxAppendBytes: 300, leaseDurationTicks: leaseDurationTicks, leaseExpiryTimeout: leaseExpiryTimeout,
	}
	if s.sim.defect.earlyExpiry {
		g.limits.leaseExpiryTimeout = port.LeaseTTL / 3
	}
	s.group = g
	e, err := openEngine(g)
	if err != nil {
		s.handleStop(err)
		return
	}
	s.engine = e
	s.id = e.log.Identity().ID
	s.diskLost = false
	s.checkedIndex = e.node.Status().CommitIndex
}

// handleStop ends the process and schedules its restart. After a crash the disk
// discards unsynced data; any other error except errRestart is a violation.
func (s *simReplica) handleStop(err error) {
	s.engine = nil
	s.generation++
	delay := s.sim.randomDuration(50*time.Millisecond, 2*time.Second)
	if err == errRestart {
		delay = time.Millisecond
	}
	if s.disk.crashed {
		s.disk.crash()
	} else if err != errRestart && err != errCrashed && !s.disk.hasBeenFull {
		s.sim.checker.fail("%s does not start: %v", s.name(), err)
	}
	generation := s.generation
	s.sim.schedule(delay, func() {
		if s.generation == generation {
			s.start()
		}
	})
}

func (s *simReplica) crash() {
	s.disk.crashed = true
	s.handleStop(errCrashed)
}

// loseDisk replaces the disk by an empty one and crashes the process.
func (s *simReplica) loseDisk() {
	s.diskLost = true
	skipsSync := s.disk.skipsSync
	s.disk = newFakeDisk(s.sim.random)
	s.disk.skipsSync = skipsSync
	s.disk.crashed = true
	s.handleStop(errCrashed)
}

// handle runs a job like the engine's loop.
func (s *simReplica) handle(j job) {
	if s.engine == nil {
		return
	}
	if s.isSuspended {
		s.waitingJobs = append(s.waitingJobs, j)
		return
	}
	e := s.engine
	e.runJob(j)
	e.proposePending()
	err := e.processEffects()
	select {
	case done := <-e.snapshot.done:
		if done.err == nil {
			e.compactLog(done)
		}
	default:
	}
	if err == nil {
		err = e.restartErr
	}
	if s.disk.crashed {
		err = errCrashed
	}
	if err != nil {
		s.handleStop(err)
		return
	}
	s.sim.checker.checkReplica(s)
}

// runPollers calls the pollers and keeps those that are not done.
func (sim *simulation) runPollers() {
	pollers := sim.pollers
	sim.pollers = sim.sparePollers[:0]
	for _, f := range pollers {
		if !f() {
			sim.pollers = append(sim.pollers, f)
		}
	}
	sim.sparePollers = pollers
}

func (s *simReplica) tick() {
	if !s.isSuspended {
		s.handle((*engine).tick)
	}
	s.sim.runPollers()
	if s.engine != nil && !s.isSuspended && (len(s.engine.node.Members()) == 0 || s.wasRemoved()) {
		s.join()
	}
	s.sim.schedule(tickInterval+s.sim.randomDuration(0, 3*time.Millisecond), s.tick)
}

// wasRemoved reports, like joiner, whether another replica that is not behind this one
// lists it no more: the change that added it may have been lost with its leader.
func (s *simReplica) wasRemoved() bool {
	own := s.engine.node.Status()
	for _, other := range s.sim.replicas {
		if own.Role == consensus.Leader || other == s || other.engine == nil || other.isSuspended || s.sim.blocked[[2]int{s.number, other.number}] {
			continue
		}
		st := other.engine.node.Status()
		if st.Term >= own.Term && st.CommitIndex >= own.CommitIndex && len(st.Members) > 0 {
			return !slices.ContainsFunc(st.Members, func(m consensus.Member) bool { return m.ID == own.ID })
		}
	}
	return false
}

// join asks the other replicas to add this one, like joiner.
func (s *simReplica) join() {
	for _, other := range s.sim.replicas {
		if other != s && !s.sim.blocked[[2]int{s.number, other.number}] {
			m := s.member()
			other.handle(func(e *engine) { _, _ = e.changeMember(m) })
		}
	}
}

// send implements sender. It delays, drops, duplicates and reorders messages.
func (s *simReplica) send(_, address string, m consensus.Message) {
	b := consensus.EncodeMessage(m)
	copies := 1
	if !s.sim.faultsEnded && s.sim.chance(0.03) {
		copies = s.sim.random.IntN(3)
	}
	for range copies {
		delay := s.sim.randomDuration(time.Millisecond, 15*time.Millisecond)
		if !s.sim.faultsEnded && s.sim.chance(0.02) {
			delay = s.sim.randomDuration(0, 900*time.Millisecond)
		}
		s.sim.schedule(delay, func() { s.sim.deliver(s.number, address, b) })
	}
}

func (sim *simulation) deliver(from int, address string, b []byte) {
	for _, to := range sim.replicas {
		if to.name() != address || sim.blocked[[2]int{from, to.number}] {
			continue
		}
		m, err := consensus.DecodeMessage(b)
		if err != nil {
			sim.checker.fail("message can't be decoded: %v", err)
			return
		}
		to.handle(func(e *engine) { e.node.Step(m) })
	}
}

func (s *simReplica) recordAddress(consensus.ID, string) {}

// address implements sender; it also finds replicas that are not members yet.
func (s *simReplica) address(id consensus.ID) string {
	for _, other := range s.sim.replicas {
		if other.id == id {
			return other.name()
		}
	}
	return ""
}

// Record implements port.Events.
func (s *simReplica) Record(promise.Event) {}

// leader returns the leader of the newest term, or nil.
func (sim *simulation) leader() *simReplica {
	best := (*simReplica)(nil)
	for _, s := range sim.replicas {
		if s.engine == nil || s.engine.node.Status().Role != consensus.Leader {
			continue
		}
		if best == nil || s.engine.node.Status().Term > best.engine.node.Status().Term {
			best = s
		}
	}
	return best
}
