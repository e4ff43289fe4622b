package routes

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// soundTable returns a table without findings.
func soundTable() *Table {
	return &Table{
		Version: 7,
		Routes: []Route{
			{Name: "chat", Host: "a.example", Prefix: "/chat/", Kind: Stream, Resumable: true, Targets: []Target{{Pool: "model", Weight: 1}}, TimeoutMS: 10_000, LatencyTargetMS: 800, GapMS: 200, MaxAttempts: 3},
			{Name: "pay", Host: "a.example", Prefix: "/pay/", Kind: AtMostOnce, Targets: []Target{{Pool: "plain", Weight: 1}}, TimeoutMS: 4000, LatencyTargetMS: 400, MaxAttempts: 1},
		},
		Pools:      []Pool{{Name: "model", Engine: &Engine{Slots: 4, MemoryTokens: 1000, EventTokens: 1}}, {Name: "plain"}},
		Limits:     Limits{HeaderBytes: 1, BodyBytes: 8000, HeaderMS: 1, IdleMS: 1},
		Workspaces: []Workspace{{Name: "w", Keys: []string{"k"}, TokensPerSecond: 10, TokenBurst: 1000, DefaultTokens: 100}},
	}
}

// TestReviewReportsEachFinding guards against a configuration that is accepted although it can't do
// what it says, and against findings in a sound one.
func TestReviewReportsEachFinding(t *testing.T) {
	require.Empty(t, Review(soundTable()))
	cases := []struct {
		name     string
		change   func(t *Table)
		severity Severity
		at       string
		message  string
	}{
		{"fault", func(t *Table) { t.Version = 0 }, Invalid, "table", "version"},
		{"unknown pool", func(t *Table) { t.Routes[0].Targets[0].Pool = "none" }, Invalid, "route chat", "not declared"},
		{"hidden route", func(t *Table) { t.Routes[1].Prefix = "/chat/" }, Warning, "route pay", "never matches: route chat"},
		{"host with a port", func(t *Table) { t.Routes[1].Host = "a.example:80" }, Warning, "route pay", "port"},
		{"host pattern", func(t *Table) { t.Routes[1].Host = "*.example" }, Warning, "route pay", "no request matches host"},
		{"host in upper case", func(t *Table) { t.Routes[1].Host = "A.example" }, Warning, "route pay", "same way"},
		{"hosts that differ in case", func(t *Table) { t.Routes[1].Host, t.Routes[1].Prefix = "A.example", "/chat/" }, Warning, "route pay", "only in upper and lower case"},
		{"query in the prefix", func(t *Table) { t.Routes[1].Prefix = "/pay?x=/" }, Warning, "route pay", "no request matches prefix"},
		{"pool without a route", func(t *Table) { t.Pools = append(t.Pools, Pool{Name: "old"}) }, Warning, "pool old", "no route uses"},
		{"pool with weight zero", func(t *Table) {
			t.Pools = append(t.Pools, Pool{Name: "old"})
			t.Routes[0].Targets = append(t.Routes[0].Targets, Target{Pool: "old"})
		}, Warning, "pool old", "no route uses"},
		{"engine without slots", func(t *Table) { t.Pools[0].Engine.Slots = 0 }, Warning, "pool model", "0 slots"},
		{"workspace that can't send", func(t *Table) { t.Workspaces[0].Keys = nil }, Warning, "workspace w", "no route is public"},
		{"workspace without keys", func(t *Table) { t.Workspaces[0].Keys, t.Routes[0].Public = nil, true }, Warning, "workspace w", "no request belongs to it"},
		{"timeout below the target", func(t *Table) { t.Routes[1].TimeoutMS = 300 }, Warning, "route pay", "before their latency target"},
		{"no target", func(t *Table) { t.Routes[1].LatencyTargetMS = 0 }, Warning, "route pay", "counts as late"},
		{"gap above the timeout", func(t *Table) { t.Routes[0].GapMS = 20_000 }, Warning, "route chat", "longest pause"},
		{"gap of a call", func(t *Table) { t.Routes[1].GapMS = 20 }, Warning, "route pay", "gap_ms has no effect"},
		{"attempts that are never made", func(t *Table) { t.Routes[1].MaxAttempts = 3 }, Warning, "route pay", "3 attempts have no effect"},
		{"attempts of a stream that can't resume", func(t *Table) { t.Routes[0].Resumable = false }, Warning, "route chat", "3 attempts have no effect"},
		{"too many attempts", func(t *Table) { t.Routes[0].MaxAttempts = 50 }, Warning, "route chat", "multiply the load"},
		{"no attempt", func(t *Table) { t.Routes[0].MaxAttempts = 0 }, Warning, "route chat", "count as 1"},
		{"burst without rate", func(t *Table) { t.Workspaces[0].TokensPerSecond = 0 }, Warning, "workspace w", "no effect"},
		{"rate without burst", func(t *Table) { t.Workspaces[0].TokenBurst = 0 }, Warning, "workspace w", "refused"},
		{"burst below a request without counts", func(t *Table) { t.Workspaces[0].TokenBurst = 99 }, Warning, "workspace w", "is charged"},
		{"burst below the largest request", func(t *Table) { t.Workspaces[0].TokenBurst = 999 }, Warning, "workspace w", "fills the body limit"},
		{"body limit of zero", func(t *Table) { t.Limits.BodyBytes = 0 }, Warning, "limits", "body_bytes is 0"},
	}
	for _, c := range cases {
		table := soundTable()
		c.change(table)
		found := false
		for _, f := range Review(table) {
			require.NotEmpty(t, f.Remedy, c.name)
			found = found || f.Severity == c.severity && f.At == c.at && strings.Contains(f.Message, c.message)
		}
		require.True(t, found, "%s: %v", c.name, Review(table))
	}
}

// TestCompareListsWhatDiffers guards against an operator who publishes more than the change that
// was meant.
func TestCompareListsWhatDiffers(t *testing.T) {
	updated := soundTable()
	updated.Version = 8
	updated.Routes[0], updated.Routes[1] = updated.Routes[1], updated.Routes[0]
	updated.Routes[0].TimeoutMS = 5000
	updated.Pools = append(updated.Pools, Pool{Name: "new"})
	updated.Workspaces = nil
	list, err := Compare(soundTable(), updated)
	require.NoError(t, err)
	lines := []string{}
	for _, d := range list {
		lines = append(lines, d.String())
	}
	require.Equal(t, []string{
		`+ pool new: {"connections":0,"name":"new"}`,
		`~ route pay timeout_ms: 4000 -> 5000`,
		`~ table version: 7 -> 8`,
		`- workspace w: {"keys":["k"],"name":"w","plain_tokens":100,"token_burst":1000,"tokens_per_second":10}`,
	}, lines)
	list, err = Compare(updated, updated)
	require.NoError(t, err)
	require.Empty(t, list)
}
