package dispatch

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/core/quarantine"
	"github.com/verbenastep/verbenastep/core/sched"
	"github.com/verbenastep/verbenastep/internal/port"
)

const (
	// maxDecideInterval is the maximum time between two scheduling decisions.
	maxDecideInterval = 100 * time.Millisecond
	// resyncTimeout bounds how long a new dispatcher waits, before it grants, for
	// the live daemons to report the requests that they run.
	resyncTimeout = 1200 * time.Millisecond
	// resyncPollInterval is the interval at which a new dispatcher checks whether
	// all live daemons have reported.
	resyncPollInterval = 20 * time.Millisecond
)

// poolDeps are the parts of the daemon that a pool uses.
type poolDeps struct {
	region  string
	view    port.View
	members port.Members
	events  port.Events
	metrics *metrics
	log     *zap.Logger
	// elapsed is the clock that leases are measured by; see clock.SinceBoot.
	elapsed func() time.Duration
	// shareCrashCounts queues crash counts for the replicated log without blocking.
	shareCrashCounts func(pool string, changes []quarantine.Change)
}

// pool runs the dispatcher of one pool under one epoch of its lease.
type pool struct {
	poolDeps
	name      string
	epoch     uint64
	startedAt time.Time
	wake      chan struct{}
	ctx       context.Context
	close     context.CancelFunc

	mu sync.Mutex
	// dispatcher decides; its times are relative to startedAt.
	dispatcher *sched.Dispatcher
	// leaseEnd is when the lease ends by elapsed.
	leaseEnd time.Duration
	// resynced reports that the dispatcher may grant; see awaitResync.
	resynced bool
	// sessions holds the current session of each entry, by the string form of the
	// entry's port.Holder.
	sessions      map[string]*session
	configVersion uint64
}

func newPool(name string, epoch uint64, deps poolDeps) *pool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &pool{
		poolDeps: deps, name: name, epoch: epoch, startedAt: time.Now(), wake: make(chan struct{}, 1),
		ctx: ctx, close: cancel, dispatcher: sched.New(sched.Params{}), sessions: map[string]*session{},
	}
	p.configure()
	return p
}

func (p *pool) now() time.Duration {
	return time.Since(p.startedAt)
}

// extendLease sets the end of the lease, by elapsed.
func (p *pool) extendLease(end time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaseEnd = end
}

// stop ends the dispatcher and its right to act. Decisions that are queued for entries are
// not sent any more, so the lease may be released afterwards.
func (p *pool) stop() {
	p.extendLease(0)
	p.close()
}

// holdsLease reports whether the lease is still valid.
func (p *pool) holdsLease() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.elapsed() < p.leaseEnd
}

// run makes scheduling decisions until the lease ends: whenever a batch or a
// configuration arrives, and at least every maxDecideInterval.
func (p *pool) run() {
	defer p.close()
	p.awaitResync()
	timer := time.NewTimer(maxDecideInterval)
	defer timer.Stop()
	for p.ctx.Err() == nil && p.holdsLease() {
		changed := p.view.Changed()
		p.configure()
		p.decide()
		timer.Reset(maxDecideInterval)
		select {
		case <-p.wake:
		case <-changed:
		case <-timer.C:
		case <-p.ctx.Done():
		}
	}
}

// awaitResync waits until every live daemon has a session, and has thereby
// reported what it runs, or until resyncTimeout. Without it, a new dispatcher
// would grant slots that requests of its predecessor still occupy.
func (p *pool) awaitResync() {
	end := time.Now().Add(resyncTimeout)
	for time.Now().Before(end) && p.ctx.Err() == nil && !p.allDaemonsConnected() {
		select {
		case <-time.After(resyncPollInterval):
		case <-p.ctx.Done():
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resynced = true
}

// minResyncTime is the minimum wait before a new dispatcher grants; daemons
// discover each other and upstreams during it.
const minResyncTime = 300 * time.Millisecond

// allDaemonsConnected reports whether minResyncTime has passed and every live
// daemon has a session.
func (p *pool) allDaemonsConnected() bool {
	if p.now() < minResyncTime {
		return false
	}
	live := p.members.Live()
	p.mu.Lock()
	defer p.mu.Unlock()
	connected := map[string]bool{}
	for entry := range p.sessions {
		if h, ok := port.ParseHolder(entry); ok {
			connected[h.Name] = true
		}
	}
	for _, m := range live {
		if !connected[m.Name] {
			return false
		}
	}
	return true
}

// configure applies the configuration in force and the shared crash counts.
func (p *pool) configure() {
	snapshot := p.view.Snapshot()
	suspects := p.view.Suspects(p.name)
	p.mu.Lock()
	defer p.mu.Unlock()
	if snapshot.Version != p.configVersion || p.configVersion == 0 {
		p.configVersion = snapshot.Version
		p.dispatcher.Configure(schedParams(snapshot.Config, p.name, p.region))
	}
	p.dispatcher.SyncSuspects(p.now(), suspects)
}

// decide makes one round of decisions and sends them to the entries. It does
// nothing before the resync has ended or after the lease has.
func (p *pool) decide() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.resynced || p.elapsed() >= p.leaseEnd {
		return
	}
	now := p.now()
	decisions := p.dispatcher.Decide(now)
	batches := batchSet{pool: p, live: uint32(p.dispatcher.LiveUpstreams(now)), byEntry: map[string]*rpc.GrantBatch{}}
	p.recordEnded(decisions.Ended)
	for _, g := range decisions.Grants {
		b := batches.batchFor(g.ID.Entry)
		b.Grants = append(b.Grants, encodeGrant(g))
		p.metrics.recordGrant(p.name, g)
		p.recordEvent(promise.Grant, g.ID, g.Tier, g.Workspace, g.Upstream, "")
	}
	for _, r := range decisions.Refusals {
		batches.addRefusal(r)
	}
	for _, name := range decisions.LostUpstreams {
		p.events.Record(promise.Event{Kind: promise.Leave, Pool: p.name, Region: p.region, Upstream: name, Epoch: p.epoch})
	}
	if len(decisions.Suspects) > 0 {
		p.shareCrashCounts(p.name, decisions.Suspects)
	}
	p.metrics.setQueueLengths(p.name, p.dispatcher.QueuedByTier())
	batches.sendAll()
}

// batchSet collects the decisions of one round in a batch per entry.
type batchSet struct {
	pool *pool
	// live is the number of live upstreams that each batch reports.
	live    uint32
	byEntry map[string]*rpc.GrantBatch
}

func (s *batchSet) batchFor(entry string) *rpc.GrantBatch {
	b, ok := s.byEntry[entry]
	if !ok {
		b = &rpc.GrantBatch{Epoch: s.pool.epoch, Upstreams: s.live}
		s.byEntry[entry] = b
	}
	return b
}

func (s *batchSet) addRefusal(r sched.Refusal) {
	b := s.batchFor(r.ID.Entry)
	b.Refusals = append(b.Refusals, encodeRefusal(r))
	s.pool.metrics.recordRefusal(s.pool.name, r)
	if r.Code == sched.Overloaded {
		s.pool.recordEvent(promise.Shed, r.ID, r.Tier, r.Workspace, "", string(r.Code))
	}
}

func (s *batchSet) sendAll() {
	for entry, b := range s.byEntry {
		s.pool.send(entry, b)
	}
}

// recordEnded records the requests that left the queue or their slot.
func (p *pool) recordEnded(all []sched.Ended) {
	for _, e := range all {
		p.recordEvent(promise.Release, e.ID, e.Tier, e.Workspace, e.Upstream, "")
	}
}

func (p *pool) recordEvent(kind promise.Kind, id sched.ID, tier int, workspace, upstream, code string) {
	p.events.Record(promise.Event{
		Kind: kind, Offer: offerName(id), Pool: p.name, Region: p.region, Tier: tier,
		Workspace: workspace, Upstream: upstream, Code: code, Epoch: p.epoch,
	})
}

// dump returns the dispatcher's state, for operators.
func (p *pool) dump() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	return struct {
		Epoch    uint64     `json:"epoch"`
		Settled  bool       `json:"settled"`
		Sessions int        `json:"sessions"`
		State    sched.Dump `json:"state"`
	}{p.epoch, p.resynced, len(p.sessions), p.dispatcher.Dump(p.now())}
}
