package forward

import (
	"fmt"
	"io"
	"maps"
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

// resetAtOnce resets a connection, so that the write of the request may fail before the response is read.
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
	const tries = 5
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

// halfClose ends the sending side and reads on.
func halfClose(c net.Conn) {
	_ = c.(*net.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// halfCloseThenReset ends the sending side, and resets the connection once that has arrived.
func halfCloseThenReset(c net.Conn) {
	_ = c.(*net.TCPConn).CloseWrite()
	reset(c)
}

// halfCloseAndWait ends the sending side and reads nothing for a while.
func halfCloseAndWait(c net.Conn) {
	_ = c.(*net.TCPConn).CloseWrite()
	time.Sleep(10 * copyTime)
}

// TestEarlyAnswerStaysWhole guards against a sound answer that is refused since it came before its
// request was read: it has a length or chunks, or its upstream ended its side in order.
func TestEarlyAnswerStaysWhole(t *testing.T) {
	t.Parallel()
	const tries = 3
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	const last = "Connection: close\r\n"
	// It fits into the window of the connection: a reset would destroy the rest.
	long := strings.Repeat("0123456789", 2000)
	framed := map[string]func(net.Conn){"read on": func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }, "closed unread": closeUnread, "reset": reset, "half closed": halfClose}
	short := maps.Clone(framed)
	short["reset at once"] = resetAtOnce
	unframed := map[string]func(net.Conn){"half closed": halfClose, "half closed and silent": halfCloseAndWait, "half closed, then reset": halfCloseThenReset}
	for kind, c := range map[string]struct {
		route, text, body string
		ends              map[string]func(net.Conn)
	}{
		"length":           {"once", sealedHead + last + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(long)) + long, long, framed},
		"chunks":           {"once", sealedHead + last + "Transfer-Encoding: chunked\r\n\r\n" + chunk(long) + "0\r\n\r\n", long, framed},
		"failure":          {"once", "HTTP/1.1 413 x\r\nId: %s\r\nSeal: s\r\nConnection: close\r\nContent-Length: 5\r\n\r\nlarge", "large", short},
		"chunked stream":   {"stream", sealedHead + last + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(events) + "0\r\n\r\n", events, short},
		"no length":        {"once", sealedHead + "\r\n" + long, long, unframed},
		"empty, no length": {"once", sealedHead + "\r\n", "", unframed},
		"stream":           {"stream", streamHead + events, events, unframed},
		"resumable stream": {"resumable", streamHead + events, events, unframed},
	} {
		for path, use := range upstreamPaths {
			for how, end := range c.ends {
				t.Run(kind+"/"+path+"/"+how, func(t *testing.T) {
					t.Parallel()
					u := newEarlyUpstream(t, answerWhileUploading(c.text, end))
					r := newTestEntry(t, u)
					use(r, u)
					for range tries {
						r.brokerClient.addresses, r.brokerClient.granted = []string{u.address()}, 0
						out := r.call(c.route, strings.Repeat("u", uploadBytes))
						require.False(t, out.incomplete)
						require.Less(t, out.status, http.StatusInternalServerError, out.body)
						require.Equal(t, c.body, out.body)
					}
				})
			}
		}
	}
}
