package admin_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/verbenastep/verbenastep/api/client"
	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/operator"
	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/internal/daemon"
	"github.com/verbenastep/verbenastep/internal/freeport"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// Secrets that must not appear in a dump, a metric or a log.
const (
	plantedOperator  = "planted-operator-key"
	plantedWorkspace = "planted-workspace-key"
	plantedUpstream  = "planted-upstream-key"
	plantedPeer      = "planted-peer-secret"
)

// safeBuffer is a buffer for concurrent writers of log lines.
type safeBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *safeBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// startDaemon starts a daemon that is the only replica, and returns its settings
// and log.
func startDaemon(t *testing.T) (*settings.Settings, *safeBuffer) {
	t.Helper()
	ports, err := freeport.Addresses(4)
	require.NoError(t, err)
	secret := filepath.Join(t.TempDir(), "peer.key")
	require.NoError(t, os.WriteFile(secret, []byte(plantedPeer), 0o600))
	raw, err := json.Marshal(&settings.Settings{
		Name: "d1", Region: "r", DataCentre: "c",
		Addresses: settings.Addresses{Callers: ports[0], Peers: ports[1], Upstreams: ports[2], Admin: ports[3]},
		Roles:     []settings.Role{settings.Replica}, DataFolder: t.TempDir(),
		Replicas: []settings.Peer{{Name: "d1", Address: ports[1]}}, Seeds: []string{ports[1]},
		OperatorKeys: []string{config.HashKey(plantedOperator)}, UpstreamKeys: []string{config.HashKey(plantedUpstream)}, PeerKeyFile: secret,
	})
	require.NoError(t, err)
	set, err := settings.Parse("d1", raw)
	require.NoError(t, err)
	logs := &safeBuffer{}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(logs), zap.DebugLevel)
	d, err := daemon.New(set, zap.New(core))
	require.NoError(t, err)
	require.NoError(t, d.Start(t.Context()))
	t.Cleanup(d.Kill)
	return set, logs
}

// get sends a GET request to the administrative address.
func get(t *testing.T, set *settings.Settings, path, key string) (int, string) {
	t.Helper()
	return exchange(t, http.MethodGet, "http://"+set.Addresses.Admin+path, key, http.NoBody)
}

func exchange(t *testing.T, method, url, key string, body io.Reader) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, body)
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(data)
}

func configuration(workspaceKey string) operator.Files {
	return operator.Files{"all.json": []byte(`{
		"tiers": [{"name": "one", "goodput_ms": 1000}],
		"regions": [{"name": "r", "data_centres": ["c"]}],
		"models": [{"name": "m"}],
		"operators": [{"name": "registrar", "keys": ["` + config.HashKey(plantedOperator) + `"]}],
		"workspaces": [{"name": "w", "tier": "one", "home_region": "r", "keys": ["` + workspaceKey + `"]}]
	}`)}
}

// apply retries until the daemon's own log has a leader.
func apply(t *testing.T, op client.Operator, change operator.Apply) {
	t.Helper()
	for {
		_, err := op.Apply(t.Context(), change)
		if err == nil {
			return
		}
		require.NotEqual(t, fault.Malformed, fault.From(err).Kind, err)
		time.Sleep(10 * time.Millisecond)
	}
}

// TestAdministrativeAddress checks readiness, authentication, configuration changes and
// that no secret appears in an answer, an error, a metric or the log. To this end
// the settings, the configuration and requests contain the planted secrets.
func TestAdministrativeAddress(t *testing.T) {
	set, logs := startDaemon(t)
	op := client.Operator{Address: set.Addresses.Admin, Key: plantedOperator}

	code, _ := get(t, set, "/readyz", "")
	require.Equal(t, http.StatusServiceUnavailable, code, "a daemon without a configuration is not ready")
	for _, path := range []string{operator.PathConfig, operator.PathState, operator.PathStatus, operator.PathTable, operator.PathExplain + "?key=k"} {
		for _, key := range []string{"", "wrong", config.HashKey(plantedOperator), plantedUpstream} {
			code, body := get(t, set, path, key)
			require.Equal(t, http.StatusUnauthorized, code, path)
			require.Contains(t, body, "remedy")
		}
	}

	_, err := op.Apply(t.Context(), operator.Apply{Files: configuration(plantedWorkspace)})
	require.Equal(t, fault.Malformed, fault.From(err).Kind)
	require.Contains(t, err.Error(), "all.json: $.workspaces[0].keys[0]")
	require.NotContains(t, err.Error(), "planted", "an error must not contain a key")

	apply(t, op, operator.Apply{Files: configuration(config.HashKey(plantedWorkspace))})
	for code != http.StatusOK {
		time.Sleep(10 * time.Millisecond)
		code, _ = get(t, set, "/readyz", "")
	}
	resent, err := op.Apply(t.Context(), operator.Apply{Files: configuration(config.HashKey(plantedWorkspace))})
	require.NoError(t, err, "the repetition of a change that names its operator is the same change")
	require.EqualValues(t, 1, resent.Version)
	_, err = op.Apply(t.Context(), operator.Apply{Files: configuration(config.HashKey("another"))})
	require.Equal(t, fault.Conflict, fault.From(err).Kind)
	require.ErrorContains(t, err, "version 1 of registrar won")

	code, _ = exchange(t, http.MethodPost, "http://"+set.Addresses.Admin+operator.PathConfig, plantedOperator, strings.NewReader(`{"base": 1, "files": {"a": "`+strings.Repeat("x", 17<<20)+`"}}`))
	require.Equal(t, http.StatusRequestEntityTooLarge, code)

	for _, key := range []string{plantedWorkspace, "planted-wrong-key"} {
		_, _ = exchange(t, http.MethodPost, "http://"+set.Addresses.Callers+"/v1/completions", key, strings.NewReader(`{"model": "m", "prompt": "hello"}`))
	}
	seen := logs.String()
	for _, path := range []string{"/metrics", "/healthz", operator.PathState, operator.PathConfig, operator.PathStatus} {
		code, body := get(t, set, path, plantedOperator)
		require.Equal(t, http.StatusOK, code, path)
		seen += body
	}
	require.Contains(t, seen, config.HashKey(plantedWorkspace), "the dump contains the configuration")
	require.NotContains(t, seen, "planted", "no dump, metric or log contains a secret")
}
