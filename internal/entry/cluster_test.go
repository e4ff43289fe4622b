package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/core/sched"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/link"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// cluster implements the services that several entries share: the log, the
// scheduler, the view, the members and the directory.
type cluster struct {
	mu      sync.Mutex
	machine *state.Machine
	// lostReplies is the number of proposals that are committed but reported as
	// failed.
	lostReplies int
	// logDown makes every call of the log fail.
	logDown           bool
	upstreamAddresses map[string]string
	// upstreamVersion is the model version of the upstreams granted from now on.
	upstreamVersion string
	schedulerError  *fault.Error
	// grantsNothing makes requests wait for a grant until their contexts end.
	grantsNothing   bool
	members         []port.Member
	events          []promise.Event
	releaseOutcomes []sched.Outcome
	config          *config.Config
}

// newCluster returns a cluster whose recorded events are checked against all
// promises at the end of the test.
func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{machine: state.New(), upstreamAddresses: map[string]string{}, config: &config.Config{
		Tiers:      []config.Tier{{Name: "top", GoodputMS: 60_000}},
		Workspaces: []config.Workspace{{Name: "judging", Tier: "top", Keys: []string{config.HashKey("secret")}}, {Name: "other", Tier: "top", Keys: []string{config.HashKey("foreign")}}},
		Models:     []config.Model{{Name: "logbook-model"}},
		Services: []config.Service{{Name: "register-api", Operations: []config.Operation{
			{Name: "lookup", Method: "GET", Path: "/chassis/", Idempotent: true}, {Name: "transfer", Method: "POST", Path: "/transfers"},
		}}},
		Timeouts: &config.Timeouts{RequestMS: 20_000, SilenceMS: 300},
	}}
	t.Cleanup(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		require.Empty(t, promise.Check(c.events, promise.Options{InFlightAtEnd: true}))
	})
	return c
}

var errLogDown = fault.New(fault.Unavailable, "retry", "the log did not answer").WithRan(fault.MayHaveRun)

func (c *cluster) Propose(_ context.Context, _ string, cmd state.Command) (state.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.logDown {
		return state.Result{}, errLogDown
	}
	r := c.machine.Apply(cmd)
	if c.lostReplies > 0 {
		c.lostReplies--
		return state.Result{}, errLogDown
	}
	return r, nil
}

func (c *cluster) Lookup(_ context.Context, _, workspace, key string) (state.Claim, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.logDown {
		return state.Claim{}, false, errLogDown
	}
	claim, ok := c.machine.Claim(workspace, key)
	return claim, ok, nil
}

type ticket struct {
	cluster *cluster
	address string
	version string
}

func (t *ticket) Upstream() string             { return "up-1" }
func (t *ticket) Address() string              { return t.address }
func (t *ticket) Version() string              { return t.version }
func (t *ticket) Explanation() json.RawMessage { return json.RawMessage(`{"reason":"only one"}`) }
func (t *ticket) Release(r sched.Release) {
	t.cluster.mu.Lock()
	defer t.cluster.mu.Unlock()
	t.cluster.releaseOutcomes = append(t.cluster.releaseOutcomes, r.Outcome)
}

func (c *cluster) Acquire(ctx context.Context, r port.Request) (port.Ticket, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.grantsNothing {
		c.mu.Unlock()
		<-ctx.Done()
		c.mu.Lock()
		return nil, fault.New(fault.Canceled, "send the request again", "the caller went away while the request waited")
	}
	if c.schedulerError != nil {
		return nil, c.schedulerError
	}
	return &ticket{cluster: c, address: c.upstreamAddresses[r.Pool], version: c.upstreamVersion}, nil
}

func (c *cluster) Snapshot() port.Snapshot        { return port.Snapshot{Version: 1, Config: c.config} }
func (c *cluster) Lease(string) state.Lease       { return state.Lease{} }
func (c *cluster) Suspects(string) map[uint64]int { return nil }
func (c *cluster) Changed() <-chan struct{}       { return nil }

func (c *cluster) Live() []port.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]port.Member{}, c.members...)
}

func (c *cluster) Find(name string) (port.Member, bool) {
	for _, m := range c.Live() {
		if m.Name == name {
			return m, true
		}
	}
	return port.Member{}, false
}

func (c *cluster) Answer(string) ([]string, time.Duration) {
	addresses := []string{}
	for _, m := range c.Live() {
		addresses = append(addresses, m.Callers)
	}
	return addresses, time.Second
}

func (c *cluster) Record(e promise.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, e)
}

func (c *cluster) countEvents(kind promise.Kind) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, e := range c.events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

func (c *cluster) outcomes() []sched.Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]sched.Outcome{}, c.releaseOutcomes...)
}

// fakeMetrics is the metrics service of one entry.
type fakeMetrics struct{ registry *prometheus.Registry }

func (m fakeMetrics) Registerer() prometheus.Registerer { return m.registry }
func (m fakeMetrics) Gatherer() prometheus.Gatherer     { return m.registry }

// fakeService registers a fake under the name of a service.
type fakeService struct {
	name string
	port.Log
	port.Scheduler
	port.View
	port.Members
	port.Events
	port.Metrics
	port.Directory
}

func (s fakeService) Name() string                                { return s.name }
func (s fakeService) Needs() []string                             { return nil }
func (s fakeService) Start(context.Context, *kernel.Kernel) error { return nil }
func (s fakeService) Stop(context.Context) error                  { return nil }
func (s fakeService) Health() error                               { return nil }
func (s fakeService) Dump() any                                   { return nil }

// testEntry is an entry with its own link.
type testEntry struct {
	*Service
	cluster *cluster
	url     string
}

// Record adds the entry's name to an event and records it.
func (e *testEntry) Record(event promise.Event) {
	event.Daemon = e.self.Name
	e.cluster.Record(event)
}

// startEntry starts an entry on loopback and adds it to the members.
func (c *cluster) startEntry(t *testing.T, name string) *testEntry {
	t.Helper()
	set := &settings.Settings{Name: name, Addresses: settings.Addresses{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0"}}
	set.Limits = settings.Limits{BodyBytes: 4096, HeaderBytes: 4096, Connections: 32}
	k := kernel.New()
	l := link.New(set, zap.NewNop())
	require.NoError(t, l.Start(t.Context(), k))
	self := port.Holder{Name: name, Incarnation: 1, Address: l.Address()}
	s := New(set, zap.NewNop(), self)
	e := &testEntry{Service: s, cluster: c}
	fakes := []fakeService{
		{name: port.NameLog, Log: c},
		{name: port.NameScheduler, Scheduler: c},
		{name: port.NameView, View: c},
		{name: port.NameMembers, Members: c},
		{name: port.NameDirectory, Directory: c},
		{name: port.NameEvents, Events: e},
		{name: port.NameMetrics, Metrics: fakeMetrics{prometheus.NewRegistry()}},
	}
	for _, f := range fakes {
		require.NoError(t, k.Register(f))
	}
	require.NoError(t, k.Register(l))
	require.NoError(t, s.Start(t.Context(), k))
	l.Serve()
	c.mu.Lock()
	c.members = append(c.members, port.Member{Name: name, Peers: self.Address, Callers: s.Address()})
	c.mu.Unlock()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = s.Stop(ctx)
		_ = l.Stop(ctx)
	})
	e.url = "http://" + s.Address()
	return e
}

// crash stops the entry as a killed process would: connections close, and nothing
// is recorded in the log.
func (e *testEntry) crash() {
	e.cluster.mu.Lock()
	e.cluster.members = slices.DeleteFunc(e.cluster.members, func(m port.Member) bool { return m.Name == e.self.Name })
	e.cluster.mu.Unlock()
	e.Record(promise.Event{Kind: promise.Crashed})
	e.cancel()
	_ = e.server.Close()
	_ = e.link.(*link.Service).Stop(context.Background())
}

// response is an HTTP response with its body read.
type response struct {
	status int
	header http.Header
	body   string
}

// do sends a request and returns the response. Headers are pairs of name and
// value.
func (e *testEntry) do(t *testing.T, method, path, body string, headers ...string) response {
	t.Helper()
	out, err := e.try(method, path, body, headers...)
	require.NoError(t, err)
	return out
}

func (e *testEntry) try(method, path, body string, headers ...string) (response, error) {
	req, err := http.NewRequest(method, e.url+path, strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	req.Header.Set("Authorization", "Bearer secret")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(data)}, err
}

func chatBody(prompt string, stream bool) string {
	return fmt.Sprintf(`{"model":"logbook-model","messages":[{"role":"user","content":%q}],"stream":%v}`, prompt, stream)
}

// faultOf decodes an error body.
func faultOf(t *testing.T, body string) *fault.Error {
	t.Helper()
	out := struct {
		Error *fault.Error `json:"error"`
	}{}
	require.NoError(t, json.Unmarshal([]byte(body), &out), body)
	require.NotNil(t, out.Error, body)
	return out.Error
}

// joinDeltas returns the text of an event stream and whether the stream has its
// end marker.
func joinDeltas(body string) (string, bool) {
	b := strings.Builder{}
	complete := false
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			complete = true
			continue
		}
		a := completionAnswer{}
		if json.Unmarshal([]byte(data), &a) == nil && len(a.Choices) > 0 && a.Choices[0].Delta != nil {
			b.WriteString(a.Choices[0].Delta.Content)
		}
	}
	return b.String(), complete
}
