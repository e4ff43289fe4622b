package dispatch

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/sched"
	"github.com/verbenastep/verbenastep/internal/port"
)

const (
	// heartbeat is the longest pause between two batches on a session.
	heartbeat = 300 * time.Millisecond
	// sessionSilence ends a session that carries nothing.
	sessionSilence = 1200 * time.Millisecond
	// idleWake is the longest pause between two decisions.
	idleWake = 100 * time.Millisecond
	// outboxSize is how many batches may wait for a slow entry.
	outboxSize = 256
)

// pool runs one dispatcher.
type pool struct {
	name  string
	epoch uint64
	view  port.View
	log   *zap.Logger
	began time.Time
	wake  chan struct{}
	ctx   context.Context
	close context.CancelFunc

	mu       sync.Mutex
	core     *sched.Dispatcher
	until    time.Time
	sessions map[string]*session
}

// session is one entry's stream.
type session struct {
	out chan *rpc.GrantBatch
	end context.CancelFunc
}

func newPool(name, region string, epoch uint64, view port.View, log *zap.Logger) *pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &pool{
		name: name, epoch: epoch, view: view, log: log, began: time.Now(),
		wake: make(chan struct{}, 1), ctx: ctx, close: cancel,
		core: sched.New(sched.Params{Region: region}), sessions: map[string]*session{},
	}
}

func (p *pool) now() time.Duration {
	return time.Since(p.began)
}

func (p *pool) extend(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = until
}

func (p *pool) nudge() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run decides whenever something came in, and now and then by itself.
func (p *pool) run() {
	select {
	case <-time.After(settleTime):
	case <-p.ctx.Done():
	}
	timer := time.NewTimer(idleWake)
	defer timer.Stop()
	for p.ctx.Err() == nil {
		p.decide()
		timer.Reset(idleWake)
		select {
		case <-p.wake:
		case <-timer.C:
		case <-p.ctx.Done():
		}
	}
}

func (p *pool) decide() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().After(p.until) {
		return
	}
	now := p.now()
	decided := p.core.Decide(now)
	batches := map[string]*rpc.GrantBatch{}
	batch := func(entry string) *rpc.GrantBatch {
		if batches[entry] == nil {
			batches[entry] = &rpc.GrantBatch{Epoch: p.epoch, Upstreams: uint32(p.core.Live(now))}
		}
		return batches[entry]
	}
	for _, g := range decided.Grants {
		b := batch(g.ID.Entry)
		b.Grants = append(b.Grants, encodeGrant(g))
	}
	for _, r := range decided.Refusals {
		b := batch(r.ID.Entry)
		b.Refusals = append(b.Refusals, &rpc.Refusal{Id: r.ID.Number, Code: string(r.Code), RetryAfterMs: uint32(r.RetryAfter.Milliseconds()), Why: r.Why})
	}
	for entry, b := range batches {
		p.send(entry, b)
	}
}

func encodeGrant(g sched.Grant) *rpc.Grant {
	why, err := json.Marshal(g.Why)
	if err != nil {
		why = nil
	}
	return &rpc.Grant{Id: g.ID.Number, Upstream: g.Upstream, Address: g.Address, Incarnation: g.Incarnation, Why: why}
}

// send queues a batch for an entry. A session that can't keep up is ended; the
// entry then offers again what it still waits for.
func (p *pool) send(entry string, b *rpc.GrantBatch) {
	s, ok := p.sessions[entry]
	if !ok {
		return
	}
	select {
	case s.out <- b:
	default:
		s.end()
	}
}

// serve runs one entry's session until it ends or falls silent.
func (p *pool) serve(stream rpc.DRPCDispatch_SessionStream, first *rpc.EntryBatch) error {
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	s := &session{out: make(chan *rpc.GrantBatch, outboxSize), end: cancel}
	p.join(first, s)
	defer p.leave(first.Entry, s)
	in := make(chan *rpc.EntryBatch)
	go receive(ctx, stream, in, cancel)
	silence := time.NewTimer(sessionSilence)
	defer silence.Stop()
	for {
		select {
		case b := <-in:
			silence.Reset(sessionSilence)
			p.take(b)
		case b := <-s.out:
			if err := stream.Send(b); err != nil {
				return err
			}
		case <-time.After(heartbeat):
			if err := stream.Send(&rpc.GrantBatch{Epoch: p.epoch}); err != nil {
				return err
			}
		case <-silence.C:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

func receive(ctx context.Context, stream rpc.DRPCDispatch_SessionStream, in chan<- *rpc.EntryBatch, cancel context.CancelFunc) {
	defer cancel()
	for {
		b, err := stream.Recv()
		if err != nil {
			return
		}
		select {
		case in <- b:
		case <-ctx.Done():
			return
		}
	}
}

// join replaces all that is known of an entry by what it offers now.
func (p *pool) join(first *rpc.EntryBatch, s *session) {
	p.mu.Lock()
	if old, ok := p.sessions[first.Entry]; ok {
		old.end()
	}
	p.sessions[first.Entry] = s
	p.core.LoseEntry(first.Entry)
	p.mu.Unlock()
	p.take(first)
}

// leave forgets an entry whose session ended and did not return: what it ran
// is offered again when it comes back.
func (p *pool) leave(entry string, s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sessions[entry] == s {
		delete(p.sessions, entry)
		p.core.LoseEntry(entry)
	}
}

func (p *pool) take(b *rpc.EntryBatch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for _, u := range b.Upstreams {
		p.takeUpstream(now, u)
	}
	for _, o := range b.Offers {
		p.takeOffer(now, b.Entry, o)
	}
	for _, r := range b.Releases {
		p.takeRelease(now, b.Entry, r)
	}
	for _, id := range b.Cancels {
		p.core.Cancel(sched.ID{Entry: b.Entry, Number: id})
	}
	p.nudge()
}

func (p *pool) takeUpstream(now time.Duration, u *rpc.UpstreamState) {
	if u.Leaving {
		p.core.Leave(u.Name, u.Incarnation)
		return
	}
	err := p.core.Announce(now, sched.Upstream{
		Name: u.Name, Address: u.Address, Region: u.Region, DataCentre: u.DataCentre,
		Incarnation: u.Incarnation, Slots: int(u.Slots), Version: u.Version,
		Lease: time.Duration(u.LeaseMs) * time.Millisecond,
		Load:  sched.Load{Running: int(u.Running), Age: time.Duration(u.ReportAgeMs) * time.Millisecond},
	})
	if err != nil {
		p.log.Warn("announcement refused", zap.String("pool", p.name), zap.Error(err))
	}
}

func (p *pool) takeOffer(now time.Duration, entry string, o *rpc.Offer) {
	offer := sched.Offer{
		ID: sched.ID{Entry: entry, Number: o.Id}, Workspace: o.Workspace, Operation: o.Operation,
		PromptTokens: int(o.PromptTokens), MaxTokens: int(o.MaxTokens), Blocks: o.Blocks,
		Deadline: now + time.Duration(o.WaitMs)*time.Millisecond, Fingerprint: o.Fingerprint, Running: o.Running,
	}
	offer.Tier, offer.Weight = p.standing(o.Workspace)
	if err := p.core.Offer(now, offer); err != nil {
		p.log.Warn("offer refused", zap.String("pool", p.name), zap.Error(err))
	}
}

// standing returns a workspace's tier and weight; one that is not declared
// any more ranks below all tiers.
func (p *pool) standing(workspace string) (tier, weight int) {
	c := p.view.Snapshot().Config
	w, ok := c.Workspace(workspace)
	if !ok {
		return len(c.Tiers), 1
	}
	tier, _ = c.TierIndex(w.Tier)
	return tier, max(1, int(w.Weight))
}

func (p *pool) takeRelease(now time.Duration, entry string, r *rpc.Release) {
	err := p.core.Release(now, sched.Release{
		ID: sched.ID{Entry: entry, Number: r.Id}, Outcome: sched.Outcome(r.Outcome),
		Prefill: time.Duration(r.PrefillMs) * time.Millisecond, Decode: time.Duration(r.DecodeMs) * time.Millisecond,
		OutputTokens: int(r.OutputTokens), CachedTokens: int(r.CachedTokens),
	})
	if err != nil {
		p.log.Debug("release ignored", zap.String("pool", p.name), zap.Error(err))
	}
}

func (p *pool) dump() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	return struct {
		Epoch    uint64     `json:"epoch"`
		Sessions int        `json:"sessions"`
		State    sched.Dump `json:"state"`
	}{p.epoch, len(p.sessions), p.core.Dump(p.now())}
}
