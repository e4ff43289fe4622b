package forward

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/broker"
)

// TestUnframedResponses guards against an answer with neither length nor chunks that is cut
// short and looks whole: it ends with its connection, and is whole unless that was reset or,
// of a stream, ended inside an event.
func TestUnframedResponses(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	send := func(text string, reset bool) script {
		return func(c net.Conn, r *http.Request, _ string) {
			fmt.Fprintf(c, text, r.Header.Get("Id"))
			if reset {
				time.Sleep(50 * time.Millisecond) // the text arrives before the reset
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}
	}
	for name, c := range map[string]struct {
		route, text string
		reset       bool
		whole       bool
		body        string
	}{
		"body":                   {route: "once", text: sealedHead + "\r\nall of it", whole: true, body: "all of it"},
		"body that is reset":     {route: "once", text: sealedHead + "\r\nall of it", reset: true},
		"empty body":             {route: "once", text: sealedHead + "\r\n", whole: true},
		"stream":                 {route: "stream", text: streamHead + events, whole: true, body: events},
		"stream, reset":          {route: "stream", text: streamHead + events, reset: true},
		"stream in an event":     {route: "stream", text: streamHead + events + "id: 3\nda"},
		"stream in a blank line": {route: "stream", text: streamHead + events + "id: 3\ndata: c\n"},
		"resumable, in an event": {route: "resumable", text: streamHead + events + "id: 3\nda"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newTestEntry(t, newUpstream(t, send(c.text, c.reset)))
			result := r.call(c.route, "body")
			if !c.whole {
				require.True(t, result.incomplete || result.status >= http.StatusInternalServerError, "status %d, body %q", result.status, result.body)
				require.NotContains(t, r.brokerClient.outcomes(), broker.Completed)
				return
			}
			require.False(t, result.incomplete)
			require.Equal(t, http.StatusOK, result.status)
			require.Equal(t, c.body, result.body)
			require.Equal(t, []broker.Outcome{broker.Completed}, r.brokerClient.outcomes())
		})
	}
}
