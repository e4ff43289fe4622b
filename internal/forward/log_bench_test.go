package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/routes"
	"github.com/verbenastep/verbenastep/internal/egress"
	"github.com/verbenastep/verbenastep/internal/logging"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// BenchmarkLogging measures a request over loopback sockets with and without its
// log lines.
func BenchmarkLogging(b *testing.B) {
	for _, on := range []bool{false, true} {
		name := map[bool]string{false: "off", true: "on"}[on]
		b.Run(name, func(b *testing.B) {
			log := zap.NewNop()
			if on {
				out := os.Stdout
				null, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
				require.NoError(b, err)
				os.Stdout = null
				log, err = logging.New(settings.Log{Format: "json", Stdout: true})
				os.Stdout = out
				require.NoError(b, err)
			}
			upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Id", r.Header.Get("Id"))
				w.Header().Set("Seal", "s")
				_, _ = w.Write([]byte(strings.Repeat("x", 800)))
			}))
			defer upstream.Close()
			m, err := newMetrics(prometheus.NewRegistry())
			require.NoError(b, err)
			s := New(&settings.Settings{Routing: &settings.Routing{Retry: settings.Retry{WindowMS: 10_000}}}, log)
			client := &testBrokerClient{}
			s.view, s.brokerClient, s.dialect, s.metrics = testView{routes.NewIndex(testTable())}, client, testDialect{}, m
			s.conns = newConnPool(egress.New(&settings.Settings{}, zap.NewNop()), m.connections.Inc)
			s.ctx, s.cancel = context.WithCancel(context.Background())
			defer s.cancel()
			entry := httptest.NewServer(s.routes())
			defer entry.Close()
			for b.Loop() {
				client.addresses = append(client.addresses[:0], upstream.Listener.Addr().String())
				client.granted = 0
				client.ends = client.ends[:0]
				req, err := http.NewRequest(http.MethodPost, entry.URL+"/once/x", strings.NewReader("body"))
				require.NoError(b, err)
				req.Header.Set("Id", "attempt-1")
				resp, err := http.DefaultClient.Do(req)
				require.NoError(b, err)
				require.Equal(b, http.StatusOK, resp.StatusCode)
				_ = resp.Body.Close()
			}
		})
	}
}
