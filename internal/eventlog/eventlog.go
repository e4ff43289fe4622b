// Package eventlog keeps the newest events of a daemon in memory and passes
// them on to an observer, such as the promise checker of a demonstration.
package eventlog

import (
	"context"
	"sync"
	"time"

	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
)

// kept is how many events a daemon holds.
const kept = 4096

// Service is the "event.log" service.
type Service struct {
	self  port.Holder
	began time.Time

	mu       sync.Mutex
	ring     []promise.Event
	next     int
	observer func(promise.Event)
}

// New returns the service.
func New(self port.Holder) *Service {
	return &Service{self: self, began: time.Now()}
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameEvents }

// Needs returns nothing.
func (s *Service) Needs() []string { return nil }

// Start does nothing.
func (s *Service) Start(context.Context, *kernel.Kernel) error { return nil }

// Observe passes on all later events; fn must not block.
func (s *Service) Observe(fn func(promise.Event)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observer = fn
}

// Record stamps and keeps an event.
func (s *Service) Record(e promise.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.At = time.Since(s.began)
	e.Daemon = s.self.Name
	if len(s.ring) < kept {
		s.ring = append(s.ring, e)
	} else {
		s.ring[s.next] = e
		s.next = (s.next + 1) % kept
	}
	if s.observer != nil {
		s.observer(e)
	}
}

// Stop does nothing.
func (s *Service) Stop(context.Context) error { return nil }

// Health returns nil.
func (s *Service) Health() error { return nil }

// Dump returns the events, oldest first.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(append([]promise.Event{}, s.ring[s.next:]...), s.ring[:s.next]...)
}
