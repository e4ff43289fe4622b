// Package config defines the declared configuration: its types, the merging and
// validation of its files, and deltas between versions. Operators' tools, the
// replicated state and every daemon use it.
//
// The package is pure: it reads no file and no clock. Invariant: a Config that
// Check accepts has unique names and no dangling reference.
package config

// Config is the complete declared configuration at one version. It is not
// changed after Merge and is then safe for concurrent use.
type Config struct {
	// Tiers are ordered from the highest to the lowest.
	Tiers      []Tier      `json:"tiers,omitempty"`
	Workspaces []Workspace `json:"workspaces,omitempty"`
	Regions    []Region    `json:"regions,omitempty"`
	Models     []Model     `json:"models,omitempty"`
	Services   []Service   `json:"services,omitempty"`
	Operators  []Operator  `json:"operators,omitempty"`
	Timeouts   *Timeouts   `json:"timeouts,omitempty"`

	index *workspaceIndex
}

// Tier is a class of service that workspaces subscribe to.
type Tier struct {
	Name string `json:"name"`
	// GoodputMS is the time, in milliseconds, within which a whole answer
	// must arrive to count as goodput.
	GoodputMS int64 `json:"goodput_ms"`
	// Limits apply to each workspace of the tier that declares none itself.
	Limits *Limits `json:"limits,omitempty"`
}

// Limits bounds the use of one workspace over all entries together. Zero means
// no limit.
type Limits struct {
	// RequestsPerMinute is an average rate; bursts of a tenth of it are
	// allowed.
	RequestsPerMinute int64 `json:"requests_per_minute,omitempty"`
	// Concurrency counts requests queued or in service.
	Concurrency int64 `json:"concurrency,omitempty"`
	// TokensPerHour counts uncached prompt tokens and output tokens.
	TokensPerHour int64 `json:"tokens_per_hour,omitempty"`
}

// Workspace is one customer of an operator.
type Workspace struct {
	Name string `json:"name"`
	Tier string `json:"tier"`
	// Weight is the workspace's relative share within its tier; zero means 1.
	Weight     int64   `json:"weight,omitempty"`
	HomeRegion string  `json:"home_region"`
	Limits     *Limits `json:"limits,omitempty"`
	// Keys are hashes of bearer keys in the format of HashKey: "sha256:" and 64
	// hex digits.
	Keys []string `json:"keys"`
}

// Region is a group of data centres connected by fast links.
type Region struct {
	Name        string   `json:"name"`
	DataCentres []string `json:"data_centres"`
}

// Model is a model served by runners, the engines that generate tokens.
type Model struct {
	Name string `json:"name"`
	// Version is the model version to load; empty means any.
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	// MaxTokens bounds one answer, in tokens.
	MaxTokens int64 `json:"max_tokens,omitempty"`
	// BlockTokens is the prefix cache's block size, in tokens.
	BlockTokens int64 `json:"block_tokens,omitempty"`
}

// Service is a plain HTTP service, called under /services/NAME/.
type Service struct {
	Name       string      `json:"name"`
	Operations []Operation `json:"operations"`
	// Concurrency bounds the calls in flight on one upstream; zero means 1.
	Concurrency int64 `json:"concurrency,omitempty"`
}

// Operation is one kind of call on a service.
type Operation struct {
	Name string `json:"name"`
	// Method and Path match the call; a path that ends in "/" matches all paths
	// below it.
	Method string `json:"method"`
	Path   string `json:"path"`
	// Idempotent is set if repeating a call has no further effect.
	Idempotent bool `json:"idempotent,omitempty"`
	// KeyOptional allows a non-idempotent operation without an idempotency key.
	KeyOptional bool `json:"key_optional,omitempty"`
}

// Operator is a person or program that may apply configurations.
type Operator struct {
	Name string `json:"name"`
	// Keys are hashes of bearer keys in the format of HashKey.
	Keys []string `json:"keys"`
}

// Timeouts are the system-wide time limits in milliseconds. Zero means the
// default.
type Timeouts struct {
	// RequestMS bounds a request from arrival to the end of its answer.
	RequestMS int64 `json:"request_ms,omitempty"`
	// SilenceMS is the time without data after which the entry resumes a stream
	// over a new connection.
	SilenceMS int64 `json:"silence_ms,omitempty"`
	// RetentionMS is the time for which claims and answers are kept.
	RetentionMS int64 `json:"retention_ms,omitempty"`
}

// Defaults for Timeouts, in milliseconds.
const (
	DefaultRequestMS   = 10 * 60 * 1000
	DefaultSilenceMS   = 3 * 1000
	DefaultRetentionMS = 30 * 60 * 1000
)

// EffectiveTimeouts returns the timeouts with defaults filled in.
func (c *Config) EffectiveTimeouts() Timeouts {
	t := Timeouts{}
	if c.Timeouts != nil {
		t = *c.Timeouts
	}
	t.RequestMS = valueOrDefault(t.RequestMS, DefaultRequestMS)
	t.SilenceMS = valueOrDefault(t.SilenceMS, DefaultSilenceMS)
	t.RetentionMS = valueOrDefault(t.RetentionMS, DefaultRetentionMS)
	return t
}

func valueOrDefault(v, def int64) int64 {
	if v == 0 {
		return def
	}
	return v
}

// TierIndex returns the position of a tier, 0 being the highest.
func (c *Config) TierIndex(name string) (int, bool) {
	for i, t := range c.Tiers {
		if t.Name == name {
			return i, true
		}
	}
	return 0, false
}

// Model returns the named model, and false if there is none.
func (c *Config) Model(name string) (Model, bool) {
	for _, m := range c.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Service returns the named service, and false if there is none.
func (c *Config) Service(name string) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// EffectiveLimits returns the limits in force for a workspace: its own if
// declared, otherwise its tier's, otherwise none.
func (c *Config) EffectiveLimits(w Workspace) Limits {
	if w.Limits != nil {
		return *w.Limits
	}
	i, ok := c.TierIndex(w.Tier)
	if ok && c.Tiers[i].Limits != nil {
		return *c.Tiers[i].Limits
	}
	return Limits{}
}

// Match returns the operation with the longest path that matches a call, and
// false if none does.
func (s Service) Match(method, path string) (Operation, bool) {
	best := Operation{}
	found := false
	for _, o := range s.Operations {
		if !o.matches(method, path) {
			continue
		}
		if !found || len(o.Path) > len(best.Path) {
			best = o
			found = true
		}
	}
	return best, found
}

func (o Operation) matches(method, path string) bool {
	if o.Method != method {
		return false
	}
	if o.Path == path {
		return true
	}
	matchesSubtree := len(o.Path) > 0 && o.Path[len(o.Path)-1] == '/'
	return matchesSubtree && len(path) > len(o.Path) && path[:len(o.Path)] == o.Path
}
