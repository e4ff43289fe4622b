// Package member knows which daemons are live. It carries the messages of
// core/member over drpc, on the monotonic clock.
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
	// tick is how often the machine is asked what is due.
	tick = 100 * time.Millisecond
	// conflictPause is the shortest time between two warnings of one name used
	// twice, and how long the service counts as unhealthy after one.
	conflictPause = time.Minute
)

// Service is the "member.list" service.
type Service struct {
	rpc.DRPCMembersUnimplementedServer
	set     *settings.Settings
	log     *zap.Logger
	link    port.Link
	view    port.View
	kernel  *kernel.Kernel
	metrics metrics
	began   time.Time
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup

	mu       sync.Mutex
	machine  *member.Machine
	leaving  bool
	conflict time.Time
	twin     string
}

// New returns the service.
func New(set *settings.Settings, log *zap.Logger, self port.Holder) *Service {
	s := &Service{set: set, log: log.Named("member"), metrics: newMetrics(), began: time.Now()}
	rng := rand.New(rand.NewPCG(self.Incarnation, uint64(len(set.Name))))
	s.machine = member.New(member.State{Name: set.Name, Incarnation: self.Incarnation, Info: s.info(0, 0)}, set.Seeds, member.Defaults(), rng)
	return s
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameMembers }

// Needs returns the link, the view and the metrics.
func (s *Service) Needs() []string {
	return []string{port.NameLink, port.NameView, port.NameMetrics}
}

// Start begins to probe.
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
	s.done.Go(s.run)
	return rpc.DRPCRegisterMembers(s.link.Mux(), s)
}

func (s *Service) run() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		s.send(s.due())
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// due brings this daemon's own state up to date and asks the machine.
func (s *Service) due() []member.Request {
	version := s.version()
	load := s.load()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.Update(s.info(version, load))
	out := s.machine.Tick(elapsed(s.began))
	s.report()
	return out
}

// version is that of the configuration, or of the route table where the daemon
// serves one.
func (s *Service) version() uint64 {
	if s.set.Routing == nil {
		return s.view.Snapshot().Version
	}
	tables, ok := s.view.(port.TableView)
	if !ok || tables.Routes() == nil {
		return 0
	}
	return tables.Routes().Table.Version
}

func (s *Service) info(version uint64, load uint32) member.Info {
	return member.Info{
		Region: s.set.Region, DataCentre: s.set.DataCentre, Peers: s.set.Addresses.Peers, Callers: s.set.Addresses.Callers,
		Upstreams: s.set.Addresses.Upstreams, Replica: s.set.HasRole(settings.Replica), Version: version, Load: load, Leaving: s.leaving,
	}
}

// load asks the entry, which starts after this service.
func (s *Service) load() uint32 {
	l, err := kernel.Find[port.LoadReporter](s.kernel, port.NameEntry)
	if err != nil {
		return 0
	}
	return uint32(min(1, max(0, l.Load())) * loadUnits)
}

func (s *Service) send(requests []member.Request) {
	for _, r := range requests {
		s.done.Go(func() { s.ask(r) })
	}
}

// ask sends one request and gives the machine its outcome.
func (s *Service) ask(r member.Request) {
	reply, err := s.call(s.ctx, r)
	if s.ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	next := []member.Request(nil)
	if err == nil {
		next = s.machine.Acked(elapsed(s.began), r.ID, reply)
	} else {
		next = s.machine.Failed(elapsed(s.began), r.ID)
	}
	s.report()
	s.mu.Unlock()
	s.send(next)
}

func (s *Service) call(ctx context.Context, r member.Request) (member.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	in := EncodeRequest(s.set.Name, r)
	s.metrics.sent(proto.Size(in))
	out, err := rpc.NewDRPCMembersClient(s.link.Conn(r.To)).Probe(ctx, in)
	if err != nil {
		return member.Reply{}, err
	}
	s.metrics.received(proto.Size(out))
	return decodeReply(out), nil
}

// Probe answers another daemon.
func (s *Service) Probe(ctx context.Context, in *rpc.ProbeRequest) (*rpc.ProbeReply, error) {
	s.metrics.received(proto.Size(in))
	s.mu.Lock()
	reply, relay := s.machine.Receive(elapsed(s.began), decodeRequest(in))
	s.report()
	s.mu.Unlock()
	if relay != nil {
		answer, err := s.call(ctx, *relay)
		reply.Alive = err == nil && answer.Alive
	}
	out := EncodeReply(reply)
	s.metrics.sent(proto.Size(out))
	return out, nil
}

// report logs what changed.
func (s *Service) report() {
	for _, c := range s.machine.Changes() {
		if c.Conflict {
			s.reportConflict(c.State.Info.Peers)
			continue
		}
		fields := []zap.Field{zap.String("member", c.State.Name), zap.String("address", c.State.Info.Peers), zap.Uint64("incarnation", c.State.Incarnation)}
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
	if time.Since(s.conflict) < conflictPause {
		return
	}
	s.conflict = time.Now()
	s.twin = address
	s.log.Error("another daemon uses this daemon's name; give each its own name in its settings", zap.String("address", address))
}

// Live returns the live daemons by name, this one included.
func (s *Service) Live() []port.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []port.Member{publish(s.machine.Self())}
	for _, m := range s.machine.Members() {
		if m.Status.Live() {
			out = append(out, publish(m))
		}
	}
	slices.SortFunc(out, func(a, b port.Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Find returns a live daemon by name.
func (s *Service) Find(name string) (port.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name == s.set.Name {
		return publish(s.machine.Self()), true
	}
	m, ok := s.machine.Find(name)
	return publish(m), ok && m.Status.Live()
}

// AnnounceDrain tells the other daemons that this one takes no new callers.
func (s *Service) AnnounceDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	i := s.machine.Self().Info
	i.Leaving = true
	s.machine.Update(i)
}

// Stop tells a few daemons that this one is gone and ends the probes.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.done.Wait()
	s.mu.Lock()
	s.machine.Leave()
	farewell := s.machine.Farewell()
	s.mu.Unlock()
	last := sync.WaitGroup{}
	for _, r := range farewell {
		last.Go(func() { _, _ = s.call(context.Background(), r) })
	}
	last.Wait()
	return nil
}

// Health fails while another daemon uses this daemon's name.
func (s *Service) Health() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.twin == "" || time.Since(s.conflict) > 2*conflictPause {
		return nil
	}
	return fmt.Errorf("the daemon at %s has the name %q too; give each its own name in its settings", s.twin, s.set.Name)
}

// memberDump is one daemon as this one knows it.
type memberDump struct {
	Name        string `json:"name"`
	Status      string `json:"status"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	Leaving     bool   `json:"leaving,omitempty"`
}

// Dump lists the known daemons, the dead ones too.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []memberDump{}
	for _, m := range append(s.machine.Members(), s.machine.Self()) {
		out = append(out, memberDump{Name: m.Name, Status: m.Status.String(), Incarnation: m.Incarnation, Address: m.Info.Peers, Leaving: m.Info.Leaving})
	}
	return out
}
