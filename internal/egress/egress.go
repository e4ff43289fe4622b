// Package egress opens an entry's connections to upstreams. Package forward uses it.
//
// An entry may be partitioned from upstreams that other entries reach. It then connects through
// another entry: a tunnel carries the bytes of one connection, and the entry goes on to decide
// about its requests by itself. The other entry only connects directly, so tunnels never form
// chains or loops.
//
// Where a connection fails, egress finds out whose fault it is. An upstream is at fault only if
// an entry that reaches others does not reach it either.
package egress

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/paths"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
	"github.com/verbenastep/verbenastep/internal/wait"
)

const (
	// tunnelDelay is how long a direct connection may take before a tunnel is tried as
	// well. It is several round trips between regions.
	tunnelDelay = 150 * time.Millisecond
	// probeCheckInterval is how often the service looks whether a probe is due.
	probeCheckInterval = 100 * time.Millisecond
	// drainPollInterval is how often a draining entry looks whether it carries tunnels.
	drainPollInterval = 20 * time.Millisecond
)

// Service is the "entry.egress" service. It is safe for concurrent use.
type Service struct {
	rpc.DRPCTunnelUnimplementedServer
	set       *settings.Settings
	log       *zap.Logger
	direct    atomic.Pointer[DialFunc]
	link      port.Link
	members   port.Members
	upstreams port.UpstreamAddresses
	metrics   *metrics
	started   time.Time
	ctx       context.Context
	cancel    context.CancelFunc
	done      sync.WaitGroup
	// carried is the number of tunnels of other entries that this one carries.
	carried atomic.Int64

	mu    sync.Mutex
	paths *paths.Tracker
	// badPeers holds the entries that could not help, and until when they are asked last;
	// goodPeers those that helped, and until when they are asked first.
	badPeers  map[string]time.Time
	goodPeers map[string]time.Time
	// checks holds the checks of upstreams that run or whose verdict is recent.
	checks map[string]*check
}

// New returns the service; Start starts it. Without Start it connects directly only.
func New(set *settings.Settings, log *zap.Logger) *Service {
	s := &Service{
		set: set, log: log.Named("egress"), metrics: newMetrics(), started: time.Now(), paths: paths.New(),
		badPeers: map[string]time.Time{}, goodPeers: map[string]time.Time{}, checks: map[string]*check{},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.SetDirect(DialDirectly)
	return s
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameEgress }

// Needs returns the services that tunnels use.
func (s *Service) Needs() []string {
	return []string{port.NameLink, port.NameMembers, port.NameBrokerClient, port.NameMetrics}
}

// Start registers the service with the link and starts to probe lost paths.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	err := error(nil)
	if s.link, err = kernel.Find[port.Link](k, port.NameLink); err != nil {
		return err
	}
	if s.members, err = kernel.Find[port.Members](k, port.NameMembers); err != nil {
		return err
	}
	if s.upstreams, err = kernel.Find[port.UpstreamAddresses](k, port.NameBrokerClient); err != nil {
		return err
	}
	registry, err := kernel.Find[port.Metrics](k, port.NameMetrics)
	if err != nil {
		return err
	}
	if err := s.metrics.register(registry.Registerer()); err != nil {
		return err
	}
	s.done.Go(s.probeLoop)
	return rpc.DRPCRegisterTunnel(s.link.Mux(), s)
}

// Drain waits for the tunnels that this entry carries, until ctx ends. Stop cuts off those that
// are left. New ones are refused from the moment that the daemon announces its drain.
func (s *Service) Drain(ctx context.Context) error {
	for s.carried.Load() > 0 && ctx.Err() == nil {
		wait.Sleep(ctx, drainPollInterval)
	}
	carried := s.carried.Load()
	if carried == 0 {
		return nil
	}
	s.metrics.cut.Add(float64(carried))
	s.log.Warn("carried tunnels are cut off", zap.Int64("carried", carried))
	return ctx.Err()
}

// Stop ends the probes and the tunnels.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.done.Wait()
	return nil
}

// Health returns nil: an entry without a path of its own serves through others.
func (s *Service) Health() error { return nil }

// Dump returns whether the entry is partitioned from all upstreams.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return struct {
		Partitioned bool `json:"partitioned"`
	}{s.paths.IsPartitioned()}
}

// SetDirect replaces how this daemon connects to upstreams, for tests of partitions.
func (s *Service) SetDirect(dial DialFunc) { s.direct.Store(&dial) }

func (s *Service) now() time.Duration { return time.Since(s.started) }

// IsPathLost reports whether the entry can't connect to the upstream at an address by itself,
// while other entries can.
func (s *Service) IsPathLost(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.paths.IsLost(s.now(), address)
}

// dialed is the result of trying to connect, directly or through another entry.
type dialed struct {
	conn   net.Conn
	err    error
	result Result
	tunnel bool
}

// Dial opens a connection to the upstream at an address: directly, and through another entry if
// that fails or takes long, or if the path is known to be lost. It returns a *DialError, or the
// context's error if that ends first. IsTunnel tells which way the connection takes.
func (s *Service) Dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &race{s: s, address: address, results: make(chan dialed, 2)}
	first, second := s.dialDirect, s.dialTunnel
	delay := tunnelDelay
	if s.IsPathLost(address) {
		first, second, delay = s.dialTunnel, s.dialDirect, tunnelTimeout
	}
	r.start(ctx, first)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	failed := &DialError{Address: address, Result: Unknown}
	for started := 1; r.open > 0; {
		select {
		case <-ctx.Done():
			go r.close(nil)
			return nil, ctx.Err()
		case <-timer.C:
		case d := <-r.results:
			r.open--
			if d.conn != nil {
				s.recordConnected(address, d, failed.Direct)
				go r.close(&d)
				return d.conn, nil
			}
			failed.add(d)
		}
		if started == 1 {
			started = 2
			r.start(ctx, second)
		}
	}
	return nil, failed
}

// race is a number of attempts to connect to one upstream, of which the first to succeed counts.
type race struct {
	s       *Service
	address string
	results chan dialed
	// open is the number of attempts whose result was not received.
	open int
}

// start starts an attempt.
func (r *race) start(ctx context.Context, dial func(context.Context, string) dialed) {
	r.open++
	go func() { r.results <- dial(ctx, r.address) }()
}

// close closes the connections of late attempts. It learns from a direct one that was overtaken
// by a tunnel whether the path is lost or only slow.
func (r *race) close(winner *dialed) {
	for range r.open {
		d := <-r.results
		if d.conn != nil {
			_ = d.conn.Close()
		}
		if winner != nil && winner.tunnel && !d.tunnel {
			r.s.recordDirect(r.address, d.err)
		}
	}
}

// closeLate closes the connections of attempts that another one has overtaken.
func closeLate(results <-chan dialed, open int) {
	for range open {
		if d := <-results; d.conn != nil {
			_ = d.conn.Close()
		}
	}
}

// recordConnected learns from a connection which paths work; direct is the error of a direct
// attempt that failed before.
func (s *Service) recordConnected(address string, d dialed, direct error) {
	switch {
	case !d.tunnel:
		s.recordDirect(address, nil)
	case direct != nil:
		s.recordDirect(address, direct)
	default:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.paths.RecordDetour(s.now(), address)
	}
}

// recordDirect records the end of a direct attempt to connect to an upstream that was reached.
func (s *Service) recordDirect(address string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.recordConnection(address)
		return
	}
	s.recordFailure(address)
}

// recordConnection records a direct connection. The caller holds the lock.
func (s *Service) recordConnection(address string) {
	if s.paths.RecordConnection(address) {
		s.log.Info("upstreams reached again", zap.String("address", address))
	}
}

// recordFailure records a direct connection that failed while another entry connected. The
// caller holds the lock.
func (s *Service) recordFailure(address string) {
	if s.paths.RecordFailure(s.now(), address) {
		s.log.Warn("partitioned from the upstreams; connecting through other entries", zap.String("address", address))
	}
}

// dialDirect connects from this entry. It goes on for its own timeout if ctx ends, so that the
// state of the path becomes known.
func (s *Service) dialDirect(ctx context.Context, address string) dialed {
	conn, err := (*s.direct.Load())(context.WithoutCancel(ctx), address)
	return dialed{conn: conn, err: err}
}

// probeLoop tries lost paths again until the service stops.
func (s *Service) probeLoop() {
	for s.ctx.Err() == nil {
		wait.Sleep(s.ctx, probeCheckInterval)
		s.mu.Lock()
		address, due := s.paths.Probe(s.now())
		s.metrics.partitioned.Set(map[bool]float64{true: 1}[s.paths.IsPartitioned()])
		s.mu.Unlock()
		if due {
			s.probe(address)
		}
	}
}

// probe tries one lost path again.
func (s *Service) probe(address string) {
	d := s.dialDirect(s.ctx, address)
	if d.err != nil {
		s.log.Debug("path is still lost", zap.String("address", address), zap.Error(d.err))
		return
	}
	_ = d.conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordConnection(address)
}
