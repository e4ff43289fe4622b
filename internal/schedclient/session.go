package schedclient

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/sched"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/wait"
)

// acquisition is a request that waits for a grant or holds one.
type acquisition struct {
	id      uint64
	request port.Request
	// decided is closed once grant or failure is set.
	decided chan struct{}
	grant   *rpc.Grant
	failure *fault.Error
	// offered reports that the offer was sent before.
	offered bool
	// spilledFrom is the region that could not serve the request; it is empty in
	// the daemon's own region. final reports that the other regions refused it.
	spilledFrom string
	final       bool
}

// session is the connection to the dispatcher of one pool and region. It follows
// the dispatcher's lease from daemon to daemon.
type session struct {
	service *Service
	pool    port.PoolRegion
	wake    chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	// lastUsed is when the session was last requested; the service's lock guards it.
	lastUsed time.Time
	// connectDeadline is the time until which spilled requests wait for a
	// connection.
	connectDeadline time.Time

	mu    sync.Mutex
	epoch uint64
	// disconnected is closed when the current connection ends; nil if there is none.
	disconnected chan struct{}
	// connected is closed when the next connection is made.
	connected chan struct{}
	waiting   map[uint64]*acquisition
	running   map[uint64]*acquisition
	// pending is what the next batch will send.
	pending rpc.EntryBatch
}

func newSession(s *Service, p port.PoolRegion) *session {
	ctx, cancel := context.WithCancel(s.ctx)
	return &session{
		service: s, pool: p, wake: make(chan struct{}, 1), ctx: ctx, cancel: cancel, connected: make(chan struct{}),
		waiting: map[uint64]*acquisition{}, running: map[uint64]*acquisition{},
	}
}

func (s *session) offer(a *acquisition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[a.id] = a
	s.pending.Offers = append(s.pending.Offers, encodeOffer(a))
	wait.Notify(s.wake)
}

func encodeOffer(a *acquisition) *rpc.Offer {
	r := a.request
	o := &rpc.Offer{
		Id: a.id, Workspace: r.Workspace, Operation: r.Operation,
		PromptTokens: uint32(r.PromptTokens), MaxTokens: uint32(r.MaxTokens),
		Blocks: r.Blocks, Fingerprint: r.Fingerprint,
		WaitMs:  uint32(max(0, time.Until(r.Deadline).Milliseconds())),
		Spilled: a.spilledFrom, Final: a.final, Admitted: a.offered,
	}
	a.offered = true
	if a.grant != nil {
		o.Running = a.grant.Upstream
	}
	return o
}

// withdraw cancels a waiting request. It returns false if the request was already
// granted or refused.
func (s *session) withdraw(a *acquisition) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.waiting[a.id]; !ok {
		return false
	}
	delete(s.waiting, a.id)
	s.pending.Cancels = append(s.pending.Cancels, a.id)
	wait.Notify(s.wake)
	return true
}

func (s *session) release(a *acquisition, r sched.Release) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, a.id)
	s.pending.Releases = append(s.pending.Releases, &rpc.Release{
		Id: a.id, Outcome: uint32(r.Outcome), PrefillMs: uint32(r.Prefill.Milliseconds()), DecodeMs: uint32(r.Decode.Milliseconds()),
		OutputTokens: uint32(r.OutputTokens), CachedTokens: uint32(r.CachedTokens),
	})
	wait.Notify(s.wake)
}

// maxPendingEvents bounds the unsent cache events per upstream. If there are
// more, the oldest are dropped; the dispatcher detects the gap by the sequence
// numbers.
const maxPendingEvents = 256

// announce queues an upstream's announcement. It replaces an unsent one of the
// same incarnation, but keeps that one's cache events.
func (s *session) announce(u *rpc.UpstreamState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer wait.Notify(s.wake)
	for i, old := range s.pending.Upstreams {
		if old.Name != u.Name || old.Incarnation != u.Incarnation || len(old.CacheEvents) == 0 {
			continue
		}
		merged := proto.Clone(u).(*rpc.UpstreamState)
		events := append(slices.Clone(old.CacheEvents), u.CacheEvents...)
		merged.CacheEvents = events[max(0, len(events)-maxPendingEvents):]
		s.pending.Upstreams[i] = merged
		return
	}
	s.pending.Upstreams = slices.DeleteFunc(s.pending.Upstreams, func(old *rpc.UpstreamState) bool {
		return old.Name == u.Name && old.Incarnation <= u.Incarnation
	})
	s.pending.Upstreams = append(s.pending.Upstreams, u)
}

// resyncBatch returns the first batch of a connection: all waiting and running
// requests as offers, with the pending announcements and releases.
func (s *session) resyncBatch(epoch uint64) *rpc.EntryBatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch = epoch
	b := s.newBatch(epoch)
	b.Synced = true
	b.Upstreams = s.pending.Upstreams
	b.Releases = s.pending.Releases
	s.pending = rpc.EntryBatch{}
	s.disconnected = make(chan struct{})
	close(s.connected)
	s.connected = make(chan struct{})
	for _, a := range s.running {
		b.Offers = append(b.Offers, encodeOffer(a))
	}
	for _, a := range s.waiting {
		b.Offers = append(b.Offers, encodeOffer(a))
	}
	return b
}

func (s *session) newBatch(epoch uint64) *rpc.EntryBatch {
	return &rpc.EntryBatch{Entry: s.service.self.String(), Pool: s.pool.Pool, Epoch: epoch}
}

// takePending returns the pending batch, which is empty if only a heartbeat is
// due. The batch lacks entry, pool and epoch, which the connection's first batch
// has given.
func (s *session) takePending() *rpc.EntryBatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &rpc.EntryBatch{
		Offers: s.pending.Offers, Releases: s.pending.Releases, Cancels: s.pending.Cancels, Upstreams: s.pending.Upstreams,
	}
	s.pending = rpc.EntryBatch{}
	return b
}

// applyDecisions applies a dispatcher's grants and refusals. It ignores a batch of
// another epoch, and decisions on requests that no longer wait; a slot granted to
// such a request is released as not sent.
func (s *session) applyDecisions(epoch uint64, b *rpc.GrantBatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.Epoch != epoch {
		return
	}
	for _, g := range b.Grants {
		a, ok := s.waiting[g.Id]
		if !ok {
			s.pending.Releases = append(s.pending.Releases, &rpc.Release{Id: g.Id, Outcome: uint32(sched.NotSent)})
			wait.Notify(s.wake)
			continue
		}
		delete(s.waiting, g.Id)
		a.grant = g
		s.running[g.Id] = a
		close(a.decided)
	}
	for _, r := range b.Refusals {
		a, ok := s.waiting[r.Id]
		if !ok {
			continue
		}
		delete(s.waiting, r.Id)
		a.failure = refusalError(r)
		close(a.decided)
	}
}

func refusalError(r *rpc.Refusal) *fault.Error {
	e := fault.New(fault.Kind(r.Code), "send the request again after the stated time", "%s", r.Why)
	return e.After(time.Duration(r.RetryAfterMs) * time.Millisecond)
}

func (s *session) dump() sessionDump {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sessionDump{Pool: s.pool.Pool, Region: s.pool.Region, Epoch: s.epoch, Waiting: len(s.waiting), Running: len(s.running)}
}
