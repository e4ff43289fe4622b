package admin

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/internal/settings"
)

// TestStopEndsInTime guards against a stop that waits for an operator's request, or a scraper that
// doesn't read, until the process is killed: the services that stop later tell nobody that the
// daemon has left.
func TestStopEndsInTime(t *testing.T) {
	const testTimeout = 20 * time.Second
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	began := make(chan struct{})
	s := New(&settings.Settings{Routing: &settings.Routing{}}, zap.NewNop())
	s.server = &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
	})}
	go func() { _ = s.server.Serve(ln) }()
	c, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	<-began
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background()) }()
	select {
	case err := <-stopped:
		require.NoError(t, err)
	case <-time.After(testTimeout):
		require.Fail(t, "the stop waits for the request")
	}
}
