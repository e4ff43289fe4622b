package brokerclient

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// newDetachedEntry returns an entry without a session.
func newDetachedEntry() *Service {
	s := New(&settings.Settings{Routing: &settings.Routing{}}, zap.NewNop(), port.Holder{Name: "e"})
	s.view = &view{changed: make(chan struct{})}
	return s
}

// grantStream settles a request that begins a stream, by the broker of a session or by the
// entry's own.
func grantStream(s *Service, stream uint64, version, by string) {
	s.attached = by == byBroker
	a := s.offer(port.BrokerOffer{Offer: broker.Offer{Pool: "p", Stream: stream}})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attached {
		s.handleGrant(broker.Grant{ID: a.offer.ID, Upstream: "u", SoftwareVersion: version})
		return
	}
	s.local.SetUpstreams([]broker.Upstream{{ID: "u", Pool: "p", Slots: 1, SoftwareVersion: version}})
	for _, g := range s.local.Decide(s.now()).Grants {
		s.settleGrant(g, byEntry)
	}
}

// TestEntryRemembersVersionsOfItsStreams guards against streams that can't be resumed, or are
// resumed at another software version, after a change of brokers: the new one learns them
// from its entries, also those whose requests have ended.
func TestEntryRemembersVersionsOfItsStreams(t *testing.T) {
	for _, by := range []string{byBroker, byEntry} {
		s := newDetachedEntry()
		grantStream(s, 77, "v1", by)
		resumption := s.offer(port.BrokerOffer{Offer: broker.Offer{Pool: "p", Resumes: 77}}).offer
		require.True(t, resumption.VersionBound, by)
		require.Equal(t, "v1", resumption.SoftwareVersion, by)
		s.pending = rpc.BrokerAsk{}
		s.attached = false
		require.NoError(t, s.handle("a", &rpc.BrokerReply{Leads: true, Entries: 3, LeaderTerm: 1}, false))
		require.Len(t, s.pending.Streams, 1, by)
		require.Equal(t, "v1", s.pending.Streams[0].SoftwareVersion, by)
	}
}

// TestResumptionOfOtherEntriesStreamIsLeftToBroker guards against an entry that binds a
// request to a version it does not know.
func TestResumptionOfOtherEntriesStreamIsLeftToBroker(t *testing.T) {
	s := newDetachedEntry()
	grantStream(s, 77, "v1", byBroker)
	offer := s.offer(port.BrokerOffer{Offer: broker.Offer{Pool: "p", Resumes: 78}}).offer
	require.False(t, offer.VersionBound)
	require.EqualValues(t, 78, offer.Resumes)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := s.Acquire(ctx, port.BrokerOffer{Offer: broker.Offer{Pool: "p", Resumes: 78}})
	require.ErrorIs(t, err, context.Canceled)
}
