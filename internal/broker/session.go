package broker

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/internal/brokerwire"
	"github.com/verbenastep/verbenastep/internal/duplex"
	"github.com/verbenastep/verbenastep/internal/wait"
)

// session is the stream of one entry.
type session struct {
	out chan *rpc.BrokerReply
	end context.CancelFunc
	// hasRoster is true if the entry has a roster and gets its changes, hasFullRoster
	// if this daemon sent the full roster. outdatedSince is the time from which on the
	// entry's own roster may lack changes; zero if the entry has none.
	hasRoster     bool
	hasFullRoster bool
	outdatedSince time.Time
	// hasLevels is true if the entry got all quota levels.
	hasLevels bool
}

// send queues a message. It ends a session whose queue is full; the entry then connects
// again and offers its requests anew.
func (x *session) send(r *rpc.BrokerReply) {
	select {
	case x.out <- r:
	default:
		x.end()
	}
}

// Session serves one entry until the stream ends or the entry sends nothing for
// sessionTimeout.
func (s *Service) Session(stream rpc.DRPCBroker_SessionStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	stop := context.AfterFunc(s.ctx, cancel)
	defer stop()
	x := &session{out: make(chan *rpc.BrokerReply, sendQueueLength), end: cancel}
	s.join(first, x)
	defer s.leave(first.Entry, x)
	return duplex.Server[*rpc.BrokerAsk, *rpc.BrokerReply]{
		Recv: stream.Recv, Send: stream.Send, Outgoing: x.out, HeartbeatInterval: heartbeatInterval, IdleTimeout: sessionTimeout, NewHeartbeat: s.heartbeat,
		Handle: func(ask *rpc.BrokerAsk) { s.handle(first.Entry, x, ask) },
	}.Run(ctx)
}

// heartbeat returns a message that carries only the state of this daemon.
func (s *Service) heartbeat() *rpc.BrokerReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reply()
}

// join registers the session of an entry and replaces the state of the entry by the
// offers in its first message.
func (s *Service) join(first *rpc.BrokerAsk, x *session) {
	s.refresh(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.sessions[first.Entry]; old != nil {
		old.end()
	}
	s.sessions[first.Entry] = x
	x.outdatedSince = outdatedSince(first)
	s.metrics.entries.Set(float64(len(s.sessions)))
	s.log.Info("entry connected", zap.String("entry", first.Entry), zap.Int("offers", len(first.Offers)), zap.Bool("leads", s.leads))
	if !s.leads && s.leader.Address != "" {
		// The entry connects to the leader instead, or stays and gets the roster with
		// its next message.
		x.send(s.reply())
		return
	}
	s.sendRoster(x)
	if !s.leads {
		return
	}
	now := s.now()
	offers := make([]broker.Offer, 0, len(first.Offers))
	for _, o := range first.Offers {
		offers = append(offers, brokerwire.DecodeOffer(now, first.Entry, o))
	}
	s.core.Resync(now, first.Entry, offers)
	wait.Notify(s.wake)
}

// leave removes a session, unless a newer one of the entry replaced it.
func (s *Service) leave(entry string, x *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[entry] != x {
		return
	}
	delete(s.sessions, entry)
	s.metrics.entries.Set(float64(len(s.sessions)))
	s.core.LoseEntry(s.now(), entry)
	s.log.Info("entry disconnected", zap.String("entry", entry))
}

// handle handles one message of an entry. It ignores messages of sessions that were
// replaced.
func (s *Service) handle(entry string, x *session, ask *rpc.BrokerAsk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[entry] != x {
		return
	}
	s.sendRoster(x)
	if !s.leads {
		return
	}
	now := s.now()
	for _, e := range ask.Ends {
		s.core.End(now, brokerwire.DecodeEnd(entry, e))
	}
	for _, id := range ask.Cancels {
		s.core.Cancel(broker.ID{Entry: entry, Number: id})
	}
	s.core.LowerQuotas(now, brokerwire.DecodeQuotaLevels(ask.Quotas))
	s.core.SpendQuotas(now, brokerwire.DecodeQuotaUse(ask.Quotas))
	for _, o := range ask.Offers {
		s.core.Offer(now, brokerwire.DecodeOffer(now, entry, o))
	}
	if len(ask.Ends)+len(ask.Cancels)+len(ask.Offers) > 0 {
		wait.Notify(s.wake)
	}
}
