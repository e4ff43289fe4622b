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
	siteModel = "m0"
	// readyTimeout bounds waiting for the first answer.
	readyTimeout = 20 * time.Second
	// siteSlots is how many streams the stand-in runner takes at once.
	siteSlots = 4_096
	// tokenPace is output tokens a second of one stream: 28 ms a token.
	tokenPace = 1 / 0.028
)

// site is one daemon on loopback with one stand-in runner.
type site struct {
	local   *localsite.Site
	set     *settings.Settings
	runner  *standin.Runner
	folder  string
	cancel  context.CancelFunc
	callers *http.Client
	// key is the bearer key of the last workspace.
	key string
}

// siteFiles declares n workspaces and gives the last one the site's key.
func siteFiles(n int, key string) config.Files {
	files := declared(n)
	last := fmt.Sprintf("sha256:%064x", n*keysEach-1)
	for p, data := range files {
		files[p] = json.RawMessage(strings.Replace(string(data), last, config.HashKey(key), 1))
	}
	return files
}

// startSite starts a daemon with a configuration of n workspaces.
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
	s := &site{local: local, set: local.Settings[0], folder: folder, cancel: cancel, key: "capacity-caller"}
	s.callers = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: siteSlots}}
	if err := local.StartAll(ctx); err != nil {
		cancel()
		return nil, err
	}
	if err := s.declare(ctx, n); err != nil {
		s.stop()
		return nil, err
	}
	return s, s.announce(ctx)
}

func (s *site) declare(ctx context.Context, n int) error {
	op := client.Operator{Address: s.set.Addresses.Admin, Key: localsite.OperatorKey}
	files := operator.Files(siteFiles(n, s.key))
	return retry(func() error {
		_, err := op.Apply(ctx, operator.Apply{Files: files})
		return err
	})
}

// retry calls fn until it succeeds or the time to get ready is over.
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

func (s *site) announce(ctx context.Context) error {
	s.runner = standin.NewRunner(upstream.Announcement{
		Name: "runner-1", Kind: upstream.Runner, Pool: siteModel, Address: "127.0.0.1:0", Region: "r0", DataCentre: "d0",
		Incarnation: 1, Slots: siteSlots,
	}, standin.Speed{PrefillPerSecond: 1e9, DecodePerSecond: tokenPace})
	if err := s.runner.Listen(); err != nil {
		return err
	}
	a := standin.Announcer{Daemons: s.local.UpstreamAddresses(), Key: localsite.UpstreamKey, State: func() upstream.Announcement { return s.runner.Self }}
	go a.Run(ctx)
	return retry(func() error {
		_, err := s.stream(ctx, 1)
		return err
	})
}

func (s *site) stop() {
	s.cancel()
	s.local.KillAll()
	if s.runner != nil {
		s.runner.Close()
	}
	_ = os.RemoveAll(s.folder)
}

// timing is what one stream showed.
type timing struct {
	first time.Duration
	// gaps are the times between tokens.
	gaps   []time.Duration
	tokens int
}

// stream asks the daemon for an answer of n tokens.
func (s *site) stream(ctx context.Context, n int) (timing, error) {
	body := fmt.Sprintf(`{"model":%q,"prompt":"count #%d","max_tokens":%d,"stream":true}`, siteModel, n, n)
	return s.read(ctx, "http://"+s.set.Addresses.Callers+"/v1/completions", body, []byte("data: {"))
}

// direct asks the runner itself.
func (s *site) direct(ctx context.Context, stream string, n int) (timing, error) {
	body := fmt.Sprintf(`{"stream":%q,"model":%q,"prompt":"count #%d","max_tokens":%d}`, stream, siteModel, n, n)
	return s.read(ctx, "http://"+s.runner.Self.Address+upstream.PathStreams, body, []byte(`{"stream"`))
}

// read times the lines of a response that begin with a prefix; the last one
// holds no token.
func (s *site) read(ctx context.Context, url, body string, prefix []byte) (timing, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return timing{}, err
	}
	req.Header.Set("Authorization", "Bearer "+s.key)
	began := time.Now()
	resp, err := s.callers.Do(req)
	if err != nil {
		return timing{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return timing{}, fmt.Errorf("status %d from %s", resp.StatusCode, url)
	}
	t := timing{}
	last := began
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if !bytes.HasPrefix(lines.Bytes(), prefix) {
			continue
		}
		now := time.Now()
		if t.tokens == 0 {
			t.first = now.Sub(began)
		} else {
			t.gaps = append(t.gaps, now.Sub(last))
		}
		last = now
		t.tokens++
	}
	return t, lines.Err()
}
