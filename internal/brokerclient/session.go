package brokerclient

import (
	"context"
	"errors"
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/internal/brokerwire"
	"github.com/verbenastep/verbenastep/internal/duplex"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/wait"
)

const (
	// heartbeatInterval is the longest time between two messages to the broker.
	heartbeatInterval = 200 * time.Millisecond
	// brokerTimeout is how long the broker may send nothing before the entry uses its
	// local broker. The broker sends every 100 ms; the timeout covers several messages
	// and the retransmission of a lost packet.
	brokerTimeout = 400 * time.Millisecond
	// connectTimeout bounds the time to the first message of a session, including the
	// connection setup.
	connectTimeout = 600 * time.Millisecond
	// reconnectDelay is the delay between two sessions.
	reconnectDelay = 50 * time.Millisecond
	// minLeaderlessTimeout is how long the first session with a daemon that knows no
	// leader is kept, for its roster. The timeout doubles with each further session up
	// to maxLeaderlessTimeout: a daemon that is not partitioned names the leader as
	// soon as there is one, and new sessions put load on busy daemons.
	minLeaderlessTimeout = 300 * time.Millisecond
	maxLeaderlessTimeout = 8 * minLeaderlessTimeout
	// backOffDelay is how long a daemon is avoided after a session with it failed: the
	// others need that long to elect another leader.
	backOffDelay = 1500 * time.Millisecond
	// memberCountInterval is how often the entries in the member list are counted.
	memberCountInterval = 500 * time.Millisecond
)

var (
	errBrokerTimeout = errors.New("no message from the broker before the timeout")
	errNotLeader     = errors.New("the daemon does not lead")
)

// runSessions keeps a session with the leader, or with another control daemon for its
// roster while no leader is known.
func (s *Service) runSessions() {
	for s.ctx.Err() == nil {
		address := s.nextAddress()
		err := s.runSession(s.ctx, address)
		wasAttached := s.detach(address, err)
		if wasAttached && s.ctx.Err() == nil {
			s.log.Warn("broker lost", zap.String("address", address), zap.Error(err))
		}
		wait.Sleep(s.ctx, reconnectDelay)
	}
}

// nextAddress returns the address of the daemon to ask next: the leader of the newest term
// that the last session or the view named, otherwise the next known replica. It avoids a
// daemon whose session has just failed while there is another one.
func (s *Service) nextAddress() string {
	viewed := s.view.Leader()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newestTerm = max(s.newestTerm, viewed.Term)
	candidates := []port.Leader{s.leader, viewed}
	if viewed.Term > s.leader.Term {
		candidates = []port.Leader{viewed, s.leader}
	}
	s.leader = port.Leader{}
	for _, l := range candidates {
		if l.Address != "" && !s.backedOff(l) {
			return l.Address
		}
	}
	known := s.set.KnownReplicas()
	for range known {
		s.replicaIndex++
		if address := known[s.replicaIndex%len(known)].Address; !s.backedOff(port.Leader{Address: address}) {
			return address
		}
	}
	return s.failedAddress
}

// backedOff reports whether a session with a daemon failed recently. Other daemons may name
// it as the leader until they elect another. A daemon that leads in a newer term has
// recovered. The caller holds the lock.
func (s *Service) backedOff(l port.Leader) bool {
	return l.Address == s.failedAddress && l.Term <= s.failedTerm && s.now() < s.backOffUntil
}

// detach ends the use of the session's broker and offers waiting requests to the local
// broker. It returns true if a broker granted in the session.
func (s *Service) detach(address string, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !errors.Is(err, errNotLeader) {
		s.failedAddress, s.failedTerm = address, s.newestTerm
		s.backOffUntil = s.now() + backOffDelay
	}
	wasAttached := s.attached
	s.attached = false
	clear(s.reportedUse)
	s.metrics.attached.Set(0)
	if wasAttached {
		s.metrics.brokerLost.Inc()
	}
	s.pending.Offers = nil
	now := s.now()
	if s.localStale {
		s.updateLocalBroker()
	}
	if wasAttached {
		s.local.ResetQuotas(now)
		s.local.LowerQuotas(now, s.quotaLevels)
	}
	for _, a := range s.waiting {
		s.local.Offer(now, a.offer)
	}
	wait.Notify(s.wakeLocal)
	return wasAttached
}

// runSession runs one session until it fails, times out or another daemon leads. It returns
// errNotLeader if the daemon itself has not failed.
func (s *Service) runSession(ctx context.Context, address string) error {
	if address == "" {
		return errNotLeader
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout := time.AfterFunc(connectTimeout, func() { cancel(errBrokerTimeout) })
	defer timeout.Stop()
	go s.watchLeader(ctx, address, s.view.Leader(), cancel)
	stream, err := rpc.NewDRPCBrokerClient(s.link.Conn(address)).Session(ctx)
	if err != nil {
		return errors.Join(err, context.Cause(ctx))
	}
	defer stream.Close()
	if err := stream.Send(s.firstMessage()); err != nil {
		return err
	}
	in := make(chan *rpc.BrokerReply)
	failed := make(chan error, 1)
	go func() { failed <- duplex.Receive(ctx, stream.Recv, in) }()
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	started := time.Now()
	limit := s.leaderlessTimeout()
	for {
		err := error(nil)
		select {
		case <-s.wakeSession:
			heartbeat.Reset(heartbeatInterval)
			err = s.send(stream)
		case <-heartbeat.C:
			heartbeat.Reset(heartbeatInterval)
			err = s.send(stream)
		case r := <-in:
			timeout.Reset(brokerTimeout)
			err = s.handle(address, r, time.Since(started) > limit)
		case err = <-failed:
		case <-ctx.Done():
			err = context.Cause(ctx)
		}
		if err != nil {
			return err
		}
	}
}

// watchLeader ends a session without a broker as soon as the view names a new leader, since
// the daemon of the session may not answer at all.
func (s *Service) watchLeader(ctx context.Context, address string, known port.Leader, end context.CancelCauseFunc) {
	for {
		changed := s.view.Changed()
		viewed := s.view.Leader()
		s.mu.Lock()
		s.newestTerm = max(s.newestTerm, viewed.Term)
		newLeader := !s.attached && viewed.Address != "" && viewed.Term > known.Term && viewed.Address != address && !s.backedOff(viewed)
		s.mu.Unlock()
		if newLeader {
			end(errNotLeader)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// leaderlessTimeout returns how long the next session without a leader is kept.
func (s *Service) leaderlessTimeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(maxLeaderlessTimeout, minLeaderlessTimeout<<min(s.leaderlessSessions, 8))
}

// firstMessage returns the first message of a session, with all running requests. Waiting
// requests are offered once the daemon says that it leads.
func (s *Service) firstMessage() *rpc.BrokerAsk {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = rpc.BrokerAsk{}
	now := s.now()
	ask := &rpc.BrokerAsk{Entry: s.self, RosterAgeMs: s.rosterAge()}
	s.rosterCurrent = ask.RosterAgeMs > 0
	for _, a := range s.running {
		ask.Offers = append(ask.Offers, brokerwire.EncodeOffer(now, a.offer))
	}
	return ask
}

// rosterAge returns the time since a leader last confirmed the roster, in milliseconds but
// at least 1; zero if none has. The caller holds the lock.
func (s *Service) rosterAge() uint32 {
	if s.rosterConfirmedAt == 0 {
		return 0
	}
	return uint32(max(1, (s.now() - s.rosterConfirmedAt).Milliseconds()))
}

// send sends what is pending; an empty message is a heartbeat.
func (s *Service) send(stream rpc.DRPCBroker_SessionClient) error {
	s.mu.Lock()
	ask := &rpc.BrokerAsk{Offers: s.pending.Offers, Ends: s.pending.Ends, Cancels: s.pending.Cancels, Quotas: s.pending.Quotas}
	s.pending = rpc.BrokerAsk{}
	s.mu.Unlock()
	return stream.Send(ask)
}

// handle handles one message of a control daemon. It returns errNotLeader if the session
// should end: another daemon leads, this one stopped leading, or timedOut is set and no
// leader is known.
func (s *Service) handle(address string, r *rpc.BrokerReply, timedOut bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Leads {
		s.brokerEntries = int(r.Entries)
	}
	s.updateShare()
	s.updateRoster(r)
	s.updateQuotaLevels(r)
	leader := port.Leader{Address: r.Leader, Term: r.LeaderTerm}
	s.newestTerm = max(s.newestTerm, leader.Term)
	if !r.Leads {
		s.leader = leader
		moved := r.Leader != "" && r.Leader != address && !s.backedOff(leader)
		leaderless := timedOut && r.Leader == ""
		if leaderless {
			s.leaderlessSessions++
		}
		if s.attached || moved || leaderless {
			return errNotLeader
		}
		return nil
	}
	if !s.attached {
		s.attach(address)
	}
	if s.rosterCurrent && len(r.Roster) == 0 {
		// All pending parts of the roster have arrived.
		s.rosterConfirmedAt = s.now()
	}
	for _, g := range r.Grants {
		s.handleGrant(brokerwire.DecodeGrant(s.self, g))
	}
	for _, x := range r.Refusals {
		s.settleRefusal(brokerwire.DecodeRefusal(s.self, x), byBroker)
	}
	return nil
}

// updateQuotaLevels replaces the quota levels or applies changes to them. A level of 1 is a
// full quota, which is not stored. The caller holds the lock.
func (s *Service) updateQuotaLevels(r *rpc.BrokerReply) {
	if r.QuotasSet {
		clear(s.quotaLevels)
		s.forgetReportedUse()
	}
	for name, left := range brokerwire.DecodeQuotaLevels(r.Quotas) {
		if left < 1 {
			s.quotaLevels[name] = left
		} else {
			delete(s.quotaLevels, name)
		}
	}
}

// forgetReportedUse drops the local use that the broker of the session was told: the levels
// that it sends from now on include it. The caller holds the lock.
func (s *Service) forgetReportedUse() {
	for name, tokens := range s.reportedUse {
		if s.localUse[name] -= tokens; s.localUse[name] <= 0 {
			delete(s.localUse, name)
		}
	}
	clear(s.reportedUse)
}

// updateShare sets this entry's share of upstreams, quotas and the retry budget. A new
// broker does not serve all entries yet, a follower serves only some of them, and the
// member list of a new entry is incomplete, so the share follows from the highest count.
// The caller holds the lock.
func (s *Service) updateShare() {
	now := s.now()
	if s.members != nil && (s.membersCountedAt == 0 || now-s.membersCountedAt >= memberCountInterval) {
		s.membersCountedAt = now
		s.liveEntries = 0
		for _, m := range s.members.Live() {
			if m.Callers != "" {
				s.liveEntries++
			}
		}
	}
	s.entries = max(1, s.brokerEntries, s.liveEntries)
	s.local.SetShare(1 / float64(s.entries))
}

// attach offers all waiting and running requests to the broker of the session, which has
// just been found to lead. The caller holds the lock.
func (s *Service) attach(address string) {
	s.attached = true
	s.metrics.attached.Set(1)
	s.leaderlessSessions = 0
	s.backOffUntil = 0
	now := s.now()
	s.pending.Quotas = brokerwire.EncodeQuotaReport(s.quotaLevels, s.localUse)
	s.reportedUse = maps.Clone(s.localUse)
	for _, a := range s.running {
		s.pending.Offers = append(s.pending.Offers, brokerwire.EncodeOffer(now, a.offer))
	}
	for _, a := range s.waiting {
		s.local.Cancel(a.offer.ID)
		s.pending.Offers = append(s.pending.Offers, brokerwire.EncodeOffer(now, a.offer))
	}
	wait.Notify(s.wakeSession)
	s.log.Info("broker found", zap.String("address", address), zap.Int("waiting", len(s.waiting)), zap.Int("running", len(s.running)), zap.Int("entries", s.entries))
}

// handleGrant settles a request, or returns the grant to the broker if the request no
// longer waits. The caller holds the lock.
func (s *Service) handleGrant(g broker.Grant) {
	a := s.waiting[g.ID.Number]
	if a == nil {
		s.pending.Ends = append(s.pending.Ends, brokerwire.EncodeEnd(broker.End{ID: g.ID, Outcome: broker.NotSent}))
		wait.Notify(s.wakeSession)
		return
	}
	s.settleGrant(g, byBroker)
	s.local.Offer(s.now(), a.offer)
}

// updateRoster replaces the roster or applies changes to it. The local broker is updated
// at a lower rate while another broker grants. The caller holds the lock.
func (s *Service) updateRoster(r *rpc.BrokerReply) {
	if r.RosterSet {
		clear(s.roster)
		s.rosterCurrent = true
	}
	for _, e := range r.Roster {
		if e.Gone {
			delete(s.roster, e.Id)
		} else {
			s.roster[e.Id] = e
		}
	}
	s.localStale = s.localStale || r.RosterSet || len(r.Roster) > 0
	if s.localStale && (!s.attached || s.now()-s.localUpdated > localUpdateInterval) {
		s.updateLocalBroker()
	}
}

// localUpdateInterval is the shortest time between two updates of the local broker while
// another broker grants.
const localUpdateInterval = time.Second

// updateLocalBroker applies the roster to the local broker. The caller holds the lock.
func (s *Service) updateLocalBroker() {
	list := make([]port.RosterEntry, 0, len(s.roster))
	learned := make([]broker.Estimates, 0, len(s.roster))
	for _, e := range s.roster {
		entry, l := brokerwire.DecodeUpstream(e)
		list = append(list, entry)
		learned = append(learned, l)
	}
	s.local.SetUpstreams(brokerwire.Upstreams(list, s.set.Routing.DataCentres))
	s.local.SetEstimates(learned)
	s.localStale, s.localUpdated = false, s.now()
}
