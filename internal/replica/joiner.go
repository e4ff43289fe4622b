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
	// joinInterval is the interval between attempts to join.
	joinInterval = 300 * time.Millisecond
	// joinCallTimeout bounds each RPC of an attempt.
	joinCallTimeout = time.Second
	// membershipCheckInterval is the interval at which a member checks that it
	// still belongs to the group: a replica that was down for long may have been
	// replaced.
	membershipCheckInterval = 2 * time.Second
)

// RestoreFile returns the path, in the data folder, of the backup that a group
// restores when it is bootstrapped.
func RestoreFile(dataFolder, group string) string {
	return filepath.Join(dataFolder, "restore-"+group+".snapshot")
}

// joiner makes a replica with an empty data folder a member of its group.
//
// A group is bootstrapped only once, by the replica whose address sorts first,
// and only after every replica in the settings has answered that it is empty.
// In all other cases the replica asks to be added as a learner. The settings
// identify replicas by address; their names come from the replicas themselves.
type joiner struct {
	group *group
	set   *settings.Settings
	link  port.Link
	log   *zap.Logger
}

func (j *joiner) run(ctx context.Context) {
	for ctx.Err() == nil {
		delay := joinInterval
		if j.ensureMember(ctx) {
			delay = membershipCheckInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// ensureMember reports whether this replica is a member under its current
// address. If it is not, ensureMember makes one attempt to join or to bootstrap
// the group.
func (j *joiner) ensureMember(ctx context.Context) bool {
	own := j.group.statusReport()
	if listsReplica(own.Members, own) && !j.wasRemoved(ctx, own) {
		return true
	}
	address, members := j.findGroup(ctx, own)
	switch {
	case address != "":
		j.requestJoin(ctx, address, own)
	case members != nil && len(own.Members) == 0 && j.isBootstrapReplica():
		j.bootstrap(ctx, members)
	}
	return false
}

// listsReplica reports whether members contains the replica under its address.
func listsReplica(members []port.ReplicaMember, own port.ReplicaStatus) bool {
	return slices.ContainsFunc(members, func(m port.ReplicaMember) bool { return m.ID == own.ID && m.Address == own.Address })
}

// wasRemoved reports whether a replica whose term and commit index are not
// behind this one's no longer lists it as a member.
func (j *joiner) wasRemoved(ctx context.Context, own port.ReplicaStatus) bool {
	if own.Role == consensus.Leader.String() {
		return false
	}
	others := []string{}
	for _, m := range own.Members {
		if m.ID != own.ID {
			others = append(others, m.Address)
		}
	}
	removed := false
	j.fetchStatuses(ctx, others, func(_ string, st port.ReplicaStatus, err error) bool {
		if err != nil || st.Term < own.Term || st.Committed < own.Committed || len(st.Members) == 0 {
			return true
		}
		removed = !listsReplica(st.Members, own)
		return false
	})
	return removed
}

// findGroup returns the address of a replica that already belongs to a group.
// If there is none, it returns the members to bootstrap the group with, or nil
// unless all replicas answered.
func (j *joiner) findGroup(ctx context.Context, own port.ReplicaStatus) (string, []consensus.Member) {
	group := ""
	members := []consensus.Member{{ID: consensus.ID(own.ID), Name: own.Name, Address: own.Address}}
	complete := true
	j.fetchStatuses(ctx, j.otherAddresses(own), func(address string, st port.ReplicaStatus, err error) bool {
		switch {
		case err != nil:
			complete = false
		case len(st.Members) > 0:
			group = address
		default:
			members = append(members, consensus.Member{ID: consensus.ID(st.ID), Name: st.Name, Address: address})
		}
		return group == ""
	})
	if group != "" || !complete {
		return group, nil
	}
	return "", members
}

// otherAddresses returns the sorted addresses of the other replicas: those in
// the settings and those of the members that this replica knows.
func (j *joiner) otherAddresses(own port.ReplicaStatus) []string {
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

// isBootstrapReplica reports whether this replica has to bootstrap the group.
func (j *joiner) isBootstrapReplica() bool {
	if j.set.Routing != nil && !j.set.Routing.BootstrapLog {
		return false
	}
	addresses := []string{}
	for _, p := range j.set.KnownReplicas() {
		addresses = append(addresses, p.Address)
	}
	return len(addresses) > 0 && slices.Min(addresses) == j.set.Addresses.Peers
}

// fetchStatuses queries the replicas at some addresses at the same time and calls yield with each
// result as it arrives, until yield returns false. Replicas that are gone each take the whole
// joinCallTimeout; a replica with an empty disk has only a few seconds to catch up.
func (j *joiner) fetchStatuses(ctx context.Context, addresses []string, yield func(address string, st port.ReplicaStatus, err error) bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		address string
		status  port.ReplicaStatus
		err     error
	}
	results := make(chan result, len(addresses))
	for _, address := range addresses {
		go func() {
			st, err := j.fetchStatus(ctx, address)
			results <- result{address, st, err}
		}()
	}
	for range addresses {
		if r := <-results; !yield(r.address, r.status, r.err) {
			return
		}
	}
}

// fetchStatus queries the status of the replica at address.
func (j *joiner) fetchStatus(ctx context.Context, address string) (port.ReplicaStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, joinCallTimeout)
	defer cancel()
	st := port.ReplicaStatus{}
	reply, err := rpc.NewDRPCLogClient(j.link.Conn(address)).Status(ctx, &rpc.ReplicaStatusRequest{Group: j.group.name})
	if err != nil {
		return st, err
	}
	err = json.Unmarshal(reply.Status, &st)
	return st, err
}

// requestJoin asks the replica at address, and then the leader that it names,
// to add this replica to the group or to update its address.
func (j *joiner) requestJoin(ctx context.Context, address string, own port.ReplicaStatus) {
	ctx, cancel := context.WithTimeout(ctx, joinCallTimeout)
	defer cancel()
	req := &rpc.ChangeRequest{Group: j.group.name, Id: own.ID, Name: own.Name, Address: own.Address}
	reply, err := rpc.NewDRPCLogClient(j.link.Conn(address)).Change(ctx, req)
	if err == nil && reply.Refused && reply.Leader != "" {
		reply, err = rpc.NewDRPCLogClient(j.link.Conn(reply.Leader)).Change(ctx, req)
	}
	if err != nil {
		j.log.Debug("join request failed", zap.Error(err))
		return
	}
	if _, err := os.Stat(RestoreFile(j.set.DataFolder, j.group.name)); err == nil {
		j.log.Warn("backup file ignored: the group already exists; see docs/operations/replicas.md")
	}
	j.log.Info("join requested", zap.Bool("done", reply.Done), zap.String("why", reply.Why))
}

// bootstrap starts the group with the members as voters, from the backup in
// RestoreFile if there is one.
func (j *joiner) bootstrap(ctx context.Context, members []consensus.Member) {
	machine := state.New()
	restore := RestoreFile(j.set.DataFolder, j.group.name)
	err := restoreBackup(restore, machine)
	if err == nil {
		err = j.group.do(ctx, func(e *engine) { e.bootstrap(machine, members) })
	}
	if err != nil {
		j.log.Error("failed to bootstrap the group", zap.Error(err))
		return
	}
	_ = os.Remove(restore)
}

// restoreBackup restores machine from the file at path, if it exists.
func restoreBackup(path string, machine *state.Machine) error {
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

// initialTerm and initialIndex are the term and index of a group's first
// snapshot.
const (
	initialTerm  = 1
	initialIndex = 1
)

// bootstrap writes the first snapshot of the group and restarts the engine from
// it. It does nothing if this replica already has members or log entries.
func (e *engine) bootstrap(machine *state.Machine, members []consensus.Member) {
	s := e.node.Status()
	if len(s.Members) > 0 || s.LastIndex > 0 {
		return
	}
	data, err := machine.Snapshot()
	if err != nil {
		e.restartErr = err
		return
	}
	// The new HardState holds no vote, so it needs a new term: a vote cast in
	// the current term must not be lost.
	hard := consensus.HardState{Term: max(s.Term+1, initialTerm)}
	meta := consensus.SnapshotMeta{Index: initialIndex, Term: initialTerm, Members: members, Size: uint64(len(data))}
	err = e.log.Save(&hard, nil)
	if err == nil {
		err = wal.WriteSnapshot(e.group.disk, consensus.Snapshot{Meta: meta, Data: data})
	}
	if err == nil {
		err = errRestart
	}
	e.restartErr = err
}
