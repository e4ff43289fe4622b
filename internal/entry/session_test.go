package entry

import (
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/internal/standin"
)

// transcript records requests and responses in a form that does not change
// between runs: without random identifiers, times and the division of a stream
// into events.
type transcript struct {
	t   *testing.T
	out strings.Builder
}

var (
	issuedKey = regexp.MustCompile(`vb-entry-(\d)\.[a-z0-9]+`)
	created   = regexp.MustCompile(`"created":\d+`)
	shown     = []string{"Content-Type", "Retry-After", "Verbenastep-Request"}
)

func normalize(s string) string {
	return created.ReplaceAllString(issuedKey.ReplaceAllString(s, "vb-entry-$1.ID"), `"created":0`)
}

func (s *transcript) note(format string, args ...any) {
	fmt.Fprintf(&s.out, "# "+format+"\n\n", args...)
}

func (s *transcript) call(e *testEntry, method, path, body string, headers ...string) response {
	got := e.do(s.t, method, path, body, headers...)
	fmt.Fprintf(&s.out, "> %s %s at %s\n", method, normalize(path), e.self.Name)
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(&s.out, "> %s: %s\n", headers[i], headers[i+1])
	}
	if body != "" {
		fmt.Fprintf(&s.out, "> %s\n", body)
	}
	fmt.Fprintf(&s.out, "< %d\n", got.status)
	for _, name := range shown {
		if v := got.header.Get(name); v != "" {
			fmt.Fprintf(&s.out, "< %s: %s\n", name, normalize(v))
		}
	}
	s.out.WriteString(normalize(formatBody(got)) + "\n")
	return got
}

// formatBody returns a body for the transcript. Text events of a stream are joined
// and shown with the last ID.
func formatBody(r response) string {
	if !strings.HasPrefix(r.header.Get("Content-Type"), "text/event-stream") {
		return "< " + strings.TrimSpace(r.body) + "\n"
	}
	b := strings.Builder{}
	lines := slices.DeleteFunc(strings.Split(r.body, "\n"), func(l string) bool { return l == "" || strings.HasPrefix(l, ":") })
	text, id := "", ""
	flush := func() {
		if text != "" {
			fmt.Fprintf(&b, "< event text %q up to %s\n", text, id)
		}
		text = ""
	}
	for _, l := range lines {
		if v, ok := strings.CutPrefix(l, "id: "); ok {
			id = v
			continue
		}
		data := strings.TrimPrefix(l, "data: ")
		a := completionAnswer{}
		isText := json.Unmarshal([]byte(data), &a) == nil && len(a.Choices) > 0 && a.Choices[0].Delta != nil && a.Choices[0].Delta.Content != ""
		if isText {
			text += a.Choices[0].Delta.Content
			continue
		}
		flush()
		fmt.Fprintf(&b, "< event %s\n", data)
	}
	flush()
	return b.String()
}

func (s *transcript) check(name string) {
	s.t.Helper()
	goldie.New(s.t).Assert(s.t, name, []byte(s.out.String()))
}

// TestGoldenDay compares a lookup, a streamed draft, a transfer and their retries
// at another entry with the golden transcript.
func TestGoldenDay(t *testing.T) {
	c := newCluster(t)
	c.startRunner(t, 500)
	c.startService(t, 0)
	first, second := c.startEntry(t, "entry-1"), c.startEntry(t, "entry-2")
	s := &transcript{t: t}
	s.note("The models available to the workspace.")
	s.call(first, "GET", "/v1/models", "")
	s.note("A lookup needs no key.")
	s.call(first, "GET", "/services/register-api/chassis/1962-E-117", "")
	s.note("A streamed draft under an issued key.")
	draft := s.call(first, "POST", "/v1/chat/completions", chatBody("summarise the panel's notes #4", true))
	s.note("The same answer from offset 6, at the other entry.")
	s.call(second, "GET", "/v1/answers/"+draft.header.Get(requestKeyHeader)+"?offset=6", "")
	s.note("A transfer is refused without a key and runs with one.")
	s.call(first, "POST", "/services/register-api/transfers", `{"chassis":"117","to":"Naidoo"}`)
	s.call(first, "POST", "/services/register-api/transfers", `{"chassis":"117","to":"Naidoo"}`, "Idempotency-Key", "transfer-117")
	s.note("A retry at the other entry gets the recorded answer.")
	s.call(second, "POST", "/services/register-api/transfers", `{"chassis":"117","to":"Naidoo"}`, "Idempotency-Key", "transfer-117")
	s.note("Different content under the same key is a conflict.")
	s.call(second, "POST", "/services/register-api/transfers", `{"chassis":"117","to":"Botha"}`, "Idempotency-Key", "transfer-117")
	s.note("Another workspace finds no answer under the key.")
	s.call(second, "GET", "/v1/answers/transfer-117", "", "Authorization", "Bearer foreign")
	s.check("day")
}

// TestGoldenFaults compares responses under a silent stream, a lost connection,
// overload and an unavailable log with the golden transcript.
func TestGoldenFaults(t *testing.T) {
	c := newCluster(t)
	r := c.startRunner(t, 500)
	up := c.startService(t, 0)
	first, second := c.startEntry(t, "entry-1"), c.startEntry(t, "entry-2")
	s := &transcript{t: t}
	s.note("The connection stops carrying data during the answer; the stream is resumed over a new one.")
	r.SetPlan(standin.Plan{Fault: standin.Silent, AfterFrames: 2, Connections: 1})
	s.call(first, "POST", "/v1/chat/completions", chatBody("draft #4", true), "Idempotency-Key", "draft-1")
	s.note("The connection breaks after the transfer was sent.")
	up.SetFault(standin.Cut)
	s.call(first, "POST", "/services/register-api/transfers", `{"chassis":"118"}`, "Idempotency-Key", "transfer-118")
	up.SetFault("")
	s.note("A retry does not run the transfer again.")
	s.call(second, "POST", "/services/register-api/transfers", `{"chassis":"118"}`, "Idempotency-Key", "transfer-118")
	s.note("Overload: refused as not run. Another entry refuses the key once more, until it has read that the first attempt did not run, and then serves it.")
	c.mu.Lock()
	c.schedulerError = fault.New(fault.Overloaded, "send the request again after the stated time", "capacity is short").After(3 * time.Second)
	c.mu.Unlock()
	s.call(first, "POST", "/services/register-api/transfers", `{"chassis":"119"}`, "Idempotency-Key", "transfer-119")
	c.mu.Lock()
	c.schedulerError = nil
	c.mu.Unlock()
	s.call(second, "POST", "/services/register-api/transfers", `{"chassis":"119"}`, "Idempotency-Key", "transfer-119")
	s.call(second, "POST", "/services/register-api/transfers", `{"chassis":"119"}`, "Idempotency-Key", "transfer-119")
	s.note("The log is unavailable: the refusal does not say that nothing ran.")
	c.mu.Lock()
	c.logDown = true
	c.mu.Unlock()
	s.call(first, "POST", "/services/register-api/transfers", `{"chassis":"120"}`, "Idempotency-Key", "transfer-120")
	s.check("faults")
}
