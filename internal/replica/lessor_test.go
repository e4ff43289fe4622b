package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/state"
)

const testTerm = 3

// heldLease returns a lessor and a machine on which a holder has the lease.
func heldLease(t *testing.T, now time.Time) (*lessor, *state.Machine) {
	t.Helper()
	m := state.New()
	result := m.Apply(state.Command{Acquire: &state.Acquire{Name: leaseName, Holder: "h"}})
	require.Equal(t, state.OK, result.Status)
	l := &lessor{}
	l.reset(now, testTerm)
	return l, m
}

func TestLeaseWaitsForARenewalInTheLog(t *testing.T) {
	now := epoch
	l, m := heldLease(t, now)
	acquire := &state.Acquire{Name: leaseName, Holder: "h"}
	p := &proposal{command: state.Command{Acquire: acquire}, term: testTerm}
	late := now.Add(expireAfter + time.Millisecond)
	require.Len(t, l.lapsed(m, late, expireAfter), 1)
	l.began(p)
	require.Empty(t, l.lapsed(m, late, expireAfter), "the Expire would follow a renewal that is about to be granted")
	l.ended(p)
	l.applied(p.command, m.Apply(p.command), late)
	require.Empty(t, l.lapsed(m, late, expireAfter))
	require.Len(t, l.lapsed(m, late.Add(expireAfter+time.Millisecond), expireAfter), 1)
}

func TestRenewalWaitsForAnExpireInTheLog(t *testing.T) {
	l, m := heldLease(t, epoch)
	acquire := &state.Acquire{Name: leaseName, Holder: "h"}
	require.True(t, l.renew(m, acquire, epoch))
	p := &proposal{command: state.Command{Expire: &state.Expire{Name: leaseName, Epoch: 1}}, term: testTerm}
	l.began(p)
	require.False(t, l.renew(m, acquire, epoch))
	l.ended(&proposal{command: p.command, term: testTerm - 1})
	require.False(t, l.renew(m, acquire, epoch), "an earlier term's Expire ends no wait of this term")
	l.ended(p)
	require.True(t, l.renew(m, acquire, epoch))
}

func TestNewLeaderExtendsAllLeases(t *testing.T) {
	l, m := heldLease(t, epoch)
	late := epoch.Add(expireAfter + time.Millisecond)
	l.reset(late, testTerm+1)
	require.Empty(t, l.lapsed(m, late, expireAfter))
}
