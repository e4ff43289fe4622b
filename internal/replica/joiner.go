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
	// checkEvery is the pause between two looks whether this replica is still a
	// member: one that was away for long may have been replaced.
	checkEvery = 2 * time.Second
)

// RestoreFile is where a backup waits, below the data folder, for the group's
// first start.
func RestoreFile(dataFolder, group string) string {
	return filepath.Join(dataFolder, "restore-"+group+".snapshot")
}

// joiner brings a replica with an empty folder into its group.
//
// The group begins only once: the replica whose address sorts first does it,
// and only when every replica in the settings answers that it is empty. In all
// other cases the replica asks to become a learner. Replicas are known by their
// addresses; a name is learned from its owner.
type joiner struct {
	group *group
	set   *settings.Settings
	link  port.Link
	log   *zap.Logger
}

func (j *joiner) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := joinEvery
		if j.settled(ctx) {
			pause = checkEvery
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// settled makes one try and tells whether this replica is a member under its
// present address.
func (j *joiner) settled(ctx context.Context) bool {
	own := j.group.report()
	if listed(own.Members, own) && !j.removed(ctx, own) {
		return true
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

func listed(members []port.ReplicaMember, own port.ReplicaStatus) bool {
	return slices.ContainsFunc(members, func(m port.ReplicaMember) bool { return m.ID == own.ID && m.Address == own.Address })
}

// removed tells whether another replica, at least as far in the log, does not
// list this one any more.
func (j *joiner) removed(ctx context.Context, own port.ReplicaStatus) bool {
	if own.Role == consensus.Leader.String() {
		return false
	}
	for _, m := range own.Members {
		if m.ID == own.ID {
			continue
		}
		st, err := j.status(ctx, m.Address)
		if err != nil || st.Term < own.Term || st.Committed < own.Committed || len(st.Members) == 0 {
			continue
		}
		return !listed(st.Members, own)
	}
	return false
}

// ask returns the address of a replica that has begun, or else all members-to-be
// where all of them answered.
func (j *joiner) ask(ctx context.Context, own port.ReplicaStatus) (string, []consensus.Member) {
	members := []consensus.Member{{ID: consensus.ID(own.ID), Name: own.Name, Address: own.Address}}
	for _, address := range j.others(own) {
		st, err := j.status(ctx, address)
		if err != nil {
			members = nil
			continue
		}
		if len(st.Members) > 0 {
			return address, nil
		}
		if members != nil {
			members = append(members, consensus.Member{ID: consensus.ID(st.ID), Name: st.Name, Address: address})
		}
	}
	return "", members
}

// others lists where other replicas may be: those of the settings, and those
// that this one knew as members.
func (j *joiner) others(own port.ReplicaStatus) []string {
	out := []string{}
	for _, p := range j.set.KnownReplicas() {
		out = append(out, p.Address)
	}
	for _, m := range own.Members {
		out = append(out, m.Address)
	}
	slices.Sort(out)
	return slices.DeleteFunc(slices.Compact(out), func(a string) bool { return a == own.Address })
}

// first tells whether it is this replica's part to begin the group.
func (j *joiner) first() bool {
	if j.set.Routing != nil && !j.set.Routing.BootstrapLog {
		return false
	}
	addresses := []string{}
	for _, p := range j.set.KnownReplicas() {
		addresses = append(addresses, p.Address)
	}
	return len(addresses) > 0 && slices.Min(addresses) == j.set.Addresses.Peers
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
