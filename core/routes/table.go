// Package routes defines the route table, which maps requests to pools of
// upstreams and states each route's guarantees and the workspaces that may send
// requests. The control daemons publish tables, the entries match requests
// against them.
//
// A table is replaced as a whole; of two tables the one with the higher version
// is in force. The package does no I/O. A Table that Check accepts refers to
// declared pools only, and its routes and workspace keys are unique.
package routes

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind is the delivery guarantee of a route.
type Kind string

// Kinds of routes; the values are stored and published.
const (
	// Idempotent marks requests that may run more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce marks requests that run at most once per attempt of a caller.
	AtMostOnce Kind = "once"
	// Stream marks requests that are answered by an event stream.
	Stream Kind = "stream"
)

// Table is a complete version of the route table.
type Table struct {
	Version    uint64      `json:"version"`
	Routes     []Route     `json:"routes"`
	Pools      []Pool      `json:"pools"`
	Limits     Limits      `json:"limits"`
	Workspaces []Workspace `json:"workspaces,omitempty"`
}

// Route assigns the requests for a host and path prefix to pools.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Targets are the pools that receive the requests, in proportion to their
	// weights.
	Targets []Target `json:"targets"`
	// TimeoutMS bounds the time from arrival to the end of the response, in
	// milliseconds.
	TimeoutMS int64 `json:"timeout_ms"`
	// LatencyTargetMS is the time to the response, or to the first event of a
	// stream, that counts as on time, in milliseconds.
	LatencyTargetMS int64 `json:"aim_ms"`
	// GapMS is the longest pause between two events of a stream that counts as
	// on time, in milliseconds.
	GapMS int64 `json:"gap_ms,omitempty"`
	// Rank orders routes when capacity is short; 0 is served first.
	Rank int `json:"rank"`
	// MaxAttempts bounds the number of upstreams that may run one request.
	MaxAttempts int `json:"attempts"`
	// Public routes accept requests without a key.
	Public bool `json:"public,omitempty"`
	// Resumable streams can be continued at another upstream after the last
	// event that was delivered.
	Resumable bool `json:"resumable,omitempty"`
}

// Repeatable reports whether a request may run again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Timeout returns TimeoutMS as a duration.
func (r *Route) Timeout() time.Duration { return time.Duration(r.TimeoutMS) * time.Millisecond }

// LatencyTarget returns LatencyTargetMS as a duration.
func (r *Route) LatencyTarget() time.Duration {
	return time.Duration(r.LatencyTargetMS) * time.Millisecond
}

// Target is a pool with its relative weight in a route.
type Target struct {
	Pool   string `json:"pool"`
	Weight int64  `json:"weight"`
}

// Pool is a set of upstreams that serve the same requests. They may differ in the version of
// their software.
type Pool struct {
	Name string `json:"name"`
	// HealthPath is the path of an upstream's health check.
	HealthPath string `json:"health,omitempty"`
	// MaxConnections bounds the connections of all daemons to one upstream.
	MaxConnections int `json:"connections"`
	// Engine is set if the upstreams are model engines.
	Engine *Engine `json:"engine,omitempty"`
}

// Engine declares the capacity of each model engine in a pool.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int `json:"slots"`
	// MemoryTokens is the number of tokens that its running requests may hold
	// in the KV cache.
	MemoryTokens int64 `json:"memory_tokens"`
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int `json:"event_tokens"`
}

// Limits bounds callers' requests and connections.
type Limits struct {
	HeaderBytes int   `json:"header_bytes"`
	BodyBytes   int64 `json:"body_bytes"`
	HeaderMS    int64 `json:"header_ms"`
	IdleMS      int64 `json:"idle_ms"`
}

// Workspace is a tenant that sends requests with its own keys and quota.
type Workspace struct {
	Name string `json:"name"`
	// Keys are hashes of the workspace's keys; see config.HashKey.
	Keys []string `json:"keys"`
	// Rank takes precedence over the route's rank if it is set.
	Rank *int `json:"rank,omitempty"`
	// TokensPerSecond and TokenBurst are the rate and size of the workspace's
	// token bucket over all daemons; a zero rate means no limit.
	TokensPerSecond int64 `json:"tokens_per_second,omitempty"`
	TokenBurst      int64 `json:"token_burst,omitempty"`
	// DefaultTokens is charged for a request that states no token counts.
	DefaultTokens int64 `json:"plain_tokens,omitempty"`
}

// Index looks up the routes, pools and workspaces of a table. It is immutable
// and safe for concurrent use.
type Index struct {
	Table      *Table
	byHost     map[string][]*Route
	pools      map[string]*Pool
	keys       map[string]*Workspace
	workspaces map[string]*Workspace
}

// NewIndex returns an index of a table that Check accepts.
func NewIndex(t *Table) *Index {
	x := &Index{Table: t, byHost: map[string][]*Route{}, pools: map[string]*Pool{}, keys: map[string]*Workspace{}, workspaces: map[string]*Workspace{}}
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
		x.workspaces[t.Workspaces[i].Name] = &t.Workspaces[i]
		for _, k := range t.Workspaces[i].Keys {
			x.keys[k] = &t.Workspaces[i]
		}
	}
	return x
}

// Match returns the route of a host with the longest prefix of the path, or nil.
// The host may include a port, which is ignored.
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

// Pool returns the pool with a name, or nil.
func (x *Index) Pool(name string) *Pool { return x.pools[name] }

// WorkspaceByKey returns the workspace that owns a key's hash, or nil.
func (x *Index) WorkspaceByKey(keyHash string) *Workspace { return x.keys[keyHash] }

// WorkspaceByName returns the workspace with a name, or nil.
func (x *Index) WorkspaceByName(name string) *Workspace { return x.workspaces[name] }

// RequiresKey reports whether requests to routes that are not public need a key.
func (x *Index) RequiresKey() bool { return len(x.Table.Workspaces) > 0 }

// Pick returns the pool of a target chosen by weight; draw is a uniform random
// number in [0, 1).
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
