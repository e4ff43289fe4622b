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
	// tick is the consensus clock's unit.
	tick = 30 * time.Millisecond
	// electionTicks, heartbeatTicks, leaseTicks and resendTicks: see
	// consensus.Options. Lease and election leave 10 % for the clocks' drift.
	electionTicks  = 12
	heartbeatTicks = 2
	leaseTicks     = 9
	resendTicks    = 6

	appendBytes      = 256 << 10
	inflight         = 64
	uncommittedBytes = 32 << 20
	chunkBytes       = 256 << 10
	segmentBytes     = 8 << 20

	// batchJobs bounds the jobs between two writes.
	batchJobs = 2048
)

// errRestart ends an engine so that the log is read anew.
var errRestart = errors.New("the log is read anew")

// proposal is a command on its way.
type proposal struct {
	command state.Command
	data    []byte
	term    uint64
	done    chan outcome
}

// readWaiter waits for the machine to reach an index.
type readWaiter struct {
	index uint64
	done  chan struct{}
}

// engine is one life of a group: from reading the log to closing it. It runs in
// one goroutine.
type engine struct {
	g     *group
	log   *wal.Log
	node  *consensus.Node
	began time.Time
	// machine is the group's; it is changed under the group's lock only.
	machine *state.Machine

	batch   []*proposal
	waiting map[uint64]*proposal
	asked   map[uint64]chan struct{}
	readID  uint64
	reads   []readWaiter

	lessor   lessor
	keeper   keeper
	snapshot snapshotter
	role     consensus.Role
	term     uint64
	leader   consensus.ID
	restart  error
}

func openEngine(g *group) (*engine, error) {
	l, saved, data, err := wal.Open(g.disk, g.name, g.set.Name, g.newID())
	if err != nil {
		return nil, err
	}
	l.SegmentBytes = g.limits.segmentBytes
	machine := state.New()
	if data != nil {
		err = machine.Restore(data)
	}
	if err != nil {
		_ = l.Close()
		return nil, err
	}
	e := &engine{g: g, log: l, began: g.now(), machine: machine, waiting: map[uint64]*proposal{}, asked: map[uint64]chan struct{}{}}
	e.snapshot.done = make(chan snapshotDone, 1)
	e.node = consensus.New(g.options(l.Identity().ID), saved, 0)
	e.publish(saved.Meta.Index)
	return e, nil
}

func (g *group) options(id consensus.ID) consensus.Options {
	return consensus.Options{
		ID: id, ElectionTimeoutTicks: electionTicks, HeartbeatIntervalTicks: heartbeatTicks, LeaseDurationTicks: g.limits.leaseTicks,
		ResendDelayTicks: resendTicks, MaxAppendBytes: g.limits.appendBytes, MaxInflightAppends: inflight,
		MaxUncommittedBytes: uncommittedBytes, ChunkBytes: g.limits.chunkBytes, Random: g.random,
	}
}

// publish gives readers the machine of a new engine or of a snapshot.
func (e *engine) publish(index uint64) {
	e.g.mu.Lock()
	defer e.g.mu.Unlock()
	e.g.machine = e.machine
	e.g.applied = index
	for name := range e.machine.Leases() {
		e.g.leaseAt[name] = index
	}
	e.g.suspectAt = index
	e.g.status = e.node.Status()
	e.g.wake()
}

// wake tells watchers; the lock is held.
func (g *group) wake() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (e *engine) advance() {
	e.node.Advance(uint64(e.g.now().Sub(e.began) / tick))
}

// loop serves until the group stops or the disk fails. All that came in while
// one batch was written makes the next: that is the group commit.
func (e *engine) loop() error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-e.g.stop:
			return nil
		case j := <-e.g.jobs:
			e.runJob(j)
			if !e.g.limits.syncEach {
				e.drain()
			}
		case done := <-e.snapshot.done:
			e.useSnapshot(done)
		case <-ticker.C:
			e.advance()
			e.housekeep()
		}
		e.flush()
		if err := e.settle(); err != nil {
			return err
		}
		if e.restart != nil {
			return e.restart
		}
	}
}

// runJob tells the node the time first: what a job asks was sent before it.
func (e *engine) runJob(j job) {
	e.advance()
	j(e)
}

func (e *engine) drain() {
	for range batchJobs {
		select {
		case j := <-e.g.jobs:
			e.runJob(j)
		default:
			return
		}
	}
}

// flush proposes the batch.
func (e *engine) flush() {
	batch := e.batch
	e.batch = nil
	if len(batch) == 0 {
		return
	}
	commands := make([][]byte, 0, len(batch))
	for _, p := range batch {
		commands = append(commands, p.data)
	}
	index, term, err := e.node.Propose(commands)
	for i, p := range batch {
		if err != nil {
			e.lessor.ended(p)
			p.done <- outcome{refused: true, leader: e.leaderAddress()}
			continue
		}
		p.term = term
		if old := e.waiting[index+uint64(i)]; old != nil {
			// Its entry is gone from this log, but may live on in another.
			e.lessor.ended(old)
			old.done <- outcome{err: errReset}
		}
		e.waiting[index+uint64(i)] = p
	}
}

// settle carries out effects until there are none.
func (e *engine) settle() error {
	for e.node.HasEffects() {
		eff := e.node.Effects()
		if err := e.perform(eff); err != nil {
			return err
		}
		e.node.MarkPersisted()
	}
	e.noteRole()
	return nil
}

func (e *engine) perform(eff consensus.Effects) error {
	e.sendAll(eff.MessagesBeforeSync)
	if eff.Snapshot != nil {
		if err := wal.WriteSnapshot(e.g.disk, *eff.Snapshot); err != nil {
			return err
		}
	}
	if eff.HasWrites() {
		began := time.Now()
		if err := e.log.Save(eff.Hard, eff.Entries); err != nil {
			return err
		}
		e.g.meters.sync.Observe(time.Since(began).Seconds())
	}
	if eff.Snapshot != nil {
		e.log.UseSnapshot(eff.Snapshot.Meta, eff.Snapshot.Meta.Index)
		if err := e.install(*eff.Snapshot); err != nil {
			return err
		}
	}
	e.sendAll(eff.MessagesAfterSync)
	e.applyAll(eff.Committed)
	for _, r := range eff.Reads {
		if done := e.asked[r.ID]; done != nil {
			delete(e.asked, r.ID)
			e.reads = append(e.reads, readWaiter{index: r.Index, done: done})
		}
	}
	e.answerReads()
	return nil
}

// install replaces the machine; proposals that the snapshot covers end without
// an answer.
func (e *engine) install(s consensus.Snapshot) error {
	machine := state.New()
	if err := machine.Restore(s.Data); err != nil {
		return err
	}
	e.machine = machine
	e.publish(s.Meta.Index)
	for index, p := range e.waiting {
		if index <= s.Meta.Index {
			delete(e.waiting, index)
			e.lessor.ended(p)
			p.done <- outcome{err: errReset}
		}
	}
	e.g.log.Info("snapshot installed", zap.Uint64("index", s.Meta.Index))
	return nil
}

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
			address = e.g.sender.address(m.To)
		}
		if m.Chunk != nil && !e.fill(m.Chunk) {
			continue
		}
		if address != "" {
			e.g.sender.send(e.g.name, address, m)
		}
	}
}

func (e *engine) fill(c *consensus.Chunk) bool {
	data, err := e.log.ReadSnapshot(c.Meta, c.Offset, c.Length)
	if err != nil {
		e.g.log.Warn("snapshot chunk could not be read", zap.Error(err))
		return false
	}
	c.Data = data
	return true
}

// take queues a command, or answers it without the log: the present holder's
// Acquire renews its lease while no other leader can exist.
func (e *engine) take(p *proposal) {
	// The role may have changed in this very batch.
	e.noteRole()
	a := p.command.Acquire
	applied := e.g.applied == e.node.CommitIndex()
	if a != nil && applied && e.node.HasLease() && e.lessor.renew(e.machine, a, e.g.now()) {
		p.done <- outcome{result: e.machine.Apply(p.command), index: e.g.applied}
		return
	}
	if role, _, _ := e.node.Position(); role != consensus.Leader {
		p.done <- outcome{refused: true, leader: e.leaderAddress()}
		return
	}
	p.term = e.term
	e.lessor.began(p)
	e.batch = append(e.batch, p)
}

func (e *engine) leaderAddress() string {
	_, _, leader := e.node.Position()
	for _, m := range e.node.Members() {
		if m.ID == leader && m.ID != e.log.Identity().ID {
			return m.Address
		}
	}
	return ""
}

func (e *engine) read(done chan struct{}) {
	e.readID++
	if e.node.Read(e.readID) == nil {
		e.asked[e.readID] = done
	}
	// Reads that were asked for long ago are lost, and their callers gone.
	delete(e.asked, e.readID-queuedJobs)
}

func (e *engine) answerReads() {
	kept := e.reads[:0]
	for _, r := range e.reads {
		if r.index > e.g.applied {
			kept = append(kept, r)
			continue
		}
		close(r.done)
	}
	e.reads = kept
}

// close ends what still waits: nobody can tell here whether it will commit.
func (e *engine) close() {
	if e.snapshot.busy {
		<-e.snapshot.done
	}
	for _, p := range e.batch {
		p.done <- outcome{refused: true}
	}
	for _, p := range e.waiting {
		p.done <- outcome{err: errReset}
	}
	_ = e.log.Close()
}
