// Package routes holds the route table: which request goes to which pool of
// upstreams, under what guarantees, and who may send it.
//
// A table is replaced as a whole; of two tables the one with the higher version
// is in force. The package is pure. Invariant: a Table that Check accepts names
// no unknown pool, and no two of its routes or keys are the same.
package routes

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// Once requests run at most once for each attempt of a caller.
	Once Kind = "once"
	// Stream requests are answered by an event stream.
	Stream Kind = "stream"
)

// Table is a whole route table.
type Table struct {
	Version    uint64      `json:"version"`
	Routes     []Route     `json:"routes"`
	Pools      []Pool      `json:"pools"`
	Limits     Limits      `json:"limits"`
	Workspaces []Workspace `json:"workspaces,omitempty"`
}

// Route sends the requests of a host below a path prefix to pools.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Targets share the route's requests by weight.
	Targets []Target `json:"targets"`
	// TimeoutMS is the longest time from arrival to the end of the answer.
	TimeoutMS int64 `json:"timeout_ms"`
	// AimMS is the time to the answer, for a stream to its first event, within
	// which the answer has its full worth.
	AimMS int64 `json:"aim_ms"`
	// GapMS is the longest pause between two events of a stream that is on time.
	GapMS int64 `json:"gap_ms,omitempty"`
	// Rank orders routes when capacity is short; 0 is served first.
	Rank int `json:"rank"`
	// Attempts is the most upstreams that one request may be sent to.
	Attempts int `json:"attempts"`
	// Public routes need no key.
	Public bool `json:"public,omitempty"`
	// Resumable streams may go on at another upstream after their last event.
	Resumable bool `json:"resumable,omitempty"`
}

// Repeatable tells whether a request may run again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Timeout returns TimeoutMS as a duration.
func (r *Route) Timeout() time.Duration { return time.Duration(r.TimeoutMS) * time.Millisecond }

// Aim returns AimMS as a duration.
func (r *Route) Aim() time.Duration { return time.Duration(r.AimMS) * time.Millisecond }

// Target is a pool with its share of a route.
type Target struct {
	Pool   string `json:"pool"`
	Weight int64  `json:"weight"`
}

// Pool is a set of upstreams that serve the same.
type Pool struct {
	Name string `json:"name"`
	// Health is the path of an upstream's health check.
	Health string `json:"health,omitempty"`
	// Connections is the most that one upstream takes from all daemons.
	Connections int `json:"connections"`
	// Engine is set where the upstreams are model engines.
	Engine *Engine `json:"engine,omitempty"`
}

// Engine is what is declared of a pool's engines.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int `json:"slots"`
	// MemoryTokens is how many tokens its running requests may hold.
	MemoryTokens int64 `json:"memory_tokens"`
	// EventTokens is how many tokens one event of a stream holds.
	EventTokens int `json:"event_tokens"`
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes int   `json:"header_bytes"`
	BodyBytes   int64 `json:"body_bytes"`
	HeaderMS    int64 `json:"header_ms"`
	IdleMS      int64 `json:"idle_ms"`
}

// Workspace is who sends requests.
type Workspace struct {
	Name string `json:"name"`
	// Keys are hashes, see config.HashKey.
	Keys []string `json:"keys"`
	// Rank goes before the route's where it is set.
	Rank *int `json:"rank,omitempty"`
	// TokensPerSecond and TokenBurst bound the workspace over all daemons; zero
	// means no limit.
	TokensPerSecond int64 `json:"tokens_per_second,omitempty"`
	TokenBurst      int64 `json:"token_burst,omitempty"`
	// PlainTokens is what a request counts that states no tokens.
	PlainTokens int64 `json:"plain_tokens,omitempty"`
}

// Index finds routes, pools and workspaces; it is read-only once made.
type Index struct {
	Table  *Table
	byHost map[string][]*Route
	pools  map[string]*Pool
	keys   map[string]*Workspace
	spaces map[string]*Workspace
}

// NewIndex indexes a table that Check accepts.
func NewIndex(t *Table) *Index {
	x := &Index{Table: t, byHost: map[string][]*Route{}, pools: map[string]*Pool{}, keys: map[string]*Workspace{}, spaces: map[string]*Workspace{}}
	for i := range t.Routes {
		r := &t.Routes[i]
		x.byHost[r.Host] = append(x.byHost[r.Host], r)
	}
	for _, list := range x.byHost {
		slices.SortFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range t.Pools {
		x.pools[t.Pools[i].Name] = &t.Pools[i]
	}
	for i := range t.Workspaces {
		x.spaces[t.Workspaces[i].Name] = &t.Workspaces[i]
		for _, k := range t.Workspaces[i].Keys {
			x.keys[k] = &t.Workspaces[i]
		}
	}
	return x
}

// Match returns the route with the longest prefix of a host's path, or nil. The
// host may carry a port.
func (x *Index) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range x.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Pool finds a pool, or returns nil.
func (x *Index) Pool(name string) *Pool { return x.pools[name] }

// Workspace finds the workspace of a key's hash, or returns nil.
func (x *Index) Workspace(keyHash string) *Workspace { return x.keys[keyHash] }

// WorkspaceNamed finds a workspace by its name, or returns nil.
func (x *Index) WorkspaceNamed(name string) *Workspace { return x.spaces[name] }

// Keyed tells whether requests need a key.
func (x *Index) Keyed() bool { return len(x.Table.Workspaces) > 0 }

// Pick chooses among a route's targets by weight; draw is in [0, 1).
func (r *Route) Pick(draw float64) string {
	total := int64(0)
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := int64(draw * float64(total))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Pool
		}
		at -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Pool
}
