package broker

import (
	"context"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/internal/brokerwire"
	"github.com/verbenastep/verbenastep/internal/duplex"
)

// maxRelayedReplies bounds the replies that wait for a slow follower; with more, its stream
// ends and its entries offer their requests anew.
const maxRelayedReplies = 10_000

// relayed is the leader's side of the stream of a follower that relays the sessions of its
// entries. Its fields are guarded by the service's lock.
type relayed struct {
	// name is that of the follower.
	name string
	// own receives what all entries get; the follower passes it on.
	own *session
	// entries holds the sessions of the follower's entries.
	entries map[string]*session
	// state and replies collect the next message to the follower.
	state   *rpc.BrokerReply
	replies []*rpc.RelayedReply
	// commitments collects those that the follower is told with the next message, streams
	// those that it is to remember.
	commitments []broker.Commitment
	streams     []broker.StreamOrigin
	// out has an element while a message waits.
	out chan *rpc.RelayReply
	end context.CancelFunc
}

func newRelayed(name string, end context.CancelFunc) *relayed {
	y := &relayed{name: name, entries: map[string]*session{}, out: make(chan *rpc.RelayReply, 1), end: end}
	y.own = &session{via: y, end: end}
	return y
}

// queue adds a reply of an entry's session, or of the follower's own one, to the next
// message.
func (y *relayed) queue(x *session, r *rpc.BrokerReply) {
	if x == y.own {
		y.state = mergeState(y.state, r)
	} else if len(r.Grants)+len(r.Refusals) > 0 {
		y.replies = append(y.replies, &rpc.RelayedReply{Entry: x.entry, Grants: r.Grants, Refusals: r.Refusals})
	}
	if len(y.replies) > maxRelayedReplies {
		y.end()
	}
	y.notify()
}

// notify has what waits sent with the next message.
func (y *relayed) notify() {
	select {
	case y.out <- nil:
	default:
	}
}

// mergeState returns a state that has the effect of two in turn.
func mergeState(first, next *rpc.BrokerReply) *rpc.BrokerReply {
	if first == nil {
		return next
	}
	out := &rpc.BrokerReply{
		Leads: next.Leads, Entries: next.Entries, Leader: next.Leader, LeaderTerm: next.LeaderTerm,
		Roster: next.Roster, RosterSet: next.RosterSet, Quotas: next.Quotas, QuotasSet: next.QuotasSet,
		Suspects: append(first.Suspects[:len(first.Suspects):len(first.Suspects)], next.Suspects...),
	}
	if !next.RosterSet {
		out.Roster, out.RosterSet = append(first.Roster[:len(first.Roster):len(first.Roster)], next.Roster...), first.RosterSet
	}
	if !next.QuotasSet {
		out.Quotas, out.QuotasSet = append(first.Quotas[:len(first.Quotas):len(first.Quotas)], next.Quotas...), first.QuotasSet
	}
	return out
}

// Relay serves a follower until its stream ends or it sends nothing for sessionTimeout.
func (s *Service) Relay(stream rpc.DRPCBroker_RelayStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	stop := context.AfterFunc(s.ctx, cancel)
	defer stop()
	y := newRelayed(first.Relay, cancel)
	s.joinRelay(first.Relay, y)
	defer s.leaveRelay(first.Relay, y)
	return duplex.Server[*rpc.RelayAsk, *rpc.RelayReply]{
		Recv: stream.Recv, Outgoing: y.out, HeartbeatInterval: heartbeatInterval, IdleTimeout: sessionTimeout,
		Handle: func(ask *rpc.RelayAsk) { s.handleRelayAsk(y, ask) },
		// The message is collected when it is sent, so that it carries all that waits.
		Send:         func(*rpc.RelayReply) error { return stream.Send(s.takeRelayReply(y)) },
		NewHeartbeat: func() (*rpc.RelayReply, bool) { return nil, true },
	}.Run(ctx)
}

// takeRelayReply returns what waits for a follower, with the current state.
func (s *Service) takeRelayReply(y *relayed) *rpc.RelayReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &rpc.RelayReply{State: mergeState(y.state, s.reply(y.own)), Replies: y.replies, Shedding: brokerwire.EncodeShedding(s.core.Shedding(s.now()))}
	r.Commitments = brokerwire.EncodeCommitments(s.now(), y.commitments)
	r.Streams = s.takeStreams(&y.streams, y.notify)
	y.state, y.replies, y.commitments = nil, nil, nil
	return r
}

func (s *Service) joinRelay(name string, y *relayed) {
	s.refresh(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners[y.own] = struct{}{}
	s.log.Info("relay connected", zap.String("relay", name), zap.Bool("leads", s.leads))
	y.own.send(s.reply(y.own))
	if s.leads {
		s.sendRoster(y.own)
		y.streams = s.core.Streams(s.now())
	}
}

// leaveRelay ends the sessions of a follower's entries.
func (s *Service) leaveRelay(name string, y *relayed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, y.own)
	for entry, x := range y.entries {
		s.remove(entry, x)
	}
	s.log.Info("relay disconnected", zap.String("relay", name), zap.Int("entries", len(y.entries)))
}

// handleRelayAsk handles one message of a follower, the messages of its entries one by one.
func (s *Service) handleRelayAsk(y *relayed, r *rpc.RelayAsk) {
	s.handleRelay(y, r)
	for _, ask := range r.Asks {
		s.slicer.yield()
		s.handleRelayed(y, ask)
	}
}

// handleRelay handles what a follower says of itself and of entries that it lost.
func (s *Service) handleRelay(y *relayed, r *rpc.RelayAsk) {
	s.slicer.yield()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leads {
		return
	}
	s.sendRoster(y.own)
	s.core.LearnStreams(s.now(), brokerwire.DecodeStreams(s.now(), r.Streams))
	s.core.LearnSuspects(s.now(), brokerwire.DecodeSuspects(s.now(), r.Suspects))
	for _, entry := range r.Lost {
		if x := y.entries[entry]; x != nil {
			delete(y.entries, entry)
			s.remove(entry, x)
		}
	}
}

// handleRelayed handles a message of an entry that a follower relays.
func (s *Service) handleRelayed(y *relayed, ask *rpc.BrokerAsk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leads {
		return
	}
	if ask.Complete {
		x := &session{via: y, entry: ask.Entry, end: func() {}}
		y.entries[ask.Entry] = x
		s.add(ask.Entry, x)
	}
	if x := y.entries[ask.Entry]; x != nil && s.sessions[ask.Entry] == x {
		s.apply(ask.Entry, ask)
	}
}
