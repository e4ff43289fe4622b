package egress

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/internal/netfault"
)

// TestTunnelOpensAsAnotherCloses guards against an upstream that counts as not reached, and a
// request that is refused, since the connection between the entries ends with the tunnel before.
func TestTunnelOpensAsAnotherCloses(t *testing.T) {
	n := newTestNet(t, 2, 1)
	n.entries[0].path.Set(netfault.Reset)
	closing := sync.WaitGroup{}
	for range 4 {
		closing.Go(func() {
			for range 300 {
				c, err := n.dial(0, 0)
				if err != nil {
					t.Error(err)
					continue
				}
				require.NoError(t, c.Close())
			}
		})
	}
	closing.Wait()
}
