package dispatch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/quarantine"
	"github.com/verbenastep/verbenastep/core/rendezvous"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/port"
)

const (
	// renewEvery is the pause between renewals.
	renewEvery = 400 * time.Millisecond
	// renewTimeout bounds one renewal.
	renewTimeout = time.Second
	// rankPause is how much longer each daemon waits than the one before it in
	// the pool's order, before it takes a free lease.
	rankPause = 150 * time.Millisecond
	// maxRank bounds that wait.
	maxRank = 6
	// crashesWaiting is how many crash counts wait for the log.
	crashesWaiting = 1024
	// sharePause is the wait before a crash count is proposed again.
	sharePause = 200 * time.Millisecond
)

// keep acquires and renews one pool's lease and runs its dispatcher meanwhile.
func (s *Service) keep(ctx context.Context, name string) {
	lease := port.DispatchLease(name, s.set.Region)
	for ctx.Err() == nil {
		held := s.view.Lease(lease)
		pause := renewEvery
		switch held.Holder {
		case s.self.String():
			s.renew(ctx, name, lease)
		case "":
			s.await(ctx, time.Duration(s.rank(name))*rankPause)
			if s.view.Lease(lease).Holder == "" {
				s.renew(ctx, name, lease)
			}
		default:
			s.drop(name)
			pause = rankPause
		}
		s.await(ctx, pause)
	}
	s.giveUp(name, lease)
}

func (s *Service) await(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// rank returns this daemon's place in the pool's order among the live daemons
// of the region.
func (s *Service) rank(pool string) int {
	return min(maxRank, rankOf(pool, s.set.Name, s.set.Region, s.members.Live()))
}

// rankOf orders daemons by rendezvous hashing, so that pools spread evenly and
// few move when a daemon comes or goes.
func rankOf(pool, self, region string, live []port.Member) int {
	names := []string{}
	for _, m := range live {
		if m.Region == region {
			names = append(names, m.Name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvous.Weight(pool, b), rendezvous.Weight(pool, a)), cmp.Compare(a, b))
	})
	return max(0, slices.Index(names, self))
}

// renew acquires or renews the lease. Its end counts from before the call, on
// the monotonic clock.
func (s *Service) renew(ctx context.Context, name, lease string) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	result, err := s.logs.Propose(ctx, port.GroupMain, state.Command{Acquire: &state.Acquire{Name: lease, Holder: s.self.String()}})
	if err != nil || result.Lease == nil {
		return
	}
	if result.Status != state.OK {
		s.drop(name)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[name]
	if p != nil && (p.epoch != result.Lease.Epoch || p.ctx.Err() != nil) {
		p.close()
		p = nil
	}
	if p != nil {
		p.extend(sent.Add(port.LeaseTTL))
		return
	}
	p = newPool(name, result.Lease.Epoch, s.place())
	p.extend(sent.Add(port.LeaseTTL))
	s.pools[name] = p
	s.done.Go(p.run)
	s.log.Info("dispatcher started", zap.String("pool", name), zap.Uint64("epoch", p.epoch))
}

func (s *Service) place() place {
	return place{region: s.set.Region, view: s.view, members: s.members, events: s.events, metrics: s.metrics, log: s.log, share: s.share}
}

func (s *Service) drop(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pools[name]; p != nil {
		p.close()
		delete(s.pools, name)
		s.log.Info("dispatcher stopped", zap.String("pool", name), zap.Uint64("epoch", p.epoch))
	}
}

// giveUp ends the lease so that a successor need not wait for it to run out.
func (s *Service) giveUp(name, lease string) {
	s.mu.Lock()
	p := s.pools[name]
	s.mu.Unlock()
	if p == nil {
		return
	}
	s.drop(name)
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	_, err := s.logs.Propose(ctx, port.GroupMain, state.Command{Expire: &state.Expire{Name: lease, Epoch: p.epoch}})
	if err != nil {
		s.log.Warn("lease could not be given up", zap.String("lease", lease), zap.Error(err))
	}
}

// share queues crash counts for the replicated log; where too many wait, the
// newest are dropped, and this dispatcher alone knows them.
func (s *Service) share(pool string, changes []quarantine.Change) {
	for _, c := range changes {
		x := state.Suspect{Pool: pool, Fingerprint: c.Fingerprint, Crashes: c.Crashes, AtMS: time.Now().UnixMilli()}
		select {
		case s.crashes <- x:
		default:
			s.log.Warn("crash count not shared", zap.String("pool", pool))
		}
	}
}

// shareCrashes proposes crash counts until each is committed.
func (s *Service) shareCrashes() {
	for {
		select {
		case x := <-s.crashes:
			s.propose(x)
		case <-s.ctx.Done():
			return
		}
	}
}

func (s *Service) propose(x state.Suspect) {
	for s.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(s.ctx, renewTimeout)
		_, err := s.logs.Propose(ctx, port.GroupMain, state.Command{Suspect: &x})
		cancel()
		if err == nil {
			return
		}
		s.await(s.ctx, sharePause)
	}
}
