package replica

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/consensus"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/wal"
)

const (
	// tickInterval is the duration of one tick of the consensus clock.
	tickInterval = 30 * time.Millisecond
	// See consensus.Options for the times in ticks. The lease is
	// shorter than the election timeout by a margin for 10 % clock drift.
	electionTimeoutTicks   = 12
	heartbeatIntervalTicks = 2
	leaseDurationTicks     = 9
	resendDelayTicks       = 6

	// The following bounds are passed to consensus.Options, and maxSegmentBytes to
	// wal.Log.SegmentBytes.
	maxAppendBytes      = 256 << 10
	maxInflightAppends  = 64
	maxUncommittedBytes = 32 << 20
	maxChunkBytes       = 256 << 10
	maxSegmentBytes     = 8 << 20

	// maxJobsPerWrite bounds the jobs that run between two writes.
	maxJobsPerWrite = 2048
)

// errRestart ends an engine so that the log is reopened without delay.
var errRestart = errors.New("the log is read anew")

// proposal is a command that was submitted on this replica and whose outcome is
// not known yet.
type proposal struct {
	command state.Command
	data    []byte
	term    uint64
	done    chan outcome
}

// readWaiter is a read that waits until the machine has applied index.
type readWaiter struct {
	index uint64
	done  chan struct{}
}

// maxFirstReadID bounds the random number at which an engine's reads begin.
const maxFirstReadID = 1 << 62

// engine runs a group from opening the log to closing it. All its methods run in
// one goroutine.
type engine struct {
	group     *group
	log       *wal.Log
	node      *consensus.Node
	startedAt time.Duration
	// machine is shared with the group; it is only modified under the group's
	// lock.
	machine *state.Machine

	pendingProposals []*proposal
	proposalsByIndex map[uint64]*proposal
	readRequests     map[uint64]chan struct{}
	// lastReadID starts at a random number, since a reply to a read of an earlier
	// engine may still arrive.
	lastReadID  uint64
	readWaiters []readWaiter

	lessor      lessor
	maintenance maintenance
	snapshot    snapshotter
	role        consensus.Role
	term        uint64
	leader      consensus.ID
	restartErr  error
	// handsOver is set while the daemon stops: a leader tries to transfer its leadership with
	// each tick.
	handsOver bool
	// stops is set while the daemon stops: the replica announces it to the leader with each tick.
	stops bool
	delay loopDelay
}

// openEngine opens the log and restores the machine from the newest snapshot.
func openEngine(g *group) (*engine, error) {
	l, saved, data, err := wal.Open(g.disk, g.name, g.set.Name, g.newID())
	if err != nil {
		return nil, err
	}
	l.SegmentBytes = g.limits.maxSegmentBytes
	machine := state.New()
	if data != nil {
		err = machine.Restore(data)
	}
	if err != nil {
		_ = l.Close()
		return nil, err
	}
	e := &engine{group: g, log: l, startedAt: g.clocks.elapsed(), machine: machine, proposalsByIndex: map[uint64]*proposal{}, readRequests: map[uint64]chan struct{}{}, lastReadID: g.random(maxFirstReadID)}
	e.snapshot.done = make(chan snapshotResult, 1)
	e.node = consensus.New(g.options(l.Identity().ID), saved, 0)
	e.publishMachine(saved.Meta.Index)
	return e, nil
}

func (g *group) options(id consensus.ID) consensus.Options {
	return consensus.Options{
		ID: id, ElectionTimeoutTicks: electionTimeoutTicks, HeartbeatIntervalTicks: heartbeatIntervalTicks, LeaseDurationTicks: g.limits.leaseDurationTicks,
		ResendDelayTicks: resendDelayTicks, MaxAppendBytes: g.limits.maxAppendBytes, MaxInflightAppends: maxInflightAppends,
		MaxUncommittedBytes: maxUncommittedBytes, ChunkBytes: g.limits.maxChunkBytes, Random: g.random,
	}
}

// publishMachine makes the machine visible to readers and watchers after an
// engine has opened or a snapshot has been installed.
func (e *engine) publishMachine(index uint64) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	e.group.machine = e.machine
	e.group.applied = index
	for name := range e.machine.Leases() {
		e.group.leaseChangedAt[name] = index
	}
	e.group.suspectsChangedAt = index
	e.group.rolloutsChangedAt = index
	e.group.status = e.node.Status()
	e.group.notifyWatchers()
}

// notifyWatchers wakes all watchers and pending reads. The caller holds the
// lock.
func (g *group) notifyWatchers() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// setTime tells the node the current time in ticks, and returns it.
func (e *engine) setTime() uint64 {
	now := e.group.clocks.elapsed()
	e.recordDelay(now)
	ticks := uint64((now - e.startedAt) / tickInterval)
	e.node.SetTime(ticks)
	e.group.advancedAt.Store(int64(now))
	return ticks
}

// tick has the node act on timeouts, and runs the maintenance. The caller runs the
// queued jobs before.
func (e *engine) tick() {
	e.node.Advance(e.setTime())
	e.runMaintenance()
}

// loop runs jobs and ticks until the group is closed or an error requires that
// the log is reopened. Jobs that arrive during a write are handled together
// before the next one (group commit).
func (e *engine) loop() error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.group.stop:
			return nil
		case j := <-e.group.jobs:
			e.runJob(j)
			if !e.group.limits.syncEachEntry {
				e.runQueuedJobs()
			}
		case done := <-e.snapshot.done:
			e.compactLog(done)
		case <-ticker.C:
			if !e.group.limits.syncEachEntry {
				e.runQueuedJobs()
			}
			e.tick()
		}
		e.proposePending()
		if err := e.processEffects(); err != nil {
			return err
		}
		if e.restartErr != nil {
			return e.restartErr
		}
	}
}

// runJob runs a job at the present time. Timeouts wait until all queued jobs have
// run: these may bring what was waited for.
func (e *engine) runJob(j job) {
	e.setTime()
	j(e)
}

// runQueuedJobs runs the jobs that are already queued, up to maxJobsPerWrite.
func (e *engine) runQueuedJobs() {
	for range maxJobsPerWrite {
		select {
		case j := <-e.group.jobs:
			e.runJob(j)
		default:
			return
		}
	}
}

// proposePending proposes the pending proposals to the node in one call.
func (e *engine) proposePending() {
	proposals := e.pendingProposals
	e.pendingProposals = nil
	if len(proposals) == 0 {
		return
	}
	commands := make([][]byte, 0, len(proposals))
	for _, p := range proposals {
		commands = append(commands, p.data)
	}
	index, term, err := e.node.Propose(commands)
	for i, p := range proposals {
		if err != nil {
			e.lessor.proposalEnded(p)
			p.done <- outcome{refused: true, leaderAddress: e.leaderAddress()}
			continue
		}
		p.term = term
		if old := e.proposalsByIndex[index+uint64(i)]; old != nil {
			// Its entry was truncated here, but another replica's log may still
			// have it.
			e.lessor.proposalEnded(old)
			old.done <- outcome{err: errOutcomeLost}
		}
		e.proposalsByIndex[index+uint64(i)] = p
	}
}

// processEffects performs the effects of the node until there are none.
func (e *engine) processEffects() error {
	for e.node.HasEffects() {
		effects := e.node.Effects()
		if err := e.performEffects(effects); err != nil {
			return err
		}
		e.node.MarkPersisted()
	}
	e.updateRole()
	return nil
}

// performEffects performs one set of effects in the order that consensus.Effects
// requires. An error means that a write has failed.
func (e *engine) performEffects(effects consensus.Effects) error {
	e.sendAll(effects.MessagesBeforeSync)
	if effects.Snapshot != nil {
		if err := wal.WriteSnapshot(e.group.disk, *effects.Snapshot); err != nil {
			return err
		}
		if err := e.log.DiscardEntries(); err != nil {
			return err
		}
	}
	if effects.HasWrites() {
		start := time.Now()
		if err := e.log.Save(effects.Hard, effects.Entries); err != nil {
			return err
		}
		e.group.meters.sync.Observe(time.Since(start).Seconds())
	}
	if effects.Snapshot != nil {
		if err := e.log.UseSnapshot(effects.Snapshot.Meta, effects.Snapshot.Meta.Index); err != nil {
			return err
		}
		if err := e.installSnapshot(*effects.Snapshot); err != nil {
			return err
		}
	}
	e.sendAll(effects.MessagesAfterSync)
	e.applyCommitted(effects.Committed)
	for _, r := range effects.Reads {
		if done := e.readRequests[r.ID]; done != nil {
			delete(e.readRequests, r.ID)
			e.readWaiters = append(e.readWaiters, readWaiter{index: r.Index, done: done})
		}
	}
	e.completeReads()
	return nil
}

// installSnapshot replaces the machine by that of the leader's snapshot. The
// outcome of proposals that the snapshot covers is unknown.
func (e *engine) installSnapshot(s consensus.Snapshot) error {
	machine := state.New()
	if err := machine.Restore(s.Data); err != nil {
		return err
	}
	e.machine = machine
	e.publishMachine(s.Meta.Index)
	for index, p := range e.proposalsByIndex {
		if index <= s.Meta.Index {
			delete(e.proposalsByIndex, index)
			e.lessor.proposalEnded(p)
			p.done <- outcome{err: errOutcomeLost}
		}
	}
	e.group.log.Info("snapshot installed", zap.Uint64("index", s.Meta.Index))
	return nil
}

// sendAll sends messages to the members that they address, or to the address
// that another replica was last heard from.
func (e *engine) sendAll(messages []consensus.Message) {
	if len(messages) == 0 {
		return
	}
	addresses := map[consensus.ID]string{}
	for _, m := range e.node.Members() {
		addresses[m.ID] = m.Address
	}
	for _, m := range messages {
		address := addresses[m.To]
		if address == "" {
			address = e.group.sender.address(m.To)
		}
		if m.Chunk != nil && !e.readChunk(m.Chunk) {
			continue
		}
		if address != "" {
			e.group.sender.send(e.group.name, address, m)
		}
	}
}

// readChunk reads the data of a snapshot chunk from disk. It returns false on
// error.
func (e *engine) readChunk(c *consensus.Chunk) bool {
	data, err := e.log.ReadSnapshot(c.Meta, c.Offset, c.Length)
	if err != nil {
		e.group.log.Warn("failed to read snapshot chunk", zap.Error(err))
		return false
	}
	c.Data = data
	return true
}

// submit adds a proposal to the pending ones, or refuses it if this replica
// does not lead. A lease renewal by the current holder is answered without a
// log entry while this leader's own lease excludes any other leader.
func (e *engine) submit(p *proposal) {
	// An earlier job of the same batch may have changed the role.
	e.updateRole()
	a := p.command.Acquire
	applied := e.group.applied == e.node.CommitIndex()
	if a != nil && applied && e.node.HasLease() && e.lessor.renew(e.machine, a, e.group.clocks.elapsed()) {
		p.done <- outcome{result: e.machine.Apply(p.command), index: e.group.applied}
		return
	}
	if role, _, _ := e.node.Position(); role != consensus.Leader {
		p.done <- outcome{refused: true, leaderAddress: e.leaderAddress()}
		return
	}
	p.term = e.term
	e.lessor.proposalStarted(p)
	e.pendingProposals = append(e.pendingProposals, p)
}

// leaderAddress returns the address of the leader, or "" if it is unknown or
// this replica.
func (e *engine) leaderAddress() string {
	_, _, leader := e.node.Position()
	for _, m := range e.node.Members() {
		if m.ID == leader && m.ID != e.log.Identity().ID {
			return m.Address
		}
	}
	return ""
}

// read requests a linearizable read; done is closed once the machine may be
// read.
func (e *engine) read(done chan struct{}) {
	e.lastReadID++
	if e.node.Read(e.lastReadID) == nil {
		e.readRequests[e.lastReadID] = done
	}
	// A request this old was lost in a leader change, and its caller has retried
	// or given up.
	delete(e.readRequests, e.lastReadID-maxQueuedJobs)
}

// completeReads completes the reads whose index has been applied.
func (e *engine) completeReads() {
	remaining := e.readWaiters[:0]
	for _, r := range e.readWaiters {
		if r.index > e.group.applied {
			remaining = append(remaining, r)
			continue
		}
		close(r.done)
	}
	e.readWaiters = remaining
}

// close closes the log and ends all proposals. Those that were already proposed
// to the node may still be committed by other replicas.
func (e *engine) close() {
	if e.snapshot.inProgress {
		<-e.snapshot.done
	}
	for _, p := range e.pendingProposals {
		p.done <- outcome{refused: true}
	}
	for _, p := range e.proposalsByIndex {
		p.done <- outcome{err: errOutcomeLost}
	}
	_ = e.log.Close()
}
