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

// cutAfter is when a daemon is killed, in the middle of an answer of
// longAnswer tokens at 40 tokens a second.
const (
	cutAfter   = 300 * time.Millisecond
	longAnswer = 40
)

// dispatching finds the daemon that holds the model's lease.
func (s *site) dispatching() int {
	found := -1
	require.Eventually(s.t, func() bool {
		view, err := kernel.Find[port.View](s.daemons[0].Kernel(), port.NameView)
		require.NoError(s.t, err)
		holder, _ := port.ParseHolder(view.Lease(port.DispatchLease("logbook-model", "gauteng")).Holder)
		for i, set := range s.settings {
			if set.Name == holder.Name {
				found = i
			}
		}
		return found >= 0
	}, patience, 50*time.Millisecond)
	return found
}

// An answer survives its entry, and its dispatcher's daemon, while it streams:
// the caller sends the key again elsewhere, and the engine never starts twice.
func TestAnswerSurvivesAKilledDaemon(t *testing.T) {
	for _, victim := range []string{"entry", "dispatcher"} {
		t.Run(victim, func(t *testing.T) {
			s := startSite(t, 3, replicasInTests)
			s.ready()
			struck := s.dispatching()
			entry := struck
			if victim == "dispatcher" {
				entry = (struck + 1) % len(s.daemons)
			} else {
				entry = (struck + 2) % len(s.daemons)
				struck = entry
			}
			key := fmt.Sprintf("cut-%s", victim)
			first := make(chan error, 1)
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			go func() { first <- answered(client, s.settings[entry].Addresses.Callers, key, longAnswer) }()
			time.Sleep(cutAfter)
			s.daemons[struck].Kill()
			err := <-first
			for i := 1; err != nil && i <= 20; i++ {
				time.Sleep(100 * time.Millisecond)
				at := (struck + 1 + i%2) % len(s.daemons)
				err = answered(client, s.settings[at].Addresses.Callers, key, longAnswer)
			}
			s.start(struck)
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
