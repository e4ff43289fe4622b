// Package egress opens an entry's connections to upstreams. Package forward uses it.
package egress

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
)

// Service is the "entry.egress" service. It is safe for concurrent use.
type Service struct {
	direct atomic.Pointer[DialFunc]
}

// New returns the service.
func New() *Service {
	s := &Service{}
	s.SetDirect(DialDirectly)
	return s
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameEgress }

// Needs returns nothing.
func (s *Service) Needs() []string { return nil }

// Start implements kernel.Service; there is nothing to start.
func (s *Service) Start(context.Context, *kernel.Kernel) error { return nil }

// Stop implements kernel.Service; there is nothing to stop.
func (s *Service) Stop(context.Context) error { return nil }

// Health always returns nil.
func (s *Service) Health() error { return nil }

// Dump returns an empty object.
func (s *Service) Dump() any { return struct{}{} }

// SetDirect replaces how this daemon connects to upstreams, for tests of partitions.
func (s *Service) SetDirect(dial DialFunc) { s.direct.Store(&dial) }

// Dial opens a connection to the upstream at an address.
func (s *Service) Dial(ctx context.Context, address string) (net.Conn, error) {
	return (*s.direct.Load())(ctx, address)
}
