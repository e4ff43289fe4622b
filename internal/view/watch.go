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
	// retryPause is the wait before the next replica is tried.
	retryPause = 100 * time.Millisecond
	// silence is how long a watch may carry nothing, not even a keepalive,
	// before it is dropped. It outlasts the read that a watch begins with.
	silence = 1800 * time.Millisecond
	// steadySilence is the same once the watch has begun: two keepalives and a
	// lost packet that is sent again.
	steadySilence = 900 * time.Millisecond
)

var errSilent = errors.New("the watch carried nothing for too long; another replica is tried")

// run watches one replica after the other, the near ones first.
func (s *Service) run(ctx context.Context) {
	for ctx.Err() == nil {
		if s.set.Routing != nil && s.Routes() == nil {
			s.race(ctx)
		}
		for _, p := range s.order() {
			if ctx.Err() != nil {
				return
			}
			s.watchOnce(ctx, p)
		}
	}
}

// watchOnce watches a replica until that ends, and waits before the next try.
func (s *Service) watchOnce(ctx context.Context, p settings.Peer) {
	err := s.watch(ctx, p)
	s.log.Debug("watch ended", zap.String("replica", p.Name), zap.Error(err))
	wait.For(ctx, retryPause)
}

// race watches all replicas at once until any has brought the first route table:
// callers wait for it, and which replica is near is not known yet.
func (s *Service) race(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	racers := sync.WaitGroup{}
	for _, p := range s.order() {
		racers.Go(func() {
			for ctx.Err() == nil {
				s.watchOnce(ctx, p)
			}
		})
	}
	for ctx.Err() == nil && s.Routes() == nil {
		select {
		case <-s.Changed():
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
	cancel()
	racers.Wait()
}

// order lists the replicas: this daemon, its data centre, its region, others.
func (s *Service) order() []settings.Peer {
	members, _ := kernel.Find[port.Members](s.kernel, port.NameMembers)
	distance := func(p settings.Peer) int {
		if p.Address == s.set.Addresses.Peers {
			return 0
		}
		if members == nil {
			return 3
		}
		m, ok := byAddress(members.Live(), p.Address)
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

func byAddress(live []port.Member, address string) (port.Member, bool) {
	i := slices.IndexFunc(live, func(m port.Member) bool { return m.Peers == address })
	if i < 0 {
		return port.Member{}, false
	}
	return live[i], true
}

// addReplicas adds the live replicas that the settings don't list.
func addReplicas(known []settings.Peer, live []port.Member) []settings.Peer {
	for _, m := range live {
		listed := slices.ContainsFunc(known, func(p settings.Peer) bool { return p.Address == m.Peers })
		if m.Replica && !listed {
			known = append(known, settings.Peer{Name: m.Name, Address: m.Peers})
		}
	}
	return known
}

func (s *Service) watch(ctx context.Context, p settings.Peer) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(silence, func() { cancel(errSilent) })
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
		watchdog.Reset(steadySilence)
		s.note(p.Name, update.Index)
		if err := s.take(update); err != nil {
			return err
		}
	}
}

func (s *Service) note(source string, index uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.source, s.index, s.heard = source, index, time.Now()
}
