package broker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against rounds that keep the processor for all the requests that waited for a broker: the
// log of its daemon loses the leadership meanwhile.
func TestRoundsOverLongQueuesAreDivided(t *testing.T) {
	const waiting = 3000
	s := newOverloadSim(300, true)
	b := s.broker
	for n := range uint64(waiting) {
		b.Offer(0, Offer{
			ID: ID{Entry: "entry", Number: n}, Pool: simPool, Workspace: "w", PromptTokens: 1000, OutputTokens: 100,
			LatencyTarget: 500 * time.Millisecond, LatestUseful: 500 * time.Millisecond, Deadline: 10 * time.Second,
		})
	}
	grants, refusals := 0, 0
	for round := range waiting {
		d := b.Decide(time.Duration(round) * time.Microsecond)
		require.LessOrEqual(t, len(d.Grants)+len(d.Refusals), 2*maxRoundDecisions)
		grants += len(d.Grants)
		refusals += len(d.Refusals)
		if delay, waits := b.NextDelay(); !waits || delay > 0 {
			break
		}
	}
	require.Equal(t, 300*overloadSimSlots, grants, "requests are refused only once no slot is free")
	require.Greater(t, refusals, maxRoundDecisions)
	_, waits := b.NextDelay()
	require.Equal(t, waiting-grants-refusals > 0, waits)
}
