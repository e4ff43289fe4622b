package entry

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/upstream"
)

// rawUpstream answers each connection with bytes of a test's choice and closes it. %s stands for
// the name of the stream.
type rawUpstream struct {
	// start answers the start of a stream or the call of a service, resume the further ones.
	start, resume string
}

// serveRaw starts a rawUpstream for a pool of the cluster.
func (c *cluster) serveRaw(t *testing.T, pool string, u rawUpstream) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	c.mu.Lock()
	c.upstreamAddresses[pool] = ln.Addr().String()
	c.mu.Unlock()
	go func() {
		stream := ""
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			text := u.resume
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil && stream == "" {
				start := upstream.Start{}
				_ = json.NewDecoder(r.Body).Decode(&start)
				stream, text = start.Stream+" ", u.start
			}
			_, _ = io.WriteString(conn, strings.ReplaceAll(text, "%s", strings.TrimSpace(stream)))
			_ = conn.Close()
		}
	}()
}

func frame(stream string, offset int, text string, end bool) string {
	f := upstream.Frame{Stream: stream, Offset: int64(offset), Text: text, End: end}
	if end {
		f.Finish = "stop"
	}
	data, _ := json.Marshal(f)
	return string(data) + "\n"
}

func chunked(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const (
	rawHead     = "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n\r\n"
	chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// TestBrokenAnswerHasNoForeignText guards against an error's text in the middle of an answer, and
// against one that looks complete: it broke off, and its resumption was answered with something
// else.
func TestBrokenAnswerHasNoForeignText(t *testing.T) {
	first := frame("%s", 0, "one", false)
	for how, start := range map[string]string{
		"between frames":     rawHead + first,
		"in a frame":         rawHead + first + strings.TrimSuffix(frame("%s", 3, "error-text", true), "}\n"),
		"in a chunk":         chunkedHead + "fff\r\n" + first,
		"error on same conn": rawHead + first + "HTTP/1.1 500 error-text\r\nContent-Length: 10\r\n\r\nerror-text",
	} {
		for name, resume := range map[string]string{
			"500":                 "HTTP/1.1 500 x\r\nContent-Length: 10\r\n\r\nerror-text",
			"400":                 "HTTP/1.1 400 x\r\nContent-Length: 10\r\n\r\nerror-text",
			"503":                 "HTTP/1.1 503 x\r\nContent-Length: 10\r\n\r\nerror-text",
			"200 plain":           "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nerror-text",
			"200 JSON":            "HTTP/1.1 200 OK\r\n\r\n{\"error\":\"error-text\",\"end\":true}\n",
			"200 JSON object":     "HTTP/1.1 200 OK\r\n\r\n{\"error\":{\"message\":\"error-text\"}}\n",
			"redirect":            "HTTP/1.1 302 x\r\nLocation: /error-text\r\nContent-Length: 0\r\n\r\n",
			"empty, no framing":   rawHead,
			"empty, length":       "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
			"empty, chunks":       chunkedHead + "0\r\n\r\n",
			"half a head":         "HTTP/1.1 200 OK\r\nContent-Ty",
			"closed":              "",
			"another stream":      rawHead + frame("another", 3, "error-text", true),
			"end too far on":      rawHead + frame("%s", 4, "error-text", true),
			"end from before":     rawHead + frame("%s", 0, "error-text", true),
			"half a frame":        rawHead + strings.TrimSuffix(frame("%s", 3, "error-text", true), "}\n"),
			"500 chunked and cut": "HTTP/1.1 500 x\r\nTransfer-Encoding: chunked\r\n\r\n20\r\nerror-text",
		} {
			t.Run(how+"/"+name, func(t *testing.T) {
				t.Parallel()
				c := newCluster(t)
				c.serveRaw(t, "logbook-model", rawUpstream{start: start, resume: resume})
				e := c.startEntry(t, "entry-1")
				got, _ := e.try("POST", "/v1/chat/completions", chatBody("draft", true), "Idempotency-Key", "k1")
				text, complete := joinDeltas(got.body)
				require.False(t, complete, "the stream looks complete: %s", got.body)
				require.Contains(t, []string{"", "one"}, text)
				require.NotContains(t, got.body, "error-text")
				require.NotContains(t, got.body, "HTTP/1.1")
			})
		}
	}
}

// TestErrorComesAfterStreamAsEvent guards against an error that is written into a stream as a
// response of its own, or as text: it comes as one event, without the end marker after it.
func TestErrorComesAfterStreamAsEvent(t *testing.T) {
	c := newCluster(t)
	c.serveRaw(t, "logbook-model", rawUpstream{start: rawHead + frame("%s", 0, "one", false), resume: "HTTP/1.1 500 x\r\nContent-Length: 10\r\n\r\nerror-text"})
	e := c.startEntry(t, "entry-1")
	got := e.do(t, "POST", "/v1/chat/completions", chatBody("draft", true), "Idempotency-Key", "k1")
	require.Equal(t, http.StatusOK, got.status)
	events := strings.Split(strings.TrimSpace(got.body), "\n\n")
	last := events[len(events)-1]
	data := last[strings.Index(last, "data: ")+len("data: "):]
	require.Equal(t, fault.Unknown, faultOf(t, data).Kind)
	for _, event := range events[:len(events)-1] {
		require.NotContains(t, event, "\"error\"")
	}
}

// TestCutReplyIsNoAnswer guards against a 200 with an empty or short body that is framed as whole:
// a service stopped anywhere in its reply and closed the connection.
func TestCutReplyIsNoAnswer(t *testing.T) {
	for kind, text := range map[string]string{
		"length":        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 10\r\n\r\n0123456789",
		"length first":  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nContent-Type: text/plain\r\n\r\n0123456789",
		"length 0":      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"chunks":        chunkedHead + chunked("01234") + "5;x=y\r\n56789\r\n0\r\n\r\n",
		"trailer":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n" + chunked("0123456789") + "0\r\nSum: 12\r\n\r\n",
		"after interim": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 x\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789",
		"no length":     "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n0123456789",
		"line feeds":    "HTTP/1.1 200 OK\nContent-Length: 10\n\n0123456789",
	} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			e := c.startEntry(t, "entry-1")
			for n := range len(text) {
				c.serveRaw(t, "register-api", rawUpstream{start: text[:n]})
				key := fmt.Sprint("k", n)
				got, err := e.try("POST", "/services/register-api/transfers", "{}", "Idempotency-Key", key)
				require.NoError(t, err)
				require.GreaterOrEqual(t, got.status, http.StatusInternalServerError, "looks whole, body %q, after %q", got.body, text[:n])
				require.Equal(t, fault.MayHaveRun, faultOf(t, got.body).Ran, "after %q", text[:n])
			}
		})
	}
}

// TestCutAnswerIsNoAnswer guards against the same for the answer of a model: as an object and as a
// stream.
func TestCutAnswerIsNoAnswer(t *testing.T) {
	frames := frame("%s", 0, "one", false) + frame("%s", 3, "two", true)
	for kind, text := range map[string]string{"no length": rawHead + frames, "after interim": "HTTP/1.1 103 x\r\nLink: a\r\n\r\n" + rawHead + frames} {
		for _, stream := range []bool{false, true} {
			// The end of the last line is not needed: the frame is whole without it.
			for n := 0; n < len(text)-1; n += 7 {
				t.Run(fmt.Sprintf("%s/stream %v/%d", kind, stream, n), func(t *testing.T) {
					t.Parallel()
					c := newCluster(t)
					c.serveRaw(t, "logbook-model", rawUpstream{start: text[:n], resume: "HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n"})
					e := c.startEntry(t, "entry-1")
					got := e.do(t, "POST", "/v1/chat/completions", chatBody("draft", stream), "Idempotency-Key", "k1")
					if !stream || got.status != http.StatusOK {
						require.GreaterOrEqual(t, got.status, http.StatusInternalServerError, got.body)
						return
					}
					answer, complete := joinDeltas(got.body)
					require.False(t, complete, got.body)
					require.Contains(t, []string{"", "one"}, answer)
				})
			}
		}
	}
}
