// Package broker serves the broker of the route table's pools to the entries.
// Every control daemon tells them the roster; the one that leads the log grants
// as well.
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
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
	"github.com/verbenastep/verbenastep/internal/work"
)

const (
	// heartbeat is the longest pause between two messages to an entry, which
	// takes a broker that is silent for a few of them as lost.
	heartbeat = 100 * time.Millisecond
	// rosterEvery is how often the roster is read again where nothing changed:
	// upstreams fall silent without a change.
	rosterEvery = 500 * time.Millisecond
	// newsPause is the least time for which changes of the roster are collected
	// before they are told, newsPauseMost the longest; both are small beside the
	// time within which a leaving upstream must be known.
	newsPause     = 50 * time.Millisecond
	newsPauseMost = 500 * time.Millisecond
	// newsRest is how many times as long as reading the roster takes the pause
	// is, so that a large roster that changes all the time takes a tenth of the
	// processor at most.
	newsRest = 9
	// levelsEvery is how often what is left of quotas is passed on: a small part
	// of the window in which they count.
	levelsEvery = 300 * time.Millisecond
	// sessionSilence ends an entry's session that carries nothing; entries send
	// every 200 ms.
	sessionSilence = 1200 * time.Millisecond
	// restTime is the pause after a round of decisions: what comes in meanwhile
	// shares the next one. It is small beside the way between data centres.
	restTime = 2 * time.Millisecond
	// outboxSize is how many messages may wait for a slow entry.
	outboxSize = 64
)

// leadership is what the replica offers besides.
type leadership interface {
	Leadership() (leads bool, leader port.Leader)
}

// Service is the "broker.server" service.
type Service struct {
	rpc.DRPCBrokerUnimplementedServer
	set    *settings.Settings
	log    *zap.Logger
	view   port.TableView
	roster port.Roster
	leader leadership
	meters *metrics
	began  time.Time
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	wake   chan struct{}

	mu    sync.Mutex
	core  *broker.Broker
	leads bool
	// leading is the daemon that leads.
	leading  port.Leader
	version  uint64
	sessions map[string]*session
	// told is what the entries know of each upstream, toldAt since when; nextWhole
	// is when the whole of it may be told again.
	told      map[string]*rpc.RosterEntry
	toldAt    map[string]time.Time
	nextWhole time.Time
	// levels is when the entries were last told what is left of quotas, toldLevels
	// what they know of it.
	levels     time.Time
	toldLevels map[string]float64
	read       time.Time
	// reading is how long the roster took to read.
	reading time.Duration
}

// New returns the service.
func New(set *settings.Settings, log *zap.Logger) *Service {
	return &Service{
		set: set, log: log.Named("broker"), began: time.Now(), wake: make(chan struct{}, 1),
		core: newCore(set), sessions: map[string]*session{}, told: map[string]*rpc.RosterEntry{},
		toldAt: map[string]time.Time{}, toldLevels: map[string]float64{},
	}
}

func newCore(set *settings.Settings) *broker.Broker {
	core := broker.New(1)
	core.SetSlack(set.Routing.Quota.SlackTokens)
	return core
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameBroker }

// Needs returns what decisions rest on.
func (s *Service) Needs() []string {
	return []string{port.NameLink, port.NameView, port.NameRoster, port.NameReplica, port.NameMetrics}
}

// Start begins to serve.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	link, err := kernel.Find[port.Link](k, port.NameLink)
	if err != nil {
		return err
	}
	if s.view, err = kernel.Find[port.TableView](k, port.NameView); err != nil {
		return err
	}
	if s.roster, err = kernel.Find[port.Roster](k, port.NameRoster); err != nil {
		return err
	}
	if s.leader, err = kernel.Find[leadership](k, port.NameReplica); err != nil {
		return err
	}
	collect, err := kernel.Find[port.Metrics](k, port.NameMetrics)
	if err != nil {
		return err
	}
	if s.meters, err = newMetrics(collect.Registerer()); err != nil {
		return err
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.done.Go(s.run)
	return rpc.DRPCRegisterBroker(link.Mux(), s)
}

func (s *Service) now() time.Duration { return time.Since(s.began) }

// run decides whenever something came in.
func (s *Service) run() {
	timer := time.NewTimer(heartbeat)
	defer timer.Stop()
	for s.ctx.Err() == nil {
		roster, tables := s.roster.Changed(), s.view.Changed()
		s.refresh(false)
		timer.Reset(s.decide())
		select {
		case <-s.wake:
			time.Sleep(restTime)
		case <-roster:
			time.Sleep(s.newsPause())
			s.refresh(true)
		case <-tables:
		case <-timer.C:
		case <-s.ctx.Done():
		}
	}
}

// refresh takes over leadership, table and roster.
func (s *Service) refresh(changed bool) {
	leads, leading := s.leader.Leadership()
	table := s.view.Routes()
	s.mu.Lock()
	defer s.mu.Unlock()
	if leading != s.leading {
		// Entries that are connected here look for the new leader at once.
		s.leading = leading
		for _, x := range s.sessions {
			x.send(s.reply())
		}
	}
	learned := map[string]broker.Learned(nil)
	turned := leads != s.leads
	if turned {
		learned = s.core.Learned()
		s.lead(leads)
	}
	newer := table != nil && table.Table.Version != s.version
	if newer {
		s.version = table.Table.Version
		s.core.Configure(table)
	}
	if !changed && !newer && time.Since(s.read) < rosterEvery {
		return
	}
	s.read = time.Now()
	list := s.roster.All()
	if s.leads || turned {
		s.core.Upstreams(work.Upstreams(list, s.set.Routing.DataCentres))
	}
	s.core.Teach(slices.Collect(maps.Values(learned)))
	s.tellNews(list)
	s.reading = time.Since(s.read)
}

// newsPause is how long changes of the roster are collected.
func (s *Service) newsPause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(newsPauseMost, max(newsPause, newsRest*s.reading))
}

// lead begins or ends granting with a new core, which refresh goes on to fill; the
// lock is held.
func (s *Service) lead(leads bool) {
	s.leads = leads
	s.meters.leads.Set(map[bool]float64{true: 1}[leads])
	if leads {
		s.meters.moves.Inc()
	}
	s.log.Info("broker changed", zap.Bool("leads", leads), zap.Int("entries", len(s.sessions)))
	s.core = newCore(s.set)
	s.version = 0
	s.read = time.Time{}
	// Connected entries hear of it at once and offer all that waits or runs.
	s.levels, s.toldLevels = time.Now(), map[string]float64{}
	for _, x := range s.sessions {
		s.tellRoster(x)
		x.levels = false
		x.send(s.reply())
	}
}

// decide sends out what the core decides and returns how long it may rest.
func (s *Service) decide() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leads {
		return heartbeat
	}
	decided := s.core.Decide(s.now())
	s.meters.decided(decided)
	replies := map[string]*rpc.BrokerReply{}
	of := func(entry string) *rpc.BrokerReply {
		if replies[entry] == nil {
			replies[entry] = s.reply()
		}
		return replies[entry]
	}
	for _, g := range decided.Grants {
		r := of(g.ID.Entry)
		r.Grants = append(r.Grants, work.EncodeGrant(g))
	}
	for _, x := range decided.Refusals {
		r := of(x.ID.Entry)
		r.Refusals = append(r.Refusals, work.EncodeRefusal(x))
	}
	for entry, r := range replies {
		if x := s.sessions[entry]; x != nil {
			x.send(r)
		}
	}
	s.tellLevels()
	if pause, waits := s.core.Next(); waits {
		return pause
	}
	return heartbeat
}

func (s *Service) reply() *rpc.BrokerReply {
	return &rpc.BrokerReply{Leads: s.leads, Entries: uint32(len(s.sessions)), Leader: s.leading.Address, LeaderTerm: s.leading.Term}
}

// Stop ends all sessions.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.done.Wait()
	return nil
}

// Health returns nil.
func (s *Service) Health() error { return nil }

// Dump shows the pools.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return struct {
		Leads    bool          `json:"leads"`
		Sessions int           `json:"sessions"`
		Pools    []broker.Dump `json:"pools"`
	}{s.leads, len(s.sessions), s.core.Dump()}
}
