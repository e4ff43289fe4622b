package e2e

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/client"
	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/operator"
	"github.com/verbenastep/verbenastep/api/upstream"
	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/internal/localsite"
	"github.com/verbenastep/verbenastep/internal/standin"
)

const (
	callerKey = "caller"
	workspace = "judging"
	model     = "logbook-model"
	service   = "register-api"
	// patience bounds each wait of a test; it is no measure of speed.
	patience = 40 * time.Second
	pause    = 50 * time.Millisecond
	daemons  = 3
	// decodeRate is output tokens a second of one stream.
	decodeRate = 50
)

// rig is three daemons, two runners, a plain service, and a record of all that
// happens.
type rig struct {
	*localsite.Site
	t       *testing.T
	runners []*standin.Runner
	plain   *standin.Service
	// ended counts the runners that have crashed or were closed.
	ended atomic.Int32

	mu      sync.Mutex
	began   time.Time
	events  []promise.Event
	streams map[string]string
}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{t: t, began: time.Now(), streams: map[string]string{}}
	place := localsite.Place{Region: "gauteng", DataCentre: "jhb-north"}
	site, err := localsite.New(localsite.Options{
		Folder: t.TempDir(), Places: []localsite.Place{place, place, place}, Replicas: daemons, Log: zap.NewNop(), Observe: r.record,
	})
	require.NoError(t, err)
	r.Site = site
	require.NoError(t, site.StartAll(t.Context()))
	t.Cleanup(site.KillAll)
	r.until("the first configuration", func() error {
		_, err := r.apply(0, 0, declared(1))
		return err
	})
	for i := range 2 {
		r.runner(fmt.Sprintf("runner-%d", i+1))
	}
	r.startService()
	r.until("a first answer", func() error { _, err := r.chat(0, "", "hello #1"); return err })
	r.until("a first call", func() error { _, err := r.transfer(0, "warm-up"); return err })
	return r
}

// declared is the configuration; its weight tells versions apart.
func declared(weight int) operator.Files {
	return operator.Files{
		"tiers.json": json.RawMessage(`{"tiers":[{"name":"panel","goodput_ms":60000}],"regions":[{"name":"gauteng","data_centres":["jhb-north"]}],
			"timeouts":{"request_ms":60000,"silence_ms":1000,"retention_ms":600000}}`),
		"backends.json": json.RawMessage(`{"models":[{"name":"` + model + `","max_tokens":4096}],
			"services":[{"name":"` + service + `","concurrency":8,"operations":[{"name":"transfer","method":"POST","path":"/transfers"}]}]}`),
		"workspaces.json": json.RawMessage(fmt.Sprintf(`{"workspaces":[{"name":%q,"tier":"panel","weight":%d,"home_region":"gauteng","keys":[%q]}]}`,
			workspace, weight, config.HashKey(callerKey))),
	}
}

func (r *rig) operator(i int) *client.Operator {
	return &client.Operator{Address: r.Admins()[i], Key: localsite.OperatorKey}
}

func (r *rig) apply(i int, base uint64, files operator.Files) (operator.Applied, error) {
	ctx, cancel := context.WithTimeout(r.t.Context(), 5*time.Second)
	defer cancel()
	return r.operator(i).Apply(ctx, operator.Apply{Base: base, Files: files})
}

// version is the configuration's version in force on a daemon.
func (r *rig) version(i int) uint64 {
	ctx, cancel := context.WithTimeout(r.t.Context(), 5*time.Second)
	defer cancel()
	c, err := r.operator(i).Config(ctx)
	if err != nil {
		return 0
	}
	return c.Version
}

// until retries a step until it succeeds.
func (r *rig) until(what string, step func() error) {
	r.t.Helper()
	deadline := time.Now().Add(patience)
	for {
		err := step()
		if err == nil {
			return
		}
		require.True(r.t, time.Now().Before(deadline), "%s did not come: %v", what, err)
		time.Sleep(pause)
	}
}

// record stamps an event with the rig's clock.
func (r *rig) record(e promise.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = time.Since(r.began)
	if e.Kind == promise.Dispatch {
		r.streams[e.Key] = e.Stream
	}
	if e.Kind == promise.Answer {
		e.Stream = r.streams[e.Key]
	}
	r.events = append(r.events, e)
}

func (r *rig) execution(x standin.Execution) {
	if x.Text != "" {
		r.record(promise.Event{Kind: promise.Execute, Upstream: x.Upstream, Stream: x.Stream, SentHash: hash(x.Text)})
	}
}

func hash(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

func (r *rig) announcement(name string, kind upstream.Kind, pool string) upstream.Announcement {
	return upstream.Announcement{
		Name: name, Kind: kind, Pool: pool, Address: "127.0.0.1:0", Region: "gauteng", DataCentre: "jhb-north",
		Incarnation: uint64(time.Now().UnixNano()), Slots: 16,
	}
}

// announce keeps an upstream announced until it is gone.
func (r *rig) announce(gone <-chan struct{}, state func() upstream.Announcement) {
	ctx, cancel := context.WithCancel(r.t.Context())
	r.t.Cleanup(cancel)
	go func() {
		select {
		case <-gone:
			cancel()
		case <-ctx.Done():
		}
	}()
	a := &standin.Announcer{Daemons: r.Upstreams(), Key: localsite.UpstreamKey, State: state}
	go a.Run(ctx)
}

// runner starts a stand-in runner.
func (r *rig) runner(name string) {
	x := standin.NewRunner(r.announcement(name, upstream.Runner, model), standin.Speed{PrefillPerSecond: 100_000, DecodePerSecond: decodeRate})
	x.Observe = r.execution
	gone := make(chan struct{})
	x.OnClose = sync.OnceFunc(func() {
		r.ended.Add(1)
		close(gone)
	})
	require.NoError(r.t, x.Listen())
	r.t.Cleanup(x.Close)
	r.runners = append(r.runners, x)
	r.announce(gone, func() upstream.Announcement { return x.Self })
}

func (r *rig) startService() {
	r.plain = standin.NewService(r.announcement("register-1", upstream.PlainService, service), 200*time.Millisecond)
	r.plain.Observe = r.execution
	require.NoError(r.t, r.plain.Listen())
	r.t.Cleanup(r.plain.Close)
	r.announce(nil, func() upstream.Announcement { return r.plain.Self })
}

// caller sends to the given entries only, in order.
func (r *rig) caller(entries ...int) *client.Caller {
	addresses := []string{}
	for _, i := range entries {
		addresses = append(addresses, r.Callers()[i])
	}
	return &client.Caller{Fixed: true, Entries: addresses, Key: callerKey}
}

// chat streams an answer through an entry; where it is lost, the next ones go
// on with it.
func (r *rig) chat(entry int, key, prompt string) (string, error) {
	body, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}{model, prompt, 4096, true})
	require.NoError(r.t, err)
	ctx, cancel := context.WithTimeout(r.t.Context(), patience)
	defer cancel()
	s, err := r.caller(entry, (entry+1)%daemons, (entry+2)%daemons).Stream(ctx, client.Request{Method: "POST", Path: "/v1/completions", Body: body, Key: key}, nil)
	if err != nil {
		r.refused(key, err)
		return "", err
	}
	r.record(promise.Event{Kind: promise.Answer, Workspace: workspace, Key: s.Key, Complete: true, ReceivedHash: hash(s.Text)})
	return s.Text, nil
}

// transfer makes a call that may not be repeated.
func (r *rig) transfer(entry int, key string) (string, error) {
	ctx, cancel := context.WithTimeout(r.t.Context(), patience)
	defer cancel()
	reply, err := r.caller(entry, (entry+1)%daemons, (entry+2)%daemons).Do(ctx, client.Request{Method: "POST", Path: "/services/" + service + "/transfers", Body: []byte(key), Key: key})
	if err != nil {
		r.refused(key, err)
		return "", err
	}
	r.record(promise.Event{Kind: promise.Answer, Workspace: workspace, Key: key, Complete: true, ReceivedHash: hash(string(reply.Body))})
	return string(reply.Body), nil
}

func (r *rig) refused(key string, err error) {
	e := fault.From(err)
	if e.Key != "" {
		key = e.Key
	}
	r.record(promise.Event{Kind: promise.Refuse, Workspace: workspace, Key: key, Code: string(e.Kind), Ran: string(e.Ran)})
}

// verdict checks all promises over what happened.
func (r *rig) verdict() {
	r.t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range promise.Check(r.events, promise.Options{End: time.Since(r.began)}) {
		r.t.Error(v)
	}
}

// leader is the position of the daemon that leads the log.
func (r *rig) leader() int {
	found := -1
	r.until("a leader", func() error {
		for i := range daemons {
			if r.Daemon(i) != nil && leads(r, i) {
				found = i
				return nil
			}
		}
		return fmt.Errorf("no daemon leads")
	})
	return found
}

// dispatcher is the position of the daemon that dispatches a pool.
func (r *rig) dispatcher(pool string) int {
	found := -1
	r.until("a dispatcher", func() error {
		for i := range daemons {
			if r.Daemon(i) != nil && dispatches(r, i, pool) {
				found = i
				return nil
			}
		}
		return fmt.Errorf("no daemon dispatches %s", pool)
	})
	return found
}
