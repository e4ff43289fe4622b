// Package metrics provides the daemon's Prometheus registry as a service.
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

// Registerer returns where services register their metrics.
func (s *Service) Registerer() prometheus.Registerer { return s.registry }

// Gatherer returns where the registered metrics are read.
func (s *Service) Gatherer() prometheus.Gatherer { return s.registry }

// Stop does nothing.
func (s *Service) Stop(context.Context) error { return nil }

// Health always returns nil.
func (s *Service) Health() error { return nil }

// Dump returns an empty object; the admin service serves the metrics.
func (s *Service) Dump() any { return struct{}{} }
