package accept

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPipelinedRequestKeepsItsConnection guards against a request that is cut off at a planned
// stop although it is being served: it arrived together with the one before it, so that the server
// had buffered it and nothing was read from the connection after that one ended.
func TestPipelinedRequestKeepsItsConnection(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := New(raw, net.KeepAliveConfig{})
	began, finish := make(chan struct{}), make(chan struct{})
	server := &http.Server{ConnState: OnStateChange, ConnContext: ConnContext, Handler: Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/second" {
			close(began)
			<-finish
		}
	}))}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	c, err := net.Dial("tcp", raw.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /second HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	<-began
	for range 3 {
		require.Equal(t, 1, l.CloseIdle())
		time.Sleep(2 * minIdleTime)
	}
	close(finish)
	in := bufio.NewReader(c)
	for range 2 {
		resp, err := http.ReadResponse(in, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	require.Eventually(t, func() bool { return l.CloseIdle() == 0 }, 5*time.Second, 2*minIdleTime, "the connection is idle now")
}

// TestOneLookClosesNothing guards against the end of a connection between the kernel's read of a
// request and the record of it: for a moment it looks idle.
func TestOneLookClosesNothing(t *testing.T) {
	now := time.Now()
	c := &conn{}
	c.wasUsed.Store(true)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer raw.Close()
	dialed, err := net.Dial("tcp", raw.Addr().String())
	require.NoError(t, err)
	defer dialed.Close()
	c.TCPConn = dialed.(*net.TCPConn)
	require.False(t, c.staysIdle(now))
	require.False(t, c.staysIdle(now.Add(minIdleTime/2)))
	c.recordInput()
	require.False(t, c.staysIdle(now.Add(minIdleTime)))
	c.hasInput.Store(false)
	require.False(t, c.staysIdle(now.Add(2*minIdleTime)), "a request came and ended meanwhile")
	require.True(t, c.staysIdle(now.Add(3*minIdleTime)))
}

// serve returns a listener with an HTTP server, and a connection to it.
func serve(t *testing.T, handler http.HandlerFunc) (*Listener, net.Conn) {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := New(raw, net.KeepAliveConfig{})
	server := &http.Server{ConnState: OnStateChange, ConnContext: ConnContext, Handler: Handler(handler), IdleTimeout: time.Minute, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	c, err := net.Dial("tcp", raw.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return l, c
}

// requireAnswers requires complete answers to a number of requests.
func requireAnswers(t *testing.T, in *bufio.Reader, n int) {
	t.Helper()
	for range n {
		resp, err := http.ReadResponse(in, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
}

const testRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// TestBeginOfNextRequestKeepsItsConnection guards against a request that is cut off at a planned
// stop although a part of it was read before the request in front of it ended: the server had
// buffered it, or has looked for it while that one ran.
func TestBeginOfNextRequestKeepsItsConnection(t *testing.T) {
	for name, c := range map[string]struct{ first, during, rest string }{
		"buffered with the first": {testRequest + testRequest[:10], "", testRequest[10:]},
		"read ahead":              {testRequest, testRequest[:1], testRequest[1:]},
		"read ahead in part":      {testRequest, testRequest[:5], testRequest[5:]},
	} {
		t.Run(name, func(t *testing.T) {
			began, finish := make(chan struct{}, 2), make(chan struct{})
			l, caller := serve(t, func(http.ResponseWriter, *http.Request) {
				began <- struct{}{}
				<-finish
			})
			in := bufio.NewReader(caller)
			_, err := io.WriteString(caller, c.first)
			require.NoError(t, err)
			<-began
			_, err = io.WriteString(caller, c.during)
			require.NoError(t, err)
			time.Sleep(2 * minIdleTime)
			close(finish)
			requireAnswers(t, in, 1)
			for range 3 {
				time.Sleep(2 * minIdleTime)
				require.Equal(t, 1, l.CloseIdle())
			}
			_, err = io.WriteString(caller, c.rest)
			require.NoError(t, err)
			requireAnswers(t, in, 1)
			require.Eventually(t, func() bool { return l.CloseIdle() == 0 }, 5*time.Second, 2*minIdleTime, "the connection is idle now")
		})
	}
}

// TestStarvedReaderKeepsItsConnection guards against a request that runs although its connection was
// closed before it: the server has taken its bytes from the kernel, but does not get to run for so
// long that both looks find the connection idle. Its caller takes it for unread and sends it again.
func TestStarvedReaderKeepsItsConnection(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := New(raw, net.KeepAliveConfig{})
	defer l.Close()
	caller, err := net.Dial("tcp", raw.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	accepted, err := l.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	c := accepted.(*conn)
	OnStateChange(c, http.StateIdle)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Minute)))
	buffer := make([]byte, 100)
	_, err = io.WriteString(caller, testRequest)
	require.NoError(t, err)
	n, err := c.TCPConn.Read(buffer)
	require.NoError(t, err)
	for range 3 {
		require.Equal(t, 1, l.CloseIdle())
		time.Sleep(2 * minIdleTime)
	}
	require.False(t, c.endRead(n, len(buffer), nil))
	_, err = io.WriteString(caller, testRequest)
	require.NoError(t, err)
	n, err = c.Read(buffer)
	require.NoError(t, err, "the request goes on")
	require.Equal(t, testRequest, string(buffer[:n]))
}

// TestRequestBesideCloseIsServed guards against a request that is cut off since it arrives after the
// look that found its connection idle, and before the close.
func TestRequestBesideCloseIsServed(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := New(raw, net.KeepAliveConfig{})
	defer l.Close()
	caller, err := net.Dial("tcp", raw.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	accepted, err := l.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	c := accepted.(*conn)
	OnStateChange(c, http.StateIdle)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Minute)))
	require.True(t, c.end())
	_, err = io.WriteString(caller, testRequest)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return controlSocket(c, hasUnread) }, 5*time.Second, time.Millisecond)
	buffer := make([]byte, 100)
	n, err := c.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, testRequest, string(buffer[:n]))
	require.False(t, c.isIdle())
}

// TestCloseKeepsWrittenAnswer guards against an answer that was written whole but doesn't arrive: a
// connection that is closed with unread bytes, or gets more bytes then, is reset, and what the
// kernel had not delivered is lost.
func TestCloseKeepsWrittenAnswer(t *testing.T) {
	const length = 600_000
	for name, late := range map[string]bool{"unread bytes": false, "late bytes at a stop": true} {
		t.Run(name, func(t *testing.T) {
			began, write := make(chan struct{}), make(chan struct{})
			l, caller := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				close(began)
				<-write
				w.Header().Set("Connection", "close")
				w.Header().Set("Content-Length", strconv.Itoa(length))
				_, _ = w.Write(make([]byte, length))
			})
			require.NoError(t, caller.(*net.TCPConn).SetReadBuffer(32<<10))
			_, err := io.WriteString(caller, testRequest)
			require.NoError(t, err)
			<-began
			if late {
				l.StopAccepting()
				close(write)
				time.Sleep(100 * time.Millisecond)
			}
			_, err = io.WriteString(caller, testRequest)
			require.NoError(t, err)
			if !late {
				close(write)
			}
			time.Sleep(100 * time.Millisecond)
			requireAnswers(t, bufio.NewReader(caller), 1)
		})
	}
}

// TestLingeringConnectionTakesNothing guards against a server that reads a request, or writes a
// response, after it has closed the connection.
func TestLingeringConnectionTakesNothing(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := New(raw, net.KeepAliveConfig{})
	defer l.Close()
	l.LingerOnClose()
	caller, err := net.Dial("tcp", raw.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	c, err := l.Accept()
	require.NoError(t, err)
	readEnded := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 100))
		readEnded <- err
	}()
	time.Sleep(minIdleTime)
	require.NoError(t, c.Close())
	_, err = c.Write([]byte("late"))
	require.Error(t, err)
	require.ErrorIs(t, <-readEnded, net.ErrClosed)
	_, _ = io.WriteString(caller, testRequest)
	_, err = c.Read(make([]byte, 100))
	require.ErrorIs(t, err, net.ErrClosed)
	got, err := io.ReadAll(caller)
	require.NoError(t, err, "closed in order")
	require.Empty(t, got)
	require.Eventually(t, func() bool { return l.CloseIdle() == 0 }, 5*time.Second, 2*minIdleTime)
}

// TestFloodDoesNotLinger guards against a flood of connections that the server closes, each with
// unread bytes, which takes up all sockets since they linger.
func TestFloodDoesNotLinger(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := New(raw, net.KeepAliveConfig{})
	defer l.Close()
	l.LingerOnClose()
	l.lingering.Store(maxLingering)
	caller, err := net.Dial("tcp", raw.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	c, err := l.Accept()
	require.NoError(t, err)
	require.NoError(t, c.Close())
	require.Zero(t, l.CloseIdle())
	require.EqualValues(t, maxLingering, l.lingering.Load())
}

// TestClosedConnectionBeginsNoRequest guards against a request that runs though nobody gets its
// answer: its connection was closed, above the limit of connections or at a forced stop, while the
// server read the end of its header.
func TestClosedConnectionBeginsNoRequest(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := New(raw, net.KeepAliveConfig{})
	defer l.Close()
	caller, err := net.Dial("tcp", raw.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	c, err := l.Accept()
	require.NoError(t, err)
	began := 0
	handler := Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { began++ }))
	request := httptest.NewRequestWithContext(ConnContext(t.Context(), c), http.MethodPost, "/", nil)
	handler.ServeHTTP(httptest.NewRecorder(), request)
	require.Equal(t, 1, began)
	require.NoError(t, c.Close())
	handler.ServeHTTP(httptest.NewRecorder(), request)
	require.Equal(t, 1, began)
}
