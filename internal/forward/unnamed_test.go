package forward

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/broker"
)

// TestUnnamedRejectionIsNotHeldAgainstUpstream guards against probation of a sound upstream that
// rejects requests on connections in use without naming them, against a second run of the request,
// which the rejection may not have meant, and against the loss of what it says of further requests.
func TestUnnamedRejectionIsNotHeldAgainstUpstream(t *testing.T) {
	t.Parallel()
	for name, head := range map[string]string{
		"not run": "HTTP/1.1 503 full\r\nNot-Run: 1\r\nLeaving: 1\r\nRetry-After: 7\r\n", "misdirected": "HTTP/1.1 421 other\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			reject := func(c net.Conn, _ *http.Request, _ string) {
				_, _ = io.WriteString(c, head+"Content-Length: 0\r\n\r\n")
			}
			u, other := newUpstream(t, respondWith(http.StatusOK, "", "a"), reject), newUpstream(t, respondWith(http.StatusOK, "", "b"))
			r := newTestEntry(t, u, u, other)
			require.Equal(t, http.StatusOK, r.call("idempotent", "b").status)
			out := r.call("once", "b", "Id", "attempt-2")
			require.Equal(t, http.StatusBadGateway, out.status, "the request may have run")
			require.Zero(t, other.requests())
			require.Equal(t, []broker.Outcome{broker.Completed, broker.UnclearRejection}, r.brokerClient.outcomes())
			if name == "not run" {
				end := r.brokerClient.ends[1]
				require.True(t, end.Leaving)
				require.Greater(t, end.RetryAfter, 6*time.Second)
			}
		})
	}
}
