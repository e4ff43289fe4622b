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

// waiter is a request on its way to a grant and through it.
type waiter struct {
	id      uint64
	request port.Request
	// settled is closed once grant or failure is set.
	settled chan struct{}
	grant   *rpc.Grant
	failure *fault.Error
	// offered says that a session has carried the offer.
	offered bool
	// spilled names the region that passed the request on; final says that the
	// other regions refused it.
	spilled string
	final   bool
}

// session speaks with the dispatcher of one place, wherever it is now.
type session struct {
	service *Service
	place   port.Place
	wake    chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	// used is when it was last asked for; the service's lock guards it.
	used time.Time
	// awaited is how long requests wait for the first connection.
	awaited time.Time

	mu    sync.Mutex
	epoch uint64
	// down is closed when the present session ends; nil where there is none.
	down chan struct{}
	// up is closed when the next session begins.
	up      chan struct{}
	waiting map[uint64]*waiter
	running map[uint64]*waiter
	pending rpc.EntryBatch
}

func newSession(s *Service, p port.Place) *session {
	ctx, cancel := context.WithCancel(s.ctx)
	return &session{
		service: s, place: p, wake: make(chan struct{}, 1), ctx: ctx, cancel: cancel, up: make(chan struct{}),
		waiting: map[uint64]*waiter{}, running: map[uint64]*waiter{},
	}
}

func (s *session) offer(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[w.id] = w
	s.pending.Offers = append(s.pending.Offers, encodeOffer(w))
	wait.Signal(s.wake)
}

func encodeOffer(w *waiter) *rpc.Offer {
	r := w.request
	o := &rpc.Offer{
		Id: w.id, Workspace: r.Workspace, Operation: r.Operation,
		PromptTokens: uint32(r.PromptTokens), MaxTokens: uint32(r.MaxTokens),
		Blocks: r.Blocks, Fingerprint: r.Fingerprint,
		WaitMs:  uint32(max(0, time.Until(r.Deadline).Milliseconds())),
		Spilled: w.spilled, Final: w.final, Admitted: w.offered,
	}
	w.offered = true
	if w.grant != nil {
		o.Running = w.grant.Upstream
	}
	return o
}

// withdraw gives up waiting; it returns false where the request is settled.
func (s *session) withdraw(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.waiting[w.id]; !ok {
		return false
	}
	delete(s.waiting, w.id)
	s.pending.Cancels = append(s.pending.Cancels, w.id)
	wait.Signal(s.wake)
	return true
}

func (s *session) release(w *waiter, r sched.Release) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, w.id)
	s.pending.Releases = append(s.pending.Releases, &rpc.Release{
		Id: w.id, Outcome: uint32(r.Outcome), PrefillMs: uint32(r.Prefill.Milliseconds()), DecodeMs: uint32(r.Decode.Milliseconds()),
		OutputTokens: uint32(r.OutputTokens), CachedTokens: uint32(r.CachedTokens),
	})
	wait.Signal(s.wake)
}

// maxPendingEvents bounds the cache events of one upstream that wait for a
// session. Where more come, the oldest are dropped: a gap that the dispatcher
// sees by the sequence numbers.
const maxPendingEvents = 256

// announce passes on an announcement. One that still waits is replaced, and its
// cache events are kept.
func (s *session) announce(u *rpc.UpstreamState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer wait.Signal(s.wake)
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

// hello offers again all that waits or runs. What was pending is part of it.
func (s *session) hello(epoch uint64) *rpc.EntryBatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch = epoch
	b := s.frame(epoch)
	b.Synced = true
	b.Upstreams = s.pending.Upstreams
	b.Releases = s.pending.Releases
	s.pending = rpc.EntryBatch{}
	s.down = make(chan struct{})
	close(s.up)
	s.up = make(chan struct{})
	for _, w := range s.running {
		b.Offers = append(b.Offers, encodeOffer(w))
	}
	for _, w := range s.waiting {
		b.Offers = append(b.Offers, encodeOffer(w))
	}
	return b
}

func (s *session) frame(epoch uint64) *rpc.EntryBatch {
	return &rpc.EntryBatch{Entry: s.service.self.String(), Pool: s.place.Pool, Epoch: epoch}
}

// drain returns what is pending, or an empty heartbeat. Who sends it, and under
// which epoch, the session's first batch has said.
func (s *session) drain() *rpc.EntryBatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &rpc.EntryBatch{
		Offers: s.pending.Offers, Releases: s.pending.Releases, Cancels: s.pending.Cancels, Upstreams: s.pending.Upstreams,
	}
	s.pending = rpc.EntryBatch{}
	return b
}

// take settles what the dispatcher decided. Decisions of an earlier epoch, and
// on requests that no longer wait, have no effect; the latter's slots are
// given back.
func (s *session) take(epoch uint64, b *rpc.GrantBatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.Epoch != epoch {
		return
	}
	for _, g := range b.Grants {
		w, ok := s.waiting[g.Id]
		if !ok {
			s.pending.Releases = append(s.pending.Releases, &rpc.Release{Id: g.Id, Outcome: uint32(sched.NotSent)})
			wait.Signal(s.wake)
			continue
		}
		delete(s.waiting, g.Id)
		w.grant = g
		s.running[g.Id] = w
		close(w.settled)
	}
	for _, r := range b.Refusals {
		w, ok := s.waiting[r.Id]
		if !ok {
			continue
		}
		delete(s.waiting, r.Id)
		w.failure = refusal(r)
		close(w.settled)
	}
}

func refusal(r *rpc.Refusal) *fault.Error {
	e := fault.New(fault.Kind(r.Code), "send the request again after the stated time", "%s", r.Why)
	return e.After(time.Duration(r.RetryAfterMs) * time.Millisecond)
}

func (s *session) dump() sessionDump {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sessionDump{Pool: s.place.Pool, Region: s.place.Region, Epoch: s.epoch, Waiting: len(s.waiting), Running: len(s.running)}
}
