package brokerclient

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/internal/port"
)

// TestEntryTellsBrokersOfLimits guards against a limit that the broker of the session hears of
// late, a new one never, and the entry's own broker not at all.
func TestEntryTellsBrokersOfLimits(t *testing.T) {
	s := newDetachedEntry()
	s.local.SetUpstreams([]broker.Upstream{{ID: "u", Pool: "p", Slots: 100}})
	require.NoError(t, s.handle("a", &rpc.BrokerReply{Leads: true, Entries: 9, LeaderTerm: 1}, false))
	s.pending = rpc.BrokerAsk{}
	heard := broker.RequestLimit{Upstream: "u", Limited: true, PerSecond: 1}
	for range 3 {
		s.ReportLimit(heard, time.Now())
	}
	require.Len(t, s.pending.Limits, 1, "only what is new")
	s.detach("a", errBrokerTimeout)
	for range 50 {
		s.offer(port.BrokerOffer{Offer: broker.Offer{Pool: "p"}, LatencyTargetAt: time.Now().Add(time.Second), DeadlineAt: time.Now().Add(time.Second)})
	}
	require.LessOrEqual(t, len(s.local.Decide(s.now()).Grants), 1)
	require.NoError(t, s.handle("b", &rpc.BrokerReply{Leads: true, Entries: 9, LeaderTerm: 2}, false))
	require.Len(t, s.pending.Limits, 1)
	require.InDelta(t, 1, s.pending.Limits[0].PerSecond, 0)
}

// TestStartingEntryLearnsLimitsFromRoster guards against an entry that starts, finds no broker
// and sends all of its requests to an upstream that named a limit before.
func TestStartingEntryLearnsLimitsFromRoster(t *testing.T) {
	s := newDetachedEntry()
	roster := []*rpc.RosterEntry{{Id: "u", Pool: "p", Slots: 100, Limit: &rpc.UpstreamLimit{Upstream: "u", Limited: true, PerSecond: 1, AgeMs: 90_000}}}
	require.NoError(t, s.handle("a", &rpc.BrokerReply{RosterSet: true, Roster: roster}, false))
	for range 50 {
		s.offer(port.BrokerOffer{Offer: broker.Offer{Pool: "p"}, LatencyTargetAt: time.Now().Add(time.Second), DeadlineAt: time.Now().Add(time.Second)})
	}
	require.LessOrEqual(t, len(s.local.Decide(s.now()).Grants), 1)
}
