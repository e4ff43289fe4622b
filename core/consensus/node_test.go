package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func testNode(id ID, members ...Member) *Node {
	opt := Options{
		ID: id, ElectionTicks: 12, HeartbeatTicks: 2, LeaseTicks: 9, ResendTicks: 6, AppendBytes: 1 << 10,
		Inflight: 4, UncommittedBytes: 100, ChunkBytes: 10, Random: func(uint64) uint64 { return 0 },
	}
	return New(opt, Saved{Hard: Hard{Term: 1}, Meta: Meta{Index: 1, Term: 1, Members: members}}, 0)
}

func three() []Member { return []Member{{ID: 1, Name: "a"}, {ID: 2, Name: "b"}, {ID: 3, Name: "c"}} }

// drain carries out effects and returns all messages.
func drain(n *Node) []Message {
	out := []Message{}
	for n.Pending() {
		e := n.Effects()
		out = append(append(out, e.Early...), e.Late...)
		n.Persisted()
	}
	return out
}

// elect makes node 1 the leader by the votes of node 2.
func elect(t *testing.T, n *Node) {
	t.Helper()
	n.Advance(100)
	drain(n)
	n.Step(Message{Kind: PreVoteReply, From: 2, To: 1, Term: n.hard.Term + 1})
	drain(n)
	n.Step(Message{Kind: VoteReply, From: 2, To: 1, Term: n.hard.Term})
	drain(n)
	require.Equal(t, Leader, n.role)
}

func TestPreVoteRaisesNoTerm(t *testing.T) {
	n := testNode(1, three()...)
	for now := uint64(50); now < 500; now += 50 {
		n.Advance(now)
		drain(n)
	}
	require.Equal(t, uint64(1), n.hard.Term)
}

func TestVoteLeavesOnlyAfterItIsWritten(t *testing.T) {
	n := testNode(1, three()...)
	n.Advance(13)
	n.Step(Message{Kind: Vote, From: 2, To: 1, Term: 5, Index: 1, LogTerm: 1})
	e := n.Effects()
	require.Equal(t, &Hard{Term: 5, Vote: 2}, e.Hard)
	require.Empty(t, e.Early)
	require.Len(t, e.Late, 1)
}

func TestVotesOnceATerm(t *testing.T) {
	n := testNode(1, three()...)
	n.Advance(13)
	n.Step(Message{Kind: Vote, From: 2, To: 1, Term: 5, Index: 1, LogTerm: 1})
	n.Step(Message{Kind: Vote, From: 3, To: 1, Term: 5, Index: 1, LogTerm: 1})
	replies := drain(n)
	require.Len(t, replies, 2)
	require.False(t, replies[0].Reject)
	require.True(t, replies[1].Reject)
}

func TestRestartedReplicaKeepsItsPromise(t *testing.T) {
	n := testNode(1, three()...)
	n.Advance(11)
	n.Step(Message{Kind: Vote, From: 2, To: 1, Term: 5, Index: 1, LogTerm: 1})
	require.Empty(t, drain(n))
	n.Advance(12)
	n.Step(Message{Kind: Vote, From: 2, To: 1, Term: 5, Index: 1, LogTerm: 1})
	require.Len(t, drain(n), 1)
}

// led returns a node that starts again and last heard of a leader.
func led(id, leader ID) *Node {
	n := testNode(id, three()...)
	n.hard.Leader = leader
	return New(n.opt, Saved{Hard: n.hard, Meta: Meta{Index: 1, Term: 1, Members: three()}}, 0)
}

// TestAllStartAgainAndTheLeaderReturnsAtOnce stops all replicas at the same
// moment: nobody waits for the lease of a leader that asks for votes itself.
func TestAllStartAgainAndTheLeaderReturnsAtOnce(t *testing.T) {
	nodes := map[ID]*Node{1: led(1, 1), 2: led(2, 1), 3: led(3, 1)}
	const most = 5 // ticks: two pauses between its requests, and the way to the others
	for now := uint64(1); now <= most; now++ {
		for _, n := range nodes {
			n.Advance(now)
		}
		for moved := true; moved; {
			moved = false
			for _, n := range nodes {
				for _, m := range drain(n) {
					moved = true
					nodes[m.To].Step(m)
				}
			}
		}
	}
	require.Equal(t, Leader, nodes[1].role)
	require.Equal(t, ID(1), nodes[2].leader)
	require.Equal(t, ID(1), nodes[3].hard.Leader)
}

func TestPromiseHoldsAgainstOthersThanTheLeaderItself(t *testing.T) {
	n := led(1, 2)
	n.Advance(3)
	n.Step(Message{Kind: PreVote, From: 3, To: 1, Term: 2, Index: 1, LogTerm: 1})
	n.Step(Message{Kind: Vote, From: 3, To: 1, Term: 2, Index: 1, LogTerm: 1})
	require.Empty(t, drain(n), "the leader may be alive and hold a lease")
	n.Step(Message{Kind: Vote, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1})
	replies := drain(n)
	require.Len(t, replies, 1)
	require.False(t, replies[0].Reject)

	n = led(1, 2)
	n.Step(Message{Kind: Heartbeat, From: 2, To: 1, Term: 1})
	drain(n)
	n.Step(Message{Kind: PreVote, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1})
	require.Len(t, drain(n), 1, "it stepped down or started again since")
}

// TestReturningLeaderDoesNotDisturbItsSuccessor has it come back after another
// was elected.
func TestReturningLeaderDoesNotDisturbItsSuccessor(t *testing.T) {
	n := led(2, 1)
	n.Step(Message{Kind: Heartbeat, From: 3, To: 2, Term: 2})
	drain(n)
	n.Step(Message{Kind: PreVote, From: 1, To: 2, Term: 2, Index: 1, LogTerm: 1})
	n.Step(Message{Kind: Vote, From: 1, To: 2, Term: 3, Index: 1, LogTerm: 1})
	drain(n)
	require.Equal(t, Follower, n.role)
	require.Equal(t, ID(3), n.leader)
	require.Equal(t, uint64(2), n.hard.Term)
}

// TestLeaderIsOnDiskBeforeItsLeaseIsConfirmed: what a restart must know.
func TestLeaderIsOnDiskBeforeItsLeaseIsConfirmed(t *testing.T) {
	n := testNode(1, three()...)
	n.Step(Message{Kind: Heartbeat, From: 2, To: 1, Term: 1, Sequence: 4})
	e := n.Effects()
	require.Equal(t, &Hard{Term: 1, Leader: 2}, e.Hard)
	require.Empty(t, e.Early)
	require.Len(t, e.Late, 1)
}

func TestHardStateOfTheVersionBeforeIsRead(t *testing.T) {
	data := EncodeHard(Hard{Term: 7, Vote: 3, Leader: 2})
	h, err := DecodeHard(data)
	require.NoError(t, err)
	require.Equal(t, Hard{Term: 7, Vote: 3, Leader: 2}, h)
	h, err = DecodeHard(data[:len(data)-1])
	require.NoError(t, err)
	require.Equal(t, Hard{Term: 7, Vote: 3}, h)
}

func TestLeaseEndsBeforeAnotherLeaderCanBe(t *testing.T) {
	n := testNode(1, three()...)
	elect(t, n)
	n.Step(Message{Kind: AppendReply, From: 2, To: 1, Term: 2, Index: 2})
	n.Step(Message{Kind: HeartbeatReply, From: 2, To: 1, Term: 2, Sequence: 1})
	drain(n)
	require.True(t, n.Leased())
	n.Advance(108)
	require.True(t, n.Leased())
	n.Advance(109)
	require.False(t, n.Leased())
	n.Advance(112)
	require.Equal(t, Follower, n.role, "check-quorum")
}

func TestTransferEndsTheLeaseForTheTerm(t *testing.T) {
	n := testNode(1, three()...)
	elect(t, n)
	n.Step(Message{Kind: AppendReply, From: 2, To: 1, Term: 2, Index: 2})
	n.Step(Message{Kind: HeartbeatReply, From: 2, To: 1, Term: 2, Sequence: 1})
	require.NoError(t, n.Transfer(2))
	require.False(t, n.Leased())
	_, _, err := n.Propose([][]byte{[]byte("x")})
	notLeader := (*NotLeaderError)(nil)
	require.ErrorAs(t, err, &notLeader)
}

func TestMembershipChangesOneVoterAtATime(t *testing.T) {
	n := testNode(1, three()...)
	elect(t, n)
	change := (*ChangeError)(nil)
	_, err := n.ProposeMembers(three()[:2])
	require.ErrorAs(t, err, &change, "the term's first entry is not committed")
	n.Step(Message{Kind: AppendReply, From: 2, To: 1, Term: 2, Index: 2})
	drain(n)
	_, err = n.ProposeMembers(three()[:1])
	require.ErrorAs(t, err, &change, "two voters")
	_, err = n.ProposeMembers(three()[1:])
	require.ErrorAs(t, err, &change, "the leader itself")
	_, err = n.ProposeMembers(three()[:2])
	require.NoError(t, err)
	_, err = n.ProposeMembers(three())
	require.ErrorAs(t, err, &change, "the change before is not committed")
}

func TestLearnerNeitherVotesNorCounts(t *testing.T) {
	learner := Member{ID: 2, Name: "b", Learner: true}
	n := testNode(2, Member{ID: 1, Name: "a"}, learner)
	n.Advance(500)
	require.Empty(t, drain(n))
	lead := testNode(1, Member{ID: 1, Name: "a"}, learner)
	lead.Advance(500)
	drain(lead)
	require.Equal(t, Leader, lead.role)
	require.Equal(t, uint64(2), lead.log.commit)
}

func TestFlowControlRefusesAndResumes(t *testing.T) {
	n := testNode(1, three()...)
	elect(t, n)
	_, _, err := n.Propose([][]byte{make([]byte, 101)})
	require.NoError(t, err)
	busy := (*BusyError)(nil)
	_, _, err = n.Propose([][]byte{[]byte("x")})
	require.ErrorAs(t, err, &busy)
	n.Step(Message{Kind: AppendReply, From: 2, To: 1, Term: 2, Index: 2})
	drain(n)
	n.Step(Message{Kind: AppendReply, From: 2, To: 1, Term: 2, Index: 3})
	drain(n)
	_, _, err = n.Propose([][]byte{[]byte("x")})
	require.NoError(t, err)
}

func TestOldTermIsNotCommittedByCounting(t *testing.T) {
	n := testNode(1, three()...)
	n.log.entries = []Entry{{Term: 1, Index: 2}}
	n.log.handed, n.log.persisted = 2, 2
	elect(t, n)
	n.Step(Message{Kind: AppendReply, From: 2, To: 1, Term: 2, Index: 2})
	drain(n)
	require.Equal(t, uint64(1), n.log.commit)
	n.Step(Message{Kind: AppendReply, From: 2, To: 1, Term: 2, Index: 3})
	drain(n)
	require.Equal(t, uint64(3), n.log.commit)
}
