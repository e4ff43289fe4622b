// Package broker runs the broker service of a control daemon.
//
// Entries hold a session with one control daemon each, mostly the nearest. Every control
// daemon sends its entries the roster of upstreams. The daemon that leads the log grants
// upstreams to requests: those of its own entries, and those that the other control daemons
// relay in batches. A daemon that neither leads nor relays grants nothing.
package broker

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/internal/brokerwire"
	"github.com/verbenastep/verbenastep/internal/clock"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
	"github.com/verbenastep/verbenastep/internal/wait"
)

const (
	// heartbeatInterval is the longest time between two messages to an entry. An entry
	// that misses several of them considers the broker lost.
	heartbeatInterval = 100 * time.Millisecond
	// rosterInterval is how often the roster is read without a change notification:
	// upstreams that miss heartbeats cause none.
	rosterInterval = 500 * time.Millisecond
	// minBatchDelay and maxBatchDelay bound the time for which roster changes are
	// collected before they are sent; both are short compared with the time within
	// which entries must know of a leaving upstream.
	minBatchDelay = 50 * time.Millisecond
	maxBatchDelay = 500 * time.Millisecond
	// batchDelayFactor is the batch delay in multiples of the time to read the roster,
	// so that a large roster that changes all the time uses at most a tenth of a core.
	batchDelayFactor = 9
	// quotaLevelInterval is how often quota levels are sent; it is short compared with
	// the window over which quotas count.
	quotaLevelInterval = 300 * time.Millisecond
	// sessionTimeout is how long an entry may send nothing before its session ends;
	// entries send every 200 ms.
	sessionTimeout = 1200 * time.Millisecond
	// minDecideDelay is the delay before a round of decisions, so that messages that
	// arrive together share one round. It is short compared with the round trip between
	// data centres. A longer round is followed by a delay of decideDelayFactor times its
	// duration, up to maxDecideDelay, so that the rounds of a long queue use at most a
	// fifth of the processor: the log's leadership depends on it as well.
	minDecideDelay    = 2 * time.Millisecond
	maxDecideDelay    = 25 * time.Millisecond
	decideDelayFactor = 4
	// entriesTimeout is how long a new broker waits for entries before it grants brittle
	// upstreams. Entries look for a broker after 400 ms and connect within round trips.
	entriesTimeout = 600 * time.Millisecond
	// leaveTimeout bounds the wait at a stop for entries that were told of the next leader;
	// they leave within a round trip. leavePollInterval is how often it is checked.
	leaveTimeout      = 100 * time.Millisecond
	leavePollInterval = 5 * time.Millisecond
	// sendQueueLength is how many messages may wait for a slow entry.
	sendQueueLength = 64
)

// leadership is the part of the replica service that the broker uses.
type leadership interface {
	Leadership() (leads bool, leader port.Leader)
}

// Service is the "broker.server" service. It is safe for concurrent use.
type Service struct {
	rpc.DRPCBrokerUnimplementedServer
	set     *settings.Settings
	log     *zap.Logger
	view    port.TableView
	link    port.Link
	roster  port.Roster
	replica leadership
	members port.Members
	metrics *metrics
	started time.Time
	// elapsed counts suspensions of the machine; see package clock.
	elapsed func() time.Duration
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup
	// wake triggers a round of decisions.
	wake chan struct{}

	mu    sync.Mutex
	core  *broker.Broker
	leads bool
	// leader is the daemon that leads, as far as this daemon knows.
	leader port.Leader
	// draining is set once the daemon stops.
	draining bool
	// interim is this daemon's broker for the time without a leader.
	interim interim
	// tableVersion is that of the route table in use.
	tableVersion uint64
	// sessions holds the sessions of entries, direct or relayed, by entry. listeners
	// holds those that get the state of this daemon: the direct ones and one per
	// follower that relays.
	sessions  map[string]*session
	listeners map[*session]struct{}
	// relay is this daemon's connection to the leader while another daemon leads.
	relay relay
	// announced is the last state of each upstream that was sent to the entries, and
	// announcedAt when it was sent. nextFullRoster is when the next full roster may be
	// sent.
	announced      map[string]*rpc.RosterEntry
	announcedAt    map[string]time.Time
	nextFullRoster time.Time
	// levelsSentAt is when quota levels were last sent, and sentLevels what was sent.
	levelsSentAt time.Time
	sentLevels   map[string]float64
	// overload is what was reported of the decisions under overload.
	overload overloadReport
	// roundTime is the duration of the last round of decisions.
	roundTime time.Duration
	// work is what this daemon has done since it began to lead.
	work   work
	slicer *slicer
	// rosterReadAt is when the roster was last read, and rosterReadTime how long the
	// reading took.
	rosterReadAt   time.Time
	rosterReadTime time.Duration
	// rollouts is nil if rollouts are off.
	rollouts *rollouts
}

// New returns the service; Start starts it.
func New(set *settings.Settings, log *zap.Logger) *Service {
	return &Service{
		set: set, log: log.Named("broker"), started: time.Now(), elapsed: clock.SinceBoot, wake: make(chan struct{}, 1),
		core: newCore(set), slicer: newSlicer(), sessions: map[string]*session{}, announced: map[string]*rpc.RosterEntry{},
		announcedAt: map[string]time.Time{}, sentLevels: map[string]float64{}, listeners: map[*session]struct{}{},
		relay: relay{wake: make(chan struct{}, 1), estimates: map[string]broker.Estimates{}, shedding: map[poolRank]shedding{}},
	}
}

func newCore(set *settings.Settings) *broker.Broker {
	core := broker.New(1)
	core.SetQuotaSlack(set.Routing.Quota.SlackTokens)
	if pace, ok := brokerwire.Pace(set.Routing); ok {
		core.SetPace(pace)
	}
	enableOverload(core, set)
	return core
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameBroker }

// Needs returns the services that Start looks up.
func (s *Service) Needs() []string {
	return []string{port.NameLink, port.NameView, port.NameRoster, port.NameReplica, port.NameMembers, port.NameMetrics}
}

// Start registers the service with the link and starts to decide.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	err := error(nil)
	if s.link, err = kernel.Find[port.Link](k, port.NameLink); err != nil {
		return err
	}
	if s.view, err = kernel.Find[port.TableView](k, port.NameView); err != nil {
		return err
	}
	if s.roster, err = kernel.Find[port.Roster](k, port.NameRoster); err != nil {
		return err
	}
	if s.replica, err = kernel.Find[leadership](k, port.NameReplica); err != nil {
		return err
	}
	if s.members, err = kernel.Find[port.Members](k, port.NameMembers); err != nil {
		return err
	}
	registry, err := kernel.Find[port.Metrics](k, port.NameMetrics)
	if err != nil {
		return err
	}
	if s.metrics, err = newMetrics(registry.Registerer()); err != nil {
		return err
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if err := s.startRollouts(k); err != nil {
		return err
	}
	s.done.Go(s.run)
	s.done.Go(s.runRelay)
	return rpc.DRPCRegisterBroker(s.link.Mux(), s)
}

func (s *Service) now() time.Duration { return time.Since(s.started) }

// run runs rounds of decisions after messages, changes of roster or table, and the
// delay that the core asks for.
func (s *Service) run() {
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	for s.ctx.Err() == nil {
		rosterChanged, tableChanged := s.roster.Changed(), s.view.Changed()
		s.slicer.yield()
		s.refresh(false)
		delay := s.decide()
		timer.Reset(max(delay, s.decideDelay()))
		select {
		case <-s.wake:
			time.Sleep(s.decideDelay())
		case <-rosterChanged:
			time.Sleep(s.batchDelay())
			s.refresh(true)
		case <-tableChanged:
		case <-timer.C:
		case <-s.ctx.Done():
		}
	}
}

// refresh updates leadership, route table and, if it changed or is due, the roster.
func (s *Service) refresh(rosterChanged bool) {
	leads, leader := s.replica.Leadership()
	table := s.view.Routes()
	s.mu.Lock()
	defer s.mu.Unlock()
	if leader != s.leader {
		// Let connected entries look for the new leader at once.
		s.leader = leader
		if s.relay.up && leader.Address != "" && leader.Address != s.relay.leader {
			s.relay.end(errRelayNotLeader)
		}
		for x := range s.listeners {
			x.send(s.reply(x))
		}
	}
	learned := map[string]broker.Estimates(nil)
	leadershipChanged := leads != s.leads
	if leadershipChanged {
		learned = s.core.Estimates()
		if leads {
			// A follower knows what the last leader learned.
			maps.Copy(learned, s.relay.estimates)
		} else {
			// The interim broker goes on from what this daemon learned as the leader.
			maps.Copy(s.relay.estimates, learned)
		}
		s.setLeads(leads)
	}
	interimStarted := s.updateInterim(table != nil)
	if interimStarted {
		learned = maps.Clone(s.relay.estimates)
	}
	newTable := table != nil && table.Table.Version != s.tableVersion
	if newTable {
		s.tableVersion = table.Table.Version
		s.core.SetTable(table)
	}
	if interimStarted && s.interim.quotaLevels != nil {
		s.core.RestoreQuotas(s.now(), s.interim.quotaLevels)
	}
	if !rosterChanged && !newTable && time.Since(s.rosterReadAt) < rosterInterval {
		return
	}
	s.rosterReadAt = time.Now()
	list := s.roster.All()
	if s.leads || leadershipChanged || s.interim.active {
		upstreams := brokerwire.Upstreams(list, s.set.Routing.DataCentres)
		s.core.SetUpstreams(upstreams)
		s.core.SettleLosses(s.now(), upstreams)
	}
	s.core.SetEstimates(slices.Collect(maps.Values(learned)))
	s.announceChanges(list)
	s.rosterReadTime = time.Since(s.rosterReadAt)
}

// decideDelay returns the delay before the next round of decisions.
func (s *Service) decideDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(maxDecideDelay, max(minDecideDelay, decideDelayFactor*s.roundTime))
}

// batchDelay returns how long changes of the roster are collected.
func (s *Service) batchDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.batchDelayLocked()
}

// batchDelayLocked is batchDelay for a caller that holds the lock.
func (s *Service) batchDelayLocked() time.Duration {
	return min(maxBatchDelay, max(minBatchDelay, batchDelayFactor*s.rosterReadTime))
}

// setLeads starts or stops granting. It replaces the core by an empty one, which refresh
// then fills. The caller holds the lock.
func (s *Service) setLeads(leads bool) {
	if s.relay.up {
		// The entries must offer their requests anew, so they leave the relay first.
		s.setRelayUp(false)
		s.replyToListeners()
	}
	s.leads = leads
	s.metrics.leads.Set(map[bool]float64{true: 1}[leads])
	if leads {
		s.metrics.leadershipStarts.Inc()
	}
	fields := []zap.Field{zap.Bool("leads", leads), zap.Int("entries", len(s.sessions))}
	if leads {
		s.work = beginWork()
	} else {
		fields = append(fields, s.work.fields()...)
	}
	s.log.Info("broker changed", fields...)
	s.endInterim()
	s.replaceCore()
	if leads {
		s.core.AwaitEntries(s.now() + entriesTimeout)
		s.trustVersions()
	}
	// Send the entries the new state at once, so that they offer all waiting and
	// running requests to a new broker.
	s.levelsSentAt, s.sentLevels = time.Now(), map[string]float64{}
	s.replyToListeners()
	for x := range s.listeners {
		s.sendRoster(x)
	}
}

// replaceCore replaces the core by one that knows only what crashed upstreams, limits and streams;
// refresh fills it. The caller holds the lock.
func (s *Service) replaceCore() {
	last := s.core
	limits, streams := last.Limits(), last.Streams(s.now())
	s.core = newCore(s.set)
	s.core.ResetQuotas(s.now())
	s.overload = overloadReport{}
	s.core.InheritSuspicions(last)
	if suspected, unclear := s.core.SuspectCount(s.now()), s.core.UnclearLossCount(); suspected+unclear > 0 {
		s.log.Info("suspicions passed on", zap.Int("suspected", suspected), zap.Int("unclear_losses", unclear))
	}
	for _, l := range limits {
		s.core.LearnLimit(s.now(), l)
	}
	s.core.LearnStreams(s.now(), streams)
	s.resetRollouts()
	s.tableVersion = 0
	s.rosterReadAt = time.Time{}
}

// decide runs a round of decisions, sends them to the entries and returns the delay
// before the next round.
func (s *Service) decide() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateRollouts()
	if !s.leads && !s.interim.active {
		return heartbeatInterval
	}
	if s.leads && s.awaitsRollouts() {
		return maxRolloutInterval
	}
	s.shareInterim()
	started := time.Now()
	defer func() {
		s.roundTime = time.Since(started)
		s.work.addRound(s.roundTime)
	}()
	decisions := s.core.Decide(s.now())
	s.metrics.record(decisions)
	s.reportOverload()
	s.queueCommitments()
	for _, x := range decisions.Suspicions {
		s.log.Info("content suspected of a crash", brokerwire.SuspicionFields(x)...)
	}
	s.reportPace()
	replies := map[string]*rpc.BrokerReply{}
	granted := map[string][]broker.Grant{}
	replyTo := func(entry string) *rpc.BrokerReply {
		if replies[entry] == nil {
			replies[entry] = &rpc.BrokerReply{}
		}
		return replies[entry]
	}
	for _, g := range decisions.Grants {
		r := replyTo(g.ID.Entry)
		r.Grants = append(r.Grants, brokerwire.EncodeGrant(g))
		granted[g.ID.Entry] = append(granted[g.ID.Entry], g)
	}
	for _, x := range decisions.Refusals {
		r := replyTo(x.ID.Entry)
		r.Refusals = append(r.Refusals, brokerwire.EncodeRefusal(x))
	}
	for entry, r := range replies {
		if x := s.sessions[entry]; x != nil {
			state := s.reply(x)
			state.Grants, state.Refusals = r.Grants, r.Refusals
			x.send(state)
			s.queueStreams(x, granted[entry])
		}
	}
	if s.leads {
		s.sendLevels()
	}
	s.sendSuspects()
	if delay, waits := s.core.NextDelay(); waits {
		return s.rolloutDelay(delay)
	}
	return s.rolloutDelay(heartbeatInterval)
}

// reply returns a message with the state that every message to a session carries; without
// anything else it is a heartbeat. A follower that relays, or will once it reaches the
// leader, does not name the leader to its entries, so that they stay. One that drains begins no
// relay. An entry or a leader of an earlier version knows no relays. The caller holds the lock.
func (s *Service) reply(x *session) *rpc.BrokerReply {
	r := &rpc.BrokerReply{Leads: s.leads, Interim: s.interim.active && x.interim, Entries: uint32(len(s.sessions)), Leader: s.leader.Address, LeaderTerm: s.leader.Term}
	isLeaving := s.draining && !s.relay.up
	if s.leads || !x.relayable || isLeaving || s.relay.unsupportedBy != "" && s.relay.unsupportedBy == s.leader.Address {
		return r
	}
	r.Leader = ""
	if s.relay.up {
		r.Leads, r.Entries, r.Leader, r.LeaderTerm = true, s.relay.entries, s.set.Addresses.Peers, s.relay.term
	}
	return r
}

// Drain notes that the daemon stops: it begins no relay, and names the leader to its entries where it
// has none. It grants or relays until it stops.
func (s *Service) Drain(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	return nil
}

// Stop ends all sessions and the rounds of decisions. A daemon that has handed over its leadership
// names the next leader to its entries before, and waits shortly for them to leave.
func (s *Service) Stop(ctx context.Context) error {
	if s.isDraining() {
		s.refresh(false)
		s.awaitLeaving(ctx)
	}
	s.cancel()
	s.done.Wait()
	return nil
}

// awaitLeaving waits for the entries that were told of another leader, for leaveTimeout at most.
func (s *Service) awaitLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for ctx.Err() == nil && s.sendsAway() {
		wait.Sleep(ctx, leavePollInterval)
	}
}

// sendsAway reports whether entries that were told of another leader are still connected.
func (s *Service) sendsAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining && !s.leads && !s.relay.up && s.leader.Address != "" && len(s.listeners) > 0
}

// Health returns nil: the service works without a leader.
func (s *Service) Health() error { return nil }

// Dump returns the state of the pools for operators.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return struct {
		Leads    bool              `json:"leads"`
		Relays   bool              `json:"relays"`
		Sessions int               `json:"sessions"`
		Pools    []broker.PoolDump `json:"pools"`
	}{s.leads, s.relay.up, len(s.sessions), s.core.Dump()}
}
