// Package brokerclient is the entry's client of the broker.
//
// It keeps a session with the nearest control daemon, which leads or relays to the leader,
// offers the entry's requests there and waits for grants. While no broker grants, a local broker does, within the
// entry's share of each upstream and quota. Package forward uses it through
// Acquire. A request is settled, that is granted or refused, at most once.
package brokerclient

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/core/limits"
	"github.com/verbenastep/verbenastep/internal/brokerwire"
	"github.com/verbenastep/verbenastep/internal/clock"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
	"github.com/verbenastep/verbenastep/internal/wait"
)

// acquisition is a request that waits for a grant or runs.
type acquisition struct {
	offer broker.Offer
	// settled is closed when the request is granted or refused; grant, refusal and
	// decidedBy are set before.
	settled chan struct{}
	grant   broker.Grant
	refusal *fault.Error
	// decidedBy is byBroker, byInterim or byEntry.
	decidedBy string
	// grantedAt is the time of the grant by the service's elapsed.
	grantedAt time.Duration
	// isBound is set if the offer named the software version, as one that resumes a stream does.
	isBound bool
	// localCharge is the number of tokens that the entry granted by itself.
	localCharge int
}

// Values of the label "by": the leading broker or the entry's local broker.
const (
	byBroker  = "broker"
	byInterim = "interim"
	byEntry   = "entry"
)

// Service is the "broker.client" service. It is safe for concurrent use.
type Service struct {
	set     *settings.Settings
	log     *zap.Logger
	self    string
	link    port.Link
	view    port.TableView
	members port.Members
	metrics *metrics
	started time.Time
	// elapsed counts suspensions of the machine; see package clock. Grants are dated and
	// sessions are timed by it.
	elapsed func() time.Duration
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup
	// stopping ends as Stop begins. lastSent is closed once the last session has ended.
	stopping context.Context
	beginEnd context.CancelFunc
	lastSent chan struct{}
	// wakeSession notifies the session of pending messages, wakeLocal the loop of the
	// local broker.
	wakeSession chan struct{}
	wakeLocal   chan struct{}

	mu sync.Mutex
	// lastNumber is the number of the newest request.
	lastNumber uint64
	// attached is true while a broker grants in the session; interim is true if that is an
	// interim one, since interimSince.
	attached     bool
	interim      bool
	interimSince time.Duration
	// interimSessions counts the sessions with interim brokers since the last one with a
	// leader; toldInterim is true once one of them was told the quotas.
	interimSessions int
	toldInterim     bool
	// brokerEntries is the number of entries that the last broker served, and
	// liveEntries the number in the member list, counted at membersCountedAt. entries is
	// the number of entries that share the upstreams; see updateShare.
	brokerEntries    int
	liveEntries      int
	membersCountedAt time.Duration
	entries          int
	// share is the part of limits that a leader does not enforce for all entries.
	share   *limits.Share
	waiting map[uint64]*acquisition
	running map[uint64]*acquisition
	// pending collects what the next message to the broker carries.
	pending rpc.BrokerAsk
	// local is the local broker and tableVersion the version of its route table.
	local        *broker.Broker
	tableVersion uint64
	// localAllowedFrom is when the local broker may first grant.
	localAllowedFrom time.Duration
	// heldRefusals are those of the local broker shortly after the loss of another one; see
	// holdRefusal. brokerLostAt is when that was; zero if there was none yet.
	heldRefusals []broker.Refusal
	brokerLostAt time.Duration
	// quotaLevels holds, by workspace, the fraction of the quota that is left, as the
	// last broker sent it. It omits full quotas. knowsQuotas is true once a broker has sent it.
	quotaLevels map[string]float64
	knowsQuotas bool
	// localUse holds, by workspace, the tokens that the entry granted by itself and that
	// no broker has accounted for yet; reportedUse is the part of it that the broker of
	// reportedTerm was told.
	localUse     map[string]int64
	reportedUse  map[string]int64
	reportedTerm uint64
	// brokerHeardAt is when a broker last sent a message.
	brokerHeardAt time.Duration
	// roster holds the upstreams as the control daemon sent them. localStale is true if
	// the local broker lacks changes of it; localUpdated is when it last had all.
	roster       map[string]*rpc.RosterEntry
	localStale   bool
	localUpdated time.Duration
	// retired holds the upstreams whose newest process leaves or is gone.
	retired map[string]retirement
	// rosterConfirmedAt is when a leader last confirmed that the entry's roster is
	// complete, by elapsed: a daemon sends only what changed since; zero for never. rosterCurrent is true if the daemon of the session sent
	// the full roster, or sends the changes of an earlier one.
	rosterConfirmedAt time.Duration
	rosterCurrent     bool
	// redirectedUntil holds the daemons that named another one to connect to, and until
	// when that counts.
	redirectedUntil map[string]time.Duration
	// failedSessions counts the sessions since the last one in which a broker granted. answered
	// is true once the daemon of the session has sent a message, granted once it has been a
	// broker.
	failedSessions int
	answered       bool
	granted        bool
	// leaderlessSessions counts the sessions since the last grant that were ended
	// because the daemon knew no leader.
	leaderlessSessions int
	// replicaIndex selects the next of the known replicas. leader is the leader that the
	// last session named; failedAddress is where the last session failed.
	replicaIndex  int
	leader        port.Leader
	failedAddress string
	// backOffUntil is when the daemon at failedAddress may be asked again, unless it
	// leads in a later term than failedTerm. newestTerm is the newest known term.
	backOffUntil time.Duration
	failedTerm   uint64
	newestTerm   uint64
	// rollouts is nil if rollouts are off.
	rollouts *rollouts
}

// New returns the service of the entry self; Start starts it.
func New(set *settings.Settings, log *zap.Logger, self port.Holder) *Service {
	local := broker.New(1)
	local.SetName(self.String())
	local.SetQuotaSlack(set.Routing.Quota.SlackTokens)
	if pace, ok := brokerwire.Pace(set.Routing); ok {
		local.SetPace(pace)
	}
	if o := set.Routing.Overload; o != nil {
		local.SetOverload(broker.Overload{MaxCommitments: o.MaxCommitments, ReturnShare: o.ReturnShare})
	}
	s := &Service{
		set: set, log: log.Named("work"), metrics: newMetrics(), self: self.String(), started: time.Now(), elapsed: clock.SinceBoot, wakeSession: make(chan struct{}, 1), wakeLocal: make(chan struct{}, 1),
		waiting: map[uint64]*acquisition{}, running: map[uint64]*acquisition{}, local: local, entries: 1, roster: map[string]*rpc.RosterEntry{},
		quotaLevels: map[string]float64{}, localUse: map[string]int64{}, retired: map[string]retirement{}, redirectedUntil: map[string]time.Duration{}, reportedUse: map[string]int64{},
		lastSent: make(chan struct{}), share: limits.NewShare(maxShareGap),
	}
	s.stopping, s.beginEnd = context.WithCancel(context.Background())
	return s
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameBrokerClient }

// Needs returns the services that Start looks up; the view knows the leader.
func (s *Service) Needs() []string {
	return []string{port.NameLink, port.NameView, port.NameMembers, port.NameMetrics}
}

// Start starts the session loop and the local broker.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	err := error(nil)
	if s.link, err = kernel.Find[port.Link](k, port.NameLink); err != nil {
		return err
	}
	if s.view, err = kernel.Find[port.TableView](k, port.NameView); err != nil {
		return err
	}
	if s.members, err = kernel.Find[port.Members](k, port.NameMembers); err != nil {
		return err
	}
	registry, err := kernel.Find[port.Metrics](k, port.NameMetrics)
	if err != nil {
		return err
	}
	if err := s.metrics.register(registry.Registerer()); err != nil {
		return err
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if s.set.Routing.Rollout != nil {
		view, err := kernel.Find[port.RolloutView](k, port.NameView)
		if err != nil {
			return err
		}
		s.rollouts = newRollouts(view)
		s.done.Go(s.runRollouts)
	}
	s.done.Go(s.runSessions)
	s.done.Go(s.runLocal)
	return nil
}

func (s *Service) now() time.Duration { return time.Since(s.started) }

// Acquire offers a request and waits for a grant. It returns a *fault.Error if the request
// is refused, with a ticket that only says by whom, or the context's error if that ends first.
// The caller must call End of a ticket with a grant once the request has ended; further calls
// have no effect.
func (s *Service) Acquire(ctx context.Context, o port.BrokerOffer) (port.BrokerTicket, error) {
	a := s.offer(o)
	select {
	case <-a.settled:
	case <-ctx.Done():
		if s.cancelOffer(a) {
			return port.BrokerTicket{}, ctx.Err()
		}
		<-a.settled
	}
	if a.refusal != nil {
		return port.BrokerTicket{GrantedBy: a.decidedBy}, a.refusal
	}
	end := sync.Once{}
	return port.BrokerTicket{
		Grant: a.grant, GrantedBy: a.decidedBy, GrantedAt: a.grantedAt, Expired: s.expiry(a), End: func(e broker.End) { end.Do(func() { s.end(a, e) }) },
	}, nil
}

// offer offers a request to the broker of the session, or to the local broker without one.
func (s *Service) offer(o port.BrokerOffer) *acquisition {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastNumber++
	a := &acquisition{offer: o.Offer, settled: make(chan struct{})}
	a.offer.ID = broker.ID{Entry: s.self, Number: s.lastNumber}
	a.offer.LatencyTarget = o.LatencyTargetAt.Sub(s.started)
	a.offer.LatestUseful = a.offer.LatencyTarget + o.LatencyGrace
	a.offer.Deadline = o.DeadlineAt.Sub(s.started)
	if !o.AbandonAt.IsZero() {
		a.offer.AbandonAt = o.AbandonAt.Sub(s.started)
	}
	if version, ok := s.local.StreamVersion(s.now(), o.Resumes); ok && o.Resumes != 0 && !o.ResumesContent && !o.VersionBound {
		// The entry began the stream itself; the broker may be a new one.
		a.offer.SoftwareVersion, a.offer.VersionBound = version, true
	}
	a.isBound = a.offer.VersionBound
	s.waiting[s.lastNumber] = a
	if s.attached {
		s.pending.Offers = append(s.pending.Offers, brokerwire.EncodeOffer(s.now(), a.offer))
		a.offer.Counted = a.offer.Counted || !s.interim
		wait.Notify(s.wakeSession)
		return a
	}
	s.local.Offer(s.now(), a.offer)
	wait.Notify(s.wakeLocal)
	return a
}

// cancelOffer cancels a waiting request. It returns false if the request is granted or refused
// already.
func (s *Service) cancelOffer(a *acquisition) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := a.offer.ID
	if _, waits := s.waiting[id.Number]; !waits {
		return false
	}
	delete(s.waiting, id.Number)
	s.local.Cancel(id)
	s.pending.Cancels = append(s.pending.Cancels, id.Number)
	wait.Notify(s.wakeSession)
	return true
}

// end reports the end of a request to the broker and to the local broker, which both
// release the slot and learn from it.
func (s *Service) end(a *acquisition, e broker.End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.ID = a.offer.ID
	delete(s.running, e.ID.Number)
	if e.Outcome == broker.NotSent {
		s.refundLocalUse(a)
	}
	s.local.End(s.now(), e)
	s.pending.Ends = append(s.pending.Ends, brokerwire.EncodeEnd(e))
	wait.Notify(s.wakeSession)
	wait.Notify(s.wakeLocal)
}

// refundLocalUse takes the tokens of a request out of what the entry granted by itself: it was
// not sent, and is charged again if it is offered again. The caller holds the lock.
func (s *Service) refundLocalUse(a *acquisition) {
	name := a.offer.Workspace
	if s.localUse[name] -= int64(a.localCharge); s.localUse[name] <= 0 {
		delete(s.localUse, name)
	}
}

// Share returns this entry's part of the limits that all entries share.
func (s *Service) Share() limits.Part {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.share.Part(s.elapsed())
}

// ExpectedDuration estimates the time from the grant of a request to the end of its response by
// what the brokers have learned of the upstreams.
func (s *Service) ExpectedDuration(o broker.Offer, upstream string) broker.DurationEstimate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.local.ExpectedDuration(o, upstream)
}

// settleGrant delivers a grant to a request that still waits. The caller holds the lock.
func (s *Service) settleGrant(g broker.Grant, by string) {
	a, ok := s.waiting[g.ID.Number]
	if !ok {
		return
	}
	delete(s.waiting, g.ID.Number)
	s.metrics.grants.WithLabelValues(by).Inc()
	a.grant, a.decidedBy, a.grantedAt = g, by, s.elapsed()
	if g.VersionReason != "" {
		s.metrics.versionGrants.WithLabelValues(a.offer.Pool, g.SoftwareVersion, g.VersionReason).Inc()
	}
	if by != byBroker && a.offer.QuotaCharge > 0 {
		a.localCharge = a.offer.QuotaCharge
		s.localUse[a.offer.Workspace] += int64(a.localCharge)
	}
	if by == byInterim && a.localCharge > 0 {
		// The local broker may be the next one to grant.
		s.local.SpendQuotas(s.now(), map[string]int64{a.offer.Workspace: int64(a.localCharge)})
	}
	a.offer.Running = g.Upstream
	if g.SoftwareVersion != "" {
		a.offer.SoftwareVersion, a.offer.VersionBound = g.SoftwareVersion, true
	}
	a.offer.QuotaCharge = 0
	s.running[g.ID.Number] = a
	close(a.settled)
}

// settleRefusal delivers a refusal to a request that still waits. The caller holds the
// lock.
func (s *Service) settleRefusal(r broker.Refusal, by string) {
	a, ok := s.waiting[r.ID.Number]
	if !ok {
		return
	}
	delete(s.waiting, r.ID.Number)
	s.metrics.refusals.WithLabelValues(by, string(r.Code)).Inc()
	a.decidedBy = by
	a.refusal = fault.New(fault.Kind(r.Code), "send the request again after the stated time", "%s", r.Reason).After(r.RetryAfter)
	close(a.settled)
}

// lastMessageTimeout bounds the time in which a stop tells the broker of the grants that have ended.
const lastMessageTimeout = 100 * time.Millisecond

// Stop ends the session, with what the broker was not told yet, and the local broker's loop.
func (s *Service) Stop(context.Context) error {
	s.beginEnd()
	select {
	case <-s.lastSent:
	case <-time.After(lastMessageTimeout):
	}
	s.cancel()
	s.done.Wait()
	return nil
}

// Health returns nil: without a broker the entry uses its local broker.
func (s *Service) Health() error { return nil }

// Dump returns the state of session and local broker for operators.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return struct {
		Attached bool              `json:"attached"`
		Entries  int               `json:"entries"`
		Share    limits.Part       `json:"share"`
		Waiting  int               `json:"waiting"`
		Running  int               `json:"running"`
		Pools    []broker.PoolDump `json:"pools"`
	}{s.attached, s.entries, s.share.Part(s.elapsed()), len(s.waiting), len(s.running), s.local.Dump()}
}
