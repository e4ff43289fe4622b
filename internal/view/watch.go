package view

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
	"github.com/verbenastep/verbenastep/internal/wait"
)

const (
	// retryDelay is the delay before a replica is asked again for the first route table.
	retryDelay = 100 * time.Millisecond
	// firstMessageTimeout bounds the time to a watch's first message. It covers
	// the read with which the replica begins a watch.
	firstMessageTimeout = 1800 * time.Millisecond
	// messageTimeout bounds the time between two messages, keepalives included.
	// It covers two keepalive intervals and the retransmission of a lost packet.
	messageTimeout = 900 * time.Millisecond
)

var errWatchTimeout = errors.New("the replica sent neither update nor keepalive within the timeout")

// run watches the nearest replica, and others while it is silent, until the context ends.
func (s *Service) run(ctx context.Context) {
	if s.set.Routing != nil {
		s.awaitFirstTable(ctx)
	}
	w := &watches{s: s, started: time.Now(), failover: newFailover(), cancels: map[string]context.CancelFunc{}, wake: make(chan struct{}, 1)}
	w.run(ctx)
}

// watchOnce watches a replica until the watch ends, then waits for the retry delay.
func (s *Service) watchOnce(ctx context.Context, p settings.Peer) {
	err := s.watch(ctx, p, func() {})
	s.log.Debug("watch ended", zap.String("replica", p.Name), zap.Error(err))
	wait.Sleep(ctx, retryDelay)
}

// awaitFirstTable watches all replicas at once until one of them has sent the
// first route table. Callers wait for that table, and the nearest replica is not
// known before the member list is.
func (s *Service) awaitFirstTable(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watches := sync.WaitGroup{}
	for _, p := range s.replicasByDistance() {
		watches.Go(func() {
			for ctx.Err() == nil {
				s.watchOnce(ctx, p)
			}
		})
	}
	for ctx.Err() == nil && s.Routes() == nil {
		select {
		case <-s.Changed():
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
	cancel()
	watches.Wait()
}

// replicasByDistance returns the known replicas: this daemon first, then the live ones in its
// data centre, in its region and elsewhere, then those that are not known to be live.
func (s *Service) replicasByDistance() []settings.Peer {
	members, _ := kernel.Find[port.Members](s.kernel, port.NameMembers)
	live := []port.Member{}
	if members != nil {
		live = members.Live()
	}
	distance := func(p settings.Peer) int {
		if p.Address == s.set.Addresses.Peers {
			return -1
		}
		m, ok := memberByAddress(live, p.Address)
		if !ok {
			return settings.Farthest + 1
		}
		return s.set.Distance(m.DataCentre, m.Region)
	}
	out := addReplicas(slices.Clone(s.set.KnownReplicas()), live)
	slices.SortStableFunc(out, func(a, b settings.Peer) int { return distance(a) - distance(b) })
	return out
}

func memberByAddress(live []port.Member, address string) (port.Member, bool) {
	i := slices.IndexFunc(live, func(m port.Member) bool { return m.Peers == address })
	if i < 0 {
		return port.Member{}, false
	}
	return live[i], true
}

// addReplicas appends live replicas that the settings don't list.
func addReplicas(known []settings.Peer, live []port.Member) []settings.Peer {
	for _, m := range live {
		listed := slices.ContainsFunc(known, func(p settings.Peer) bool { return p.Address == m.Peers })
		if m.Replica && !listed {
			known = append(known, settings.Peer{Name: m.Name, Address: m.Peers})
		}
	}
	return known
}

// watch applies the updates of one replica until the watch fails or times out. It calls onMessage
// for each message.
func (s *Service) watch(ctx context.Context, p settings.Peer, onMessage func()) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(firstMessageTimeout, func() { cancel(errWatchTimeout) })
	defer watchdog.Stop()
	snap := s.Snapshot()
	s.mu.Lock()
	table := s.tableVersion()
	s.mu.Unlock()
	req := &rpc.WatchRequest{Daemon: s.set.Name, Group: port.GroupMain, Version: snap.Version, Digest: snap.Digest, TableVersion: table}
	stream, err := rpc.NewDRPCLogClient(s.link.Conn(p.Address)).Watch(ctx, req)
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		update, err := stream.Recv()
		if err != nil {
			return errors.Join(err, context.Cause(ctx))
		}
		watchdog.Reset(messageTimeout)
		onMessage()
		s.recordUpdate(p.Name, update.Index)
		if err := s.apply(update); err != nil {
			return err
		}
	}
}

func (s *Service) recordUpdate(source string, index uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.source, s.index, s.lastUpdateAt = source, index, time.Now()
}
