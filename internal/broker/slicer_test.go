package broker

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// busyProcessor is a daemon's part of a core in virtual time: work is done at once, and the clock
// makes up for it when the daemon waits. Only then its log runs.
type busyProcessor struct {
	share        float64
	used         time.Duration
	owed         time.Duration
	longestDelay time.Duration
}

func (b *busyProcessor) work(d time.Duration) {
	b.used += d
	b.owed += time.Duration(float64(d) / b.share)
}

func (b *busyProcessor) time() time.Duration { return b.used }

func (b *busyProcessor) wait(d time.Duration) {
	b.longestDelay = max(b.longestDelay, b.owed+d)
	b.owed = 0
}

// Guards against a new leader whose log does not run while it handles the messages of all entries: the
// other daemons elect another one, which gets the same messages.
func TestTakeOverLeavesTheLogItsTime(t *testing.T) {
	const (
		entries = 290
		// messageTime is ten times what a list of ten requests takes on an idle machine.
		messageTime = time.Millisecond
		// share is two thirds of the part of a core that small control daemons have.
		share = 0.16
		// electionTimeout is the time without heartbeats after which the others seek an election.
		electionTimeout = 360 * time.Millisecond
	)
	b := &busyProcessor{share: share}
	p := &slicer{processor: b.time, pause: b.wait}
	for range entries {
		p.yield()
		b.work(messageTime)
	}
	b.wait(0)
	require.Less(t, b.longestDelay, electionTimeout/4)

	b = &busyProcessor{share: share}
	for range entries {
		b.work(messageTime)
	}
	b.wait(0)
	require.Greater(t, b.longestDelay, electionTimeout, "the model needs no pauses")
}

// Guards against a message of a follower that brings the lists of all its entries and is handled in
// one piece.
func TestRelayedListsAreHandledInSlices(t *testing.T) {
	const entries = 50
	s := New(&settings.Settings{Routing: &settings.Routing{}}, zap.NewNop())
	s.leads = true
	b := &busyProcessor{share: 1}
	read := func() time.Duration {
		b.work(time.Millisecond)
		return b.time()
	}
	pauses := 0
	s.slicer = &slicer{processor: read, pause: func(time.Duration) {
		require.True(t, s.mu.TryLock(), "others wait for the lock")
		s.mu.Unlock()
		pauses++
	}}
	var err error
	s.metrics, err = newMetrics(prometheus.NewRegistry())
	require.NoError(t, err)
	ask := &rpc.RelayAsk{}
	for i := range entries {
		ask.Asks = append(ask.Asks, &rpc.BrokerAsk{Entry: fmt.Sprint(i), Complete: true})
	}
	s.handleRelayAsk(newRelayed("follower", func() {}), ask)
	require.Len(t, s.sessions, entries)
	require.GreaterOrEqual(t, pauses, entries/int(workSlice/time.Millisecond+1))
}
