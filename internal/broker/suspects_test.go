package broker

import (
	"testing"
	"time"

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

// crashOnce offers a request with the crashing part, whose upstream crashes.
func (e *fakeEntry) crashOnce(id uint64) {
	e.t.Helper()
	e.send(&rpc.BrokerAsk{Offers: []*rpc.WorkOffer{crashingOffer(id)}})
	e.eventually(func() bool { return e.granted[id] }, "a grant")
	// The crash counts if the request was granted after the one before.
	time.Sleep(2 * time.Millisecond)
	e.send(&rpc.BrokerAsk{Ends: []*rpc.WorkEnd{{Id: id, Outcome: uint32(broker.ConnectionLost)}}})
}

// TestCrashesCountOverChangesOfTheLeader guards against a request that crashes upstreams without end,
// since the leader changes before the third crash and the next one begins to count anew. Each
// leader sees one crash.
func TestCrashesCountOverChangesOfTheLeader(t *testing.T) {
	_, addresses, election := startControls(t, 3)
	election.elect(addresses[0])
	e := connect(t, addresses[2], &rpc.BrokerAsk{Entry: "e", Relayable: true})
	e.eventually(func() bool { return e.last.Leads }, "a broker")
	e.send(&rpc.BrokerAsk{Complete: true})
	for i := range uint64(3) {
		if i > 0 {
			election.elect(addresses[i%2])
			e.eventually(func() bool { return e.losses == int(i) && e.last.Leads }, "the next leader")
			e.send(&rpc.BrokerAsk{Complete: true})
		}
		e.crashOnce(i + 1)
		e.eventually(func() bool { return e.suspects[crashingPart] == uint32(i+1) }, "the crash is known here")
	}
	e.send(&rpc.BrokerAsk{Offers: []*rpc.WorkOffer{crashingOffer(9)}})
	e.eventually(func() bool { return e.refused[9] == string(broker.Quarantined) }, "a refusal")
}

// TestLeaderLearnsCrashesFromEntries guards against the same where the new leader knew nothing of the
// last one, and each entry of other crashes.
func TestLeaderLearnsCrashesFromEntries(t *testing.T) {
	_, addresses, election := startControls(t, 1)
	election.elect(addresses[0])
	entries := []*fakeEntry{}
	for i, name := range []string{"a", "b"} {
		e := connect(t, addresses[0], &rpc.BrokerAsk{Entry: name, Relayable: true})
		e.eventually(func() bool { return e.last.Leads }, "a broker")
		ago := uint64((time.Duration(10-i) * time.Second).Microseconds())
		e.send(&rpc.BrokerAsk{Complete: true, Suspects: []*rpc.ContentSuspect{{
			Content: crashingPart, Crashes: 1, Together: []uint64{crashingPart}, Runs: []*rpc.CrashedRun{{Attempt: uint64(i + 1), GrantedUs: ago + 100, LostUs: ago}},
		}}})
		entries = append(entries, e)
	}
	for _, e := range entries {
		e.eventually(func() bool { return e.suspects[crashingPart] == 2 }, "both crashes are known to all")
	}
	entries[0].crashOnce(1)
	entries[1].eventually(func() bool { return entries[1].suspects[crashingPart] == 3 }, "the third crash")
	entries[1].send(&rpc.BrokerAsk{Offers: []*rpc.WorkOffer{crashingOffer(2)}})
	entries[1].eventually(func() bool { return entries[1].refused[2] == string(broker.Quarantined) }, "a refusal")
}
