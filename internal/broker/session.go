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
	// via is the stream of the follower that relays the session; nil for a direct one.
	// entry is then the entry's name.
	via   *relayed
	entry string
	// relayable is true if the entry accepts grants from a follower. complete is true
	// once it has sent all its requests to the present leader.
	relayable bool
	complete  bool
	// interim is true if the entry accepts grants of an interim broker.
	interim bool
	// hasRoster is true if the entry has a roster and gets its changes, hasFullRoster
	// if this daemon sent the full roster. outdatedSince is the time from which on the
	// entry's own roster may lack changes; zero if the entry has none.
	hasRoster     bool
	hasFullRoster bool
	outdatedSince time.Time
	// hasLevels is true if the entry got all quota levels.
	hasLevels bool
	// hasSuspects is true if the entry got all suspected contents.
	hasSuspects bool
	// rollouts holds the rollouts that the entry knows, by pool.
	rollouts map[string]*rpc.KnownRollout
}

// send queues a message. It ends a session whose queue is full; the entry then connects
// again and offers its requests anew.
func (x *session) send(r *rpc.BrokerReply) {
	if x.via != nil {
		x.via.queue(x, r)
		return
	}
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
	x := &session{out: make(chan *rpc.BrokerReply, sendQueueLength), end: cancel, relayable: first.Relayable, interim: first.Interim}
	s.join(first, x)
	defer s.leave(first.Entry, x)
	return duplex.Server[*rpc.BrokerAsk, *rpc.BrokerReply]{
		Recv: stream.Recv, Send: stream.Send, Outgoing: x.out, HeartbeatInterval: heartbeatInterval, IdleTimeout: sessionTimeout, NewHeartbeat: func() (*rpc.BrokerReply, bool) { return s.heartbeat(x) },
		Handle: func(ask *rpc.BrokerAsk) { s.handle(first.Entry, x, ask) },
	}.Run(ctx)
}

// heartbeat returns a message that carries only the state of this daemon. It returns false
// if messages with an earlier state are queued.
func (s *Service) heartbeat(x *session) (*rpc.BrokerReply, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reply(x), len(x.out) == 0
}

// join registers the session of an entry and replaces the state of the entry by the
// offers in its first message.
func (s *Service) join(first *rpc.BrokerAsk, x *session) {
	s.refresh(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(first.Entry, x)
	s.listeners[x] = struct{}{}
	x.outdatedSince = outdatedSince(first)
	s.log.Info("entry connected", zap.String("entry", first.Entry), zap.Int("offers", len(first.Offers)), zap.Bool("leads", s.leads))
	if !s.leads && s.leader.Address != "" {
		// The entry uses the relay, connects to the leader instead, or stays and gets
		// the roster with its next message.
		x.send(s.reply(x))
		return
	}
	s.sendRoster(x)
	if !s.leads {
		return
	}
	s.resync(first.Entry, first.Offers)
	wait.Notify(s.wake)
}

// add registers the session of an entry and ends an older one. The caller holds the lock.
func (s *Service) add(entry string, x *session) {
	if old := s.sessions[entry]; old != nil {
		old.end()
	}
	s.sessions[entry] = x
	s.metrics.entries.Set(float64(len(s.sessions)))
}

// resync replaces what the broker knows of an entry. The caller holds the lock.
func (s *Service) resync(entry string, list []*rpc.WorkOffer) {
	now := s.now()
	offers := make([]broker.Offer, 0, len(list))
	for _, o := range list {
		offers = append(offers, brokerwire.DecodeOffer(now, entry, o))
	}
	s.core.Resync(now, entry, offers)
}

// leave removes a session, unless a newer one of the entry replaced it.
func (s *Service) leave(entry string, x *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, x)
	if s.sessions[entry] != x {
		return
	}
	s.forwardLoss(entry, x)
	s.remove(entry, x)
	s.log.Info("entry disconnected", zap.String("entry", entry))
}

// remove removes a session, unless a newer one of the entry replaced it. The caller holds
// the lock.
func (s *Service) remove(entry string, x *session) {
	if s.sessions[entry] != x {
		return
	}
	delete(s.sessions, entry)
	s.metrics.entries.Set(float64(len(s.sessions)))
	if s.interim.active {
		// The entry takes its share and its running requests to the next daemon.
		s.core.Resync(s.now(), entry, nil)
		return
	}
	s.core.LoseEntry(s.now(), entry)
}

// handle handles one message of an entry. It ignores messages of sessions that were
// replaced.
func (s *Service) handle(entry string, x *session, ask *rpc.BrokerAsk) {
	s.slicer.yield()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[entry] != x {
		return
	}
	s.sendRoster(x)
	switch {
	case s.leads:
		x.complete = x.complete || ask.Complete
		if !x.complete {
			// The requests were offered to an interim broker, and come again.
			ask.Offers = nil
		}
		s.apply(entry, ask)
	case s.relay.up && x.relayable:
		s.remember(ask)
		s.forward(entry, x, ask)
	case s.interim.active && x.interim:
		s.applyInterim(entry, x, ask)
	default:
		s.remember(ask)
	}
}

// remember keeps what an entry says that a later broker of this daemon, or the next leader, may
// need. The caller holds the lock.
func (s *Service) remember(ask *rpc.BrokerAsk) {
	s.learnLimits(ask.Limits)
	s.core.LearnStreams(s.now(), brokerwire.DecodeStreams(s.now(), ask.Streams))
	s.core.LearnSuspects(s.now(), brokerwire.DecodeSuspects(s.now(), ask.Suspects))
}

// apply passes an entry's message to the broker. The caller holds the lock.
func (s *Service) apply(entry string, ask *rpc.BrokerAsk) {
	now := s.now()
	defer s.work.addMessage(ask, time.Now())
	early, late := splitEnds(ask)
	for _, e := range early {
		s.core.End(now, brokerwire.DecodeEnd(entry, e))
	}
	for _, id := range ask.Cancels {
		s.core.Cancel(broker.ID{Entry: entry, Number: id})
	}
	if len(ask.Streams) > 0 {
		s.core.LearnStreams(now, brokerwire.DecodeStreams(now, ask.Streams))
	}
	s.core.LearnSuspects(now, brokerwire.DecodeSuspects(now, ask.Suspects))
	s.learnLimits(ask.Limits)
	s.learnRollouts(entry, ask.Rollouts)
	s.core.LowerQuotas(now, brokerwire.DecodeQuotaLevels(ask.Quotas))
	s.core.SpendQuotas(now, brokerwire.DecodeQuotaUse(ask.Quotas))
	if ask.Complete {
		s.resync(entry, ask.Offers)
		for _, e := range late {
			s.core.End(now, brokerwire.DecodeEnd(entry, e))
		}
	} else {
		for _, o := range ask.Offers {
			s.core.Offer(now, brokerwire.DecodeOffer(now, entry, o))
		}
	}
	if len(ask.Ends)+len(ask.Cancels)+len(ask.Offers) > 0 {
		wait.Notify(s.wake)
	}
}

// splitEnds returns the ends in a message that precede its offers, and those of requests that a
// complete list offers as running: these ended after the list was made.
func splitEnds(ask *rpc.BrokerAsk) (early, late []*rpc.WorkEnd) {
	if !ask.Complete || len(ask.Ends) == 0 {
		return ask.Ends, nil
	}
	running := map[uint64]bool{}
	for _, o := range ask.Offers {
		running[o.Id] = o.Running != ""
	}
	for _, e := range ask.Ends {
		if running[e.Id] {
			late = append(late, e)
		} else {
			early = append(early, e)
		}
	}
	return early, late
}
