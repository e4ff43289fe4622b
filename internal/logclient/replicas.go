package logclient

import (
	"context"
	"encoding/json"
	"io"
	"sync"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// Status queries all replicas of the settings concurrently. A replica that does
// not answer within attemptTimeout is returned with its Error set.
func (s *Service) Status(ctx context.Context, group string) []port.ReplicaStatus {
	out := make([]port.ReplicaStatus, len(s.set.KnownReplicas()))
	all := sync.WaitGroup{}
	for i, p := range s.set.KnownReplicas() {
		all.Go(func() { out[i] = s.statusOf(ctx, group, p) })
	}
	all.Wait()
	return out
}

func (s *Service) statusOf(ctx context.Context, group string, p settings.Peer) port.ReplicaStatus {
	st := port.ReplicaStatus{Name: p.Name, Address: p.Address, Group: group}
	_, err := s.callReplica(ctx, p.Address, func(ctx context.Context, log rpc.DRPCLogClient) (attemptResult, error) {
		reply, err := log.Status(ctx, &rpc.ReplicaStatusRequest{Group: group})
		if err != nil {
			return attemptResult{}, err
		}
		return attemptResult{}, json.Unmarshal(reply.Status, &st)
	})
	if err != nil {
		st.Error = err.Error()
	}
	return st
}

// Remove removes the named replica from the group and returns once the change
// has committed. It returns fault.Unavailable if that takes longer than
// callTimeout.
func (s *Service) Remove(ctx context.Context, group, name string) error {
	reason := ""
	_, err := s.callLeader(ctx, group, true, func(ctx context.Context, log rpc.DRPCLogClient) (attemptResult, error) {
		reply, err := log.Change(ctx, &rpc.ChangeRequest{Group: group, Name: name})
		reason = reply.GetWhy()
		// The change is asynchronous: the leader is asked again until it is
		// done.
		return attemptResult{refused: !reply.GetDone(), leader: reply.GetLeader()}, err
	})
	if err != nil {
		return fault.New(fault.Unavailable, "see verbenastep replicas and try again", "the replica is not removed: %v %s", err, reason)
	}
	return nil
}

// Backup writes a snapshot of the group to w. It tries the replicas in turn and
// writes only after one has sent its whole snapshot.
func (s *Service) Backup(ctx context.Context, group string, w io.Writer) error {
	lastErr := error(nil)
	for _, p := range s.set.KnownReplicas() {
		data, err := s.backupFrom(ctx, group, p.Address)
		if err == nil {
			_, err = w.Write(data)
			return err
		}
		lastErr = err
	}
	return fault.New(fault.Unavailable, "see verbenastep replicas and try again", "no replica gave a backup: %v", lastErr)
}

func (s *Service) backupFrom(ctx context.Context, group, address string) ([]byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := rpc.NewDRPCLogClient(s.link.Conn(address)).Backup(ctx, &rpc.BackupRequest{Group: group})
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	data := []byte{}
	for {
		chunk, err := stream.Recv()
		if err != nil {
			return nil, err
		}
		data = append(data, chunk.Data...)
		if chunk.End {
			return data, nil
		}
	}
}
