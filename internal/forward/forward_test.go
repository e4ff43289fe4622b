package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/core/broker"
)

func TestAnswerIsPassedOnUnchanged(t *testing.T) {
	u := newUpstream(t, answerWith(201, "Extra: e\r\nKeep-Alive: timeout=5\r\n", "hello"))
	r := newRig(t, u)
	out := r.call("once", "the body", "Key", "secret", "Wait", "900")
	require.Equal(t, 201, out.status)
	require.Equal(t, "hello", out.body)
	require.Equal(t, "s", out.header.Get("Seal"))
	require.Equal(t, "e", out.header.Get("Extra"))
	require.Empty(t, out.header.Get("Keep-Alive"), "it concerns the other connection")
	seen := u.seen[0]
	require.Equal(t, "/once/x?q=1", seen.RequestURI)
	require.Equal(t, "the body", u.bodies[0])
	require.Equal(t, "attempt-1", seen.Header.Get("Id"))
	require.Empty(t, seen.Header.Get("Key"))
	require.Equal(t, "u-"+u.ln.Addr().String(), seen.Header.Get("Upstream"))
	left, err := time.ParseDuration(seen.Header.Get("Wait") + "ms")
	require.NoError(t, err)
	require.LessOrEqual(t, left, 900*time.Millisecond)
	require.Equal(t, []broker.Outcome{broker.Done}, r.work.outcomes())
}

func TestRequestThatMayNotRepeatIsSentOnce(t *testing.T) {
	for name, s := range map[string]script{"reset": reset, "nothing sealed": func(c net.Conn, _ *http.Request, _ string) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
	}, "cut": func(c net.Conn, _ *http.Request, _ string) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 9\r\n\r\nno")
		_ = c.Close()
	}, "no answer": func(c net.Conn, _ *http.Request, _ string) {
		_, _ = io.WriteString(c, "garbage\r\n\r\n")
		_ = c.Close()
	}} {
		for _, route := range []string{"once", "stream"} {
			t.Run(route+" "+name, func(t *testing.T) {
				first, second := newUpstream(t, s), newUpstream(t, answerWith(200, "", "second"))
				r := newRig(t, first, second)
				out := r.call(route, "b")
				require.Equal(t, http.StatusBadGateway, out.status, "neither 429 nor 503: it may have run")
				require.Equal(t, 1, first.requests())
				require.Zero(t, second.requests())
			})
		}
	}
}

func TestRequestThatDidNotRunMayGoElsewhere(t *testing.T) {
	misdirected := answerWith(http.StatusMisdirectedRequest, "", "")
	for name, s := range map[string]script{"not run": notRun, "another process": misdirected} {
		t.Run(name, func(t *testing.T) {
			first, second := newUpstream(t, s), newUpstream(t, answerWith(200, "", "second"))
			r := newRig(t, first, second)
			out := r.call("once", "b")
			require.Equal(t, 200, out.status)
			require.Equal(t, "second", out.body)
		})
	}
}

func TestRefusalPromisesThatNothingRan(t *testing.T) {
	r := newRig(t, newUpstream(t, notRun))
	out := r.call("once", "b")
	require.Equal(t, http.StatusServiceUnavailable, out.status)
	require.NotEmpty(t, out.header.Get("Retry-After"))
	r = newRig(t)
	r.work.refusal = fault.New(fault.Kind(broker.Limited), "come back", "quota").After(250 * time.Millisecond)
	out = r.call("once", "b")
	require.Equal(t, http.StatusTooManyRequests, out.status)
	require.Equal(t, "0.250", out.header.Get("Retry-After"))
}

// TestRefusalAfterARunPromisesNothing has a repeatable request fail at one
// upstream and find no other: it ran, so neither 503 nor 429 may be said.
func TestRefusalAfterARunPromisesNothing(t *testing.T) {
	r := newRig(t, newUpstream(t, reset))
	require.Equal(t, http.StatusBadGateway, r.call("idempotent", "b").status)
	r = newRig(t, newUpstream(t, answerWith(500, "", "failed")))
	out := r.call("idempotent", "b")
	require.Equal(t, 500, out.status, "the upstream's own failure, sealed, is passed on")
	require.Equal(t, "failed", out.body)
}

func TestRepeatableRequestIsTriedAtAsManyUpstreamsAsAllowed(t *testing.T) {
	first, second, third := newUpstream(t, reset), newUpstream(t, reset), newUpstream(t, answerWith(200, "", "third"))
	r := newRig(t, first, second, third)
	require.Equal(t, http.StatusBadGateway, r.call("idempotent", "b").status)
	require.Zero(t, third.requests(), "the route allows two")
	r = newRig(t, newUpstream(t, reset), newUpstream(t, answerWith(200, "", "second")))
	require.Equal(t, "second", r.call("idempotent", "b").body)
}

func TestSilentUpstreamIsLeftOnlyWhereTheRequestMayRepeat(t *testing.T) {
	r := newRig(t, newUpstream(t, silent), newUpstream(t, answerWith(200, "", "second")))
	require.Equal(t, "second", r.call("idempotent", "b").body)
	require.Equal(t, []broker.Outcome{broker.Silent, broker.Done}, r.work.outcomes())
	second := newUpstream(t, answerWith(200, "", "second"))
	r = newRig(t, newUpstream(t, silent), second)
	began := time.Now()
	out := r.call("brief", "b")
	require.Equal(t, http.StatusGatewayTimeout, out.status)
	require.Less(t, time.Since(began), 650*time.Millisecond, "half a second after the route's timeout at the latest")
	require.Zero(t, second.requests())
}

// TestAnswerToAnotherRequestIsSkipped has an upstream send a second answer to
// the first request just when the second one is expected.
func TestAnswerToAnotherRequestIsSkipped(t *testing.T) {
	extra := func(c net.Conn, r *http.Request, _ string) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: attempt-0\r\nSeal: s\r\nContent-Length: 5\r\n\r\nstale")
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: 3\r\n\r\nown", r.Header.Get("Id"))
	}
	r := newRig(t, newUpstream(t, extra))
	require.Equal(t, "own", r.call("once", "b").body)
}

func TestConnectionWithStrayBytesIsNotUsedAgain(t *testing.T) {
	stray := func(c net.Conn, r *http.Request, _ string) {
		answerWith(200, "", "one")(c, r, "")
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: attempt-1\r\nSeal: s\r\nContent-Length: 5\r\n\r\nextra")
	}
	u := newUpstream(t, stray, answerWith(200, "", "two"))
	r := newRig(t, u, u)
	require.Equal(t, "one", r.call("once", "b").body)
	time.Sleep(20 * time.Millisecond)
	require.Equal(t, "two", r.call("once", "b").body, "an answer to the first request belongs to no other")
	require.Equal(t, 2, u.conns)
}

func TestConnectionIsUsedAgain(t *testing.T) {
	u := newUpstream(t, answerWith(200, "", "a"))
	r := newRig(t, u, u, u)
	for range 3 {
		require.Equal(t, "a", r.call("once", "b").body)
	}
	require.Equal(t, 1, u.conns)
}

func TestEarlyAnswerRetiresTheConnection(t *testing.T) {
	early, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer early.Close()
	conns := make(chan net.Conn, 2)
	go func() {
		for {
			c, err := early.Accept()
			if err != nil {
				return
			}
			// It answers before it has read the long body, and keeps the connection.
			_, _ = io.WriteString(c, "HTTP/1.1 413 x\r\nId: attempt-1\r\nSeal: s\r\nContent-Length: 0\r\n\r\n")
			conns <- c
		}
	}()
	r := newRig(t)
	r.work.addresses = []string{early.Addr().String(), early.Addr().String()}
	long := strings.Repeat("x", 3<<20)
	require.Equal(t, 413, r.call("once", long).status)
	require.Equal(t, 413, r.call("once", "short").status)
	require.Len(t, conns, 2, "the rest of the first body would be read as the second request")
}

func TestStreamIsPassedOnWhole(t *testing.T) {
	r := newRig(t, newUpstream(t, events(1, 5, true)))
	out := r.call("stream", "b")
	require.False(t, out.broken)
	require.Equal(t, 5, strings.Count(out.body, "data:"))
	require.Equal(t, "s1", out.header.Get("Seal"))
}

func TestBrokenStreamNeverLooksComplete(t *testing.T) {
	second := newUpstream(t, events(4, 5, true))
	r := newRig(t, newUpstream(t, events(1, 3, false)), second)
	out := r.call("stream", "b")
	require.True(t, out.broken)
	require.Equal(t, 3, strings.Count(out.body, "data:"), "whole events only")
	require.NotContains(t, out.body, "99")
	require.Zero(t, second.requests())
}

func TestResumableStreamGoesOnWithoutGapOrRepetition(t *testing.T) {
	second := newUpstream(t, events(3, 5, true))
	r := newRig(t, newUpstream(t, events(1, 3, false)), second)
	out := r.call("resumable", "b")
	require.False(t, out.broken)
	require.Equal(t, "3", second.seen[0].Header.Get("Last"))
	want := ""
	for i := 1; i <= 5; i++ {
		want += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
	}
	require.Equal(t, want, out.body)
	require.Equal(t, "s1", out.header.Get("Seal"), "header and seal of the first upstream")
}

func TestResumedStreamWithAGapIsCut(t *testing.T) {
	r := newRig(t, newUpstream(t, events(1, 3, false)), newUpstream(t, events(5, 6, true)))
	out := r.call("resumable", "b")
	require.True(t, out.broken)
	require.Equal(t, 3, strings.Count(out.body, "data:"))
}

func TestLeavingCallerEndsTheUpstreamsWork(t *testing.T) {
	left := make(chan struct{})
	u := newUpstream(t, func(c net.Conn, _ *http.Request, _ string) {
		_, _ = c.Read(make([]byte, 1))
		close(left)
	})
	r := newRig(t, u)
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.server.URL+"/once/x", strings.NewReader("b"))
	require.NoError(t, err)
	go func() {
		time.Sleep(50 * time.Millisecond)
		cancel()
	}()
	_, err = http.DefaultClient.Do(req)
	require.Error(t, err)
	select {
	case <-left:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the upstream still works half a second after its caller left")
	}
}

func TestWithoutATableNothingIsDenied(t *testing.T) {
	r := newRig(t)
	r.service.view = testView{}
	out := r.call("once", "b")
	require.Equal(t, http.StatusServiceUnavailable, out.status, "not 404 or 401: the entry does not know")
}

func TestUnknownRouteIsNotFound(t *testing.T) {
	require.Equal(t, http.StatusNotFound, newRig(t).call("nowhere", "b").status)
}

func TestRetryBudgetEndsRepeats(t *testing.T) {
	const slack = 3
	r := newRig(t)
	r.service.budgets.retry.Slack = slack
	failing := newUpstream(t, reset)
	for range 40 {
		r.work.addresses = append(r.work.addresses, failing.ln.Addr().String())
	}
	for range 20 {
		r.call("idempotent", "b")
	}
	repeats := failing.requests() - 20
	require.LessOrEqual(t, float64(repeats), 0.2*20+slack)
	require.Positive(t, repeats)
}
