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

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/core/routes"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// script is what an upstream does with one request: it may write any bytes and
// close the connection.
type script func(c net.Conn, r *http.Request, body string)

// upstreamRig is an upstream that follows a script for each request in turn,
// the last one for all further ones.
type upstreamRig struct {
	ln      net.Listener
	mu      sync.Mutex
	scripts []script
	seen    []*http.Request
	bodies  []string
	conns   int
}

func newUpstream(t *testing.T, scripts ...script) *upstreamRig {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	u := &upstreamRig{ln: ln, scripts: scripts}
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

func (u *upstreamRig) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
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
	}
}

func (u *upstreamRig) requests() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.seen)
}

// Scripts.

func answerWith(status int, headers, body string) script {
	return func(c net.Conn, r *http.Request, _ string) {
		fmt.Fprintf(c, "HTTP/1.1 %d x\r\nId: %s\r\nSeal: s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Id"), headers, len(body), body)
	}
}

func reset(c net.Conn, _ *http.Request, _ string) { _ = c.Close() }

func silent(_ net.Conn, _ *http.Request, _ string) { time.Sleep(time.Minute) }

func notRun(c net.Conn, _ *http.Request, _ string) {
	_, _ = io.WriteString(c, "HTTP/1.1 503 full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
}

// events streams events of the given ids, then ends the stream or breaks it.
func events(from, to int, whole bool) script {
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

// testDialect uses short header names.
type testDialect struct{}

func (testDialect) Read(h http.Header) Meta {
	ms, _ := strconv.Atoi(h.Get("Wait"))
	return Meta{Attempt: h.Get("Id"), Wait: time.Duration(ms) * time.Millisecond, Key: h.Get("Key"), LastEvent: h.Get("Last")}
}

func (testDialect) Outgoing(h http.Header, o Outgoing) {
	h.Del("Key")
	h.Set("Upstream", o.Upstream)
	h.Set("Wait", strconv.FormatInt(o.Wait.Milliseconds(), 10))
	h.Set("Last", o.LastEvent)
}

func (testDialect) Answer(status int, h http.Header) Answer {
	return Answer{Attempt: h.Get("Id"), Sealed: h.Get("Seal") != "", NotRun: h.Get("Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest}
}

// testWork grants upstreams in order and remembers how each grant ended.
type testWork struct {
	mu        sync.Mutex
	addresses []string
	granted   int
	ends      []broker.End
	refusal   *fault.Error
	expected  time.Duration
}

func (w *testWork) Acquire(_ context.Context, o port.WorkOffer) (port.WorkTicket, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.granted >= len(w.addresses) {
		if w.refusal != nil {
			return port.WorkTicket{}, w.refusal
		}
		return port.WorkTicket{}, fault.New(fault.Kind(broker.Overload), "come back", "no upstream is left").After(time.Second)
	}
	address := w.addresses[w.granted]
	w.granted++
	return port.WorkTicket{
		Grant: broker.Grant{ID: o.ID, Upstream: "u-" + address, Address: address, Expected: w.expected},
		End: func(e broker.End) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.ends = append(w.ends, e)
		},
	}, nil
}

func (w *testWork) Entries() int { return 1 }

func (w *testWork) outcomes() []broker.Outcome {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := []broker.Outcome{}
	for _, e := range w.ends {
		out = append(out, e.Outcome)
	}
	return out
}

type testView struct{ index *routes.Index }

func (v testView) Routes() *routes.Index    { return v.index }
func (v testView) Leader() port.Leader      { return port.Leader{} }
func (v testView) Changed() <-chan struct{} { return nil }

// rig is an entry before upstreams, and the address at which it is called.
type rig struct {
	t       *testing.T
	service *Service
	work    *testWork
	server  *httptest.Server
}

// testTable has a route of each kind, named for what may be repeated there.
func testTable() *routes.Table {
	t := &routes.Table{Version: 1, Pools: []routes.Pool{{Name: "p"}}}
	for _, r := range []routes.Route{
		{Name: "idempotent", Kind: routes.Idempotent, Attempts: 2},
		{Name: "once", Kind: routes.Once, Attempts: 2},
		{Name: "stream", Kind: routes.Stream, Attempts: 2},
		{Name: "resumable", Kind: routes.Stream, Attempts: 2, Resumable: true},
		{Name: "brief", Kind: routes.Once, Attempts: 1, TimeoutMS: 150},
	} {
		r.Host, r.Prefix, r.AimMS = "127.0.0.1", "/"+r.Name+"/", 1000
		r.Targets = []routes.Target{{Pool: "p", Weight: 1}}
		if r.TimeoutMS == 0 {
			r.TimeoutMS = 5000
		}
		t.Routes = append(t.Routes, r)
	}
	return t
}

func newRig(t *testing.T, upstreams ...*upstreamRig) *rig {
	t.Helper()
	set := &settings.Settings{Routing: &settings.Routing{Retry: settings.Retry{Ratio: 0.2, WindowMS: 10_000, Slack: 20}, GraceMS: 1000, AnswerLifeMS: 50}}
	s := New(set, zap.NewNop())
	work := &testWork{}
	for _, u := range upstreams {
		work.addresses = append(work.addresses, u.ln.Addr().String())
	}
	m, err := newMetrics(prometheus.NewRegistry())
	require.NoError(t, err)
	s.view, s.work, s.dialect, s.metrics = testView{routes.NewIndex(testTable())}, work, testDialect{}, m
	s.conns = newPool(m.connections.Inc)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	t.Cleanup(s.cancel)
	r := &rig{t: t, service: s, work: work, server: httptest.NewServer(s.routes())}
	t.Cleanup(r.server.Close)
	return r
}

// got is what the caller received.
type got struct {
	status int
	header http.Header
	body   string
	// broken says that the answer did not end as complete.
	broken bool
}

func (r *rig) call(route, body string, headers ...string) got {
	r.t.Helper()
	req, err := http.NewRequest(http.MethodPost, r.server.URL+"/"+route+"/x?q=1", strings.NewReader(body))
	require.NoError(r.t, err)
	req.Header.Set("Id", "attempt-1")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return got{broken: true}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return got{status: resp.StatusCode, header: resp.Header, body: string(data), broken: err != nil}
}
