// Package view keeps a daemon's copy of the accepted configuration and of the
// leases, fed by a watch on a replica.
//
// Invariant: the version in force never falls.
package view

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/core/routes"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// Service is the "config.view" service.
type Service struct {
	set    *settings.Settings
	log    *zap.Logger
	link   port.Link
	kernel *kernel.Kernel
	events port.Events
	// inForce and tableInForce are the gauges of the versions in force, age that
	// of the last word from a replica.
	inForce      prometheus.Gauge
	tableInForce prometheus.Gauge
	age          prometheus.GaugeFunc
	cancel       context.CancelFunc
	done         sync.WaitGroup

	mu      sync.Mutex
	files   config.Files
	current port.Snapshot
	leases  map[string]state.Lease
	// suspects are the whole list as last heard.
	suspects []state.Suspect
	changed  chan struct{}
	// source is the replica that is watched, index the log position reached.
	source string
	index  uint64
	// heard is when the last update or keepalive came.
	heard time.Time
	// routes is the route table in force.
	routes *routes.Index
	leader port.Leader
}

// New returns the service.
func New(set *settings.Settings, log *zap.Logger) *Service {
	s := &Service{
		set: set, log: log.Named("view"), files: config.Files{},
		current: port.Snapshot{Digest: config.Files{}.Digest(), Config: &config.Config{}},
		leases:  map[string]state.Lease{}, changed: make(chan struct{}), heard: time.Now(),
		inForce: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "verbenastep", Subsystem: "config", Name: "version_in_force", Help: "Configuration version in force on this daemon.",
		}),
		tableInForce: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "verbenastep", Subsystem: "routes", Name: "version_in_force", Help: "Route table version in force on this daemon.",
		}),
	}
	s.age = prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "verbenastep", Subsystem: "config", Name: "age_seconds", Help: "Time since a replica last confirmed what is in force.",
	}, s.sinceHeard)
	return s
}

func (s *Service) sinceHeard() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.heard).Seconds()
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameView }

// Needs returns the link, and who takes events and metrics.
func (s *Service) Needs() []string { return []string{port.NameLink, port.NameEvents, port.NameMetrics} }

// Start begins watching.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	link, err := kernel.Find[port.Link](k, port.NameLink)
	if err != nil {
		return err
	}
	s.link = link
	s.kernel = k
	if s.events, err = kernel.Find[port.Events](k, port.NameEvents); err != nil {
		return err
	}
	metrics, err := kernel.Find[port.Metrics](k, port.NameMetrics)
	if err != nil {
		return err
	}
	for _, c := range []prometheus.Collector{s.inForce, s.tableInForce, s.age} {
		if err := metrics.Registerer().Register(c); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done.Go(func() { s.run(ctx) })
	return nil
}

// take applies one update; on an error the watch begins anew, which yields a
// snapshot.
func (s *Service) take(u *rpc.WatchUpdate) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(u.Config) > 0 {
		if err := s.takeConfig(u.Config); err != nil {
			return err
		}
	}
	for _, data := range u.Leases {
		l := state.Lease{}
		if err := json.Unmarshal(data, &l); err != nil {
			return err
		}
		if l.Epoch >= s.leases[l.Name].Epoch {
			s.leases[l.Name] = l
		}
	}
	if u.SuspectsFull {
		if err := s.takeSuspects(u.Suspects); err != nil {
			return err
		}
	}
	if err := s.takeTable(u); err != nil {
		return err
	}
	leader := port.Leader{Address: u.LeaderAddress, Term: u.LeaderTerm}
	moved := s.leader != leader
	s.leader = leader
	if len(u.Config) == 0 && len(u.Leases) == 0 && !u.SuspectsFull && len(u.Table) == 0 && !moved {
		return nil
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

func (s *Service) takeSuspects(list [][]byte) error {
	suspects := []state.Suspect{}
	for _, data := range list {
		x := state.Suspect{}
		if err := json.Unmarshal(data, &x); err != nil {
			return err
		}
		suspects = append(suspects, x)
	}
	s.suspects = suspects
	return nil
}

func (s *Service) takeConfig(data []byte) error {
	d := config.Delta{}
	if err := json.Unmarshal(data, &d); err != nil {
		return err
	}
	if d.Version < s.current.Version {
		s.log.Warn("older configuration ignored", zap.Uint64("offered", d.Version), zap.Uint64("in_force", s.current.Version))
		return nil
	}
	files, err := d.Apply(s.files)
	if err != nil {
		return err
	}
	merged, err := config.Merge(files)
	if err != nil {
		return err
	}
	s.files = files
	s.current = port.Snapshot{Version: d.Version, Digest: d.Digest, Config: merged}
	s.inForce.Set(float64(d.Version))
	s.log.Info("configuration in force", zap.Uint64("version", d.Version))
	if s.events != nil {
		s.events.Record(promise.Event{Kind: promise.InForce, Version: d.Version, Digest: d.Digest})
	}
	return nil
}

// Snapshot returns the configuration in force.
func (s *Service) Snapshot() port.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Files returns the files in force.
func (s *Service) Files() config.Files {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.files
}

// Lease returns a lease as last heard.
func (s *Service) Lease(name string) state.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[name]
	l.Name = name
	return l
}

// Suspects returns the crash count of each suspect fingerprint of a pool.
func (s *Service) Suspects(pool string) map[uint64]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[uint64]int{}
	for _, x := range s.suspects {
		if x.Pool == pool {
			out[x.Fingerprint] = x.Crashes
		}
	}
	return out
}

// Changed returns a channel that is closed at the next change.
func (s *Service) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Stop ends the watch.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.done.Wait()
	return nil
}

// Health returns nil: an old configuration is better than none.
func (s *Service) Health() error { return nil }

// Dump shows the version in force and the leases.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	leases := make([]state.Lease, 0, len(s.leases))
	for _, l := range s.leases {
		leases = append(leases, l)
	}
	return struct {
		Version uint64        `json:"version"`
		Digest  string        `json:"digest"`
		Replica string        `json:"replica"`
		Index   uint64        `json:"index"`
		Leases  []state.Lease `json:"leases"`
	}{s.current.Version, s.current.Digest, s.source, s.index, leases}
}
