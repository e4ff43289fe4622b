package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/state"
)

const (
	testTerm = 3
	// startOfTerm is the elapsed time at which the term begins.
	startOfTerm = time.Hour
)

// newHeldLease returns a lessor and a machine in which "h" holds the lease.
func newHeldLease(t *testing.T, now time.Duration) (*lessor, *state.Machine) {
	t.Helper()
	m := state.New()
	result := m.Apply(state.Command{Acquire: &state.Acquire{Name: leaseName, Holder: "h"}})
	require.Equal(t, state.OK, result.Status)
	l := &lessor{}
	l.reset(now, testTerm)
	return l, m
}

// An Expire proposed while an Acquire is in the log would follow it and end the
// lease that the Acquire has just renewed.
func TestLeaseDoesNotExpireWhileRenewalIsInLog(t *testing.T) {
	now := startOfTerm
	l, m := newHeldLease(t, now)
	acquire := &state.Acquire{Name: leaseName, Holder: "h"}
	p := &proposal{command: state.Command{Acquire: acquire}, term: testTerm}
	late := now + leaseExpiryTimeout + time.Millisecond
	require.Len(t, l.expiredLeases(m, late, leaseExpiryTimeout), 1)
	l.proposalStarted(p)
	require.Empty(t, l.expiredLeases(m, late, leaseExpiryTimeout), "an Expire would follow the pending renewal in the log")
	l.proposalEnded(p)
	l.recordRenewal(p.command, m.Apply(p.command), late)
	require.Empty(t, l.expiredLeases(m, late, leaseExpiryTimeout))
	require.Len(t, l.expiredLeases(m, late+leaseExpiryTimeout+time.Millisecond, leaseExpiryTimeout), 1)
}

// A renewal answered without the log while an Expire is pending would confirm a
// lease that is about to end.
func TestRenewalGoesThroughLogWhileExpireIsPending(t *testing.T) {
	l, m := newHeldLease(t, startOfTerm)
	acquire := &state.Acquire{Name: leaseName, Holder: "h"}
	require.True(t, l.renew(m, acquire, startOfTerm))
	p := &proposal{command: state.Command{Expire: &state.Expire{Name: leaseName, Epoch: 1}}, term: testTerm}
	l.proposalStarted(p)
	require.False(t, l.renew(m, acquire, startOfTerm))
	l.proposalEnded(&proposal{command: p.command, term: testTerm - 1})
	require.False(t, l.renew(m, acquire, startOfTerm), "an Expire of an earlier term is not counted")
	l.proposalEnded(p)
	require.True(t, l.renew(m, acquire, startOfTerm))
}

func TestNewLeaderExtendsAllLeases(t *testing.T) {
	l, m := newHeldLease(t, startOfTerm)
	late := startOfTerm + leaseExpiryTimeout + time.Millisecond
	l.reset(late, testTerm+1)
	require.Empty(t, l.expiredLeases(m, late, leaseExpiryTimeout))
}
