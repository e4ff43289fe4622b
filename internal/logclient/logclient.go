// Package logclient is every daemon's way to the replicated log: it finds the
// leader among the replicas and retries what provably did not commit, or what
// has the same effect when it commits twice.
package logclient

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

const (
	// callTimeout bounds one attempt.
	callTimeout = 800 * time.Millisecond
	// totalTimeout bounds all attempts of one call; it outlasts an election.
	totalTimeout = 5 * time.Second
	// firstPause and longestPause bound the wait between attempts, which
	// doubles.
	firstPause   = 10 * time.Millisecond
	longestPause = 200 * time.Millisecond
)

// Service is the "log.client" service.
type Service struct {
	set  *settings.Settings
	log  *zap.Logger
	link port.Link

	mu sync.Mutex
	// leaders holds the address that last answered as leader, by group.
	leaders map[string]string
	// next is the replica to try where no leader is known.
	next   int
	queues map[string]*queue
}

// New returns the service.
func New(set *settings.Settings, log *zap.Logger) *Service {
	return &Service{set: set, log: log.Named("log"), leaders: map[string]string{}, queues: map[string]*queue{}}
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameLog }

// Needs returns the link, and the daemon's own replica where it has one: the
// replica must outlast those who propose.
func (s *Service) Needs() []string {
	needs := []string{port.NameLink}
	if s.set.HasRole(settings.Replica) {
		needs = append(needs, port.NameReplica)
	}
	return needs
}

// Start finds the link.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	link, err := kernel.Find[port.Link](k, port.NameLink)
	s.link = link
	return err
}

// leader returns where the leader is believed to be.
func (s *Service) leader(group string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if address := s.leaders[group]; address != "" {
		return address
	}
	known := s.set.KnownReplicas()
	address := known[s.next%len(known)].Address
	s.next++
	return address
}

// note keeps what an attempt taught; an empty leader means none is known.
func (s *Service) note(group, leader string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaders[group] = leader
}

// answer is what an attempt came to.
type answer struct {
	// refused says that the replica is not the leader; leader may name it.
	refused bool
	leader  string
}

// attempt makes one call to one replica.
type attempt func(ctx context.Context, c rpc.DRPCLogClient) (answer, error)

// toLeader makes attempts until one succeeds. Those that fail without an
// answer are repeated only where again says so. It returns whether an attempt
// may have taken effect.
func (s *Service) toLeader(ctx context.Context, group string, again bool, try attempt) (unknown bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, totalTimeout)
	defer cancel()
	pause := firstPause
	for {
		address := s.leader(group)
		a, failed := s.once(ctx, address, try)
		if failed == nil && !a.refused {
			s.note(group, address)
			return false, nil
		}
		s.note(group, a.leader)
		if failed != nil {
			unknown, err = true, failed
		}
		if failed != nil && !again {
			return unknown, err
		}
		if a.leader != "" && a.leader != address {
			continue
		}
		select {
		case <-ctx.Done():
			return unknown, ctx.Err()
		case <-time.After(pause):
		}
		pause = min(2*pause, longestPause)
	}
}

func (s *Service) once(ctx context.Context, address string, try attempt) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return try(ctx, rpc.NewDRPCLogClient(s.link.Conn(address)))
}

// Lookup reads a claim after all that was committed before the call, from any
// replica.
func (s *Service) Lookup(ctx context.Context, group, workspace, key string) (state.Claim, bool, error) {
	reply := (*rpc.LookupReply)(nil)
	_, err := s.toLeader(ctx, group, true, func(ctx context.Context, log rpc.DRPCLogClient) (answer, error) {
		r, err := log.Lookup(ctx, &rpc.LookupRequest{Group: group, Workspace: workspace, Key: key})
		reply = r
		return answer{refused: r.GetRefused(), leader: r.GetLeader()}, err
	})
	if err != nil {
		return state.Claim{}, false, fault.New(fault.Unavailable, "retry when the log has a leader; see verbenastep replicas", "the log did not answer: %v", err)
	}
	if !reply.Found {
		return state.Claim{}, false, nil
	}
	c := state.Claim{}
	err = json.Unmarshal(reply.Claim, &c)
	return c, err == nil, err
}

// Stop does nothing.
func (s *Service) Stop(context.Context) error { return nil }

// Health returns nil.
func (s *Service) Health() error { return nil }

// Dump shows the replicas and the leaders as last heard of.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	leaders := map[string]string{}
	for group, address := range s.leaders {
		leaders[group] = address
	}
	return struct {
		Replicas []settings.Peer   `json:"replicas"`
		Leaders  map[string]string `json:"leaders"`
	}{s.set.KnownReplicas(), leaders}
}
