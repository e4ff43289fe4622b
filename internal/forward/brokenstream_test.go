package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/routes"
)

// writeThen writes a text that may contain the id of the request, and ends the connection.
func writeThen(text string, end func(c net.Conn)) script {
	return func(c net.Conn, r *http.Request, _ string) {
		_, _ = io.WriteString(c, strings.Replace(text, "%s", r.Header.Get("Id"), 1))
		end(c)
	}
}

func keepOpen(net.Conn) {}

func closeInOrder(c net.Conn) { _ = c.Close() }

// reset lets what was written arrive, and resets the connection.
func reset(c net.Conn) {
	time.Sleep(copyTime)
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

const chunkedStreamHead = sealedHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// brokenStreams are streams of two events that break off.
var brokenStreams = map[string]string{
	"between events": "",
	"in an event":    chunk("id: 3\ndata: pie"),
	"in a chunk":     "1f\r\nid: 3\nda",
}

// badResumptions are answers to a resumption that do not continue a stream.
var badResumptions = map[string]script{
	"500":                    respondWith(500, "", "error-text"),
	"503 sealed":             respondWith(503, "", "error-text"),
	"400":                    respondWith(400, "", "error-text"),
	"404 stream":             respondWith(404, "Content-Type: text/event-stream\r\n", "data: error-text\n\n"),
	"200 plain":              respondWith(200, "", "error-text"),
	"200 plain, reset":       writeThen(sealedHead+"\r\nerror-text", reset),
	"200 plain, no length":   writeThen(sealedHead+"\r\nerror-text", closeInOrder),
	"500 chunked, cut":       writeThen("HTTP/1.1 500 x\r\nId: %s\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n20\r\nerror-text", closeInOrder),
	"unsealed 502":           writeThen("HTTP/1.1 502 x\r\nId: %s\r\nContent-Length: 10\r\n\r\nerror-text", keepOpen),
	"unsealed stream":        writeThen("HTTP/1.1 200 x\r\nId: %s\r\nContent-Type: text/event-stream\r\n\r\nid: 3\ndata: error-text\n\n", closeInOrder),
	"rejected":               rejectNotRun,
	"half a head":            writeThen(sealedHead+"Content-Ty", closeInOrder),
	"head only, closed":      writeThen(chunkedStreamHead, closeInOrder),
	"no event, no framing":   writeThen(streamHead, closeInOrder),
	"no event, reset":        writeThen(streamHead, reset),
	"blank lines, no frames": writeThen(streamHead+"\n\n", closeInOrder),
	"comment, no framing":    writeThen(streamHead+": error-text\n\n", closeInOrder),
	"closed":                 closeConnection,
	"error event":            writeThen(chunkedStreamHead+chunk("event: error\ndata: error-text\n\n")+"0\r\n\r\n", keepOpen),
	"error event, unframed":  writeThen(streamHead+"data: error-text\n\n", closeInOrder),
	"id of another kind":     writeThen(chunkedStreamHead+chunk("id: e\ndata: error-text\n\n")+"0\r\n\r\n", keepOpen),
	"event after a gap":      writeThen(streamHead+"id: 7\ndata: error-text\n\n", closeInOrder),
}

// TestBrokenStreamEndsAsBrokenOff guards against an error's text in a caller's stream, and against
// a stream that looks complete: it broke off, and its resumption was answered with something else.
func TestBrokenStreamEndsAsBrokenOff(t *testing.T) {
	t.Parallel()
	for how, rest := range brokenStreams {
		for name, resumption := range badResumptions {
			for way, silence := range map[string]time.Duration{"resumed": 0, "beside the silent one": streamSilence} {
				t.Run(how+"/"+name+"/"+way, func(t *testing.T) {
					t.Parallel()
					first := newUpstream(t, func(c net.Conn, r *http.Request, _ string) {
						fmt.Fprintf(c, chunkedStreamHead, r.Header.Get("Id"))
						_, _ = io.WriteString(c, chunk("id: 1\ndata: piece 1\n\n")+chunk("id: 2\ndata: piece 2\n\n"))
						time.Sleep(silence)
						_, _ = io.WriteString(c, rest)
						_ = c.Close()
					})
					second := newUpstream(t, resumption)
					r := newTestEntry(t, first, second, second)
					out := r.call("resumable", "b")
					require.Positive(t, second.requests())
					require.Equal(t, http.StatusOK, out.status)
					require.Equal(t, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n", out.body)
					require.True(t, out.incomplete, "the stream looks complete")
				})
			}
		}
	}
}

// TestResumptionThatIsRefusedBreaksOff guards against the same where no upstream is granted or
// reached for the resumption.
func TestResumptionThatIsRefusedBreaksOff(t *testing.T) {
	t.Parallel()
	unreachable := unreachableUpstream(t)
	for name, others := range map[string][]*scriptedUpstream{"not granted": nil, "not reached": {unreachable, unreachable}} {
		for _, route := range []string{"stream", "resumable"} {
			t.Run(name+" "+route, func(t *testing.T) {
				t.Parallel()
				r := newTestEntry(t, append([]*scriptedUpstream{newUpstream(t, streamEvents(1, 2, false))}, others...)...)
				out := r.call(route, "b")
				require.Equal(t, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n", out.body)
				require.True(t, out.incomplete, "the stream looks complete")
			})
		}
	}
}

// TestStreamIsResumedAfterUnsuitableAnswer guards against a stream that is cut, though an upstream
// would go on with it, for an answer to its resumption that is no stream or none that continues it.
func TestStreamIsResumedAfterUnsuitableAnswer(t *testing.T) {
	t.Parallel()
	table := testTable()
	for i := range table.Routes {
		table.Routes[i].MaxAttempts = 3
	}
	for name, resumption := range badResumptions {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newTestEntry(t, newUpstream(t, streamEvents(1, 2, false)), newUpstream(t, resumption), newUpstream(t, streamEvents(3, 5, true)))
			r.service.view = testView{routes.NewIndex(table)}
			requireWholeStream(t, r.call("resumable", "b"), 5)
		})
	}
}

// TestCommentDoesNotResumeStream guards against a resumption that is given up, or ended, for the
// comments before its first event.
func TestCommentDoesNotResumeStream(t *testing.T) {
	t.Parallel()
	r := newTestEntry(t, newUpstream(t, streamEvents(1, 2, false)), newUpstream(t, headerThen(func(c net.Conn) {
		_, _ = io.WriteString(c, chunk(": wait\n\n")+chunk("id: 3\ndata: piece 3\n\n")+"0\r\n\r\n")
	})))
	requireWholeStream(t, r.call("resumable", "b"), 3)
}

// TestStreamWithoutIDsIsNotRepeated guards against events that come twice: a stream whose events
// have no ids can't be resumed after the last one.
func TestStreamWithoutIDsIsNotRepeated(t *testing.T) {
	t.Parallel()
	second := newUpstream(t, writeThen(chunkedStreamHead+chunk("data: a\n\n")+"0\r\n\r\n", keepOpen))
	r := newTestEntry(t, newUpstream(t, writeThen(chunkedStreamHead+chunk("data: a\n\n"), closeInOrder)), second)
	out := r.call("resumable", "b")
	require.Equal(t, "data: a\n\n", out.body)
	require.True(t, out.incomplete, "the stream looks complete")
	require.Zero(t, second.requests())
}

// TestErrorIsNotWrittenIntoStream guards against the text of an error of the entry in a stream
// whose header the caller has.
func TestErrorIsNotWrittenIntoStream(t *testing.T) {
	r := newTestEntry(t)
	w := httptest.NewRecorder()
	x := &exchange{s: r.service, request: &request{}, w: w, ctx: context.Background(), stream: stream{headerSent: true}}
	for _, err := range []error{overloaded(), io.EOF} {
		require.PanicsWithError(t, http.ErrAbortHandler.Error(), func() { x.endWithoutUpstream(err) })
	}
	require.Empty(t, w.Body.String())
}

// TestEmptyResumptionDoesNotEndUnfinishedStream guards against a stream that looks complete
// though a part of a further event has arrived: its resumption is answered with a whole stream
// without an event.
func TestEmptyResumptionDoesNotEndUnfinishedStream(t *testing.T) {
	t.Parallel()
	for how, rest := range map[string]string{
		"in an event": chunk("id: 3\ndata: pie"), "in a chunk": "1f\r\nid: 3\nda", "after a gap": chunk("id: 4\ndata: piece 4\n\n"),
	} {
		for name, empty := range map[string]string{
			"chunked": chunkedStreamHead + "0\r\n\r\n", "length": sealedHead + "Content-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n",
			"old event": chunkedStreamHead + chunk("id: 2\ndata: piece 2\n\n") + "0\r\n\r\n",
		} {
			for way, silence := range map[string]time.Duration{"resumed": 0, "beside the silent one": streamSilence} {
				t.Run(how+"/"+name+"/"+way, func(t *testing.T) {
					t.Parallel()
					first := newUpstream(t, func(c net.Conn, r *http.Request, _ string) {
						fmt.Fprintf(c, chunkedStreamHead, r.Header.Get("Id"))
						_, _ = io.WriteString(c, chunk("id: 1\ndata: piece 1\n\n")+chunk("id: 2\ndata: piece 2\n\n"))
						time.Sleep(silence)
						_, _ = io.WriteString(c, rest)
						time.Sleep(copyTime)
						_ = c.Close()
					})
					r := newTestEntry(t, first, newUpstream(t, writeThen(empty, keepOpen)))
					out := r.call("resumable", "b")
					require.Equal(t, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n", out.body)
					require.True(t, out.incomplete, "the stream looks complete")
				})
			}
		}
	}
}

// TestResponseInStreamIsNoEvent guards against the header of a response in a caller's stream: the
// upstream wrote an error, or another answer, in the middle of its stream.
func TestResponseInStreamIsNoEvent(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 500 x\r\nContent-Type: text/plain\r\nContent-Length: 10\r\n\r\nerror-text"
	const events = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
	for name, rest := range map[string]string{
		"between events": head,
		"in an id":       "id: 3" + head,
		"in a name":      "id: 3\ndat" + head,
		"in data":        "id: 3\ndata: pie" + head,
		"after data":     "id: 3\ndata: piece 3\n" + head,
		"a copy":         "id: 3\ndata: pie" + strings.Replace(chunkedStreamHead, "%s", "a", 1) + "\r\n" + events,
	} {
		for how, text := range map[string]string{
			"unframed": streamHead + events + rest,
			"chunk":    chunkedStreamHead + fmt.Sprintf("%x\r\n%s", len(events+rest), events+rest) + "\r\n0\r\n\r\n",
		} {
			for _, route := range []string{"stream", "resumable"} {
				t.Run(name+"/"+how+"/"+route, func(t *testing.T) {
					t.Parallel()
					r := newTestEntry(t, newUpstream(t, writeThen(text, closeInOrder)), newUpstream(t, streamEvents(3, 3, true)))
					out := r.call(route, "b")
					if route == "resumable" {
						requireWholeStream(t, out, 3)
						return
					}
					require.Equal(t, events, out.body)
					require.True(t, out.incomplete, "the stream looks complete")
				})
			}
		}
	}
}

// TestEventMayQuoteResponse guards against a stream that is cut since its text quotes a response.
func TestEventMayQuoteResponse(t *testing.T) {
	t.Parallel()
	const events = ": HTTP/1.1 500 x\nevent: text\nid: 1\ndata: HTTP/1.1 500 x\ndata: Content-Length: 10\nretry: 9\n\nx-version: 3\nid: 2\ndata: b\n\n"
	r := newTestEntry(t, newUpstream(t, writeThen(streamHead+events, closeInOrder)))
	out := r.call("stream", "b")
	require.Equal(t, events, out.body)
	require.False(t, out.incomplete)
}
