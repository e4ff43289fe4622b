package broker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/internal/brokerwire"
	"github.com/verbenastep/verbenastep/internal/port"
)

// liveEntries is a member list with a number of entries.
type liveEntries int

func (n liveEntries) Live() []port.Member {
	list := make([]port.Member, n)
	for i := range list {
		list[i].Callers = "x"
	}
	return list
}

func (n liveEntries) Find(string) (port.Member, bool) { return port.Member{}, false }

func (e *fakeEntry) grants() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.granted)
}

// offers returns offers with the given numbers.
func offers(ids ...uint64) []*rpc.WorkOffer {
	out := []*rpc.WorkOffer{}
	for _, id := range ids {
		out = append(out, testOffer(id))
	}
	return out
}

// TestEntriesAreServedWithoutLeader guards against entries that each decide on a small share of
// the upstreams while the replicas are split in halves and none leads. The two slots of the only
// upstream must not be granted twice, and the next leader must hear of all requests.
func TestEntriesAreServedWithoutLeader(t *testing.T) {
	_, addresses, election := startControls(t, 2)
	election.elect(addresses[0])
	near := connect(t, addresses[0], &rpc.BrokerAsk{Entry: "near", Relayable: true, Interim: true})
	far := connect(t, addresses[1], &rpc.BrokerAsk{Entry: "far", Relayable: true, Interim: true})
	for _, e := range []*fakeEntry{near, far} {
		e.eventually(func() bool { return e.last.Leads && !e.last.Interim }, "the leader grants")
	}
	election.elect("")
	for _, e := range []*fakeEntry{near, far} {
		e.eventually(func() bool { return e.last.Interim && !e.last.Leads }, "an interim broker grants")
		e.send(&rpc.BrokerAsk{Complete: true, Offers: offers(1, 2)})
		e.eventually(func() bool { return len(e.granted) == 1 }, "each of two entries gets half of the slots")
	}
	time.Sleep(20 * relayTestPoll)
	require.Equal(t, 2, near.grants()+far.grants())
	near.send(&rpc.BrokerAsk{Ends: []*rpc.WorkEnd{testEnd(1)}})
	near.eventually(func() bool { return len(near.granted) == 2 }, "a release frees the slot")

	election.elect(addresses[1])
	for _, e := range []*fakeEntry{near, far} {
		e.eventually(func() bool { return e.last.Leads && !e.last.Interim }, "the new leader grants")
	}
	running := testOffer(2)
	running.Running = "u"
	near.send(&rpc.BrokerAsk{Complete: true, Offers: []*rpc.WorkOffer{running}})
	running = testOffer(1)
	running.Running = "u"
	far.send(&rpc.BrokerAsk{Complete: true, Offers: []*rpc.WorkOffer{running, testOffer(2)}})
	time.Sleep(20 * relayTestPoll)
	require.Equal(t, 1, far.grants(), "both slots are in use")
	far.send(&rpc.BrokerAsk{Ends: []*rpc.WorkEnd{testEnd(1)}})
	far.eventually(func() bool { return far.granted[2] }, "the new leader knows all requests")
}

// TestEntryWithoutInterimBrokerDecidesByItself guards against an entry of an earlier version that
// takes an interim broker for the leader and reports its quotas to it.
func TestEntryWithoutInterimBrokerDecidesByItself(t *testing.T) {
	s, addresses, election := startControls(t, 1)
	election.elect(addresses[0])
	old := connect(t, addresses[0], &rpc.BrokerAsk{Entry: "old", Relayable: true})
	old.eventually(func() bool { return old.last.Leads }, "the leader grants")
	election.elect("")
	old.eventually(func() bool { return !old.last.Leads }, "nobody leads")
	require.Eventually(t, func() bool {
		s[0].mu.Lock()
		defer s[0].mu.Unlock()
		return s[0].interim.active
	}, relayTestTimeout, relayTestPoll)
	old.send(&rpc.BrokerAsk{Complete: true, Offers: offers(1)})
	time.Sleep(40 * relayTestPoll)
	require.Zero(t, old.grants())
	old.mu.Lock()
	defer old.mu.Unlock()
	require.False(t, old.last.Interim || old.last.Leads)
}

// TestInterimBrokerEndsWhereTheLeaderIsOutOfReach guards against a daemon that keeps its entries
// on a share while the others are served by a leader that it does not reach.
func TestInterimBrokerEndsWhereTheLeaderIsOutOfReach(t *testing.T) {
	_, addresses, election := startControls(t, 2, 1)
	election.elect(addresses[0])
	e := connect(t, addresses[0], &rpc.BrokerAsk{Entry: "e", Relayable: true, Interim: true})
	e.eventually(func() bool { return e.last.Leads }, "the leader grants")
	election.elect("")
	e.eventually(func() bool { return e.last.Interim }, "an interim broker grants")
	election.elect(addresses[1])
	e.eventually(func() bool { return !e.last.Interim && !e.last.Leads }, "the leader does not answer")
}

// withoutLeader returns entries that are connected to the daemons in turn, which have just lost
// their leader and grant as interim brokers.
func withoutLeader(t *testing.T, addresses []string, election *fakeElection, names ...string) []*fakeEntry {
	t.Helper()
	election.elect(addresses[0])
	out := []*fakeEntry{}
	for i, name := range names {
		e := connect(t, addresses[i%len(addresses)], &rpc.BrokerAsk{Entry: name, Relayable: true, Interim: true})
		e.eventually(func() bool { return e.last.Leads }, "the leader grants")
		out = append(out, e)
	}
	election.elect("")
	for _, e := range out {
		e.eventually(func() bool { return e.last.Interim }, "an interim broker grants")
	}
	return out
}

// TestEntryTakesItsRequestsToTheNextInterimBroker guards against slots that stay occupied at the
// daemon that an entry leaves, while the next one counts the same requests.
func TestEntryTakesItsRequestsToTheNextInterimBroker(t *testing.T) {
	s, addresses, election := startControls(t, 2)
	names := []string{"e", "f"}
	entries := withoutLeader(t, addresses, election, names...)
	for _, e := range entries {
		e.send(&rpc.BrokerAsk{Complete: true, Offers: offers(1)})
		e.eventually(func() bool { return e.granted[1] }, "half of the slots")
		e.end()
	}
	for i, service := range s {
		require.Eventually(t, func() bool {
			service.mu.Lock()
			defer service.mu.Unlock()
			return len(service.sessions) == 0 && service.core.Dump()[0].Upstreams[0].InFlight == 0
		}, relayTestTimeout, relayTestPoll, "daemon %d keeps nothing of the entry that left", i)
	}
}

// TestInterimBrokerStartsWithTheQuotaOfItsEntries guards against requests that are refused with the
// quota unused, since the first entry's share alone is counted when they arrive together.
func TestInterimBrokerStartsWithTheQuotaOfItsEntries(t *testing.T) {
	s, addresses, election := startControls(t, 1)
	s[0].mu.Lock()
	s[0].members = liveEntries(10)
	s[0].mu.Unlock()
	entries := withoutLeader(t, addresses, election, "a", "b", "c", "d", "e")
	for _, e := range entries {
		o := testOffer(1)
		o.Workspace, o.Charge = "w", 100
		e.send(&rpc.BrokerAsk{Complete: true, Quotas: brokerwire.EncodeQuotaLevels(map[string]float64{"w": 1}), Offers: []*rpc.WorkOffer{o}})
	}
	time.Sleep(40 * relayTestPoll)
	for _, e := range entries {
		e.mu.Lock()
		require.Empty(t, e.refused, "500 of 1000 tokens are the part of five entries of ten")
		e.mu.Unlock()
	}
}

// TestOffersInFlightWaitForTheCompleteList guards against a request that a daemon grants as the
// leader after it was offered to its interim broker, and once more with the entry's complete list.
func TestOffersInFlightWaitForTheCompleteList(t *testing.T) {
	_, addresses, election := startControls(t, 1)
	e := withoutLeader(t, addresses, election, "e")[0]
	e.send(&rpc.BrokerAsk{Complete: true})
	election.elect(addresses[0])
	e.eventually(func() bool { return e.last.Leads }, "the leader grants")
	e.send(&rpc.BrokerAsk{Offers: offers(5)})
	time.Sleep(20 * relayTestPoll)
	require.Zero(t, e.grants())
	e.send(&rpc.BrokerAsk{Complete: true, Offers: offers(5)})
	e.eventually(func() bool { return e.granted[5] }, "the complete list counts")
}

// TestInterimBrokerKnowsWhatItsDaemonLearned guards against a daemon that led and forgets the speeds
// and failures of upstreams with its leadership.
func TestInterimBrokerKnowsWhatItsDaemonLearned(t *testing.T) {
	s, addresses, election := startControls(t, 1)
	election.elect(addresses[0])
	e := connect(t, addresses[0], &rpc.BrokerAsk{Entry: "e", Relayable: true, Interim: true})
	e.eventually(func() bool { return e.last.Leads }, "the leader grants")
	s[0].mu.Lock()
	s[0].core.SetEstimates([]broker.Estimates{{ID: "u", TokenTime: 5}})
	s[0].mu.Unlock()
	election.elect("")
	e.eventually(func() bool { return e.last.Interim }, "an interim broker grants")
	require.Eventually(t, func() bool {
		s[0].mu.Lock()
		defer s[0].mu.Unlock()
		return s[0].core.Estimates()["u"].TokenTime == 5
	}, relayTestTimeout, relayTestPoll)
}
