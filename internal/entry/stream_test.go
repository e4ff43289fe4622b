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

// runner starts a stand-in engine for the cluster's model.
func (c *cluster) runner(t *testing.T, decode float64) *standin.Runner {
	t.Helper()
	r := standin.NewRunner(upstream.Announcement{Name: "up-1", Pool: "logbook-model", Address: "127.0.0.1:0", Slots: 8}, standin.Speed{PrefillPerSecond: 1e6, DecodePerSecond: decode})
	require.NoError(t, r.Listen())
	t.Cleanup(r.Close)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pools["logbook-model"] = r.Self.Address
	return r
}

// service starts a stand-in plain service.
func (c *cluster) service(t *testing.T, pause time.Duration) *standin.Service {
	t.Helper()
	s := standin.NewService(upstream.Announcement{Name: "up-1", Pool: "register-api", Address: "127.0.0.1:0"}, pause)
	require.NoError(t, s.Listen())
	t.Cleanup(s.Close)
	c.pools["register-api"] = s.Self.Address
	return s
}

func total(executions map[string]int) int {
	n := 0
	for _, v := range executions {
		n += v
	}
	return n
}

// answerTo is the stand-in's answer to a chat of one turn.
func answerTo(content string) string {
	return standin.AnswerTo("user: "+content+"\n", defaultMaxTokens)
}

// TestSpoiledStreams: whatever one connection does, the caller gets the whole
// answer and the engine runs the request once.
func TestSpoiledStreams(t *testing.T) {
	faults := []standin.Fault{"", standin.Silent, standin.Cut, standin.Truncated, standin.ForeignFrame, standin.DuplicateFrame, standin.MissingFrame, standin.PrematureEnd}
	for _, f := range faults {
		t.Run("fault "+string(f), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			r := c.runner(t, 500)
			r.SetFaultPlan(standin.FaultPlan{Fault: f, AfterFrames: 3, Connections: 2})
			e := c.entry(t, "entry-1")
			got := e.do(t, "POST", "/v1/chat/completions", chatBody("draft #8", true), "Idempotency-Key", "k1")
			require.Equal(t, http.StatusOK, got.status, got.body)
			answer, whole := text(got.body)
			require.True(t, whole)
			require.Equal(t, answerTo("draft #8"), answer)
			require.Equal(t, 1, total(r.Executions()))
			require.Equal(t, []sched.Outcome{sched.Completed}, c.outcomes())
			require.Equal(t, 1, c.count(promise.Dispatch))
		})
	}
}

// TestEngineGone: the caller is told that the outcome is unknown; the stream
// has no end that looks whole, and the key never runs again.
func TestEngineGone(t *testing.T) {
	c := newCluster(t)
	r := c.runner(t, 50)
	e := c.entry(t, "entry-1")
	go func() {
		for total(r.Executions()) == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
		r.Close()
	}()
	got := e.do(t, "POST", "/v1/chat/completions", chatBody("draft #400", true), "Idempotency-Key", "k1")
	begun, whole := text(got.body)
	require.NotEmpty(t, begun)
	require.False(t, whole)
	require.Contains(t, got.body, string(fault.Unknown))
	back := c.runner(t, 500)
	again := e.do(t, "POST", "/v1/chat/completions", chatBody("draft #400", false), "Idempotency-Key", "k1")
	require.Equal(t, fault.MayHaveRun, faultOf(t, again.body).Ran)
	require.Zero(t, total(back.Executions()))
	require.Equal(t, []sched.Outcome{sched.ConnectionLost}, c.outcomes())
}

func TestCrashingPromptIsUnknown(t *testing.T) {
	c := newCluster(t)
	r := c.runner(t, 500)
	r.SetFaultPlan(standin.FaultPlan{CrashOn: "poison"})
	e := c.entry(t, "entry-1")
	got := e.do(t, "POST", "/v1/chat/completions", chatBody("poison", false))
	f := faultOf(t, got.body)
	require.Equal(t, fault.Unknown, f.Kind)
	require.Equal(t, fault.MayHaveRun, f.Ran)
}

// TestEngineRefusal: a runner that refuses has received the request, so that
// its key is used up and not run is not claimed.
func TestEngineRefusal(t *testing.T) {
	c := newCluster(t)
	r := c.runner(t, 500)
	r.SetFaultPlan(standin.FaultPlan{Fault: standin.Refuse})
	e := c.entry(t, "entry-1")
	got := e.do(t, "POST", "/v1/chat/completions", chatBody("draft #8", false), "Idempotency-Key", "k1")
	require.Equal(t, fault.MayHaveRun, faultOf(t, got.body).Ran)
	require.Equal(t, "1", got.header.Get("Retry-After"))
	r.SetFaultPlan(standin.FaultPlan{})
	again := e.do(t, "POST", "/v1/chat/completions", chatBody("draft #8", false), "Idempotency-Key", "k1")
	require.Equal(t, fault.Unknown, faultOf(t, again.body).Kind)
	require.Zero(t, total(r.Executions()))
	require.Equal(t, 1, c.count(promise.Dispatch))
	other := e.do(t, "POST", "/v1/chat/completions", chatBody("draft #8", false), "Idempotency-Key", "k2")
	require.Equal(t, http.StatusOK, other.status, other.body)
}

// TestCallerGone: an unkeyed request frees its slot and cancels its stream.
func TestCallerGone(t *testing.T) {
	c := newCluster(t)
	r := c.runner(t, 20)
	e := c.entry(t, "entry-1")
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

// TestPickUp: an answer is read at another entry, by caller's and issued keys,
// from any offset, byte for byte; a foreign workspace finds nothing.
func TestPickUp(t *testing.T) {
	c := newCluster(t)
	r := c.runner(t, 100)
	one, two := c.entry(t, "entry-1"), c.entry(t, "entry-2")
	for _, key := range []string{"", "mine"} {
		want := answerTo("draft " + key + " #8")
		first := one.do(t, "POST", "/v1/chat/completions", chatBody("draft "+key+" #8", true), "Idempotency-Key", key)
		issued := first.header.Get("Verbenastep-Request")
		for _, e := range []*entryRig{one, two} {
			rest := e.do(t, "GET", "/v1/answers/"+issued+"?offset=6", "")
			answer, whole := text(rest.body)
			require.True(t, whole, rest.body)
			require.Equal(t, want[6:], answer)
			require.Equal(t, http.StatusNotFound, e.do(t, "GET", "/v1/answers/"+issued, "", "Authorization", "Bearer foreign").status)
		}
		all := two.do(t, "GET", "/v1/answers/"+issued, "", "Accept", "application/json")
		require.Contains(t, all.body, want)
		require.Equal(t, http.StatusBadRequest, two.do(t, "GET", "/v1/answers/"+issued+"?offset=999", "").status)
	}
	require.Equal(t, 2, total(r.Executions()))
}

// TestOwnerGone: after the entry that dispatched is gone, another one resumes
// the engine's stream.
func TestOwnerGone(t *testing.T) {
	c := newCluster(t)
	r := c.runner(t, 100)
	one, two := c.entry(t, "entry-1"), c.entry(t, "entry-2")
	one.do(t, "POST", "/v1/chat/completions", chatBody("draft #8", true), "Idempotency-Key", "k1")
	one.crash()
	again := two.do(t, "POST", "/v1/chat/completions", chatBody("draft #8", true), "Idempotency-Key", "k1")
	answer, whole := text(again.body)
	require.True(t, whole, again.body)
	require.Equal(t, answerTo("draft #8"), answer)
	require.Equal(t, 1, total(r.Executions()))
}

// TestLeavingEngine: a leaving engine's stream moves with its cache to another
// one, or stays where that one refuses; no byte is missing and nothing is
// computed again.
func TestLeavingEngine(t *testing.T) {
	for _, plan := range []standin.FaultPlan{{}, {Fault: standin.Refuse}} {
		t.Run("target "+string(plan.Fault), func(t *testing.T) {
			c := newCluster(t)
			from := c.runner(t, 40)
			e := c.entry(t, "entry-1")
			told := make(chan reply, 1)
			go func() {
				got, _ := e.try("POST", "/v1/chat/completions", chatBody("draft #40", true), "Idempotency-Key", "k1")
				told <- got
			}()
			require.Eventually(t, func() bool { return total(from.Executions()) == 1 }, 5*time.Second, time.Millisecond)
			to := c.runner(t, 500)
			to.SetFaultPlan(plan)
			from.Leave()
			got := <-told
			answer, whole := text(got.body)
			require.True(t, whole, got.body)
			require.Equal(t, answerTo("draft #40"), answer)
			moved := plan.Fault == ""
			require.Equal(t, moved, testutil.ToFloat64(e.observer.movedSum) == 1)
			require.Zero(t, total(to.Executions()))
			require.Equal(t, 1, total(from.Executions()))
			require.Len(t, c.outcomes(), 2)
		})
	}
}

// TestForcedStopSaysNothing: a stop that may not wait cuts its callers off; the
// answer goes on at another entry.
func TestForcedStopSaysNothing(t *testing.T) {
	c := newCluster(t)
	r := c.runner(t, 50)
	one, two := c.entry(t, "entry-1"), c.entry(t, "entry-2")
	told := make(chan reply, 1)
	go func() {
		got, _ := one.try("POST", "/v1/chat/completions", chatBody("draft #40", true), "Idempotency-Key", "k1")
		told <- got
	}()
	require.Eventually(t, func() bool { return total(r.Executions()) == 1 }, 5*time.Second, time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	now, cancel := context.WithCancel(t.Context())
	cancel()
	one.Record(promise.Event{Kind: promise.Crashed})
	require.Error(t, one.Stop(now))
	cut := <-told
	before, whole := text(cut.body)
	require.False(t, whole)
	require.NotContains(t, cut.body, `"error"`)
	rest := two.do(t, "GET", fmt.Sprintf("/v1/answers/k1?offset=%d", len(before)), "")
	after, whole := text(rest.body)
	require.True(t, whole, rest.body)
	require.Equal(t, answerTo("draft #40"), before+after)
	require.Equal(t, 1, total(r.Executions()))
}

// TestForcedStopUnderAFetch: a caller that reads a running answer through
// another entry gets the rest of it when the entry that dispatched is stopped
// by force.
func TestForcedStopUnderAFetch(t *testing.T) {
	c := newCluster(t)
	r := c.runner(t, 50)
	one, two := c.entry(t, "entry-1"), c.entry(t, "entry-2")
	go func() {
		_, _ = one.try("POST", "/v1/chat/completions", chatBody("draft #40", true), "Idempotency-Key", "k1")
	}()
	require.Eventually(t, func() bool { return total(r.Executions()) == 1 }, 5*time.Second, time.Millisecond)
	joined := make(chan reply, 1)
	go func() {
		got, _ := two.try("POST", "/v1/chat/completions", chatBody("draft #40", true), "Idempotency-Key", "k1")
		joined <- got
	}()
	time.Sleep(200 * time.Millisecond)
	now, cancel := context.WithCancel(t.Context())
	cancel()
	one.Record(promise.Event{Kind: promise.Crashed})
	require.Error(t, one.Stop(now))
	one.crash()
	got := <-joined
	answer, whole := text(got.body)
	require.True(t, whole, got.body)
	require.Equal(t, answerTo("draft #40"), answer)
	require.Equal(t, 1, total(r.Executions()))
}
