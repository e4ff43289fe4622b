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
	// heartbeat is the longest pause between two batches on a session.
	heartbeat = 300 * time.Millisecond
	// sessionSilence ends a session that carries nothing.
	sessionSilence = 1200 * time.Millisecond
	// outboxSize is how many batches may wait for a slow entry.
	outboxSize = 256
)

// session is one entry's stream.
type session struct {
	out chan *rpc.GrantBatch
	end context.CancelFunc
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

// stream is what a session needs of the drpc stream.
type stream interface {
	Send(*rpc.GrantBatch) error
	Recv() (*rpc.EntryBatch, error)
}

// serve runs one entry's session until it ends or falls silent.
func (p *pool) serve(stream stream, first *rpc.EntryBatch) error {
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	s := &session{out: make(chan *rpc.GrantBatch, outboxSize), end: cancel}
	p.join(first, s)
	defer p.leave(first.Entry, s)
	return duplex.Server[*rpc.EntryBatch, *rpc.GrantBatch]{
		Recv: stream.Recv, Send: func(b *rpc.GrantBatch) error { return p.pass(stream, b) }, Out: s.out,
		Heartbeat: heartbeat, Silence: sessionSilence, Beat: func() *rpc.GrantBatch { return &rpc.GrantBatch{Epoch: p.epoch} },
		Take: func(b *rpc.EntryBatch) { p.take(first.Entry, s, b) },
	}.Run(ctx)
}

// pass sends a batch while the lease holds: what a cut-off dispatcher decided
// goes to nobody.
func (p *pool) pass(stream stream, b *rpc.GrantBatch) error {
	if !p.holds() {
		return context.DeadlineExceeded
	}
	return stream.Send(b)
}

// join replaces all that is known of an entry by what it offers now.
func (p *pool) join(first *rpc.EntryBatch, s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.sessions[first.Entry]; ok {
		old.end()
	}
	p.sessions[first.Entry] = s
	now := p.now()
	for _, u := range first.Upstreams {
		p.takeUpstream(now, u)
	}
	for _, r := range first.Releases {
		p.takeRelease(now, first.Entry, r)
	}
	offers := make([]sched.Offer, 0, len(first.Offers))
	for _, o := range first.Offers {
		offers = append(offers, p.decodeOffer(now, first.Entry, o))
	}
	refusals, failed := p.core.Resync(now, first.Entry, offers)
	for _, err := range failed {
		p.log.Warn("offer refused", zap.String("pool", p.name), zap.Error(err))
	}
	p.ended(p.core.TakeEnded())
	p.queueEvents(offers, refusals)
	p.refuse(refusals)
	wait.Signal(p.wake)
}

// queueEvents records the offers of a first batch that now wait.
func (p *pool) queueEvents(offers []sched.Offer, refusals []sched.Refusal) {
	refused := map[sched.ID]bool{}
	for _, r := range refusals {
		refused[r.ID] = true
	}
	for _, o := range offers {
		if o.RunningOn == "" && !refused[o.ID] {
			p.event(promise.Queue, o.ID, o.Tier, o.Workspace, "", "")
		}
	}
}

func (p *pool) refuse(refusals []sched.Refusal) {
	set := batchSet{pool: p, byEntry: map[string]*rpc.GrantBatch{}}
	for _, r := range refusals {
		set.refuse(r)
	}
	set.send()
}

// leave forgets what an entry whose session ended has waiting. What it runs
// keeps its slots for a bounded time.
func (p *pool) leave(entry string, s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sessions[entry] == s {
		delete(p.sessions, entry)
		p.core.LoseEntry(p.now(), entry)
	}
}

// take reads one batch; one of a session that was replaced changes nothing.
func (p *pool) take(entry string, s *session, b *rpc.EntryBatch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sessions[entry] != s {
		return
	}
	now := p.now()
	for _, u := range b.Upstreams {
		p.takeUpstream(now, u)
	}
	for _, o := range b.Offers {
		p.takeOffer(now, entry, o)
	}
	for _, r := range b.Releases {
		p.takeRelease(now, entry, r)
	}
	for _, id := range b.Cancels {
		p.core.Cancel(sched.ID{Entry: entry, Number: id})
	}
	wait.Signal(p.wake)
}

func (p *pool) takeUpstream(now time.Duration, u *rpc.UpstreamState) {
	if u.Leaving {
		if p.core.Drain(now, u.Name, u.Incarnation) {
			p.events.Record(promise.Event{Kind: promise.Leave, Pool: p.name, Region: p.region, Upstream: u.Name, Epoch: p.epoch})
		}
		return
	}
	if err := p.core.Announce(now, decodeUpstream(u)); err != nil {
		p.log.Debug("announcement ignored", zap.String("pool", p.name), zap.Error(err))
	}
}

func (p *pool) takeOffer(now time.Duration, entry string, o *rpc.Offer) {
	offer := p.decodeOffer(now, entry, o)
	refusal, err := p.core.Offer(now, offer)
	switch {
	case err != nil:
		p.log.Warn("offer refused", zap.String("pool", p.name), zap.Error(err))
	case refusal != nil:
		p.refuse([]sched.Refusal{*refusal})
	case offer.RunningOn == "":
		p.event(promise.Queue, offer.ID, offer.Tier, offer.Workspace, "", "")
	}
}

func (p *pool) takeRelease(now time.Duration, entry string, r *rpc.Release) {
	release := decodeRelease(entry, r)
	ended, err := p.core.Release(now, release)
	if err != nil {
		p.log.Debug("release ignored", zap.String("pool", p.name), zap.Error(err))
		return
	}
	p.metrics.ended(p.name, ended)
}
