// Package view maintains a daemon's copy of the replicated state that it needs:
// the accepted configuration, the route table, the leases, the quarantine
// suspects, the rollouts and the log's leader. A watch on one replica keeps it up to date; the
// daemon's other services read it.
//
// The configuration and route table versions in force never decrease, and the phase of a
// rollout never goes back.
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
	"github.com/verbenastep/verbenastep/core/rollout"
	"github.com/verbenastep/verbenastep/core/routes"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// Service is the "config.view" service. It is safe for concurrent use.
type Service struct {
	set    *settings.Settings
	log    *zap.Logger
	link   port.Link
	kernel *kernel.Kernel
	events port.Events
	// configVersion and tableVersionGauge export the versions in force, age the
	// time since the last message from a replica.
	configVersion     prometheus.Gauge
	tableVersionGauge prometheus.Gauge
	age               prometheus.GaugeFunc
	cancel            context.CancelFunc
	done              sync.WaitGroup

	mu      sync.Mutex
	files   config.Files
	current port.Snapshot
	leases  map[string]state.Lease
	// suspects is the complete list as of the last update.
	suspects []state.Suspect
	changed  chan struct{}
	// source is the watched replica, index the log index it has reached.
	source string
	index  uint64
	// lastUpdateAt is the arrival time of the last update or keepalive.
	lastUpdateAt time.Time
	// routes is the route table in force.
	routes *routes.Index
	leader port.Leader
	// rollouts holds the last rollout of each pool.
	rollouts []rollout.Record
}

// New returns the service.
func New(set *settings.Settings, log *zap.Logger) *Service {
	s := &Service{
		set: set, log: log.Named("view"), files: config.Files{},
		current: port.Snapshot{Digest: config.Files{}.Digest(), Config: &config.Config{}},
		leases:  map[string]state.Lease{}, changed: make(chan struct{}), lastUpdateAt: time.Now(),
		configVersion: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "verbenastep", Subsystem: "config", Name: "version_in_force", Help: "Configuration version in force on this daemon.",
		}),
		tableVersionGauge: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "verbenastep", Subsystem: "routes", Name: "version_in_force", Help: "Route table version in force on this daemon.",
		}),
	}
	s.age = prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "verbenastep", Subsystem: "config", Name: "age_seconds", Help: "Time since a replica last confirmed what is in force.",
	}, s.ageSeconds)
	return s
}

// ageSeconds returns the time since the last update or keepalive.
func (s *Service) ageSeconds() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastUpdateAt).Seconds()
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameView }

// Needs returns the link, the event log and the metrics registry.
func (s *Service) Needs() []string { return []string{port.NameLink, port.NameEvents, port.NameMetrics} }

// Start begins to watch the replicas.
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
	for _, c := range []prometheus.Collector{s.configVersion, s.tableVersionGauge, s.age} {
		if err := metrics.Registerer().Register(c); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done.Go(func() { s.run(ctx) })
	return nil
}

// apply applies one update. After an error the caller starts a new watch, which
// begins with a snapshot.
func (s *Service) apply(u *rpc.WatchUpdate) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(u.Config) > 0 {
		if err := s.applyConfig(u.Config); err != nil {
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
		if err := s.applySuspects(u.Suspects); err != nil {
			return err
		}
	}
	if err := s.applyTable(u); err != nil {
		return err
	}
	rolloutsChanged, err := s.applyRollouts(u)
	if err != nil {
		return err
	}
	leader := port.Leader{Address: u.LeaderAddress, Term: u.LeaderTerm}
	if leader.Address != "" && leader.Term < s.leader.Term {
		// Of two replicas that are watched for a moment, one may not know the new leader yet.
		leader = s.leader
	}
	leaderChanged := s.leader != leader
	s.leader = leader
	if len(u.Config) == 0 && len(u.Leases) == 0 && !u.SuspectsFull && len(u.Table) == 0 && !leaderChanged && !rolloutsChanged {
		return nil
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// applySuspects replaces the list of suspects. The caller holds s.mu.
func (s *Service) applySuspects(list [][]byte) error {
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

// applyConfig applies a delta to the configuration and ignores versions older
// than the one in force. The caller holds s.mu.
func (s *Service) applyConfig(data []byte) error {
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
	s.configVersion.Set(float64(d.Version))
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

// Files returns the configuration files in force.
func (s *Service) Files() config.Files {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.files
}

// Lease returns a lease as of the last update; without a holder if it is unknown.
func (s *Service) Lease(name string) state.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[name]
	l.Name = name
	return l
}

// Suspects returns the crash counts of a pool's suspect requests by fingerprint.
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

// Changed returns a channel that is closed at the next change; keepalives don't
// count.
func (s *Service) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Stop ends the watch and waits for it.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.done.Wait()
	return nil
}

// Health always returns nil: a daemon without contact to a replica keeps working
// with the last configuration.
func (s *Service) Health() error { return nil }

// Dump returns the configuration in force, the watched replica and the leases.
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
