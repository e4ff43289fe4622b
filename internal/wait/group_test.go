package wait

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const idleTimeout = 10 * time.Second

// TestOperationsMayBeginWhileAnotherWaits guards against a data race, or a panic, where a request
// begins as its daemon stops and waits for those in progress.
func TestOperationsMayBeginWhileAnotherWaits(t *testing.T) {
	g := Group{}
	callers := sync.WaitGroup{}
	for range 8 {
		callers.Go(func() {
			for range 1000 {
				g.Begin()
				g.End()
			}
		})
		callers.Go(func() {
			for range 1000 {
				<-g.Idle()
			}
		})
	}
	callers.Wait()
}

// TestIdleWaitsForOperations guards against a stop that does not wait for what is in progress.
func TestIdleWaitsForOperations(t *testing.T) {
	g := Group{}
	<-g.Idle()
	release := make(chan struct{})
	g.Go(func() { <-release })
	idle := g.Idle()
	select {
	case <-idle:
		require.Fail(t, "an operation is in progress")
	default:
	}
	close(release)
	select {
	case <-idle:
	case <-time.After(idleTimeout):
		require.Fail(t, "no operation is in progress")
	}
}
