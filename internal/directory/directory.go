// Package directory tells callers which entries they may use and for how long.
// It replaces a load balancer in front of the daemons: callers cache the answer
// for its TTL and connect to the entries directly. Other services use it as
// port.Directory.
//
// A draining daemon is removed from the answers of all daemons and continues to
// serve until every answer that may still list it has expired.
package directory

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
	"github.com/verbenastep/verbenastep/internal/wait"
)

const (
	// answerTTL is how long callers may cache an answer.
	answerTTL = 5 * time.Second
	// propagationTimeout bounds how long the announcement that a daemon drains
	// takes to reach all others; until then they still list the daemon.
	propagationTimeout = 3 * time.Second
)

// members is the part of the member service that the directory uses.
type members interface {
	port.Members
	port.DrainAnnouncer
}

// Service is the "directory" service. Its methods are safe for concurrent use.
type Service struct {
	set     *settings.Settings
	log     *zap.Logger
	members members
	started time.Time
	// isolation is used with a route table.
	isolation isolation
	cancel    context.CancelFunc
	done      sync.WaitGroup
}

// New returns the service.
func New(set *settings.Settings, log *zap.Logger) *Service {
	return &Service{set: set, log: log.Named("directory"), started: time.Now()}
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameDirectory }

// Needs returns the member list.
func (s *Service) Needs() []string { return []string{port.NameMembers} }

// Start looks up the member list.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	err := error(nil)
	if s.members, err = kernel.Find[members](k, port.NameMembers); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	if s.set.Routing != nil {
		s.done.Go(func() { s.watchMembers(ctx) })
	}
	return nil
}

// watchMembers keeps the remembered member list current between answers.
func (s *Service) watchMembers(ctx context.Context) {
	for ctx.Err() == nil {
		s.isolation.members(time.Since(s.started), s.members.Live())
		wait.Sleep(ctx, isolationInterval)
	}
}

// Answer returns the callers' addresses of entries for a caller in a data centre,
// the best first, and how long the answer may be cached. An empty dataCentre
// means this daemon's. A daemon that is partitioned from most others also names those that it has
// lost.
func (s *Service) Answer(dataCentre string) ([]string, time.Duration) {
	if dataCentre == "" {
		dataCentre = s.set.DataCentre
	}
	if s.set.Routing != nil {
		ttl := settings.Milliseconds(s.set.Routing.AnswerTTLMS)
		members := s.isolation.members(time.Since(s.started), s.members.Live())
		return nearest(members, s.set.Routing.DataCentres, dataCentre), ttl
	}
	return choose(s.members.Live(), dataCentre, rand.Float64), answerTTL
}

// Drain removes this daemon from the directory and waits until every answer that
// lists it has expired, or ctx ends. The daemon serves meanwhile.
func (s *Service) Drain(ctx context.Context) error {
	if s.set.Routing != nil {
		// internal/forward itself serves these callers until they have moved.
		return nil
	}
	s.members.AnnounceDrain()
	s.log.Info("left the directory; serving callers that hold an older answer", zap.Duration("for", answerTTL+propagationTimeout))
	select {
	case <-time.After(answerTTL + propagationTimeout):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stop ends the watch of the member list.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.done.Wait()
	return nil
}

// Health always returns nil.
func (s *Service) Health() error { return nil }

// Dump returns the current answer for a caller in this daemon's data centre.
func (s *Service) Dump() any {
	addresses, _ := s.Answer("")
	return struct {
		Addresses []string `json:"addresses"`
	}{addresses}
}
