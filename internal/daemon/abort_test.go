package daemon

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
)

// killDelay is the time from the start of a request to the kill of a daemon, which
// falls into the middle of an answer of answerTokens tokens at 40 tokens a second.
const (
	killDelay    = 300 * time.Millisecond
	answerTokens = 40
)

// dispatcherIndex returns the index of the daemon that holds the model's lease.
func (s *cluster) dispatcherIndex() int {
	found := -1
	require.Eventually(s.t, func() bool {
		view, err := kernel.Find[port.View](s.daemons[0].Kernel(), port.NameView)
		require.NoError(s.t, err)
		holder, _ := port.ParseHolder(view.Lease(port.DispatchLeaseName("logbook-model", "gauteng")).Holder)
		for i, set := range s.settings {
			if set.Name == holder.Name {
				found = i
			}
		}
		return found >= 0
	}, testTimeout, 50*time.Millisecond)
	return found
}

// TestAnswerSurvivesAKilledDaemon kills the entry or the dispatcher's daemon while
// an answer streams. The caller sends the same key to another daemon and must get
// the answer, and the request must have been dispatched to an engine only once.
func TestAnswerSurvivesAKilledDaemon(t *testing.T) {
	for _, victim := range []string{"entry", "dispatcher"} {
		t.Run(victim, func(t *testing.T) {
			s := startCluster(t, 3, replicasInTests)
			s.awaitReady()
			killed := s.dispatcherIndex()
			entry := killed
			if victim == "dispatcher" {
				entry = (killed + 1) % len(s.daemons)
			} else {
				entry = (killed + 2) % len(s.daemons)
				killed = entry
			}
			key := fmt.Sprintf("cut-%s", victim)
			first := make(chan error, 1)
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			go func() { first <- sendCompletion(client, s.settings[entry].Addresses.Callers, key, answerTokens) }()
			time.Sleep(killDelay)
			s.daemons[killed].Kill()
			err := <-first
			for i := 1; err != nil && i <= 20; i++ {
				time.Sleep(100 * time.Millisecond)
				at := (killed + 1 + i%2) % len(s.daemons)
				err = sendCompletion(client, s.settings[at].Addresses.Callers, key, answerTokens)
			}
			s.start(killed)
			require.NoError(t, err)
			s.mu.Lock()
			defer s.mu.Unlock()
			dispatched := 0
			for _, e := range s.events {
				if e.Kind == promise.Dispatch && e.Key == key {
					dispatched++
				}
			}
			require.Equal(t, 1, dispatched)
			require.Empty(t, promise.Check(s.events, promise.Options{InFlightAtEnd: true}))
		})
	}
}
