package capacity

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/client"
	"github.com/verbenastep/verbenastep/api/operator"
	"github.com/verbenastep/verbenastep/api/upstream"
	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/internal/localsite"
	"github.com/verbenastep/verbenastep/internal/settings"
	"github.com/verbenastep/verbenastep/internal/standin"
)

const (
	modelName = "m0"
	// readyTimeout bounds the wait until the site accepts its configuration, and
	// until it answers the first request.
	readyTimeout = 20 * time.Second
	// runnerSlots is how many streams the stand-in runner runs at once.
	runnerSlots = 4_096
	// streamTokensPerSecond is the output rate of one stream: 28 ms a token.
	streamTokensPerSecond = 1 / 0.028
)

// site is one daemon on loopback with one stand-in runner.
type site struct {
	local      *localsite.Site
	settings   *settings.Settings
	runner     *standin.Runner
	folder     string
	cancel     context.CancelFunc
	httpClient *http.Client
	// callerKey is the bearer key of the last workspace.
	callerKey string
}

// siteConfigFiles returns a configuration of n workspaces, the last of which has
// the given bearer key.
func siteConfigFiles(n int, key string) config.Files {
	files := configFiles(n)
	last := fmt.Sprintf("sha256:%064x", n*keysPerWorkspace-1)
	for p, data := range files {
		files[p] = json.RawMessage(strings.Replace(string(data), last, config.HashKey(key), 1))
	}
	return files
}

// startSite starts a daemon with a configuration of n workspaces and a runner, and
// waits until it answers a request.
func startSite(n int) (*site, error) {
	folder, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, err
	}
	local, err := localsite.New(localsite.Options{
		Folder: folder, Locations: []localsite.Location{{Region: "r0", DataCentre: "d0"}}, Replicas: 1, Log: zap.NewNop(),
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &site{local: local, settings: local.Settings[0], folder: folder, cancel: cancel, callerKey: "capacity-caller"}
	s.httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: runnerSlots}}
	if err := local.StartAll(ctx); err != nil {
		cancel()
		return nil, err
	}
	if err := s.applyConfig(ctx, n); err != nil {
		s.stop()
		return nil, err
	}
	return s, s.startRunner(ctx)
}

// applyConfig applies a configuration of n workspaces.
func (s *site) applyConfig(ctx context.Context, n int) error {
	op := client.Operator{Address: s.settings.Addresses.Admin, Key: localsite.OperatorKey}
	files := operator.Files(siteConfigFiles(n, s.callerKey))
	return retry(func() error {
		_, err := op.Apply(ctx, operator.Apply{Files: files})
		return err
	})
}

// retry calls fn until it succeeds or readyTimeout has passed, and returns its
// last error.
func retry(fn func() error) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		err := fn()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// startRunner starts and announces the runner, and waits for a first answer.
func (s *site) startRunner(ctx context.Context) error {
	s.runner = standin.NewRunner(upstream.Announcement{
		Name: "runner-1", Kind: upstream.Runner, Pool: modelName, Address: "127.0.0.1:0", Region: "r0", DataCentre: "d0",
		Incarnation: 1, Slots: runnerSlots,
	}, standin.Speed{PrefillPerSecond: 1e9, DecodePerSecond: streamTokensPerSecond})
	if err := s.runner.Listen(); err != nil {
		return err
	}
	a := standin.Announcer{Daemons: s.local.UpstreamAddresses(), Key: localsite.UpstreamKey, State: func() upstream.Announcement { return s.runner.Self }}
	go a.Run(ctx)
	return retry(func() error {
		_, err := s.streamFromDaemon(ctx, 1)
		return err
	})
}

// stop stops the daemon and the runner without a drain and removes their files.
func (s *site) stop() {
	s.cancel()
	s.local.KillAll()
	if s.runner != nil {
		s.runner.Close()
	}
	_ = os.RemoveAll(s.folder)
}

// streamTiming holds the timings of one stream.
type streamTiming struct {
	// firstToken is the time from the request to the first token, tokenGaps the
	// times between tokens.
	firstToken time.Duration
	tokenGaps  []time.Duration
	tokens     int
}

// streamFromDaemon requests an answer of n tokens from the daemon.
func (s *site) streamFromDaemon(ctx context.Context, n int) (streamTiming, error) {
	body := fmt.Sprintf(`{"model":%q,"prompt":"count #%d","max_tokens":%d,"stream":true}`, modelName, n, n)
	return s.timeStream(ctx, "http://"+s.settings.Addresses.Callers+"/v1/completions", body, []byte("data: {"))
}

// streamFromRunner requests an answer of n tokens from the runner directly.
func (s *site) streamFromRunner(ctx context.Context, stream string, n int) (streamTiming, error) {
	body := fmt.Sprintf(`{"stream":%q,"model":%q,"prompt":"count #%d","max_tokens":%d}`, stream, modelName, n, n)
	return s.timeStream(ctx, "http://"+s.runner.Self.Address+upstream.PathStreams, body, []byte(`{"stream"`))
}

// timeStream sends a request and times the response lines that begin with a
// prefix. The last of them holds no token but is counted as one.
func (s *site) timeStream(ctx context.Context, url, body string, prefix []byte) (streamTiming, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return streamTiming{}, err
	}
	req.Header.Set("Authorization", "Bearer "+s.callerKey)
	start := time.Now()
	resp, err := s.httpClient.Do(req)
	if err != nil {
		return streamTiming{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return streamTiming{}, fmt.Errorf("unexpected HTTP status %d from %s", resp.StatusCode, url)
	}
	t := streamTiming{}
	last := start
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if !bytes.HasPrefix(lines.Bytes(), prefix) {
			continue
		}
		now := time.Now()
		if t.tokens == 0 {
			t.firstToken = now.Sub(start)
		} else {
			t.tokenGaps = append(t.tokenGaps, now.Sub(last))
		}
		last = now
		t.tokens++
	}
	return t, lines.Err()
}
