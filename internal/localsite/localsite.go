// Package localsite runs several daemons on loopback in one process, with real
// sockets and files. Demonstrations, measurements and tests use it.
package localsite

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/internal/daemon"
	"github.com/verbenastep/verbenastep/internal/freeport"
	"github.com/verbenastep/verbenastep/internal/settings"
)

const (
	// portsPerDaemon is the number of addresses of a daemon: for callers, peers,
	// upstreams and administration.
	portsPerDaemon = 4
	// defaultStopTimeout bounds the graceful shutdown of a daemon.
	defaultStopTimeout = 12 * time.Second
	// OperatorKey is the operators' credential on every daemon.
	OperatorKey = "local-operator"
	// UpstreamKey is the upstreams' credential on every daemon.
	UpstreamKey = "local-upstream"
)

// Location is the region and data centre of a daemon.
type Location struct {
	Region     string
	DataCentre string
}

// Options describes a site.
type Options struct {
	// Folder is the parent of the replicas' data folders.
	Folder string
	// Locations lists the location of each daemon.
	Locations []Location
	// Replicas is the number of daemons, counted from the first, that run a
	// replica of the durable state.
	Replicas int
	Log      *zap.Logger
	// Observe, unless nil, is called with the events of all daemons. It must not
	// block.
	Observe func(promise.Event)
	// StopTimeout bounds the graceful shutdown of a daemon; zero means 12
	// seconds.
	StopTimeout time.Duration
}

// Site is a group of daemons. Its methods may be called concurrently, except
// for two calls that start or stop the same daemon.
type Site struct {
	options Options
	// Settings holds the settings of each daemon, in the order of the locations.
	Settings []*settings.Settings

	mu      sync.Mutex
	daemons []*daemon.Daemon
}

// DaemonName returns the name of the daemon at a position.
func DaemonName(i int) string { return fmt.Sprintf("daemon-%d", i+1) }

// New returns a site whose daemons aren't started. It picks loopback ports that
// are free at the time of the call, and returns an error if there are too few
// or the settings are invalid.
func New(options Options) (*Site, error) {
	count := len(options.Locations)
	options.StopTimeout = cmp.Or(options.StopTimeout, defaultStopTimeout)
	addresses, err := freeport.Addresses(count * portsPerDaemon)
	if err != nil {
		return nil, err
	}
	s := &Site{options: options, daemons: make([]*daemon.Daemon, count)}
	replicas := []settings.Peer{}
	seeds := []string{}
	for i := range count {
		peers := addresses[i*portsPerDaemon+1]
		seeds = append(seeds, peers)
		if i < options.Replicas {
			replicas = append(replicas, settings.Peer{Name: DaemonName(i), Address: peers})
		}
	}
	for i, p := range options.Locations {
		own := addresses[i*portsPerDaemon:]
		set := &settings.Settings{
			Name: DaemonName(i), Region: p.Region, DataCentre: p.DataCentre,
			Addresses: settings.Addresses{Callers: own[0], Peers: own[1], Upstreams: own[2], Admin: own[3]},
			Replicas:  replicas, Seeds: seeds,
			OperatorKeys: []string{config.HashKey(OperatorKey)}, UpstreamKeys: []string{config.HashKey(UpstreamKey)},
		}
		if i < options.Replicas {
			set.Roles = []settings.Role{settings.Replica}
			set.DataFolder = filepath.Join(options.Folder, DaemonName(i))
		}
		checked, err := validate(set)
		if err != nil {
			return nil, err
		}
		s.Settings = append(s.Settings, checked)
	}
	return s, nil
}

// validate applies the checks that a daemon applies to its settings file.
func validate(set *settings.Settings) (*settings.Settings, error) {
	data, err := json.Marshal(set)
	if err != nil {
		return nil, err
	}
	return settings.Parse(set.Name, data)
}

// Start starts the daemon at a position, for the first time or after it was
// stopped.
func (s *Site) Start(ctx context.Context, i int) error {
	d, err := daemon.New(s.Settings[i], s.options.Log)
	if err != nil {
		return err
	}
	if s.options.Observe != nil {
		d.Observe(s.options.Observe)
	}
	if err := d.Start(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.daemons[i] = d
	return nil
}

// StartAll starts all daemons concurrently and joins their errors.
func (s *Site) StartAll(ctx context.Context) error {
	return s.forEachDaemon(func(i int) error { return s.Start(ctx, i) })
}

// forEachDaemon calls fn concurrently for all positions and joins the errors.
func (s *Site) forEachDaemon(fn func(i int) error) error {
	errs := make([]error, len(s.Settings))
	wait := sync.WaitGroup{}
	for i := range s.Settings {
		wait.Go(func() { errs[i] = fn(i) })
	}
	wait.Wait()
	return errors.Join(errs...)
}

// detach removes a running daemon from the site and returns it, or nil if it
// isn't running.
func (s *Site) detach(i int) *daemon.Daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.daemons[i]
	s.daemons[i] = nil
	return d
}

// Daemon returns the running daemon at a position, or nil.
func (s *Site) Daemon(i int) *daemon.Daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.daemons[i]
}

// Stop shuts one daemon down gracefully. It does nothing if the daemon isn't
// running.
func (s *Site) Stop(i int) error {
	d := s.detach(i)
	if d == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.options.StopTimeout)
	defer cancel()
	if err := d.Stop(ctx); err != nil {
		return fmt.Errorf("daemon %s did not shut down gracefully: %w", DaemonName(i), err)
	}
	return nil
}

// StopAll shuts all daemons down gracefully and concurrently, and joins their
// errors.
func (s *Site) StopAll() error {
	return s.forEachDaemon(s.Stop)
}

// Kill stops one daemon without draining it.
func (s *Site) Kill(i int) {
	if d := s.detach(i); d != nil {
		d.Kill()
	}
}

// KillAll stops all daemons without draining them.
func (s *Site) KillAll() {
	_ = s.forEachDaemon(func(i int) error {
		s.Kill(i)
		return nil
	})
}

// CallerAddresses returns the daemons' addresses for callers.
func (s *Site) CallerAddresses() []string {
	return s.addresses(func(a settings.Addresses) string { return a.Callers })
}

// UpstreamAddresses returns the daemons' addresses for upstreams, which accept
// announcements.
func (s *Site) UpstreamAddresses() []string {
	return s.addresses(func(a settings.Addresses) string { return a.Upstreams })
}

// AdminAddresses returns the daemons' administrative addresses.
func (s *Site) AdminAddresses() []string {
	return s.addresses(func(a settings.Addresses) string { return a.Admin })
}

func (s *Site) addresses(of func(settings.Addresses) string) []string {
	out := []string{}
	for _, set := range s.Settings {
		out = append(out, of(set.Addresses))
	}
	return out
}
