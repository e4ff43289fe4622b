package replica

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/consensus"
	"github.com/verbenastep/verbenastep/core/state"
)

// A read on a replica that had restarted was confirmed by the reply to a read of its
// previous process: the leader's queue keeps replies to a replica that is down, and both
// reads had the same number.
func TestReadIsNotConfirmedByReplyToEarlierProcess(t *testing.T) {
	sim, leader := newElectedSimulation(t)
	follower := sim.replicas[0]
	if follower == leader {
		follower = sim.replicas[1]
	}
	follower.handle(func(e *engine) { e.read(make(chan struct{})) })
	number := follower.engine.lastReadID
	status := leader.engine.node.Status()
	late := consensus.Message{
		Kind: consensus.ReadIndexReply, From: leader.id, To: follower.id, Term: status.Term, Sequence: number, Index: status.CommitIndex,
	}

	follower.crash()
	sim.run(sim.now + electionDuration)
	require.Equal(t, status.Term, leader.engine.node.Status().Term)
	for i := range sim.replicas {
		sim.blocked[[2]int{i, follower.number}] = true
	}
	done := leader.propose(t, state.Command{Apply: &state.Apply{Files: config.Files{"a.json": json.RawMessage(`{}`)}, Operator: "operator"}})
	sim.run(sim.now + 5*tickInterval)
	require.Equal(t, state.OK, (<-done).result.Status)

	read := make(chan struct{})
	follower.handle(func(e *engine) { e.read(read) })
	follower.handle(func(e *engine) { e.node.Step(late) })
	select {
	case <-read:
		t.Fatal("the restarted replica reads from before the acknowledged change")
	default:
	}
}
