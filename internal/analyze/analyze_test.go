package analyze

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/internal/explain"
)

// log returns the lines of one request: a grant with an expected time of 0.25 s, unless it is
// refused, and its end.
func log(id, grant, end string) string {
	out := ""
	for range strings.Count(grant, "g") {
		out += `{"ts":"2026-01-01T00:00:01Z","msg":"granted","request":"` + id + `","pool":"p","upstream":"u","rank":2,"expected":0.25}` + "\n"
	}
	return out + `{"ts":"2026-01-01T00:00:02Z","msg":"request ended","request":"` + id + `","pool":"p","route":"r","target_ms":400,"max_pause_ms":300,"took":1,` + end + "}\n"
}

// TestEachRequestHasOneCause guards against a table that takes a late or refused request for
// another one, or does not add up to all requests.
func TestEachRequestHasOneCause(t *testing.T) {
	cases := []struct{ cause, grant, end string }{
		{OnTime, "g", `"outcome":"answered","events":3,"first":0.3,"longest_pause":0.1`},
		{LatePause, "g", `"outcome":"answered","events":3,"first":0.3,"longest_pause":0.31`},
		{LateWaited, "g", `"outcome":"answered","events":3,"first":0.5,"waited":0.3`},
		{LateExpected, "g", `"outcome":"answered","events":3,"first":0.5,"waited":0.19`},
		{LateUpstream, "g", `"outcome":"answered","events":3,"first":0.5,"waited":0.1`},
		{LateUpstream, "g", `"outcome":"answered"`},
		{LateSecondAttempt, "gg", `"outcome":"answered","events":3,"first":0.5`},
		{RefusedShed, "", `"outcome":"overloaded","why":"all requests of its rank are refused; 9 ms"`},
		{RefusedFull, "", `"outcome":"overloaded","why":"9 ms of waiting","by":"broker"`},
		{RefusedAlone, "", `"outcome":"overloaded","why":"9 ms of waiting","by":"entry"`},
		{"ended: cut", "g", `"outcome":"cut","events":2,"first":0.1`},
	}
	text := ""
	want := map[string]int{}
	for i, c := range cases {
		text += log(string(rune('a'+i)), c.grant, c.end)
		want[c.cause]++
	}
	lines, err := explain.Read(strings.NewReader(text))
	require.NoError(t, err)
	r, err := Analyze(lines)
	require.NoError(t, err)
	require.Equal(t, []Group{{Pool: "p", Route: "r", Total: len(cases), Causes: want}}, r.Groups)
	require.Len(t, r.Seconds, 1)
	require.Equal(t, want, r.Seconds[0].Causes)
	require.Equal(t, 6, r.Ranks[0].Requests, "answered after one attempt")
	require.InDelta(t, 1.5, r.Ranks[0].P50, 1)
	out := strings.Builder{}
	require.NoError(t, r.Print(&out, true))
	require.Contains(t, out.String(), LatePause)
}
