package brokerclient

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/core/rendezvous"
	"github.com/verbenastep/verbenastep/internal/brokerwire"
	"github.com/verbenastep/verbenastep/internal/duplex"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
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
	// reconnectDelay is the delay between two sessions, unless the first lasted for
	// minSessionTime and a broker granted until its end, or it named the next daemon.
	reconnectDelay = 50 * time.Millisecond
	minSessionTime = time.Second
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
	// minPlacementDelay and maxPlacementDelay bound the time between two checks whether
	// a nearer daemon is live. It has had time to find the leader by then.
	minPlacementDelay = 1500 * time.Millisecond
	maxPlacementDelay = 4500 * time.Millisecond
	// maxShareGap is how long an entry without a message of a leader keeps its part of shared
	// limits. It covers the election of another leader.
	maxShareGap = 2 * time.Second
	// redirectTTL is how long a daemon that does not relay, since it or the leader is of
	// an earlier version, is not preferred for being near.
	redirectTTL = time.Minute
)

var (
	errBrokerTimeout = errors.New("no message from the broker before the timeout")
	errNotLeader     = errors.New("the daemon does not lead")
	errMoved         = fmt.Errorf("it names another one: %w", errNotLeader)
	errStopping      = errors.New("the entry stops")
	errNearerDaemon  = fmt.Errorf("a nearer daemon is live: %w", errNotLeader)
)

// runSessions keeps a session with the leader, or with another control daemon for its
// roster while no leader is known.
func (s *Service) runSessions() {
	defer close(s.lastSent)
	for s.ctx.Err() == nil && s.stopping.Err() == nil {
		address := s.nextAddress()
		began := time.Now()
		err := s.runSession(s.ctx, address)
		wasAttached := s.detach(address, err)
		if errors.Is(err, errNearerDaemon) {
			s.log.Info("moving to a nearer daemon", zap.String("address", address))
			continue
		}
		if wasAttached && s.ctx.Err() == nil && s.stopping.Err() == nil {
			s.log.Warn("broker lost", zap.String("address", address), zap.Error(err))
		}
		if (wasAttached || errors.Is(err, errMoved)) && time.Since(began) >= minSessionTime && len(s.set.KnownReplicas()) > 1 {
			// Requests wait for the next broker.
			continue
		}
		wait.Sleep(s.stopping, reconnectDelay)
	}
}

// nextAddress returns the address of the daemon to ask next: the one that the last session
// named, the nearest control daemon, the leader that the view names, or the next known
// replica. It avoids a daemon whose session has just failed while there is another one.
func (s *Service) nextAddress() string {
	viewed := s.view.Leader()
	nearest := s.nearestControl()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newestTerm = max(s.newestTerm, viewed.Term)
	candidates := []port.Leader{s.leader, viewed}
	if viewed.Term > s.leader.Term {
		candidates = []port.Leader{viewed, s.leader}
	}
	if len(nearest) > 0 {
		// A daemon without a relay for long is left for the next one.
		candidates = []port.Leader{s.leader}
		for i := range nearest {
			candidates = append(candidates, port.Leader{Address: nearest[(i+s.failedSessions+s.interimSessions)%len(nearest)]})
		}
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

// placementDelay returns the time to the next check whether a nearer daemon is live. It is
// random, so that the entries of a data centre do not all move at once.
func placementDelay() time.Duration {
	return minPlacementDelay + time.Duration(rand.Int64N(int64(maxPlacementDelay-minPlacementDelay)))
}

// hasNearer reports whether a live control daemon, other than one that sent the entry
// elsewhere lately, is nearer than the one at an address.
func (s *Service) hasNearer(address string) bool {
	if s.members == nil {
		return false
	}
	live := s.members.Live()
	s.mu.Lock()
	defer s.mu.Unlock()
	nearest, current := settings.Farthest, settings.Farthest
	for _, m := range live {
		if !m.Replica || m.Leaving || s.now() < s.redirectedUntil[m.Peers] {
			continue
		}
		nearest = min(nearest, s.set.Distance(m.DataCentre, m.Region))
		if m.Peers == address {
			current = s.set.Distance(m.DataCentre, m.Region)
		}
	}
	return nearest < current
}

// nearestControl returns the peer addresses of the live control daemons: those of the
// entry's data centre first, then those of its region, then the others. Entries differ in the
// order of daemons at the same distance.
func (s *Service) nearestControl() []string {
	if s.members == nil {
		return nil
	}
	type candidate struct {
		address  string
		distance int
		order    float64
	}
	list := []candidate{}
	for _, m := range s.members.Live() {
		if !m.Replica || m.Leaving {
			continue
		}
		list = append(list, candidate{address: m.Peers, distance: s.set.Distance(m.DataCentre, m.Region), order: rendezvous.Point(m.Name, s.self)})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.order, b.order))
	})
	out := []string{}
	for _, c := range list {
		out = append(out, c.address)
	}
	return out
}

// backedOff reports whether a session with a daemon failed recently. Other daemons may name
// it as the leader until they elect another. A daemon that leads in a newer term has
// recovered. The caller holds the lock.
func (s *Service) backedOff(l port.Leader) bool {
	return l.Address == s.failedAddress && l.Term <= s.failedTerm && s.now() < s.backOffUntil
}

// detach records the end of a session. It returns true if a broker granted in the session.
func (s *Service) detach(address string, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !errors.Is(err, errNotLeader) {
		s.failedAddress, s.failedTerm = address, s.newestTerm
		s.backOffUntil = s.now() + backOffDelay
	}
	wasAttached := s.loseBroker()
	if !s.granted {
		s.failedSessions++
	}
	s.granted = false
	return wasAttached
}

// loseBroker ends the use of the session's broker and offers waiting requests to the local
// broker. It returns true if a broker granted in the session. The caller holds the lock.
func (s *Service) loseBroker() bool {
	wasAttached := s.attached
	s.attached = false
	s.metrics.attached.Set(0)
	if wasAttached {
		s.metrics.brokerLost.Inc()
		s.brokerLostAt = s.now()
	}
	s.pending.Offers, s.pending.Complete, s.pending.Streams, s.pending.Suspects, s.pending.Limits, s.pending.Rollouts = nil, false, nil, nil, nil, nil
	now := s.now()
	if s.localStale {
		s.updateLocalBroker()
	}
	if wasAttached && !s.interim {
		if s.knowsQuotas {
			s.local.RestoreQuotas(now, s.quotaLevels)
		} else {
			s.local.ResetQuotas(now)
		}
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
	placement := time.NewTimer(placementDelay())
	defer placement.Stop()
	started := time.Now()
	limit := s.leaderlessTimeout()
	silence := silence{elapsed: s.elapsed, limit: connectTimeout, since: s.elapsed()}
	for {
		err := error(nil)
		select {
		case <-s.wakeSession:
			heartbeat.Reset(heartbeatInterval)
			err = s.send(stream)
		case <-heartbeat.C:
			heartbeat.Reset(heartbeatInterval)
			err = s.send(stream)
		case <-placement.C:
			placement.Reset(placementDelay())
			if !s.usesInterim() && s.hasNearer(address) {
				err = errNearerDaemon
			}
		case r := <-in:
			if silence.isOver() {
				return errBrokerTimeout
			}
			silence.restart(brokerTimeout)
			timeout.Reset(brokerTimeout)
			err = s.handle(address, r, time.Since(started) > limit && s.sinceBroker() > limit)
		case err = <-failed:
		case <-s.stopping.Done():
			err = errors.Join(s.send(stream), errStopping)
		case <-ctx.Done():
			err = context.Cause(ctx)
		}
		if err != nil {
			return err
		}
	}
}

// watchLeader ends a session whose daemon has not answered yet as soon as the view names a
// new leader, since the daemon may not answer at all.
func (s *Service) watchLeader(ctx context.Context, address string, known port.Leader, end context.CancelCauseFunc) {
	for {
		changed := s.view.Changed()
		viewed := s.view.Leader()
		s.mu.Lock()
		s.newestTerm = max(s.newestTerm, viewed.Term)
		newLeader := !s.attached && !s.answered && viewed.Address != "" && viewed.Term > known.Term && viewed.Address != address && !s.backedOff(viewed)
		s.mu.Unlock()
		if newLeader {
			end(errBrokerTimeout)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// sinceBroker returns the time since a broker granted last.
func (s *Service) sinceBroker() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now() - s.brokerLostAt
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
	s.answered = false
	now := s.now()
	ask := &rpc.BrokerAsk{Entry: s.self, RosterAgeMs: s.rosterAge(), Relayable: true, Interim: true}
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
	return uint32(max(1, (s.elapsed() - s.rosterConfirmedAt).Milliseconds()))
}

// send sends what is pending; an empty message is a heartbeat.
func (s *Service) send(stream rpc.DRPCBroker_SessionClient) error {
	s.mu.Lock()
	ask := &rpc.BrokerAsk{Offers: s.pending.Offers, Ends: s.pending.Ends, Cancels: s.pending.Cancels, Quotas: s.pending.Quotas, Complete: s.pending.Complete, Streams: s.pending.Streams, Suspects: s.pending.Suspects, Limits: s.pending.Limits, Rollouts: s.pending.Rollouts}
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
	s.answered = true
	if r.Leads {
		s.brokerEntries = int(r.Entries)
	}
	s.updateShare()
	if r.Leads {
		s.share.Contact(s.elapsed(), s.entries)
	}
	s.updateRoster(r)
	s.updateQuotaLevels(r)
	s.local.LearnSuspects(s.now(), brokerwire.DecodeSuspects(s.now(), r.Suspects))
	leader := port.Leader{Address: r.Leader, Term: r.LeaderTerm}
	s.newestTerm = max(s.newestTerm, leader.Term)
	if !r.Leads && !r.Interim {
		s.leader = leader
		if s.attached && leader.Address == "" {
			// The daemon looks for the leader, to lead or to relay to it.
			s.loseBroker()
			return nil
		}
		moved := r.Leader != "" && r.Leader != address && !s.backedOff(leader)
		leaderless := timedOut && r.Leader == ""
		if leaderless {
			s.leaderlessSessions++
		}
		if moved && !s.granted {
			s.redirectedUntil[address] = s.now() + redirectTTL
		}
		if moved {
			return errMoved
		}
		if s.attached || leaderless {
			return errNotLeader
		}
		return nil
	}
	if s.attached && s.interim != r.Interim {
		s.loseBroker()
	}
	if !s.attached {
		s.interim = r.Interim
		s.attach(address, r.LeaderTerm)
	}
	if !r.Interim {
		s.brokerHeardAt = s.now()
		if s.rosterCurrent && len(r.Roster) == 0 {
			// All pending parts of the roster have arrived.
			s.rosterConfirmedAt = s.elapsed()
		}
	}
	for _, g := range r.Grants {
		s.handleGrant(brokerwire.DecodeGrant(s.self, g))
	}
	for _, x := range r.Refusals {
		s.settleRefusal(brokerwire.DecodeRefusal(s.self, x), s.grantedBy())
	}
	if s.interim && s.shouldLeaveInterim(address) {
		s.interimSessions++
		return errNotLeader
	}
	return nil
}

// updateQuotaLevels replaces the quota levels or applies changes to them. A level of 1 is a
// full quota, which is not stored. The caller holds the lock.
func (s *Service) updateQuotaLevels(r *rpc.BrokerReply) {
	if r.QuotasSet {
		s.knowsQuotas = true
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

// quotaReport returns what the broker of a term needs to know of the quotas: the levels that
// the previous one left, refilled since, and the tokens that the entry used by itself. A
// broker that has had a report only needs what was used since. An entry that has received no
// levels reports none: the processes before it may have used up the quotas. The caller holds the
// lock.
func (s *Service) quotaReport(term uint64) []*rpc.QuotaLevel {
	levels := map[string]float64{}
	if term != s.reportedTerm {
		s.reportedTerm = term
		clear(s.reportedUse)
		if s.knowsQuotas {
			levels = s.local.RefillLevels(s.quotaLevels, s.now()-s.brokerHeardAt)
		}
	}
	used := map[string]int64{}
	for name, tokens := range s.localUse {
		if tokens -= s.reportedUse[name]; tokens > 0 {
			used[name] = tokens
		}
	}
	s.reportedUse = maps.Clone(s.localUse)
	return brokerwire.EncodeQuotaReport(levels, used)
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

// updateShare sets this entry's share of upstreams and quotas. A new
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
func (s *Service) attach(address string, term uint64) {
	s.attached, s.granted = true, true
	s.heldRefusals = nil
	s.metrics.attached.Set(1)
	s.leaderlessSessions = 0
	s.backOffUntil = 0
	s.failedSessions = 0
	now := s.now()
	s.pending.Complete = true
	if s.interim {
		s.interimSince = now
		s.pending.Quotas = s.interimQuotaReport()
	} else {
		s.interimSessions, s.toldInterim = 0, false
		s.pending.Quotas = s.quotaReport(term)
	}
	s.pending.Streams = brokerwire.EncodeStreams(now, s.local.Streams(now))
	s.pending.Suspects = brokerwire.EncodeSuspects(now, s.local.SuspectedContents(now))
	s.pending.Limits = brokerwire.EncodeLimits(now, s.local.Limits())
	s.reportRollouts()
	for _, a := range s.running {
		s.pending.Offers = append(s.pending.Offers, brokerwire.EncodeOffer(now, a.offer))
	}
	for _, a := range s.waiting {
		s.local.Cancel(a.offer.ID)
		s.pending.Offers = append(s.pending.Offers, brokerwire.EncodeOffer(now, a.offer))
		a.offer.Counted = a.offer.Counted || !s.interim
	}
	wait.Notify(s.wakeSession)
	s.log.Info("broker found", zap.String("address", address), zap.String("by", s.grantedBy()), zap.Int("waiting", len(s.waiting)), zap.Int("running", len(s.running)), zap.Int("entries", s.entries))
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
	if s.isExpired(a.offer.Pool, g.SoftwareVersion, s.elapsed()) || s.interim && s.isForbidden(a, g.SoftwareVersion) {
		s.metrics.droppedGrants.Inc()
		s.returnGrant(a, g, broker.End{})
		return
	}
	if s.isRetired(g) {
		s.returnGrant(a, g, broker.End{Leaving: true, Born: g.Born})
		return
	}
	s.settleGrant(g, s.grantedBy())
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
		s.updateEntry(e)
	}
	s.learnRosterLimits(r.Roster)
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
	upstreams := withoutHeartbeatTimes(brokerwire.Upstreams(list, s.set.Routing.DataCentres))
	s.local.SetUpstreams(upstreams)
	s.settleLosses(upstreams)
	s.local.SetEstimates(learned)
	s.localStale, s.localUpdated = false, s.now()
}

// settleLosses settles the unclear losses of this entry, and reports those that were crashes to the
// broker, which may not be the one that got the ends of the requests. The caller holds the lock.
func (s *Service) settleLosses(upstreams []broker.Upstream) {
	now := s.now()
	// The broker knows the others: it sent them, or got the ends of their requests.
	s.local.TakeSuspectChanges(now)
	s.local.SettleLosses(now, upstreams)
	if changes := s.local.TakeSuspectChanges(now); s.attached && len(changes) > 0 {
		s.pending.Suspects = append(s.pending.Suspects, brokerwire.EncodeSuspects(now, changes)...)
		wait.Notify(s.wakeSession)
	}
}

// withoutHeartbeatTimes removes the ages of the last heartbeats: an entry gets changes only, so that
// they are as old as the last change and would show a process that has ended as running.
func withoutHeartbeatTimes(list []broker.Upstream) []broker.Upstream {
	for i := range list {
		list[i].HeardAgo = 0
	}
	return list
}
