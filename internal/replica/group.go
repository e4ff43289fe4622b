package replica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/consensus"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
	"github.com/verbenastep/verbenastep/internal/wal"
)

const (
	// queuedJobs bounds calls that wait for the group's loop.
	queuedJobs = 4096
	// reopenPause is the wait before a failed log is read anew.
	reopenPause = time.Second
	// handOverTime bounds a leadership transfer at shutdown.
	handOverTime = 1500 * time.Millisecond
)

var (
	errStopped = errors.New("the replica is stopping; ask another replica")
	errReset   = errors.New("the replica's log was read anew meanwhile; look up what became of the command")
)

// job runs in the group's loop.
type job func(e *engine)

// sender carries messages to other replicas; it must not block.
type sender interface {
	send(group, address string, m consensus.Message)
	learn(id consensus.ID, address string)
	address(id consensus.ID) string
}

// group is one replicated log. Its engine is made anew after a disk failure;
// the state machine is what the last engine applied.
type group struct {
	name   string
	set    *settings.Settings
	log    *zap.Logger
	disk   wal.Disk
	sender sender
	events port.Events
	meters *groupMeters
	// now, random, newID and spawn are the outside world, for tests to replace.
	now    func() time.Time
	random func(n uint64) uint64
	newID  func() consensus.ID
	spawn  func(func())
	limits limits
	jobs   chan job
	stop   chan struct{}
	once   sync.Once
	done   sync.WaitGroup

	mu      sync.Mutex
	machine *state.Machine
	// applied is the log index that the machine has reached.
	applied uint64
	// changed is closed at the next change that watchers may want.
	changed chan struct{}
	// leaseAt and suspectAt are the indexes of the last changes.
	leaseAt   map[string]uint64
	suspectAt uint64
	status    consensus.Status
	failure   error
}

// limits are the sizes and times that tests make small.
type limits struct {
	segmentBytes    int
	snapshotEntries uint64
	snapshotBytes   int
	tailEntries     uint64
	chunkBytes      uint64
	appendBytes     int
	leaseTicks      uint64
	// syncEach makes each entry wait for a write and sync of its own.
	syncEach    bool
	expireAfter time.Duration
}

func defaultLimits() limits {
	return limits{
		segmentBytes: segmentBytes, snapshotEntries: snapshotEntries, snapshotBytes: snapshotBytes, tailEntries: tailEntries,
		chunkBytes: chunkBytes, appendBytes: appendBytes, leaseTicks: leaseTicks, expireAfter: expireAfter,
	}
}

func newGroup(name string, set *settings.Settings, disk wal.Disk, out sender, log *zap.Logger) *group {
	return &group{
		name: name, set: set, disk: disk, sender: out, log: log.With(zap.String("group", name)),
		now: time.Now, random: mathrand.Uint64N, newID: newID, spawn: func(f func()) { go f() }, limits: defaultLimits(),
		jobs: make(chan job, queuedJobs), stop: make(chan struct{}),
		machine: state.New(), changed: make(chan struct{}), leaseAt: map[string]uint64{},
	}
}

// newID returns a random ID for a fresh data folder.
func newID() consensus.ID {
	b := [8]byte{}
	_, _ = rand.Read(b[:])
	return consensus.ID(binary.LittleEndian.Uint64(b[:]) | 1)
}

// start opens the log; what is wrong with the data folder shows at once.
func (g *group) start() error {
	e, err := openEngine(g)
	if err != nil {
		return err
	}
	g.done.Go(func() { g.run(e) })
	return nil
}

// run keeps an engine going until the group is closed.
func (g *group) run(e *engine) {
	for {
		err := e.loop()
		e.close()
		if err == nil {
			return
		}
		g.fail(err)
		e = g.reopen(errors.Is(err, errRestart))
		if e == nil {
			return
		}
		g.fail(nil)
	}
}

// reopen reads the log anew, again and again until that works.
func (g *group) reopen(now bool) *engine {
	for {
		pause := reopenPause
		if now {
			pause = 0
		}
		now = false
		select {
		case <-g.stop:
			return nil
		case <-time.After(pause):
		}
		e, err := openEngine(g)
		if err == nil {
			return e
		}
		g.fail(err)
	}
}

func (g *group) fail(err error) {
	g.mu.Lock()
	g.failure = err
	g.mu.Unlock()
	if err != nil && !errors.Is(err, errRestart) {
		g.log.Error("log stands still", zap.Error(err))
	}
}

func (g *group) health() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failure
}

// do runs a job in the loop.
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

// outcome is how a proposal ended.
type outcome struct {
	result state.Result
	index  uint64
	// refused says that the command was not and will not be committed by this
	// call; leader is where to go instead.
	refused bool
	leader  string
	err     error
}

// propose commits commands and waits until they are applied here.
func (g *group) propose(ctx context.Context, batch []*proposal) []outcome {
	out := make([]outcome, len(batch))
	err := error(nil)
	if !g.limits.syncEach {
		err = g.do(ctx, func(e *engine) {
			for _, p := range batch {
				e.take(p)
			}
		})
	}
	if g.limits.syncEach {
		err = g.each(ctx, batch)
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

// each gives the loop one command at a time.
func (g *group) each(ctx context.Context, batch []*proposal) error {
	for _, p := range batch {
		if err := g.do(ctx, func(e *engine) { e.take(p) }); err != nil {
			return err
		}
	}
	return nil
}

// readRetry is how long a read waits before it is asked for again, since reads
// are lost when leadership changes.
const readRetry = 300 * time.Millisecond

// read waits until the machine here has all that was committed before the call.
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
		case <-time.After(readRetry):
		case <-changed:
			// A new leader, or a commit that the read may have waited for.
		case <-ctx.Done():
			return ctx.Err()
		case <-g.stop:
			return errStopped
		}
	}
}

// handOver passes leadership on before a shutdown.
func (g *group) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTime)
	defer cancel()
	_ = g.do(ctx, func(e *engine) { e.transfer() })
	for ctx.Err() == nil {
		g.mu.Lock()
		leads := g.status.Role == consensus.Leader && len(g.status.Members) > 1
		g.mu.Unlock()
		if !leads {
			return
		}
		time.Sleep(tick)
	}
}

func (g *group) close() error {
	g.once.Do(func() { close(g.stop) })
	g.done.Wait()
	return nil
}

// report gives the position for operators.
func (g *group) report() port.ReplicaStatus {
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
