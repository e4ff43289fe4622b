package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/internal/egress"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// copyTime is longer than a copy of an answer needs to reach the entry.
const copyTime = 20 * time.Millisecond

// refusal returns an answer that says that the request with an id did not run.
type refusal func(id string) string

// copyingUpstream refuses requests and runs others. It counts the runs by request and keeps the
// refusals by connection.
type copyingUpstream struct {
	mu      sync.Mutex
	runs    map[string]int
	refused map[net.Conn]string
}

func newCopyingUpstream() *copyingUpstream {
	return &copyingUpstream{runs: map[string]int{}, refused: map[net.Conn]string{}}
}

func (u *copyingUpstream) count(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

// refuse refuses a request, and once more after a while if again is set.
func (u *copyingUpstream) refuse(f refusal, again time.Duration) script {
	return func(c net.Conn, r *http.Request, _ string) {
		text := f(r.Header.Get("Id"))
		u.mu.Lock()
		u.refused[c] = text
		u.mu.Unlock()
		_, _ = io.WriteString(c, text)
		if again > 0 {
			time.Sleep(again)
			_, _ = io.WriteString(c, text)
		}
	}
}

// run runs a request and answers it. Before that it writes what alter makes of the refusal that
// the connection has carried, if any.
func (u *copyingUpstream) run(alter func(string) string) script {
	return func(c net.Conn, r *http.Request, _ string) {
		u.mu.Lock()
		u.runs[r.Header.Get("Id")]++
		text := u.refused[c]
		u.mu.Unlock()
		if text != "" {
			_, _ = io.WriteString(c, alter(text))
		}
		time.Sleep(copyTime)
		respondWith(http.StatusOK, "", "own")(c, r, "")
	}
}

func copyOnce(text string) string  { return text }
func copyTwice(text string) string { return text + text }
func copyNever(string) string      { return "" }

func copyHalfBody(text string) string { return text[:len(text)-1] }

func copyHalfHead(text string) string {
	head, _, _ := strings.Cut(text, "Content-Length")
	return head
}

// inFlightEgress connects to upstreams over connections on which late bytes are on their way, as
// in a tunnel: none are there when the connection is checked.
type inFlightEgress struct{ *egress.Service }

type inFlightConn struct{ net.Conn }

func (inFlightConn) IsClean() bool { return true }

func (e inFlightEgress) Dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := e.Service.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return inFlightConn{c}, nil
}

// refusals returns refusals by name: with each status, with and without the request's id.
func refusals() map[string]refusal {
	out := map[string]refusal{}
	for name, line := range map[string]string{
		"503": "HTTP/1.1 503 full\r\nNot-Run: 1\r\n", "429": "HTTP/1.1 429 much\r\nNot-Run: 1\r\n", "421": "HTTP/1.1 421 other\r\n",
		"400": "HTTP/1.1 400 no id\r\nNot-Run: 1\r\n", "sealed 503": "HTTP/1.1 503 full\r\nNot-Run: 1\r\nSeal: s\r\n",
	} {
		out[name+" unnamed"] = func(string) string { return line + "Content-Length: 2\r\n\r\nno" }
		out[name+" named"] = func(id string) string { return line + "Id: " + id + "\r\nContent-Length: 2\r\n\r\nno" }
	}
	return out
}

// answerAs returns the script of an answer that names its request if a refusal does.
func answerAs(f refusal) script {
	return func(c net.Conn, r *http.Request, _ string) {
		head := "HTTP/1.1 200 x\r\nSeal: s\r\n"
		if id := r.Header.Get("Id"); strings.Contains(f(id), id) {
			head += "Id: " + id + "\r\n"
		}
		_, _ = io.WriteString(c, head+"Content-Length: 1\r\n\r\na")
	}
}

// useInFlightConns makes the copies of refusals reach the entry late.
func (r *testEntry) useInFlightConns() {
	r.service.conns.egress = inFlightEgress{egress.New(&settings.Settings{}, zap.NewNop())}
}

// TestCopyOfRefusalIsNoRefusal guards against a request that runs twice, or whose caller is told
// that it did not run: the upstream writes an earlier refusal once more on a connection that
// carries the request.
func TestCopyOfRefusalIsNoRefusal(t *testing.T) {
	t.Parallel()
	for name, f := range refusals() {
		for when, scripts := range map[string]func(u *copyingUpstream) []script{
			"copy":               func(u *copyingUpstream) []script { return []script{u.refuse(f, 0), u.run(copyOnce)} },
			"two copies":         func(u *copyingUpstream) []script { return []script{u.refuse(f, 0), u.run(copyTwice)} },
			"half a head":        func(u *copyingUpstream) []script { return []script{u.refuse(f, 0), u.run(copyHalfHead)} },
			"half a body":        func(u *copyingUpstream) []script { return []script{u.refuse(f, 0), u.run(copyHalfBody)} },
			"behind the refusal": func(u *copyingUpstream) []script { return []script{u.refuse(f, time.Nanosecond), u.run(copyNever)} },
			"while idle":         func(u *copyingUpstream) []script { return []script{u.refuse(f, copyTime), u.run(copyNever)} },
			"after an answer":    func(u *copyingUpstream) []script { return []script{u.refuse(f, 0), answerAs(f), u.run(copyOnce)} },
		} {
			for _, route := range []string{"once", "stream", "idempotent", "resumable"} {
				for _, inFlight := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s/%s/%s/in flight %v", name, when, route, inFlight), func(t *testing.T) {
						t.Parallel()
						u := newCopyingUpstream()
						list := scripts(u)
						first, other := newUpstream(t, list...), newUpstream(t, u.run(copyNever))
						r := newTestEntry(t, first, other, first, other)
						if len(list) > 2 {
							r.brokerClient.addresses = []string{first.address(), other.address(), first.address(), first.address(), other.address()}
						}
						if inFlight {
							r.useInFlightConns()
						}
						require.Equal(t, "own", r.call("once", "b", "Id", "attempt-0").body)
						if len(list) > 2 {
							require.Equal(t, "a", r.call("once", "b", "Id", "between").body)
						}
						time.Sleep(2 * copyTime)
						requireAnsweredOnce(t, r.call(route, "b"), u, route)
					})
				}
			}
		}
	}
}

// requireAnsweredOnce checks that a request which runs has its answer, or an error that promises
// nothing, and that it ran once if it may not be repeated.
func requireAnsweredOnce(t *testing.T, out callResult, u *copyingUpstream, route string) {
	t.Helper()
	if out.status == http.StatusOK {
		require.Equal(t, "own", out.body)
	} else {
		require.Equal(t, http.StatusBadGateway, out.status, out.body)
	}
	if route == "once" || route == "stream" {
		require.Equal(t, 1, u.count("attempt-1"), "runs")
	}
}

// TestCopyOfOwnRefusalIsNoRefusal guards against the same where one request comes to the same
// upstream again after it was refused there: the copy names the request.
func TestCopyOfOwnRefusalIsNoRefusal(t *testing.T) {
	t.Parallel()
	for name, f := range refusals() {
		for _, route := range []string{"once", "stream", "idempotent", "resumable"} {
			for _, inFlight := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/in flight %v", name, route, inFlight), func(t *testing.T) {
					t.Parallel()
					u := newCopyingUpstream()
					first := newUpstream(t, u.refuse(f, 0), u.run(copyOnce))
					r := newTestEntry(t, first, first, newUpstream(t, u.run(copyNever)))
					if inFlight {
						r.useInFlightConns()
					}
					requireAnsweredOnce(t, r.call(route, "b"), u, route)
				})
			}
		}
	}
}

// TestNamedRefusalsKeepConnections guards against a new connection for each refusal of an upstream
// that names the requests it refuses: under overload, it takes few new ones.
func TestNamedRefusalsKeepConnections(t *testing.T) {
	t.Parallel()
	const requests = 3 * maxUnserved
	full, other := newUpstream(t, newCopyingUpstream().refuse(refusals()["503 named"], 0)), newUpstream(t, respondWith(http.StatusOK, "", "own"))
	r := newTestEntry(t)
	r.service.retryBudgets.retry.Slack = 10 * requests
	for i := range requests {
		r.brokerClient.addresses = append(r.brokerClient.addresses, full.address(), other.address())
		require.Equal(t, "own", r.call("once", "b", "Id", fmt.Sprint(i)).body)
	}
	require.Equal(t, requests, full.requests())
	require.Equal(t, requests/maxUnserved, full.conns, "connections to the upstream that refuses all")
	require.Equal(t, 1, other.conns)
}

// TestUnnamedRefusalIsCertainOnNewConnection guards against a request that counts as one that may
// have run, and is lost, at each refusal of an upstream that names no request.
func TestUnnamedRefusalIsCertainOnNewConnection(t *testing.T) {
	t.Parallel()
	const requests = 10
	full, other := newUpstream(t, rejectNotRun), newUpstream(t, respondWith(http.StatusOK, "", "own"))
	r := newTestEntry(t)
	r.service.retryBudgets.retry.Slack = 10 * requests
	for range requests {
		r.brokerClient.addresses = append(r.brokerClient.addresses, full.address(), other.address())
		require.Equal(t, "own", r.call("once", "b").body)
	}
	require.Equal(t, requests, full.conns)
}

// TestCopyOfRefusalBesideSilentUpstream guards against a request that runs at more upstreams than its
// route allows: the replacement for a silent upstream is answered with a copy of an earlier refusal,
// and runs.
func TestCopyOfRefusalBesideSilentUpstream(t *testing.T) {
	t.Parallel()
	for name, f := range refusals() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := newCopyingUpstream()
			silent := func(c net.Conn, _ *http.Request, _ string) {
				time.Sleep(3 * responseSilence)
				_ = c.Close()
			}
			second := newUpstream(t, u.refuse(f, 0), answerAs(f), u.run(copyOnce))
			third := newUpstream(t, u.run(copyNever))
			r := newTestEntry(t, second, third, second, newUpstream(t, silent), second, third, third)
			require.Equal(t, "own", r.call("once", "b", "Id", "attempt-0").body)
			require.Equal(t, "a", r.call("once", "b", "Id", "between").body)
			out := r.call("idempotent", "b")
			require.Contains(t, []int{http.StatusOK, http.StatusBadGateway}, out.status)
			require.LessOrEqual(t, u.count("attempt-1"), 1, "runs besides that of the silent upstream")
		})
	}
}

// TestCopyOfUpstreamsOwnRefusalIsNoRefusal guards against a caller that gets an upstream's own 429,
// 503, 408 or 421, which promise that a request did not run, as a copy of the answer to another one.
func TestCopyOfUpstreamsOwnRefusalIsNoRefusal(t *testing.T) {
	t.Parallel()
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, route := range []string{"once", "stream"} {
			t.Run(fmt.Sprint(status, route), func(t *testing.T) {
				t.Parallel()
				u := newCopyingUpstream()
				own := func(string) string {
					return fmt.Sprintf("HTTP/1.1 %d x\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno", status)
				}
				first := newUpstream(t, u.refuse(own, 0), u.run(copyOnce))
				r := newTestEntry(t, first)
				require.GreaterOrEqual(t, r.call("once", "b", "Id", "attempt-0").status, http.StatusBadRequest)
				r.brokerClient.mu.Lock()
				r.brokerClient.addresses = append(r.brokerClient.addresses, first.address())
				r.brokerClient.mu.Unlock()
				requireAnsweredOnce(t, r.call(route, "b"), u, route)
			})
		}
	}
}
