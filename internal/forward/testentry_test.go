package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/core/limits"
	"github.com/verbenastep/verbenastep/core/routes"
	"github.com/verbenastep/verbenastep/internal/accept"
	"github.com/verbenastep/verbenastep/internal/egress"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// script handles one request at an upstream. It may write any bytes and close the
// connection.
type script func(c net.Conn, r *http.Request, body string)

// scriptedUpstream is an upstream that runs one script per request, and the last
// script for all further requests.
type scriptedUpstream struct {
	ln      net.Listener
	mu      sync.Mutex
	scripts []script
	seen    []*http.Request
	bodies  []string
	conns   int
	// early is set if scripts begin before the body of their request is read.
	early bool
}

func newUpstream(t *testing.T, scripts ...script) *scriptedUpstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	u := &scriptedUpstream{ln: ln, scripts: scripts}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			u.conns++
			u.mu.Unlock()
			go u.serve(c)
		}
	}()
	return u
}

// newEarlyUpstream returns an upstream whose script begins once the header of a request has arrived.
// Its connections end with their first request.
func newEarlyUpstream(t *testing.T, s script) *scriptedUpstream {
	t.Helper()
	u := newUpstream(t, s)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.early = true
	return u
}

func (u *scriptedUpstream) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		u.mu.Lock()
		early := u.early
		u.mu.Unlock()
		body := []byte(nil)
		if !early {
			body, err = io.ReadAll(req.Body)
		}
		if err != nil {
			return
		}
		u.mu.Lock()
		next := u.scripts[0]
		if len(u.scripts) > 1 {
			u.scripts = u.scripts[1:]
		}
		u.seen = append(u.seen, req)
		u.bodies = append(u.bodies, string(body))
		u.mu.Unlock()
		next(c, req, string(body))
		if early {
			return
		}
	}
}

// unreachableUpstream returns an upstream whose address refuses connections and that no other
// listener gets meanwhile: it is bound.
func unreachableUpstream(t *testing.T) *scriptedUpstream {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	name, err := unix.Getsockname(fd)
	require.NoError(t, err)
	return &scriptedUpstream{ln: boundListener{port: name.(*unix.SockaddrInet4).Port}}
}

// boundListener has the address of a socket that does not listen.
type boundListener struct {
	net.Listener
	port int
}

func (l boundListener) Addr() net.Addr {
	return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: l.port}
}

func (u *scriptedUpstream) requests() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.seen)
}

// Scripts of upstreams.

func respondWith(status int, headers, body string) script {
	return func(c net.Conn, r *http.Request, _ string) {
		fmt.Fprintf(c, "HTTP/1.1 %d x\r\nId: %s\r\nSeal: s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Id"), headers, len(body), body)
	}
}

func closeConnection(c net.Conn, _ *http.Request, _ string) { _ = c.Close() }

func sendNothing(_ net.Conn, _ *http.Request, _ string) { time.Sleep(time.Minute) }

func rejectNotRun(c net.Conn, _ *http.Request, _ string) {
	_, _ = io.WriteString(c, "HTTP/1.1 503 full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
}

// streamEvents sends events with the given ids, then ends the stream or breaks off
// within an event.
func streamEvents(from, to int, whole bool) script {
	return func(c net.Conn, r *http.Request, _ string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s%d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"), from)
		for i := from; i <= to; i++ {
			e := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
		}
		if whole {
			_, _ = io.WriteString(c, "0\r\n\r\n")
			return
		}
		_, _ = io.WriteString(c, "8\r\nid: 99\nd\r\n")
		_ = c.Close()
	}
}

// testDialect is a Dialect with short header names.
type testDialect struct{}

func (testDialect) Read(h http.Header) RequestMeta {
	ms, _ := strconv.Atoi(h.Get("Wait"))
	return RequestMeta{RequestID: h.Get("Id"), Timeout: time.Duration(ms) * time.Millisecond, Key: h.Get("Key"), LastEvent: h.Get("Last"), ResumedRequest: h.Get("Resumed")}
}

func (testDialect) SetUpstreamHeaders(h http.Header, o UpstreamRequestMeta) {
	h.Del("Key")
	h.Set("Upstream", o.Upstream)
	h.Set("Wait", strconv.FormatInt(o.Timeout.Milliseconds(), 10))
	h.Set("Last", o.LastEvent)
}

func (testDialect) ParseResponse(status int, h http.Header) ResponseMeta {
	m := ResponseMeta{RequestID: h.Get("Id"), Sealed: h.Get("Seal") != "", NotExecuted: h.Get("Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest, Leaving: h.Get("Leaving") != ""}
	if seconds, err := strconv.Atoi(h.Get("Retry-After")); err == nil && status == http.StatusServiceUnavailable {
		m.RetryAfter = time.Duration(seconds) * time.Second
	}
	return m
}

// testBrokerClient grants upstreams in order and records the offers and the end of each
// grant.
type testBrokerClient struct {
	mu        sync.Mutex
	addresses []string
	granted   int
	offers    []port.BrokerOffer
	ends      []broker.End
	// born is the start time of the upstreams' processes.
	born    int64
	refusal *fault.Error
	// share is this entry's part of shared limits; nil for the whole.
	share    *limits.Part
	expected time.Duration
	// grantedAt returns when the n-th grant reached the entry; nil if that is not known.
	grantedAt func(n int) time.Duration
}

func (c *testBrokerClient) Acquire(_ context.Context, o port.BrokerOffer) (port.BrokerTicket, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offers = append(c.offers, o)
	if c.granted >= len(c.addresses) {
		if c.refusal != nil {
			return port.BrokerTicket{}, c.refusal
		}
		return port.BrokerTicket{}, fault.New(fault.Kind(broker.Overloaded), "retry later", "no upstream is left").After(time.Second)
	}
	address := c.addresses[c.granted]
	c.granted++
	at := time.Duration(0)
	if c.grantedAt != nil {
		at = c.grantedAt(c.granted)
	}
	return port.BrokerTicket{
		GrantedAt: at,
		Grant:     broker.Grant{ID: o.ID, Upstream: "u-" + address, Address: address, Born: c.born, ExpectedTimeToFirstEvent: c.expected},
		End: func(e broker.End) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.ends = append(c.ends, e)
		},
	}, nil
}

func (c *testBrokerClient) Share() limits.Part {
	if c.share != nil {
		return *c.share
	}
	return wholeShare()
}

// wholeShare is that of the only entry, which has run for long.
func wholeShare() limits.Part { return limits.Part{Fraction: 1, Earned: time.Hour, Processes: 1} }

func (c *testBrokerClient) ExpectedDuration(broker.Offer, string) broker.DurationEstimate {
	return broker.DurationEstimate{Basis: broker.UpstreamBasis}
}

func (c *testBrokerClient) ReportLimit(broker.RequestLimit, time.Time) {}

func (c *testBrokerClient) outcomes() []broker.Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []broker.Outcome{}
	for _, e := range c.ends {
		out = append(out, e.Outcome)
	}
	return out
}

type testView struct{ index *routes.Index }

func (v testView) Routes() *routes.Index    { return v.index }
func (v testView) Leader() port.Leader      { return port.Leader{} }
func (v testView) Changed() <-chan struct{} { return nil }

// testEntry is an entry with scripted upstreams and a server for callers.
type testEntry struct {
	t            *testing.T
	service      *Service
	brokerClient *testBrokerClient
	server       *httptest.Server
}

// testTable returns a table with one route per kind.
func testTable() *routes.Table {
	t := &routes.Table{Version: 1, Pools: []routes.Pool{{Name: "p"}}}
	for _, r := range []routes.Route{
		{Name: "idempotent", Kind: routes.Idempotent, MaxAttempts: 2},
		{Name: "once", Kind: routes.AtMostOnce, MaxAttempts: 2},
		{Name: "stream", Kind: routes.Stream, MaxAttempts: 2},
		{Name: "resumable", Kind: routes.Stream, MaxAttempts: 2, Resumable: true},
		{Name: "brief", Kind: routes.AtMostOnce, MaxAttempts: 1, TimeoutMS: 150},
	} {
		r.Host, r.Prefix, r.LatencyTargetMS = "127.0.0.1", "/"+r.Name+"/", 1000
		r.Targets = []routes.Target{{Pool: "p", Weight: 1}}
		if r.TimeoutMS == 0 {
			r.TimeoutMS = 5000
		}
		t.Routes = append(t.Routes, r)
	}
	return t
}

func newTestEntry(t *testing.T, upstreams ...*scriptedUpstream) *testEntry {
	t.Helper()
	retryRatio := 0.2
	set := &settings.Settings{Routing: &settings.Routing{Retry: settings.Retry{Ratio: &retryRatio, WindowMS: 10_000, Slack: 20}, GraceMS: 1000, AnswerTTLMS: 50}}
	s := New(set, zap.NewNop())
	client := &testBrokerClient{}
	for _, u := range upstreams {
		client.addresses = append(client.addresses, u.ln.Addr().String())
	}
	m, err := newMetrics(prometheus.NewRegistry())
	require.NoError(t, err)
	s.view, s.brokerClient, s.dialect, s.metrics = testView{routes.NewIndex(testTable())}, client, testDialect{}, m
	s.conns = newConnPool(egress.New(&settings.Settings{}, zap.NewNop()), m.connections.Inc)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	t.Cleanup(s.cancel)
	r := &testEntry{t: t, service: s, brokerClient: client, server: httptest.NewUnstartedServer(nil)}
	r.server.Listener, r.server.Config = accept.New(r.server.Listener, callerKeepAlive()), s.newServer()
	r.server.Start()
	t.Cleanup(r.server.Close)
	return r
}

// callResult is the response that the caller received.
type callResult struct {
	status int
	header http.Header
	body   string
	// incomplete is set if the response did not end as complete.
	incomplete bool
}

func (r *testEntry) call(route, body string, headers ...string) callResult {
	r.t.Helper()
	req, err := http.NewRequest(http.MethodPost, r.server.URL+"/"+route+"/x?q=1", strings.NewReader(body))
	require.NoError(r.t, err)
	req.Header.Set("Id", "attempt-1")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return callResult{incomplete: true}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return callResult{status: resp.StatusCode, header: resp.Header, body: string(data), incomplete: err != nil}
}
