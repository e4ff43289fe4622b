package replica

import (
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/consensus"
	"github.com/verbenastep/verbenastep/core/state"
)

const (
	// keepEvery is the pause between the leader's rounds of upkeep.
	keepEvery = 250 * time.Millisecond
	// goneTicks is how long a voter may be silent before another may take its
	// place: longer than a restart, much shorter than the time within which a
	// second loss must be borne.
	goneTicks = 100
	// lostTicks is how long a learner may be silent before it is removed.
	lostTicks = 600
	// leastVoters is the fewest voters that bear the loss of one.
	leastVoters = 3
	// trimStep is how far past their retention claims may get, so that one
	// entry trims many.
	trimStep = 10 * time.Second
	// answerBytes bounds the recorded answers; beyond it the oldest go.
	answerBytes = 64 << 20
)

// keeper is the leader's upkeep of members and claims.
type keeper struct {
	next      time.Time
	version   uint64
	retention time.Duration
}

// housekeep runs at each tick.
func (e *engine) housekeep() {
	e.maybeSnapshot()
	e.showStatus()
	if e.role != consensus.Leader {
		return
	}
	now := e.g.now()
	if !e.node.HasCommittedInTerm() {
		return
	}
	for _, l := range e.lessor.lapsed(e.machine, now, e.g.limits.expireAfter) {
		e.g.log.Info("lease ran out", zap.String("lease", l.Name), zap.String("holder", l.Holder))
		e.order(state.Command{Expire: &state.Expire{Name: l.Name, Epoch: l.Epoch}})
	}
	if now.Before(e.keeper.next) {
		return
	}
	e.keeper.next = now.Add(keepEvery)
	e.promote()
	e.retire()
	e.trim(now)
}

// order proposes a command of the leader's own.
func (e *engine) order(c state.Command) {
	data, err := json.Marshal(c)
	if err == nil {
		e.take(&proposal{command: c, data: data, done: make(chan outcome, 1)})
	}
}

// promote makes a learner that has caught up a voter. Where it takes the place
// of a lost disk of the same name, the lost one's vote goes first.
func (e *engine) promote() {
	s := e.node.Status()
	for _, p := range s.Peers {
		if !p.Member.Learner || p.MatchIndex < s.CommitIndex || p.TicksSinceReply > electionTicks {
			continue
		}
		list := slices.Clone(s.Members)
		old := slices.IndexFunc(list, func(m consensus.Member) bool {
			return m.Name == p.Member.Name && m.ID != p.Member.ID
		})
		if old < 0 {
			old = silentVoter(s)
		}
		if old >= 0 {
			list = slices.Delete(list, old, old+1)
		} else {
			i := slices.IndexFunc(list, func(m consensus.Member) bool { return m.ID == p.Member.ID })
			list[i].Learner = false
		}
		_, err := e.node.ProposeMembers(list)
		e.g.log.Info("learner has caught up", zap.String("replica", p.Member.Name), zap.Bool("replaces", old >= 0), zap.Error(err))
		return
	}
}

// silentVoter returns the place of a voter that has been silent for long, or -1.
func silentVoter(s consensus.Status) int {
	return slices.IndexFunc(s.Members, func(m consensus.Member) bool {
		return !m.Learner && slices.ContainsFunc(s.Peers, func(p consensus.PeerStatus) bool {
			return p.Member.ID == m.ID && p.TicksSinceReply > goneTicks
		})
	})
}

// retire removes a silent voter where the voters are of an even number, and
// learners that never came back. An even number bears no more losses than one
// fewer, so the removal costs no tolerance and makes the quorum smaller.
func (e *engine) retire() {
	s := e.node.Status()
	voters := 0
	for _, m := range s.Members {
		if !m.Learner {
			voters++
		}
	}
	at := -1
	if voters > leastVoters && voters%2 == 0 {
		at = silentVoter(s)
	}
	for _, p := range s.Peers {
		if at < 0 && p.Member.Learner && p.TicksSinceReply > lostTicks {
			at = slices.IndexFunc(s.Members, func(m consensus.Member) bool { return m.ID == p.Member.ID })
		}
	}
	if at < 0 {
		return
	}
	gone := s.Members[at]
	_, err := e.node.ProposeMembers(slices.Delete(slices.Clone(s.Members), at, at+1))
	e.g.log.Info("silent replica removed", zap.String("replica", gone.Name), zap.String("address", gone.Address), zap.Error(err))
}

// trim drops claims past their retention and answers past their bound.
func (e *engine) trim(now time.Time) {
	version, _, files := e.machine.Config()
	if e.keeper.retention == 0 || e.keeper.version != version {
		e.keeper.version = version
		e.keeper.retention = retention(files)
	}
	keepFrom := now.Add(-e.keeper.retention)
	oldest, any := e.machine.OldestClaim()
	old := any && oldest < keepFrom.Add(-trimStep).UnixMilli()
	if old || e.machine.AnswerBytes() > answerBytes {
		e.order(state.Command{Trim: &state.Trim{BeforeMS: keepFrom.UnixMilli(), AnswerBytes: answerBytes}})
	}
}

func retention(files config.Files) time.Duration {
	c, err := config.Merge(files)
	if err != nil {
		c = &config.Config{}
	}
	return time.Duration(c.EffectiveTimeouts().RetentionMS) * time.Millisecond
}

// change adds or moves a replica, or removes one where the ID is zero. It
// returns true once the members are as asked for.
func (e *engine) change(m consensus.Member) (bool, error) {
	s := e.node.Status()
	if s.Role != consensus.Leader {
		return false, &consensus.NotLeaderError{Leader: s.Leader}
	}
	list := slices.Clone(s.Members)
	at := slices.IndexFunc(list, func(x consensus.Member) bool {
		return x.ID == m.ID || (m.ID == 0 && x.Name == m.Name)
	})
	switch {
	case m.ID == 0 && at < 0:
		return true, nil
	case m.ID == 0:
		list = slices.Delete(list, at, at+1)
	case at < 0:
		m.Learner = true
		list = append(list, m)
	case list[at].Address == m.Address:
		return true, nil
	default:
		list[at].Address = m.Address
	}
	_, err := e.node.ProposeMembers(list)
	return false, err
}

// transfer hands leadership to the voter that lacks least.
func (e *engine) transfer() {
	best := consensus.PeerStatus{}
	for _, p := range e.node.Status().Peers {
		if !p.Member.Learner && p.TicksSinceReply <= electionTicks && p.MatchIndex >= best.MatchIndex {
			best = p
		}
	}
	if best.Member.ID != 0 {
		_ = e.node.Transfer(best.Member.ID)
	}
}
