// Package schedclient is the entry's side of scheduling: it offers requests to
// the dispatchers, waits for grants, and offers again what waits or runs when
// a dispatcher moves.
package schedclient

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/core/sched"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// Service is the "sched.client" service.
type Service struct {
	set       *settings.Settings
	log       *zap.Logger
	self      port.Holder
	link      port.Link
	view      port.View
	upstreams port.Upstreams
	ctx       context.Context
	cancel    context.CancelFunc
	done      sync.WaitGroup

	mu       sync.Mutex
	sessions map[place]*session
	nextID   uint64
}

// place is one pool in one region.
type place struct {
	pool   string
	region string
}

// New returns the service.
func New(set *settings.Settings, log *zap.Logger, self port.Holder) *Service {
	return &Service{set: set, log: log.Named("sched"), self: self, sessions: map[place]*session{}}
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameScheduler }

// Needs returns what offers and announcements pass through.
func (s *Service) Needs() []string {
	return []string{port.NameLink, port.NameView, port.NameUpstreams}
}

// Start keeps sessions to all declared pools.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	err := error(nil)
	if s.link, err = kernel.Find[port.Link](k, port.NameLink); err != nil {
		return err
	}
	if s.view, err = kernel.Find[port.View](k, port.NameView); err != nil {
		return err
	}
	if s.upstreams, err = kernel.Find[port.Upstreams](k, port.NameUpstreams); err != nil {
		return err
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.done.Go(s.maintain)
	return nil
}

// maintain opens a session to each pool and region that is declared, so that
// announcements reach the dispatcher before any request does.
func (s *Service) maintain() {
	for s.ctx.Err() == nil {
		changed := s.view.Changed()
		c := s.view.Snapshot().Config
		for _, r := range c.Regions {
			for _, m := range c.Models {
				s.session(place{pool: m.Name, region: r.Name})
			}
			for _, v := range c.Services {
				s.session(place{pool: v.Name, region: r.Name})
			}
		}
		select {
		case <-changed:
		case <-s.ctx.Done():
		}
	}
}

func (s *Service) session(p place) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.sessions[p]; ok {
		return old
	}
	made := newSession(s, p)
	s.sessions[p] = made
	s.done.Go(made.run)
	return made
}

// regions lists where to offer, the daemon's own first.
func (s *Service) regions() []string {
	out := []string{s.set.Region}
	for _, r := range s.view.Snapshot().Config.Regions {
		if r.Name != s.set.Region {
			out = append(out, r.Name)
		}
	}
	return out
}

// Acquire waits for a grant, in the daemon's own region first. Where a region
// has no upstream of the pool, the next one is asked.
func (s *Service) Acquire(ctx context.Context, r port.Request) (port.Ticket, error) {
	last := error(nil)
	for _, region := range s.regions() {
		t, err := s.acquireIn(ctx, place{pool: r.Pool, region: region}, r)
		if err == nil {
			return t, nil
		}
		last = err
		if fault.From(err).Kind != fault.NoUpstream {
			return nil, err
		}
	}
	return nil, last
}

func (s *Service) acquireIn(ctx context.Context, p place, r port.Request) (port.Ticket, error) {
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	s.mu.Unlock()
	w := &waiter{id: id, request: r, settled: make(chan struct{})}
	sess := s.session(p)
	sess.offer(w)
	select {
	case <-w.settled:
	case <-ctx.Done():
		if sess.withdraw(w) {
			return nil, fault.New(fault.Canceled, "send the request again", "the caller went away while the request waited")
		}
		<-w.settled
	case <-time.After(time.Until(r.Deadline)):
		if sess.withdraw(w) {
			return nil, fault.New(fault.Deadline, "send the request again later", "no grant came before the deadline").After(time.Second)
		}
		<-w.settled
	}
	if w.failure != nil {
		return nil, w.failure
	}
	return &ticket{session: sess, waiter: w}, nil
}

// ticket is a granted slot.
type ticket struct {
	session *session
	waiter  *waiter
	once    sync.Once
}

// Upstream returns the upstream's name.
func (t *ticket) Upstream() string { return t.waiter.grant.Upstream }

// Address returns the upstream's address.
func (t *ticket) Address() string { return t.waiter.grant.Address }

// Why returns the decision's explanation.
func (t *ticket) Why() json.RawMessage { return t.waiter.grant.Why }

// Release frees the slot.
func (t *ticket) Release(r sched.Release) {
	t.once.Do(func() { t.session.release(t.waiter, r) })
}

// Stop ends all sessions.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.done.Wait()
	return nil
}

// Health returns nil: pools without a dispatcher refuse by themselves.
func (s *Service) Health() error { return nil }

// sessionDump is one session's state, for operators.
type sessionDump struct {
	Pool    string `json:"pool"`
	Region  string `json:"region"`
	Epoch   uint64 `json:"epoch"`
	Waiting int    `json:"waiting"`
	Running int    `json:"running"`
}

// Dump lists the sessions.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []sessionDump{}
	for _, sess := range s.sessions {
		out = append(out, sess.dump())
	}
	return out
}
