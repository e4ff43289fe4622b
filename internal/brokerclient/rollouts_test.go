package brokerclient

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/core/rollout"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/versiongate"
)

// rolloutView is a view with one rollout, whose clock the test sets.
type rolloutView struct {
	mu     sync.Mutex
	record rollout.Record
	now    time.Duration
}

func (v *rolloutView) Rollouts() []rollout.Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	return []rollout.Record{v.record}
}

func (v *rolloutView) elapsed() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now
}

func (v *rolloutView) set(phase rollout.Phase, after time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.record.Phase = phase
	v.now += after
}

// newRolloutEntry returns an entry with a running rollout of pool p to v2, and its broker.
func newRolloutEntry(t *testing.T) (*Service, *control, *rolloutView) {
	v := &rolloutView{record: rollout.Record{Pool: "p", Target: "v2", Number: 1, Phase: rollout.Trial}, now: time.Hour}
	// Set before the start: the sessions of the client read the clock without a lock.
	s, c := newEntryWith(t, 1, func(s *Service) {
		s.rollouts = newRollouts(v)
		s.elapsed = v.elapsed
	})
	c[0].set(func(c *control) { c.leads, c.leader = true, c.address })
	require.Eventually(t, s.isAttached, testTimeout, time.Millisecond)
	return s, c[0], v
}

// acquireGranted acquires an upstream that the broker grants at the target version.
func acquireGranted(t *testing.T, s *Service, c *control) port.BrokerTicket {
	t.Helper()
	tickets := make(chan port.BrokerTicket, 1)
	go func() {
		ticket, err := acquire(s)
		if err == nil {
			tickets <- ticket
		}
	}()
	grantWaiting(t, c, "v2")
	select {
	case ticket := <-tickets:
		return ticket
	case <-time.After(testTimeout):
		t.Fatal("no grant")
		return port.BrokerTicket{}
	}
}

// grantWaiting grants all waiting requests an upstream of a software version.
func grantWaiting(t *testing.T, c *control, version string) {
	t.Helper()
	require.Eventually(t, func() bool {
		granted := false
		c.set(func(c *control) {
			for id, runs := range c.offered {
				if !runs {
					c.grants = append(c.grants, &rpc.WorkGrant{Id: id, Upstream: "u", Address: "a", SoftwareVersion: version, VersionReason: "rollout of v2: trial"})
					delete(c.offered, id)
					granted = true
				}
			}
		})
		return granted
	}, testTimeout, time.Millisecond)
}

// TestGrantOfRolledBackVersionIsReturned guards against a request that is sent to a version after
// its rollback: its grant was on its way, or waited in the entry for a connection.
func TestGrantOfRolledBackVersionIsReturned(t *testing.T) {
	s, c, v := newRolloutEntry(t)
	ticket := acquireGranted(t, s, c)
	require.False(t, ticket.Expired())
	v.set(rollout.RolledBack, 0)
	s.mu.Lock()
	// Another version serves, so that the pool can do without the target.
	s.roster["old"] = &rpc.RosterEntry{Id: "old", Pool: "p", SoftwareVersion: "v1"}
	require.True(t, s.isExpired("p", "v2", v.elapsed()))
	require.False(t, s.isExpired("p", "v1", v.elapsed()))
	a := &acquisition{offer: broker.Offer{ID: broker.ID{Number: 99}, Pool: "p"}, settled: make(chan struct{})}
	s.waiting[99] = a
	s.handleGrant(broker.Grant{ID: a.offer.ID, Upstream: "u", SoftwareVersion: "v2"})
	require.Equal(t, []string{"u"}, a.offer.Avoid, "the request is offered again")
	require.Equal(t, uint64(99), s.pending.Offers[len(s.pending.Offers)-1].Id)
	require.Equal(t, uint32(broker.NotSent), s.pending.Ends[len(s.pending.Ends)-1].Outcome)
	delete(s.waiting, 99)
	s.mu.Unlock()
}

// TestGrantOnTrialExpiresDuringPause guards against an entry that was paused and then acts on a
// grant of a version that may have been rolled back meanwhile.
func TestGrantOnTrialExpiresDuringPause(t *testing.T) {
	s, c, v := newRolloutEntry(t)
	ticket := acquireGranted(t, s, c)
	v.set(rollout.Trial, trialGrantTTL)
	require.False(t, ticket.Expired())
	v.set(rollout.Trial, time.Millisecond)
	require.True(t, ticket.Expired())
	v.set(rollout.Settle, time.Minute)
	require.False(t, ticket.Expired(), "the version is trusted")

	quiet := silence{elapsed: v.elapsed}
	for _, limit := range []time.Duration{connectTimeout, brokerTimeout} {
		require.Less(t, limit, trialGrantTTL)
		quiet.restart(limit)
		require.False(t, quiet.isOver())
		v.set(rollout.Trial, limit+1)
		require.True(t, quiet.isOver(), "the message may be as old as the pause")
	}
}

// TestMessageReadAfterAPauseEndsTheSession guards against an entry that was paused and then obeys
// the grants of a message that waited meanwhile.
func TestMessageReadAfterAPauseEndsTheSession(t *testing.T) {
	s, c, v := newRolloutEntry(t)
	v.set(rollout.Trial, trialGrantTTL+1)
	sessions := func() (n int) {
		c.set(func(c *control) { n = c.sessions })
		return n
	}
	before := sessions()
	require.Eventually(t, func() bool { return sessions() > before }, testTimeout, time.Millisecond)
	require.Eventually(t, s.isAttached, testTimeout, time.Millisecond)
}

// TestEntryReportsPhases guards against a rollout that waits for entries which know its phase, and
// against one that is completed while a local broker still uses the old version.
func TestEntryReportsPhases(t *testing.T) {
	s, _, v := newRolloutEntry(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending.Rollouts = nil
	s.syncRollouts()
	v.set(rollout.Settle, 0)
	s.syncRollouts()
	require.NotEmpty(t, s.pending.Rollouts)
	last := s.pending.Rollouts[len(s.pending.Rollouts)-1]
	require.Equal(t, []any{"p", uint64(1), "settle"}, []any{last.Pool, last.Number, last.Phase})
}

// TestInterimGrantsObeyTheView guards against requests that an interim broker, whose view is older,
// sends where the entry's own view forbids it.
func TestInterimGrantsObeyTheView(t *testing.T) {
	s, _, v := newRolloutEntry(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster["old"] = &rpc.RosterEntry{Id: "old", Pool: "p", SoftwareVersion: "v1"}
	number := uint64(900)
	accepts := func(version string, interim, isBound bool) bool {
		number++
		a := &acquisition{offer: broker.Offer{ID: broker.ID{Number: number}, Pool: "p"}, isBound: isBound, settled: make(chan struct{})}
		s.interim = interim
		s.waiting[number] = a
		s.handleGrant(broker.Grant{ID: a.offer.ID, Upstream: "u", SoftwareVersion: version})
		_, waits := s.waiting[number]
		delete(s.waiting, number)
		return !waits
	}
	for _, c := range []struct {
		phase                         rollout.Phase
		target, old, boundOld, leader bool
	}{
		{rollout.Trial, false, true, true, true},
		{rollout.Shift, false, true, true, true},
		{rollout.Settle, true, false, true, true},
		{rollout.Completed, true, false, false, true},
	} {
		v.set(c.phase, 0)
		require.Equal(t, c.target, accepts("v2", true, false), c.phase)
		require.Equal(t, c.old, accepts("v1", true, false), c.phase)
		require.Equal(t, c.boundOld, accepts("v1", true, true), c.phase)
		require.Equal(t, c.leader, accepts("v2", false, false), c.phase)
	}
	require.True(t, accepts("v3", true, false), "a version that was introduced later")
}

// TestInterimGrantIsReturnedBeforeSending guards against a request that is sent to the old version
// after the entry learned, between the grant and the sending, that the version settles.
func TestInterimGrantIsReturnedBeforeSending(t *testing.T) {
	s, _, v := newRolloutEntry(t)
	for _, isBound := range []bool{false, true} {
		v.set(rollout.Trial, 0)
		a := &acquisition{offer: broker.Offer{Pool: "p", VersionBound: true}, isBound: isBound, grant: broker.Grant{SoftwareVersion: "v1"}, decidedBy: byInterim, grantedAt: v.elapsed()}
		require.False(t, s.expiry(a)())
		v.set(rollout.Settle, 0)
		require.Equal(t, !isBound, s.expiry(a)())
		s.mu.Lock()
		s.rollouts.gates = versiongate.New()
		s.mu.Unlock()
	}
}
