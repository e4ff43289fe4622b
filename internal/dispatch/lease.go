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
	// renewInterval is the time between two renewals of a lease.
	renewInterval = 400 * time.Millisecond
	// renewTimeout bounds one proposal to the replicated log.
	renewTimeout = time.Second
	// rankDelay is the delay per rank before a daemon acquires a free lease, so
	// that the daemon that ranks first for the pool usually gets it.
	rankDelay = 150 * time.Millisecond
	// maxRank is the highest rank for which the delay grows, so that no daemon
	// waits longer than maxRank times rankDelay.
	maxRank = 6
	// maxPendingCrashCounts is the maximum number of crash counts queued for the log.
	maxPendingCrashCounts = 1024
	// proposeRetryDelay is the delay before a crash count is proposed again.
	proposeRetryDelay = 200 * time.Millisecond
)

// maintainLease acquires and renews the lease of one pool and runs the pool's
// dispatcher while this daemon holds it. It releases the lease when ctx ends.
func (s *Service) maintainLease(ctx context.Context, name string) {
	lease := port.DispatchLeaseName(name, s.set.Region)
	for ctx.Err() == nil {
		current := s.view.Lease(lease)
		delay := renewInterval
		switch current.Holder {
		case s.self.String():
			s.renew(ctx, name, lease)
		case "":
			s.sleep(ctx, time.Duration(s.rank(name))*rankDelay)
			if s.view.Lease(lease).Holder == "" {
				s.renew(ctx, name, lease)
			}
		default:
			s.stopPool(name)
			delay = rankDelay
		}
		s.sleep(ctx, delay)
	}
	s.releaseLease(name, lease)
}

func (s *Service) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// rank returns this daemon's rank for a pool among the live daemons of the
// region, at most maxRank.
func (s *Service) rank(pool string) int {
	return min(maxRank, rankOf(pool, s.set.Name, s.set.Region, s.members.Live()))
}

// rankOf ranks daemons for a pool by rendezvous hashing, so that pools spread
// evenly and few change their daemon when one joins or leaves. Draining daemons
// rank last: they would soon release the lease again.
func rankOf(pool, self, region string, live []port.Member) int {
	ranked := slices.DeleteFunc(slices.Clone(live), func(m port.Member) bool { return m.Region != region })
	slices.SortFunc(ranked, func(a, b port.Member) int {
		if a.Leaving != b.Leaving {
			return map[bool]int{false: -1, true: 1}[a.Leaving]
		}
		return cmp.Or(cmp.Compare(rendezvous.Weight(pool, b.Name), rendezvous.Weight(pool, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	return max(0, slices.IndexFunc(ranked, func(m port.Member) bool { return m.Name == self }))
}

// renew acquires or renews the lease and starts the pool's dispatcher if none
// runs at the lease's epoch. The lease ends port.LeaseTTL after the proposal was
// sent, by a clock that counts suspensions of the machine.
func (s *Service) renew(ctx context.Context, name, lease string) {
	sent := s.elapsed()
	// The log may commit the proposal after its proposer has given up, and after the release at
	// a stop, so a stop waits for the result.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), renewTimeout)
	defer cancel()
	result, err := s.replicatedLog.Propose(ctx, port.GroupMain, state.Command{Acquire: &state.Acquire{Name: lease, Holder: s.self.String()}})
	if err != nil || result.Lease == nil {
		return
	}
	if result.Status != state.OK {
		s.stopPool(name)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[name]
	if p != nil && (p.epoch != result.Lease.Epoch || p.ctx.Err() != nil) {
		p.stop()
		p = nil
	}
	if p != nil {
		p.extendLease(sent + port.LeaseTTL)
		return
	}
	p = newPool(name, result.Lease.Epoch, s.poolDeps())
	p.extendLease(sent + port.LeaseTTL)
	s.pools[name] = p
	s.goroutines.Go(p.run)
	s.log.Info("dispatcher started", zap.String("pool", name), zap.Uint64("epoch", p.epoch))
}

func (s *Service) poolDeps() poolDeps {
	return poolDeps{region: s.set.Region, view: s.view, members: s.members, events: s.events, metrics: s.metrics, log: s.log, elapsed: s.elapsed, shareCrashCounts: s.queueCrashCounts}
}

func (s *Service) stopPool(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pools[name]; p != nil {
		p.stop()
		delete(s.pools, name)
		s.log.Info("dispatcher stopped", zap.String("pool", name), zap.Uint64("epoch", p.epoch))
	}
}

// releaseLease stops the dispatcher and expires the lease in the log, so that a
// successor need not wait until it times out.
func (s *Service) releaseLease(name, lease string) {
	s.mu.Lock()
	p := s.pools[name]
	s.mu.Unlock()
	if p == nil {
		return
	}
	s.stopPool(name)
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	_, err := s.replicatedLog.Propose(ctx, port.GroupMain, state.Command{Expire: &state.Expire{Name: lease, Epoch: p.epoch}})
	if err != nil {
		s.log.Warn("lease was not released; a successor waits until it expires", zap.String("lease", lease), zap.Error(err))
	}
}

// queueCrashCounts queues crash counts for the replicated log. If the queue is
// full, the count is dropped and remains known to this dispatcher only.
func (s *Service) queueCrashCounts(pool string, changes []quarantine.Change) {
	for _, c := range changes {
		suspect := state.Suspect{Pool: pool, Fingerprint: c.Fingerprint, Crashes: c.Crashes, AtMS: time.Now().UnixMilli()}
		select {
		case s.crashCounts <- suspect:
		default:
			s.log.Warn("crash count not shared; the queue for the log is full", zap.String("pool", pool))
		}
	}
}

// proposeCrashCounts proposes queued crash counts one after the other until the
// service stops.
func (s *Service) proposeCrashCounts() {
	for {
		select {
		case suspect := <-s.crashCounts:
			s.proposeCrashCount(suspect)
		case <-s.ctx.Done():
			return
		}
	}
}

// proposeCrashCount proposes a crash count until it is committed or the service
// stops.
func (s *Service) proposeCrashCount(suspect state.Suspect) {
	for s.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(s.ctx, renewTimeout)
		_, err := s.replicatedLog.Propose(ctx, port.GroupMain, state.Command{Suspect: &suspect})
		cancel()
		if err == nil {
			return
		}
		s.sleep(s.ctx, proposeRetryDelay)
	}
}
