package entry

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/upstream"
	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/core/sched"
	"github.com/verbenastep/verbenastep/internal/standin"
)

// startRunner starts a simulated engine for the cluster's model.
func (c *cluster) startRunner(t *testing.T, decode float64) *standin.Runner {
	t.Helper()
	r := standin.NewRunner(upstream.Announcement{Name: "up-1", Pool: "logbook-model", Address: "127.0.0.1:0", Slots: 8}, standin.Speed{PrefillPerSecond: 1e6, DecodePerSecond: decode})
	require.NoError(t, r.Listen())
	t.Cleanup(r.Close)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upstreamAddresses["logbook-model"] = r.Self.Address
	return r
}

// startService starts a simulated service that responds after pause.
func (c *cluster) startService(t *testing.T, pause time.Duration) *standin.Service {
	t.Helper()
	s := standin.NewService(upstream.Announcement{Name: "up-1", Pool: "register-api", Address: "127.0.0.1:0"}, pause)
	require.NoError(t, s.Listen())
	t.Cleanup(s.Close)
	c.upstreamAddresses["register-api"] = s.Self.Address
	return s
}

func total(executions map[string]int) int {
	n := 0
	for _, v := range executions {
		n += v
	}
	return n
}

// answerTo returns the simulated engine's answer to a chat of one message.
func answerTo(content string) string {
	return standin.AnswerTo("user: "+content+"\n", defaultMaxTokens)
}

// TestFaultyConnections checks that under every fault of single connections the
// caller gets the complete answer and the engine runs the request once.
func TestFaultyConnections(t *testing.T) {
	faults := []standin.Fault{"", standin.Silent, standin.Cut, standin.Truncated, standin.ForeignFrame, standin.DuplicateFrame, standin.MissingFrame, standin.PrematureEnd}
	for _, f := range faults {
		t.Run("fault "+string(f), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			r := c.startRunner(t, 500)
			r.SetFaultPlan(standin.FaultPlan{Fault: f, AfterFrames: 3, Connections: 2})
			e := c.startEntry(t, "entry-1")
			got := e.do(t, "POST", "/v1/chat/completions", chatBody("draft #8", true), "Idempotency-Key", "k1")
			require.Equal(t, http.StatusOK, got.status, got.body)
			answer, complete := joinDeltas(got.body)
			require.True(t, complete)
			require.Equal(t, answerTo("draft #8"), answer)
			require.Equal(t, 1, total(r.Executions()))
			require.Equal(t, []sched.Outcome{sched.Completed}, c.outcomes())
			require.Equal(t, 1, c.countEvents(promise.Dispatch))
		})
	}
}

// TestEngineLost checks that after the loss of an engine the outcome is unknown,
// the stream has no end marker, and the key never runs again.
func TestEngineLost(t *testing.T) {
	c := newCluster(t)
	r := c.startRunner(t, 50)
	e := c.startEntry(t, "entry-1")
	go func() {
		for total(r.Executions()) == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
		r.Close()
	}()
	got := e.do(t, "POST", "/v1/chat/completions", chatBody("draft #400", true), "Idempotency-Key", "k1")
	partial, complete := joinDeltas(got.body)
	require.NotEmpty(t, partial)
	require.False(t, complete)
	require.Contains(t, got.body, string(fault.Unknown))
	back := c.startRunner(t, 500)
	retried := e.do(t, "POST", "/v1/chat/completions", chatBody("draft #400", false), "Idempotency-Key", "k1")
	require.Equal(t, fault.MayHaveRun, faultOf(t, retried.body).Ran)
	require.Zero(t, total(back.Executions()))
	require.Equal(t, []sched.Outcome{sched.ConnectionLost}, c.outcomes())
}

// TestPromptCrashesEngine checks that the outcome of a prompt that crashes its
// engine is unknown.
func TestPromptCrashesEngine(t *testing.T) {
	c := newCluster(t)
	r := c.startRunner(t, 500)
	r.SetFaultPlan(standin.FaultPlan{CrashOn: "poison"})
	e := c.startEntry(t, "entry-1")
	got := e.do(t, "POST", "/v1/chat/completions", chatBody("poison", false))
	f := faultOf(t, got.body)
	require.Equal(t, fault.Unknown, f.Kind)
	require.Equal(t, fault.MayHaveRun, f.Ran)
}

// TestRunnerRefusal checks that a key is used up once a runner refused its
// request. The runner has received the request, so it is not reported as not run.
func TestRunnerRefusal(t *testing.T) {
	c := newCluster(t)
	r := c.startRunner(t, 500)
	r.SetFaultPlan(standin.FaultPlan{Fault: standin.Refuse})
	e := c.startEntry(t, "entry-1")
	got := e.do(t, "POST", "/v1/chat/completions", chatBody("draft #8", false), "Idempotency-Key", "k1")
	require.Equal(t, fault.MayHaveRun, faultOf(t, got.body).Ran)
	require.Equal(t, "1", got.header.Get("Retry-After"))
	r.SetFaultPlan(standin.FaultPlan{})
	retried := e.do(t, "POST", "/v1/chat/completions", chatBody("draft #8", false), "Idempotency-Key", "k1")
	require.Equal(t, fault.Unknown, faultOf(t, retried.body).Kind)
	require.Zero(t, total(r.Executions()))
	require.Equal(t, 1, c.countEvents(promise.Dispatch))
	other := e.do(t, "POST", "/v1/chat/completions", chatBody("draft #8", false), "Idempotency-Key", "k2")
	require.Equal(t, http.StatusOK, other.status, other.body)
}

// TestCallerDisconnects checks that a request without a caller's key releases its
// slot and cancels its stream when the caller disconnects.
func TestCallerDisconnects(t *testing.T) {
	c := newCluster(t)
	r := c.startRunner(t, 20)
	e := c.startEntry(t, "entry-1")
	client := http.Client{Timeout: 200 * time.Millisecond}
	req, err := http.NewRequest("POST", e.url+"/v1/chat/completions", strings.NewReader(chatBody("draft #4000", true)))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer secret")
	resp, err := client.Do(req)
	require.NoError(t, err)
	_, _ = resp.Body.Read(make([]byte, 1))
	require.NoError(t, resp.Body.Close())
	require.Eventually(t, func() bool { return len(c.outcomes()) == 1 }, 5*time.Second, 10*time.Millisecond)
	require.Equal(t, []sched.Outcome{sched.Canceled}, c.outcomes())
	stream := ""
	for s := range r.Executions() {
		stream = s
	}
	require.Eventually(t, func() bool { return r.Canceled(stream) }, 5*time.Second, 10*time.Millisecond)
}

// TestGetAnswer checks that an answer can be read at either entry, by a caller's
// or an issued key, from an offset and as JSON, and not by another workspace.
func TestGetAnswer(t *testing.T) {
	c := newCluster(t)
	r := c.startRunner(t, 100)
	first, second := c.startEntry(t, "entry-1"), c.startEntry(t, "entry-2")
	for _, key := range []string{"", "mine"} {
		want := answerTo("draft " + key + " #8")
		original := first.do(t, "POST", "/v1/chat/completions", chatBody("draft "+key+" #8", true), "Idempotency-Key", key)
		issued := original.header.Get("Verbenastep-Request")
		for _, e := range []*testEntry{first, second} {
			rest := e.do(t, "GET", "/v1/answers/"+issued+"?offset=6", "")
			answer, complete := joinDeltas(rest.body)
			require.True(t, complete, rest.body)
			require.Equal(t, want[6:], answer)
			require.Equal(t, http.StatusNotFound, e.do(t, "GET", "/v1/answers/"+issued, "", "Authorization", "Bearer foreign").status)
		}
		all := second.do(t, "GET", "/v1/answers/"+issued, "", "Accept", "application/json")
		require.Contains(t, all.body, want)
		require.Equal(t, http.StatusBadRequest, second.do(t, "GET", "/v1/answers/"+issued+"?offset=999", "").status)
	}
	require.Equal(t, 2, total(r.Executions()))
}

// TestStreamResumedAfterOwnerCrash checks that another entry resumes the engine's
// stream after the entry that dispatched it crashed.
func TestStreamResumedAfterOwnerCrash(t *testing.T) {
	c := newCluster(t)
	r := c.startRunner(t, 100)
	first, second := c.startEntry(t, "entry-1"), c.startEntry(t, "entry-2")
	first.do(t, "POST", "/v1/chat/completions", chatBody("draft #8", true), "Idempotency-Key", "k1")
	first.crash()
	retried := second.do(t, "POST", "/v1/chat/completions", chatBody("draft #8", true), "Idempotency-Key", "k1")
	answer, complete := joinDeltas(retried.body)
	require.True(t, complete, retried.body)
	require.Equal(t, answerTo("draft #8"), answer)
	require.Equal(t, 1, total(r.Executions()))
}

// TestLeavingEngine checks that the stream of a leaving engine moves with its KV
// cache to another engine, or stays if that one refuses or has another model version,
// without missing bytes or a second execution.
func TestLeavingEngine(t *testing.T) {
	for name, target := range map[string]struct {
		plan    standin.FaultPlan
		version string
	}{
		"accepts":          {},
		"refuses":          {plan: standin.FaultPlan{Fault: standin.Refuse}},
		"of other version": {version: "v2"},
	} {
		t.Run("target "+name, func(t *testing.T) {
			c := newCluster(t)
			from := c.startRunner(t, 40)
			e := c.startEntry(t, "entry-1")
			responses := make(chan response, 1)
			go func() {
				got, _ := e.try("POST", "/v1/chat/completions", chatBody("draft #40", true), "Idempotency-Key", "k1")
				responses <- got
			}()
			require.Eventually(t, func() bool { return total(from.Executions()) == 1 }, 5*time.Second, time.Millisecond)
			to := c.startRunner(t, 500)
			to.SetFaultPlan(target.plan)
			c.mu.Lock()
			c.upstreamVersion = target.version
			c.mu.Unlock()
			from.Leave()
			got := <-responses
			answer, complete := joinDeltas(got.body)
			require.True(t, complete, got.body)
			require.Equal(t, answerTo("draft #40"), answer)
			moved := target.plan.Fault == "" && target.version == ""
			require.Equal(t, moved, testutil.ToFloat64(e.observer.streamsMoved) == 1)
			require.Zero(t, total(to.Executions()))
			require.Equal(t, 1, total(from.Executions()))
			require.Len(t, c.outcomes(), 2)
		})
	}
}

// TestForcedStop checks that a stop without time to wait closes the callers'
// connections without an error, and that another entry continues the answer.
func TestForcedStop(t *testing.T) {
	c := newCluster(t)
	r := c.startRunner(t, 50)
	first, second := c.startEntry(t, "entry-1"), c.startEntry(t, "entry-2")
	responses := make(chan response, 1)
	go func() {
		got, _ := first.try("POST", "/v1/chat/completions", chatBody("draft #40", true), "Idempotency-Key", "k1")
		responses <- got
	}()
	require.Eventually(t, func() bool { return total(r.Executions()) == 1 }, 5*time.Second, time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	now, cancel := context.WithCancel(t.Context())
	cancel()
	first.Record(promise.Event{Kind: promise.Crashed})
	require.Error(t, first.Stop(now))
	interrupted := <-responses
	before, complete := joinDeltas(interrupted.body)
	require.False(t, complete)
	require.NotContains(t, interrupted.body, `"error"`)
	rest := second.do(t, "GET", fmt.Sprintf("/v1/answers/k1?offset=%d", len(before)), "")
	after, complete := joinDeltas(rest.body)
	require.True(t, complete, rest.body)
	require.Equal(t, answerTo("draft #40"), before+after)
	require.Equal(t, 1, total(r.Executions()))
}

// TestForcedStopDuringFetch checks that a caller which reads a running answer
// through another entry gets the rest of it after a forced stop of the entry that
// dispatched it.
func TestForcedStopDuringFetch(t *testing.T) {
	c := newCluster(t)
	r := c.startRunner(t, 50)
	first, second := c.startEntry(t, "entry-1"), c.startEntry(t, "entry-2")
	go func() {
		_, _ = first.try("POST", "/v1/chat/completions", chatBody("draft #40", true), "Idempotency-Key", "k1")
	}()
	require.Eventually(t, func() bool { return total(r.Executions()) == 1 }, 5*time.Second, time.Millisecond)
	joined := make(chan response, 1)
	go func() {
		got, _ := second.try("POST", "/v1/chat/completions", chatBody("draft #40", true), "Idempotency-Key", "k1")
		joined <- got
	}()
	time.Sleep(200 * time.Millisecond)
	now, cancel := context.WithCancel(t.Context())
	cancel()
	first.Record(promise.Event{Kind: promise.Crashed})
	require.Error(t, first.Stop(now))
	first.crash()
	got := <-joined
	answer, complete := joinDeltas(got.body)
	require.True(t, complete, got.body)
	require.Equal(t, answerTo("draft #40"), answer)
	require.Equal(t, 1, total(r.Executions()))
}
