// Package metrics provides the daemon's Prometheus registry as a service. Other
// services register their metrics with it, and internal/admin serves them.
package metrics

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
)

// Service is the "metrics" service.
type Service struct {
	registry *prometheus.Registry
}

// New returns the service with the collectors of the Go runtime and the process.
func New() *Service {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return &Service{registry: r}
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameMetrics }

// Needs returns nil.
func (s *Service) Needs() []string { return nil }

// Start does nothing.
func (s *Service) Start(context.Context, *kernel.Kernel) error { return nil }

// Registerer returns the registerer for the services' metrics.
func (s *Service) Registerer() prometheus.Registerer { return s.registry }

// Gatherer returns the gatherer that reads the registered metrics.
func (s *Service) Gatherer() prometheus.Gatherer { return s.registry }

// Stop does nothing.
func (s *Service) Stop(context.Context) error { return nil }

// Health always returns nil.
func (s *Service) Health() error { return nil }

// Dump returns an empty object; the admin service serves the metrics.
func (s *Service) Dump() any { return struct{}{} }
