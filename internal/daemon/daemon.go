// Package daemon assembles the services of a daemon from its settings, and starts
// and stops them. The command verbenastep and tests use it.
package daemon

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/internal/admin"
	"github.com/verbenastep/verbenastep/internal/broker"
	"github.com/verbenastep/verbenastep/internal/brokerclient"
	"github.com/verbenastep/verbenastep/internal/clock"
	"github.com/verbenastep/verbenastep/internal/directory"
	"github.com/verbenastep/verbenastep/internal/dispatch"
	"github.com/verbenastep/verbenastep/internal/egress"
	"github.com/verbenastep/verbenastep/internal/entry"
	"github.com/verbenastep/verbenastep/internal/eventlog"
	"github.com/verbenastep/verbenastep/internal/forward"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/link"
	"github.com/verbenastep/verbenastep/internal/logclient"
	"github.com/verbenastep/verbenastep/internal/member"
	"github.com/verbenastep/verbenastep/internal/metrics"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/registry"
	"github.com/verbenastep/verbenastep/internal/replica"
	"github.com/verbenastep/verbenastep/internal/rollouts"
	"github.com/verbenastep/verbenastep/internal/roster"
	"github.com/verbenastep/verbenastep/internal/schedclient"
	"github.com/verbenastep/verbenastep/internal/settings"
	"github.com/verbenastep/verbenastep/internal/tables"
	"github.com/verbenastep/verbenastep/internal/view"
)

// Daemon is an assembled daemon.
type Daemon struct {
	kernel *kernel.Kernel
	link   *link.Service
	events *eventlog.Service
	log    *zap.Logger
	// drainTime bounds the drain of all services together; zero for no bound.
	drainTime time.Duration
}

// New assembles the services without starting any. Adapters to other systems pass
// extra services.
func New(set *settings.Settings, log *zap.Logger, extra ...kernel.Service) (*Daemon, error) {
	log = log.With(zap.String("daemon", set.Name))
	self := port.Holder{Name: set.Name, Incarnation: uint64(time.Now().UnixNano()), Address: set.Addresses.Peers}
	d := &Daemon{kernel: kernel.New(), link: link.New(set, log), events: eventlog.New(self), log: log}
	if set.Routing != nil {
		d.drainTime = set.Routing.DrainTime()
	}
	registry := metrics.New()
	if err := registry.Registerer().Register(d.link.Collector()); err != nil {
		return nil, err
	}
	services := []kernel.Service{
		d.link,
		logclient.New(set, log),
		view.New(set, log),
		member.New(set, log, self),
		directory.New(set, log),
		registry,
		clock.NewMonitor(log),
		d.events,
	}
	if set.Addresses.Admin != "" {
		services = append(services, admin.New(set, log))
	}
	if set.HasRole(settings.Replica) {
		services = append(services, replica.New(set, log))
	}
	services = append(services, modeServices(set, log, self)...)
	for _, s := range append(services, extra...) {
		if err := d.kernel.Register(s); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// modeServices returns the services of the daemon's mode: it serves workspaces of
// the declared configuration or, with Routing settings, a published route table
// as an entry, as a control daemon, or as both.
func modeServices(set *settings.Settings, log *zap.Logger, self port.Holder) []kernel.Service {
	if set.Routing == nil {
		return []kernel.Service{
			registry.New(set, log), dispatch.New(set, log, self), schedclient.New(set, log, self), entry.New(set, log, self),
		}
	}
	out := []kernel.Service{}
	if set.Addresses.Callers != "" {
		out = append(out, brokerclient.New(set, log, self), egress.New(set, log), forward.New(set, log))
	}
	if set.IsControlDaemon() {
		out = append(out, tables.New(log), roster.New(set, log), broker.New(set, log))
		if set.Routing.Rollout != nil {
			out = append(out, rollouts.New(log))
		}
	}
	return out
}

// Start starts the services and then accepts connections of other daemons.
func (d *Daemon) Start(ctx context.Context) error {
	if err := d.kernel.Start(ctx); err != nil {
		return err
	}
	d.link.Serve()
	d.events.Record(promise.Event{Kind: promise.Started})
	d.log.Info("daemon started")
	return nil
}

// Stop drains and then stops all services. When ctx ends, it aborts the requests in
// flight.
func (d *Daemon) Stop(ctx context.Context) error {
	d.events.Record(promise.Event{Kind: promise.Drain})
	drained := d.drain(ctx)
	stopped := d.kernel.Stop(ctx)
	d.events.Record(promise.Event{Kind: promise.Stopped})
	d.log.Info("daemon stopped")
	return errors.Join(drained, stopped)
}

// drain drains all services, within the grace period if the daemon has one.
func (d *Daemon) drain(ctx context.Context) error {
	if d.drainTime > 0 {
		bounded, cancel := context.WithTimeout(ctx, d.drainTime)
		defer cancel()
		ctx = bounded
	}
	return d.kernel.Drain(ctx)
}

// Kill simulates a crash within the process, for tests: it closes the link to the
// other daemons first, so that no lease is released, no leadership transferred
// and no departure announced, and then stops all services without draining.
func (d *Daemon) Kill() {
	d.events.Record(promise.Event{Kind: promise.Crashed})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = d.link.Stop(ctx)
	_ = d.kernel.Stop(ctx)
}

// Observe calls fn for each of the daemon's events; fn must not block.
func (d *Daemon) Observe(fn func(promise.Event)) { d.events.Observe(fn) }

// Kernel returns the service container, for tests and dumps.
func (d *Daemon) Kernel() *kernel.Kernel { return d.kernel }
