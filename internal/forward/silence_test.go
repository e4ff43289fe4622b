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

	"github.com/verbenastep/verbenastep/core/broker"
)

// Silences of sound upstreams in these tests: longer than the time after which the entry
// looks for a replacement, and far shorter than the callers' timeouts.
const (
	streamSilence   = maxStreamPause + 300*time.Millisecond
	responseSilence = minServiceResponseTimeout + 400*time.Millisecond
)

// streamWithSilence sends the first events of a stream, nothing for a while, and then the
// rest.
func streamWithSilence(silentAfter, to int, silence time.Duration) script {
	return func(c net.Conn, r *http.Request, _ string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for i := 1; i <= to; i++ {
			if i == silentAfter+1 {
				time.Sleep(silence)
			}
			e := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
}

// respondAfter responds after a silence.
func respondAfter(silence time.Duration, body string) script {
	return func(c net.Conn, r *http.Request, _ string) {
		time.Sleep(silence)
		respondWith(200, "", body)(c, r, "")
	}
}

func requireWholeStream(t *testing.T, out callResult, events int) {
	t.Helper()
	require.False(t, out.incomplete, "the stream was cut")
	require.Equal(t, http.StatusOK, out.status)
	want := strings.Builder{}
	for i := 1; i <= events; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: piece %d\n\n", i, i)
	}
	require.Equal(t, want.String(), out.body)
}

// TestSilentStreamIsKeptWithoutReplacement guards against a stream that is cut because its
// upstream was silent for a moment: the connection was closed before a replacement was
// granted, and none was.
func TestSilentStreamIsKeptWithoutReplacement(t *testing.T) {
	t.Parallel()
	r := newTestEntry(t, newUpstream(t, streamWithSilence(2, 5, streamSilence)))
	requireWholeStream(t, r.call("resumable", "b"), 5)
	require.Equal(t, []broker.Outcome{broker.Completed}, r.brokerClient.outcomes())
}

// TestSilentStreamIsKeptWithoutRetryBudget guards against the same cut where the retry
// budget allows no replacement.
func TestSilentStreamIsKeptWithoutRetryBudget(t *testing.T) {
	t.Parallel()
	second := newUpstream(t, streamEvents(3, 5, true))
	r := newTestEntry(t, newUpstream(t, streamWithSilence(2, 5, streamSilence)), second)
	none := 0.0
	r.service.retryBudgets.retry.Ratio, r.service.retryBudgets.retry.Slack = &none, 0
	requireWholeStream(t, r.call("resumable", "b"), 5)
	require.Zero(t, second.requests())
}

// TestSilentStreamIsKeptWhenReplacementsReject guards against the same cut where all
// replacements are full.
func TestSilentStreamIsKeptWhenReplacementsReject(t *testing.T) {
	t.Parallel()
	full := newUpstream(t, rejectNotRun)
	r := newTestEntry(t, newUpstream(t, streamWithSilence(2, 5, streamSilence)), full, full, full, full, full)
	requireWholeStream(t, r.call("resumable", "b"), 5)
}

// TestSilentCallIsAnsweredWithoutReplacement guards against a 502 for a repeatable request
// whose upstream takes longer than expected and is the only one.
func TestSilentCallIsAnsweredWithoutReplacement(t *testing.T) {
	t.Parallel()
	r := newTestEntry(t, newUpstream(t, respondAfter(responseSilence, "slow")))
	out := r.call("idempotent", "b")
	require.Equal(t, http.StatusOK, out.status)
	require.Equal(t, "slow", out.body)
}

// TestSilentStreamIsResumedElsewhere guards against a stream that waits for an upstream
// that will send nothing more, while another one is free.
func TestSilentStreamIsResumedElsewhere(t *testing.T) {
	t.Parallel()
	second := newUpstream(t, streamEvents(3, 5, true))
	r := newTestEntry(t, newUpstream(t, streamWithSilence(2, 5, time.Minute)), second)
	requireWholeStream(t, r.call("resumable", "b"), 5)
	require.Equal(t, "2", second.seen[0].Header.Get("Last"))
	require.Equal(t, []broker.Outcome{broker.TimedOut, broker.Completed}, r.brokerClient.outcomes())
}

// TestReplacementIsDroppedWhenUpstreamGoesOn guards against a stream that changes to a
// replacement, or is sent twice, although its first upstream goes on.
func TestReplacementIsDroppedWhenUpstreamGoesOn(t *testing.T) {
	t.Parallel()
	closed := make(chan struct{})
	second := newUpstream(t, func(c net.Conn, _ *http.Request, _ string) {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	r := newTestEntry(t, newUpstream(t, streamWithSilence(2, 5, streamSilence)), second)
	requireWholeStream(t, r.call("resumable", "b"), 5)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the replacement still runs after the stream has ended")
	}
	require.Equal(t, []broker.Outcome{broker.Canceled, broker.Completed}, r.brokerClient.outcomes())
}

// TestReplacementTakesOverFromBrokenUpstream guards against a request that is lost because
// its silent upstream breaks off while a replacement is being tried.
func TestReplacementTakesOverFromBrokenUpstream(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		end     script
		outcome broker.Outcome
	}{
		"closed":   {closeConnection, broker.ConnectionLost},
		"error":    {respondWith(500, "", "failed"), broker.UpstreamError},
		"rejected": {rejectNotRun, broker.Rejected},
	} {
		t.Run(name, func(t *testing.T) {
			first := newUpstream(t, func(conn net.Conn, r *http.Request, body string) {
				time.Sleep(responseSilence)
				c.end(conn, r, body)
			})
			r := newTestEntry(t, first, newUpstream(t, respondAfter(2*responseSilence, "second")))
			out := r.call("idempotent", "b")
			require.Equal(t, http.StatusOK, out.status)
			require.Equal(t, "second", out.body)
			require.Equal(t, []broker.Outcome{c.outcome, broker.Completed}, r.brokerClient.outcomes())
		})
	}
}

// TestServerErrorOfReplacementDoesNotEndRequest guards against a request that is answered
// with the error of a replacement while its first upstream still works on it.
func TestServerErrorOfReplacementDoesNotEndRequest(t *testing.T) {
	t.Parallel()
	r := newTestEntry(t, newUpstream(t, respondAfter(responseSilence, "slow")), newUpstream(t, respondWith(500, "", "failed")))
	out := r.call("idempotent", "b")
	require.Equal(t, http.StatusOK, out.status)
	require.Equal(t, "slow", out.body)
}

// TestOtherResponseDoesNotReplaceStream guards against a stream that is cut because the
// replacement answers its resumption with something else than a stream.
func TestOtherResponseDoesNotReplaceStream(t *testing.T) {
	t.Parallel()
	r := newTestEntry(t, newUpstream(t, streamWithSilence(2, 5, streamSilence)), newUpstream(t, respondWith(404, "", "no such stream")))
	requireWholeStream(t, r.call("resumable", "b"), 5)
}

// TestCallerDisconnectEndsBothAttempts guards against upstreams that go on with a request
// whose caller is gone while a replacement is being tried.
func TestCallerDisconnectEndsBothAttempts(t *testing.T) {
	t.Parallel()
	closed := make(chan struct{}, 2)
	untilClosed := func(c net.Conn, _ *http.Request, _ string) {
		_, _ = c.Read(make([]byte, 1))
		closed <- struct{}{}
	}
	second := newUpstream(t, untilClosed)
	r := newTestEntry(t, newUpstream(t, untilClosed), second)
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.server.URL+"/idempotent/x", strings.NewReader("b"))
	require.NoError(t, err)
	go func() {
		_, _ = http.DefaultClient.Do(req)
	}()
	require.Eventually(t, func() bool { return second.requests() == 1 }, 5*time.Second, 5*time.Millisecond)
	cancel()
	for range 2 {
		select {
		case <-closed:
		case <-time.After(500 * time.Millisecond):
			t.Fatal("an upstream still runs the request half a second after the caller disconnected")
		}
	}
}

// TestReplacementKeepsToMaxAttempts guards against a third upstream that runs a request
// which two may run: the timer of an upstream that had failed went on.
func TestReplacementKeepsToMaxAttempts(t *testing.T) {
	t.Parallel()
	third := newUpstream(t, respondWith(200, "", "third"))
	r := newTestEntry(t, newUpstream(t, respondWith(500, "", "failed")), newUpstream(t, respondAfter(2*responseSilence, "second")), third)
	require.Equal(t, "second", r.call("idempotent", "b").body)
	require.Zero(t, third.requests())
}
