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
	// maintenanceInterval is the interval of the leader's maintenance of claims.
	maintenanceInterval = 250 * time.Millisecond
	// voterDemotionTicks is the time without replies after which a voter of an
	// even number may be demoted. It is shorter than the election timeout by the
	// time that the change needs: a leader that loses half of its voters can then
	// still go on with the others.
	voterDemotionTicks = electionTimeoutTicks - 4
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
// leases and changes of members and, at maintenanceInterval, the trimming of
// claims.
func (e *engine) runMaintenance() {
	e.startSnapshotIfDue()
	e.publishStatus()
	if e.stops {
		e.node.AnnounceStop()
	}
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
	if e.node.CanChangeMembers() {
		e.maintainMembers()
	}
	if now < e.maintenance.nextRun {
		return
	}
	e.maintenance.nextRun = now + maintenanceInterval
	e.trimClaims(e.group.clocks.timeOfDay())
}

// submitOwn submits a command of this replica; its outcome is ignored.
func (e *engine) submitOwn(c state.Command) {
	data, err := json.Marshal(c)
	if err == nil {
		e.submit(&proposal{command: c, data: data, done: make(chan outcome, 1)})
	}
}

// maintainMembers proposes the next change of members, if one is needed.
func (e *engine) maintainMembers() {
	s := e.node.Status()
	members, changed, reason := nextMembers(s)
	if members == nil {
		return
	}
	_, err := e.node.ProposeMembers(members)
	e.group.log.Info("member change proposed", zap.String("reason", reason), zap.String("replica", changed.Name), zap.String("address", changed.Address),
		zap.Int("voters", countVoters(members)), zap.Int("replying_voters", countReplyingVoters(s, members)), zap.Error(err))
}

// nextMembers returns the member list that should follow the present one, the
// member that it changes and why, or nil if none is needed.
//
// An even number of voters tolerates no more losses than one fewer, but needs a
// larger quorum. So a voter of an even number that stops or does not reply is
// made a learner, which costs no fault tolerance: without that, its absence
// would use up the loss that the others tolerate. It keeps its log and becomes a
// voter again once it has caught up, unless the larger quorum would be more than
// the voters that reply. An odd number of voters is not reduced.
func nextMembers(s consensus.Status) (members []consensus.Member, changed consensus.Member, reason string) {
	members = slices.Clone(s.Members)
	index := func(id consensus.ID) int {
		return slices.IndexFunc(members, func(m consensus.Member) bool { return m.ID == id })
	}
	if voters := countVoters(s.Members); voters > minFaultTolerantVoters && voters%2 == 0 {
		if p, found := dispensableVoter(s); found {
			members[index(p.Member.ID)].Learner = true
			return members, p.Member, "voter does not reply or stops"
		}
	}
	for _, p := range s.Peers {
		if !p.Member.Learner || p.MatchIndex < s.CommitIndex || p.TicksSinceReply > recentReplyTicks || p.Stopping {
			continue
		}
		promoted := slices.Clone(members)
		promoted[index(p.Member.ID)].Learner = false
		if countReplyingVoters(s, promoted) > countVoters(promoted)/2 {
			return promoted, p.Member, "learner has caught up"
		}
	}
	for _, p := range s.Peers {
		if p.Member.Learner && (p.TicksSinceReply > learnerRemovalTicks || isSuperseded(s, p)) {
			at := index(p.Member.ID)
			return slices.Delete(members, at, at+1), p.Member, "learner does not reply"
		}
	}
	return nil, consensus.Member{}, ""
}

// dispensableVoter returns the voter to demote first: one whose disk is lost,
// then the one that has not replied for longest, then one that stops.
func dispensableVoter(s consensus.Status) (consensus.PeerStatus, bool) {
	best, found := consensus.PeerStatus{}, false
	for _, p := range s.Peers {
		if p.Member.Learner || p.TicksSinceReply <= voterDemotionTicks && !p.Stopping {
			continue
		}
		if !found || compareDispensable(s, p, best) > 0 {
			best, found = p, true
		}
	}
	return best, found
}

// compareDispensable compares voters that may be demoted, the one to demote
// first as the greater.
func compareDispensable(s consensus.Status, a, b consensus.PeerStatus) int {
	rank := func(p consensus.PeerStatus) int {
		if isSuperseded(s, p) {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.TicksSinceReply, b.TicksSinceReply))
}

// isSuperseded reports whether a member that does not reply has a successor of
// the same name that does: its disk is lost, and its identity with it.
func isSuperseded(s consensus.Status, p consensus.PeerStatus) bool {
	return p.TicksSinceReply > voterDemotionTicks && slices.ContainsFunc(s.Peers, func(other consensus.PeerStatus) bool {
		return other.Member.Name == p.Member.Name && other.Member.ID != p.Member.ID && other.TicksSinceReply <= recentReplyTicks
	})
}

func countVoters(members []consensus.Member) int {
	voters := 0
	for _, m := range members {
		if !m.Learner {
			voters++
		}
	}
	return voters
}

// countReplyingVoters counts the voters of a list that have replied recently to
// the leader whose status is given, and the leader.
func countReplyingVoters(s consensus.Status, members []consensus.Member) int {
	replying := 0
	for _, m := range members {
		isRecent := slices.ContainsFunc(s.Peers, func(p consensus.PeerStatus) bool {
			return p.Member.ID == m.ID && p.TicksSinceReply <= voterDemotionTicks
		})
		if !m.Learner && (m.ID == s.ID || isRecent) {
			replying++
		}
	}
	return replying
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
