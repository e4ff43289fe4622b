package forward

import (
	"bufio"
	"context"
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
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/internal/accept"
	"github.com/verbenastep/verbenastep/internal/port"
)

// stopTimeout bounds the wait for an expected state of a stop.
const stopTimeout = 5 * time.Second

type silentAnnouncer struct{}

func (silentAnnouncer) AnnounceDrain() {}

// endlessBroker grants one upstream to every request.
type endlessBroker struct {
	testBrokerClient
	address string
}

func (c *endlessBroker) Acquire(_ context.Context, o port.BrokerOffer) (port.BrokerTicket, error) {
	return port.BrokerTicket{Grant: broker.Grant{ID: o.ID, Upstream: "u", Address: c.address}, End: func(broker.End) {}}, nil
}

// newStoppingEntry returns an entry and a function that stops it as planned, within a grace
// time of a second.
func newStoppingEntry(t *testing.T) (r *testEntry, stop func()) {
	t.Helper()
	u := newUpstream(t, respondWith(http.StatusOK, "", "a"))
	r = newTestEntry(t, u)
	r.service.brokerClient = &endlessBroker{address: u.ln.Addr().String()}
	r.service.drainAnnouncer, r.service.server, r.service.listener = silentAnnouncer{}, r.server.Config, r.server.Listener.(*accept.Listener)
	return r, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		require.NoError(t, r.service.Drain(ctx))
		_ = r.service.Stop(ctx)
	}
}

const requestHead = "POST /once/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: attempt-1\r\nContent-Length: 4\r\n\r\n"

// ask sends a request and reports whether it was answered, and whether the connection closes.
func ask(c net.Conn, r *bufio.Reader) (answered, closes bool) {
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(c, requestHead+"body")
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return false, true
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil, resp.Close
}

// TestStopAnswersWhatWasAccepted guards against requests that are cut off without an answer
// since they were accepted just before the listener closed (report 2).
func TestStopAnswersWhatWasAccepted(t *testing.T) {
	t.Parallel()
	r, stop := newStoppingEntry(t)
	answered, cutOff := atomic.Int64{}, atomic.Int64{}
	callers := sync.WaitGroup{}
	for range 24 {
		callers.Go(func() {
			for {
				c, err := net.DialTimeout("tcp", r.server.Listener.Addr().String(), 500*time.Millisecond)
				if err != nil {
					return
				}
				if ok, _ := ask(c, bufio.NewReader(c)); ok {
					answered.Add(1)
				} else {
					cutOff.Add(1)
				}
				_ = c.Close()
			}
		})
	}
	stop()
	callers.Wait()
	require.Zero(t, cutOff.Load(), "of %d requests", cutOff.Load()+answered.Load())
	require.Positive(t, answered.Load())
}

// TestStopAnswersOnOpenConnections guards against requests that are cut off on connections
// which are kept open, by callers that honour "Connection: close".
func TestStopAnswersOnOpenConnections(t *testing.T) {
	t.Parallel()
	r, stop := newStoppingEntry(t)
	cutOff := atomic.Int64{}
	callers := sync.WaitGroup{}
	for i := range 24 {
		callers.Go(func() {
			c, err := net.Dial("tcp", r.server.Listener.Addr().String())
			if err != nil {
				return
			}
			defer c.Close()
			in := bufio.NewReader(c)
			for closes := false; !closes; time.Sleep(time.Duration(i) * time.Millisecond) {
				ok := false
				if ok, closes = ask(c, in); !ok {
					cutOff.Add(1)
				}
			}
		})
	}
	stop()
	callers.Wait()
	require.Zero(t, cutOff.Load())
}

// TestStopAnswersHalfReadRequests guards against requests that are cut off since their header or
// body has arrived in part when the entry stops: on a new connection and on an open one.
func TestStopAnswersHalfReadRequests(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ sent, rest string }{
		"header":          {requestHead[:30], requestHead[30:] + "body"},
		"body":            {requestHead + "bo", "dy"},
		"first byte only": {"P", requestHead[1:] + "body"},
	} {
		for _, isOpen := range []bool{false, true} {
			t.Run(name+map[bool]string{false: ", new connection", true: ", open connection"}[isOpen], func(t *testing.T) {
				t.Parallel()
				r, stop := newStoppingEntry(t)
				conn, err := net.Dial("tcp", r.server.Listener.Addr().String())
				require.NoError(t, err)
				defer conn.Close()
				in := bufio.NewReader(conn)
				if isOpen {
					ok, closes := ask(conn, in)
					require.True(t, ok)
					require.False(t, closes)
				}
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					stop()
				}()
				time.Sleep(350 * time.Millisecond)
				_, err = io.WriteString(conn, c.sent)
				require.NoError(t, err)
				time.Sleep(200 * time.Millisecond) // the listener closes
				_, err = io.WriteString(conn, c.rest)
				require.NoError(t, err)
				resp, err := http.ReadResponse(in, nil)
				require.NoError(t, err, "cut off without an answer")
				require.Equal(t, http.StatusOK, resp.StatusCode)
				body, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.Equal(t, "a", strings.TrimSpace(string(body)))
				<-ended
			})
		}
	}
}

// TestStopLogsWhereRequestsStand guards against a planned stop whose log does not tell how many
// requests it waits for or aborts, in which stage they are and when they came.
func TestStopLogsWhereRequestsStand(t *testing.T) {
	t.Parallel()
	r, stop := newStoppingEntry(t)
	lines, logs := observer.New(zap.InfoLevel)
	r.service.log = zap.New(lines)
	u := newUpstream(t, sendNothing)
	r.service.brokerClient = &endlessBroker{address: u.ln.Addr().String()}
	go r.call("once", "body")
	require.Eventually(t, func() bool { return r.service.stages.count()[stageSent] == 1 }, stopTimeout, time.Millisecond)
	stop()
	for _, text := range []string{"left the directory", "accepting no more connections", "grace period ends"} {
		found := logs.Filter(func(e observer.LoggedEntry) bool { return strings.HasPrefix(e.Message, text) }).All()
		require.Len(t, found, 1, text)
		require.Equal(t, map[string]any{"waiting": int64(0), "sent": int64(1), "responding": int64(0)}, found[0].ContextMap()["in_flight"], text)
	}
	require.Eventually(t, func() bool { return logs.FilterMessage("request ended").Len() == 1 }, stopTimeout, time.Millisecond)
	fields := logs.FilterMessage("request ended").All()[0].ContextMap()["drain"].(map[string]any)
	require.Equal(t, "sent", fields["stage"])
	require.Equal(t, int64(1), fields["on_connection"])
	require.Negative(t, fields["arrived"])
}

// TestStopEndsInTimeWithHalfReadHeader guards against a process that is killed at the end of its
// grace period, since its server waits for a connection on which a part of a header has arrived.
func TestStopEndsInTimeWithHalfReadHeader(t *testing.T) {
	t.Parallel()
	for i := range 8 {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			t.Parallel()
			r, stop := newStoppingEntry(t)
			c, err := net.Dial("tcp", r.server.Listener.Addr().String())
			require.NoError(t, err)
			defer c.Close()
			_, err = io.WriteString(c, requestHead[:30])
			require.NoError(t, err)
			began := time.Now()
			stop()
			require.Less(t, time.Since(began), 1500*time.Millisecond)
		})
	}
}

// TestStopWaitsForHandlers guards against log lines and ends of grants that are lost with the
// process: their handlers still wait for a caller that reads nothing when the entry closes its
// connection.
func TestStopWaitsForHandlers(t *testing.T) {
	t.Parallel()
	flood := func(c net.Conn, r *http.Request, _ string) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		event := "data: " + strings.Repeat("x", 60_000) + "\n\n"
		for range 200 {
			if _, err := io.WriteString(c, strconv.FormatInt(int64(len(event)), 16)+"\r\n"+event+"\r\n"); err != nil {
				return
			}
		}
		sendNothing(c, r, "")
	}
	r, _ := newStoppingEntry(t)
	u := newUpstream(t, flood)
	r.service.brokerClient = &endlessBroker{address: u.ln.Addr().String()}
	c, err := net.Dial("tcp", r.server.Listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(4096))
	_, err = io.WriteString(c, strings.Replace(requestHead, "/once/", "/stream/", 1)+"body")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return r.service.stages.count()[stageResponding] == 1 }, stopTimeout, time.Millisecond)
	require.NoError(t, r.service.Drain(t.Context()))
	require.Equal(t, stageCounts{}, r.service.stages.count())
}
