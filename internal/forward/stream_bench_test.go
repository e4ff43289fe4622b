package forward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/routes"
	"github.com/verbenastep/verbenastep/internal/egress"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// BenchmarkStream measures a stream of events over loopback sockets with a caller that reads
// at once, and a request with a long body.
func BenchmarkStream(b *testing.B) {
	stream := bytes.Buffer{}
	for i := 1; i <= 200; i++ {
		fmt.Fprintf(&stream, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 60))
	}
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Seal", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write(stream.Bytes())
	}))
	defer upstream.Close()
	m, err := newMetrics(prometheus.NewRegistry())
	require.NoError(b, err)
	s := New(&settings.Settings{Routing: &settings.Routing{Retry: settings.Retry{WindowMS: 10_000}}}, zap.NewNop())
	client := &testBrokerClient{}
	s.view, s.brokerClient, s.dialect, s.metrics = testView{routes.NewIndex(testTable())}, client, testDialect{}, m
	s.conns = newConnPool(egress.New(&settings.Settings{}, zap.NewNop()), m.connections.Inc)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	defer s.cancel()
	entry := httptest.NewServer(s.routes())
	defer entry.Close()
	for name, body := range map[string]string{"events": "b", "long body": strings.Repeat("b", 1<<20)} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				client.addresses = append(client.addresses[:0], upstream.Listener.Addr().String())
				client.granted = 0
				client.ends = client.ends[:0]
				req, err := http.NewRequest(http.MethodPost, entry.URL+"/stream/x", strings.NewReader(body))
				require.NoError(b, err)
				req.Header.Set("Id", "attempt-1")
				resp, err := http.DefaultClient.Do(req)
				require.NoError(b, err)
				n, err := io.Copy(io.Discard, resp.Body)
				require.NoError(b, err)
				require.EqualValues(b, stream.Len(), n)
				_ = resp.Body.Close()
			}
		})
	}
}
