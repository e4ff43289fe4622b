package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/broker"
)

// requireMalformed checks that the only answer to a request of a route is taken for none, and that a
// repeatable request is sent to another upstream after it.
func requireMalformed(t *testing.T, use func(*testEntry, *scriptedUpstream), route, answer string) {
	t.Helper()
	u := newUpstream(t, writeThen(answer, keepOpen))
	r := newTestEntry(t, u)
	use(r, u)
	out := r.call(route, "b")
	require.Equal(t, http.StatusBadGateway, out.status, "body %q, header %v", out.body, out.header)
	require.NotContains(t, out.body, "error-text")
	require.Equal(t, []broker.Outcome{broker.InvalidResponse}, r.brokerClient.outcomes())

	sound := newUpstream(t, respondWith(http.StatusOK, "", "sound"))
	r.brokerClient.addresses = append(r.brokerClient.addresses, u.address(), sound.address())
	require.Equal(t, "sound", r.call("idempotent", "b").body)
}

// TestStatusBelow100IsNoAnswer guards against an answer with an invalid status, such as 000: it is
// taken for an interim answer, and what follows it for the answer, be it the body.
func TestStatusBelow100IsNoAnswer(t *testing.T) {
	t.Parallel()
	const fields = "Id: attempt-1\r\nSeal: s\r\n"
	inner := "HTTP/1.1 200 x\r\n" + fields + "Content-Length: 10\r\n\r\nerror-text"
	for name, rest := range map[string]string{
		"length":             fields + "Content-Length: 10\r\n\r\nerror-text",
		"no body":            fields + "Content-Length: 0\r\n\r\n",
		"no fields":          "\r\n",
		"chunks":             fields + "Transfer-Encoding: chunked\r\n\r\n" + chunk("error-text") + "0\r\n\r\n",
		"stream":             fields + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("data: error-text\n\n") + "0\r\n\r\n",
		"answer in body":     fields + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(inner)) + inner,
		"answer after it":    "\r\n" + inner,
		"rejection":          "Id: attempt-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"of another request": "Id: attempt-0\r\nSeal: s\r\nContent-Length: 0\r\n\r\n" + inner,
	} {
		for _, status := range []string{"000", "001", "099", "+99"} {
			for path, use := range upstreamPaths {
				for way, before := range map[string]string{"first": "", "after an interim answer": "HTTP/1.1 103 Early Hints\r\n\r\n"} {
					t.Run(name+"/"+status+"/"+path+"/"+way, func(t *testing.T) {
						t.Parallel()
						for _, route := range []string{"once", "stream"} {
							requireMalformed(t, use, route, before+"HTTP/1.1 "+status+" x\r\n"+rest)
						}
					})
				}
			}
		}
	}
}

// malformedFields are header lines without a valid field name.
var malformedFields = map[string]string{
	"blank":                     "Oth er: a",
	"blank before the colon":    "Other : a",
	"tab before the colon":      "Other\t: a",
	"blank first":               " Other: a",
	"tab first":                 "\tOther: a",
	"control byte":              "Oth\x01er: a",
	"control byte first":        "\x02Other: a",
	"zero byte":                 "Oth\x00er: a",
	"delete":                    "Other\x7f: a",
	"carriage return":           "Oth\rer: a",
	"letter beyond ASCII":       "Oth\xe9r: a",
	"no name":                   ": a",
	"no colon":                  "Other",
	"length":                    "Content-Length : 3",
	"length, blank first":       " Content-Length: 3",
	"chunks":                    "Transfer-Encoding : chunked",
	"chunks, blank first":       "\tTransfer-Encoding: chunked",
	"control byte after length": "Content-Length\x0b: 3",
}

// TestMalformedFieldNameIsNoAnswer guards against an answer with an invalid field name in its head:
// the field is passed on, or ignored, and with it what it says of the body.
func TestMalformedFieldNameIsNoAnswer(t *testing.T) {
	t.Parallel()
	const status, fields = "HTTP/1.1 200 x\r\n", "Id: attempt-1\r\nSeal: s\r\n"
	body := "Content-Length: 10\r\n\r\nerror-text"
	events := "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("data: error-text\n\n") + "0\r\n\r\n"
	for name, field := range malformedFields {
		line := field + "\r\n"
		for way, answer := range map[string]string{
			"first":              status + line + fields + body,
			"between":            status + fields + line + body,
			"last":               status + fields + strings.Replace(body, "\r\n\r\n", "\r\n"+line+"\r\n", 1),
			"no length":          status + fields + line + "\r\nerror-text",
			"line feeds":         strings.ReplaceAll(status+fields+line+body, "\r\n", "\n"),
			"in a stream":        status + fields + line + events,
			"in a failure":       "HTTP/1.1 500 x\r\n" + fields + line + body,
			"in a rejection":     "HTTP/1.1 503 x\r\nNot-Run: 1\r\n" + line + "Content-Length: 0\r\n\r\n",
			"in an interim one":  "HTTP/1.1 103 x\r\nLink: a\r\n" + line + "\r\n" + status + fields + body,
			"after an interim":   "HTTP/1.1  103 x\r\nLink: a\r\n\r\n" + status + fields + line + body,
			"in a stray answer":  status + "Id: attempt-0\r\nSeal: s\r\n" + line + "Content-Length: 3\r\n\r\nold" + status + fields + body,
			"behind a long head": status + fields + "Long: " + strings.Repeat("a", 3*readBufferBytes) + "\r\n" + line + body,
		} {
			for path, use := range upstreamPaths {
				t.Run(name+"/"+way+"/"+path, func(t *testing.T) {
					t.Parallel()
					requireMalformed(t, use, "once", answer)
					requireMalformed(t, use, "stream", answer)
				})
			}
		}
	}
}

// TestMalformedTrailerIsNoEnd guards against a body that looks whole though its trailer has an invalid
// field name.
func TestMalformedTrailerIsNoEnd(t *testing.T) {
	t.Parallel()
	for name, field := range malformedFields {
		for path, use := range upstreamPaths {
			t.Run(name+"/"+path, func(t *testing.T) {
				t.Parallel()
				requireMalformed(t, use, "once", sealedHead+"Transfer-Encoding: chunked\r\n\r\n"+chunk("error-text")+"0\r\n"+field+"\r\n\r\n")
				u := newUpstream(t, writeThen(chunkedStreamHead+chunk("id: 1\ndata: a\n\n")+"0\r\n"+field+"\r\n\r\n", keepOpen))
				r := newTestEntry(t, u)
				use(r, u)
				out := r.call("stream", "b")
				require.True(t, out.incomplete, "the stream looks complete")
			})
		}
	}
}

// TestUnusualHeadStaysWhole guards against a sound answer that is refused, or loses its header, since
// its head is checked: it has rare names and values, comes after interim answers or in pieces, or
// is longer than the buffer.
func TestUnusualHeadStaysWhole(t *testing.T) {
	t.Parallel()
	const body = "Content-Length: 10\r\n\r\n0123456789"
	const events = "Content-Type: text/event-stream\r\n\r\ndata: a\n\n"
	status := "HTTP/1.1 200 x\r\nId: attempt-1\r\nSeal: s\r\n"
	for name, c := range map[string]struct{ before, line, field, value string }{
		"all bytes of names": {line: "X!#$%&'*+-.^_`|~09az: v", field: "X!#$%&'*+-.^_`|~09az", value: "v"},
		"no blank":           {line: "Other:v", field: "Other", value: "v"},
		"blanks around":      {line: "Other: \t v \t ", field: "Other", value: "v"},
		"blanks and colons":  {line: "Other: a b\tc: d : e", field: "Other", value: "a b\tc: d : e"},
		"beyond ASCII":       {line: "Other: \xe9\x80", field: "Other", value: "\xe9\x80"},
		"no value":           {line: "Other:", field: "Other"},
		"folded":             {line: "Other: a\r\n  b", field: "Other", value: "a b"},
		"folded by tab":      {line: "Other: a\r\n\tb", field: "Other", value: "a b"},
		"long":               {line: "Other: " + strings.Repeat("v", 3*readBufferBytes), field: "Other", value: strings.Repeat("v", 3*readBufferBytes)},
		"continue":           {before: "HTTP/1.1 100 Continue\r\n\r\n", line: "Other: v", field: "Other", value: "v"},
		"interim answers":    {before: strings.Repeat("HTTP/1.1 102 x\r\nOther: a\r\n\r\nHTTP/1.1 199 x\nLink: </a>\n\n", 20), line: "Other: v", field: "Other", value: "v"},
		"stray answer":       {before: "HTTP/1.1 200 x\r\nId: attempt-0\r\nSeal: s\r\nContent-Length: 12\r\n\r\n : a\r\n b : c", line: "Other: v", field: "Other", value: "v"},
	} {
		for path, use := range upstreamPaths {
			for kind, rest := range map[string]string{"body": body, "stream": events} {
				for way, step := range map[string]int{"at once": 1 << 20, "in pieces": 7} {
					t.Run(name+"/"+path+"/"+kind+"/"+way, func(t *testing.T) {
						t.Parallel()
						u := newUpstream(t, func(conn net.Conn, _ *http.Request, _ string) {
							for text := c.before + status + c.line + "\r\n" + rest; text != ""; {
								n := min(step, len(text))
								_, _ = io.WriteString(conn, text[:n])
								text = text[n:]
							}
							_ = conn.Close()
						})
						r := newTestEntry(t, u)
						use(r, u)
						out := r.call(map[string]string{"body": "once", "stream": "stream"}[kind], "b")
						require.False(t, out.incomplete)
						require.Equal(t, http.StatusOK, out.status, out.body)
						_, want, _ := strings.Cut(rest, "\r\n\r\n")
						require.Equal(t, want, out.body)
						require.Equal(t, c.value, out.header.Get(c.field))
					})
				}
			}
		}
	}
}

// TestOddAnswerIsPassedOn guards against an answer that is refused, or changed, for what is odd in it but
// leaves no doubt of its body: a status beyond those that are defined, chunks beside a length, another
// version.
func TestOddAnswerIsPassedOn(t *testing.T) {
	t.Parallel()
	const fields = "Id: attempt-1\r\nSeal: s\r\n"
	for name, c := range map[string]struct {
		answer string
		status int
	}{
		"status 299":             {"HTTP/1.1 299 x\r\n" + fields + "Content-Length: 4\r\n\r\nbody", 299},
		"status 600":             {"HTTP/1.1 600 x\r\n" + fields + "Content-Length: 4\r\n\r\nbody", 600},
		"status 999":             {"HTTP/1.1 999 x\r\n" + fields + "Content-Length: 4\r\n\r\nbody", 999},
		"chunks beside a length": {"HTTP/1.1 200 x\r\n" + fields + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("body") + "0\r\n\r\n", 200},
		"version 2.0":            {"HTTP/2.0 200 x\r\n" + fields + "Content-Length: 4\r\n\r\nbody", 200},
	} {
		for path, use := range upstreamPaths {
			t.Run(name+"/"+path, func(t *testing.T) {
				t.Parallel()
				u := newUpstream(t, writeThen(c.answer, keepOpen))
				r := newTestEntry(t, u)
				use(r, u)
				out := r.call("once", "b")
				require.False(t, out.incomplete)
				require.Equal(t, c.status, out.status)
				require.Equal(t, "body", out.body)
			})
		}
	}
}

// TestRejectionWithBrokenBodyIsOne guards against a request that is not sent to another upstream since
// the body of its rejection, whose head is complete, is broken.
func TestRejectionWithBrokenBodyIsOne(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 503 x\r\nId: attempt-1\r\nNot-Run: 1\r\n"
	for name, answer := range map[string]string{
		"cut":       head + "Content-Length: 10\r\n\r\nerror",
		"trailer":   head + "Transfer-Encoding: chunked\r\n\r\n0\r\nOth er: a\r\n\r\n",
		"no length": head + "\r\nerror",
	} {
		for path, use := range upstreamPaths {
			t.Run(name+"/"+path, func(t *testing.T) {
				t.Parallel()
				u := newUpstream(t, writeThen(answer, reset))
				r := newTestEntry(t, u, newUpstream(t, respondWith(http.StatusOK, "", "sound")))
				use(r, u)
				require.Equal(t, "sound", r.call("once", "b").body)
			})
		}
	}
}

// TestChunkedAnswerInHTTP10IsNoAnswer guards against a body with the sizes of its chunks in it: HTTP/1.0
// knows no chunks, so that recipients differ on where the body ends. Other answers in HTTP/1.0 stay whole.
func TestChunkedAnswerInHTTP10IsNoAnswer(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.0 200 x\r\nId: attempt-1\r\nSeal: s\r\n"
	chunked := "\r\n" + chunk("error-text") + "0\r\n\r\n"
	for path, use := range upstreamPaths {
		for name, rest := range map[string]string{
			"chunked":         "Transfer-Encoding: chunked\r\n" + chunked,
			"lower case":      "transfer-encoding:chunked\r\n" + chunked,
			"beside a length": "Content-Length: 10\r\nTransfer-Encoding: chunked\r\n" + chunked,
			"stream":          "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + chunked,
		} {
			t.Run(path+"/"+name, func(t *testing.T) {
				t.Parallel()
				for _, text := range []string{head, strings.Replace(head, "1.0", "0.9", 1)} {
					requireMalformed(t, use, "once", text+rest)
					requireMalformed(t, use, "stream", text+rest)
				}
			})
		}
		for name, rest := range map[string]string{
			"length":    "Content-Length: 10\r\n\r\n0123456789",
			"no length": "\r\n0123456789",
			"like it":   "Transfer-Encodings: chunked\r\nX-Transfer-Encoding: chunked\r\nTransfer: a\r\n\r\n0123456789",
		} {
			t.Run(path+"/sound/"+name, func(t *testing.T) {
				t.Parallel()
				u := newUpstream(t, writeThen(head+rest, closeInOrder))
				r := newTestEntry(t, u)
				use(r, u)
				require.Equal(t, "0123456789", r.call("once", "b").body)
			})
		}
	}
}
