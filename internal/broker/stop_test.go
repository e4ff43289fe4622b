package broker

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/api/rpc"
)

// TestDrainingLeaderNamesItsSuccessor guards against entries that wait at a daemon that has handed
// over its leadership and stops, and then look for another one that may not relay yet.
func TestDrainingLeaderNamesItsSuccessor(t *testing.T) {
	s, addresses, election := startControls(t, 2)
	election.elect(addresses[0])
	e := connect(t, addresses[0], &rpc.BrokerAsk{Entry: "e", Relayable: true})
	e.eventually(func() bool { return e.last.Leads }, "the daemon leads")
	require.NoError(t, s[0].Drain(context.Background()))
	election.elect(addresses[1])
	stopped := make(chan error)
	go func() { stopped <- s[0].Stop(context.Background()) }()
	e.eventually(func() bool { return !e.last.Leads && e.last.Leader == addresses[1] }, "the daemon names the next leader")
	e.end()
	require.NoError(t, <-stopped)
	e.mu.Lock()
	defer e.mu.Unlock()
	require.Equal(t, 1, e.losses, "the daemon does not begin to relay")
}

// TestDrainingFollowerRelaysUntilItStops guards against entries that are sent away from a follower
// as soon as it drains, which may take as long as requests do.
func TestDrainingFollowerRelaysUntilItStops(t *testing.T) {
	s, addresses, election := startControls(t, 2)
	election.elect(addresses[0])
	e := connect(t, addresses[1], &rpc.BrokerAsk{Entry: "e", Relayable: true})
	e.eventually(func() bool { return e.last.Leads }, "the follower relays")
	require.NoError(t, s[1].Drain(context.Background()))
	e.send(&rpc.BrokerAsk{Complete: true, Offers: []*rpc.WorkOffer{testOffer(1)}})
	e.eventually(func() bool { return e.granted[1] && e.last.Leads }, "the follower relays")
}
