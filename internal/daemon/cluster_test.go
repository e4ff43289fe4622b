package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/upstream"
	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/freeport"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
	"github.com/verbenastep/verbenastep/internal/standin"
)

const (
	callerKey = "caller"
	// replicasInTests is the number of daemons with the role replica.
	replicasInTests = 3
	testTimeout     = 20 * time.Second
	callTimeout     = time.Minute
)

// cluster is a group of daemons on loopback in one process, with simulated
// upstreams.
type cluster struct {
	t        *testing.T
	settings []*settings.Settings
	daemons  []*Daemon
	runner   *standin.Runner
	service  *standin.Service

	mu        sync.Mutex
	startedAt time.Time
	events    []promise.Event
}

// freeAddress returns an unused loopback address that a restarted daemon can use
// again.
func freeAddress(t *testing.T) string {
	t.Helper()
	list, err := freeport.Addresses(1)
	require.NoError(t, err)
	return list[0]
}

// startCluster starts n daemons, the first of them replicas, with a configuration
// and upstreams.
func startCluster(t *testing.T, n, replicas int) *cluster {
	t.Helper()
	s := &cluster{t: t, startedAt: time.Now()}
	peers, seeds := []settings.Peer{}, []string{}
	for i := range n {
		set := &settings.Settings{
			Name: fmt.Sprintf("daemon-%d", i+1), Region: "gauteng", DataCentre: "jhb-north",
			Addresses: settings.Addresses{Callers: freeAddress(t), Peers: freeAddress(t), Upstreams: freeAddress(t), Admin: freeAddress(t)},
		}
		if i < replicas {
			set.Roles = []settings.Role{settings.Replica}
			set.DataFolder = t.TempDir()
			peers = append(peers, settings.Peer{Name: set.Name, Address: set.Addresses.Peers})
		}
		seeds = append(seeds, set.Addresses.Peers)
		s.settings = append(s.settings, set)
	}
	for _, set := range s.settings {
		set.Replicas, set.Seeds = peers, seeds
		data, err := json.Marshal(set)
		require.NoError(t, err)
		parsed, err := settings.Parse(set.Name, data)
		require.NoError(t, err)
		*set = *parsed
		s.daemons = append(s.daemons, nil)
	}
	for i := range n {
		s.start(i)
	}
	t.Cleanup(s.close)
	s.apply()
	s.startUpstreams()
	return s
}

func (s *cluster) start(i int) {
	d, err := New(s.settings[i], zap.NewNop())
	require.NoError(s.t, err)
	d.Observe(s.record)
	require.NoError(s.t, d.Start(s.t.Context()))
	s.daemons[i] = d
}

// record keeps an event with the time since the cluster started.
func (s *cluster) record(e promise.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.At = time.Since(s.startedAt)
	s.events = append(s.events, e)
}

func (s *cluster) close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, d := range s.daemons {
		_ = d.Stop(ctx)
	}
}

func (s *cluster) apply() {
	files := config.Files{
		"tiers.json": json.RawMessage(`{"tiers":[{"name":"panel"}],"regions":[{"name":"gauteng","data_centres":["jhb-north"]}],
			"timeouts":{"request_ms":60000,"silence_ms":3000,"retention_ms":600000}}`),
		"backends.json": json.RawMessage(`{"models":[{"name":"logbook-model","max_tokens":64,"block_tokens":64}],
			"services":[{"name":"register-api","concurrency":8,"operations":[{"name":"transfer","method":"POST","path":"/transfers"}]}]}`),
		"workspaces.json": json.RawMessage(`{"workspaces":[{"name":"judging","tier":"panel","home_region":"gauteng","keys":["` + config.HashKey(callerKey) + `"]}]}`),
	}
	log, err := kernel.Find[port.Log](s.daemons[0].Kernel(), port.NameLog)
	require.NoError(s.t, err)
	require.Eventually(s.t, func() bool {
		result, err := log.Propose(s.t.Context(), port.GroupMain, state.Command{Apply: &state.Apply{Files: files, Operator: "o"}})
		return err == nil && result.Status == state.OK
	}, testTimeout, 100*time.Millisecond)
}

func (s *cluster) startUpstreams() {
	ctx, cancel := context.WithCancel(context.Background())
	s.t.Cleanup(cancel)
	daemons := []string{}
	for _, set := range s.settings {
		daemons = append(daemons, set.Addresses.Upstreams)
	}
	self := func(kind upstream.Kind, pool string) upstream.Announcement {
		return upstream.Announcement{Name: pool + "-1", Kind: kind, Pool: pool, Address: "127.0.0.1:0", Region: "gauteng", DataCentre: "jhb-north", Incarnation: 1, Slots: 16}
	}
	s.runner = standin.NewRunner(self(upstream.Runner, "logbook-model"), standin.Speed{PrefillPerSecond: 100_000, DecodePerSecond: 40})
	require.NoError(s.t, s.runner.Listen())
	s.t.Cleanup(s.runner.Close)
	s.service = standin.NewService(self(upstream.PlainService, "register-api"), 20*time.Millisecond)
	require.NoError(s.t, s.service.Listen())
	s.t.Cleanup(s.service.Close)
	go (&standin.Announcer{Daemons: daemons, State: func() upstream.Announcement { return s.runner.Self }}).Run(ctx)
	go (&standin.Announcer{Daemons: daemons, State: func() upstream.Announcement { return s.service.Self }}).Run(ctx)
}

// sendCompletion sends a completion request and returns an error unless the answer
// is complete and belongs to the request.
func sendCompletion(client *http.Client, address, key string, tokens int) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	body := fmt.Sprintf(`{"model":"logbook-model","messages":[{"role":"user","content":"%s #%d"}]}`, key, tokens)
	text, err := send(ctx, client, address+"/v1/chat/completions", key, body)
	if err != nil {
		return err
	}
	want := standin.AnswerTo(fmt.Sprintf("user: %s #%d\n", key, tokens), tokens)
	if !strings.Contains(text, `"`+want+`"`) {
		return fmt.Errorf("the answer does not belong to the request: %s", text)
	}
	return nil
}

// sendTransfer sends a service call and returns an error unless the answer belongs
// to it.
func sendTransfer(client *http.Client, address, key string) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	text, err := send(ctx, client, address+"/services/register-api/transfers", key, key)
	if err == nil && !strings.Contains(text, fmt.Sprintf(`"bytes":%d}`, len(key))) {
		return fmt.Errorf("the answer does not belong to the request: %s", text)
	}
	return err
}

func send(ctx context.Context, client *http.Client, url, key, body string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+url, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text := bytes.Buffer{}
	if _, err := text.ReadFrom(resp.Body); err != nil {
		return "", err
	}
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("status %d: %s", resp.StatusCode, text.String())
	}
	return text.String(), nil
}

// awaitReady waits until every daemon serves a completion and a service call.
func (s *cluster) awaitReady() {
	for i, set := range s.settings {
		require.Eventually(s.t, func() bool {
			key := fmt.Sprintf("ready-%d-%d", i, time.Now().UnixNano())
			return sendCompletion(http.DefaultClient, set.Addresses.Callers, key, 1) == nil &&
				sendTransfer(http.DefaultClient, set.Addresses.Callers, "call-"+key) == nil
		}, testTimeout, 100*time.Millisecond)
	}
}
