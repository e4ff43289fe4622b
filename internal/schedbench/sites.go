// Package schedbench benchmarks the scheduling policy of core/sched against
// simple baselines in a discrete-event simulation. The command "verbenastep
// bench sched" runs it.
//
// Every policy gets the same arrivals, from a fixed seed, and the same engine
// models: continuous batching, serial prefill and a prefix cache of limited
// size. Results are deterministic.
package schedbench

import "time"

// requestKind is a class of requests with similar prompt and answer lengths.
type requestKind uint8

// Request kinds: a lookup has a prompt of a line, a summary one of a page or two,
// and a file one that holds a whole document, such as a restoration file or a
// reconciliation.
const (
	lookup requestKind = iota
	summary
	file
	kindCount
)

// tokenRange is an inclusive range of token counts.
type tokenRange struct {
	low  int
	high int
}

// requestShape gives the lengths of a kind's requests, in tokens.
type requestShape struct {
	promptTokens tokenRange
	outputTokens tokenRange
	// maxTokens is the longest answer that the caller allows.
	maxTokens int
	// sharedPrefix is the length of the prompt's prefix that all requests of a
	// template share.
	sharedPrefix int
}

var requestShapes = [kindCount]requestShape{
	lookup:  {promptTokens: tokenRange{60, 200}, outputTokens: tokenRange{6, 24}, maxTokens: 64},
	summary: {promptTokens: tokenRange{1200, 2400}, outputTokens: tokenRange{150, 450}, maxTokens: 512, sharedPrefix: 1024},
	file:    {promptTokens: tokenRange{5000, 8000}, outputTokens: tokenRange{600, 1500}, maxTokens: 2048, sharedPrefix: 2048},
}

// engineSpec describes one generation of engines.
type engineSpec struct {
	count int
	// prefillTokensPerSecond is the speed of prefill, secondsPerToken the decode
	// time per token with a batch of one.
	prefillTokensPerSecond float64
	secondsPerToken        float64
	// knee is how many more streams in the batch double the decode time per token.
	knee     float64
	maxBatch int
	// cacheBlocks is the capacity of the prefix cache, in blocks.
	cacheBlocks int
}

// tierSpec describes one tier.
type tierSpec struct {
	name string
	// goodputTime is the time from arrival within which a complete answer counts
	// as goodput; it is also the deadline.
	goodputTime time.Duration
	// kindShares is the share of each request kind; the shares sum to 1.
	kindShares [kindCount]float64
}

// workspaceSpec describes one workspace.
type workspaceSpec struct {
	name   string
	tier   int
	weight int
	// share is the workspace's share of all requests.
	share float64
}

// site describes a deployment and its load.
type site struct {
	name       string
	engines    []engineSpec
	tiers      []tierSpec
	workspaces []workspaceSpec
	// heavyWorkspace is the index of the workspace that exceeds its share in
	// runHeavyWorkspace.
	heavyWorkspace int
}

// sites returns all simulated sites.
func sites() []site {
	return []site{karoo(), conciliafact()}
}

// karoo returns a site of ten engines with mostly short requests.
func karoo() site {
	return site{
		name: "karoo",
		engines: []engineSpec{
			{count: 6, prefillTokensPerSecond: 8000, secondsPerToken: 0.015, knee: 24, maxBatch: 16, cacheBlocks: 1500},
			{count: 4, prefillTokensPerSecond: 4000, secondsPerToken: 0.025, knee: 12, maxBatch: 12, cacheBlocks: 1000},
		},
		tiers: []tierSpec{
			{name: "panel", goodputTime: 20 * time.Second, kindShares: [kindCount]float64{0.6, 0.4, 0}},
			{name: "club", goodputTime: 40 * time.Second, kindShares: [kindCount]float64{0.5, 0.4, 0.1}},
			{name: "member", goodputTime: 90 * time.Second, kindShares: [kindCount]float64{0.5, 0.3, 0.2}},
		},
		workspaces: []workspaceSpec{
			{name: "judging", tier: 0, weight: 1, share: 0.15},
			{name: "club-secretaries", tier: 1, weight: 2, share: 0.14},
			{name: "cape-clubs", tier: 1, weight: 1, share: 0.07},
			{name: "auctions", tier: 1, weight: 4, share: 0.29},
			{name: "members", tier: 2, weight: 1, share: 0.35},
		},
		heavyWorkspace: 2,
	}
}

// conciliafact returns a site of twelve engines whose lower tiers send more long
// requests.
func conciliafact() site {
	return site{
		name: "conciliafact",
		engines: []engineSpec{
			{count: 8, prefillTokensPerSecond: 8000, secondsPerToken: 0.015, knee: 24, maxBatch: 16, cacheBlocks: 1500},
			{count: 4, prefillTokensPerSecond: 4000, secondsPerToken: 0.025, knee: 12, maxBatch: 12, cacheBlocks: 1000},
		},
		tiers: []tierSpec{
			{name: "counter", goodputTime: 15 * time.Second, kindShares: [kindCount]float64{0.9, 0.1, 0}},
			{name: "audit", goodputTime: 120 * time.Second, kindShares: [kindCount]float64{0.2, 0.4, 0.4}},
			{name: "portal", goodputTime: 180 * time.Second, kindShares: [kindCount]float64{0.4, 0.4, 0.2}},
		},
		workspaces: []workspaceSpec{
			{name: "treasury", tier: 0, weight: 1, share: 0.30},
			{name: "audit-lima", tier: 1, weight: 2, share: 0.20},
			{name: "audit-sur", tier: 1, weight: 1, share: 0.10},
			{name: "suppliers", tier: 2, weight: 2, share: 0.25},
			{name: "regions", tier: 2, weight: 1, share: 0.15},
		},
		heavyWorkspace: 2,
	}
}

// totalEngines returns the number of engines of a site.
func (s site) totalEngines() int {
	n := 0
	for _, e := range s.engines {
		n += e.count
	}
	return n
}
