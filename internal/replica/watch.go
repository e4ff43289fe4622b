package replica

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/state"
)

const (
	// keepaliveEvery is the longest pause between updates of a watch.
	keepaliveEvery = 300 * time.Millisecond
	// lostKeepalives in a row without a leader end a watch, so that the daemon
	// turns to a replica that is not cut off; together they outlast an election.
	lostKeepalives = 5
	// watchRead bounds the read that a watch begins with.
	watchRead = 1500 * time.Millisecond
)

var errNoQuorum = errors.New("this replica has lost the leader; watch another one")

// watcher is one daemon's position.
type watcher struct {
	version uint64
	digest  string
	// index is the log position up to which leases and suspects were sent.
	index uint64
	begun bool
	// lost counts keepalives in a row without a leader.
	lost int
	// table is the version of the route table that was sent.
	table uint64
}

// changes is what a watcher lacks.
type changes struct {
	delta    config.Delta
	config   bool
	leases   []state.Lease
	suspects []state.Suspect
	// allSuspects says that suspects is set.
	allSuspects bool
	// table is set where the watcher's is older.
	table *state.Publish
}

// Watch streams changes until the caller goes away. The first update has all
// that was committed before the watch began.
func (s *Service) Watch(req *rpc.WatchRequest, stream rpc.DRPCLog_WatchStream) error {
	group := req.Group
	g, err := s.group(group)
	if err != nil {
		return err
	}
	if err := g.readWithin(stream.Context(), watchRead); err != nil {
		return err
	}
	w := &watcher{version: req.Version, digest: req.Digest, table: req.TableVersion}
	keepalive := time.NewTicker(keepaliveEvery)
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
			if w.lost = g.leaderless(w.lost); w.lost >= lostKeepalives {
				return errNoQuorum
			}
		case <-stream.Context().Done():
			return nil
		case <-g.stop:
			return errStopped
		}
	}
}

// readWithin is a bounded read.
func (g *group) readWithin(ctx context.Context, bound time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	if err := g.read(ctx); err != nil {
		return errors.Join(errNoQuorum, err)
	}
	return nil
}

// leaderless counts one more keepalive without a leader, or none.
func (g *group) leaderless(before int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.status.Leader != 0 {
		return 0
	}
	return before + 1
}

// update returns what the watcher lacks, and a channel that is closed at the
// next change.
func (g *group) update(w *watcher) (*rpc.WatchUpdate, <-chan struct{}, error) {
	g.mu.Lock()
	c := g.since(w)
	u := &rpc.WatchUpdate{Full: !w.begun, Index: g.applied, SuspectsFull: c.allSuspects}
	for _, m := range g.status.Members {
		if m.ID == g.status.Leader {
			u.Leader, u.LeaderAddress, u.LeaderTerm = m.Name, m.Address, g.status.Term
		}
	}
	if c.table != nil {
		u.Table, u.TableVersion = c.table.Table, c.table.Version
		w.table = c.table.Version
	}
	changed := g.changed
	w.index = g.applied
	g.mu.Unlock()
	w.begun = true
	err := error(nil)
	if c.config {
		w.version, w.digest = c.delta.Version, c.delta.Digest
		if u.Config, err = json.Marshal(c.delta); err != nil {
			return nil, nil, err
		}
	}
	if u.Leases, err = marshalAll(c.leases); err != nil {
		return nil, nil, err
	}
	u.Suspects, err = marshalAll(c.suspects)
	return u, changed, err
}

// since collects what the watcher lacks; the lock is held.
func (g *group) since(w *watcher) changes {
	c := changes{}
	c.delta, c.config = g.machine.DeltaSince(w.version, w.digest)
	for name, at := range g.leaseAt {
		if !w.begun || at > w.index {
			c.leases = append(c.leases, g.machine.Lease(name))
		}
	}
	if !w.begun || g.suspectAt > w.index {
		c.suspects = g.machine.Suspects()
		c.allSuspects = true
	}
	if table := g.machine.Table(); table.Version > w.table {
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
