// Package localsite runs a few daemons on loopback in one process, with real
// sockets and files, for demonstrations, measurements and tests.
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
	// portsEach is how many addresses a daemon has.
	portsEach = 4
	// defaultStopTimeout bounds a daemon's graceful shutdown.
	defaultStopTimeout = 12 * time.Second
	// OperatorKey is the operator's credential.
	OperatorKey = "local-operator"
	// UpstreamKey is the upstreams' credential.
	UpstreamKey = "local-upstream"
)

// Place is where a daemon is.
type Place struct {
	Region     string
	DataCentre string
}

// Options describe a site.
type Options struct {
	// Folder holds the replicas' data.
	Folder string
	// Places has one element a daemon.
	Places []Place
	// Replicas is how many daemons, the first ones, keep the durable state.
	Replicas int
	Log      *zap.Logger
	// Observe, where set, hears of all daemons' events; it must not block.
	Observe func(promise.Event)
	// StopTimeout bounds a daemon's graceful shutdown; zero means 12 seconds.
	StopTimeout time.Duration
}

// Site is a few daemons. Its methods may be called from several goroutines,
// but not twice at once for the same daemon.
type Site struct {
	opt      Options
	Settings []*settings.Settings

	mu      sync.Mutex
	daemons []*daemon.Daemon
}

// Name is the name of a daemon by its position.
func Name(i int) string { return fmt.Sprintf("daemon-%d", i+1) }

// New prepares the settings on loopback ports that were free a moment ago;
// nothing runs yet.
func New(opt Options) (*Site, error) {
	n := len(opt.Places)
	opt.StopTimeout = cmp.Or(opt.StopTimeout, defaultStopTimeout)
	ports, err := freeport.Addresses(n * portsEach)
	if err != nil {
		return nil, err
	}
	s := &Site{opt: opt, daemons: make([]*daemon.Daemon, n)}
	replicas := []settings.Peer{}
	seeds := []string{}
	for i := range n {
		peers := ports[i*portsEach+1]
		seeds = append(seeds, peers)
		if i < opt.Replicas {
			replicas = append(replicas, settings.Peer{Name: Name(i), Address: peers})
		}
	}
	for i, p := range opt.Places {
		mine := ports[i*portsEach:]
		set := &settings.Settings{
			Name: Name(i), Region: p.Region, DataCentre: p.DataCentre,
			Addresses: settings.Addresses{Callers: mine[0], Peers: mine[1], Upstreams: mine[2], Admin: mine[3]},
			Replicas:  replicas, Seeds: seeds,
			OperatorKeys: []string{config.HashKey(OperatorKey)}, UpstreamKeys: []string{config.HashKey(UpstreamKey)},
		}
		if i < opt.Replicas {
			set.Roles = []settings.Role{settings.Replica}
			set.DataFolder = filepath.Join(opt.Folder, Name(i))
		}
		checked, err := recheck(set)
		if err != nil {
			return nil, err
		}
		s.Settings = append(s.Settings, checked)
	}
	return s, nil
}

// recheck passes settings through the same checks as a daemon's file.
func recheck(set *settings.Settings) (*settings.Settings, error) {
	data, err := json.Marshal(set)
	if err != nil {
		return nil, err
	}
	return settings.Parse(set.Name, data)
}

// Start starts one daemon, for the first time or again.
func (s *Site) Start(ctx context.Context, i int) error {
	d, err := daemon.New(s.Settings[i], s.opt.Log)
	if err != nil {
		return err
	}
	if s.opt.Observe != nil {
		d.Observe(s.opt.Observe)
	}
	if err := d.Start(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.daemons[i] = d
	return nil
}

// StartAll starts all daemons at once.
func (s *Site) StartAll(ctx context.Context) error {
	return s.each(func(i int) error { return s.Start(ctx, i) })
}

// each calls fn for all daemons at once and joins the errors.
func (s *Site) each(fn func(i int) error) error {
	errs := make([]error, len(s.Settings))
	wait := sync.WaitGroup{}
	for i := range s.Settings {
		wait.Go(func() { errs[i] = fn(i) })
	}
	wait.Wait()
	return errors.Join(errs...)
}

// take returns a running daemon and forgets it.
func (s *Site) take(i int) *daemon.Daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.daemons[i]
	s.daemons[i] = nil
	return d
}

// Daemon returns a running daemon, or nil.
func (s *Site) Daemon(i int) *daemon.Daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.daemons[i]
}

// Stop stops one daemon gracefully; one that does not run is left alone.
func (s *Site) Stop(i int) error {
	d := s.take(i)
	if d == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.opt.StopTimeout)
	defer cancel()
	if err := d.Stop(ctx); err != nil {
		return fmt.Errorf("%s did not stop gracefully: %w", Name(i), err)
	}
	return nil
}

// StopAll stops all daemons at once, gracefully.
func (s *Site) StopAll() error {
	return s.each(s.Stop)
}

// Kill ends one daemon without a drain.
func (s *Site) Kill(i int) {
	if d := s.take(i); d != nil {
		d.Kill()
	}
}

// KillAll ends all daemons without a drain.
func (s *Site) KillAll() {
	_ = s.each(func(i int) error {
		s.Kill(i)
		return nil
	})
}

// Callers lists the callers' addresses.
func (s *Site) Callers() []string {
	return s.addresses(func(a settings.Addresses) string { return a.Callers })
}

// Upstreams lists the addresses for announcements.
func (s *Site) Upstreams() []string {
	return s.addresses(func(a settings.Addresses) string { return a.Upstreams })
}

// Admins lists the administrative addresses.
func (s *Site) Admins() []string {
	return s.addresses(func(a settings.Addresses) string { return a.Admin })
}

func (s *Site) addresses(of func(settings.Addresses) string) []string {
	out := []string{}
	for _, set := range s.Settings {
		out = append(out, of(set.Addresses))
	}
	return out
}
