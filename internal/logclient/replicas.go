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

// Status asks each replica of the settings for its position.
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
	_, err := s.once(ctx, p.Address, func(ctx context.Context, log rpc.DRPCLogClient) (answer, error) {
		reply, err := log.Status(ctx, &rpc.ReplicaStatusRequest{Group: group})
		if err != nil {
			return answer{}, err
		}
		return answer{}, json.Unmarshal(reply.Status, &st)
	})
	if err != nil {
		st.Error = err.Error()
	}
	return st
}

// Remove takes the replica of a name out of the group.
func (s *Service) Remove(ctx context.Context, group, name string) error {
	why := ""
	_, err := s.toLeader(ctx, group, true, func(ctx context.Context, log rpc.DRPCLogClient) (answer, error) {
		reply, err := log.Change(ctx, &rpc.ChangeRequest{Group: group, Name: name})
		why = reply.GetWhy()
		// Until it is done the leader is asked again.
		return answer{refused: !reply.GetDone(), leader: reply.GetLeader()}, err
	})
	if err != nil {
		return fault.New(fault.Unavailable, "see verbenastep replicas and try again", "the replica is not removed: %v %s", err, why)
	}
	return nil
}

// Backup writes a snapshot from the first replica that gives a whole one.
func (s *Service) Backup(ctx context.Context, group string, w io.Writer) error {
	last := error(nil)
	for _, p := range s.set.KnownReplicas() {
		data, err := s.backupFrom(ctx, group, p.Address)
		if err == nil {
			_, err = w.Write(data)
			return err
		}
		last = err
	}
	return fault.New(fault.Unavailable, "see verbenastep replicas and try again", "no replica gave a backup: %v", last)
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
