// Package config holds the declared configuration: its types, how files merge
// into one whole, the checks across them, and deltas between versions.
//
// The package is pure: it reads no file and no clock. Invariant: a Config that
// Check accepts has unique names and no dangling reference.
package config

// Config is the whole declared configuration at one version.
type Config struct {
	// Tiers are in order: the first is the highest.
	Tiers      []Tier      `json:"tiers,omitempty"`
	Workspaces []Workspace `json:"workspaces,omitempty"`
	Regions    []Region    `json:"regions,omitempty"`
	Models     []Model     `json:"models,omitempty"`
	Services   []Service   `json:"services,omitempty"`
	Operators  []Operator  `json:"operators,omitempty"`
	Timeouts   *Timeouts   `json:"timeouts,omitempty"`

	index *index
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

// Limits bound what one workspace may use over all entries together. Zero
// means no limit.
type Limits struct {
	// RequestsPerMinute is an average rate, with a burst of one tenth of it.
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
	// Weight is the share within the tier; zero means 1.
	Weight     int64   `json:"weight,omitempty"`
	HomeRegion string  `json:"home_region"`
	Limits     *Limits `json:"limits,omitempty"`
	// Keys are hashes of bearer keys, each "sha256:" and 64 hex digits.
	Keys []string `json:"keys"`
}

// Region is a group of data centres joined by fast links.
type Region struct {
	Name        string   `json:"name"`
	DataCentres []string `json:"data_centres"`
}

// Model is served by runners: engines that generate tokens.
type Model struct {
	Name string `json:"name"`
	// Version is the version to be loaded; empty means any.
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	// MaxTokens bounds one answer, in tokens.
	MaxTokens int64 `json:"max_tokens,omitempty"`
	// BlockTokens is the prefix cache's block size, in tokens.
	BlockTokens int64 `json:"block_tokens,omitempty"`
}

// Service is a plain service, reached under /services/NAME/.
type Service struct {
	Name       string      `json:"name"`
	Operations []Operation `json:"operations"`
	// Concurrency is the most calls in flight on one upstream; zero means 1.
	Concurrency int64 `json:"concurrency,omitempty"`
}

// Operation is one kind of call on a service.
type Operation struct {
	Name string `json:"name"`
	// Method and Path match the call; a path ending in "/" matches below it.
	Method     string `json:"method"`
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent,omitempty"`
	// KeyOptional lets a non-idempotent operation run without the caller's key.
	KeyOptional bool `json:"key_optional,omitempty"`
}

// Operator is a person or program that may apply configuration.
type Operator struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
}

// Timeouts are system-wide, in milliseconds.
type Timeouts struct {
	// RequestMS bounds a request from arrival to the end of its answer.
	RequestMS int64 `json:"request_ms,omitempty"`
	// SilenceMS is how long a stream may carry nothing before the entry
	// resumes it over a new connection.
	SilenceMS int64 `json:"silence_ms,omitempty"`
	// RetentionMS is how long claims and answers are kept.
	RetentionMS int64 `json:"retention_ms,omitempty"`
}

// Defaults for Timeouts, in milliseconds.
const (
	DefaultRequestMS   = 10 * 60 * 1000
	DefaultSilenceMS   = 3 * 1000
	DefaultRetentionMS = 30 * 60 * 1000
)

// Times returns the timeouts with defaults filled in.
func (c *Config) Times() Timeouts {
	t := Timeouts{}
	if c.Timeouts != nil {
		t = *c.Timeouts
	}
	t.RequestMS = orDefault(t.RequestMS, DefaultRequestMS)
	t.SilenceMS = orDefault(t.SilenceMS, DefaultSilenceMS)
	t.RetentionMS = orDefault(t.RetentionMS, DefaultRetentionMS)
	return t
}

func orDefault(v, def int64) int64 {
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

// Model finds a model by name.
func (c *Config) Model(name string) (Model, bool) {
	for _, m := range c.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Service finds a service by name.
func (c *Config) Service(name string) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// LimitsOf returns the limits in force for a workspace: its own, or its
// tier's, or none.
func (c *Config) LimitsOf(w Workspace) Limits {
	if w.Limits != nil {
		return *w.Limits
	}
	i, ok := c.TierIndex(w.Tier)
	if ok && c.Tiers[i].Limits != nil {
		return *c.Tiers[i].Limits
	}
	return Limits{}
}

// Match finds the operation for a call, the longest path first.
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
	below := len(o.Path) > 0 && o.Path[len(o.Path)-1] == '/'
	return below && len(path) > len(o.Path) && path[:len(o.Path)] == o.Path
}
