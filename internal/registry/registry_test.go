package registry

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/api/upstream"
	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
	"github.com/verbenastep/verbenastep/internal/standin"
)

// memberList is a member service with a fixed list of daemons.
type memberList []port.Member

func (m memberList) Live() []port.Member                         { return m }
func (m memberList) Find(string) (port.Member, bool)             { return port.Member{}, false }
func (m memberList) Name() string                                { return port.NameMembers }
func (m memberList) Needs() []string                             { return nil }
func (m memberList) Start(context.Context, *kernel.Kernel) error { return nil }
func (m memberList) Stop(context.Context) error                  { return nil }
func (m memberList) Health() error                               { return nil }
func (m memberList) Dump() any                                   { return nil }

func start(t *testing.T) *Service {
	t.Helper()
	set := &settings.Settings{Addresses: settings.Addresses{Upstreams: "127.0.0.1:0"}, UpstreamKeys: []string{config.HashKey("key")}}
	s := New(set, zap.NewNop())
	k := kernel.New()
	require.NoError(t, k.Register(memberList{{Name: "a", Upstreams: "127.0.0.1:1"}, {Name: "b", Upstreams: "127.0.0.1:2"}}))
	require.NoError(t, k.Register(s))
	require.NoError(t, k.Start(t.Context()))
	t.Cleanup(func() { _ = k.Stop(context.Background()) })
	return s
}

func announcement(incarnation uint64) upstream.Announcement {
	return upstream.Announcement{
		Name: "runner-1", Kind: upstream.Runner, Pool: "m", Region: "r", Address: "127.0.0.1:9", Incarnation: incarnation, Slots: 2,
		Events: []upstream.CacheEvent{{Sequence: 3, Blocks: []uint64{7}}},
	}
}

func announce(t *testing.T, s *Service, key string, a upstream.Announcement) (upstream.Renewal, error) {
	t.Helper()
	ann := standin.Announcer{Key: key, State: func() upstream.Announcement { return a }}
	return ann.Announce(t.Context(), s.Address())
}

func TestAnnouncementsReachSubscribers(t *testing.T) {
	s := start(t)
	received := make(chan *rpc.UpstreamState, 8)
	cancel := s.Subscribe(port.PoolRegion{Pool: "m", Region: "r"}, func(u *rpc.UpstreamState) { received <- u })
	defer cancel()
	renewal, err := announce(t, s, "key", announcement(5))
	require.NoError(t, err)
	require.Subset(t, renewal.Addresses, []string{"127.0.0.1:1", "127.0.0.1:2"})
	require.Positive(t, renewal.LeaseMS-renewal.RenewMS)
	u := <-received
	require.Equal(t, uint64(5), u.Incarnation)
	require.Equal(t, uint64(3), u.CacheEvents[0].Sequence)
	leaving := announcement(5)
	leaving.Leaving = true
	_, err = announce(t, s, "key", leaving)
	require.NoError(t, err)
	require.True(t, (<-received).Leaving)
}

// TestInvalidAnnouncementsAreRefused sends a wrong key, an incomplete announcement
// and one of an earlier incarnation.
func TestInvalidAnnouncementsAreRefused(t *testing.T) {
	s := start(t)
	_, err := announce(t, s, "wrong", announcement(5))
	require.ErrorContains(t, err, http.StatusText(http.StatusUnauthorized))
	_, err = announce(t, s, "key", upstream.Announcement{Name: "x"})
	require.ErrorContains(t, err, http.StatusText(http.StatusBadRequest))
	_, err = announce(t, s, "key", announcement(5))
	require.NoError(t, err)
	_, err = announce(t, s, "key", announcement(4))
	require.ErrorContains(t, err, http.StatusText(http.StatusConflict))
	require.Equal(t, []port.PoolRegion{{Pool: "m", Region: "r"}}, s.PoolRegions())
}

// TestLeaseOfAnnouncementRunsOn guards against a dispatcher that takes an upstream for live because
// its last announcement is passed on anew: to a later session, or after a suspension.
func TestLeaseOfAnnouncementRunsOn(t *testing.T) {
	s := New(&settings.Settings{}, zap.NewNop())
	now := time.Hour
	s.elapsed = func() time.Duration { return now }
	require.True(t, s.accept(announcement(5)))
	leases := func() []uint32 {
		out := []uint32{}
		s.Subscribe(port.PoolRegion{Pool: "m", Region: "r"}, func(u *rpc.UpstreamState) { out = append(out, u.LeaseMs) })()
		return out
	}
	require.Equal(t, []uint32{leaseMS}, leases())
	now += 500 * time.Millisecond
	require.Equal(t, []uint32{leaseMS - 500}, leases())
	now += leaseMS * time.Millisecond
	require.Empty(t, leases())
}
