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

// cluster is what several entries share: a log, a scheduler and members.
type cluster struct {
	mu      sync.Mutex
	machine *state.Machine
	// lost loses the answers of the next proposals, after they are committed.
	lost int
	// down makes the log refuse everything.
	down     bool
	pools    map[string]string
	refuse   *fault.Error
	members  []port.Member
	events   []promise.Event
	released []sched.Outcome
	config   *config.Config
}

// newCluster returns a cluster whose events must keep all promises.
func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{machine: state.New(), pools: map[string]string{}, config: &config.Config{
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

var errDown = fault.New(fault.Unavailable, "retry", "the log did not answer").WithRan(fault.MayHaveRun)

func (c *cluster) Propose(_ context.Context, _ string, cmd state.Command) (state.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return state.Result{}, errDown
	}
	r := c.machine.Apply(cmd)
	if c.lost > 0 {
		c.lost--
		return state.Result{}, errDown
	}
	return r, nil
}

func (c *cluster) Lookup(_ context.Context, _, workspace, key string) (state.Claim, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return state.Claim{}, false, errDown
	}
	claim, ok := c.machine.Claim(workspace, key)
	return claim, ok, nil
}

type ticket struct {
	cluster *cluster
	address string
}

func (t *ticket) Upstream() string             { return "up-1" }
func (t *ticket) Address() string              { return t.address }
func (t *ticket) Explanation() json.RawMessage { return json.RawMessage(`{"reason":"only one"}`) }
func (t *ticket) Release(r sched.Release) {
	t.cluster.mu.Lock()
	defer t.cluster.mu.Unlock()
	t.cluster.released = append(t.cluster.released, r.Outcome)
}

func (c *cluster) Acquire(_ context.Context, r port.Request) (port.Ticket, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refuse != nil {
		return nil, c.refuse
	}
	return &ticket{cluster: c, address: c.pools[r.Pool]}, nil
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

func (c *cluster) count(kind promise.Kind) int {
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
	return append([]sched.Outcome{}, c.released...)
}

// metricsOf is a fresh registry for each entry.
type metricsOf struct{ registry *prometheus.Registry }

func (m metricsOf) Registerer() prometheus.Registerer { return m.registry }
func (m metricsOf) Gatherer() prometheus.Gatherer     { return m.registry }

// shared registers a fake under a service's name.
type shared struct {
	name string
	port.Log
	port.Scheduler
	port.View
	port.Members
	port.Events
	port.Metrics
	port.Directory
}

func (s shared) Name() string                                { return s.name }
func (s shared) Needs() []string                             { return nil }
func (s shared) Start(context.Context, *kernel.Kernel) error { return nil }
func (s shared) Stop(context.Context) error                  { return nil }
func (s shared) Health() error                               { return nil }
func (s shared) Dump() any                                   { return nil }

// entryRig is one entry with its own link.
type entryRig struct {
	*Service
	cluster *cluster
	url     string
}

// Record stamps the entry's events.
func (e *entryRig) Record(event promise.Event) {
	event.Daemon = e.self.Name
	e.cluster.Record(event)
}

// entry starts an entry daemon's part on loopback.
func (c *cluster) entry(t *testing.T, name string) *entryRig {
	t.Helper()
	set := &settings.Settings{Name: name, Addresses: settings.Addresses{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0"}}
	set.Limits = settings.Limits{BodyBytes: 4096, HeaderBytes: 4096, Connections: 32}
	k := kernel.New()
	l := link.New(set, zap.NewNop())
	require.NoError(t, l.Start(t.Context(), k))
	self := port.Holder{Name: name, Incarnation: 1, Address: l.Address()}
	s := New(set, zap.NewNop(), self)
	rig := &entryRig{Service: s, cluster: c}
	fakes := []shared{
		{name: port.NameLog, Log: c},
		{name: port.NameScheduler, Scheduler: c},
		{name: port.NameView, View: c},
		{name: port.NameMembers, Members: c},
		{name: port.NameDirectory, Directory: c},
		{name: port.NameEvents, Events: rig},
		{name: port.NameMetrics, Metrics: metricsOf{prometheus.NewRegistry()}},
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
	rig.url = "http://" + s.Address()
	return rig
}

// crash ends the entry as a kill would: connections close, nothing is recorded.
func (e *entryRig) crash() {
	e.cluster.mu.Lock()
	e.cluster.members = slices.DeleteFunc(e.cluster.members, func(m port.Member) bool { return m.Name == e.self.Name })
	e.cluster.mu.Unlock()
	e.Record(promise.Event{Kind: promise.Crashed})
	e.cancel()
	_ = e.server.Close()
	_ = e.link.(*link.Service).Stop(context.Background())
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
}

// do sends one request; headers are given as name, value pairs.
func (e *entryRig) do(t *testing.T, method, path, body string, headers ...string) reply {
	t.Helper()
	out, err := e.try(method, path, body, headers...)
	require.NoError(t, err)
	return out
}

func (e *entryRig) try(method, path, body string, headers ...string) (reply, error) {
	req, err := http.NewRequest(method, e.url+path, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set("Authorization", "Bearer secret")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(data)}, err
}

func chatBody(prompt string, stream bool) string {
	return fmt.Sprintf(`{"model":"logbook-model","messages":[{"role":"user","content":%q}],"stream":%v}`, prompt, stream)
}

// faultOf reads an error body.
func faultOf(t *testing.T, body string) *fault.Error {
	t.Helper()
	out := struct {
		Error *fault.Error `json:"error"`
	}{}
	require.NoError(t, json.Unmarshal([]byte(body), &out), body)
	require.NotNil(t, out.Error, body)
	return out.Error
}

// text joins the deltas of an event stream and tells whether it has its end.
func text(body string) (string, bool) {
	b := strings.Builder{}
	whole := false
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			whole = true
			continue
		}
		a := completionAnswer{}
		if json.Unmarshal([]byte(data), &a) == nil && len(a.Choices) > 0 && a.Choices[0].Delta != nil {
			b.WriteString(a.Choices[0].Delta.Content)
		}
	}
	return b.String(), whole
}
