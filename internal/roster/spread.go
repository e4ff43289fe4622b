package roster

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/roster"
	"github.com/verbenastep/verbenastep/internal/wait"
)

const (
	// changePause is how long changes are collected before they are passed on; a
	// small part of the time within which a leaving upstream must be known
	// everywhere.
	changePause = 40 * time.Millisecond
	// renewalPause is the same for renewals; a small part of the heartbeats'
	// interval.
	renewalPause = 250 * time.Millisecond
	// spreadTimeout bounds one call, and with it the wait for a daemon that is
	// cut off.
	spreadTimeout = 600 * time.Millisecond
	// spreadRetry is the pause after a failed call.
	spreadRetry = 200 * time.Millisecond
)

// peer is another control daemon and what it has not been told yet.
type peer struct {
	// changes are entries that it needs in full, renewals those that it knows to
	// be otherwise unchanged.
	changes  map[string]roster.Entry
	renewals map[string]roster.Entry
	// changed and renewed hold a token while there is something of their kind.
	changed chan struct{}
	renewed chan struct{}
	lost    bool
	// incarnation is that of its process which was given the whole roster.
	incarnation uint64
}

func newPeer() *peer {
	return &peer{
		changes: map[string]roster.Entry{}, renewals: map[string]roster.Entry{},
		changed: make(chan struct{}, 1), renewed: make(chan struct{}, 1),
	}
}

// queue adds an entry in full, or its renewal.
func (p *peer) queue(e roster.Entry, verdict roster.Verdict) {
	_, inFull := p.changes[e.ID]
	kind, wake := p.renewals, p.renewed
	if inFull || verdict == roster.Changed {
		kind, wake = p.changes, p.changed
		delete(p.renewals, e.ID)
	}
	kind[e.ID] = e
	wait.Signal(wake)
}

// drain takes all that is queued.
func (p *peer) drain() (changes, renewals map[string]roster.Entry) {
	changes, renewals = p.changes, p.renewals
	p.changes, p.renewals = map[string]roster.Entry{}, map[string]roster.Entry{}
	return changes, renewals
}

// requeue puts back what could not be told unless newer news came meanwhile.
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

// spread queues an entry for the other control daemons; the lock is held.
func (s *Service) spread(e roster.Entry, verdict roster.Verdict) {
	for _, address := range s.replicas.MemberAddresses() {
		if address == s.set.Addresses.Peers {
			continue
		}
		p := s.peers[address]
		if p == nil {
			p = newPeer()
			s.peers[address] = p
			s.done.Go(func() { s.feed(address, p) })
		}
		p.queue(e, verdict)
	}
}

// feed passes on what is queued for one daemon until the service stops.
func (s *Service) feed(address string, p *peer) {
	for s.ctx.Err() == nil {
		select {
		case <-s.ctx.Done():
		case <-p.changed:
			wait.For(s.ctx, changePause)
		case <-p.renewed:
			s.untilChange(p, renewalPause)
		}
		for s.ctx.Err() == nil && !s.tell(address, p) {
			if !slices.Contains(s.replicas.MemberAddresses(), address) {
				s.drop(address)
				return
			}
			wait.For(s.ctx, spreadRetry)
		}
	}
}

// drop forgets a daemon that can't be reached and is no member any more.
func (s *Service) drop(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peers, address)
	s.log.Info("control daemon dropped", zap.String("address", address))
}

// untilChange waits until a time has passed or the daemon needs to hear of a
// change.
func (s *Service) untilChange(p *peer, d time.Duration) {
	select {
	case <-s.ctx.Done():
	case <-p.changed:
	case <-time.After(d):
	}
}

// tell makes one call with all that is queued. It returns false where that
// failed and is queued again.
func (s *Service) tell(address string, p *peer) bool {
	s.mu.Lock()
	changes, renewals := p.drain()
	now := s.now()
	s.mu.Unlock()
	news := encodeNews(changes, renewals, now)
	if len(news.Entries)+len(news.Renewals) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(s.ctx, spreadTimeout)
	defer cancel()
	ack, err := rpc.NewDRPCRosterClient(s.link.Conn(address)).Spread(ctx, news)
	s.mu.Lock()
	defer s.mu.Unlock()
	if lost := err != nil; lost != p.lost {
		p.lost = lost
		s.log.Info("control daemon lost or regained", zap.String("address", address), zap.Bool("lost", lost), zap.Error(err))
	}
	if err != nil {
		p.requeue(changes, renewals)
		return false
	}
	s.supply(address, p, ack)
	return true
}

// supply queues what a daemon lacks: single entries, or the whole roster where
// its process is a new one; the lock is held.
func (s *Service) supply(address string, p *peer, ack *rpc.RosterAck) {
	lacks := []roster.Entry{}
	for _, id := range ack.Unknown {
		if e, ok := s.core.Find(id); ok {
			lacks = append(lacks, e)
		}
	}
	if ack.Incarnation != p.incarnation {
		p.incarnation = ack.Incarnation
		lacks = s.core.All(s.now())
		s.log.Info("whole roster passed on", zap.String("address", address), zap.Int("upstreams", len(lacks)), zap.Uint64("incarnation", ack.Incarnation))
	}
	for _, e := range lacks {
		p.queue(e, roster.Changed)
	}
}

// Spread takes in what another control daemon heard.
func (s *Service) Spread(_ context.Context, news *rpc.RosterNews) (*rpc.RosterAck, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, e := range news.Entries {
		s.take(decode(e, now), "control daemon")
	}
	ack := &rpc.RosterAck{Incarnation: uint64(s.began.UnixNano())}
	for _, n := range news.Renewals {
		if !s.core.Renew(decodeRenewal(n, now)) {
			ack.Unknown = append(ack.Unknown, n.Id)
		}
	}
	return ack, nil
}
