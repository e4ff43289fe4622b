package replica

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/consensus"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/wal"
)

// Propose commits commands and returns their outcomes in the order of the
// request. Commands that are accepted enter the log in that order.
func (s *Service) Propose(ctx context.Context, req *rpc.ProposeRequest) (*rpc.ProposeReply, error) {
	g, err := s.group(req.Group)
	if err != nil {
		return nil, err
	}
	batch := make([]*proposal, 0, len(req.Commands))
	for _, data := range req.Commands {
		if len(data) > port.MaxCommandBytes {
			return nil, fault.New(fault.TooLarge, "send less", "a command has %d bytes, the log takes %d", len(data), port.MaxCommandBytes)
		}
		p := &proposal{data: data, done: make(chan outcome, 1)}
		if err := json.Unmarshal(data, &p.command); err != nil {
			return nil, fault.New(fault.Malformed, "send commands as documented", "%v", err)
		}
		batch = append(batch, p)
	}
	reply := &rpc.ProposeReply{}
	for _, out := range g.propose(ctx, batch) {
		done := &rpc.Proposed{Index: out.index, Refused: out.refused, Unknown: out.err != nil}
		if out.leaderAddress != "" {
			reply.Leader = out.leaderAddress
		}
		if !out.refused && out.err == nil {
			if done.Result, err = json.Marshal(out.result); err != nil {
				return nil, err
			}
		}
		reply.Results = append(reply.Results, done)
	}
	return reply, nil
}

// Lookup returns a claim by workspace and key. The read is linearizable.
func (s *Service) Lookup(ctx context.Context, req *rpc.LookupRequest) (*rpc.LookupReply, error) {
	g, err := s.group(req.Group)
	if err != nil {
		return nil, err
	}
	if err := g.read(ctx); err != nil {
		return nil, err
	}
	g.mu.Lock()
	c, ok := g.machine.Claim(req.Workspace, req.Key)
	g.mu.Unlock()
	if !ok {
		return &rpc.LookupReply{}, nil
	}
	data, err := json.Marshal(c)
	return &rpc.LookupReply{Found: true, Claim: data}, err
}

// Status returns this replica's view of the group as JSON.
func (s *Service) Status(_ context.Context, req *rpc.ReplicaStatusRequest) (*rpc.ReplicaStatusReply, error) {
	g, err := s.group(req.Group)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(g.statusReport())
	return &rpc.ReplicaStatusReply{Status: data}, err
}

// Change adds a replica, updates its address, or removes it. The reply has Done
// set once the change is committed; until then the caller repeats the request.
func (s *Service) Change(ctx context.Context, req *rpc.ChangeRequest) (*rpc.ChangeReply, error) {
	g, err := s.group(req.Group)
	if err != nil {
		return nil, err
	}
	replies := make(chan *rpc.ChangeReply, 1)
	err = g.do(ctx, func(e *engine) {
		done, err := e.changeMember(consensus.Member{ID: consensus.ID(req.Id), Name: req.Name, Address: req.Address})
		reply := &rpc.ChangeReply{Done: done}
		notLeader := (*consensus.NotLeaderError)(nil)
		if errors.As(err, &notLeader) {
			reply.Refused = true
			reply.Leader = e.leaderAddress()
		}
		if err != nil {
			reply.Why = err.Error()
		}
		replies <- reply
	})
	if err != nil {
		return nil, err
	}
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Backup streams a snapshot of the state after a linearizable read.
func (s *Service) Backup(req *rpc.BackupRequest, stream rpc.DRPCLog_BackupStream) error {
	g, err := s.group(req.Group)
	if err != nil {
		return err
	}
	if err := g.read(stream.Context()); err != nil {
		return err
	}
	g.mu.Lock()
	frozen := g.machine.Freeze()
	meta := consensus.SnapshotMeta{Index: g.applied, Term: g.status.Term}
	g.mu.Unlock()
	data, err := frozen.Encode()
	if err != nil {
		return err
	}
	meta.Size = uint64(len(data))
	b := wal.EncodeSnapshot(consensus.Snapshot{Meta: meta, Data: data})
	for len(b) > 0 {
		n := min(len(b), maxChunkBytes)
		if err := stream.Send(&rpc.BackupChunk{Data: b[:n], End: n == len(b)}); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}
