package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/core/sched"
	"github.com/verbenastep/verbenastep/internal/duplex"
	"github.com/verbenastep/verbenastep/internal/wait"
)

const (
	// heartbeatInterval is the maximum time between two batches on a session.
	heartbeatInterval = 300 * time.Millisecond
	// sessionTimeout ends a session on which nothing arrives.
	sessionTimeout = 1200 * time.Millisecond
	// maxOutbox is the maximum number of batches queued for a slow entry.
	maxOutbox = 256
)

// session is the sending side of one entry's stream.
type session struct {
	outbox chan *rpc.GrantBatch
	cancel context.CancelFunc
}

// send queues a batch for an entry. If the queue is full, the session is ended,
// and the entry offers its waiting requests again over a new session. The caller
// holds the pool's lock.
func (p *pool) send(entry string, b *rpc.GrantBatch) {
	s, ok := p.sessions[entry]
	if !ok {
		return
	}
	select {
	case s.outbox <- b:
	default:
		s.cancel()
	}
}

// stream is the part of the drpc stream that a session uses.
type stream interface {
	Send(*rpc.GrantBatch) error
	Recv() (*rpc.EntryBatch, error)
}

// serve runs one entry's session until its stream breaks, nothing arrives for
// sessionTimeout, or the pool closes.
func (p *pool) serve(stream stream, first *rpc.EntryBatch) error {
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	s := &session{outbox: make(chan *rpc.GrantBatch, maxOutbox), cancel: cancel}
	p.resyncEntry(first, s)
	defer p.removeSession(first.Entry, s)
	return duplex.Server[*rpc.EntryBatch, *rpc.GrantBatch]{
		Recv: stream.Recv, Send: func(b *rpc.GrantBatch) error { return p.sendUnderLease(stream, b) }, Outgoing: s.outbox,
		HeartbeatInterval: heartbeatInterval, IdleTimeout: sessionTimeout, NewHeartbeat: func() (*rpc.GrantBatch, bool) { return &rpc.GrantBatch{Epoch: p.epoch}, true },
		Handle: func(b *rpc.EntryBatch) { p.applyBatch(first.Entry, s, b) },
	}.Run(ctx)
}

// sendUnderLease sends a batch only while the lease is valid, so that decisions
// of a dispatcher that lost its lease never reach an entry.
func (p *pool) sendUnderLease(stream stream, b *rpc.GrantBatch) error {
	if !p.holdsLease() {
		return context.DeadlineExceeded
	}
	return stream.Send(b)
}

// resyncEntry replaces the state held for an entry by the entry's first batch,
// and ends an earlier session of the same entry.
func (p *pool) resyncEntry(first *rpc.EntryBatch, s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.sessions[first.Entry]; ok {
		old.cancel()
	}
	p.sessions[first.Entry] = s
	now := p.now()
	for _, u := range first.Upstreams {
		p.applyUpstream(now, u)
	}
	for _, r := range first.Releases {
		p.applyRelease(now, first.Entry, r)
	}
	offers := make([]sched.Offer, 0, len(first.Offers))
	for _, o := range first.Offers {
		offers = append(offers, p.decodeOffer(now, first.Entry, o))
	}
	refusals, failed := p.dispatcher.Resync(now, first.Entry, offers)
	for _, err := range failed {
		p.log.Warn("offer rejected", zap.String("pool", p.name), zap.Error(err))
	}
	p.recordEnded(p.dispatcher.TakeEnded())
	p.recordQueued(offers, refusals)
	p.sendRefusals(refusals)
	wait.Notify(p.wake)
}

// recordQueued records an event for each offer of a first batch that is now
// queued: those that neither run nor were refused.
func (p *pool) recordQueued(offers []sched.Offer, refusals []sched.Refusal) {
	refused := map[sched.ID]bool{}
	for _, r := range refusals {
		refused[r.ID] = true
	}
	for _, o := range offers {
		if o.RunningOn == "" && !refused[o.ID] {
			p.recordEvent(promise.Queue, o.ID, o.Tier, o.Workspace, "", "")
		}
	}
}

func (p *pool) sendRefusals(refusals []sched.Refusal) {
	set := batchSet{pool: p, byEntry: map[string]*rpc.GrantBatch{}}
	for _, r := range refusals {
		set.addRefusal(r)
	}
	set.sendAll()
}

// removeSession drops the queued requests of an entry whose session ended. Its
// running requests keep their slots for a bounded time. It does nothing if a
// newer session has replaced this one.
func (p *pool) removeSession(entry string, s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sessions[entry] == s {
		delete(p.sessions, entry)
		p.dispatcher.LoseEntry(p.now(), entry)
	}
}

// applyBatch applies one batch of an entry. It ignores batches of a session that
// was replaced.
func (p *pool) applyBatch(entry string, s *session, b *rpc.EntryBatch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sessions[entry] != s {
		return
	}
	now := p.now()
	for _, u := range b.Upstreams {
		p.applyUpstream(now, u)
	}
	for _, o := range b.Offers {
		p.applyOffer(now, entry, o)
	}
	for _, r := range b.Releases {
		p.applyRelease(now, entry, r)
	}
	for _, id := range b.Cancels {
		p.dispatcher.Cancel(sched.ID{Entry: entry, Number: id})
	}
	wait.Notify(p.wake)
}

func (p *pool) applyUpstream(now time.Duration, u *rpc.UpstreamState) {
	if u.Leaving {
		if p.dispatcher.Drain(now, u.Name, u.Incarnation) {
			p.events.Record(promise.Event{Kind: promise.Leave, Pool: p.name, Region: p.region, Upstream: u.Name, Epoch: p.epoch})
		}
		return
	}
	if err := p.dispatcher.Announce(now, decodeUpstream(u)); err != nil {
		p.log.Debug("announcement ignored", zap.String("pool", p.name), zap.Error(err))
	}
}

func (p *pool) applyOffer(now time.Duration, entry string, o *rpc.Offer) {
	offer := p.decodeOffer(now, entry, o)
	refusal, err := p.dispatcher.Offer(now, offer)
	switch {
	case err != nil:
		p.log.Warn("offer rejected", zap.String("pool", p.name), zap.Error(err))
	case refusal != nil:
		p.sendRefusals([]sched.Refusal{*refusal})
	case offer.RunningOn == "":
		p.recordEvent(promise.Queue, offer.ID, offer.Tier, offer.Workspace, "", "")
	}
}

func (p *pool) applyRelease(now time.Duration, entry string, r *rpc.Release) {
	release := decodeRelease(entry, r)
	ended, err := p.dispatcher.Release(now, release)
	if err != nil {
		p.log.Debug("release ignored", zap.String("pool", p.name), zap.Error(err))
		return
	}
	p.metrics.recordWastedTokens(p.name, ended)
}
