package roster

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/roster"
	"github.com/verbenastep/verbenastep/internal/wait"
)

const (
	// changeDelay is the time for which changes are batched before they are
	// forwarded. It is a small part of the time within which all daemons must
	// know that an upstream leaves.
	changeDelay = 40 * time.Millisecond
	// renewalDelay is the time for which renewals are batched, a small part of the
	// heartbeat interval.
	renewalDelay = 250 * time.Millisecond
	// forwardTimeout bounds one call, and so the wait for an unreachable daemon.
	forwardTimeout = 600 * time.Millisecond
	// forwardRetryDelay is the delay after a failed call.
	forwardRetryDelay = 200 * time.Millisecond
	// flushTimeout bounds the forwarding of what is queued at a stop, and
	// flushRetryDelay is the delay after a failed call then. A daemon that is down
	// must not hold up the stop.
	flushTimeout    = 600 * time.Millisecond
	flushRetryDelay = 50 * time.Millisecond
)

// peer is the queue of entries to forward to another control daemon. The
// service's mutex guards it, except the channels.
type peer struct {
	// changes are the entries to send whole, renewals those to send in short
	// form, by id.
	changes  map[string]roster.Entry
	renewals map[string]roster.Entry
	// changed and renewed hold a token while the respective map has entries.
	changed     chan struct{}
	renewed     chan struct{}
	unreachable bool
	// incarnation is that of the process to which the whole roster was sent.
	incarnation uint64
}

func newPeer() *peer {
	return &peer{
		changes: map[string]roster.Entry{}, renewals: map[string]roster.Entry{},
		changed: make(chan struct{}, 1), renewed: make(chan struct{}, 1),
	}
}

// queue adds an entry, whole after a change or in short form after a renewal. An
// entry that is already queued whole stays so.
func (p *peer) queue(e roster.Entry, result roster.MergeResult) {
	_, whole := p.changes[e.ID]
	queued, ready := p.renewals, p.renewed
	if whole || result == roster.Changed {
		queued, ready = p.changes, p.changed
		delete(p.renewals, e.ID)
	}
	queued[e.ID] = e
	wait.Notify(ready)
}

// drain removes and returns all queued entries.
func (p *peer) drain() (changes, renewals map[string]roster.Entry) {
	changes, renewals = p.changes, p.renewals
	p.changes, p.renewals = map[string]roster.Entry{}, map[string]roster.Entry{}
	return changes, renewals
}

// requeue queues entries again whose call failed, unless newer ones were queued
// meanwhile.
func (p *peer) requeue(changes, renewals map[string]roster.Entry) {
	for id, e := range changes {
		if newer, ok := p.renewals[id]; ok {
			e = newer
		}
		if _, newer := p.changes[id]; !newer {
			p.queue(e, roster.Changed)
		}
	}
	for id, e := range renewals {
		_, renewed := p.renewals[id]
		_, changed := p.changes[id]
		if !renewed && !changed {
			p.queue(e, roster.Renewed)
		}
	}
}

// forward queues an entry for all other control daemons. The caller holds s.mu.
func (s *Service) forward(e roster.Entry, result roster.MergeResult) {
	for _, address := range s.replicas.MemberAddresses() {
		if address == s.set.Addresses.Peers {
			continue
		}
		p := s.peers[address]
		if p == nil {
			p = newPeer()
			s.peers[address] = p
			s.done.Go(func() { s.forwardTo(address, p) })
		}
		p.queue(e, result)
	}
}

// forwardTo sends the entries queued for one daemon until the service stops or
// the daemon is unreachable and no longer a member.
func (s *Service) forwardTo(address string, p *peer) {
	for s.ctx.Err() == nil {
		select {
		case <-s.ctx.Done():
		case <-p.changed:
			wait.Sleep(s.ctx, changeDelay)
		case <-p.renewed:
			s.waitForChange(p, renewalDelay)
		}
		for s.ctx.Err() == nil && !s.send(s.ctx, address, p) {
			if !slices.Contains(s.replicas.MemberAddresses(), address) {
				s.removePeer(address)
				return
			}
			wait.Sleep(s.ctx, forwardRetryDelay)
		}
	}
}

// removePeer removes a daemon that is unreachable and no longer a member.
func (s *Service) removePeer(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peers, address)
	s.log.Info("control daemon removed", zap.String("address", address))
}

// waitForChange waits for d, or until a change is queued for the daemon.
func (s *Service) waitForChange(p *peer, d time.Duration) {
	select {
	case <-s.ctx.Done():
	case <-p.changed:
	case <-time.After(d):
	}
}

// send makes one call with all queued entries. It returns false if the call
// failed; the entries are then queued again.
func (s *Service) send(ctx context.Context, address string, p *peer) bool {
	s.mu.Lock()
	changes, renewals := p.drain()
	now := s.now()
	s.mu.Unlock()
	news := encodeNews(changes, renewals, now)
	if len(news.Entries)+len(news.Renewals) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	ack, err := rpc.NewDRPCRosterClient(s.link.Conn(address)).Spread(ctx, news)
	s.mu.Lock()
	defer s.mu.Unlock()
	if lost := err != nil; lost != p.unreachable {
		p.unreachable = lost
		s.log.Info("control daemon reachability changed", zap.String("address", address), zap.Bool("lost", lost), zap.Error(err))
	}
	if err != nil {
		p.requeue(changes, renewals)
		return false
	}
	s.recordCopies(address, p, changes, !ack.Unstored)
	s.queueMissing(address, p, ack)
	return true
}

// flush sends what is queued to the other control daemons, until flushTimeout or until ctx ends.
// An upstream whose departure was acknowledged here need not report it again.
func (s *Service) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	s.mu.Lock()
	peers := maps.Clone(s.peers)
	s.mu.Unlock()
	calls := sync.WaitGroup{}
	for address, p := range peers {
		calls.Go(func() {
			for ctx.Err() == nil && !s.send(ctx, address, p) {
				wait.Sleep(ctx, flushRetryDelay)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if unsent := len(p.changes); unsent > 0 {
				s.log.Warn("stopped before all changes were forwarded", zap.String("address", address), zap.Int("upstreams", unsent))
			}
		})
	}
	calls.Wait()
}

// queueMissing queues the entries that a daemon lacks according to its
// acknowledgement: single entries, or the whole roster if the daemon has
// restarted. The caller holds s.mu.
func (s *Service) queueMissing(address string, p *peer, ack *rpc.RosterAck) {
	missing := []roster.Entry{}
	for _, id := range ack.Unknown {
		if e, ok := s.core.Find(id); ok {
			missing = append(missing, e)
		}
	}
	if ack.Incarnation != p.incarnation {
		p.incarnation = ack.Incarnation
		missing = s.core.All(s.now())
		s.log.Info("whole roster queued for control daemon", zap.String("address", address), zap.Int("upstreams", len(missing)), zap.Uint64("incarnation", ack.Incarnation))
	}
	for _, e := range missing {
		p.queue(e, roster.Changed)
	}
}

// isUsable reports whether an entry that this daemon has not accepted itself is valid, and logs if
// it is not: a daemon of an earlier version accepts more.
func (s *Service) isUsable(e roster.Entry, from string) bool {
	err := e.Validate()
	if err != nil {
		s.log.Warn("upstream skipped", zap.String("upstream", e.ID), zap.String("from", from), zap.Error(err))
	}
	return err == nil
}

// Spread merges the heartbeats that another control daemon received. The reply
// lists the renewals that need the whole entry. Departures are on this daemon's disk before it
// replies, unless the reply says otherwise.
func (s *Service) Spread(ctx context.Context, news *rpc.RosterNews) (*rpc.RosterAck, error) {
	ack, revision, departs := s.mergeNews(news)
	if departs {
		ack.Unstored = !s.awaitStored(ctx, revision, spreadStoreTimeout) || ack.Unstored
	}
	return ack, nil
}

// mergeNews merges what another control daemon forwards. It returns the revision after that, and
// whether there are departures among the entries.
func (s *Service) mergeNews(news *rpc.RosterNews) (ack *rpc.RosterAck, revision uint64, departs bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	ack = &rpc.RosterAck{Incarnation: uint64(s.startedAt.UnixNano())}
	for _, m := range news.Entries {
		e := decode(m, now)
		if !s.isUsable(e, "control daemon") {
			ack.Unstored = ack.Unstored || e.IsDeparture()
			continue
		}
		s.merge(e, "control daemon")
		departs = departs || e.IsDeparture()
	}
	for _, n := range news.Renewals {
		if !s.core.Renew(decodeRenewal(n, now)) {
			ack.Unknown = append(ack.Unknown, n.Id)
		}
	}
	return ack, s.revision, departs
}
