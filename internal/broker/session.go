package broker

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/internal/duplex"
	"github.com/verbenastep/verbenastep/internal/wait"
	"github.com/verbenastep/verbenastep/internal/work"
)

// session is one entry's stream.
type session struct {
	out chan *rpc.BrokerReply
	end context.CancelFunc
	// told says that the entry has the roster and hears of changes, whole that all
	// of it came from this daemon; since is from when on its own may lack changes,
	// zero where it has none.
	told  bool
	whole bool
	since time.Time
	// levels says that it has what is left of quotas.
	levels bool
}

// send queues a message. A session that can't keep up is ended; the entry then
// offers again what it still waits for.
func (x *session) send(r *rpc.BrokerReply) {
	select {
	case x.out <- r:
	default:
		x.end()
	}
}

// Session serves one entry until it ends or falls silent.
func (s *Service) Session(stream rpc.DRPCBroker_SessionStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	stop := context.AfterFunc(s.ctx, cancel)
	defer stop()
	x := &session{out: make(chan *rpc.BrokerReply, outboxSize), end: cancel}
	s.join(first, x)
	defer s.leave(first.Entry, x)
	return duplex.Server[*rpc.BrokerAsk, *rpc.BrokerReply]{
		Recv: stream.Recv, Send: stream.Send, Out: x.out, Heartbeat: heartbeat, Silence: sessionSilence, Beat: s.heartbeat,
		Take: func(ask *rpc.BrokerAsk) { s.take(first.Entry, x, ask) },
	}.Run(ctx)
}

func (s *Service) heartbeat() *rpc.BrokerReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reply()
}

// join replaces all that is known of an entry by what it offers now.
func (s *Service) join(first *rpc.BrokerAsk, x *session) {
	s.refresh(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.sessions[first.Entry]; old != nil {
		old.end()
	}
	s.sessions[first.Entry] = x
	x.since = lacksSince(first)
	s.meters.entries.Set(float64(len(s.sessions)))
	s.log.Info("entry joined", zap.String("entry", first.Entry), zap.Int("offers", len(first.Offers)), zap.Bool("leads", s.leads))
	if !s.leads && s.leading.Address != "" {
		// The entry moves on to the daemon that leads, or stays and asks again.
		x.send(s.reply())
		return
	}
	s.tellRoster(x)
	if !s.leads {
		return
	}
	now := s.now()
	offers := make([]broker.Offer, 0, len(first.Offers))
	for _, o := range first.Offers {
		offers = append(offers, work.DecodeOffer(now, first.Entry, o))
	}
	s.core.Resync(now, first.Entry, offers)
	wait.Signal(s.wake)
}

func (s *Service) leave(entry string, x *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[entry] != x {
		return
	}
	delete(s.sessions, entry)
	s.meters.entries.Set(float64(len(s.sessions)))
	s.core.LoseEntry(s.now(), entry)
	s.log.Info("entry lost", zap.String("entry", entry))
}

// take reads one message; one of a session that was replaced changes nothing.
func (s *Service) take(entry string, x *session, ask *rpc.BrokerAsk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[entry] != x {
		return
	}
	s.tellRoster(x)
	if !s.leads {
		return
	}
	now := s.now()
	for _, e := range ask.Ends {
		s.core.End(now, work.DecodeEnd(entry, e))
	}
	for _, id := range ask.Cancels {
		s.core.Cancel(broker.ID{Entry: entry, Number: id})
	}
	s.core.Lower(now, work.DecodeLevels(ask.Quotas))
	for _, o := range ask.Offers {
		s.core.Offer(now, work.DecodeOffer(now, entry, o))
	}
	if len(ask.Ends)+len(ask.Cancels)+len(ask.Offers) > 0 {
		wait.Signal(s.wake)
	}
}
