package broker

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/internal/brokerwire"
	"github.com/verbenastep/verbenastep/internal/settings"
)

func newOverloadService(t *testing.T, o *settings.Overload) *Service {
	t.Helper()
	s := New(&settings.Settings{Routing: &settings.Routing{Overload: o}}, zap.NewNop())
	m, err := newMetrics(prometheus.NewRegistry())
	require.NoError(t, err)
	s.metrics = m
	s.relay.up, s.relay.end = true, func(error) {}
	return s
}

// Guards against a follower that refuses a request which returns as the leader told it to,
// since it refuses all requests of the rank.
func TestOverloadFollowerPassesReturnsOn(t *testing.T) {
	s := newOverloadService(t, nil)
	x := &session{out: make(chan *rpc.BrokerReply, sendQueueLength), end: func() {}, relayable: true, complete: true}
	s.sessions["e"] = x
	require.NoError(t, s.handleRelayReply("a", &rpc.RelayReply{
		State: &rpc.BrokerReply{Leads: true}, Shedding: []*rpc.SheddingRank{{Pool: "p", Rank: 2, WaitMs: 700}},
		Commitments: []*rpc.ReturnCommitment{{Fingerprint: 7}, {Fingerprint: 8, DueMs: 60_000}},
	}))
	s.forward("e", x, &rpc.BrokerAsk{Offers: []*rpc.WorkOffer{
		{Id: 1, Pool: "p", Rank: 2, Fingerprint: 7}, {Id: 2, Pool: "p", Rank: 2, Fingerprint: 8}, {Id: 3, Pool: "p", Rank: 2, Fingerprint: 9}, {Id: 4, Pool: "p", Rank: 2},
	}})
	require.Len(t, s.relay.asks, 1)
	require.Len(t, s.relay.asks[0].Offers, 1, "the others return early, or are first arrivals")
	require.Equal(t, uint64(1), s.relay.asks[0].Offers[0].Id)
	require.Len(t, (<-x.out).Refusals, 3)
}

// Guards against commitments that reach one follower only, or are sent twice.
func TestOverloadCommitmentsReachAllFollowers(t *testing.T) {
	s := newOverloadService(t, &settings.Overload{})
	s.leads = true
	followers := []*relayed{newRelayed("follower", func() {}), newRelayed("follower", func() {})}
	for _, y := range followers {
		s.listeners[y.own] = struct{}{}
	}
	s.core.SetUpstreams([]broker.Upstream{{ID: "u", Pool: "p", Slots: 1}})
	for n := range uint64(100) {
		s.core.Offer(s.now(), broker.Offer{
			ID: broker.ID{Entry: "e", Number: n}, Pool: "p", Fingerprint: n + 1, LatencyTarget: s.now() + 100*time.Millisecond, Deadline: s.now() + time.Minute,
		})
	}
	s.decide()
	committed := testutil.ToFloat64(s.metrics.overload.WithLabelValues("committed"))
	require.Positive(t, committed)
	for _, y := range followers {
		require.Len(t, s.takeRelayReply(y).Commitments, int(committed))
		require.Empty(t, s.takeRelayReply(y).Commitments)
	}
	require.Zero(t, testutil.ToFloat64(s.metrics.overload.WithLabelValues("broken")))
}

// Guards against a follower that keeps the commitments of a long overload.
func TestOverloadFollowerForgetsExpiredCommitments(t *testing.T) {
	c := followerCommitments{}
	c.learn(0, brokerwire.EncodeCommitments(0, []broker.Commitment{{Fingerprint: 1, Due: time.Second}}))
	require.True(t, c.accepts(time.Second, 1))
	c.learn(time.Minute, nil)
	require.Empty(t, c.due)
}

// Guards against decisions that change for a deployment whose settings do not ask for it.
func TestOverloadIsOffWithoutSettings(t *testing.T) {
	_, enabled := newOverloadService(t, nil).core.OverloadStats()
	require.False(t, enabled)
	_, enabled = newOverloadService(t, &settings.Overload{}).core.OverloadStats()
	require.True(t, enabled)
}
