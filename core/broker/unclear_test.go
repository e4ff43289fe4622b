package broker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestUnclearRejectionIsNeutral guards against probation and back off of an upstream for
// rejections that may have meant other requests.
func TestUnclearRejectionIsNeutral(t *testing.T) {
	b := newEngineBroker(1, 4)
	for n := range uint64(4 * probationFailures) {
		o := newEngineOffer(n, 10, 5, 5)
		b.Offer(0, o)
		require.Len(t, b.Decide(0).Grants, 1)
		b.End(0, End{ID: o.ID, Outcome: UnclearRejection})
	}
	u := b.pool("p").upstreams["u"]
	require.Equal(t, health{}, u.health)
	require.Empty(t, u.inFlight)
	require.Equal(t, 4, u.capacity(time.Second, 1))
}
