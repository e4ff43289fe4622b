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

// fleet declares more places than an entry keeps sessions to.
func fleet() *config.Config {
	c := &config.Config{Models: []config.Model{{Name: "m"}}}
	for i := range standingPlaces {
		c.Regions = append(c.Regions, config.Region{Name: fmt.Sprintf("far-%d", i)})
	}
	c.Regions = append(c.Regions, config.Region{Name: "here"}, config.Region{Name: "there"})
	return c
}

// regionsSpoken lists the regions with a session.
func (b *bench) regionsSpoken() []string {
	b.Service.mu.Lock()
	defer b.Service.mu.Unlock()
	out := []string{}
	for p := range b.sessions {
		out = append(out, p.Region)
	}
	return out
}

// TestFarSessionsAreOpenedOnDemand: in a large fleet an entry speaks with its
// own region's dispatchers only; a request that is passed on opens a session,
// is granted over it, and the session goes when it is idle.
func TestFarSessionsAreOpenedOnDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBenchOf(t, fleet())
		b.view.move("here", "a", 1)
		b.view.move("there", "b", 1)
		here := b.at("a")
		go here.beat(1)
		require.Equal(t, []string{"here"}, b.regionsSpoken())
		w := b.acquire(t.Context())
		id := here.read().Offers[0].Id
		here.refuse(1, id, sched.Spill)
		there := b.at("b")
		require.NotNil(t, there)
		go there.beat(1)
		passed := there.read().Offers
		require.Len(t, passed, 1)
		there.grant(1, passed[0].Id)
		got := <-w
		require.NoError(t, got.err)
		time.Sleep(2 * farIdle)
		require.Contains(t, b.regionsSpoken(), "there", "the request still runs")
		got.ticket.Release(sched.Release{Outcome: sched.Completed})
		time.Sleep(2 * farIdle)
		require.Equal(t, []string{"here"}, b.regionsSpoken())
	})
}
