// Package member knows which daemons are live.
package member

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

const (
	// probeEvery is the pause between probes.
	probeEvery = 500 * time.Millisecond
	// deadAfter is how long a daemon stays live without an answer.
	deadAfter = 2 * time.Second
)

// seen is a daemon and when it last answered.
type seen struct {
	member port.Member
	at     time.Time
}

// Service is the "member.list" service.
type Service struct {
	rpc.DRPCMembersUnimplementedServer
	set    *settings.Settings
	log    *zap.Logger
	self   port.Holder
	link   port.Link
	view   port.View
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu   sync.Mutex
	seen map[string]seen
}

// New returns the service.
func New(set *settings.Settings, log *zap.Logger, self port.Holder) *Service {
	return &Service{set: set, log: log.Named("member"), self: self, seen: map[string]seen{}}
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameMembers }

// Needs returns the link and the view.
func (s *Service) Needs() []string { return []string{port.NameLink, port.NameView} }

// Start begins to probe the seeds.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	err := error(nil)
	if s.link, err = kernel.Find[port.Link](k, port.NameLink); err != nil {
		return err
	}
	if s.view, err = kernel.Find[port.View](k, port.NameView); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	for _, seed := range s.set.Seeds {
		s.done.Go(func() { s.watch(ctx, seed) })
	}
	return rpc.DRPCRegisterMembers(s.link.Mux(), s)
}

func (s *Service) watch(ctx context.Context, address string) {
	for ctx.Err() == nil {
		s.probe(ctx, address)
		select {
		case <-ctx.Done():
		case <-time.After(probeEvery):
		}
	}
}

func (s *Service) probe(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, probeEvery)
	defer cancel()
	reply, err := rpc.NewDRPCMembersClient(s.link.Conn(address)).Probe(ctx, &rpc.ProbeRequest{From: s.set.Name})
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range reply.Updates {
		m := port.Member{Name: u.Name, Region: u.Region, DataCentre: u.DataCentre, Peers: u.PeerAddress, Callers: u.CallerAddress, Version: u.ConfigVersion, Replica: u.Replica, Upstreams: u.UpstreamAddress}
		s.seen[u.Name] = seen{member: m, at: time.Now()}
	}
}

// Probe answers for this daemon.
func (s *Service) Probe(context.Context, *rpc.ProbeRequest) (*rpc.ProbeReply, error) {
	m := s.selfMember()
	return &rpc.ProbeReply{Alive: true, Incarnation: s.self.Incarnation, Updates: []*rpc.MemberState{{
		Name: m.Name, Region: m.Region, DataCentre: m.DataCentre, PeerAddress: m.Peers, CallerAddress: m.Callers,
		Incarnation: s.self.Incarnation, ConfigVersion: m.Version, Replica: m.Replica, UpstreamAddress: m.Upstreams,
	}}}, nil
}

func (s *Service) selfMember() port.Member {
	return port.Member{
		Name: s.set.Name, Region: s.set.Region, DataCentre: s.set.DataCentre, Peers: s.set.Addresses.Peers,
		Callers: s.set.Addresses.Callers, Version: s.view.Snapshot().Version, Replica: s.set.HasRole(settings.Replica),
		Upstreams: s.set.Addresses.Upstreams,
	}
}

// Live returns the live daemons by name, this one included.
func (s *Service) Live() []port.Member {
	out := []port.Member{s.selfMember()}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, m := range s.seen {
		if name != s.set.Name && time.Since(m.at) < deadAfter {
			out = append(out, m.member)
		}
	}
	slices.SortFunc(out, func(a, b port.Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Find returns a live daemon by name.
func (s *Service) Find(name string) (port.Member, bool) {
	for _, m := range s.Live() {
		if m.Name == name {
			return m, true
		}
	}
	return port.Member{}, false
}

// Stop ends the probes.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.done.Wait()
	return nil
}

// Health returns nil.
func (s *Service) Health() error { return nil }

// Dump lists the live daemons.
func (s *Service) Dump() any { return s.Live() }
