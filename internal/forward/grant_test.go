package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/internal/port"
)

// upstreamBorn is the start time of the upstreams' processes in these tests.
const upstreamBorn = 5

// newNoticeEntry returns an entry whose broker grants the upstreams in order, as a broker
// does that has not heard of their notices. No retry is allowed.
func newNoticeEntry(t *testing.T, upstreams ...*scriptedUpstream) *testEntry {
	t.Helper()
	r := newTestEntry(t, upstreams...)
	r.brokerClient.born = upstreamBorn
	none := 0.0
	r.service.retryBudgets.retry.Ratio, r.service.retryBudgets.retry.Slack = &none, 0
	return r
}

// lastEnd returns the newest end of a grant with an outcome.
func (c *testBrokerClient) lastEnd(o broker.Outcome) broker.End {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.ends) - 1; i >= 0; i-- {
		if c.ends[i].Outcome == o {
			return c.ends[i]
		}
	}
	return broker.End{}
}

// TestLeavingUpstreamGetsNoFurtherRequests guards against requests to an upstream that said
// in an answer that it leaves, while the broker does not know it yet and goes on granting it.
func TestLeavingUpstreamGetsNoFurtherRequests(t *testing.T) {
	for name, s := range map[string]script{
		"answer": respondWith(200, "Leaving: 1\r\n", "first"),
		"error":  respondWith(404, "Leaving: 1\r\n", "first"),
		"answer cut short": func(c net.Conn, _ *http.Request, _ string) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nSeal: s\r\nLeaving: 1\r\nContent-Length: 9\r\n\r\nfir")
			_ = c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := newUpstream(t, s), newUpstream(t, respondWith(200, "", "second"))
			r := newNoticeEntry(t, first, first, first, second)
			r.call("once", "b")
			out := r.call("once", "b")
			require.Equal(t, http.StatusOK, out.status)
			require.Equal(t, "second", out.body)
			require.Equal(t, 1, first.requests())
			require.Equal(t, broker.End{Outcome: broker.NotSent, Leaving: true, Born: upstreamBorn}, r.brokerClient.lastEnd(broker.NotSent))
		})
	}
}

// TestRunningStreamTellsThatUpstreamLeaves guards against requests to an upstream that said
// so in the header of a stream which still runs, and against a stream that is cut for it.
func TestRunningStreamTellsThatUpstreamLeaves(t *testing.T) {
	started, goOn := make(chan struct{}), make(chan struct{})
	first := newUpstream(t, func(c net.Conn, r *http.Request, _ string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s1\r\nLeaving: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		close(started)
		<-goOn
		e := "id: 1\ndata: piece 1\n\n"
		fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(e), e)
	})
	r := newNoticeEntry(t, first, first, newUpstream(t, respondWith(200, "", "second")))
	streamed := make(chan callResult, 1)
	go func() { streamed <- r.call("stream", "b") }()
	<-started
	require.Eventually(t, func() bool {
		_, ok := r.service.notices.find(time.Now(), process{"p", "u-" + first.ln.Addr().String(), upstreamBorn})
		return ok
	}, 5*time.Second, time.Millisecond)
	require.Equal(t, "second", r.call("once", "b").body)
	require.Equal(t, 1, first.requests())
	close(goOn)
	requireWholeStream(t, <-streamed, 1)
	require.True(t, r.brokerClient.lastEnd(broker.Completed).Leaving)
}

// TestPausedUpstreamGetsNoRequests guards against requests to an upstream within the time
// for which it wants none, whether or not its 503 says that the request did not run.
func TestPausedUpstreamGetsNoRequests(t *testing.T) {
	for name, c := range map[string]struct {
		answer  script
		outcome broker.Outcome
	}{
		"not run": {respondWith(503, "Not-Run: 1\r\nRetry-After: 30\r\n", ""), broker.Rejected},
		"sealed":  {respondWith(503, "Retry-After: 30\r\n", ""), broker.UpstreamError},
		"no seal": {func(c net.Conn, _ *http.Request, _ string) {
			_, _ = io.WriteString(c, "HTTP/1.1 503 x\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n")
		}, broker.InvalidResponse},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := newUpstream(t, c.answer), newUpstream(t, respondWith(200, "", "second"))
			r := newNoticeEntry(t, first, first, second)
			r.call("once", "b")
			require.Equal(t, "second", r.call("once", "b").body)
			require.Equal(t, 1, first.requests())
			for _, o := range []broker.Outcome{c.outcome, broker.NotSent} {
				e := r.brokerClient.lastEnd(o)
				require.InDelta(t, 30, e.RetryAfter.Seconds(), 10)
				require.Equal(t, int64(upstreamBorn), e.Born)
			}
		})
	}
}

// TestAllUpstreamsExcludedIsRefused guards against a request that is sent to an excluded
// upstream, or never answered, where the pool has no other.
func TestAllUpstreamsExcludedIsRefused(t *testing.T) {
	first := newUpstream(t, respondWith(200, "Leaving: 1\r\n", "first"))
	second := newUpstream(t, respondWith(503, "Not-Run: 1\r\nRetry-After: 30\r\n", ""))
	r := newNoticeEntry(t, first, second, first, second)
	r.call("once", "b")
	r.call("once", "b")
	out := r.call("once", "b")
	require.Equal(t, http.StatusServiceUnavailable, out.status)
	require.NotEmpty(t, out.header.Get("Retry-After"))
	require.Equal(t, 1, first.requests())
	require.Equal(t, 1, second.requests())
}

// TestLaterProcessGetsRequests guards against an upstream that gets no requests after it has
// restarted under its id.
func TestLaterProcessGetsRequests(t *testing.T) {
	u := newUpstream(t, respondWith(200, "Leaving: 1\r\n", "first"), respondWith(200, "", "again"))
	r := newNoticeEntry(t, u, u)
	r.call("once", "b")
	r.brokerClient.born++
	require.Equal(t, "again", r.call("once", "b").body)
	require.False(t, r.brokerClient.lastEnd(broker.Completed).Leaving)
}

// TestNoticeOfAnotherProcessIsIgnored guards against an upstream that is left out since a
// process that took over its address said that it leaves.
func TestNoticeOfAnotherProcessIsIgnored(t *testing.T) {
	u := newUpstream(t, respondWith(421, "Leaving: 1\r\n", ""), respondWith(200, "", "own"))
	r := newNoticeEntry(t, u, u)
	r.call("once", "b")
	require.Equal(t, "own", r.call("once", "b").body)
}

// TestExcludedUpstreamIsNotConnected guards against a request that is refused since the
// leaving upstream which it is granted has closed its port.
func TestExcludedUpstreamIsNotConnected(t *testing.T) {
	first := newUpstream(t, respondWith(200, "Leaving: 1\r\nConnection: close\r\n", "first"))
	r := newNoticeEntry(t, first, first, newUpstream(t, respondWith(200, "", "second")))
	r.call("once", "b")
	require.NoError(t, first.ln.Close())
	require.Equal(t, "second", r.call("once", "b").body)
}

// TestNoticeDuringConnectionSetupIsKept guards against a request to an upstream that said
// after the grant that it leaves, while the connection to it was set up.
func TestNoticeDuringConnectionSetupIsKept(t *testing.T) {
	first, second := newUpstream(t, respondWith(200, "", "first")), newUpstream(t, respondWith(200, "", "second"))
	r := newNoticeEntry(t, first, second)
	r.service.conns.onDial = func() {
		r.service.notices.record(time.Now(), process{"p", "u-" + first.ln.Addr().String(), upstreamBorn}, ResponseMeta{Leaving: true})
	}
	require.Equal(t, "second", r.call("once", "b").body)
	require.Zero(t, first.requests())
}

// TestOffersAvoidReturnedUpstreams guards against a broker that grants the excluded upstream
// again, without end, and against a request that is charged no tokens after the broker has
// refunded those of the returned grant, or that is counted twice for a rollout.
func TestOffersAvoidReturnedUpstreams(t *testing.T) {
	u := newUpstream(t, respondWith(503, "Not-Run: 1\r\nRetry-After: 30\r\n", ""))
	r := newNoticeEntry(t, u, u)
	r.call("once", "b")
	q := &request{route: &testTable().Routes[0], pool: "p", header: http.Header{}, deadline: time.Now().Add(time.Second), remaining: func() time.Duration { return time.Second }}
	offer := port.BrokerOffer{Offer: broker.Offer{Pool: "p", QuotaCharge: 7, Avoid: []string{"tried"}}}
	a := r.service.newAttempt(context.Background(), q, offer, "", true)
	a.start()
	for range a.progress {
		// The attempt ends with the broker's refusal.
	}
	require.False(t, a.granted)
	id := "u-" + u.ln.Addr().String()
	offer.Avoid, offer.Counted = []string{"tried", id}, true
	require.Equal(t, offer, r.brokerClient.offers[2])
}

// TestNewOffersAvoidLeavingUpstreams guards against a grant that goes to and fro for each
// request while the broker does not know that an upstream leaves.
func TestNewOffersAvoidLeavingUpstreams(t *testing.T) {
	first := newUpstream(t, respondWith(200, "Leaving: 1\r\n", "first"))
	r := newNoticeEntry(t, first, newUpstream(t, respondWith(200, "", "second")))
	r.call("once", "b")
	r.call("once", "b")
	require.Equal(t, []string{"u-" + first.ln.Addr().String()}, r.brokerClient.offers[1].Avoid)
}

// TestNoticesAreLogged guards against a refused or redirected request whose cause no log
// shows, and against a line for each answer of a leaving upstream.
func TestNoticesAreLogged(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	u := newUpstream(t, respondWith(200, "Leaving: 1\r\n", "first"), respondWith(503, "Not-Run: 1\r\nRetry-After: 30\r\n", ""))
	r := newNoticeEntry(t, u, u, u)
	r.service.log = zap.New(core)
	r.call("once", "b")
	r.call("once", "b")
	lines := logs.FilterMessage("upstream leaves").All()
	require.Len(t, lines, 1)
	require.Equal(t, int64(upstreamBorn), lines[0].ContextMap()["born"])
	require.Len(t, logs.FilterMessage("grant returned").All(), 2)
	r.brokerClient.born++
	r.brokerClient.addresses = append(r.brokerClient.addresses, u.ln.Addr().String())
	r.call("once", "b")
	lines = logs.FilterMessage("upstream asks for a pause").All()
	require.Len(t, lines, 1)
	require.Equal(t, 30*time.Second, lines[0].ContextMap()["retry_after"])
}
