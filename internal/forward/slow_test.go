package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/core/routes"
)

// unreadTimeout is how long the upstreams of these tests keep a response that stays unread.
// The platform's keep it for some seconds.
const unreadTimeout = 700 * time.Millisecond

// pieceBytes is the size of an event of these tests.
const pieceBytes = 4 << 10

// callerWindow is the receive buffer of a slow caller.
const callerWindow = 64 << 10

// streamImpatiently sends events, and breaks off once one stays unread for unreadTimeout. It
// reports the bytes that it sent to sent and the end to ended.
func streamImpatiently(events, size int, sent *atomic.Int64, ended *sync.WaitGroup) script {
	return func(c net.Conn, r *http.Request, _ string) {
		defer ended.Done()
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for i := 1; i <= events; i++ {
			e := fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", size))
			_ = c.SetWriteDeadline(time.Now().Add(unreadTimeout))
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
				_ = c.Close()
				return
			}
			sent.Add(int64(len(e)))
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
		_ = c.SetWriteDeadline(time.Time{})
	}
}

// slowCaller is a caller's connection with a small window that reads when the test does.
type slowCaller struct {
	net.Conn
	r *bufio.Reader
}

func (r *testEntry) connectSlowly(route, body string, headers ...string) *slowCaller {
	r.t.Helper()
	c, err := net.Dial("tcp", r.server.Listener.Addr().String())
	require.NoError(r.t, err)
	r.t.Cleanup(func() { _ = c.Close() })
	require.NoError(r.t, c.(*net.TCPConn).SetReadBuffer(callerWindow))
	head := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: attempt-1\r\nContent-Length: %d\r\n", route, len(body))
	for i := 0; i+1 < len(headers); i += 2 {
		head += headers[i] + ": " + headers[i+1] + "\r\n"
	}
	_, err = io.WriteString(c, head+"\r\n"+body)
	require.NoError(r.t, err)
	return &slowCaller{c, bufio.NewReader(c)}
}

// read reads the response to its end.
func (c *slowCaller) read() callResult {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return callResult{incomplete: true}
	}
	data, err := io.ReadAll(resp.Body)
	return callResult{status: resp.StatusCode, header: resp.Header, body: string(data), incomplete: err != nil}
}

// TestSlowReaderDoesNotStallItsUpstream guards against a stream that its upstream cuts off
// since the entry reads no further than a caller that pauses for longer than the upstream
// allows; and against a connection that the kernel ends since such a caller's window is closed.
func TestSlowReaderDoesNotStallItsUpstream(t *testing.T) {
	t.Parallel()
	const events = 3000
	sent, ended := &atomic.Int64{}, &sync.WaitGroup{}
	ended.Add(1)
	r := newTestEntry(t, newUpstream(t, streamImpatiently(events, pieceBytes, sent, ended)))
	r.service.view = testView{routes.NewIndex(patientTable())}
	c := r.connectSlowly("stream", "b")
	ended.Wait()
	require.Greater(t, sent.Load(), int64(events*pieceBytes), "bytes that the upstream could send")
	require.Eventually(t, func() bool { return len(r.brokerClient.outcomes()) == 1 }, 10*time.Second, time.Millisecond, "the upstream's slot is free before the caller has read")
	require.Positive(t, r.service.buffers.used.Load())
	time.Sleep(maxUnacknowledged + time.Second)
	out := c.read()
	require.False(t, out.incomplete)
	require.Equal(t, events, strings.Count(out.body, "data:"))
	for i := 1; i <= events; i++ {
		require.Contains(t, out.body, fmt.Sprintf("id: %d\ndata: x", i))
	}
	require.Equal(t, []broker.Outcome{broker.Completed}, r.brokerClient.outcomes())
	require.Eventually(t, func() bool { return r.service.buffers.used.Load() == 0 }, 10*time.Second, time.Millisecond, "all of it is released")
}

// TestSlowestReaderIsCutOffAtTheBound guards against an entry that exceeds its memory for slow
// callers, and against one that cuts off others than the slowest, or lets a cut stream look
// complete.
func TestSlowestReaderIsCutOffAtTheBound(t *testing.T) {
	t.Parallel()
	const events = 4000
	sent, ended := &atomic.Int64{}, &sync.WaitGroup{}
	ended.Add(3)
	small := streamImpatiently(events/4, pieceBytes, sent, ended)
	large := streamImpatiently(events, pieceBytes, sent, ended)
	r := newTestEntry(t, newUpstream(t, small), newUpstream(t, large), newUpstream(t, small))
	r.service.view = testView{routes.NewIndex(patientTable())}
	r.service.buffers.limit = 8 << 20
	first := r.connectSlowly("stream", "b")
	require.Eventually(t, func() bool { return len(r.brokerClient.outcomes()) == 1 }, 10*time.Second, time.Millisecond)
	slowest := r.connectSlowly("stream", "b")
	require.Eventually(t, func() bool { return len(r.brokerClient.outcomes()) == 2 }, 10*time.Second, time.Millisecond)
	fast := r.call("stream", "b")
	require.False(t, fast.incomplete, "a fast caller")
	require.Equal(t, events/4, strings.Count(fast.body, "data:"))
	cut := slowest.read()
	require.True(t, cut.incomplete, "the caller that holds most")
	kept := first.read()
	require.False(t, kept.incomplete, "a slow caller that holds less")
	require.Equal(t, events/4, strings.Count(kept.body, "data:"))
	require.LessOrEqual(t, r.service.buffers.used.Load(), r.service.buffers.limit)
	require.Eventually(t, func() bool { return r.service.buffers.used.Load() == 0 }, 10*time.Second, time.Millisecond)
}

// TestCallerThatReadsNothingIsGivenUpAtItsDeadline guards against requests that stay for good
// since their callers neither read nor leave.
func TestCallerThatReadsNothingIsGivenUpAtItsDeadline(t *testing.T) {
	t.Parallel()
	ended := &sync.WaitGroup{}
	ended.Add(1)
	for name, s := range map[string]script{
		"stream": streamImpatiently(3000, pieceBytes, &atomic.Int64{}, ended),
		"body":   respondWith(http.StatusOK, "", strings.Repeat("x", 8<<20)),
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestEntry(t, newUpstream(t, s))
			began := time.Now()
			c := r.connectSlowly("stream", "b", "Wait", "2500")
			require.Eventually(t, func() bool { return r.service.buffers.used.Load() > 0 }, 5*time.Second, time.Millisecond)
			<-r.service.inFlight.Idle()
			require.GreaterOrEqual(t, time.Since(began), 2400*time.Millisecond)
			require.True(t, c.read().incomplete)
			require.Zero(t, r.service.buffers.used.Load())
			require.Less(t, time.Since(began), 10*time.Second, "it is not held until the route's deadline")
		})
	}
}

// TestSlowSenderHoldsWhatItSent guards against memory that is taken for the length which a
// caller only states, and against a body that never arrives.
func TestSlowSenderHoldsWhatItSent(t *testing.T) {
	t.Parallel()
	u := newUpstream(t, respondWith(http.StatusOK, "", "a"))
	r := newTestEntry(t, u)
	c, err := net.Dial("tcp", r.server.Listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST /once/x HTTP/1.1\r\nHost: 127.0.0.1\r\nWait: 700\r\nContent-Length: 4000000\r\n\r\nsome")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return r.service.buffers.used.Load() > 0 }, time.Second, time.Millisecond)
	require.LessOrEqual(t, r.service.buffers.used.Load(), int64(bodyChunkBytes))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
	require.Zero(t, u.requests())
	<-r.service.inFlight.Idle()
	require.Zero(t, r.service.buffers.used.Load())
}

// TestStalledSenderIsRefused guards against a refusal that is held back for as long as the sender
// of a short body stalls: net/http reads up to 256 KiB of an unread body before it sends the
// header. The connection, and a planned stop, then waited for good.
func TestStalledSenderIsRefused(t *testing.T) {
	t.Parallel()
	for path, status := range map[string]int{"/once/x": http.StatusRequestTimeout, "/nowhere/x": http.StatusNotFound} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			t.Parallel()
			r := newTestEntry(t, newUpstream(t, respondWith(http.StatusOK, "", "a")))
			c, err := net.Dial("tcp", r.server.Listener.Addr().String())
			require.NoError(t, err)
			defer c.Close()
			_, err = io.WriteString(c, "POST "+path+" HTTP/1.1\r\nHost: 127.0.0.1\r\nWait: 300\r\nContent-Length: 20000\r\n\r\nsome")
			require.NoError(t, err)
			require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
			in := bufio.NewReader(c)
			resp, err := http.ReadResponse(in, nil)
			require.NoError(t, err, "the refusal does not wait for the rest of the body")
			require.Equal(t, status, resp.StatusCode)
			_, err = io.ReadAll(in)
			require.NoError(t, err, "the connection is closed")
		})
	}
}

// TestSlowSendersMakeRoom guards against bodies that take all memory by their number, and
// against a request which is refused while slow senders hold the memory.
func TestSlowSendersMakeRoom(t *testing.T) {
	t.Parallel()
	const senders, part = 40, 40 << 10
	r := newTestEntry(t, newUpstream(t, respondWith(http.StatusOK, "", "a")))
	r.service.buffers.limit = 1 << 20
	statuses := make(chan int, senders)
	for range senders {
		c, err := net.Dial("tcp", r.server.Listener.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, "POST /once/x HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 400000\r\n\r\n"+strings.Repeat("x", part))
		require.NoError(t, err)
		go func() {
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				statuses <- 0
				return
			}
			statuses <- resp.StatusCode
		}()
	}
	time.Sleep(2 * minSlowTime)
	require.LessOrEqual(t, r.service.buffers.used.Load(), r.service.buffers.limit)
	out := r.call("once", strings.Repeat("b", 300<<10))
	require.Equal(t, http.StatusOK, out.status)
	require.Equal(t, http.StatusServiceUnavailable, <-statuses, "a slow sender is told that its request did not run")
}

// TestCallerThatAcknowledgesIsNotLost guards against the end of a connection whose caller
// reads slowly, and against a caller behind a dropped network that keeps its upstream busy.
func TestCallerThatAcknowledgesIsNotLost(t *testing.T) {
	for name, c := range map[string]struct {
		info unix.TCPInfo
		lost bool
	}{
		"idle":                    {unix.TCPInfo{Last_ack_recv: 60_000, Last_data_sent: 60_000}, false},
		"closed window, answered": {unix.TCPInfo{Last_ack_recv: 6000, Last_data_sent: 9000, Probes: 1}, false},
		"closed window, silent":   {unix.TCPInfo{Last_ack_recv: 6000, Last_data_sent: 9000, Probes: 3}, true},
		"sent again, silent":      {unix.TCPInfo{Last_ack_recv: 2100, Last_data_sent: 600, Unacked: 3, Retransmits: 4}, true},
		"sent again, answered":    {unix.TCPInfo{Last_ack_recv: 3000, Last_data_sent: 3010, Unacked: 3, Retransmits: 4}, false},
		"sent just now":           {unix.TCPInfo{Last_ack_recv: 9000, Last_data_sent: 10, Unacked: 1}, false},
	} {
		require.Equal(t, c.lost, isUnacknowledged(&c.info), name)
	}
}

// TestSlowCallerThatLeavesEndsUpstream guards against an upstream that works on for a caller that
// has left while the entry held events for it.
func TestSlowCallerThatLeavesEndsUpstream(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(c *net.TCPConn) error{
		"closed": (*net.TCPConn).Close, "half closed": (*net.TCPConn).CloseWrite,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ended := make(chan struct{})
			u := newUpstream(t, func(c net.Conn, r *http.Request, _ string) {
				defer close(ended)
				fmt.Fprintf(c, streamHead, r.Header.Get("Id"))
				for i := 1; ; i++ {
					time.Sleep(time.Millisecond)
					if _, err := fmt.Fprintf(c, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 2*pieceBytes)); err != nil {
						return
					}
				}
			})
			r := newTestEntry(t, u)
			r.service.view = testView{routes.NewIndex(patientTable())}
			c := r.connectSlowly("stream", "b")
			require.Eventually(t, func() bool { return r.service.buffers.used.Load() > 1<<20 }, 20*time.Second, time.Millisecond)
			require.NoError(t, leave(c.Conn.(*net.TCPConn)))
			select {
			case <-ended:
			case <-time.After(500 * time.Millisecond):
				t.Fatal("the upstream still works half a second after the caller left")
			}
			require.Eventually(t, func() bool { return r.service.buffers.used.Load() == 0 }, 5*time.Second, time.Millisecond, "what was held is released")
		})
	}
}
