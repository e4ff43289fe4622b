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
)

// answerAfter sends other bytes, and then the answer to the request.
func answerAfter(other string, answered chan<- struct{}) script {
	return func(c net.Conn, r *http.Request, _ string) {
		_, _ = io.WriteString(c, other)
		time.Sleep(20 * time.Millisecond) // the other bytes are read by themselves
		respondWith(http.StatusOK, "", "own")(c, r, "")
		answered <- struct{}{}
	}
}

// TestLateCopyAnswersNoOtherRequest guards against an answer that is not the caller's own: a
// second copy of the one before comes on the connection that carries the next request (report
// 1); and against a request that runs twice since the copy says that it did not run.
func TestLateCopyAnswersNoOtherRequest(t *testing.T) {
	t.Parallel()
	const first = "HTTP/1.1 200 OK\r\nId: attempt-0\r\nSeal: s\r\n"
	for name, late := range map[string]string{
		"whole":                     first + "Content-Length: 5\r\n\r\nstale",
		"two copies":                strings.Repeat(first+"Content-Length: 5\r\n\r\nstale", 2),
		"without an id":             "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 5\r\n\r\nstale",
		"rejection without an id":   "HTTP/1.1 503 x\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"misdirected, without id":   "HTTP/1.1 421 x\r\nContent-Length: 0\r\n\r\n",
		"half a body":               first + "Content-Length: 5000\r\n\r\nstale",
		"half a header":             first + "Other: sta",
		"half a header, no id":      "HTTP/1.1 409 Conflict\r\nSeal: s\r\nOther: sta",
		"half a status line":        "HTTP/1.1 409 Con",
		"stream":                    first + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\ne\r\ndata: stale\n\n\r\n0\r\n\r\n",
		"half a stream":             first + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\ne\r\ndata: st",
		"stream without an id":      "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\ne\r\ndata: stale\n\n\r\n0\r\n\r\n",
		"body without framing":      first + "\r\nstale",
		"interim answer, then copy": "HTTP/1.1 102 x\r\n\r\n" + first + "Content-Length: 5\r\n\r\nstale",
	} {
		for _, route := range []string{"once", "idempotent", "stream"} {
			t.Run(name+" "+route, func(t *testing.T) {
				t.Parallel()
				answered := make(chan struct{}, 4)
				u := newUpstream(t, respondWith(http.StatusOK, "", "first"), answerAfter(late, answered))
				other := newUpstream(t, respondWith(http.StatusOK, "", "own"))
				r := newTestEntry(t, u, u, other, other)
				require.Equal(t, "first", r.call("once", "b", "Id", "attempt-0").body)
				out := r.call(route, "b", "Id", "attempt-1", "Wait", "1500")
				<-answered
				require.Equal(t, 1, u.conns, "the connection was in use again")
				if out.status == http.StatusOK {
					require.Equal(t, "own", out.body)
				} else {
					require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, out.status, "it may have run")
				}
				if route != "idempotent" {
					require.Zero(t, other.requests(), "it may not run twice")
				}
			})
		}
	}
}

// TestAnswerWithoutIDOfUpstreamThatNamesNone guards against answers that are lost since their
// upstream names no requests at all.
func TestAnswerWithoutIDOfUpstreamThatNamesNone(t *testing.T) {
	t.Parallel()
	anonymous := func(c net.Conn, _ *http.Request, _ string) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 1\r\n\r\na")
	}
	u := newUpstream(t, anonymous)
	r := newTestEntry(t, u, u, u)
	for range 3 {
		require.Equal(t, "a", r.call("once", "b").body)
	}
	require.Equal(t, 1, u.conns)
}

// drip sends a text and then bytes that complete nothing, until the connection is closed.
func drip(beginning, text string, closed chan<- struct{}) script {
	return func(c net.Conn, r *http.Request, _ string) {
		defer close(closed)
		fmt.Fprintf(c, beginning, r.Header.Get("Id"))
		for {
			time.Sleep(20 * time.Millisecond)
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}
}

// TestDrippingUpstreamEnds guards against an answer that never ends: its upstream sends a byte
// now and then and completes nothing (report 3).
func TestDrippingUpstreamEnds(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ beginning, text string }{
		"status line":   {"HTTP/1.1 200 %.0s", "x"},
		"header":        {sealedHead + "Other: ", "x"},
		"body":          {sealedHead + "Content-Length: 100000\r\n\r\n", "x"},
		"event":         {streamHead + "id: 1\ndata: a\n\nid: 2\ndata: ", "x"},
		"comment lines": {streamHead + "id: 1\ndata: a\n\n", ": wait\n"},
		"blank lines":   {streamHead + "id: 1\ndata: a\n\n", "\n"},
	} {
		for _, route := range []string{"once", "stream", "idempotent", "resumable"} {
			t.Run(name+" "+route, func(t *testing.T) {
				t.Parallel()
				closed := make(chan struct{})
				second := newUpstream(t, respondWith(http.StatusOK, "", "second"))
				r := newTestEntry(t, newUpstream(t, drip(c.beginning, c.text, closed)), second)
				out := r.call(route, "b", "Wait", "1000")
				if second.requests() == 0 {
					require.True(t, out.incomplete || out.status == http.StatusGatewayTimeout, "status %d, body %q", out.status, out.body)
				}
				select {
				case <-closed:
				case <-time.After(2 * time.Second):
					t.Fatal("the upstream goes on after the request's deadline")
				}
			})
		}
	}
}

// TestSlowStreamIsWhole guards against a sound stream that is cut since its first event is
// late or its events are far apart, within the route's time (report 3).
func TestSlowStreamIsWhole(t *testing.T) {
	t.Parallel()
	for _, route := range []string{"stream", "resumable"} {
		for name, silentAfter := range map[string]int{"first event": 0, "pause": 2} {
			t.Run(route+" "+name, func(t *testing.T) {
				t.Parallel()
				r := newTestEntry(t, newUpstream(t, streamWithSilence(silentAfter, 4, 2*streamSilence)))
				requireWholeStream(t, r.call(route, "b"), 4)
			})
		}
	}
}

// TestLostAnswerIsNoRefusal guards against a caller that is told its request did not run, or a
// request that runs again, after an answer was lost (report 5): also where the next upstream
// rejects the request, is not reached or is not granted.
func TestLostAnswerIsNoRefusal(t *testing.T) {
	t.Parallel()
	lost := map[string]script{"connection lost": closeConnection, "no seal": func(c net.Conn, _ *http.Request, _ string) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}, "broken answer": func(c net.Conn, r *http.Request, _ string) {
		fmt.Fprintf(c, sealedHead+"Content-Length: 9\r\n\r\nhalf", r.Header.Get("Id"))
		_ = c.Close()
	}}
	unreachable := unreachableUpstream(t)
	for name, s := range lost {
		for next, upstreams := range map[string][]*scriptedUpstream{
			"rejected":    {newUpstream(t, rejectNotRun), newUpstream(t, rejectNotRun)},
			"misdirected": {newUpstream(t, respondWith(http.StatusMisdirectedRequest, "", ""))},
			"unreachable": {unreachable, unreachable},
			"not granted": nil,
		} {
			for _, route := range []string{"once", "stream", "idempotent", "resumable"} {
				t.Run(name+", "+next+" "+route, func(t *testing.T) {
					first := newUpstream(t, s)
					r := newTestEntry(t, append([]*scriptedUpstream{first}, upstreams...)...)
					require.Equal(t, http.StatusBadGateway, r.call(route, "b").status)
					require.Equal(t, 1, first.requests())
					if route == "once" || route == "stream" {
						require.Equal(t, 1, len(r.brokerClient.offers), "it may not run again")
					}
				})
			}
		}
	}
}
