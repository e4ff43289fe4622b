package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func testNode(id ID, members ...Member) *Node {
	opt := Options{
		ID: id, ElectionTimeoutTicks: 12, HeartbeatIntervalTicks: 2, LeaseDurationTicks: 9, ResendDelayTicks: 6, MaxAppendBytes: 1 << 10,
		MaxInflightAppends: 4, MaxUncommittedBytes: 100, ChunkBytes: 10, Random: func(uint64) uint64 { return 0 },
	}
	return New(opt, StoredState{HardState: HardState{Term: 1}, Meta: SnapshotMeta{Index: 1, Term: 1, Members: members}}, 0)
}

func threeVoters() []Member {
	return []Member{{ID: 1, Name: "a"}, {ID: 2, Name: "b"}, {ID: 3, Name: "c"}}
}

// drainMessages processes all effects and returns the messages.
func drainMessages(n *Node) []Message {
	out := []Message{}
	for n.HasEffects() {
		e := n.Effects()
		out = append(append(out, e.MessagesBeforeSync...), e.MessagesAfterSync...)
		n.MarkPersisted()
	}
	return out
}

// electLeader makes node 1 the leader with the vote of node 2.
func electLeader(t *testing.T, n *Node) {
	t.Helper()
	n.Advance(100)
	drainMessages(n)
	n.Step(Message{Kind: PreVoteReply, From: 2, To: 1, Term: n.hard.Term + 1})
	drainMessages(n)
	n.Step(Message{Kind: VoteReply, From: 2, To: 1, Term: n.hard.Term})
	drainMessages(n)
	require.Equal(t, Leader, n.role)
}

func TestPreVoteDoesNotRaiseTerm(t *testing.T) {
	n := testNode(1, threeVoters()...)
	for now := uint64(50); now < 500; now += 50 {
		n.Advance(now)
		drainMessages(n)
	}
	require.Equal(t, uint64(1), n.hard.Term)
}

func TestVoteIsSentOnlyAfterSync(t *testing.T) {
	n := testNode(1, threeVoters()...)
	n.Advance(13)
	n.Step(Message{Kind: Vote, From: 2, To: 1, Term: 5, Index: 1, LogTerm: 1})
	e := n.Effects()
	require.Equal(t, &HardState{Term: 5, VotedFor: 2}, e.Hard)
	require.Empty(t, e.MessagesBeforeSync)
	require.Len(t, e.MessagesAfterSync, 1)
}

func TestVotesOncePerTerm(t *testing.T) {
	n := testNode(1, threeVoters()...)
	n.Advance(13)
	n.Step(Message{Kind: Vote, From: 2, To: 1, Term: 5, Index: 1, LogTerm: 1})
	n.Step(Message{Kind: Vote, From: 3, To: 1, Term: 5, Index: 1, LogTerm: 1})
	replies := drainMessages(n)
	require.Len(t, replies, 2)
	require.False(t, replies[0].Reject)
	require.True(t, replies[1].Reject)
}

func TestRestartedReplicaWithholdsVoteForElectionTimeout(t *testing.T) {
	n := testNode(1, threeVoters()...)
	n.Advance(11)
	n.Step(Message{Kind: Vote, From: 2, To: 1, Term: 5, Index: 1, LogTerm: 1})
	require.Empty(t, drainMessages(n))
	n.Advance(12)
	n.Step(Message{Kind: Vote, From: 2, To: 1, Term: 5, Index: 1, LogTerm: 1})
	require.Len(t, drainMessages(n), 1)
}

// newRestartedNode returns a node that restarts with a persisted leader.
func newRestartedNode(id, leader ID) *Node {
	n := testNode(id, threeVoters()...)
	n.hard.Leader = leader
	return New(n.options, StoredState{HardState: n.hard, Meta: SnapshotMeta{Index: 1, Term: 1, Members: threeVoters()}}, 0)
}

// All replicas restart at the same time. The others must not wait for the lease
// of the last leader when that leader itself requests votes.
func TestLastLeaderIsReelectedQuicklyAfterFullRestart(t *testing.T) {
	nodes := map[ID]*Node{1: newRestartedNode(1, 1), 2: newRestartedNode(2, 1), 3: newRestartedNode(3, 1)}
	const maxTicks = 5 // two retry intervals and the message delay
	for now := uint64(1); now <= maxTicks; now++ {
		for _, n := range nodes {
			n.Advance(now)
		}
		for delivered := true; delivered; {
			delivered = false
			for _, n := range nodes {
				for _, m := range drainMessages(n) {
					delivered = true
					nodes[m.To].Step(m)
				}
			}
		}
	}
	require.Equal(t, Leader, nodes[1].role)
	require.Equal(t, ID(1), nodes[2].leader)
	require.Equal(t, ID(1), nodes[3].hard.Leader)
}

func TestVoteIsWithheldFromAllButFormerLeader(t *testing.T) {
	n := newRestartedNode(1, 2)
	n.Advance(3)
	n.Step(Message{Kind: PreVote, From: 3, To: 1, Term: 2, Index: 1, LogTerm: 1})
	n.Step(Message{Kind: Vote, From: 3, To: 1, Term: 2, Index: 1, LogTerm: 1})
	require.Empty(t, drainMessages(n), "the former leader may still hold a lease")
	n.Step(Message{Kind: Vote, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1})
	replies := drainMessages(n)
	require.Len(t, replies, 1)
	require.False(t, replies[0].Reject)

	n = newRestartedNode(1, 2)
	n.Step(Message{Kind: Heartbeat, From: 2, To: 1, Term: 1})
	drainMessages(n)
	n.Step(Message{Kind: PreVote, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1})
	require.Len(t, drainMessages(n), 1, "the leader stepped down or restarted")
}

// The former leader restarts after another node was elected.
func TestRestartedLeaderDoesNotDisruptSuccessor(t *testing.T) {
	n := newRestartedNode(2, 1)
	n.Step(Message{Kind: Heartbeat, From: 3, To: 2, Term: 2})
	drainMessages(n)
	n.Step(Message{Kind: PreVote, From: 1, To: 2, Term: 2, Index: 1, LogTerm: 1})
	n.Step(Message{Kind: Vote, From: 1, To: 2, Term: 3, Index: 1, LogTerm: 1})
	drainMessages(n)
	require.Equal(t, Follower, n.role)
	require.Equal(t, ID(3), n.leader)
	require.Equal(t, uint64(2), n.hard.Term)
}

// A restarted node must know whose lease it has confirmed, so the leader is
// synced before the heartbeat reply leaves.
func TestLeaderIsPersistedBeforeHeartbeatReply(t *testing.T) {
	n := testNode(1, threeVoters()...)
	n.Step(Message{Kind: Heartbeat, From: 2, To: 1, Term: 1, Sequence: 4})
	e := n.Effects()
	require.Equal(t, &HardState{Term: 1, Leader: 2}, e.Hard)
	require.Empty(t, e.MessagesBeforeSync)
	require.Len(t, e.MessagesAfterSync, 1)
}

func TestDecodesHardStateWithoutLeader(t *testing.T) {
	data := EncodeHardState(HardState{Term: 7, VotedFor: 3, Leader: 2})
	h, err := DecodeHardState(data)
	require.NoError(t, err)
	require.Equal(t, HardState{Term: 7, VotedFor: 3, Leader: 2}, h)
	h, err = DecodeHardState(data[:len(data)-1])
	require.NoError(t, err)
	require.Equal(t, HardState{Term: 7, VotedFor: 3}, h)
}

func TestLeaseExpiresBeforeNextElection(t *testing.T) {
	n := testNode(1, threeVoters()...)
	electLeader(t, n)
	n.Step(Message{Kind: AppendReply, From: 2, To: 1, Term: 2, Index: 2})
	n.Step(Message{Kind: HeartbeatReply, From: 2, To: 1, Term: 2, Sequence: 1})
	drainMessages(n)
	require.True(t, n.HasLease())
	for now := uint64(101); now <= 112; now++ {
		require.Equal(t, Leader, n.role)
		n.Advance(now)
		require.Equal(t, now < 109, n.HasLease())
	}
	require.Equal(t, Follower, n.role, "a leader without a quorum must step down")
}

func TestTransferDisablesLeaseForTerm(t *testing.T) {
	n := testNode(1, threeVoters()...)
	electLeader(t, n)
	n.Step(Message{Kind: AppendReply, From: 2, To: 1, Term: 2, Index: 2})
	n.Step(Message{Kind: HeartbeatReply, From: 2, To: 1, Term: 2, Sequence: 1})
	require.NoError(t, n.Transfer(2))
	require.False(t, n.HasLease())
	_, _, err := n.Propose([][]byte{[]byte("x")})
	notLeader := (*NotLeaderError)(nil)
	require.ErrorAs(t, err, &notLeader)
}

func TestMembershipChangesOneVoterAtATime(t *testing.T) {
	n := testNode(1, threeVoters()...)
	electLeader(t, n)
	change := (*ChangeError)(nil)
	_, err := n.ProposeMembers(threeVoters()[:2])
	require.ErrorAs(t, err, &change, "the first entry of the term is not committed")
	n.Step(Message{Kind: AppendReply, From: 2, To: 1, Term: 2, Index: 2})
	drainMessages(n)
	_, err = n.ProposeMembers(threeVoters()[:1])
	require.ErrorAs(t, err, &change, "the change removes two voters")
	_, err = n.ProposeMembers(threeVoters()[1:])
	require.ErrorAs(t, err, &change, "the change removes the leader")
	_, err = n.ProposeMembers(threeVoters()[:2])
	require.NoError(t, err)
	_, err = n.ProposeMembers(threeVoters())
	require.ErrorAs(t, err, &change, "the previous change is not committed")
}

func TestLearnerIsNotInQuorum(t *testing.T) {
	learner := Member{ID: 2, Name: "b", Learner: true}
	n := testNode(2, Member{ID: 1, Name: "a"}, learner)
	n.Advance(500)
	require.Empty(t, drainMessages(n))
	leader := testNode(1, Member{ID: 1, Name: "a"}, learner)
	leader.Advance(500)
	drainMessages(leader)
	require.Equal(t, Leader, leader.role)
	require.Equal(t, uint64(2), leader.log.commitIndex)
}

func TestUncommittedBytesLimitRejectsAndRecovers(t *testing.T) {
	n := testNode(1, threeVoters()...)
	electLeader(t, n)
	_, _, err := n.Propose([][]byte{make([]byte, 101)})
	require.NoError(t, err)
	busy := (*BusyError)(nil)
	_, _, err = n.Propose([][]byte{[]byte("x")})
	require.ErrorAs(t, err, &busy)
	n.Step(Message{Kind: AppendReply, From: 2, To: 1, Term: 2, Index: 2})
	drainMessages(n)
	n.Step(Message{Kind: AppendReply, From: 2, To: 1, Term: 2, Index: 3})
	drainMessages(n)
	_, _, err = n.Propose([][]byte{[]byte("x")})
	require.NoError(t, err)
}

func TestEarlierTermIsNotCommittedByCountingReplicas(t *testing.T) {
	n := testNode(1, threeVoters()...)
	n.log.entries = []Entry{{Term: 1, Index: 2}}
	n.log.emitted, n.log.persisted = 2, 2
	electLeader(t, n)
	n.Step(Message{Kind: AppendReply, From: 2, To: 1, Term: 2, Index: 2})
	drainMessages(n)
	require.Equal(t, uint64(1), n.log.commitIndex)
	n.Step(Message{Kind: AppendReply, From: 2, To: 1, Term: 2, Index: 3})
	drainMessages(n)
	require.Equal(t, uint64(3), n.log.commitIndex)
}
