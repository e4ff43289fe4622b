// Package directory answers callers' question which entries they may use, and
// for how long. No balancer stands before the daemons: callers keep the answer
// for its lifetime and connect directly.
//
// A daemon that drains leaves the answers of all daemons, then serves on until
// every answer that may still name it has run out.
package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

const (
	// life is how long an answer may be kept.
	life = 5 * time.Second
	// spreadTime is how long the news that a daemon drains may take to reach
	// all others, which give out its address until then.
	spreadTime = 3 * time.Second
)

// members is what the directory needs of membership.
type members interface {
	port.Members
	port.Leaver
}

// Service is the "directory" service.
type Service struct {
	set     *settings.Settings
	log     *zap.Logger
	members members
}

// New returns the service.
func New(set *settings.Settings, log *zap.Logger) *Service {
	return &Service{set: set, log: log.Named("directory")}
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameDirectory }

// Needs returns the members.
func (s *Service) Needs() []string { return []string{port.NameMembers} }

// Start finds the members.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	err := error(nil)
	s.members, err = kernel.Find[members](k, port.NameMembers)
	return err
}

// Answer returns callers' addresses, the best first, and how long they may be
// kept. A caller that doesn't say where it is counts as near this daemon.
func (s *Service) Answer(dataCentre string) ([]string, time.Duration) {
	if dataCentre == "" {
		dataCentre = s.set.DataCentre
	}
	if s.set.Routing != nil {
		kept := time.Duration(s.set.Routing.AnswerLifeMS) * time.Millisecond
		return nearest(s.members.Live(), s.set.Routing.DataCentres, dataCentre), kept
	}
	return choose(s.members.Live(), dataCentre, rand.Float64), life
}

// Drain leaves the directory and waits until no caller holds an answer that
// names this daemon, or until the context ends. Meanwhile the daemon serves.
func (s *Service) Drain(ctx context.Context) error {
	if s.set.Routing != nil {
		// The entry itself serves those callers on; see internal/forward.
		return nil
	}
	s.members.Announce()
	s.log.Info("left the directory; serving callers that hold an older answer", zap.Duration("for", life+spreadTime))
	select {
	case <-time.After(life + spreadTime):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stop does nothing.
func (s *Service) Stop(context.Context) error { return nil }

// Health returns nil.
func (s *Service) Health() error { return nil }

// Dump shows the present answer for a caller nearby.
func (s *Service) Dump() any {
	addresses, _ := s.Answer("")
	return struct {
		Addresses []string `json:"addresses"`
	}{addresses}
}
