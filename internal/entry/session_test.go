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

// session writes down what callers send and receive, without what differs from
// run to run: identifiers, times, and how a stream was cut into events.
type session struct {
	t   *testing.T
	out strings.Builder
}

var (
	issuedKey = regexp.MustCompile(`vb-entry-(\d)\.[a-z0-9]+`)
	created   = regexp.MustCompile(`"created":\d+`)
	shown     = []string{"Content-Type", "Retry-After", "Verbenastep-Request"}
)

func normal(s string) string {
	return created.ReplaceAllString(issuedKey.ReplaceAllString(s, "vb-entry-$1.ID"), `"created":0`)
}

func (s *session) note(format string, args ...any) {
	fmt.Fprintf(&s.out, "# "+format+"\n\n", args...)
}

func (s *session) call(e *entryRig, method, path, body string, headers ...string) reply {
	got := e.do(s.t, method, path, body, headers...)
	fmt.Fprintf(&s.out, "> %s %s at %s\n", method, normal(path), e.self.Name)
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(&s.out, "> %s: %s\n", headers[i], headers[i+1])
	}
	if body != "" {
		fmt.Fprintf(&s.out, "> %s\n", body)
	}
	fmt.Fprintf(&s.out, "< %d\n", got.status)
	for _, name := range shown {
		if v := got.header.Get(name); v != "" {
			fmt.Fprintf(&s.out, "< %s: %s\n", name, normal(v))
		}
	}
	s.out.WriteString(normal(prose(got)) + "\n")
	return got
}

// prose gives a body; of a stream the joined text, its last id and its end.
func prose(r reply) string {
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
		piece := json.Unmarshal([]byte(data), &a) == nil && len(a.Choices) > 0 && a.Choices[0].Delta != nil && a.Choices[0].Delta.Content != ""
		if piece {
			text += a.Choices[0].Delta.Content
			continue
		}
		flush()
		fmt.Fprintf(&b, "< event %s\n", data)
	}
	flush()
	return b.String()
}

func (s *session) check(name string) {
	s.t.Helper()
	goldie.New(s.t).Assert(s.t, name, []byte(s.out.String()))
}

// TestGoldenDay is a judge's day: a lookup, a draft, a transfer, and the same
// again at another entry.
func TestGoldenDay(t *testing.T) {
	c := newCluster(t)
	c.runner(t, 500)
	c.service(t, 0)
	one, two := c.entry(t, "entry-1"), c.entry(t, "entry-2")
	s := &session{t: t}
	s.note("The models that the workspace may use.")
	s.call(one, "GET", "/v1/models", "")
	s.note("A lookup needs no key.")
	s.call(one, "GET", "/services/register-api/chassis/1962-E-117", "")
	s.note("A draft, streamed, under an issued key.")
	draft := s.call(one, "POST", "/v1/chat/completions", chatBody("summarise the panel's notes #4", true))
	s.note("The same answer from its sixth byte, at the other entry.")
	s.call(two, "GET", "/v1/answers/"+draft.header.Get(headerRequest)+"?offset=6", "")
	s.note("A transfer without a key is refused, and runs under one.")
	s.call(one, "POST", "/services/register-api/transfers", `{"chassis":"117","to":"Naidoo"}`)
	s.call(one, "POST", "/services/register-api/transfers", `{"chassis":"117","to":"Naidoo"}`, "Idempotency-Key", "transfer-117")
	s.note("Sent again at the other entry it gets the recorded answer.")
	s.call(two, "POST", "/services/register-api/transfers", `{"chassis":"117","to":"Naidoo"}`, "Idempotency-Key", "transfer-117")
	s.note("Another content under the same key is a conflict.")
	s.call(two, "POST", "/services/register-api/transfers", `{"chassis":"117","to":"Botha"}`, "Idempotency-Key", "transfer-117")
	s.note("A foreign workspace finds nothing under the key.")
	s.call(two, "GET", "/v1/answers/transfer-117", "", "Authorization", "Bearer foreign")
	s.check("day")
}

// TestGoldenFaults is a day on which everything goes wrong in turn.
func TestGoldenFaults(t *testing.T) {
	c := newCluster(t)
	r := c.runner(t, 500)
	up := c.service(t, 0)
	one, two := c.entry(t, "entry-1"), c.entry(t, "entry-2")
	s := &session{t: t}
	s.note("The connection falls silent in the middle: the stream goes on over a new one.")
	r.SetFaultPlan(standin.FaultPlan{Fault: standin.Silent, AfterFrames: 2, Connections: 1})
	s.call(one, "POST", "/v1/chat/completions", chatBody("draft #4", true), "Idempotency-Key", "draft-1")
	s.note("The transfer's connection breaks after it was sent.")
	up.SetFault(standin.Cut)
	s.call(one, "POST", "/services/register-api/transfers", `{"chassis":"118"}`, "Idempotency-Key", "transfer-118")
	up.SetFault("")
	s.note("Sent again it does not run again.")
	s.call(two, "POST", "/services/register-api/transfers", `{"chassis":"118"}`, "Idempotency-Key", "transfer-118")
	s.note("Overload: refused as not run. Another entry learns of it by one more refusal, and then serves the same key.")
	c.mu.Lock()
	c.refuse = fault.New(fault.Overloaded, "send the request again after the stated time", "capacity is short").After(3 * time.Second)
	c.mu.Unlock()
	s.call(one, "POST", "/services/register-api/transfers", `{"chassis":"119"}`, "Idempotency-Key", "transfer-119")
	c.mu.Lock()
	c.refuse = nil
	c.mu.Unlock()
	s.call(two, "POST", "/services/register-api/transfers", `{"chassis":"119"}`, "Idempotency-Key", "transfer-119")
	s.call(two, "POST", "/services/register-api/transfers", `{"chassis":"119"}`, "Idempotency-Key", "transfer-119")
	s.note("The log is away: nobody says that nothing ran.")
	c.mu.Lock()
	c.down = true
	c.mu.Unlock()
	s.call(one, "POST", "/services/register-api/transfers", `{"chassis":"120"}`, "Idempotency-Key", "transfer-120")
	s.check("faults")
}
