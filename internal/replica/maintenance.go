package replica

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/consensus"
	"github.com/verbenastep/verbenastep/core/state"
)

const (
	// maintenanceInterval is the interval of the leader's maintenance of members
	// and claims.
	maintenanceInterval = 250 * time.Millisecond
	// voterReplacementTicks is the time without replies after which a voter may
	// be replaced: longer than a restart, and much shorter than the time within
	// which a second loss must be tolerated.
	voterReplacementTicks = 100
	// learnerRemovalTicks is the time without replies after which a learner is
	// removed.
	learnerRemovalTicks = 600
	// minFaultTolerantVoters is the smallest number of voters that tolerates the
	// loss of one.
	minFaultTolerantVoters = 3
	// claimTrimDelay is how far beyond its retention a claim may get, so that
	// one log entry trims many claims.
	claimTrimDelay = 10 * time.Second
	// maxAnswerBytes bounds the stored answers; beyond it the oldest are
	// dropped.
	maxAnswerBytes = 64 << 20
)

// maintenance holds the state of the leader's periodic maintenance. The
// retention is cached for the configuration version that it comes from.
type maintenance struct {
	nextRun       time.Duration
	configVersion uint64
	retention     time.Duration
}

// runMaintenance is called at each tick. The leader proposes the expiry of
// leases and, at maintenanceInterval, changes of members and the trimming of
// claims.
func (e *engine) runMaintenance() {
	e.startSnapshotIfDue()
	e.publishStatus()
	if e.role != consensus.Leader {
		return
	}
	if e.handsOver {
		e.transferLeadership()
	}
	now := e.group.clocks.elapsed()
	if !e.node.HasCommittedInTerm() {
		return
	}
	for _, l := range e.lessor.expiredLeases(e.machine, now, e.group.limits.leaseExpiryTimeout) {
		e.group.log.Info("lease expired", zap.String("lease", l.Name), zap.String("holder", l.Holder))
		e.submitOwn(state.Command{Expire: &state.Expire{Name: l.Name, Epoch: l.Epoch}})
	}
	if now < e.maintenance.nextRun {
		return
	}
	e.maintenance.nextRun = now + maintenanceInterval
	e.promoteLearner()
	e.removeUnresponsiveReplica()
	e.trimClaims(e.group.clocks.timeOfDay())
}

// submitOwn submits a command of this replica; its outcome is ignored.
func (e *engine) submitOwn(c state.Command) {
	data, err := json.Marshal(c)
	if err == nil {
		e.submit(&proposal{command: c, data: data, done: make(chan outcome, 1)})
	}
}

// promoteLearner makes a learner that has caught up a voter. If an older member
// of the same name or an unresponsive voter has to be replaced, that one is
// removed first and the learner is promoted by a later call.
func (e *engine) promoteLearner() {
	s := e.node.Status()
	for _, p := range s.Peers {
		if !p.Member.Learner || p.MatchIndex < s.CommitIndex || p.TicksSinceReply > electionTimeoutTicks {
			continue
		}
		members := slices.Clone(s.Members)
		replaced := slices.IndexFunc(members, func(m consensus.Member) bool {
			return m.Name == p.Member.Name && m.ID != p.Member.ID
		})
		if replaced < 0 {
			replaced = unresponsiveVoter(s)
		}
		if replaced >= 0 {
			members = slices.Delete(members, replaced, replaced+1)
		} else {
			i := slices.IndexFunc(members, func(m consensus.Member) bool { return m.ID == p.Member.ID })
			members[i].Learner = false
		}
		_, err := e.node.ProposeMembers(members)
		e.group.log.Info("learner has caught up", zap.String("replica", p.Member.Name), zap.Bool("replaces", replaced >= 0), zap.Error(err))
		return
	}
}

// unresponsiveVoter returns the index in s.Members of a voter that has not
// replied for voterReplacementTicks, or -1.
func unresponsiveVoter(s consensus.Status) int {
	return slices.IndexFunc(s.Members, func(m consensus.Member) bool {
		return !m.Learner && slices.ContainsFunc(s.Peers, func(p consensus.PeerStatus) bool {
			return p.Member.ID == m.ID && p.TicksSinceReply > voterReplacementTicks
		})
	})
}

// removeUnresponsiveReplica removes an unresponsive voter if the number of
// voters is even, or else a learner that has not replied for
// learnerRemovalTicks. An even number of voters tolerates no more losses than
// one fewer, so the removal does not reduce fault tolerance and makes the
// quorum smaller.
func (e *engine) removeUnresponsiveReplica() {
	s := e.node.Status()
	voters := 0
	for _, m := range s.Members {
		if !m.Learner {
			voters++
		}
	}
	index := -1
	if voters > minFaultTolerantVoters && voters%2 == 0 {
		index = unresponsiveVoter(s)
	}
	for _, p := range s.Peers {
		if index < 0 && p.Member.Learner && p.TicksSinceReply > learnerRemovalTicks {
			index = slices.IndexFunc(s.Members, func(m consensus.Member) bool { return m.ID == p.Member.ID })
		}
	}
	if index < 0 {
		return
	}
	removed := s.Members[index]
	_, err := e.node.ProposeMembers(slices.Delete(slices.Clone(s.Members), index, index+1))
	e.group.log.Info("unresponsive replica removed", zap.String("replica", removed.Name), zap.String("address", removed.Address), zap.Error(err))
}

// trimClaims proposes to drop claims beyond their retention, and the oldest
// answers beyond maxAnswerBytes.
func (e *engine) trimClaims(now time.Time) {
	version, _, files := e.machine.Config()
	if e.maintenance.retention == 0 || e.maintenance.configVersion != version {
		e.maintenance.configVersion = version
		e.maintenance.retention = claimRetention(files)
	}
	keepFrom := now.Add(-e.maintenance.retention)
	oldest, any := e.machine.OldestClaim()
	overdue := any && oldest < keepFrom.Add(-claimTrimDelay).UnixMilli()
	if overdue || e.machine.AnswerBytes() > maxAnswerBytes {
		e.submitOwn(state.Command{Trim: &state.Trim{BeforeMS: keepFrom.UnixMilli(), AnswerBytes: maxAnswerBytes}})
	}
}

// claimRetention returns the retention that the configuration declares, or the
// default if the files are invalid.
func claimRetention(files config.Files) time.Duration {
	c, err := config.Merge(files)
	if err != nil {
		c = &config.Config{}
	}
	return time.Duration(c.EffectiveTimeouts().RetentionMS) * time.Millisecond
}

// changeMember adds a replica as a learner, updates its address, or, if the ID
// is zero, removes the replica of that name. It returns true once the members
// are as requested, and consensus.NotLeaderError on a replica that does not
// lead.
func (e *engine) changeMember(m consensus.Member) (bool, error) {
	s := e.node.Status()
	if s.Role != consensus.Leader {
		return false, &consensus.NotLeaderError{Leader: s.Leader}
	}
	members := slices.Clone(s.Members)
	index := slices.IndexFunc(members, func(x consensus.Member) bool {
		return x.ID == m.ID || (m.ID == 0 && x.Name == m.Name)
	})
	switch {
	case m.ID == 0 && index < 0:
		return true, nil
	case m.ID == 0:
		members = slices.Delete(members, index, index+1)
	case index < 0:
		m.Learner = true
		members = append(members, m)
	case members[index].Address == m.Address:
		return true, nil
	default:
		members[index].Address = m.Address
	}
	_, err := e.node.ProposeMembers(members)
	return false, err
}

// handOver begins or ends the transfer of leadership to another replica. A transfer that fails is
// followed by another one, as the successor may have stopped as well.
func (e *engine) handOver(begin bool) {
	e.handsOver = begin
	if begin {
		e.transferLeadership()
	}
}

// recentReplyTicks is the time since its last reply within which a voter is preferred as the next
// leader. Voters reply at each heartbeat.
const recentReplyTicks = 3 * heartbeatIntervalTicks

// transferLeadership starts a transfer to the most suitable voter, unless one is in progress or
// this replica does not lead.
func (e *engine) transferLeadership() {
	best := consensus.PeerStatus{}
	for _, p := range e.node.Status().Peers {
		if p.Member.Learner || p.TicksSinceReply > electionTimeoutTicks {
			continue
		}
		if best.Member.ID == 0 || compareSuccessors(p, best) > 0 {
			best = p
		}
	}
	if best.Member.ID != 0 {
		// The node refuses a second transfer.
		_ = e.node.Transfer(best.Member.ID)
	}
}

// compareSuccessors compares voters as the next leader, the better one last: one that replied
// lately, since the other may have stopped as well, then the one whose log is more complete.
func compareSuccessors(a, b consensus.PeerStatus) int {
	recent := func(p consensus.PeerStatus) int {
		if p.TicksSinceReply <= recentReplyTicks {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(recent(a), recent(b)), cmp.Compare(a.MatchIndex, b.MatchIndex), cmp.Compare(b.TicksSinceReply, a.TicksSinceReply))
}
