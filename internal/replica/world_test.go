package replica

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/consensus"
	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// defect is a fault put into the code under test, to show that the checks see
// it.
type defect struct {
	lyingSync  bool
	keepsID    bool
	wildClocks bool
	earlyLapse bool
}

// world drives engines over fake disks and a fake network in virtual time.
type world struct {
	random *rand.Rand
	defect defect
	now    time.Duration
	queue  events
	order  int
	sites  []*site
	cut    map[[2]int]bool
	quiet  bool
	check  *checks
	meters *groupMeters
	lost   int
	// waiting are looked at after each step of a replica, until they return
	// true.
	waiting []func() bool
	spare   []func() bool
}

// event is something due.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []*event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *events) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// site is one replica's process and disk.
type site struct {
	w      *world
	number int
	label  string
	disk   *fakeDisk
	group  *group
	engine *engine
	rate   float64
	id     consensus.ID
	life   int
	// emptied says that the disk was lost and no new one is in use yet.
	emptied bool
	checked uint64
}

var sharedMeters = newMeters(prometheus.NewRegistry()).group("test")

// epoch is when virtual time begins.
var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// drift is how far each clock's rate is from the true one, at most. Two clocks
// then differ by less than the 10 % that leases allow for.
const drift = 0.045

func newWorld(seed uint64, size int, d defect) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 5)), defect: d, cut: map[[2]int]bool{}, check: newChecks(), meters: sharedMeters}
	off := drift
	if d.wildClocks {
		off = 0.8
	}
	for i := range size {
		s := &site{w: w, number: i, label: fmt.Sprintf("replica-%d", i), rate: 1 + off*(2*w.random.Float64()-1)}
		s.disk = newFakeDisk(w.random)
		s.disk.lies = d.lyingSync
		w.sites = append(w.sites, s)
		s.start()
		s.tick()
	}
	members := []consensus.Member{}
	for _, s := range w.sites {
		members = append(members, s.member())
	}
	w.sites[0].handle(func(e *engine) { e.begin(state.New(), members) })
	return w
}

func (w *world) after(d time.Duration, f func()) {
	w.order++
	heap.Push(&w.queue, &event{at: w.now + d, order: w.order, do: f})
}

func (w *world) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(w.random.Int64N(int64(hi-lo)))
}

func (w *world) chance(p float64) bool { return w.random.Float64() < p }

// run goes on until a time or the first violation.
func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until && w.check.violation == "" {
		next := heap.Pop(&w.queue).(*event)
		w.now = next.at
		next.do()
	}
	w.now = until
}

func (s *site) name() string { return s.label }

func (s *site) member() consensus.Member {
	return consensus.Member{ID: s.id, Name: s.name(), Address: s.name()}
}

// clock is the site's own, which drifts.
func (s *site) clock() time.Time { return epoch.Add(time.Duration(float64(s.w.now) * s.rate)) }

// start opens the log; it tries again later where that fails.
func (s *site) start() {
	s.life++
	set := &settings.Settings{Name: s.name(), Addresses: settings.Addresses{Peers: s.name()}}
	g := newGroup(port.GroupMain, set, s.disk, s, zap.NewNop())
	g.now = s.clock
	g.random = s.w.random.Uint64N
	g.newID = func() consensus.ID { return consensus.ID(s.w.random.Uint64() | 1) }
	if s.w.defect.keepsID && s.id != 0 {
		g.newID = func() consensus.ID { return s.id }
	}
	g.spawn = func(f func()) { f() }
	g.events = s
	g.meters = s.w.meters
	g.limits = limits{
		segmentBytes: 2000, snapshotEntries: 60, snapshotBytes: 1 << 20, tailEntries: 10,
		chunkBytes: 700, appendBytes: 300, leaseTicks: leaseTicks, expireAfter: expireAfter,
	}
	if s.w.defect.earlyLapse {
		g.limits.expireAfter = port.LeaseTTL / 3
	}
	s.group = g
	e, err := openEngine(g)
	if err != nil {
		s.stopped(err)
		return
	}
	s.engine = e
	s.id = e.log.Identity().ID
	s.emptied = false
	s.checked = e.node.Status().CommitIndex
}

// stopped ends a life of the process; a crash takes the disk's unsynced bytes.
func (s *site) stopped(err error) {
	s.engine = nil
	s.life++
	pause := s.w.between(50*time.Millisecond, 2*time.Second)
	if err == errRestart {
		pause = time.Millisecond
	}
	if s.disk.crashed {
		s.disk.crash()
	} else if err != errRestart && err != errCrashed {
		s.w.check.fail("%s does not start: %v", s.name(), err)
	}
	life := s.life
	s.w.after(pause, func() {
		if s.life == life {
			s.start()
		}
	})
}

func (s *site) crash() {
	s.disk.crashed = true
	s.stopped(errCrashed)
}

// wipe loses the disk.
func (s *site) wipe() {
	s.emptied = true
	lies := s.disk.lies
	s.disk = newFakeDisk(s.w.random)
	s.disk.lies = lies
	s.disk.crashed = true
	s.stopped(errCrashed)
}

// handle runs a job as the loop does.
func (s *site) handle(j job) {
	if s.engine == nil {
		return
	}
	e := s.engine
	e.runJob(j)
	e.flush()
	err := e.settle()
	select {
	case done := <-e.snapshot.done:
		if done.err == nil {
			e.useSnapshot(done)
		}
	default:
	}
	if err == nil {
		err = e.restart
	}
	if s.disk.crashed {
		err = errCrashed
	}
	if err != nil {
		s.stopped(err)
		return
	}
	s.w.check.look(s)
}

func (w *world) sweep() {
	waiting := w.waiting
	w.waiting = w.spare[:0]
	for _, f := range waiting {
		if !f() {
			w.waiting = append(w.waiting, f)
		}
	}
	w.spare = waiting
}

func (s *site) tick() {
	s.handle(func(e *engine) { e.housekeep() })
	s.w.sweep()
	if s.engine != nil && len(s.engine.node.Members()) == 0 {
		s.join()
	}
	s.w.after(tick+s.w.between(0, 3*time.Millisecond), s.tick)
}

// join asks the leader, as the joiner does.
func (s *site) join() {
	for _, other := range s.w.sites {
		if other != s && !s.w.cut[[2]int{s.number, other.number}] {
			m := s.member()
			other.handle(func(e *engine) { _, _ = e.change(m) })
		}
	}
}

// send is the network: it delays, loses, repeats and reorders.
func (s *site) send(_, address string, m consensus.Message) {
	b := consensus.EncodeMessage(m)
	copies := 1
	if !s.w.quiet && s.w.chance(0.03) {
		copies = s.w.random.IntN(3)
	}
	for range copies {
		delay := s.w.between(time.Millisecond, 15*time.Millisecond)
		if !s.w.quiet && s.w.chance(0.02) {
			delay = s.w.between(0, 900*time.Millisecond)
		}
		s.w.after(delay, func() { s.w.deliver(s.number, address, b) })
	}
}

func (w *world) deliver(from int, address string, b []byte) {
	for _, to := range w.sites {
		if to.name() != address || w.cut[[2]int{from, to.number}] {
			continue
		}
		m, err := consensus.DecodeMessage(b)
		if err != nil {
			w.check.fail("message is not readable: %v", err)
			return
		}
		to.handle(func(e *engine) { e.node.Step(m) })
	}
}

func (s *site) learn(consensus.ID, string) {}

// address finds a replica that is no member yet.
func (s *site) address(id consensus.ID) string {
	for _, other := range s.w.sites {
		if other.id == id {
			return other.name()
		}
	}
	return ""
}

// Record takes no event.
func (s *site) Record(promise.Event) {}

// leader returns the site that leads the newest term.
func (w *world) leader() *site {
	best := (*site)(nil)
	for _, s := range w.sites {
		if s.engine == nil || s.engine.node.Status().Role != consensus.Leader {
			continue
		}
		if best == nil || s.engine.node.Status().Term > best.engine.node.Status().Term {
			best = s
		}
	}
	return best
}
