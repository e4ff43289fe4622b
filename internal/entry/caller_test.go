package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/internal/standin"
)

// TestRefusalsBeforeDispatch checks that invalid requests get the right status,
// code and a remedy, and that none of them is dispatched.
func TestRefusalsBeforeDispatch(t *testing.T) {
	c := newCluster(t)
	r := c.startRunner(t, 500)
	s := c.startService(t, 0)
	e := c.startEntry(t, "entry-1")
	chat := "/v1/chat/completions"
	cases := []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		kind                     fault.Kind
	}{
		{"wrong key", "POST", chat, chatBody("x", false), []string{"Authorization", "Bearer wrong"}, 401, fault.Unauthenticated},
		{"no key", "POST", chat, chatBody("x", false), []string{"Authorization", ""}, 401, fault.Unauthenticated},
		{"not JSON", "POST", chat, "{", nil, 400, fault.Malformed},
		{"unknown model", "POST", chat, `{"model":"x","messages":[{"role":"user","content":"x"}]}`, nil, 404, fault.NotFound},
		{"no prompt", "POST", chat, `{"model":"logbook-model"}`, nil, 400, fault.Malformed},
		{"two choices", "POST", chat, `{"model":"logbook-model","n":2,"messages":[{"role":"user","content":"x"}]}`, nil, 400, fault.Malformed},
		{"an image", "POST", chat, `{"model":"logbook-model","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, nil, 400, fault.Malformed},
		{"too large", "POST", chat, chatBody(strings.Repeat("x", 5000), false), nil, 413, fault.TooLarge},
		{"issued form of key", "POST", chat, chatBody("x", false), []string{"Idempotency-Key", "vb-entry-1.x"}, 400, fault.Malformed},
		{"bad timeout", "POST", chat, chatBody("x", false), []string{"Verbenastep-Timeout-Ms", "soon"}, 400, fault.Malformed},
		{"no such service", "GET", "/services/none/x", "", nil, 404, fault.NotFound},
		{"no such operation", "DELETE", "/services/register-api/transfers", "", nil, 404, fault.NotFound},
		{"key required", "POST", "/services/register-api/transfers", "{}", nil, 400, fault.KeyRequired},
		{"unknown answer", "GET", "/v1/answers/none", "", nil, 404, fault.NotFound},
		{"bad offset", "GET", "/v1/answers/none?offset=-1", "", nil, 400, fault.Malformed},
		{"unknown path", "GET", "/v2/models", "", nil, 404, fault.NotFound},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			got := e.do(t, k.method, k.path, k.body, k.headers...)
			require.Equal(t, k.status, got.status, got.body)
			f := faultOf(t, got.body)
			require.Equal(t, k.kind, f.Kind)
			require.NotEmpty(t, f.Remedy)
		})
	}
	require.Zero(t, total(r.Executions())+total(s.Executions()))
}

// TestOpenAICompatibility checks prompts made of parts, streamed token counts,
// the legacy completion call and the list of models.
func TestOpenAICompatibility(t *testing.T) {
	c := newCluster(t)
	c.startRunner(t, 500)
	e := c.startEntry(t, "entry-1")
	parts := `{"model":"logbook-model","temperature":0.2,"stop":["x"],"stream":true,"stream_options":{"include_usage":true},` +
		`"messages":[{"role":"system","content":"brief"},{"role":"user","content":[{"type":"text","text":"draft "},{"type":"text","text":"#2"}]}]}`
	got := e.do(t, "POST", "/v1/chat/completions", parts)
	require.Contains(t, got.body, `"delta":{"role":"assistant"}`)
	require.Contains(t, got.body, `"completion_tokens":2`)
	answer, complete := joinDeltas(got.body)
	require.True(t, complete)
	require.Equal(t, standin.AnswerTo("system: brief\nuser: draft #2\n", defaultMaxTokens), answer)
	legacy := e.do(t, "POST", "/v1/completions", `{"model":"logbook-model","prompt":"draft #2"}`)
	require.Contains(t, legacy.body, `"text":"`+standin.AnswerTo("draft #2", defaultMaxTokens)+`"`)
	require.Contains(t, e.do(t, "GET", "/v1/models", "").body, `"id":"logbook-model"`)
}

// TestOptionsArePartOfContent checks that different sampling options under the
// same key are a conflict.
func TestOptionsArePartOfContent(t *testing.T) {
	c := newCluster(t)
	c.startRunner(t, 500)
	e := c.startEntry(t, "entry-1")
	body := `{"model":"logbook-model","prompt":"draft #2","temperature":%s}`
	require.Equal(t, 200, e.do(t, "POST", "/v1/completions", fmt.Sprintf(body, "0.1"), "Idempotency-Key", "k").status)
	require.Equal(t, 409, e.do(t, "POST", "/v1/completions", fmt.Sprintf(body, "0.9"), "Idempotency-Key", "k").status)
}

// TestSlowCallersDoNotBlockOthers guards against callers with half-sent headers
// exhausting the connection limit.
func TestSlowCallersDoNotBlockOthers(t *testing.T) {
	c := newCluster(t)
	e := c.startEntry(t, "entry-1")
	for range 40 {
		conn, err := net.Dial("tcp", e.Address())
		require.NoError(t, err)
		defer conn.Close()
		_, _ = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n")
	}
	require.Equal(t, http.StatusOK, e.do(t, "GET", "/v1/models", "").status)
	require.Eventually(t, func() bool { return e.conns.count() <= 32 }, 5*time.Second, 10*time.Millisecond)
}

// TestOversizedHeaderIsRefused checks that a header above the limit is refused
// and the entry keeps serving.
func TestOversizedHeaderIsRefused(t *testing.T) {
	c := newCluster(t)
	e := c.startEntry(t, "entry-1")
	got, err := e.try("GET", "/v1/models", "", "X-Long", strings.Repeat("x", 64<<10))
	if err == nil {
		require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, got.status)
	}
	require.Equal(t, http.StatusOK, e.do(t, "GET", "/v1/models", "").status)
}

// TestCallerDeadline checks that a request ends at the timeout that its caller
// sets, and is reported as run.
func TestCallerDeadline(t *testing.T) {
	c := newCluster(t)
	c.startRunner(t, 20)
	e := c.startEntry(t, "entry-1")
	got := e.do(t, "POST", "/v1/chat/completions", chatBody("draft #4000", false), "Verbenastep-Timeout-Ms", "200")
	require.Equal(t, http.StatusGatewayTimeout, got.status, got.body)
	require.Equal(t, fault.DidRun, faultOf(t, got.body).Ran)
}

// TestExplain checks that a request can be explained, but not to another
// workspace.
func TestExplain(t *testing.T) {
	c := newCluster(t)
	c.startRunner(t, 500)
	e := c.startEntry(t, "entry-1")
	e.do(t, "POST", "/v1/chat/completions", chatBody("draft #2", false), "Idempotency-Key", "k1")
	data, ok := e.Explain("k1")
	require.True(t, ok)
	require.Contains(t, string(data), `"reason":"only one"`)
	require.Contains(t, string(data), `"outcome":"whole"`)
	require.Equal(t, http.StatusNotFound, e.do(t, "GET", "/v1/answers/k1/why", "", "Authorization", "Bearer foreign").status)
}
