package roster

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/roster"
)

const (
	// spreadPause is how long heartbeats are collected before they are passed
	// on; a small part of the time within which a leaving upstream must be known
	// everywhere.
	spreadPause = 40 * time.Millisecond
	// spreadTimeout bounds one call, and with it the wait for a daemon that is
	// cut off.
	spreadTimeout = 600 * time.Millisecond
	// spreadRetry is the pause after a failed call.
	spreadRetry = 200 * time.Millisecond
)

// peer is another control daemon and what it has not been told yet.
type peer struct {
	pending map[string]roster.Entry
	wake    chan struct{}
	lost    bool
}

// spread queues an entry for the other control daemons; the lock is held.
func (s *Service) spread(e roster.Entry) {
	for _, address := range s.replicas.MemberAddresses() {
		if address == s.set.Addresses.Peers {
			continue
		}
		p := s.peers[address]
		if p == nil {
			p = &peer{pending: map[string]roster.Entry{}, wake: make(chan struct{}, 1)}
			s.peers[address] = p
			s.done.Go(func() { s.feed(address, p) })
		}
		p.pending[e.ID] = e
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
}

// feed passes on what is queued for one daemon until the service stops.
func (s *Service) feed(address string, p *peer) {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-p.wake:
		}
		s.pause(spreadPause)
		for s.ctx.Err() == nil && !s.tell(address, p) {
			s.pause(spreadRetry)
		}
	}
}

func (s *Service) pause(d time.Duration) {
	select {
	case <-s.ctx.Done():
	case <-time.After(d):
	}
}

// tell makes one call with all that is queued; what fails is queued again
// unless newer news of the same upstream came meanwhile.
func (s *Service) tell(address string, p *peer) bool {
	s.mu.Lock()
	batch := p.pending
	p.pending = map[string]roster.Entry{}
	now := s.now()
	s.mu.Unlock()
	news := &rpc.RosterNews{}
	for _, e := range batch {
		news.Entries = append(news.Entries, Encode(e, now))
	}
	if len(news.Entries) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(s.ctx, spreadTimeout)
	defer cancel()
	_, err := rpc.NewDRPCRosterClient(s.link.Conn(address)).Spread(ctx, news)
	s.mu.Lock()
	defer s.mu.Unlock()
	if lost := err != nil; lost != p.lost {
		p.lost = lost
		s.log.Info("control daemon lost or regained", zap.String("address", address), zap.Bool("lost", lost), zap.Error(err))
	}
	if err == nil {
		return true
	}
	for id, e := range batch {
		if _, newer := p.pending[id]; !newer {
			p.pending[id] = e
		}
	}
	return false
}

// Spread takes in what another control daemon heard.
func (s *Service) Spread(_ context.Context, news *rpc.RosterNews) (*rpc.RosterAck, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, e := range news.Entries {
		s.take(Decode(e, now), "control daemon")
	}
	return &rpc.RosterAck{}, nil
}

// Encode gives an entry's wire form.
func Encode(e roster.Entry, now time.Duration) *rpc.RosterEntry {
	return &rpc.RosterEntry{
		Id: e.ID, Pool: e.Pool, Address: e.Address, DataCentre: e.DataCentre, Slots: uint32(e.Slots), Born: e.Born, Sequence: e.Sequence,
		Leaving: e.Leaving, Gone: e.Gone, ColdMs: uint32(e.Cold.Milliseconds()), AgeMs: uint32(max(0, now-e.Heard).Milliseconds()),
	}
}

// Decode reads an entry's wire form.
func Decode(e *rpc.RosterEntry, now time.Duration) roster.Entry {
	return roster.Entry{
		ID: e.Id, Pool: e.Pool, Address: e.Address, DataCentre: e.DataCentre, Slots: int(e.Slots), Born: e.Born, Sequence: e.Sequence,
		Leaving: e.Leaving, Gone: e.Gone, Cold: time.Duration(e.ColdMs) * time.Millisecond, Heard: now - time.Duration(e.AgeMs)*time.Millisecond,
	}
}
