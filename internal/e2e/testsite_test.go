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
	// waitTimeout bounds each wait of a test; it does not check speed.
	waitTimeout   = 40 * time.Second
	retryInterval = 50 * time.Millisecond
	daemonCount   = 3
	// decodeRate is the output rate of one stream in tokens per second.
	decodeRate = 50
)

// testSite is a site of three daemons, two runners and a plain service, with a
// record of all events.
type testSite struct {
	*localsite.Site
	t            *testing.T
	runners      []*standin.Runner
	plainService *standin.Service
	// closedRunners counts the runners that crashed or were closed.
	closedRunners atomic.Int32

	mu        sync.Mutex
	startedAt time.Time
	events    []promise.Event
	// streams maps the key of each request to the stream dispatched last for it.
	streams map[string]string
}

func newTestSite(t *testing.T) *testSite {
	t.Helper()
	site := &testSite{t: t, startedAt: time.Now(), streams: map[string]string{}}
	location := localsite.Location{Region: "gauteng", DataCentre: "jhb-north"}
	local, err := localsite.New(localsite.Options{
		Folder: t.TempDir(), Locations: []localsite.Location{location, location, location}, Replicas: daemonCount, Log: zap.NewNop(), Observe: site.recordEvent,
	})
	require.NoError(t, err)
	site.Site = local
	require.NoError(t, local.StartAll(t.Context()))
	t.Cleanup(local.KillAll)
	site.retryUntil("the first configuration", func() error {
		_, err := site.applyConfig(0, 0, configFiles(1))
		return err
	})
	for i := range 2 {
		site.startRunner(fmt.Sprintf("runner-%d", i+1))
	}
	site.startService()
	site.retryUntil("a first answer", func() error { _, err := site.streamCompletion(0, "", "hello #1"); return err })
	site.retryUntil("a first call", func() error { _, err := site.callTransfer(0, "warm-up"); return err })
	return site
}

// configFiles returns the configuration; the weight distinguishes its versions.
func configFiles(weight int) operator.Files {
	return operator.Files{
		"tiers.json": json.RawMessage(`{"tiers":[{"name":"panel","goodput_ms":60000}],"regions":[{"name":"gauteng","data_centres":["jhb-north"]}],
			"timeouts":{"request_ms":60000,"silence_ms":1000,"retention_ms":600000}}`),
		"backends.json": json.RawMessage(`{"models":[{"name":"` + model + `","max_tokens":4096}],
			"services":[{"name":"` + service + `","concurrency":8,"operations":[{"name":"transfer","method":"POST","path":"/transfers"}]}]}`),
		"workspaces.json": json.RawMessage(fmt.Sprintf(`{"workspaces":[{"name":%q,"tier":"panel","weight":%d,"home_region":"gauteng","keys":[%q]}]}`,
			workspace, weight, config.HashKey(callerKey))),
	}
}

func (site *testSite) operatorClient(i int) *client.Operator {
	return &client.Operator{Address: site.AdminAddresses()[i], Key: localsite.OperatorKey}
}

func (site *testSite) applyConfig(i int, base uint64, files operator.Files) (operator.Applied, error) {
	ctx, cancel := context.WithTimeout(site.t.Context(), 5*time.Second)
	defer cancel()
	return site.operatorClient(i).Apply(ctx, operator.Apply{Base: base, Files: files})
}

// versionInForce returns the configuration version in force on a daemon, or 0
// if it can't be read.
func (site *testSite) versionInForce(i int) uint64 {
	ctx, cancel := context.WithTimeout(site.t.Context(), 5*time.Second)
	defer cancel()
	c, err := site.operatorClient(i).Config(ctx)
	if err != nil {
		return 0
	}
	return c.Version
}

// retryUntil repeats a step until it succeeds, and fails the test after
// waitTimeout with a message that names what was awaited.
func (site *testSite) retryUntil(awaited string, step func() error) {
	site.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		err := step()
		if err == nil {
			return
		}
		require.True(site.t, time.Now().Before(deadline), "timed out waiting for %s: %v", awaited, err)
		time.Sleep(retryInterval)
	}
}

// recordEvent records an event with the time since the site was created.
func (site *testSite) recordEvent(e promise.Event) {
	site.mu.Lock()
	defer site.mu.Unlock()
	e.At = time.Since(site.startedAt)
	if e.Kind == promise.Dispatch {
		site.streams[e.Key] = e.Stream
	}
	if e.Kind == promise.Answer {
		e.Stream = site.streams[e.Key]
	}
	site.events = append(site.events, e)
}

func (site *testSite) recordExecution(x standin.Execution) {
	if x.Text != "" {
		site.recordEvent(promise.Event{Kind: promise.Execute, Upstream: x.Upstream, Stream: x.Stream, SentHash: hash(x.Text)})
	}
}

func hash(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

func (site *testSite) announcement(name string, kind upstream.Kind, pool string) upstream.Announcement {
	return upstream.Announcement{
		Name: name, Kind: kind, Pool: pool, Address: "127.0.0.1:0", Region: "gauteng", DataCentre: "jhb-north",
		Incarnation: uint64(time.Now().UnixNano()), Slots: 16,
	}
}

// keepAnnounced announces an upstream until it is gone or the test ends.
func (site *testSite) keepAnnounced(gone <-chan struct{}, state func() upstream.Announcement) {
	ctx, cancel := context.WithCancel(site.t.Context())
	site.t.Cleanup(cancel)
	go func() {
		select {
		case <-gone:
			cancel()
		case <-ctx.Done():
		}
	}()
	a := &standin.Announcer{Daemons: site.UpstreamAddresses(), Key: localsite.UpstreamKey, State: state}
	go a.Run(ctx)
}

// startRunner starts a stand-in runner.
func (site *testSite) startRunner(name string) {
	x := standin.NewRunner(site.announcement(name, upstream.Runner, model), standin.Speed{PrefillPerSecond: 100_000, DecodePerSecond: decodeRate})
	x.Observe = site.recordExecution
	gone := make(chan struct{})
	x.OnClose = sync.OnceFunc(func() {
		site.closedRunners.Add(1)
		close(gone)
	})
	require.NoError(site.t, x.Listen())
	site.t.Cleanup(x.Close)
	site.runners = append(site.runners, x)
	site.keepAnnounced(gone, func() upstream.Announcement { return x.Self })
}

func (site *testSite) startService() {
	site.plainService = standin.NewService(site.announcement("register-1", upstream.PlainService, service), 200*time.Millisecond)
	site.plainService.Observe = site.recordExecution
	require.NoError(site.t, site.plainService.Listen())
	site.t.Cleanup(site.plainService.Close)
	site.keepAnnounced(nil, func() upstream.Announcement { return site.plainService.Self })
}

// callerClient returns a client that uses only the given entries, in order.
func (site *testSite) callerClient(entries ...int) *client.Caller {
	addresses := []string{}
	for _, i := range entries {
		addresses = append(addresses, site.CallerAddresses()[i])
	}
	return &client.Caller{Fixed: true, Entries: addresses, Key: callerKey}
}

// streamCompletion streams an answer through an entry. If the connection is
// lost, the client continues at the next entries.
func (site *testSite) streamCompletion(entry int, key, prompt string) (string, error) {
	body, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}{model, prompt, 4096, true})
	require.NoError(site.t, err)
	ctx, cancel := context.WithTimeout(site.t.Context(), waitTimeout)
	defer cancel()
	s, err := site.callerClient(entry, (entry+1)%daemonCount, (entry+2)%daemonCount).Stream(ctx, client.Request{Method: "POST", Path: "/v1/completions", Body: body, Key: key}, nil)
	if err != nil {
		site.recordFailure(key, err)
		return "", err
	}
	site.recordEvent(promise.Event{Kind: promise.Answer, Workspace: workspace, Key: s.Key, Complete: true, ReceivedHash: hash(s.Text)})
	return s.Text, nil
}

// callTransfer makes a non-idempotent call.
func (site *testSite) callTransfer(entry int, key string) (string, error) {
	ctx, cancel := context.WithTimeout(site.t.Context(), waitTimeout)
	defer cancel()
	reply, err := site.callerClient(entry, (entry+1)%daemonCount, (entry+2)%daemonCount).Do(ctx, client.Request{Method: "POST", Path: "/services/" + service + "/transfers", Body: []byte(key), Key: key})
	if err != nil {
		site.recordFailure(key, err)
		return "", err
	}
	site.recordEvent(promise.Event{Kind: promise.Answer, Workspace: workspace, Key: key, Complete: true, ReceivedHash: hash(string(reply.Body))})
	return string(reply.Body), nil
}

func (site *testSite) recordFailure(key string, err error) {
	e := fault.From(err)
	if e.Key != "" {
		key = e.Key
	}
	site.recordEvent(promise.Event{Kind: promise.Refuse, Workspace: workspace, Key: key, Code: string(e.Kind), Ran: string(e.Ran)})
}

// requirePromisesKept checks all promises over the recorded events.
func (site *testSite) requirePromisesKept() {
	site.t.Helper()
	site.mu.Lock()
	defer site.mu.Unlock()
	for _, v := range promise.Check(site.events, promise.Options{End: time.Since(site.startedAt)}) {
		site.t.Error(v)
	}
}

// leaderIndex returns the position of the daemon that leads the log.
func (site *testSite) leaderIndex() int {
	found := -1
	site.retryUntil("a leader", func() error {
		for i := range daemonCount {
			if site.Daemon(i) != nil && leadsLog(site, i) {
				found = i
				return nil
			}
		}
		return fmt.Errorf("no daemon leads")
	})
	return found
}

// dispatcherIndex returns the position of the daemon that dispatches a pool.
func (site *testSite) dispatcherIndex(pool string) int {
	found := -1
	site.retryUntil("a dispatcher", func() error {
		for i := range daemonCount {
			if site.Daemon(i) != nil && dispatchesPool(site, i, pool) {
				found = i
				return nil
			}
		}
		return fmt.Errorf("no daemon dispatches %s", pool)
	})
	return found
}
