package replica

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/consensus"
)

// statusOf returns the status of a leader of voters and one learner that has caught up, given the
// ticks since the replies of the others.
func statusOf(learner uint64, voters ...uint64) consensus.Status {
	s := consensus.Status{ID: 1, Role: consensus.Leader, Members: []consensus.Member{{ID: 1}}}
	for i, ticks := range append(voters, learner) {
		m := consensus.Member{ID: consensus.ID(i + 2), Learner: i == len(voters)}
		s.Members = append(s.Members, m)
		s.Peers = append(s.Peers, consensus.PeerStatus{Member: m, TicksSinceReply: ticks})
	}
	return s
}

// Guards against a learner that is made a voter just when others don't reply: the larger quorum is
// then not reached, and the leader steps down.
func TestLearnerIsNotPromotedBeyondReplyingVoters(t *testing.T) {
	const silent = voterDemotionTicks + 1
	promoted := func(s consensus.Status) bool {
		members, changed, _ := nextMembers(s)
		return members != nil && changed.Learner
	}
	require.True(t, promoted(statusOf(0, 0, 0, 0, 0)))
	require.True(t, promoted(statusOf(0, 0, 0, silent, silent)), "four of six reply")
	require.False(t, promoted(statusOf(0, 0, silent, silent, silent)), "three of six reply")
	require.True(t, promoted(statusOf(0, 0, silent)), "three of four reply")
	require.False(t, promoted(statusOf(0, silent, silent)), "two of four reply")
}
