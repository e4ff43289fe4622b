package explain

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const logs = `noise
   1.0 front-1 {"level":"info","ts":"2026-01-01T00:00:01Z","logger":"work","msg":"broker found","daemon":"front-1","address":"a"}
{"level":"info","ts":"2026-01-01T00:00:01.5Z","logger":"forward","msg":"granted","daemon":"front-1","request":"r1","upstream":"u1","by":"broker"}
{"level":"info","ts":"2026-01-01T00:00:01.6Z","logger":"roster","msg":"upstream changed","daemon":"core-1","upstream":"u1","leaving":true}
{"level":"info","ts":"2026-01-01T00:00:01.6Z","logger":"roster","msg":"upstream changed","daemon":"core-1","upstream":"u2","leaving":true}
{"level":"info","ts":"2026-01-01T00:00:01.7Z","logger":"forward","msg":"try failed","daemon":"front-1","request":"r1","upstream":"u1","outcome":"broken","error":"EOF"}
{"level":"info","ts":"2026-01-01T00:00:01.8Z","logger":"forward","msg":"request ended","daemon":"front-1","request":"r1","outcome":"outcome_unknown","why":"EOF"}
{"level":"info","ts":"2026-01-01T00:00:02Z","logger":"forward","msg":"request ended","daemon":"front-1","request":"r2","outcome":"limit_exceeded","workspace":"w","charge":4000}
{"level":"info","ts":"2026-01-01T00:00:03Z","logger":"forward","msg":"granted","daemon":"front-1","request":"r3","upstream":"u2"}
{"level":"info","ts":"2026-01-01T00:00:04Z","msg":"daemon started","daemon":"front-1"}
{"level":"info","ts":"2026-01-01T00:00:05Z","logger":"forward","msg":"request refused","daemon":"front-1","request":"r4","status":404,"outcome":"no_route","why":"no route matches","table":7}
{"level":"info","ts":"2026-01-01T00:00:06Z","logger":"forward","msg":"request ended","daemon":"front-1","request":"r5","outcome":"cut","events":3}
{"level":"info","ts":"2026-01-01T00:00:06.9Z","logger":"broker","msg":"rollout decided","daemon":"core-1","pool":"p","from":"trial","to":"shift"}
{"level":"info","ts":"2026-01-01T00:00:06.9Z","logger":"broker","msg":"rollout decided","daemon":"core-1","pool":"q","from":"trial","to":"shift"}
{"level":"info","ts":"2026-01-01T00:00:07Z","logger":"forward","msg":"granted","daemon":"front-1","request":"r6","pool":"p","upstream":"u3","software":"v2","version_why":"rollout of v2: shift"}
{"level":"info","ts":"2026-01-01T00:00:07.1Z","logger":"forward","msg":"request ended","daemon":"front-1","request":"r6","outcome":"answered","status":200,"took":0.1}
`

func TestLastLineStatesTheCause(t *testing.T) {
	lines, err := Read(strings.NewReader(logs))
	require.NoError(t, err)
	for request, want := range map[string]string{
		"r1": "cause: outcome_unknown: EOF; upstream u1: broken (EOF)",
		"r2": "cause: workspace w had used up its quota when the request asked for 4000 tokens",
		"r3": "cause: entry front-1 ended while it served the request; it started again at 2026-01-01T00:00:04Z",
		"r4": "cause: refused with 404 (no_route): no route matches; route table version 7",
	} {
		r, ok := Explain(lines, request)
		require.True(t, ok)
		out := bytes.Buffer{}
		require.NoError(t, r.Write(&out))
		text := strings.Split(strings.TrimSpace(out.String()), "\n")
		require.Equal(t, want, text[len(text)-1])
	}
	r, _ := Explain(lines, "r5")
	require.Contains(t, r.Cause, "broke after 3 events")
	_, ok := Explain(lines, "r9")
	require.False(t, ok)
}

// TestTimelineShowsRelatedChanges: changes of other upstreams are left out.
func TestTimelineShowsRelatedChanges(t *testing.T) {
	lines, err := Read(strings.NewReader(logs))
	require.NoError(t, err)
	r, _ := Explain(lines, "r1")
	messages := []string{}
	for _, l := range r.Lines {
		messages = append(messages, l.Message+l.text("upstream"))
	}
	require.Equal(t, []string{"broker found", "grantedu1", "upstream changedu1", "try failedu1", "request ended"}, messages)
}

// TestVersionOfARolloutIsExplained guards against an operator who can't tell which software
// version ran a request, and why.
func TestVersionOfARolloutIsExplained(t *testing.T) {
	lines, err := Read(strings.NewReader(logs))
	require.NoError(t, err)
	r, _ := Explain(lines, "r6")
	require.Equal(t, "answered with 200 after 0.1 s by upstream u3 at software version v2 (rollout of v2: shift)", r.Cause)
	require.Len(t, r.Lines, 3, "decisions on the rollout of the request's pool are listed")
}
