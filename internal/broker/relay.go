package broker

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/internal/brokerwire"
	"github.com/verbenastep/verbenastep/internal/duplex"
	"github.com/verbenastep/verbenastep/internal/wait"
)

const (
	// relayRetryInterval is how often a follower without a relay looks for a leader.
	relayRetryInterval = 25 * time.Millisecond
	// relayBatchDelay is the shortest time between two messages to the leader. It is
	// short compared with the round trip between data centres.
	relayBatchDelay = 3 * time.Millisecond
	// relayHeartbeatInterval is the longest time between two messages to the leader.
	relayHeartbeatInterval = 200 * time.Millisecond
	// relayConnectTimeout bounds the time to the leader's first message, relayTimeout
	// the time between two of its messages.
	relayConnectTimeout = 600 * time.Millisecond
	relayTimeout        = 350 * time.Millisecond
	// maxRelayedAsks bounds the messages that wait for the leader; with more, the relay
	// ends and the entries decide by themselves.
	maxRelayedAsks = 10_000
	// unknownCall is part of drpc's error for a call that the other daemon does not
	// have; the error carries no code. relayUnsupportedDelay is the delay before the
	// next attempt.
	unknownCall           = "unknown rpc"
	relayUnsupportedDelay = time.Second
	// sheddingDuration is how long a follower refuses new requests of a rank after the
	// leader said that it sheds the rank. Then it offers some again, so that a change is
	// noticed.
	sheddingDuration = 100 * time.Millisecond
)

var (
	errRelayTimeout   = errors.New("no message from the leader before the timeout")
	errRelayNotLeader = errors.New("the daemon does not lead any more")
	errRelayOverrun   = errors.New("too many messages wait for the leader")
)

// relay is a follower's connection to the leader, which carries the sessions of its
// entries. Its fields are guarded by the service's lock.
type relay struct {
	// up is true once the daemon at the address leader has confirmed that it leads, in
	// the given term. The daemon's own log may hear of the term later.
	up     bool
	leader string
	term   uint64
	// unsupportedBy is the address of a leader of an earlier version, which has no call
	// for relays; empty if there is none.
	unsupportedBy string
	// entries is the number of entries that the leader serves.
	entries uint32
	// asks and lost collect the next message to the leader. streams are those that a new
	// leader has yet to be told of.
	asks    []*rpc.BrokerAsk
	lost    []string
	streams []broker.StreamOrigin
	// hasSuspects is true once the leader got all suspected contents.
	hasSuspects bool
	// shedding holds the ranks of pools that the leader sheds.
	shedding map[poolRank]shedding
	// commitments holds the requests that the leader expects in spite of shedding.
	commitments followerCommitments
	// wake notifies the sender, end ends the stream to the leader.
	wake chan struct{}
	end  context.CancelCauseFunc
	// estimates holds what the leader learned, by upstream.
	estimates map[string]broker.Estimates
}

// poolRank is a rank of a pool.
type poolRank struct {
	pool string
	rank uint32
}

// shedding is what the leader says of a rank that it sheds: the estimated wait, and until
// when the follower may refuse new requests for it.
type shedding struct {
	wait  time.Duration
	until time.Time
}

// notify has what waits sent to the leader.
func (r *relay) notify() { wait.Notify(r.wake) }

// runRelay keeps a relay to the leader while another daemon leads.
func (s *Service) runRelay() {
	for s.ctx.Err() == nil {
		leads, leader := s.replica.Leadership()
		if leader.Address == "" {
			// A daemon that lost its disk hears of the leader before it joins the log.
			leader = s.view.Leader()
		}
		if leads || leader.Address == "" || leader.Address == s.set.Addresses.Peers || s.isDraining() {
			wait.Sleep(s.ctx, relayRetryInterval)
			continue
		}
		err := s.relayTo(leader.Address)
		if s.relayDown() && s.ctx.Err() == nil {
			s.log.Warn("relay lost", zap.String("leader", leader.Address), zap.Error(err))
		}
		if err != nil && strings.Contains(err.Error(), unknownCall) {
			s.log.Info("leader has no call for relays; entries connect to it", zap.String("leader", leader.Address))
			s.mu.Lock()
			s.relay.unsupportedBy = leader.Address
			s.mu.Unlock()
			wait.Sleep(s.ctx, relayUnsupportedDelay)
		}
		wait.Sleep(s.ctx, relayRetryInterval)
	}
}

func (s *Service) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// relayTo runs a relay to the leader at an address until it fails or another daemon leads.
func (s *Service) relayTo(address string) error {
	ctx, cancel := context.WithCancelCause(s.ctx)
	defer cancel(nil)
	timeout := time.AfterFunc(relayConnectTimeout, func() { cancel(errRelayTimeout) })
	defer timeout.Stop()
	s.mu.Lock()
	s.relay.end = cancel
	s.relay.asks, s.relay.lost, s.relay.streams = nil, nil, nil
	clear(s.relay.shedding)
	s.mu.Unlock()
	stream, err := rpc.NewDRPCBrokerClient(s.link.Conn(address)).Relay(ctx)
	if err != nil {
		return errors.Join(err, context.Cause(ctx))
	}
	defer stream.Close()
	if err := stream.Send(&rpc.RelayAsk{Relay: s.set.Name}); err != nil {
		return err
	}
	in := make(chan *rpc.RelayReply)
	failed := make(chan error, 1)
	go func() { failed <- duplex.Receive(ctx, stream.Recv, in) }()
	heartbeat := time.NewTimer(relayHeartbeatInterval)
	defer heartbeat.Stop()
	batch := time.NewTimer(0)
	defer batch.Stop()
	wake := (chan struct{})(nil)
	heardAt, limit := s.elapsed(), relayConnectTimeout
	for {
		err := error(nil)
		select {
		case <-batch.C:
			wake = s.relay.wake
		case <-wake:
			err = stream.Send(s.takeRelayAsk())
			heartbeat.Reset(relayHeartbeatInterval)
			batch.Reset(relayBatchDelay)
			wake = nil
		case <-heartbeat.C:
			err = stream.Send(s.takeRelayAsk())
			heartbeat.Reset(relayHeartbeatInterval)
		case r := <-in:
			// After a pause of this process, the timer may not have fired yet. The leader
			// may have given up the relay and the grants that waited here.
			if s.elapsed()-heardAt > limit {
				return errRelayTimeout
			}
			heardAt, limit = s.elapsed(), relayTimeout
			timeout.Reset(relayTimeout)
			err = s.handleRelayReply(address, r)
		case err = <-failed:
		case <-ctx.Done():
			err = context.Cause(ctx)
		}
		if err != nil {
			return err
		}
	}
}

// takeRelayAsk returns what waits for the leader; an empty message is a heartbeat.
func (s *Service) takeRelayAsk() *rpc.RelayAsk {
	s.mu.Lock()
	defer s.mu.Unlock()
	ask := &rpc.RelayAsk{Asks: s.relay.asks, Lost: s.relay.lost, Streams: s.takeStreams(&s.relay.streams, s.relay.notify)}
	s.relay.asks, s.relay.lost = nil, nil
	if s.relay.up && !s.relay.hasSuspects {
		s.relay.hasSuspects = true
		ask.Suspects = brokerwire.EncodeSuspects(s.now(), s.core.SuspectedContents(s.now()))
	}
	return ask
}

// handleRelayReply passes the leader's decisions on to the entries.
func (s *Service) handleRelayReply(address string, r *rpc.RelayReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.State == nil || !r.State.Leads || s.leads {
		return errRelayNotLeader
	}
	s.relay.entries, s.relay.term = r.State.Entries, r.State.LeaderTerm
	if !s.relay.up {
		if s.interim.active {
			s.endInterim()
			s.replaceCore()
		}
		s.setRelayUp(true)
		s.relay.leader, s.relay.unsupportedBy = address, ""
		s.levelsSentAt, s.sentLevels = time.Time{}, map[string]float64{}
		s.log.Info("relaying to the leader", zap.String("leader", address), zap.Int("entries", len(s.sessions)))
		// They go with the next message: one of their own would delay the offers of the entries.
		s.relay.hasSuspects = false
		s.reportStreams()
		s.replyToListeners()
	}
	s.core.LearnStreams(s.now(), brokerwire.DecodeStreams(s.now(), r.Streams))
	for _, e := range r.State.Roster {
		if _, l := brokerwire.DecodeUpstream(e); e.Gone {
			delete(s.relay.estimates, e.Id)
		} else {
			s.relay.estimates[e.Id] = l
		}
	}
	s.learnRosterLimits(r.State.Roster)
	for _, x := range brokerwire.DecodeShedding(r.Shedding) {
		s.relay.shedding[poolRank{x.Pool, uint32(x.Rank)}] = shedding{wait: x.Wait, until: time.Now().Add(sheddingDuration)}
	}
	s.relay.commitments.learn(s.now(), r.Commitments)
	s.relayLevels(r.State)
	s.core.LearnSuspects(s.now(), brokerwire.DecodeSuspects(s.now(), r.State.Suspects))
	s.sendSuspects()
	for _, d := range r.Replies {
		x := s.sessions[d.Entry]
		if x == nil {
			// The session ended in the same message as its first requests; the leader
			// would keep their slots.
			s.relay.lost = append(s.relay.lost, d.Entry)
			wait.Notify(s.relay.wake)
			continue
		}
		if !x.complete {
			continue
		}
		reply := s.reply(x)
		reply.Grants, reply.Refusals = d.Grants, d.Refusals
		x.send(reply)
	}
	return nil
}

// relayLevels passes the leader's quota levels on to the entries. The caller holds the lock.
func (s *Service) relayLevels(state *rpc.BrokerReply) {
	if len(state.Quotas) == 0 && !state.QuotasSet {
		return
	}
	levels := brokerwire.DecodeQuotaLevels(state.Quotas)
	if state.QuotasSet {
		clear(s.sentLevels)
		for x := range s.listeners {
			x.hasLevels = false
		}
	}
	for name, left := range levels {
		if left < 1 {
			s.sentLevels[name] = left
		} else {
			delete(s.sentLevels, name)
		}
	}
	s.queueLevels(levels)
}

// forward queues an entry's message for the leader. Messages before the first complete one
// are of no use to a leader that does not know the entry yet. The caller holds the lock.
func (s *Service) forward(entry string, x *session, ask *rpc.BrokerAsk) {
	s.refuseShed(x, ask)
	x.complete = x.complete || ask.Complete
	if !x.complete || len(ask.Offers)+len(ask.Ends)+len(ask.Cancels)+len(ask.Quotas)+len(ask.Limits)+len(ask.Rollouts)+len(ask.Suspects) == 0 && !ask.Complete {
		return
	}
	if len(s.relay.asks) >= maxRelayedAsks {
		s.relay.end(errRelayOverrun)
		return
	}
	ask.Entry = entry
	s.relay.asks = append(s.relay.asks, ask)
	wait.Notify(s.relay.wake)
}

// refuseShed refuses the new requests of a message that the leader would refuse, and removes
// them from it, so that a leader under overload spends no time on them. Resumed streams,
// and requests that return as they were told to, go before others at the leader and are left
// to it. The caller holds the lock.
func (s *Service) refuseShed(x *session, ask *rpc.BrokerAsk) {
	if len(s.relay.shedding) == 0 || ask.Complete {
		return
	}
	refusals := []*rpc.WorkRefusal{}
	ask.Offers = slices.DeleteFunc(ask.Offers, func(o *rpc.WorkOffer) bool {
		key := poolRank{o.Pool, o.Rank}
		shed, ok := s.relay.shedding[key]
		if !ok || o.Running != "" || o.Resumes != 0 || s.relay.commitments.accepts(s.now(), o.Fingerprint) {
			return false
		}
		if time.Now().After(shed.until) {
			delete(s.relay.shedding, key)
			return false
		}
		refusals = append(refusals, brokerwire.EncodeRefusal(broker.Refusal{
			ID: broker.ID{Number: o.Id}, Code: broker.Overloaded, RetryAfter: broker.RetryDelay(o.Id, shed.wait),
			Reason: fmt.Sprintf("all requests of its rank are refused; %d ms of waiting would be too late", shed.wait.Milliseconds()),
		}))
		return true
	})
	if len(refusals) > 0 {
		s.metrics.refusals.WithLabelValues(string(broker.Overloaded)).Add(float64(len(refusals)))
		r := s.reply(x)
		r.Refusals = refusals
		x.send(r)
	}
}

// forwardLoss tells the leader that the session of an entry has ended. The caller holds the
// lock.
func (s *Service) forwardLoss(entry string, x *session) {
	if s.relay.up && x.complete {
		s.relay.lost = append(s.relay.lost, entry)
		wait.Notify(s.relay.wake)
	}
}

// relayDown makes the entries decide by themselves. It returns true if the relay was up.
func (s *Service) relayDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.relay.up {
		return false
	}
	s.setRelayUp(false)
	s.replyToListeners()
	return true
}

// setRelayUp records whether the leader confirmed the relay. The caller holds the lock.
func (s *Service) setRelayUp(up bool) {
	s.relay.up = up
	s.metrics.relays.Set(map[bool]float64{true: 1}[up])
}

// replyToListeners sends the state of this daemon to all entries, which connect to its
// broker or leave it accordingly. The caller holds the lock.
func (s *Service) replyToListeners() {
	for x := range s.listeners {
		x.complete, x.hasLevels, x.hasSuspects = false, false, false
		x.send(s.reply(x))
	}
}
