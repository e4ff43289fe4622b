// Package member provides the "member.list" service: the list of live daemons.
// It runs the failure detector of core/member on the monotonic clock and
// carries its messages over drpc. Other services use it as port.Members.
//
// The list is eventually consistent: daemons may disagree for a while about
// which others are live.
package member

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/member"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

const (
	// tickInterval is the interval between two calls of Machine.Tick.
	tickInterval = 100 * time.Millisecond
	// conflictWarningInterval is the minimum interval between two warnings of a
	// duplicate name. The service is unhealthy for twice this time after one.
	conflictWarningInterval = time.Minute
)

// Service is the "member.list" service. Its methods are safe for concurrent
// use.
type Service struct {
	rpc.DRPCMembersUnimplementedServer
	settings   *settings.Settings
	log        *zap.Logger
	link       port.Link
	view       port.View
	kernel     *kernel.Kernel
	metrics    metrics
	startedAt  time.Time
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu              sync.Mutex
	machine         *member.Machine
	isLeaving       bool
	lastConflictAt  time.Time
	conflictAddress string
}

// New returns the service of the daemon that self names.
func New(set *settings.Settings, log *zap.Logger, self port.Holder) *Service {
	s := &Service{settings: set, log: log.Named("member"), metrics: newMetrics(), startedAt: time.Now()}
	rng := rand.New(rand.NewPCG(self.Incarnation, uint64(len(set.Name))))
	s.machine = member.New(member.State{Name: set.Name, Incarnation: self.Incarnation, Info: s.localInfo(0, 0)}, set.Seeds, member.DefaultOptions(), rng)
	return s
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameMembers }

// Needs returns the names of the link, view and metrics services.
func (s *Service) Needs() []string {
	return []string{port.NameLink, port.NameView, port.NameMetrics}
}

// Start registers the RPC server and the metrics and starts to probe.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	err := error(nil)
	if s.link, err = kernel.Find[port.Link](k, port.NameLink); err != nil {
		return err
	}
	if s.view, err = kernel.Find[port.View](k, port.NameView); err != nil {
		return err
	}
	m, err := kernel.Find[port.Metrics](k, port.NameMetrics)
	if err != nil {
		return err
	}
	if err := s.metrics.register(m.Registerer(), s); err != nil {
		return err
	}
	s.kernel = k
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.goroutines.Go(s.run)
	return rpc.DRPCRegisterMembers(s.link.Mux(), s)
}

func (s *Service) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		s.sendAll(s.dueRequests())
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// dueRequests updates this daemon's own state and returns the requests that are
// due.
func (s *Service) dueRequests() []member.Request {
	version := s.localVersion()
	load := s.localLoad()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.Update(s.localInfo(version, load))
	out := s.machine.Tick(elapsedSince(s.startedAt))
	s.logChanges()
	return out
}

// localVersion returns the version of the configuration in force or, if the
// settings have routing, of the route table; zero if there is none yet.
func (s *Service) localVersion() uint64 {
	if s.settings.Routing == nil {
		return s.view.Snapshot().Version
	}
	tables, ok := s.view.(port.TableView)
	if !ok || tables.Routes() == nil {
		return 0
	}
	return tables.Routes().Table.Version
}

func (s *Service) localInfo(version uint64, load uint32) member.Info {
	return member.Info{
		Region: s.settings.Region, DataCentre: s.settings.DataCentre, PeerAddress: s.settings.Addresses.Peers, CallerAddress: s.settings.Addresses.Callers,
		UpstreamAddress: s.settings.Addresses.Upstreams, HasReplica: s.settings.HasRole(settings.Replica), ConfigVersion: version, LoadPermille: load, IsLeaving: s.isLeaving,
	}
}

// localLoad returns the entry's load in units of 1/loadScale, zero until the
// entry, which starts after this service, is registered.
func (s *Service) localLoad() uint32 {
	l, err := kernel.Find[port.LoadReporter](s.kernel, port.NameEntry)
	if err != nil {
		return 0
	}
	return uint32(min(1, max(0, l.Load())) * loadScale)
}

func (s *Service) sendAll(requests []member.Request) {
	for _, r := range requests {
		s.goroutines.Go(func() { s.sendRequest(r) })
	}
}

// sendRequest sends one request and reports its outcome to the machine.
func (s *Service) sendRequest(r member.Request) {
	reply, err := s.call(s.ctx, r)
	if s.ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	next := []member.Request(nil)
	if err == nil {
		next = s.machine.HandleReply(elapsedSince(s.startedAt), r.ID, reply)
	} else {
		next = s.machine.HandleFailure(elapsedSince(s.startedAt), r.ID)
	}
	s.logChanges()
	s.mu.Unlock()
	s.sendAll(next)
}

func (s *Service) call(ctx context.Context, r member.Request) (member.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	in := EncodeRequest(s.settings.Name, r)
	s.metrics.recordSent(proto.Size(in))
	out, err := rpc.NewDRPCMembersClient(s.link.Conn(r.Address)).Probe(ctx, in)
	if err != nil {
		return member.Reply{}, err
	}
	s.metrics.recordReceived(proto.Size(out))
	return decodeReply(out), nil
}

// Probe handles a probe or join request of another daemon.
func (s *Service) Probe(ctx context.Context, in *rpc.ProbeRequest) (*rpc.ProbeReply, error) {
	s.metrics.recordReceived(proto.Size(in))
	s.mu.Lock()
	reply, relay := s.machine.HandleRequest(elapsedSince(s.startedAt), decodeRequest(in))
	s.logChanges()
	s.mu.Unlock()
	if relay != nil {
		answer, err := s.call(ctx, *relay)
		reply.TargetAlive = err == nil && answer.TargetAlive
	}
	out := EncodeReply(reply)
	s.metrics.recordSent(proto.Size(out))
	return out, nil
}

// logChanges logs membership changes. The caller holds mu.
func (s *Service) logChanges() {
	for _, c := range s.machine.Events() {
		if c.Conflict {
			s.reportConflict(c.State.Info.PeerAddress)
			continue
		}
		fields := []zap.Field{zap.String("member", c.State.Name), zap.String("address", c.State.Info.PeerAddress), zap.Uint64("incarnation", c.State.Incarnation)}
		switch c.State.Status {
		case member.Suspect:
			s.log.Info("daemon does not answer", fields...)
		case member.Dead:
			s.log.Warn("daemon is dead", fields...)
		case member.Left:
			s.log.Info("daemon left", fields...)
		case member.Alive:
			s.log.Info("daemon is live", fields...)
		}
	}
}

func (s *Service) reportConflict(address string) {
	if time.Since(s.lastConflictAt) < conflictWarningInterval {
		return
	}
	s.lastConflictAt = time.Now()
	s.conflictAddress = address
	s.log.Error("another daemon uses this daemon's name; give each its own name in its settings", zap.String("address", address))
}

// Live returns the live daemons including this one, sorted by name.
func (s *Service) Live() []port.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []port.Member{toPortMember(s.machine.Self())}
	for _, m := range s.machine.Members() {
		if m.Status.IsLive() {
			out = append(out, toPortMember(m))
		}
	}
	slices.SortFunc(out, func(a, b port.Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Find returns a live daemon by name.
func (s *Service) Find(name string) (port.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name == s.settings.Name {
		return toPortMember(s.machine.Self()), true
	}
	m, ok := s.machine.Find(name)
	return toPortMember(m), ok && m.Status.IsLive()
}

// AnnounceDrain tells the other daemons that this one drains and accepts no new
// callers.
func (s *Service) AnnounceDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isLeaving = true
	i := s.machine.Self().Info
	i.IsLeaving = true
	s.machine.Update(i)
}

// Stop stops probing and tells a few daemons that this one has left.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.goroutines.Wait()
	s.mu.Lock()
	s.machine.Leave()
	requests := s.machine.LeaveRequests()
	s.mu.Unlock()
	leaving := sync.WaitGroup{}
	for _, r := range requests {
		leaving.Go(func() { _, _ = s.call(context.Background(), r) })
	}
	leaving.Wait()
	return nil
}

// Health returns an error while another daemon uses this daemon's name.
func (s *Service) Health() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conflictAddress == "" || time.Since(s.lastConflictAt) > 2*conflictWarningInterval {
		return nil
	}
	return fmt.Errorf("the daemon at %s has the name %q too; give each its own name in its settings", s.conflictAddress, s.settings.Name)
}

// memberDump is one known daemon in a dump.
type memberDump struct {
	Name        string `json:"name"`
	Status      string `json:"status"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	Leaving     bool   `json:"leaving,omitempty"`
}

// Dump returns all known daemons, including dead ones.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []memberDump{}
	for _, m := range append(s.machine.Members(), s.machine.Self()) {
		out = append(out, memberDump{Name: m.Name, Status: m.Status.String(), Incarnation: m.Incarnation, Address: m.Info.PeerAddress, Leaving: m.Info.IsLeaving})
	}
	return out
}
