// Package registry receives the announcements of upstreams and hands them to
// the dispatchers of their pools.
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

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/api/upstream"
	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

const (
	// leaseMS is how long an announcement holds, in milliseconds.
	leaseMS = 2000
	// renewMS is how often upstreams announce, in milliseconds.
	renewMS = 500
	// maxAnnouncement is the largest announcement, in bytes.
	maxAnnouncement = 1 << 20
	// readTimeout bounds reading one announcement.
	readTimeout = 5 * time.Second
	// idleTimeout closes upstreams' connections that carry no announcement.
	idleTimeout = 30 * time.Second
	// maxAddresses is how many daemons a renewal names.
	maxAddresses = 16
)

// held is an announcement until its lease ends.
type held struct {
	state   *rpc.UpstreamState
	place   port.Place
	expires time.Time
}

// Service is the "upstream.registry" service.
type Service struct {
	set    *settings.Settings
	log    *zap.Logger
	server *http.Server
	ln     net.Listener
	// members are the daemons that upstreams may announce themselves to.
	members port.Members

	mu          sync.Mutex
	held        map[string]held
	subscribers map[port.Place]map[int]func(*rpc.UpstreamState)
	nextID      int
}

// New returns the service.
func New(set *settings.Settings, log *zap.Logger) *Service {
	return &Service{
		set: set, log: log.Named("upstream"), held: map[string]held{},
		subscribers: map[port.Place]map[int]func(*rpc.UpstreamState){},
	}
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameUpstreams }

// Needs returns the members, whom upstreams are told of.
func (s *Service) Needs() []string { return []string{port.NameMembers} }

// Start listens for announcements.
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

func (s *Service) announce(w http.ResponseWriter, r *http.Request) {
	if !s.authentic(r) {
		refuse(w, fault.New(fault.Unauthenticated, "send a key whose hash the daemon's settings list", "the upstream's key is wrong"))
		return
	}
	a := upstream.Announcement{}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement)).Decode(&a); err != nil {
		refuse(w, fault.New(fault.Malformed, "see docs/UPSTREAMS.md", "the announcement is not readable: %v", err))
		return
	}
	if a.Name == "" || a.Pool == "" || a.Address == "" || a.Slots < 1 {
		refuse(w, fault.New(fault.Malformed, "give name, pool, address and slots", "the announcement is incomplete"))
		return
	}
	if !s.accept(a) {
		refuse(w, fault.New(fault.Conflict, "give each upstream its own name, and a higher incarnation at each start", "a later incarnation of %q is announced", a.Name))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(upstream.Renewal{LeaseMS: leaseMS, RenewMS: renewMS, Addresses: s.addresses()})
}

func refuse(w http.ResponseWriter, e *fault.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.HTTPStatus())
	_, _ = w.Write(e.Encode())
}

func (s *Service) authentic(r *http.Request) bool {
	if len(s.set.UpstreamKeys) == 0 {
		return true
	}
	key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	return slices.Contains(s.set.UpstreamKeys, config.HashKey(key))
}

// addresses lists where else upstreams may announce themselves, this daemon
// first.
func (s *Service) addresses() []string {
	out := []string{s.set.Addresses.Upstreams}
	for _, m := range s.members.Live() {
		if m.Upstreams != "" && !slices.Contains(out, m.Upstreams) && len(out) < maxAddresses {
			out = append(out, m.Upstreams)
		}
	}
	return out
}

// accept keeps an announcement and passes it on. It returns false where a later
// incarnation of the same upstream is held.
func (s *Service) accept(a upstream.Announcement) bool {
	state := &rpc.UpstreamState{
		Name: a.Name, Address: a.Address, Region: a.Region, DataCentre: a.DataCentre,
		Incarnation: a.Incarnation, Slots: uint32(a.Slots), Leaving: a.Leaving, LeaseMs: leaseMS,
		Running: uint32(a.Running), ReportAgeMs: uint32(a.AgeMS), Version: a.Version,
	}
	for _, e := range a.Events {
		state.CacheEvents = append(state.CacheEvents, &rpc.CacheEvent{Sequence: e.Sequence, Evicted: e.Evicted, Blocks: e.Blocks})
	}
	at := port.Place{Pool: a.Pool, Region: a.Region}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune()
	if s.held[a.Name].state.GetIncarnation() > a.Incarnation {
		return false
	}
	s.held[a.Name] = held{state: state, place: at, expires: time.Now().Add(leaseMS * time.Millisecond)}
	for _, fn := range s.subscribers[at] {
		fn(state)
	}
	return true
}

// prune forgets announcements whose lease has ended.
func (s *Service) prune() {
	now := time.Now()
	for name, h := range s.held {
		if h.expires.Before(now) {
			delete(s.held, name)
		}
	}
}

// Address returns where announcements are taken; it is known once started.
func (s *Service) Address() string { return s.ln.Addr().String() }

// Subscribe passes on a place's announcements; fn must not block.
func (s *Service) Subscribe(at port.Place, fn func(*rpc.UpstreamState)) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.nextID
	s.nextID++
	if s.subscribers[at] == nil {
		s.subscribers[at] = map[int]func(*rpc.UpstreamState){}
	}
	s.subscribers[at][id] = fn
	s.prune()
	for _, h := range s.held {
		if h.place == at {
			fn(h.state)
		}
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscribers[at], id)
	}
}

// Places lists what the upstreams that announce themselves here serve.
func (s *Service) Places() []port.Place {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune()
	out := []port.Place{}
	for _, h := range s.held {
		if !slices.Contains(out, h.place) {
			out = append(out, h.place)
		}
	}
	return out
}

// Stop closes the listener.
func (s *Service) Stop(ctx context.Context) error {
	return s.server.Shutdown(ctx)
}

// Health returns nil.
func (s *Service) Health() error { return nil }

// Dump lists the upstreams that announce themselves here.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []string{}
	for name := range s.held {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
