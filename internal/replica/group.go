package replica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	mathrand "math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/consensus"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
	"github.com/verbenastep/verbenastep/internal/wal"
)

const (
	// maxQueuedJobs bounds the jobs that wait for the group's loop.
	maxQueuedJobs = 4096
	// reopenDelay is the delay before a failed log is reopened.
	reopenDelay = time.Second
	// stopVotingTimeout bounds the leadership transfer and the demotion at shutdown.
	stopVotingTimeout = 1500 * time.Millisecond
)

var (
	errStopped     = errors.New("the replica is stopping; ask another replica")
	errOutcomeLost = errors.New("the replica reopened or replaced its log before the command was applied; look up whether it took effect")
)

// job is a function that the group's loop runs.
type job func(e *engine)

// sender sends messages to other replicas. Its methods must not block.
type sender interface {
	send(group, address string, m consensus.Message)
	// recordAddress stores the address that a replica last sent a message from.
	recordAddress(id consensus.ID, address string)
	// address returns the address of a replica, or "" if it is not known.
	address(id consensus.ID) string
}

// group is a replicated log and its state machine. Its engine is replaced after
// a disk failure; until then, readers see the machine of the failed engine.
type group struct {
	name   string
	set    *settings.Settings
	log    *zap.Logger
	disk   wal.Disk
	sender sender
	events port.Events
	meters *groupMeters
	// clocks, random, newID and spawn are replaced by tests to make runs
	// deterministic.
	clocks     clocks
	random     func(n uint64) uint64
	newID      func() consensus.ID
	spawn      func(func())
	limits     limits
	jobs       chan job
	stop       chan struct{}
	stopOnce   sync.Once
	goroutines sync.WaitGroup

	mu      sync.Mutex
	machine *state.Machine
	// applied is the index of the last entry applied to the machine.
	applied uint64
	// changed is closed and replaced by notifyWatchers.
	changed chan struct{}
	// leaseChangedAt holds the index of the last change of each lease,
	// suspectsChangedAt that of the suspects.
	leaseChangedAt    map[string]uint64
	suspectsChangedAt uint64
	// rolloutsChangedAt is the index of the last change of a rollout that is sent to
	// watchers, rolloutsSent what they get of each pool.
	rolloutsChangedAt uint64
	rolloutsSent      map[string]rolloutChange
	status            consensus.Status
	failure           error

	// advancedAt is the time up to which the node has acted, by clocks.elapsed.
	advancedAt atomic.Int64
}

// leads reports whether this replica leads. A leader whose loop has stood still for an election
// timeout steps down once it runs again, as others may have replaced it; until then it must not
// act as the leader. The caller holds the lock.
func (g *group) leads() bool {
	idle := g.clocks.elapsed() - time.Duration(g.advancedAt.Load())
	return g.status.Role == consensus.Leader && (idle < electionTimeoutTicks*tickInterval || len(g.status.Members) == 1)
}

// limits holds the sizes and times that tests reduce.
type limits struct {
	maxSegmentBytes          int
	snapshotThresholdEntries uint64
	snapshotThresholdBytes   int
	retainedEntries          uint64
	maxChunkBytes            uint64
	maxAppendBytes           int
	leaseDurationTicks       uint64
	// syncEachEntry writes and syncs each entry separately; see
	// Service.SyncEach.
	syncEachEntry      bool
	leaseExpiryTimeout time.Duration
}

func defaultLimits() limits {
	return limits{
		maxSegmentBytes: maxSegmentBytes, snapshotThresholdEntries: snapshotThresholdEntries, snapshotThresholdBytes: snapshotThresholdBytes, retainedEntries: retainedEntries,
		maxChunkBytes: maxChunkBytes, maxAppendBytes: maxAppendBytes, leaseDurationTicks: leaseDurationTicks, leaseExpiryTimeout: leaseExpiryTimeout,
	}
}

func newGroup(name string, set *settings.Settings, disk wal.Disk, out sender, log *zap.Logger) *group {
	return &group{
		name: name, set: set, disk: disk, sender: out, log: log.With(zap.String("group", name)),
		clocks: systemClocks(), random: mathrand.Uint64N, newID: newID, spawn: func(f func()) { go f() }, limits: defaultLimits(),
		jobs: make(chan job, maxQueuedJobs), stop: make(chan struct{}),
		machine: state.New(), changed: make(chan struct{}), leaseChangedAt: map[string]uint64{}, rolloutsSent: map[string]rolloutChange{},
	}
}

// newID returns a random nonzero ID for a new data folder.
func newID() consensus.ID {
	b := [8]byte{}
	_, _ = rand.Read(b[:])
	return consensus.ID(binary.LittleEndian.Uint64(b[:]) | 1)
}

// start opens the log and starts the group's loop. It returns an error if the
// data folder is unusable.
func (g *group) start() error {
	e, err := openEngine(g)
	if err != nil {
		return err
	}
	g.goroutines.Go(func() { g.run(e) })
	return nil
}

// run runs engines, one after another, until the group is closed.
func (g *group) run(e *engine) {
	for {
		err := e.loop()
		e.close()
		if err == nil {
			return
		}
		g.setFailure(err)
		e = g.reopen(errors.Is(err, errRestart))
		if e == nil {
			return
		}
		g.setFailure(nil)
	}
}

// reopen opens the log and retries after reopenDelay until that succeeds. The
// first attempt is made at once if now is set. It returns nil if the group is
// closed.
func (g *group) reopen(now bool) *engine {
	for {
		delay := reopenDelay
		if now {
			delay = 0
		}
		now = false
		select {
		case <-g.stop:
			return nil
		case <-time.After(delay):
		}
		e, err := openEngine(g)
		if err == nil {
			return e
		}
		g.setFailure(err)
	}
}

// setFailure stores the error that health and the status report; nil clears it.
func (g *group) setFailure(err error) {
	g.mu.Lock()
	g.failure = err
	g.mu.Unlock()
	if err != nil && !errors.Is(err, errRestart) {
		g.log.Error("group stopped, reopening its log", zap.Error(err))
	}
}

func (g *group) health() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failure
}

// do queues a job for the group's loop; it does not wait for the job to run.
func (g *group) do(ctx context.Context, j job) error {
	select {
	case g.jobs <- j:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-g.stop:
		return errStopped
	}
}

// outcome is the result of a proposal.
type outcome struct {
	result state.Result
	index  uint64
	// refused reports that this proposal has not been and will not be committed;
	// leaderAddress names the leader, if it is known.
	refused       bool
	leaderAddress string
	err           error
}

// propose submits commands and waits until each is applied on this replica,
// refused, or its outcome can't be known. The outcomes are in the order of the
// batch.
func (g *group) propose(ctx context.Context, batch []*proposal) []outcome {
	out := make([]outcome, len(batch))
	err := error(nil)
	if !g.limits.syncEachEntry {
		err = g.do(ctx, func(e *engine) {
			for _, p := range batch {
				e.submit(p)
			}
		})
	}
	if g.limits.syncEachEntry {
		err = g.submitEach(ctx, batch)
	}
	for i, p := range batch {
		if err != nil {
			out[i] = outcome{refused: true}
			continue
		}
		select {
		case out[i] = <-p.done:
		case <-ctx.Done():
			out[i] = outcome{err: ctx.Err()}
		case <-g.stop:
			out[i] = outcome{err: errStopped}
		}
	}
	return out
}

// submitEach submits each command in a job of its own, for limits.syncEachEntry.
func (g *group) submitEach(ctx context.Context, batch []*proposal) error {
	for _, p := range batch {
		if err := g.do(ctx, func(e *engine) { e.submit(p) }); err != nil {
			return err
		}
	}
	return nil
}

// readRetryInterval is the time after which a read is requested again, since
// reads in progress are lost when the leader changes.
const readRetryInterval = 300 * time.Millisecond

// read waits until the machine has applied every entry that was committed before
// the call.
func (g *group) read(ctx context.Context) error {
	for {
		g.mu.Lock()
		changed := g.changed
		g.mu.Unlock()
		done := make(chan struct{})
		if err := g.do(ctx, func(e *engine) { e.read(done) }); err != nil {
			return err
		}
		select {
		case <-done:
			return nil
		case <-time.After(readRetryInterval):
		case <-changed:
			// The leader may have changed, or the read may be ready: request it
			// again.
		case <-ctx.Done():
			return ctx.Err()
		case <-g.stop:
			return errStopped
		}
	}
}

// stopVoting transfers leadership to another replica and waits until the others
// do not need this one's vote, up to stopVotingTimeout.
func (g *group) stopVoting(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopVotingTimeout)
	defer cancel()
	if err := g.do(ctx, func(e *engine) { e.stops = true; e.handOver(true) }); err != nil {
		return
	}
	for ctx.Err() == nil {
		g.mu.Lock()
		s := g.status
		g.mu.Unlock()
		leads := s.Role == consensus.Leader && len(s.Members) > 1
		if !leads && !canLeaveVoters(s) {
			return
		}
		time.Sleep(tickInterval)
	}
	g.log.Warn("the replica stops while it leads or while its vote still counts", zap.Duration("after", stopVotingTimeout))
	// A transfer in progress holds up what callers propose.
	_ = g.do(context.WithoutCancel(ctx), func(e *engine) { e.handOver(false) })
}

// canLeaveVoters reports whether the replica is a voter that a leader demotes
// once it announces its stop, by the rule of nextMembers.
func canLeaveVoters(s consensus.Status) bool {
	voters := countVoters(s.Members)
	return voters > minFaultTolerantVoters && voters%2 == 0 &&
		slices.ContainsFunc(s.Members, func(m consensus.Member) bool { return m.ID == s.ID && !m.Learner })
}

func (g *group) close() error {
	g.stopOnce.Do(func() { close(g.stop) })
	g.goroutines.Wait()
	return nil
}

// statusReport returns the status for operators and other replicas.
func (g *group) statusReport() port.ReplicaStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.status
	version, _, _ := g.machine.Config()
	out := port.ReplicaStatus{
		Name: g.set.Name, Address: g.set.Addresses.Peers, Group: g.name, ID: uint64(s.ID), Role: s.Role.String(),
		Term: s.Term, Last: s.LastIndex, Committed: s.CommitIndex, Applied: g.applied, Version: version,
	}
	if len(s.Members) == 0 {
		out.Role = "new"
	}
	lag := map[consensus.ID]uint64{}
	for _, p := range s.Peers {
		lag[p.Member.ID] = s.LastIndex - min(p.MatchIndex, s.LastIndex)
	}
	for _, m := range s.Members {
		out.Members = append(out.Members, port.ReplicaMember{Name: m.Name, Address: m.Address, ID: uint64(m.ID), Learner: m.Learner, Lag: lag[m.ID]})
		if m.ID == s.Leader {
			out.Leader = m.Name
		}
	}
	if g.failure != nil {
		out.Error = g.failure.Error()
	}
	return out
}
