package broker

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/core/rollout"
	"github.com/verbenastep/verbenastep/core/routes"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/brokerwire"
	"github.com/verbenastep/verbenastep/internal/clock"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
	"github.com/verbenastep/verbenastep/internal/versiongate"
	"github.com/verbenastep/verbenastep/internal/wait"
)

const (
	// rolloutInterval is the shortest time between two updates of the rollouts, and
	// maxRolloutInterval the longest one while a rollout runs.
	rolloutInterval    = 20 * time.Millisecond
	maxRolloutInterval = 50 * time.Millisecond
	// versionsInterval is the shortest time between two readings of the software versions
	// in the roster.
	versionsInterval = 500 * time.Millisecond
	// proposeTimeout bounds the commit of a command. Its outcome is not known then; the
	// controller returns it again.
	proposeTimeout = time.Second
	// maxConfirmDelay bounds the time for which a new leader grants nothing because it does
	// not know yet whether its log has an order that it has not applied. That takes a round
	// trip to another replica; a leader that can't commit is replaced.
	maxConfirmDelay = time.Second
	// reasonPoolRemoved ends the rollout of a pool that the route table lost.
	reasonPoolRemoved = "the pool was removed from the configuration"
)

// rolloutReplica is the part of the replica service that rollouts use.
type rolloutReplica interface {
	Rollouts() (records []rollout.Record, tableVersion uint64)
	ReadRollouts(ctx context.Context) ([]rollout.Record, state.Publish, error)
	AdvanceRollout(ctx context.Context, a rollout.Advance) (rollout.Record, error)
}

// rollouts runs the controllers of the running rollouts while the daemon leads, and sets the
// gates of the core. The service's lock guards it.
type rollouts struct {
	params  rollout.Params
	replica rolloutReplica
	members port.Members
	// view may be ahead of the replica of a daemon that does not lead; nil in tests.
	view  port.RolloutView
	gates *versiongate.Tracker
	// elapsed counts suspensions of the machine, so that a daemon that was paused does not
	// act on an expired permission.
	elapsed func() time.Duration
	metrics *rolloutMetrics
	// term is that for which the controllers were made; zero while the daemon does not
	// lead. confirmed is true once the log's state at its begin, which was at beganAt, is
	// known.
	term      uint64
	confirmed bool
	beganAt   time.Duration
	running   map[string]*runningRollout
	updatedAt time.Duration
	// versions holds the software versions of each pool that are not gone, as of
	// versionsReadAt.
	versions       map[string][]string
	versionsReadAt time.Duration
}

// runningRollout is a rollout that this daemon controls.
type runningRollout struct {
	controller *rollout.Controller
	record     rollout.Record
	// proposing is true while a command is being committed.
	proposing bool
}

// timedController passes the time that counts suspensions to a controller, instead of that of
// the core.
type timedController struct {
	*rollout.Controller
	elapsed func() time.Duration
}

var _ broker.RolloutController = timedController{}

func (c timedController) CountRequest(time.Duration) { c.Controller.CountRequest(c.elapsed()) }

func (c timedController) MayTry(time.Duration) bool { return c.Controller.MayTry(c.elapsed()) }

func (c timedController) CountTry(time.Duration) { c.Controller.CountTry(c.elapsed()) }

func (c timedController) Learn(_ time.Duration, a rollout.Answer) {
	c.Controller.Learn(c.elapsed(), a)
}

// startRollouts prepares the rollouts if the settings have them.
func (s *Service) startRollouts(k *kernel.Kernel) error {
	if s.set.Routing.Rollout == nil {
		return nil
	}
	replica, err := kernel.Find[rolloutReplica](k, port.NameReplica)
	if err != nil {
		return err
	}
	members, err := kernel.Find[port.Members](k, port.NameMembers)
	if err != nil {
		return err
	}
	registry, err := kernel.Find[port.Metrics](k, port.NameMetrics)
	if err != nil {
		return err
	}
	view, err := kernel.Find[port.RolloutView](k, port.NameView)
	if err != nil {
		return err
	}
	x := newRollouts(*s.set.Routing.Rollout, replica, members)
	x.view = view
	if x.metrics, err = newRolloutMetrics(registry.Registerer()); err != nil {
		return err
	}
	s.rollouts = x
	return nil
}

func newRollouts(r settings.Rollout, replica rolloutReplica, members port.Members) *rollouts {
	return &rollouts{
		params:  rollout.Params{Share: r.Share, Slack: int(r.Slack), RollbackTimeout: settings.Milliseconds(r.RollbackMS)},
		replica: replica, members: members, gates: versiongate.New(), elapsed: clock.SinceBoot, running: map[string]*runningRollout{},
	}
}

// resetRollouts forgets the controllers, when the core is replaced. The caller holds the lock.
func (s *Service) resetRollouts() {
	if x := s.rollouts; x != nil {
		x.term, x.updatedAt = 0, 0
		clear(x.running)
		x.metrics.reset()
	}
}

// updateRollouts takes over the applied records, sets the gates and, at the leader, runs the
// controllers. The caller holds the lock.
func (s *Service) updateRollouts() {
	x := s.rollouts
	if x == nil {
		return
	}
	now := x.elapsed()
	newTerm := s.leads && x.term != s.leader.Term
	if !newTerm && x.updatedAt != 0 && now-x.updatedAt < rolloutInterval {
		return
	}
	x.updatedAt = now
	if newTerm {
		s.beginTerm(now)
	}
	records, tableVersion := x.replica.Rollouts()
	if !s.leads && x.view != nil {
		records = newest(records, x.view.Rollouts())
	}
	for _, r := range x.gates.Update(records, s.listedVersions) {
		if s.leads {
			s.log.Info("rollout changed", recordFields(r)...)
		}
	}
	x.gates.Apply(s.core)
	if !s.leads {
		return
	}
	for _, r := range records {
		s.updateRollout(now, r, s.isPoolRemoved(r.Pool, tableVersion))
	}
}

// newest returns the newer record of each pool out of two lists.
func newest(list, other []rollout.Record) []rollout.Record {
	out := slices.Clone(list)
	for _, r := range other {
		i := slices.IndexFunc(out, func(x rollout.Record) bool { return x.Pool == r.Pool })
		switch {
		case i < 0:
			out = append(out, r)
		case r.IsNewer(out[i]):
			out[i] = r
		}
	}
	return out
}

// beginTerm prepares the controllers for a term of this daemon, and reads the log up to its
// begin. The caller holds the lock.
func (s *Service) beginTerm(now time.Duration) {
	x, term := s.rollouts, s.leader.Term
	clear(x.running)
	x.term, x.confirmed, x.beganAt = term, false, now
	for _, session := range s.sessions {
		// What the entries knew is reported with their requests.
		session.rollouts = nil
	}
	s.done.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, maxConfirmDelay)
		defer cancel()
		_, _, err := x.replica.ReadRollouts(ctx)
		s.mu.Lock()
		defer s.mu.Unlock()
		if err != nil {
			s.log.Warn("rollouts not confirmed; an order of the last leader may be applied late", zap.Uint64("term", term), zap.Error(err))
			return
		}
		if x.term == term {
			x.confirmed, x.updatedAt = true, 0
		}
		wait.Notify(s.wake)
	})
}

// awaitsRollouts reports whether the daemon does not know yet which orders the last leader took.
// The caller holds the lock.
func (s *Service) awaitsRollouts() bool {
	x := s.rollouts
	return x != nil && !x.confirmed && x.elapsed()-x.beganAt < maxConfirmDelay
}

// rolloutDelay returns the longest delay before the next round of decisions, at most the given
// one. The caller holds the lock.
func (s *Service) rolloutDelay(delay time.Duration) time.Duration {
	if s.rollouts == nil || len(s.rollouts.running) == 0 {
		return delay
	}
	return min(delay, maxRolloutInterval)
}

// updateRollout runs the controller of one rollout. The caller holds the lock.
func (s *Service) updateRollout(now time.Duration, r rollout.Record, isRemoved bool) {
	x := s.rollouts
	run := x.running[r.Pool]
	if !r.Running() {
		if run != nil {
			delete(x.running, r.Pool)
			s.core.SetRollout(r.Pool, nil)
		}
		x.metrics.record(r)
		return
	}
	if run == nil || run.record.Number != r.Number {
		run = &runningRollout{controller: rollout.NewController(now, x.params, r), record: r}
		run.controller.SetTerm(x.term)
		x.running[r.Pool] = run
		s.core.SetRollout(r.Pool, timedController{run.controller, x.elapsed})
		s.log.Info("rollout controlled", append(recordFields(r), zap.Uint64("term", x.term))...)
	}
	if run.record != r {
		run.record = r
		run.controller.Committed(now, r)
		x.metrics.record(r)
	}
	// A command that is dropped here is returned again by a later Tick.
	a, ok := run.controller.Tick(now, s.fleet(r))
	switch {
	case run.proposing:
	case isRemoved:
		s.propose(run, rollout.Advance{Pool: r.Pool, Number: r.Number, Phase: rollout.RolledBack, Term: x.term, Reason: reasonPoolRemoved})
	case ok:
		s.propose(run, a)
	}
}

// propose commits a command without blocking rounds of decisions. The caller holds the lock.
func (s *Service) propose(run *runningRollout, a rollout.Advance) {
	x := s.rollouts
	run.proposing = true
	if table := s.table(); table != nil && a.Reason != "" {
		a.Reason = brokerwire.NameRoutes(a.Reason, table.Table)
	}
	if a.Phase != run.record.Phase {
		s.log.Info("rollout decided", zap.String("pool", a.Pool), zap.Uint64("number", a.Number), zap.String("from", string(run.record.Phase)), zap.String("to", string(a.Phase)), zap.String("reason", a.Reason))
	}
	s.done.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
		defer cancel()
		r, err := x.replica.AdvanceRollout(ctx, a)
		s.mu.Lock()
		defer s.mu.Unlock()
		run.proposing = false
		if err != nil {
			if !errors.Is(err, context.Canceled) {
				s.log.Warn("rollout not committed; it is tried again", zap.String("pool", a.Pool), zap.String("phase", string(a.Phase)), zap.Error(err))
			}
			return
		}
		run.controller.Committed(x.elapsed(), r)
		x.updatedAt = 0
		wait.Notify(s.wake)
	})
}

// fleet returns what the daemon knows of a pool's upstreams and of the entries. The caller holds
// the lock.
func (s *Service) fleet(r rollout.Record) rollout.Fleet {
	f := s.core.RolloutFleet(s.now(), r.Pool)
	if r.Phase != rollout.Settle {
		return f
	}
	// Whether the phase is known, by the daemon's name; all sessions of a name must know it.
	known := map[string]bool{}
	for entry, session := range s.sessions {
		name := entry
		if h, ok := port.ParseHolder(entry); ok {
			name = h.Name
		}
		before, seen := known[name]
		known[name] = (before || !seen) && brokerwire.KnowsPhase(session.rollouts[r.Pool], r)
	}
	for _, m := range s.rollouts.members.Live() {
		if _, seen := known[m.Name]; m.Callers != "" && !seen {
			known[m.Name] = false
		}
	}
	for _, isKnown := range known {
		f.EntriesLive++
		if isKnown {
			f.EntriesKnown++
		}
	}
	return f
}

// learnRollouts records which rollouts an entry knows. The caller holds the lock.
func (s *Service) learnRollouts(entry string, list []*rpc.KnownRollout) {
	x := s.sessions[entry]
	if x == nil || len(list) == 0 {
		return
	}
	if x.rollouts == nil {
		x.rollouts = map[string]*rpc.KnownRollout{}
	}
	for _, k := range list {
		x.rollouts[k.Pool] = k
	}
}

// isPoolRemoved reports whether the route table in force lacks a pool. It says nothing while the
// table is older than the one that the log had with the rollouts. The caller holds the lock.
func (s *Service) isPoolRemoved(pool string, tableVersion uint64) bool {
	table := s.table()
	return table != nil && table.Table.Version >= tableVersion && table.Pool(pool) == nil
}

// table returns the route table in force, or nil.
func (s *Service) table() *routes.Index {
	if s.view == nil {
		return nil
	}
	return s.view.Routes()
}

// listedVersions returns the software versions of a pool's upstreams in the roster. The caller
// holds the lock.
func (s *Service) listedVersions(pool string) []string {
	x := s.rollouts
	if now := x.elapsed(); x.versions == nil || now-x.versionsReadAt >= versionsInterval {
		x.versions, x.versionsReadAt = map[string][]string{}, now
		for _, e := range s.roster.All() {
			if !e.Gone && !slices.Contains(x.versions[e.Pool], e.SoftwareVersion) {
				x.versions[e.Pool] = append(x.versions[e.Pool], e.SoftwareVersion)
			}
		}
	}
	return x.versions[pool]
}

// recordFields returns the fields of log lines about a rollout.
func recordFields(r rollout.Record) []zap.Field {
	return []zap.Field{
		zap.String("pool", r.Pool), zap.String("target", r.Target), zap.Uint64("number", r.Number), zap.String("phase", string(r.Phase)), zap.Duration("duration", r.Duration),
		zap.Duration("elapsed", r.Elapsed), zap.Uint64("requests", r.Requests), zap.Uint64("reserved", r.Reserved), zap.String("reason", r.Reason),
	}
}
