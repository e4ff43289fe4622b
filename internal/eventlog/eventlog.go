// Package eventlog provides the event.log service, which keeps the most recent
// events of a daemon in a ring buffer and forwards them to an observer, such as
// the promise checker.
//
// Events are held in memory only and are lost when the daemon stops.
package eventlog

import (
	"context"
	"sync"
	"time"

	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
)

// maxEvents is the capacity of the ring buffer.
const maxEvents = 4096

// Service implements the "event.log" service. It is safe for concurrent use.
type Service struct {
	self      port.Holder
	startedAt time.Time

	mu       sync.Mutex
	ring     []promise.Event
	next     int
	observer func(promise.Event)
}

// New returns an event log that records self as the source of its events.
func New(self port.Holder) *Service {
	return &Service{self: self, startedAt: time.Now()}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return port.NameEvents }

// Needs implements kernel.Service; the event log has no dependencies.
func (s *Service) Needs() []string { return nil }

// Start implements kernel.Service; it does nothing.
func (s *Service) Start(context.Context, *kernel.Kernel) error { return nil }

// Observe registers fn to receive every event recorded from now on, replacing
// any earlier observer. fn is called with the lock held: it must not block and
// must not call the Service.
func (s *Service) Observe(fn func(promise.Event)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observer = fn
}

// Record sets the event's time since start and its daemon, stores it, and passes
// it to the observer. When the buffer is full the oldest event is overwritten.
func (s *Service) Record(e promise.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.At = time.Since(s.startedAt)
	e.Daemon = s.self.Name
	if len(s.ring) < maxEvents {
		s.ring = append(s.ring, e)
	} else {
		s.ring[s.next] = e
		s.next = (s.next + 1) % maxEvents
	}
	if s.observer != nil {
		s.observer(e)
	}
}

// Stop implements kernel.Service; it does nothing.
func (s *Service) Stop(context.Context) error { return nil }

// Health implements kernel.Service; the event log is always healthy.
func (s *Service) Health() error { return nil }

// Dump returns the stored events, oldest first.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(append([]promise.Event{}, s.ring[s.next:]...), s.ring[:s.next]...)
}
