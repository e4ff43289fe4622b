// Package schedbench measures the scheduling policy in virtual time, on models
// of engines, against simple baselines.
//
// Every policy sees the same arrivals, from a fixed seed, and the same engines:
// continuous batching, serial prefill and a prefix cache of limited size.
package schedbench

import "time"

// kind is a sort of request.
type kind uint8

// Kinds: a lookup is a line, a summary a page or two, a file a whole
// restoration file or reconciliation.
const (
	lookup kind = iota
	summary
	file
	kinds
)

// span is a range of tokens.
type span struct {
	least int
	most  int
}

// shape is what requests of a kind look like, in tokens.
type shape struct {
	prompt span
	output span
	// limit is the largest answer that the caller allows.
	limit int
	// prefix is the part of the prompt that a template shares.
	prefix int
}

var shapes = [kinds]shape{
	lookup:  {prompt: span{60, 200}, output: span{6, 24}, limit: 64},
	summary: {prompt: span{1200, 2400}, output: span{150, 450}, limit: 512, prefix: 1024},
	file:    {prompt: span{5000, 8000}, output: span{600, 1500}, limit: 2048, prefix: 2048},
}

// engineSpec is one generation of engines.
type engineSpec struct {
	count int
	// prefill is in prompt tokens a second, token in seconds for one stream.
	prefill float64
	token   float64
	// knee is the batch at which a token takes twice as long.
	knee float64
	// slots is the largest batch.
	slots int
	// blocks is the size of the prefix cache.
	blocks int
}

// tierSpec is one tier.
type tierSpec struct {
	name string
	// goodput is within what time a whole answer counts.
	goodput time.Duration
	// mix is the share of each kind.
	mix [kinds]float64
}

// workspaceSpec is one workspace.
type workspaceSpec struct {
	name   string
	tier   int
	weight int
	// share is its part of all requests.
	share float64
}

// site is one user's deployment.
type site struct {
	name       string
	engines    []engineSpec
	tiers      []tierSpec
	workspaces []workspaceSpec
	// heavy is the workspace that sends too much in the scenario for it.
	heavy int
}

func sites() []site {
	return []site{karoo(), conciliafact()}
}

func karoo() site {
	return site{
		name: "karoo",
		engines: []engineSpec{
			{count: 6, prefill: 8000, token: 0.015, knee: 24, slots: 16, blocks: 1500},
			{count: 4, prefill: 4000, token: 0.025, knee: 12, slots: 12, blocks: 1000},
		},
		tiers: []tierSpec{
			{name: "panel", goodput: 20 * time.Second, mix: [kinds]float64{0.6, 0.4, 0}},
			{name: "club", goodput: 40 * time.Second, mix: [kinds]float64{0.5, 0.4, 0.1}},
			{name: "member", goodput: 90 * time.Second, mix: [kinds]float64{0.5, 0.3, 0.2}},
		},
		workspaces: []workspaceSpec{
			{name: "judging", tier: 0, weight: 1, share: 0.15},
			{name: "club-secretaries", tier: 1, weight: 2, share: 0.14},
			{name: "cape-clubs", tier: 1, weight: 1, share: 0.07},
			{name: "auctions", tier: 1, weight: 4, share: 0.29},
			{name: "members", tier: 2, weight: 1, share: 0.35},
		},
		heavy: 2,
	}
}

func conciliafact() site {
	return site{
		name: "conciliafact",
		engines: []engineSpec{
			{count: 8, prefill: 8000, token: 0.015, knee: 24, slots: 16, blocks: 1500},
			{count: 4, prefill: 4000, token: 0.025, knee: 12, slots: 12, blocks: 1000},
		},
		tiers: []tierSpec{
			{name: "counter", goodput: 15 * time.Second, mix: [kinds]float64{0.9, 0.1, 0}},
			{name: "audit", goodput: 120 * time.Second, mix: [kinds]float64{0.2, 0.4, 0.4}},
			{name: "portal", goodput: 180 * time.Second, mix: [kinds]float64{0.4, 0.4, 0.2}},
		},
		workspaces: []workspaceSpec{
			{name: "treasury", tier: 0, weight: 1, share: 0.30},
			{name: "audit-lima", tier: 1, weight: 2, share: 0.20},
			{name: "audit-sur", tier: 1, weight: 1, share: 0.10},
			{name: "suppliers", tier: 2, weight: 2, share: 0.25},
			{name: "regions", tier: 2, weight: 1, share: 0.15},
		},
		heavy: 2,
	}
}

// totalEngines is how many engines a site has.
func (s site) totalEngines() int {
	n := 0
	for _, e := range s.engines {
		n += e.count
	}
	return n
}
