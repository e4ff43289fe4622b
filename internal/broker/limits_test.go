package broker

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/api/rpc"
)

// namesLimit returns a message of an entry that heard of a limit of the upstream "u".
func namesLimit(perSecond float64, ageMs uint32) *rpc.BrokerAsk {
	return &rpc.BrokerAsk{Limits: []*rpc.UpstreamLimit{{Upstream: "u", Limited: perSecond > 0, PerSecond: perSecond, AgeMs: ageMs}}}
}

// TestLimitReachesAllEntriesAndOutlivesTheBroker guards against a limit that binds only the
// entry which heard of it: the leader's entries, those of followers and those that start later
// hear of it, and the next leader obeys it before it grants.
func TestLimitReachesAllEntriesAndOutlivesTheBroker(t *testing.T) {
	services, addresses, election := startControls(t, 3)
	election.elect(addresses[0])
	direct := connect(t, addresses[0], &rpc.BrokerAsk{Entry: "direct", Relayable: true})
	relayed := connect(t, addresses[1], &rpc.BrokerAsk{Entry: "relayed", Relayable: true})
	for _, e := range []*fakeEntry{direct, relayed} {
		e.eventually(func() bool { return e.last.Leads }, "a broker")
		e.send(&rpc.BrokerAsk{Complete: true})
	}
	relayed.send(namesLimit(2, 0))
	told := func(e *fakeEntry, perSecond float64) {
		t.Helper()
		e.eventually(func() bool { return e.limits["u"].GetPerSecond() == perSecond }, "the limit")
	}
	told(direct, 2)
	told(relayed, 2)
	starting := connect(t, addresses[1], &rpc.BrokerAsk{Entry: "starting", Relayable: true})
	starting.eventually(func() bool { return starting.last.Leads }, "a broker")
	starting.send(&rpc.BrokerAsk{Complete: true})
	told(starting, 2)

	direct.send(namesLimit(7, 60_000))
	direct.send(namesLimit(0, 0))
	told(relayed, 0)
	direct.send(namesLimit(1, 0))
	told(relayed, 1)
	election.elect(addresses[1])
	relayed.eventually(func() bool { return relayed.losses == 1 && relayed.last.Leads }, "the next leader")
	services[1].mu.Lock()
	defer services[1].mu.Unlock()
	limit, known := services[1].core.Limit("u")
	require.True(t, known)
	require.True(t, limit.Limited)
	require.InDelta(t, 1, limit.PerSecond, 0)
}
