package replica

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/consensus"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
	"github.com/verbenastep/verbenastep/internal/wal"
)

const (
	// joinEvery is the pause between tries to join.
	joinEvery = 300 * time.Millisecond
	// joinCall bounds one call meanwhile.
	joinCall = time.Second
)

// RestoreFile is where a backup waits, below the data folder, for the group's
// first start.
func RestoreFile(dataFolder, group string) string {
	return filepath.Join(dataFolder, "restore-"+group+".snapshot")
}

// joiner brings a replica with an empty folder into its group.
//
// The group begins only once: the replica whose name sorts first does it, and
// only when every replica in the settings answers that it is empty. In all
// other cases the replica asks to become a learner.
type joiner struct {
	group *group
	set   *settings.Settings
	link  port.Link
	log   *zap.Logger
}

func (j *joiner) run(ctx context.Context) {
	for ctx.Err() == nil && !j.settled(ctx) {
		select {
		case <-ctx.Done():
		case <-time.After(joinEvery):
		}
	}
}

// settled makes one try and tells whether this replica is a member under its
// present address.
func (j *joiner) settled(ctx context.Context) bool {
	own := j.group.report()
	for _, m := range own.Members {
		if m.ID == own.ID && m.Address == own.Address {
			return true
		}
	}
	began, members := j.ask(ctx, own)
	switch {
	case began != "":
		j.join(ctx, began, own)
	case members != nil && len(own.Members) == 0 && j.first():
		j.begin(ctx, members)
	}
	return false
}

// ask returns the address of a replica that has begun, or else all members-to-be
// where all of them answered.
func (j *joiner) ask(ctx context.Context, own port.ReplicaStatus) (string, []consensus.Member) {
	members := []consensus.Member{{ID: consensus.ID(own.ID), Name: own.Name, Address: own.Address}}
	for _, p := range j.set.Replicas {
		if p.Name == own.Name {
			continue
		}
		st, err := j.status(ctx, p.Address)
		if err != nil {
			members = nil
			continue
		}
		if len(st.Members) > 0 {
			return p.Address, nil
		}
		if members != nil {
			members = append(members, consensus.Member{ID: consensus.ID(st.ID), Name: st.Name, Address: p.Address})
		}
	}
	return "", members
}

func (j *joiner) first() bool {
	names := []string{}
	for _, p := range j.set.Replicas {
		names = append(names, p.Name)
	}
	return len(names) > 0 && slices.Min(names) == j.set.Name
}

func (j *joiner) status(ctx context.Context, address string) (port.ReplicaStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, joinCall)
	defer cancel()
	st := port.ReplicaStatus{}
	reply, err := rpc.NewDRPCLogClient(j.link.Conn(address)).Status(ctx, &rpc.ReplicaStatusRequest{Group: j.group.name})
	if err != nil {
		return st, err
	}
	err = json.Unmarshal(reply.Status, &st)
	return st, err
}

func (j *joiner) join(ctx context.Context, address string, own port.ReplicaStatus) {
	ctx, cancel := context.WithTimeout(ctx, joinCall)
	defer cancel()
	req := &rpc.ChangeRequest{Group: j.group.name, Id: own.ID, Name: own.Name, Address: own.Address}
	reply, err := rpc.NewDRPCLogClient(j.link.Conn(address)).Change(ctx, req)
	if err == nil && reply.Refused && reply.Leader != "" {
		reply, err = rpc.NewDRPCLogClient(j.link.Conn(reply.Leader)).Change(ctx, req)
	}
	if err != nil {
		j.log.Debug("join is not answered yet", zap.Error(err))
		return
	}
	if _, err := os.Stat(RestoreFile(j.set.DataFolder, j.group.name)); err == nil {
		j.log.Warn("backup is not used: the group has begun already; see docs/operations/replicas.md")
	}
	j.log.Info("asked to join", zap.Bool("done", reply.Done), zap.String("why", reply.Why))
}

// begin starts the group with all replicas as voters.
func (j *joiner) begin(ctx context.Context, members []consensus.Member) {
	machine := state.New()
	restore := RestoreFile(j.set.DataFolder, j.group.name)
	err := readBackup(restore, machine)
	if err == nil {
		err = j.group.do(ctx, func(e *engine) { e.begin(machine, members) })
	}
	if err != nil {
		j.log.Error("group could not begin", zap.Error(err))
		return
	}
	_ = os.Remove(restore)
}

func readBackup(path string, machine *state.Machine) error {
	b, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	s, err := wal.DecodeSnapshot(path, b)
	if err != nil {
		return err
	}
	return machine.Restore(s.Data)
}

// firstTerm and firstIndex are of the snapshot that a group begins with.
const (
	firstTerm  = 1
	firstIndex = 1
)

// begin writes the group's first snapshot; the engine then starts anew from it.
func (e *engine) begin(machine *state.Machine, members []consensus.Member) {
	s := e.node.Status()
	if len(s.Members) > 0 || s.Last > 0 {
		return
	}
	data, err := machine.Snapshot()
	if err != nil {
		e.restart = err
		return
	}
	// A new term, so that no vote of an earlier one is forgotten.
	hard := consensus.Hard{Term: max(s.Term+1, firstTerm)}
	meta := consensus.Meta{Index: firstIndex, Term: firstTerm, Members: members, Size: uint64(len(data))}
	err = e.log.Save(&hard, nil)
	if err == nil {
		err = wal.WriteSnapshot(e.g.disk, consensus.Snapshot{Meta: meta, Data: data})
	}
	if err == nil {
		err = errRestart
	}
	e.restart = err
}
