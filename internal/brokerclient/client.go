// Package brokerclient is the entry's side of the broker: it offers requests,
// waits for grants, and grants by itself, within its share of each upstream,
// while no broker answers.
package brokerclient

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
	"github.com/verbenastep/verbenastep/internal/wait"
	"github.com/verbenastep/verbenastep/internal/work"
)

// waiter is a request on its way to a grant and through it.
type waiter struct {
	offer   broker.Offer
	settled chan struct{}
	grant   broker.Grant
	failure *fault.Error
	by      string
}

// Who granted.
const (
	byBroker = "broker"
	byEntry  = "entry"
)

// Service is the "broker.client" service.
type Service struct {
	set    *settings.Settings
	log    *zap.Logger
	self   string
	link   port.Link
	view   port.TableView
	meters *metrics
	began  time.Time
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	// wake tells the session that something is pending, local the loop that
	// decides while no broker does.
	wake  chan struct{}
	local chan struct{}

	mu       sync.Mutex
	next     uint64
	attached bool
	entries  int
	waiting  map[uint64]*waiter
	running  map[uint64]*waiter
	pending  rpc.BrokerAsk
	core     *broker.Broker
	version  uint64
	// aloneFrom is when the entry may first decide by itself.
	aloneFrom time.Duration
	// levels are what the last broker had left of quotas.
	levels map[string]float64
	// roster are the upstreams as the broker told them; stale says that the local
	// broker lacks a part of it, refreshed when it last had all.
	roster    map[string]*rpc.RosterEntry
	stale     bool
	refreshed time.Duration
	// rosterAt is when a daemon that leads last spoke while the entry's roster was
	// current: the whole of it came in the session, or an earlier one is brought
	// up to date in it.
	rosterAt time.Duration
	current  bool
	// leaderless counts sessions that were left, since the last broker granted,
	// because the daemon knew no leader.
	leaderless int
	// tries counts sessions without a broker in a row; leader is where the last
	// daemon that answered says it is, lost where the last session ended.
	tries  int
	leader port.Leader
	lost   string
	// lostUntil is until when the lost one is not asked again unless it leads in
	// a term after lostTerm; term is the newest that was heard of.
	lostUntil time.Duration
	lostTerm  uint64
	term      uint64
}

// New returns the service.
func New(set *settings.Settings, log *zap.Logger, self port.Holder) *Service {
	core := broker.New(1)
	core.SetName(self.String())
	core.SetSlack(set.Routing.Quota.SlackTokens)
	return &Service{
		set: set, log: log.Named("work"), meters: newMetrics(), self: self.String(), began: time.Now(), wake: make(chan struct{}, 1), local: make(chan struct{}, 1),
		waiting: map[uint64]*waiter{}, running: map[uint64]*waiter{}, core: core, entries: 1, roster: map[string]*rpc.RosterEntry{},
		levels: map[string]float64{},
	}
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameBrokerClient }

// Needs returns the link, the view, which knows who leads, and who takes metrics.
func (s *Service) Needs() []string { return []string{port.NameLink, port.NameView, port.NameMetrics} }

// Start begins to look for a broker.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	err := error(nil)
	if s.link, err = kernel.Find[port.Link](k, port.NameLink); err != nil {
		return err
	}
	if s.view, err = kernel.Find[port.TableView](k, port.NameView); err != nil {
		return err
	}
	collect, err := kernel.Find[port.Metrics](k, port.NameMetrics)
	if err != nil {
		return err
	}
	if err := s.meters.register(collect.Registerer()); err != nil {
		return err
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.done.Go(s.follow)
	s.done.Go(s.decideAlone)
	return nil
}

func (s *Service) now() time.Duration { return time.Since(s.began) }

// Acquire waits for a grant.
func (s *Service) Acquire(ctx context.Context, o port.BrokerOffer) (port.BrokerTicket, error) {
	w := s.offer(o)
	select {
	case <-w.settled:
	case <-ctx.Done():
		if s.withdraw(w) {
			return port.BrokerTicket{}, ctx.Err()
		}
		<-w.settled
	}
	if w.failure != nil {
		return port.BrokerTicket{}, w.failure
	}
	end := sync.Once{}
	return port.BrokerTicket{Grant: w.grant, GrantedBy: w.by, End: func(e broker.End) { end.Do(func() { s.end(w, e) }) }}, nil
}

func (s *Service) offer(o port.BrokerOffer) *waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	w := &waiter{offer: o.Offer, settled: make(chan struct{})}
	w.offer.ID = broker.ID{Entry: s.self, Number: s.next}
	w.offer.Aim = o.LatencyTargetAt.Sub(s.began)
	w.offer.Latest = w.offer.Aim + o.LatencyGrace
	w.offer.Deadline = o.DeadlineAt.Sub(s.began)
	s.waiting[s.next] = w
	if s.attached {
		s.pending.Offers = append(s.pending.Offers, work.EncodeOffer(s.now(), w.offer))
		wait.Signal(s.wake)
		return w
	}
	s.core.Offer(s.now(), w.offer)
	wait.Signal(s.local)
	return w
}

// withdraw gives up waiting; it returns false where the request is settled.
func (s *Service) withdraw(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := w.offer.ID
	if _, waits := s.waiting[id.Number]; !waits {
		return false
	}
	delete(s.waiting, id.Number)
	s.core.Cancel(id)
	s.pending.Cancels = append(s.pending.Cancels, id.Number)
	wait.Signal(s.wake)
	return true
}

// end frees the slot; the leading and the local broker both learn from it.
func (s *Service) end(w *waiter, e broker.End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.ID = w.offer.ID
	delete(s.running, e.ID.Number)
	s.core.End(s.now(), e)
	s.pending.Ends = append(s.pending.Ends, work.EncodeEnd(e))
	wait.Signal(s.wake)
	wait.Signal(s.local)
}

// Entries is how many entries share the system's limits.
func (s *Service) Entries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries
}

// granted settles a request that still waits; the lock is held.
func (s *Service) granted(g broker.Grant, by string) {
	w, ok := s.waiting[g.ID.Number]
	if !ok {
		return
	}
	delete(s.waiting, g.ID.Number)
	s.meters.grants.WithLabelValues(by).Inc()
	w.grant, w.by = g, by
	w.offer.Running = g.Upstream
	w.offer.Charge = 0
	s.running[g.ID.Number] = w
	close(w.settled)
}

func (s *Service) refused(r broker.Refusal, by string) {
	w, ok := s.waiting[r.ID.Number]
	if !ok {
		return
	}
	delete(s.waiting, r.ID.Number)
	s.meters.refusals.WithLabelValues(by, string(r.Code)).Inc()
	w.by = by
	w.failure = fault.New(fault.Kind(r.Code), "send the request again after the stated time", "%s", r.Why).After(r.RetryAfter)
	close(w.settled)
}

// Stop ends the session.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.done.Wait()
	return nil
}

// Health returns nil: an entry without a broker decides by itself.
func (s *Service) Health() error { return nil }

// Dump shows what waits and runs.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return struct {
		Attached bool          `json:"attached"`
		Entries  int           `json:"entries"`
		Waiting  int           `json:"waiting"`
		Running  int           `json:"running"`
		Pools    []broker.Dump `json:"pools"`
	}{s.attached, s.entries, len(s.waiting), len(s.running), s.core.Dump()}
}
