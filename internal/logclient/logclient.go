// Package logclient provides the client of the replicated log that every daemon
// runs. It finds the leader among the replicas and batches commands.
//
// A command is sent again only if it certainly did not commit, or if committing
// it twice has the same effect as committing it once.
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
	// attemptTimeout bounds one attempt at one replica.
	attemptTimeout = 800 * time.Millisecond
	// callTimeout bounds all attempts of one call; it is longer than an
	// election.
	callTimeout = 5 * time.Second
	// initialBackoff and maxBackoff bound the exponential backoff between
	// attempts.
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = 200 * time.Millisecond
)

// leadership is the part of the replica service that the client uses.
type leadership interface {
	Leadership() (leads bool, leader port.Leader)
}

// Service implements the "log.client" service. It is safe for concurrent use.
type Service struct {
	set  *settings.Settings
	log  *zap.Logger
	link port.Link
	// replica is this daemon's own one; nil if it has none.
	replica leadership

	mu sync.Mutex
	// leaders holds the address of the last known leader by group; it is empty
	// if none is known.
	leaders map[string]string
	// failed holds the address of the last attempt without an answer by group; empty after an
	// answer.
	failed map[string]string
	// nextReplica is the index of the replica to try while no leader is known.
	nextReplica int
	queues      map[string]*queue
}

// New returns a client of the replicas in the settings.
func New(set *settings.Settings, log *zap.Logger) *Service {
	return &Service{set: set, log: log.Named("log"), leaders: map[string]string{}, failed: map[string]string{}, queues: map[string]*queue{}}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return port.NameLog }

// Needs implements kernel.Service. A daemon that runs a replica also needs that
// service, so that the replica stops after the services that propose commands.
func (s *Service) Needs() []string {
	needs := []string{port.NameLink}
	if s.set.HasRole(settings.Replica) {
		needs = append(needs, port.NameReplica)
	}
	return needs
}

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	err := error(nil)
	if s.link, err = kernel.Find[port.Link](k, port.NameLink); err != nil {
		return err
	}
	if s.set.HasRole(settings.Replica) {
		s.replica, err = kernel.Find[leadership](k, port.NameReplica)
	}
	return err
}

// targetAddress returns the address of the last known leader, or else of the leader that this
// daemon's replica knows, or else the next replica in turn. The replicas of the settings may all
// be gone, each of which would take an attempt.
func (s *Service) targetAddress(group string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if address := s.leaders[group]; address != "" {
		return address
	}
	if s.replica != nil && group == port.GroupMain {
		if _, l := s.replica.Leadership(); l.Address != "" && l.Address != s.failed[group] {
			return l.Address
		}
	}
	known := s.set.KnownReplicas()
	address := known[s.nextReplica%len(known)].Address
	s.nextReplica++
	return address
}

// setLeader stores the leader that an attempt found; an empty address means that
// none is known.
func (s *Service) setLeader(group, leader string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaders[group] = leader
}

// recordAttempt records whether a replica answered an attempt.
func (s *Service) recordAttempt(group, address string, failure error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if failure != nil {
		s.failed[group] = address
	} else if s.failed[group] == address {
		s.failed[group] = ""
	}
}

// attemptResult is the answer of a replica to one attempt.
type attemptResult struct {
	// refused reports that the replica did not serve the call, usually because
	// it is not the leader.
	refused bool
	// leader is the address of the leader, or empty if the replica knows none.
	leader string
}

// replicaCall makes one RPC to a replica.
type replicaCall func(ctx context.Context, c rpc.DRPCLogClient) (attemptResult, error)

// callLeader makes attempts with exponential backoff until one succeeds or
// callTimeout ends. A refusal that names another leader is followed at once. An
// attempt that fails without an answer is repeated only if repeatable is set.
// outcomeUnknown reports that a failed attempt may have taken effect.
func (s *Service) callLeader(ctx context.Context, group string, repeatable bool, call replicaCall) (outcomeUnknown bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	backoff := initialBackoff
	for {
		address := s.targetAddress(group)
		result, failure := s.callReplica(ctx, address, call)
		s.recordAttempt(group, address, failure)
		if failure == nil && !result.refused {
			s.setLeader(group, address)
			return false, nil
		}
		s.setLeader(group, result.leader)
		if failure != nil {
			outcomeUnknown, err = true, failure
		}
		if failure != nil && !repeatable {
			return outcomeUnknown, err
		}
		if result.leader != "" && result.leader != address {
			continue
		}
		select {
		case <-ctx.Done():
			return outcomeUnknown, ctx.Err()
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// callReplica makes one attempt at the replica, bounded by attemptTimeout.
func (s *Service) callReplica(ctx context.Context, address string, call replicaCall) (attemptResult, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return call(ctx, rpc.NewDRPCLogClient(s.link.Conn(address)))
}

// Lookup reads the claim of a key and reports whether it exists. The read is
// linearizable: it sees every command committed before the call, whichever
// replica serves it. It returns fault.Unavailable if no replica can serve it.
func (s *Service) Lookup(ctx context.Context, group, workspace, key string) (state.Claim, bool, error) {
	reply := (*rpc.LookupReply)(nil)
	_, err := s.callLeader(ctx, group, true, func(ctx context.Context, log rpc.DRPCLogClient) (attemptResult, error) {
		r, err := log.Lookup(ctx, &rpc.LookupRequest{Group: group, Workspace: workspace, Key: key})
		reply = r
		return attemptResult{refused: r.GetRefused(), leader: r.GetLeader()}, err
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

// Stop implements kernel.Service; it does nothing.
func (s *Service) Stop(context.Context) error { return nil }

// Health implements kernel.Service. It always returns nil; the state of the log
// is reported by the replicas.
func (s *Service) Health() error { return nil }

// Dump returns the known replicas and the last known leader of each group.
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
