package broker

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
)

const (
	crashingPart     = 77
	quarantineMillis = 20_000
)

func crashingOffer(id uint64) *rpc.WorkOffer {
	o := testOffer(id)
	o.SharedParts = []uint64{crashingPart}
	return o
}

// crash offers requests with the crashing part, one after the other, until they are refused.
// It returns the id of the refused one.
func (e *fakeEntry) crash(id uint64) uint64 {
	e.t.Helper()
	for ; ; id++ {
		e.send(&rpc.BrokerAsk{Offers: []*rpc.WorkOffer{crashingOffer(id)}})
		e.eventually(func() bool { return e.granted[id] || e.refused[id] != "" }, "a decision")
		e.mu.Lock()
		code := e.refused[id]
		e.mu.Unlock()
		if code != "" {
			require.Equal(e.t, string(broker.Quarantined), code)
			return id
		}
		e.send(&rpc.BrokerAsk{Ends: []*rpc.WorkEnd{{Id: id, Outcome: uint32(broker.ConnectionLost)}}})
	}
}

// TestQuarantineOutlivesTheBroker guards against a part of a prompt that crashes engines anew
// for each broker, and against entries that do not know of it when they have none: a part
// that the leader refuses is told to its own entries and through followers, and the next
// leader refuses it as well.
func TestQuarantineOutlivesTheBroker(t *testing.T) {
	_, addresses, election := startControls(t, 3)
	election.elect(addresses[0])
	direct := connect(t, addresses[0], &rpc.BrokerAsk{Entry: "direct", Relayable: true})
	relayed := connect(t, addresses[1], &rpc.BrokerAsk{Entry: "relayed", Relayable: true})
	for _, e := range []*fakeEntry{direct, relayed} {
		e.eventually(func() bool { return e.last.Leads }, "a broker")
		e.send(&rpc.BrokerAsk{Complete: true})
	}
	next := relayed.crash(1) + 1
	for _, e := range []*fakeEntry{direct, relayed} {
		e.eventually(func() bool { return e.suspects[crashingPart] > 0 }, "all entries hear of the part")
	}
	late := connect(t, addresses[1], &rpc.BrokerAsk{Entry: "late", Relayable: true})
	late.eventually(func() bool { return late.suspects[crashingPart] > 0 }, "an entry that connects later hears of it")

	election.elect(addresses[1])
	relayed.eventually(func() bool { return relayed.losses == 1 && relayed.last.Leads }, "the next leader")
	relayed.send(&rpc.BrokerAsk{Complete: true, Offers: []*rpc.WorkOffer{crashingOffer(next)}})
	relayed.eventually(func() bool { return relayed.refused[next] == string(broker.Quarantined) }, "it refuses the part that it relayed")
}

// TestLeaderLearnsQuarantineFromEntries guards against the same where the new leader knew
// nothing of the last one.
func TestLeaderLearnsQuarantineFromEntries(t *testing.T) {
	_, addresses, election := startControls(t, 1)
	election.elect(addresses[0])
	e := connect(t, addresses[0], &rpc.BrokerAsk{Entry: "e", Relayable: true})
	e.eventually(func() bool { return e.last.Leads }, "a broker")
	e.send(&rpc.BrokerAsk{
		Complete: true, Offers: []*rpc.WorkOffer{crashingOffer(1), testOffer(2)},
		Suspects: []*rpc.ContentSuspect{{Content: crashingPart, Crashes: 3, Together: []uint64{crashingPart}, RefusedMs: quarantineMillis}},
	})
	e.eventually(func() bool { return e.refused[1] == string(broker.Quarantined) && e.granted[2] }, "only the part is refused")
}
