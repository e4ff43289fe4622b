package sched

import (
	"sort"
	"time"
)

// maxDumpedDecisions is the maximum number of recent decisions in a dump.
const maxDumpedDecisions = 64

// UpstreamDump is the state of one upstream, for operators.
type UpstreamDump struct {
	Name     string `json:"name"`
	Address  string `json:"address"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"`
	Live     bool   `json:"live"`
	// PrefillRate is in prompt tokens per second, TokenMS in milliseconds per
	// output token of a single stream.
	PrefillRate float64 `json:"prefill_tokens_per_second"`
	TokenMS     float64 `json:"token_ms"`
	Slowness    float64 `json:"slowness"`
	Demoted     bool    `json:"demoted"`
	CacheTrust  float64 `json:"cache_trust"`
	Foreign     int     `json:"foreign_in_flight"`
}

// TierDump is the state of one tier.
type TierDump struct {
	Tier       int             `json:"tier"`
	Queued     int             `json:"queued"`
	Running    int             `json:"running"`
	Workspaces []WorkspaceDump `json:"workspaces"`
}

// WorkspaceDump is the fair-share state of one workspace in a tier.
type WorkspaceDump struct {
	Name    string  `json:"name"`
	Counter float64 `json:"counter"`
	Queued  int     `json:"queued"`
	Present int64   `json:"present"`
}

// Dump is the state of a dispatcher, for operators.
type Dump struct {
	Queued    int            `json:"queued"`
	Running   int            `json:"running"`
	Suspects  int            `json:"suspects"`
	Tiers     []TierDump     `json:"tiers"`
	Upstreams []UpstreamDump `json:"upstreams"`
	Recent    []Explanation  `json:"recent"`
}

// Dump returns the dispatcher's state, with upstreams and workspaces sorted by
// name.
func (d *Dispatcher) Dump(now time.Duration) Dump {
	out := Dump{Queued: d.queued, Running: len(d.requests) - d.queued, Suspects: d.tracker.Len(), Recent: d.recentDecisions.list(maxDumpedDecisions)}
	for _, u := range d.byID {
		s := &u.blendedSpeed
		out.Upstreams = append(out.Upstreams, UpstreamDump{
			Name: u.Name, Address: u.Address, Slots: u.capacity(), InFlight: len(u.inFlight), Live: u.expires > now && !u.draining,
			PrefillRate: 1 / s.prefill, TokenMS: milliseconds(seconds(s.token)), Slowness: u.straggler.slowness,
			Demoted: u.straggler.demoted, CacheTrust: u.cache.trust, Foreign: u.foreignLoad.requests(),
		})
	}
	sort.Slice(out.Upstreams, func(i, j int) bool { return out.Upstreams[i].Name < out.Upstreams[j].Name })
	for _, t := range d.tiers {
		if t != nil {
			out.Tiers = append(out.Tiers, t.dump())
		}
	}
	return out
}

func (t *tier) dump() TierDump {
	out := TierDump{Tier: t.rank, Queued: t.queued, Running: t.running}
	for _, w := range t.workspaces {
		out.Workspaces = append(out.Workspaces, WorkspaceDump{Name: w.name, Counter: w.counter, Queued: w.queued, Present: w.usage.InFlight()})
	}
	sort.Slice(out.Workspaces, func(i, j int) bool { return out.Workspaces[i].Name < out.Workspaces[j].Name })
	return out
}

// QueuedByTier returns the number of queued requests by tier rank.
func (d *Dispatcher) QueuedByTier() []int {
	out := make([]int, len(d.tiers))
	for i, t := range d.tiers {
		if t != nil {
			out[i] = t.queued
		}
	}
	return out
}
