package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestMemoryIsGrantedByTier checks that waiters get memory in order of their
// tiers, that a canceled wait loses no bytes, and that a second release has no
// effect.
func TestMemoryIsGrantedByTier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryPool(10)
		release, err := m.acquire(t.Context(), 2, 10)
		require.NoError(t, err)
		order := make(chan int, 4)
		for _, tier := range []int{2, 0, 1} {
			go func() {
				releaseNext, err := m.acquire(t.Context(), tier, 10)
				if err == nil {
					order <- tier
					releaseNext()
				}
			}()
			synctest.Wait()
		}
		expiredCtx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = m.acquire(expiredCtx, 0, 10)
		require.Error(t, err)
		release()
		release()
		synctest.Wait()
		require.Equal(t, []int{0, 1, 2}, []int{<-order, <-order, <-order})
		require.Zero(t, m.reserved(10))
	})
}

// TestMemoryIsReleased guards against leaks of body memory after complete,
// refused and interrupted requests.
func TestMemoryIsReleased(t *testing.T) {
	c := newCluster(t)
	c.startRunner(t, 500)
	c.startService(t, 0)
	e := c.startEntry(t, "entry-1")
	require.Equal(t, http.StatusOK, e.do(t, "POST", "/v1/chat/completions", chatBody("draft #2", true)).status)
	require.Equal(t, http.StatusOK, postTransfer(t, e, "t1", "{}").status)
	require.Equal(t, http.StatusOK, postTransfer(t, e, "t1", "{}").status)
	require.Equal(t, http.StatusConflict, postTransfer(t, e, "t1", "{ }").status)
	require.Equal(t, http.StatusBadRequest, e.do(t, "POST", "/v1/chat/completions", "{").status)
	conn, err := net.Dial("tcp", e.Address())
	require.NoError(t, err)
	_, _ = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nContent-Length: 100\r\n\r\nhalf")
	require.Eventually(t, func() bool { return e.bodyMemory.reserved(DefaultBodyMemory) == 100 }, 5*time.Second, time.Millisecond)
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return e.bodyMemory.reserved(DefaultBodyMemory) == 0 }, 5*time.Second, time.Millisecond)
}
