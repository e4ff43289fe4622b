package entry

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/internal/answer"
	"github.com/verbenastep/verbenastep/internal/standin"
)

// TestGoodputAndWasteMetrics checks the metrics after a complete answer, a missed
// deadline and a refusal.
func TestGoodputAndWasteMetrics(t *testing.T) {
	c := newCluster(t)
	r := c.startRunner(t, 20)
	e := c.startEntry(t, "entry-1")
	o := e.observer
	require.Equal(t, http.StatusOK, e.do(t, "POST", "/v1/chat/completions", chatBody("draft #2", false)).status)
	require.InDelta(t, 1, testutil.ToFloat64(o.goodput.WithLabelValues("top")), 0)
	require.InDelta(t, 1, testutil.ToFloat64(o.requests.WithLabelValues("top", "logbook-model", outcomeComplete)), 0)
	require.Zero(t, testutil.ToFloat64(o.wastedTokens.WithLabelValues("judging")))

	// The deadline passes during an answer, so its prompt tokens are wasted.
	prompt := strings.Repeat("a long history ", 40) + "#4000"
	e.do(t, "POST", "/v1/chat/completions", chatBody(prompt, false), "Verbenastep-Timeout-Ms", "300")
	want := float64((len("user: ") + len(prompt) + len("\n")) / bytesPerToken)
	require.InDelta(t, want, testutil.ToFloat64(o.wastedTokens.WithLabelValues("judging")), 2)
	require.InDelta(t, 1, testutil.ToFloat64(o.goodput.WithLabelValues("top")), 0)
	require.Equal(t, 2, testutil.CollectAndCount(o.firstTokenSeconds)+testutil.CollectAndCount(o.interTokenSeconds))

	r.SetPlan(standin.Plan{Fault: standin.Refuse})
	e.do(t, "POST", "/v1/chat/completions", chatBody("draft #2", false))
	require.InDelta(t, 1, testutil.ToFloat64(o.requests.WithLabelValues("top", "logbook-model", "unavailable")), 0)
}

// TestUndeliveredAnswerIsWasted checks that the prompt tokens of an expired answer
// count as wasted unless a caller received it.
func TestUndeliveredAnswerIsWasted(t *testing.T) {
	c := newCluster(t)
	e := c.startEntry(t, "entry-1")
	for _, delivered := range []bool{true, false} {
		a, _ := e.answers.PutIfAbsent(answer.New(answer.Meta{Workspace: "judging", Key: "k"}))
		a.End(answer.Result{PromptTokens: 30, CachedTokens: 10})
		if delivered {
			a.MarkDelivered()
		}
		e.answers.Expire(time.Now().Add(time.Hour))
		want := map[bool]float64{true: 0, false: 20}[delivered]
		require.InDelta(t, want, testutil.ToFloat64(e.observer.wastedTokens.WithLabelValues("judging")), 0)
	}
}
