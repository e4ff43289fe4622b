package replica

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/rollout"
	"github.com/verbenastep/verbenastep/core/state"
)

const (
	// keepaliveInterval is the longest time between two updates of a watch.
	keepaliveInterval = 300 * time.Millisecond
	// maxLeaderlessKeepalives is the number of consecutive keepalives without a
	// leader after which a watch ends, so that the daemon turns to a replica
	// that is not partitioned. Together they are longer than an election.
	maxLeaderlessKeepalives = 5
	// initialReadTimeout bounds the read at the start of a watch.
	initialReadTimeout = 1500 * time.Millisecond
)

var errNoQuorum = errors.New("this replica has lost the leader; watch another one")

// watcher holds what a watching daemon has received so far.
type watcher struct {
	version uint64
	digest  string
	// index is the log index up to which leases, suspects and rollouts have been sent.
	index   uint64
	started bool
	// leaderlessKeepalives counts consecutive keepalives without a leader.
	leaderlessKeepalives int
	// tableVersion is the version of the last route table sent.
	tableVersion uint64
}

// changes holds what a watcher has not received yet.
type changes struct {
	delta         config.Delta
	configChanged bool
	leases        []state.Lease
	suspects      []state.Suspect
	// suspectsChanged reports that suspects holds the complete list.
	suspectsChanged bool
	rollouts        []rollout.Record
	// rolloutsChanged reports that rollouts holds the records of all pools.
	rolloutsChanged bool
	// table is nil if the watcher has the current one.
	table *state.Publish
}

// Watch streams changes of configuration, leases, suspects, rollouts and route table
// until the caller cancels. The first update includes every command committed
// before the call; later ones only what changed. The stream ends with an error
// if this replica loses the leader.
func (s *Service) Watch(req *rpc.WatchRequest, stream rpc.DRPCLog_WatchStream) error {
	group := req.Group
	g, err := s.group(group)
	if err != nil {
		return err
	}
	if err := g.readWithin(stream.Context(), initialReadTimeout); err != nil {
		return err
	}
	w := &watcher{version: req.Version, digest: req.Digest, tableVersion: req.TableVersion}
	keepalive := time.NewTicker(keepaliveInterval)
	defer keepalive.Stop()
	for {
		update, changed, err := g.update(w)
		if err != nil {
			return err
		}
		if err := stream.Send(update); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-keepalive.C:
			if w.leaderlessKeepalives = g.countLeaderless(w.leaderlessKeepalives); w.leaderlessKeepalives >= maxLeaderlessKeepalives {
				return errNoQuorum
			}
		case <-stream.Context().Done():
			return nil
		case <-g.stop:
			return errStopped
		}
	}
}

// readWithin calls read with a timeout; its error includes errNoQuorum.
func (g *group) readWithin(ctx context.Context, bound time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	if err := g.read(ctx); err != nil {
		return errors.Join(errNoQuorum, err)
	}
	return nil
}

// countLeaderless returns the number of consecutive keepalives without a leader,
// given the count before this one.
func (g *group) countLeaderless(before int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.status.Leader != 0 {
		return 0
	}
	return before + 1
}

// update returns the watcher's next update and records it as sent. The channel
// is closed at the next change.
func (g *group) update(w *watcher) (*rpc.WatchUpdate, <-chan struct{}, error) {
	g.mu.Lock()
	c := g.changesSince(w)
	u := &rpc.WatchUpdate{Full: !w.started, Index: g.applied, SuspectsFull: c.suspectsChanged, RolloutsFull: c.rolloutsChanged}
	for _, m := range g.status.Members {
		if m.ID == g.status.Leader {
			u.Leader, u.LeaderAddress, u.LeaderTerm = m.Name, m.Address, g.status.Term
		}
	}
	if c.table != nil {
		u.Table, u.TableVersion = c.table.Table, c.table.Version
		w.tableVersion = c.table.Version
	}
	changed := g.changed
	w.index = g.applied
	g.mu.Unlock()
	w.started = true
	err := error(nil)
	if c.configChanged {
		w.version, w.digest = c.delta.Version, c.delta.Digest
		if u.Config, err = json.Marshal(c.delta); err != nil {
			return nil, nil, err
		}
	}
	if u.Leases, err = marshalAll(c.leases); err != nil {
		return nil, nil, err
	}
	if u.Suspects, err = marshalAll(c.suspects); err != nil {
		return nil, nil, err
	}
	u.Rollouts, err = marshalAll(c.rollouts)
	return u, changed, err
}

// changesSince returns what the watcher has not received yet. The caller holds
// the lock.
func (g *group) changesSince(w *watcher) changes {
	c := changes{}
	c.delta, c.configChanged = g.machine.DeltaSince(w.version, w.digest)
	for name, at := range g.leaseChangedAt {
		if !w.started || at > w.index {
			c.leases = append(c.leases, g.machine.Lease(name))
		}
	}
	if !w.started || g.suspectsChangedAt > w.index {
		c.suspects = g.machine.Suspects()
		c.suspectsChanged = true
	}
	if !w.started || g.rolloutsChangedAt > w.index {
		c.rollouts = g.machine.Rollouts()
		c.rolloutsChanged = len(c.rollouts) > 0
	}
	if table := g.machine.Table(); table.Version > w.tableVersion {
		c.table = &table
	}
	return c
}

func marshalAll[T any](list []T) ([][]byte, error) {
	out := [][]byte{}
	for _, x := range list {
		b, err := json.Marshal(x)
		if err != nil {
			return nil, err
		}
		out = append(out, b)
	}
	return out, nil
}
