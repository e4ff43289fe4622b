package schedclient

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/sched"
)

// largeConfig declares more pools than an entry keeps permanent sessions to.
func largeConfig() *config.Config {
	c := &config.Config{Models: []config.Model{{Name: "m"}}}
	for i := range maxPermanentSessions {
		c.Regions = append(c.Regions, config.Region{Name: fmt.Sprintf("far-%d", i)})
	}
	c.Regions = append(c.Regions, config.Region{Name: "here"}, config.Region{Name: "there"})
	return c
}

// connectedRegions lists the regions with a session.
func (b *testClient) connectedRegions() []string {
	b.Service.mu.Lock()
	defer b.Service.mu.Unlock()
	out := []string{}
	for p := range b.sessions {
		out = append(out, p.Region)
	}
	return out
}

// TestRemoteSessionsAreOpenedOnDemand: in a large deployment an entry has
// permanent sessions to its own region only. A spilled request opens a session to
// another region and is granted over it; the session is closed once it is idle.
func TestRemoteSessionsAreOpenedOnDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestClientWith(t, largeConfig())
		b.view.move("here", "a", 1)
		b.view.move("there", "b", 1)
		here := b.dispatcherOn("a")
		go here.sendHeartbeats(1)
		require.Equal(t, []string{"here"}, b.connectedRegions())
		w := b.acquire(t.Context())
		id := here.read().Offers[0].Id
		here.refuse(1, id, sched.Spill)
		there := b.dispatcherOn("b")
		require.NotNil(t, there)
		go there.sendHeartbeats(1)
		spilled := there.read().Offers
		require.Len(t, spilled, 1)
		there.grant(1, spilled[0].Id)
		got := <-w
		require.NoError(t, got.err)
		time.Sleep(2 * idleTimeout)
		require.Contains(t, b.connectedRegions(), "there", "the request still runs")
		got.ticket.Release(sched.Release{Outcome: sched.Completed})
		time.Sleep(2 * idleTimeout)
		require.Equal(t, []string{"here"}, b.connectedRegions())
	})
}
