package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a round of heartbeats for each read that waits for a new leader: hundreds of them come
// at once, and their messages hold up the loops of all replicas.
func TestReadsThatWaitShareOneHeartbeatRound(t *testing.T) {
	const reads = 300
	n := testNode(1, threeVoters()...)
	electLeader(t, n)
	for id := range uint64(reads) {
		n.Step(Message{Kind: ReadIndex, From: 3, To: 1, Term: 2, Sequence: id})
	}
	count := func(messages []Message, kind MessageKind) int {
		out := 0
		for _, m := range messages {
			if m.Kind == kind {
				out++
			}
		}
		return out
	}
	// The first commit of the term starts the reads; no round has been answered yet.
	n.Step(Message{Kind: AppendReply, From: 2, To: 1, Term: 2, Index: 2})
	sent := drainMessages(n)
	require.Equal(t, 2, count(sent, Heartbeat))
	require.Zero(t, count(sent, ReadIndexReply), "reads need a round that was sent after them")

	// The next read needs a round of its own.
	n.Step(Message{Kind: ReadIndex, From: 3, To: 1, Term: 2, Sequence: reads})
	require.Equal(t, 2, count(drainMessages(n), Heartbeat))
	answer := func(sequence uint64) {
		n.Step(Message{Kind: HeartbeatReply, From: 2, To: 1, Term: 2, Sequence: sequence})
	}
	answer(n.leaderState.heartbeatSequence - 1)
	require.Equal(t, reads, count(drainMessages(n), ReadIndexReply))
	n.leaderState.leaseDisabled = true
	answer(n.leaderState.heartbeatSequence)
	require.Equal(t, 1, count(drainMessages(n), ReadIndexReply))
}
