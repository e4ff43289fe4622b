package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/broker"
)

// wholeResponses are responses by how their end is marked; %s is the id of the request.
var wholeResponses = map[string]string{
	"length":         sealedHead + "Content-Length: 10\r\n\r\n0123456789",
	"length first":   "HTTP/1.1 200 x\r\nContent-Length: 10\r\nSeal: s\r\nId: %s\r\n\r\n0123456789",
	"length 0":       sealedHead + "Content-Length: 0\r\n\r\n",
	"chunks":         sealedHead + "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n5;x=y\r\n56789\r\n0\r\n\r\n",
	"trailer":        sealedHead + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\na\r\n0123456789\r\n0\r\nSum: 12\r\n\r\n",
	"empty chunks":   sealedHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"line feeds":     "HTTP/1.1 200 x\nId: %s\nSeal: s\nContent-Length: 10\n\n0123456789",
	"no length":      sealedHead + "\r\n",
	"no length, LF":  "HTTP/1.1 200 x\nId: %s\nSeal: s\n\n",
	"no reason":      "HTTP/1.1 200\r\nId: %s\r\nSeal: s\r\nContent-Length: 10\r\n\r\n0123456789",
	"folded":         sealedHead + "Other: a\r\n b\r\nContent-Length: 10\r\n\r\n0123456789",
	"stream":         chunkedStreamHead + "15\r\nid: 1\ndata: piece 1\n\n\r\n0\r\n\r\n",
	"stream, length": sealedHead + "Content-Type: text/event-stream\r\nContent-Length: 21\r\n\r\nid: 1\ndata: piece 1\n\n",
}

// cutWays are what precedes a cut response on its connection, which has carried a request before if
// isReused is set.
var cutWays = map[string]struct {
	before   string
	isReused bool
}{
	"first":                 {},
	"after interim answers": {before: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
	"behind a stray answer": {before: "HTTP/1.1 200 x\r\nId: another\r\nSeal: s\r\nContent-Length: 3\r\n\r\nold"},
	"reused":                {isReused: true},
	"reused, stray answer":  {before: "HTTP/1.1 200 x\r\nId: attempt-0\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n\r\n", isReused: true},
}

// cuttingUpstream answers attempt-0 and writes a part of a response to others, which it ends.
type cuttingUpstream struct {
	*scriptedUpstream
	part string
}

func newCuttingUpstream(t *testing.T, end func(net.Conn)) *cuttingUpstream {
	t.Helper()
	u := &cuttingUpstream{}
	u.scriptedUpstream = newUpstream(t, func(c net.Conn, r *http.Request, body string) {
		if r.Header.Get("Id") == "attempt-0" {
			respondWith(http.StatusOK, "", "first")(c, r, body)
			return
		}
		u.mu.Lock()
		part := u.part
		u.mu.Unlock()
		_, _ = io.WriteString(c, part)
		end(c)
	})
	return u
}

func (u *cuttingUpstream) setPart(part string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.part = part
}

// TestCutResponseIsNoAnswer guards against a 200 with an empty or short body that is framed as
// whole: the upstream stopped anywhere in its response and closed or reset the connection.
func TestCutResponseIsNoAnswer(t *testing.T) {
	t.Parallel()
	for kind, text := range wholeResponses {
		for way, w := range cutWays {
			for how, end := range map[string]func(net.Conn){"closed": closeInOrder, "reset": reset} {
				t.Run(kind+"/"+way+"/"+how, func(t *testing.T) {
					t.Parallel()
					u := newCuttingUpstream(t, end)
					r := newTestEntry(t)
					full := w.before + fmt.Sprintf(text, "attempt-1")
					step := map[string]int{"first": 1}[way]
					if step == 0 || how == "reset" {
						step = 5
					}
					for n := 0; n < len(full); n += step {
						u.setPart(full[:n])
						r.brokerClient.addresses = append(r.brokerClient.addresses, u.address(), u.address())
						if w.isReused {
							require.Equal(t, "first", r.call("once", "b", "Id", "attempt-0").body)
						} else {
							r.brokerClient.granted++
						}
						requireNoAnswer(t, r.call("once", "b"), full[:n])
						outcomes := r.brokerClient.outcomes()
						require.NotEqual(t, broker.Completed, outcomes[len(outcomes)-1])
					}
				})
			}
		}
	}
}

// requireNoAnswer checks that a part of a response was not taken for a whole one.
func requireNoAnswer(t *testing.T, out callResult, part string) {
	t.Helper()
	if out.status == http.StatusOK {
		require.True(t, out.incomplete, "looks whole, body %q, after %q", out.body, part)
		require.Equal(t, "id: 1\ndata: piece 1\n\n", out.body)
		return
	}
	require.Equal(t, http.StatusBadGateway, out.status, "after %q: %s", part, out.body)
}

// TestCutResumptionIsNoAnswer guards against a stream that looks complete, or contains a part of
// a header: the upstream stopped in its answer to the resumption.
func TestCutResumptionIsNoAnswer(t *testing.T) {
	t.Parallel()
	const events = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
	full := fmt.Sprintf(chunkedStreamHead, "attempt-1") + chunk("id: 3\ndata: piece 3\n\n") + "0\r\n\r\n"
	for n := range len(full) {
		r := newTestEntry(t, newUpstream(t, streamEvents(1, 2, false)), newUpstream(t, writeThen(full[:n], closeInOrder)))
		out := r.call("resumable", "b")
		require.True(t, out.incomplete, "the stream looks complete, after %q", full[:n])
		require.Contains(t, []string{events, events + "id: 3\ndata: piece 3\n\n"}, out.body)
		r.server.Close()
	}
}
