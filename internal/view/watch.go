package view

import (
	"context"
	"errors"
	"slices"
	"sort"
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
	// retryDelay is the delay before the next replica is tried.
	retryDelay = 100 * time.Millisecond
	// firstMessageTimeout bounds the time to a watch's first message. It covers
	// the read with which the replica begins a watch.
	firstMessageTimeout = 1800 * time.Millisecond
	// messageTimeout bounds the time between two messages, keepalives included.
	// It covers two keepalive intervals and the retransmission of a lost packet.
	messageTimeout = 900 * time.Millisecond
)

var errWatchTimeout = errors.New("watch received neither update nor keepalive within the timeout; trying the next replica")

// run watches one replica at a time, nearest first, until the context ends.
func (s *Service) run(ctx context.Context) {
	for ctx.Err() == nil {
		if s.set.Routing != nil && s.Routes() == nil {
			s.awaitFirstTable(ctx)
		}
		for _, p := range s.replicasByDistance() {
			if ctx.Err() != nil {
				return
			}
			s.watchOnce(ctx, p)
		}
	}
}

// watchOnce watches a replica until the watch ends, then waits for the retry delay.
func (s *Service) watchOnce(ctx context.Context, p settings.Peer) {
	err := s.watch(ctx, p)
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

// replicasByDistance returns the known replicas: this daemon first, then those in
// its data centre, in its region and elsewhere.
func (s *Service) replicasByDistance() []settings.Peer {
	members, _ := kernel.Find[port.Members](s.kernel, port.NameMembers)
	distance := func(p settings.Peer) int {
		if p.Address == s.set.Addresses.Peers {
			return 0
		}
		if members == nil {
			return 3
		}
		m, ok := memberByAddress(members.Live(), p.Address)
		switch {
		case ok && m.DataCentre == s.set.DataCentre:
			return 1
		case ok && m.Region == s.set.Region:
			return 2
		}
		return 3
	}
	out := append([]settings.Peer{}, s.set.KnownReplicas()...)
	if members != nil {
		out = addReplicas(out, members.Live())
	}
	sort.SliceStable(out, func(i, j int) bool { return distance(out[i]) < distance(out[j]) })
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

// watch applies the updates of one replica until the watch fails or times out.
func (s *Service) watch(ctx context.Context, p settings.Peer) error {
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
