package brokerclient

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/core/routes"
	"github.com/verbenastep/verbenastep/internal/port"
)

// waitingRequests is how many requests wait as a broker stops: more than the entry could serve
// within its own share.
const waitingRequests = 300

// newStoppingBroker returns an entry whose requests wait at the first of two control daemons, which
// leads, and the outcomes of these requests. The broker leaves them little of their quota.
func newStoppingBroker(t *testing.T, charge int) ([]*control, chan broughtTo) {
	t.Helper()
	index := routes.NewIndex(&routes.Table{
		Version: 1, Pools: []routes.Pool{{Name: "p"}}, Workspaces: []routes.Workspace{{Name: "w", TokensPerSecond: 30, TokenBurst: 30}},
	})
	s, c := newEntryWith(t, 2, func(s *Service) { s.view = &view{index: index, changed: make(chan struct{})} })
	c[0].set(func(x *control) { x.leads, x.leader, x.term = true, x.address, 1 })
	c[1].set(func(x *control) { x.leader, x.term = c[0].address, 1 })
	require.Eventually(t, s.isAttached, testTimeout, time.Millisecond)
	// The local broker of a new entry waits for its first broker.
	time.Sleep(2 * firstBrokerTimeout)
	outcomes := make(chan broughtTo, waitingRequests)
	for range waitingRequests {
		go func() {
			o := port.BrokerOffer{Offer: broker.Offer{Pool: "p", Workspace: "w", QuotaCharge: charge}, LatencyTargetAt: time.Now().Add(time.Second), DeadlineAt: time.Now().Add(testTimeout)}
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			ticket, err := s.Acquire(ctx, o)
			outcomes <- broughtTo{ticket.GrantedBy, err}
		}()
	}
	require.Eventually(t, func() bool {
		return c[0].check(func(x *control) bool { return len(x.offered) == waitingRequests })
	}, testTimeout, time.Millisecond)
	return c, outcomes
}

// broughtTo is the outcome of a request.
type broughtTo struct {
	by  string
	err error
}

// stopFirst stops the first daemon, as at a planned stop, with the second one as the next leader.
func stopFirst(c []*control) {
	c[1].set(func(x *control) { x.leads, x.leader, x.term = true, x.address, 2 })
	c[0].set(func(x *control) { x.leads, x.stopped = false, true })
}

// TestWaitingRequestsAreNotRefusedAtBrokerStop guards against requests that are refused since the
// daemon that was to grant them stops: the entry's own share of the upstreams and of a quota is
// too small for them, but the next broker, which the entry finds at once, grants them.
func TestWaitingRequestsAreNotRefusedAtBrokerStop(t *testing.T) {
	for name, charge := range map[string]int{"upstreams": 0, "quota": 8} {
		t.Run(name, func(t *testing.T) {
			c, outcomes := newStoppingBroker(t, charge)
			stopFirst(c)
			require.Eventually(t, func() bool {
				return c[1].check(func(x *control) bool {
					for id, running := range x.offered {
						if !running {
							x.grants = append(x.grants, &rpc.WorkGrant{Id: id, Upstream: "u", Address: "a"})
						}
					}
					return len(x.grants) > 0
				})
			}, testTimeout, time.Millisecond)
			for range waitingRequests {
				require.NoError(t, (<-outcomes).err)
			}
		})
	}
}

// TestWaitingRequestsAreRefusedWithoutNextBroker guards against requests that wait for a broker
// that does not come, where the entry can't serve them itself.
func TestWaitingRequestsAreRefusedWithoutNextBroker(t *testing.T) {
	c, outcomes := newStoppingBroker(t, 8)
	began := time.Now()
	for _, x := range c {
		x.set(func(x *control) { x.leads, x.leader, x.stopped = false, "", true })
	}
	refused := 0
	for range waitingRequests {
		if x := <-outcomes; x.err != nil {
			refused++
			require.Equal(t, byEntry, x.by)
			require.ErrorContains(t, x.err, "quota")
		}
	}
	require.Positive(t, refused)
	require.Less(t, time.Since(began), testTimeout/2)
}

// TestNextBrokerIsSoughtAtOnce guards against requests that wait for the next broker longer than
// the connections take: after a planned stop there is one. The best of several stops counts, as
// the machine may be busy.
func TestNextBrokerIsSoughtAtOnce(t *testing.T) {
	const stops = 3
	s, c := newEntry(t, 2)
	best := testTimeout
	for i := range stops {
		leader, next := c[i%2], c[(i+1)%2]
		term := uint64(i + 1)
		leader.set(func(x *control) { x.stopped, x.leads, x.leader, x.term = false, true, leader.address, term })
		next.set(func(x *control) { x.stopped, x.leads, x.leader, x.term = false, false, leader.address, term })
		require.Eventually(t, s.isAttached, testTimeout, time.Millisecond)
		time.Sleep(minSessionTime + backOffDelay)
		sessions := 0
		next.set(func(x *control) { x.leads, x.leader, sessions = true, x.address, x.sessions })
		began := time.Now()
		leader.set(func(x *control) { x.leads, x.stopped = false, true })
		require.Eventually(t, func() bool { return next.check(func(x *control) bool { return x.sessions > sessions }) }, testTimeout, time.Millisecond)
		best = min(best, time.Since(began))
	}
	require.Less(t, best, reconnectDelay)
}

// TestEntryStaysDuringHandover guards against entries that leave a daemon which will lead or relay
// in a moment, since their session is old: the change of leaders of a planned stop is short.
func TestEntryStaysDuringHandover(t *testing.T) {
	s, c := newEntry(t, 2)
	c[1].set(func(x *control) { x.leader, x.term = c[0].address, 1 })
	c[0].set(func(x *control) { x.leads, x.leader, x.term = true, x.address, 1 })
	require.Eventually(t, s.isAttached, testTimeout, time.Millisecond)
	time.Sleep(2 * minLeaderlessTimeout)
	sessions := 0
	c[0].set(func(x *control) { sessions = x.sessions; x.leads, x.leader = false, "" })
	require.Eventually(t, func() bool { return !s.isAttached() }, testTimeout, time.Millisecond)
	time.Sleep(minLeaderlessTimeout / 3)
	c[0].set(func(x *control) { x.leads, x.leader, x.term = true, x.address, 2 })
	require.Eventually(t, s.isAttached, testTimeout, time.Millisecond)
	require.True(t, c[0].check(func(x *control) bool { return x.sessions == sessions }), "the entry stayed")
}
