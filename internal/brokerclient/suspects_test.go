package brokerclient

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/internal/port"
)

const crashingPart = 77

// TestEntryWithoutBrokerRefusesQuarantinedParts guards against a part of a prompt that
// crashes engines through every entry once brokers change: the entry refuses it by itself,
// and tells the next broker.
func TestEntryWithoutBrokerRefusesQuarantinedParts(t *testing.T) {
	s := newDetachedEntry()
	s.local.SetUpstreams([]broker.Upstream{{ID: "u", Pool: "p", Slots: 4}})
	news := []*rpc.ContentSuspect{{Content: crashingPart, Crashes: 3, Together: []uint64{crashingPart}, RefusedMs: 20_000}}
	require.NoError(t, s.handle("a", &rpc.BrokerReply{Leads: true, Entries: 3, LeaderTerm: 1, Suspects: news}, false))
	s.detach("a", errBrokerTimeout)

	bad := s.offer(port.BrokerOffer{Offer: broker.Offer{Pool: "p", SharedParts: []uint64{5, crashingPart}}})
	sound := s.offer(port.BrokerOffer{Offer: broker.Offer{Pool: "p", SharedParts: []uint64{5}}})
	decisions := s.local.Decide(s.now())
	require.Len(t, decisions.Refusals, 1)
	require.Equal(t, bad.offer.ID, decisions.Refusals[0].ID)
	require.Equal(t, fault.Quarantined, fault.Kind(decisions.Refusals[0].Code))
	require.Len(t, decisions.Grants, 1)
	require.Equal(t, sound.offer.ID, decisions.Grants[0].ID)

	s.pending = rpc.BrokerAsk{}
	require.NoError(t, s.handle("b", &rpc.BrokerReply{Leads: true, Entries: 3, LeaderTerm: 2}, false))
	require.Len(t, s.pending.Suspects, 1)
	require.EqualValues(t, crashingPart, s.pending.Suspects[0].Content)
}

// TestEntryTakesNoOldHeartbeatForLife guards against an entry without a broker that drops a crash,
// since the age of the upstream's last heartbeat in its roster does not grow.
func TestEntryTakesNoOldHeartbeatForLife(t *testing.T) {
	s := newDetachedEntry()
	s.started = time.Now().Add(-time.Minute)
	follow := func(born int64) {
		s.updateRoster(&rpc.BrokerReply{RosterSet: true, Roster: []*rpc.RosterEntry{{Id: "u", Pool: "p", Address: "a", Slots: 4, Born: born, AgeMs: 1}}})
		s.updateLocalBroker()
	}
	follow(5)
	const lost = time.Second
	id := broker.ID{Entry: "e", Number: 1}
	s.local.Offer(lost, broker.Offer{ID: id, Pool: "p", Fingerprint: crashingPart, LatencyTarget: lost + time.Hour, Deadline: lost + time.Hour})
	require.Len(t, s.local.Decide(lost).Grants, 1)
	s.local.End(lost, broker.End{ID: id, Outcome: broker.UnclearLoss})
	follow(5)
	follow(6)
	require.Len(t, s.local.Decide(s.now()).Suspicions, 1, "the next process has registered")
}

// crashHere runs a request at a detached entry whose connection is lost.
func crashHere(t *testing.T, s *Service, outcome broker.Outcome) {
	t.Helper()
	a := s.offer(port.BrokerOffer{Offer: broker.Offer{Pool: "p", SharedParts: []uint64{crashingPart}}, DeadlineAt: time.Now().Add(time.Hour), LatencyTargetAt: time.Now().Add(time.Hour)})
	grants := s.local.Decide(s.now()).Grants
	require.Len(t, grants, 1)
	s.settleGrant(grants[0], byEntry)
	time.Sleep(time.Millisecond)
	s.end(a, broker.End{Outcome: outcome})
}

// TestEntryReportsCrashesToNextBroker guards against a request that crashes upstreams without end while
// brokers change: the entry forgets what the last one counted, and what it saw itself without one.
func TestEntryReportsCrashesToNextBroker(t *testing.T) {
	s := newDetachedEntry()
	s.local.SetUpstreams([]broker.Upstream{{ID: "u", Pool: "p", Slots: 4}})
	counted := []*rpc.ContentSuspect{{Content: crashingPart, Crashes: 1, Together: []uint64{crashingPart}, Runs: []*rpc.CrashedRun{{Attempt: 1, GrantedUs: 9_000_000, LostUs: 8_000_000}}}}
	require.NoError(t, s.handle("a", &rpc.BrokerReply{Leads: true, Entries: 3, LeaderTerm: 1, Suspects: counted}, false))
	s.detach("a", errBrokerTimeout)
	crashHere(t, s, broker.ConnectionLost)
	s.pending = rpc.BrokerAsk{}
	require.NoError(t, s.handle("b", &rpc.BrokerReply{Leads: true, Entries: 3, LeaderTerm: 2}, false))
	require.Len(t, s.pending.Suspects, 1)
	require.EqualValues(t, 2, s.pending.Suspects[0].Crashes)
	require.Len(t, s.pending.Suspects[0].Runs, 2)
}

// TestEntryReportsLossesThatAreSettledLate guards against a crash that counts nowhere: the leader that
// got the end of the request ends before the upstream's next process registers.
func TestEntryReportsLossesThatAreSettledLate(t *testing.T) {
	s := newDetachedEntry()
	s.started = time.Now().Add(-time.Minute)
	follow := func(born int64) {
		s.updateRoster(&rpc.BrokerReply{RosterSet: true, Roster: []*rpc.RosterEntry{{Id: "u", Pool: "p", Address: "a", Slots: 4, Born: born, AgeMs: 1}}})
		s.updateLocalBroker()
	}
	follow(5)
	crashHere(t, s, broker.UnclearLoss)
	require.NoError(t, s.handle("b", &rpc.BrokerReply{Leads: true, Entries: 3, LeaderTerm: 2}, false))
	require.Empty(t, s.pending.Suspects)
	follow(6)
	require.Len(t, s.pending.Suspects, 1)
	require.EqualValues(t, crashingPart, s.pending.Suspects[0].Content)
	require.EqualValues(t, 1, s.pending.Suspects[0].Crashes)
}
