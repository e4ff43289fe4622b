// Package registry receives the announcements of upstreams over HTTP and passes
// them to subscribers; internal/schedclient subscribes and forwards them to the
// dispatchers. An announcement is kept until its lease ends, and a later
// incarnation of an upstream is never replaced by an earlier one.
package registry

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/api/upstream"
	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/internal/clock"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

const (
	// leaseMS is the validity of an announcement, in milliseconds.
	leaseMS = 2000
	// renewMS is the interval at which upstreams renew their announcement, in
	// milliseconds.
	renewMS = 500
	// maxAnnouncementBytes is the maximum size of an announcement's body.
	maxAnnouncementBytes = 1 << 20
	// readTimeout bounds reading an announcement, and writing its answer.
	readTimeout = 5 * time.Second
	// idleTimeout closes upstreams' connections without announcements.
	idleTimeout = 30 * time.Second
	// maxAddresses is the maximum number of daemons listed in a renewal.
	maxAddresses = 16
)

// lastAnnouncement is the last announcement of an upstream.
type lastAnnouncement struct {
	state *rpc.UpstreamState
	pool  port.PoolRegion
	// expiresAt is when the announcement's lease ends, by the service's elapsed.
	expiresAt time.Duration
}

// Service is the "upstream.registry" service. Its methods are safe for concurrent
// use.
type Service struct {
	set    *settings.Settings
	log    *zap.Logger
	server *http.Server
	ln     net.Listener
	// members lists the daemons to which upstreams may announce themselves.
	members port.Members

	// elapsed counts suspensions of the machine; see package clock.
	elapsed func() time.Duration

	mu sync.Mutex
	// upstreams holds the announcements by the upstream's name.
	upstreams   map[string]lastAnnouncement
	subscribers map[port.PoolRegion]map[int]func(*rpc.UpstreamState)
	nextID      int
}

// New returns the service.
func New(set *settings.Settings, log *zap.Logger) *Service {
	return &Service{
		set: set, log: log.Named("upstream"), elapsed: clock.SinceBoot, upstreams: map[string]lastAnnouncement{},
		subscribers: map[port.PoolRegion]map[int]func(*rpc.UpstreamState){},
	}
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameUpstreams }

// Needs returns the member list, whose addresses upstreams are told.
func (s *Service) Needs() []string { return []string{port.NameMembers} }

// Start listens on the upstreams' address.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	members, err := kernel.Find[port.Members](k, port.NameMembers)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", s.set.Addresses.Upstreams)
	if err != nil {
		return err
	}
	s.members = members
	s.ln = ln
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+upstream.PathAnnounce, s.announce)
	s.server = &http.Server{Handler: mux, ReadTimeout: readTimeout, WriteTimeout: readTimeout, IdleTimeout: idleTimeout}
	go func() { _ = s.server.Serve(ln) }()
	return nil
}

// announce checks and keeps an announcement and answers with its renewal.
func (s *Service) announce(w http.ResponseWriter, r *http.Request) {
	if !s.isAuthenticated(r) {
		writeError(w, fault.New(fault.Unauthenticated, "send a key whose hash the daemon's settings list", "the upstream's key is wrong"))
		return
	}
	a := upstream.Announcement{}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(&a); err != nil {
		writeError(w, fault.New(fault.Malformed, "see docs/UPSTREAMS.md", "the announcement is not readable: %v", err))
		return
	}
	if a.Name == "" || a.Pool == "" || a.Address == "" || a.Slots < 1 {
		writeError(w, fault.New(fault.Malformed, "give name, pool, address and slots", "the announcement is incomplete"))
		return
	}
	if !s.accept(a) {
		writeError(w, fault.New(fault.Conflict, "give each upstream its own name, and a higher incarnation at each start", "a later incarnation of %q is announced", a.Name))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(upstream.Renewal{LeaseMS: leaseMS, RenewMS: renewMS, Addresses: s.addresses()})
}

func writeError(w http.ResponseWriter, e *fault.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.HTTPStatus())
	_, _ = w.Write(e.Encode())
}

// isAuthenticated reports whether a request has a known upstream key. If the
// settings list no keys, every request is accepted.
func (s *Service) isAuthenticated(r *http.Request) bool {
	if len(s.set.UpstreamKeys) == 0 {
		return true
	}
	key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	return slices.Contains(s.set.UpstreamKeys, config.HashKey(key))
}

// addresses lists the daemons' upstream addresses, this daemon's first and at
// most maxAddresses.
func (s *Service) addresses() []string {
	out := []string{s.set.Addresses.Upstreams}
	for _, m := range s.members.Live() {
		if m.Upstreams != "" && !slices.Contains(out, m.Upstreams) && len(out) < maxAddresses {
			out = append(out, m.Upstreams)
		}
	}
	return out
}

// accept stores an announcement and notifies the subscribers. It returns false if
// a later incarnation of the same upstream is known.
func (s *Service) accept(a upstream.Announcement) bool {
	state := &rpc.UpstreamState{
		Name: a.Name, Address: a.Address, Region: a.Region, DataCentre: a.DataCentre,
		Incarnation: a.Incarnation, Slots: uint32(a.Slots), Leaving: a.Leaving, LeaseMs: leaseMS,
		Running: uint32(a.Running), ReportAgeMs: uint32(a.AgeMS), Version: a.Version,
	}
	for _, e := range a.Events {
		state.CacheEvents = append(state.CacheEvents, &rpc.CacheEvent{Sequence: e.Sequence, Evicted: e.Evicted, Blocks: e.Blocks})
	}
	at := port.PoolRegion{Pool: a.Pool, Region: a.Region}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune()
	if s.upstreams[a.Name].state.GetIncarnation() > a.Incarnation {
		return false
	}
	s.upstreams[a.Name] = lastAnnouncement{state: state, pool: at, expiresAt: s.elapsed() + leaseMS*time.Millisecond}
	for _, fn := range s.subscribers[at] {
		fn(state)
	}
	return true
}

// prune deletes the announcements whose lease has ended. The caller holds the
// lock.
func (s *Service) prune() {
	now := s.elapsed()
	for name, u := range s.upstreams {
		if u.expiresAt <= now {
			delete(s.upstreams, name)
		}
	}
}

// Address returns the listening address. It panics before Start.
func (s *Service) Address() string { return s.ln.Addr().String() }

// Subscribe calls fn for the known and each further announcement of a pool in a
// region, until the returned function is called. fn is called with the lock held
// and must not block.
func (s *Service) Subscribe(at port.PoolRegion, fn func(*rpc.UpstreamState)) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.nextID
	s.nextID++
	if s.subscribers[at] == nil {
		s.subscribers[at] = map[int]func(*rpc.UpstreamState){}
	}
	s.subscribers[at][id] = fn
	s.prune()
	for _, u := range s.upstreams {
		if u.pool == at {
			// The lease runs from the announcement, not from the subscription.
			state := proto.Clone(u.state).(*rpc.UpstreamState)
			state.LeaseMs = uint32(max(1, (u.expiresAt - s.elapsed()).Milliseconds()))
			fn(state)
		}
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscribers[at], id)
	}
}

// PoolRegions lists the pools that the upstreams announced to this daemon serve.
func (s *Service) PoolRegions() []port.PoolRegion {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune()
	out := []port.PoolRegion{}
	for _, u := range s.upstreams {
		if !slices.Contains(out, u.pool) {
			out = append(out, u.pool)
		}
	}
	return out
}

// Stop closes the listener and waits for open requests until ctx ends.
func (s *Service) Stop(ctx context.Context) error {
	return s.server.Shutdown(ctx)
}

// Health always returns nil.
func (s *Service) Health() error { return nil }

// Dump lists the names of the upstreams announced to this daemon.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []string{}
	for name := range s.upstreams {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
