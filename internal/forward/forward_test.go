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
	"github.com/verbenastep/verbenastep/core/limits"
)

func TestResponseIsRelayedUnchanged(t *testing.T) {
	u := newUpstream(t, respondWith(201, "Extra: e\r\nKeep-Alive: timeout=5\r\n", "hello"))
	r := newTestEntry(t, u)
	out := r.call("once", "the body", "Key", "secret", "Wait", "900")
	require.Equal(t, 201, out.status)
	require.Equal(t, "hello", out.body)
	require.Equal(t, "s", out.header.Get("Seal"))
	require.Equal(t, "e", out.header.Get("Extra"))
	require.Empty(t, out.header.Get("Keep-Alive"), "Keep-Alive applies to the upstream's connection only")
	seen := u.seen[0]
	require.Equal(t, "/once/x?q=1", seen.RequestURI)
	require.Equal(t, "the body", u.bodies[0])
	require.Equal(t, "attempt-1", seen.Header.Get("Id"))
	require.Empty(t, seen.Header.Get("Key"))
	require.Equal(t, "u-"+u.ln.Addr().String(), seen.Header.Get("Upstream"))
	left, err := time.ParseDuration(seen.Header.Get("Wait") + "ms")
	require.NoError(t, err)
	require.LessOrEqual(t, left, 900*time.Millisecond)
	require.Equal(t, []broker.Outcome{broker.Completed}, r.brokerClient.outcomes())
}

func TestNonRepeatableRequestIsSentOnce(t *testing.T) {
	for name, s := range map[string]script{"reset": closeConnection, "no seal": func(c net.Conn, _ *http.Request, _ string) {
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
				first, second := newUpstream(t, s), newUpstream(t, respondWith(200, "", "second"))
				r := newTestEntry(t, first, second)
				out := r.call(route, "b")
				require.Equal(t, http.StatusBadGateway, out.status, "neither 429 nor 503: the request may have run")
				require.Equal(t, 1, first.requests())
				require.Zero(t, second.requests())
			})
		}
	}
}

func TestRequestThatDidNotRunIsSentToAnotherUpstream(t *testing.T) {
	misdirected := respondWith(http.StatusMisdirectedRequest, "", "")
	for name, s := range map[string]script{"not run": rejectNotRun, "another process": misdirected} {
		t.Run(name, func(t *testing.T) {
			first, second := newUpstream(t, s), newUpstream(t, respondWith(200, "", "second"))
			r := newTestEntry(t, first, second)
			out := r.call("once", "b")
			require.Equal(t, 200, out.status)
			require.Equal(t, "second", out.body)
		})
	}
}

func TestRefusalStatusWhenNothingRan(t *testing.T) {
	r := newTestEntry(t, newUpstream(t, rejectNotRun))
	out := r.call("once", "b")
	require.Equal(t, http.StatusServiceUnavailable, out.status)
	require.NotEmpty(t, out.header.Get("Retry-After"))
	r = newTestEntry(t)
	r.brokerClient.refusal = fault.New(fault.Kind(broker.LimitExceeded), "retry later", "quota").After(250 * time.Millisecond)
	out = r.call("once", "b")
	require.Equal(t, http.StatusTooManyRequests, out.status)
	require.Equal(t, "0.250", out.header.Get("Retry-After"))
}

// TestNoRefusalAfterPossibleRun guards against a 503 or 429, which promise that
// nothing ran, for a repeatable request that failed at one upstream and was
// granted no other.
func TestNoRefusalAfterPossibleRun(t *testing.T) {
	r := newTestEntry(t, newUpstream(t, closeConnection))
	require.Equal(t, http.StatusBadGateway, r.call("idempotent", "b").status)
	r = newTestEntry(t, newUpstream(t, respondWith(500, "", "failed")))
	out := r.call("idempotent", "b")
	require.Equal(t, 500, out.status, "the upstream's sealed server error is relayed")
	require.Equal(t, "failed", out.body)
}

func TestRepeatableRequestIsTriedUpToMaxAttempts(t *testing.T) {
	first, second, third := newUpstream(t, closeConnection), newUpstream(t, closeConnection), newUpstream(t, respondWith(200, "", "third"))
	r := newTestEntry(t, first, second, third)
	require.Equal(t, http.StatusBadGateway, r.call("idempotent", "b").status)
	require.Zero(t, third.requests(), "the route allows two attempts")
	r = newTestEntry(t, newUpstream(t, closeConnection), newUpstream(t, respondWith(200, "", "second")))
	require.Equal(t, "second", r.call("idempotent", "b").body)
}

func TestResponseTimeoutRetriesRepeatableRequestsOnly(t *testing.T) {
	r := newTestEntry(t, newUpstream(t, sendNothing), newUpstream(t, respondWith(200, "", "second")))
	require.Equal(t, "second", r.call("idempotent", "b").body)
	require.Equal(t, []broker.Outcome{broker.TimedOut, broker.Completed}, r.brokerClient.outcomes())
	second := newUpstream(t, respondWith(200, "", "second"))
	r = newTestEntry(t, newUpstream(t, sendNothing), second)
	began := time.Now()
	out := r.call("brief", "b")
	require.Equal(t, http.StatusGatewayTimeout, out.status)
	require.Less(t, time.Since(began), 650*time.Millisecond, "half a second after the route's timeout at the latest")
	require.Zero(t, second.requests())
}

// TestResponseToAnotherRequestIsSkipped guards against a response that reaches the
// wrong caller: the upstream sends a second response to an earlier request when
// the response to the next one is expected.
func TestResponseToAnotherRequestIsSkipped(t *testing.T) {
	extra := func(c net.Conn, r *http.Request, _ string) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: attempt-0\r\nSeal: s\r\nContent-Length: 5\r\n\r\nstale")
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: 3\r\n\r\nown", r.Header.Get("Id"))
	}
	r := newTestEntry(t, newUpstream(t, extra))
	require.Equal(t, "own", r.call("once", "b").body)
}

func TestConnectionWithStrayBytesIsNotReused(t *testing.T) {
	stray := func(c net.Conn, r *http.Request, _ string) {
		respondWith(200, "", "one")(c, r, "")
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: attempt-1\r\nSeal: s\r\nContent-Length: 5\r\n\r\nextra")
	}
	u := newUpstream(t, stray, respondWith(200, "", "two"))
	r := newTestEntry(t, u, u)
	require.Equal(t, "one", r.call("once", "b").body)
	time.Sleep(20 * time.Millisecond)
	require.Equal(t, "two", r.call("once", "b").body, "a response to the first request must not answer another")
	require.Equal(t, 2, u.conns)
}

func TestConnectionIsUsedAgain(t *testing.T) {
	u := newUpstream(t, respondWith(200, "", "a"))
	r := newTestEntry(t, u, u, u)
	for range 3 {
		require.Equal(t, "a", r.call("once", "b").body)
	}
	require.Equal(t, 1, u.conns)
}

func TestEarlyResponseClosesConnection(t *testing.T) {
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
			// Respond before the long body is read, and keep the connection open.
			conns <- c
			_, _ = io.WriteString(c, "HTTP/1.1 413 x\r\nId: attempt-1\r\nSeal: s\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	r := newTestEntry(t)
	r.brokerClient.addresses = []string{early.Addr().String(), early.Addr().String()}
	long := strings.Repeat("x", 3<<20)
	require.Equal(t, 413, r.call("once", long).status)
	require.Equal(t, 413, r.call("once", "short").status)
	require.Len(t, conns, 2, "the rest of the first body would be read as the second request")
}

func TestStreamIsRelayedCompletely(t *testing.T) {
	r := newTestEntry(t, newUpstream(t, streamEvents(1, 5, true)))
	out := r.call("stream", "b")
	require.False(t, out.incomplete)
	require.Equal(t, 5, strings.Count(out.body, "data:"))
	require.Equal(t, "s1", out.header.Get("Seal"))
}

func TestBrokenStreamNeverLooksComplete(t *testing.T) {
	second := newUpstream(t, streamEvents(4, 5, true))
	r := newTestEntry(t, newUpstream(t, streamEvents(1, 3, false)), second)
	out := r.call("stream", "b")
	require.True(t, out.incomplete)
	require.Equal(t, 3, strings.Count(out.body, "data:"), "whole events only")
	require.NotContains(t, out.body, "99")
	require.Zero(t, second.requests())
}

func TestResumedStreamHasNoGapOrRepetition(t *testing.T) {
	second := newUpstream(t, streamEvents(3, 5, true))
	r := newTestEntry(t, newUpstream(t, streamEvents(1, 3, false)), second)
	out := r.call("resumable", "b")
	require.False(t, out.incomplete)
	require.Equal(t, "3", second.seen[0].Header.Get("Last"))
	want := ""
	for i := 1; i <= 5; i++ {
		want += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
	}
	require.Equal(t, want, out.body)
	require.Equal(t, "s1", out.header.Get("Seal"), "header and seal of the first upstream")
}

func TestResumedStreamWithGapIsAborted(t *testing.T) {
	r := newTestEntry(t, newUpstream(t, streamEvents(1, 3, false)), newUpstream(t, streamEvents(5, 6, true)))
	out := r.call("resumable", "b")
	require.True(t, out.incomplete)
	require.Equal(t, 3, strings.Count(out.body, "data:"))
}

func TestCallerDisconnectCancelsUpstreamRequest(t *testing.T) {
	closed := make(chan struct{})
	u := newUpstream(t, func(c net.Conn, _ *http.Request, _ string) {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	r := newTestEntry(t, u)
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
	case <-closed:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("upstream connection still open half a second after the caller disconnected")
	}
}

func TestWithoutRouteTableRequestIsUnavailable(t *testing.T) {
	r := newTestEntry(t)
	r.service.view = testView{}
	out := r.call("once", "b")
	require.Equal(t, http.StatusServiceUnavailable, out.status, "not 404 or 401, which only a route table can justify")
}

func TestUnknownRouteIsNotFound(t *testing.T) {
	require.Equal(t, http.StatusNotFound, newTestEntry(t).call("nowhere", "b").status)
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	const slack = 3
	r := newTestEntry(t)
	r.service.retryBudgets.retry.Slack = slack
	failing := newUpstream(t, closeConnection)
	for range 40 {
		r.brokerClient.addresses = append(r.brokerClient.addresses, failing.ln.Addr().String())
	}
	for range 20 {
		r.call("idempotent", "b")
	}
	retries := failing.requests() - 20
	require.LessOrEqual(t, float64(retries), 0.2*20+slack)
	require.Positive(t, retries)
}

// TestRestartsRenewNoRetryBudget guards against an entry that may use its whole part of the slack
// once more after each restart: the retries of all its processes count in the same window.
func TestRestartsRenewNoRetryBudget(t *testing.T) {
	const (
		restarts = 4
		requests = 20
		ratio    = 0.2
		slack    = 10
	)
	failing := newUpstream(t, closeConnection)
	for range restarts + 1 {
		r := newTestEntry(t)
		r.service.retryBudgets.retry.Slack = slack
		r.brokerClient.share = &limits.Part{Fraction: 1, Processes: 1}
		for range 2 * requests {
			r.brokerClient.addresses = append(r.brokerClient.addresses, failing.ln.Addr().String())
		}
		for range requests {
			r.call("idempotent", "b")
		}
	}
	all := (restarts + 1) * requests
	require.LessOrEqual(t, float64(failing.requests()-all), ratio*float64(all)+slack)
}
