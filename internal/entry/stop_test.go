package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/core/sched"
	"github.com/verbenastep/verbenastep/internal/link"
)

const modelsRequest = "GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\n\r\n"

// readStatus reads a response and returns its status; zero if it did not come whole.
func readStatus(r *bufio.Reader) int {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// stop stops the entry as planned.
func (e *testEntry) stop(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	require.NoError(t, e.Stop(ctx))
}

// TestStopAnswersWhatWasAccepted guards against requests that are cut off without an answer
// since they were accepted just before the listener closed (report 2).
func TestStopAnswersWhatWasAccepted(t *testing.T) {
	e := newCluster(t).startEntry(t, "entry-1")
	answered, cutOff := atomic.Int64{}, atomic.Int64{}
	callers := sync.WaitGroup{}
	for range 12 {
		callers.Go(func() {
			for {
				c, err := net.DialTimeout("tcp", e.Address(), 500*time.Millisecond)
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, modelsRequest)
				if readStatus(bufio.NewReader(c)) == http.StatusOK {
					answered.Add(1)
				} else {
					cutOff.Add(1)
				}
				_ = c.Close()
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	e.stop(t)
	callers.Wait()
	require.Zero(t, cutOff.Load(), "of %d requests", cutOff.Load()+answered.Load())
	require.Positive(t, answered.Load())
}

// TestStopAnswersHalfReadRequests guards against requests that are cut off since their header has
// arrived in part when the entry stops: on a new connection and on an open one.
func TestStopAnswersHalfReadRequests(t *testing.T) {
	for name, isOpen := range map[string]bool{"new connection": false, "open connection": true} {
		t.Run(name, func(t *testing.T) {
			e := newCluster(t).startEntry(t, "entry-1")
			c, err := net.Dial("tcp", e.Address())
			require.NoError(t, err)
			defer c.Close()
			in := bufio.NewReader(c)
			if isOpen {
				_, _ = io.WriteString(c, modelsRequest)
				require.Equal(t, http.StatusOK, readStatus(in))
			}
			_, err = io.WriteString(c, modelsRequest[:20])
			require.NoError(t, err)
			time.Sleep(50 * time.Millisecond)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				e.stop(t)
			}()
			time.Sleep(200 * time.Millisecond)
			_, err = io.WriteString(c, modelsRequest[20:])
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, readStatus(in))
			<-ended
		})
	}
}

// stopAtOnce stops the entry without waiting for the requests in flight.
func (e *testEntry) stopAtOnce() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = e.Stop(ctx)
}

// stopDuring stops the entry at once after a request has begun, and returns its response.
func (e *testEntry) stopDuring(t *testing.T, body string, headers ...string) (response, error) {
	t.Helper()
	type result struct {
		response
		error
	}
	ended := make(chan result, 1)
	go func() {
		r, err := e.try(http.MethodPost, "/v1/chat/completions", body, headers...)
		ended <- result{r, err}
	}()
	time.Sleep(200 * time.Millisecond)
	e.stopAtOnce()
	r := <-ended
	return r.response, r.error
}

// TestStopAtOnceAnswersWhatNoEntryCompletes guards against requests that are closed without an answer
// at a stop that doesn't wait, although no other entry knows of them: those without a key of the
// caller's.
func TestStopAtOnceAnswersWhatNoEntryCompletes(t *testing.T) {
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprintf("waiting, stream %v", stream), func(t *testing.T) {
			c := newCluster(t)
			c.grantsNothing = true
			e := c.startEntry(t, "entry-1")
			r, err := e.stopDuring(t, chatBody("draft", stream))
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, r.status)
			require.NotEmpty(t, r.header.Get("Retry-After"))
			got := faultOf(t, r.body)
			require.Equal(t, fault.Draining, got.Kind)
			require.Equal(t, fault.NotRun, got.Ran)
		})
	}
	t.Run("running", func(t *testing.T) {
		c := newCluster(t)
		runner := c.startRunner(t, 10)
		e := c.startEntry(t, "entry-1")
		r, err := e.stopDuring(t, chatBody("draft #40", false))
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, r.status)
		got := faultOf(t, r.body)
		require.Equal(t, fault.Unknown, got.Kind)
		require.Equal(t, fault.DidRun, got.Ran)
		require.Equal(t, 1, total(runner.Executions()))
		require.Equal(t, []sched.Outcome{sched.Canceled}, c.outcomes())
	})
}

// TestStopAtOnceLeavesKeyedRequestsOpen guards against a refusal at a stop that doesn't wait which
// keeps another entry from completing a request under its caller's key.
func TestStopAtOnceLeavesKeyedRequestsOpen(t *testing.T) {
	for name, grantsNothing := range map[string]bool{"waiting": true, "running": false} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			c.grantsNothing = grantsNothing
			runner := c.startRunner(t, 10)
			first, second := c.startEntry(t, "entry-1"), c.startEntry(t, "entry-2")
			_, err := first.stopDuring(t, chatBody("draft #10", false), "Idempotency-Key", "draft")
			require.Error(t, err)
			_ = first.link.(*link.Service).Stop(context.Background())
			c.mu.Lock()
			c.grantsNothing = false
			c.members = c.members[1:]
			c.mu.Unlock()
			r := second.do(t, http.MethodPost, "/v1/chat/completions", chatBody("draft #10", false), "Idempotency-Key", "draft")
			require.Equal(t, http.StatusOK, r.status)
			require.Equal(t, 1, total(runner.Executions()))
		})
	}
}
