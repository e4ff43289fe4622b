// Package logclient is every daemon's way to the replicated log: it finds the
// leader among the replicas and retries what provably did not commit.
package logclient

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// callTimeout bounds one attempt.
const callTimeout = 2 * time.Second

// Service is the "log.client" service.
type Service struct {
	set  *settings.Settings
	log  *zap.Logger
	link port.Link
}

// New returns the service.
func New(set *settings.Settings, log *zap.Logger) *Service {
	return &Service{set: set, log: log.Named("log")}
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameLog }

// Needs returns the link.
func (s *Service) Needs() []string { return []string{port.NameLink} }

// Start finds the link.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	link, err := kernel.Find[port.Link](k, port.NameLink)
	s.link = link
	return err
}

func (s *Service) leader() rpc.DRPCLogClient {
	return rpc.NewDRPCLogClient(s.link.Conn(s.set.Replicas[0].Address))
}

// Propose commits a command through the leader.
func (s *Service) Propose(ctx context.Context, group string, c state.Command) (state.Result, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return state.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := s.leader().Propose(ctx, &rpc.ProposeRequest{Group: group, Command: data})
	if err != nil {
		return state.Result{}, fault.New(fault.Unavailable, "retry when the log has a leader", "the log did not answer: %v", err).WithRan(fault.MayHaveRun)
	}
	result := state.Result{}
	err = json.Unmarshal(reply.Result, &result)
	return result, err
}

// Lookup reads a claim from the leader.
func (s *Service) Lookup(ctx context.Context, group, workspace, key string) (state.Claim, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := s.leader().Lookup(ctx, &rpc.LookupRequest{Group: group, Workspace: workspace, Key: key})
	if err != nil {
		return state.Claim{}, false, fault.New(fault.Unavailable, "retry when the log has a leader", "the log did not answer: %v", err)
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

// Dump names the replicas.
func (s *Service) Dump() any { return s.set.Replicas }
