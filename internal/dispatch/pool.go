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
	// idleWake is the longest pause between two decisions.
	idleWake = 100 * time.Millisecond
	// settleTime is the longest that a new dispatcher waits for the live
	// daemons to offer again what runs, before it grants.
	settleTime = 1200 * time.Millisecond
	// settleStep is how often it looks whether all have.
	settleStep = 20 * time.Millisecond
)

// place is what a pool needs of its daemon.
type place struct {
	region  string
	view    port.View
	members port.Members
	events  port.Events
	metrics *metrics
	log     *zap.Logger
	// share passes crash counts on to the replicated log; it must not block.
	share func(pool string, changes []quarantine.Change)
}

// pool runs one dispatcher.
type pool struct {
	place
	name  string
	epoch uint64
	began time.Time
	wake  chan struct{}
	ctx   context.Context
	close context.CancelFunc

	mu       sync.Mutex
	core     *sched.Dispatcher
	until    time.Time
	settled  bool
	sessions map[string]*session
	version  uint64
}

func newPool(name string, epoch uint64, at place) *pool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &pool{
		place: at, name: name, epoch: epoch, began: time.Now(), wake: make(chan struct{}, 1),
		ctx: ctx, close: cancel, core: sched.New(sched.Params{}), sessions: map[string]*session{},
	}
	p.configure()
	return p
}

func (p *pool) now() time.Duration {
	return time.Since(p.began)
}

// extend moves the end of the lease, on this daemon's monotonic clock.
func (p *pool) extend(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = until
}

// holds says whether the lease has not run out.
func (p *pool) holds() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.until)
}

// run decides whenever something came in, and now and then by itself, until
// the lease runs out.
func (p *pool) run() {
	defer p.close()
	p.settle()
	timer := time.NewTimer(idleWake)
	defer timer.Stop()
	for p.ctx.Err() == nil && p.holds() {
		changed := p.view.Changed()
		p.configure()
		p.decide()
		timer.Reset(idleWake)
		select {
		case <-p.wake:
		case <-changed:
		case <-timer.C:
		case <-p.ctx.Done():
		}
	}
}

// settle waits until every live daemon has offered again what it runs, or for
// the longest time.
func (p *pool) settle() {
	end := time.Now().Add(settleTime)
	for time.Now().Before(end) && p.ctx.Err() == nil && !p.heardAll() {
		select {
		case <-time.After(settleStep):
		case <-p.ctx.Done():
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settled = true
}

// settleLeast is the shortest time to settle: daemons learn of each other and
// of upstreams meanwhile.
const settleLeast = 300 * time.Millisecond

func (p *pool) heardAll() bool {
	if p.now() < settleLeast {
		return false
	}
	live := p.members.Live()
	p.mu.Lock()
	defer p.mu.Unlock()
	heard := map[string]bool{}
	for entry := range p.sessions {
		if h, ok := port.ParseHolder(entry); ok {
			heard[h.Name] = true
		}
	}
	for _, m := range live {
		if !heard[m.Name] {
			return false
		}
	}
	return true
}

// configure takes over the configuration in force and the shared suspects.
func (p *pool) configure() {
	snap := p.view.Snapshot()
	suspects := p.view.Suspects(p.name)
	p.mu.Lock()
	defer p.mu.Unlock()
	if snap.Version != p.version || p.version == 0 {
		p.version = snap.Version
		p.core.Configure(params(snap.Config, p.name, p.region))
	}
	p.core.SyncSuspects(p.now(), suspects)
}

// decide sends out what the core decides, while the lease holds.
func (p *pool) decide() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.settled || !time.Now().Before(p.until) {
		return
	}
	now := p.now()
	decided := p.core.Decide(now)
	batches := batchSet{pool: p, live: uint32(p.core.LiveUpstreams(now)), byEntry: map[string]*rpc.GrantBatch{}}
	p.ended(decided.Ended)
	for _, g := range decided.Grants {
		b := batches.of(g.ID.Entry)
		b.Grants = append(b.Grants, encodeGrant(g))
		p.metrics.granted(p.name, g)
		p.event(promise.Grant, g.ID, g.Tier, g.Workspace, g.Upstream, "")
	}
	for _, r := range decided.Refusals {
		batches.refuse(r)
	}
	for _, name := range decided.LostUpstreams {
		p.events.Record(promise.Event{Kind: promise.Leave, Pool: p.name, Region: p.region, Upstream: name, Epoch: p.epoch})
	}
	if len(decided.Suspects) > 0 {
		p.share(p.name, decided.Suspects)
	}
	p.metrics.queued(p.name, p.core.QueuedByTier())
	batches.send()
}

// batchSet collects one batch for each entry.
type batchSet struct {
	pool    *pool
	live    uint32
	byEntry map[string]*rpc.GrantBatch
}

func (s *batchSet) of(entry string) *rpc.GrantBatch {
	b, ok := s.byEntry[entry]
	if !ok {
		b = &rpc.GrantBatch{Epoch: s.pool.epoch, Upstreams: s.live}
		s.byEntry[entry] = b
	}
	return b
}

func (s *batchSet) refuse(r sched.Refusal) {
	b := s.of(r.ID.Entry)
	b.Refusals = append(b.Refusals, encodeRefusal(r))
	s.pool.metrics.refused(s.pool.name, r)
	if r.Code == sched.Overloaded {
		s.pool.event(promise.Shed, r.ID, r.Tier, r.Workspace, "", string(r.Code))
	}
}

func (s *batchSet) send() {
	for entry, b := range s.byEntry {
		s.pool.send(entry, b)
	}
}

// ended records requests that left the queue or their slot.
func (p *pool) ended(all []sched.Ended) {
	for _, e := range all {
		p.event(promise.Release, e.ID, e.Tier, e.Workspace, e.Upstream, "")
	}
}

func (p *pool) event(kind promise.Kind, id sched.ID, tier int, workspace, upstream, code string) {
	p.events.Record(promise.Event{
		Kind: kind, Offer: offerName(id), Pool: p.name, Region: p.region, Tier: tier,
		Workspace: workspace, Upstream: upstream, Code: code, Epoch: p.epoch,
	})
}

// dump shows the dispatcher's state.
func (p *pool) dump() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	return struct {
		Epoch    uint64     `json:"epoch"`
		Settled  bool       `json:"settled"`
		Sessions int        `json:"sessions"`
		State    sched.Dump `json:"state"`
	}{p.epoch, p.settled, len(p.sessions), p.core.Dump(p.now())}
}
