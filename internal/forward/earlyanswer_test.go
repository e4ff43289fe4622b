package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/broker"
)

// uploadBytes is the length of a body that is still being written while its upstream reads nothing.
const uploadBytes = 4 << 20

// upstreamPaths are the ways of an entry to its upstreams.
var upstreamPaths = map[string]func(r *testEntry, u *scriptedUpstream){
	"direct": func(*testEntry, *scriptedUpstream) {},
	"tunnel": func(r *testEntry, u *scriptedUpstream) { r.useTunnels(u) },
}

// answerWhileUploading returns a script that answers at once and ends the connection while the body
// is being written.
func answerWhileUploading(text string, end func(net.Conn)) script {
	return func(c net.Conn, r *http.Request, _ string) {
		_, _ = fmt.Fprintf(c, text, r.Header.Get("Id"))
		end(c)
	}
}

// resetAtOnce resets a connection, so that the write of the request may be told before what was written
// is read.
func resetAtOnce(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// closeUnread closes a connection once what was written has arrived, and more of the request than was
// read: the kernel then resets it.
func closeUnread(c net.Conn) {
	time.Sleep(copyTime)
	_, _ = io.ReadFull(c, make([]byte, 1))
	_ = c.Close()
}

// TestResetDuringUploadIsNoAnswer guards against a part of an answer that looks whole: its upstream
// answered a long upload at once and without a length, and reset the connection while the upload was
// being written. The write takes the error of the connection, and the read finds a plain end.
func TestResetDuringUploadIsNoAnswer(t *testing.T) {
	t.Parallel()
	const tries = 10
	for kind, c := range map[string]struct{ route, text string }{
		"body":             {"once", sealedHead + "\r\na part"},
		"empty body":       {"once", sealedHead + "\r\n"},
		"repeatable":       {"idempotent", sealedHead + "\r\na part"},
		"failure":          {"once", "HTTP/1.1 500 x\r\nId: %s\r\nSeal: s\r\n\r\na part"},
		"stream":           {"stream", streamHead + "id: 1\ndata: a\n\n"},
		"resumable stream": {"resumable", streamHead + "id: 1\ndata: a\n\n"},
	} {
		for path, use := range upstreamPaths {
			for how, end := range map[string]func(net.Conn){"reset": reset, "closed unread": closeUnread, "reset at once": resetAtOnce} {
				t.Run(kind+"/"+path+"/"+how, func(t *testing.T) {
					t.Parallel()
					u := newEarlyUpstream(t, answerWhileUploading(c.text, end))
					r := newTestEntry(t, u)
					use(r, u)
					for range tries {
						r.brokerClient.addresses = []string{u.address(), u.address()}
						r.brokerClient.granted = 0
						out := r.call(c.route, strings.Repeat("u", uploadBytes))
						require.True(t, out.incomplete || out.status == http.StatusBadGateway, "looks whole: status %d, body %q", out.status, out.body)
						require.NotContains(t, r.brokerClient.outcomes(), broker.Completed)
					}
				})
			}
		}
	}
}
