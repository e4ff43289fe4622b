package settings

import (
	"net"
	"slices"
	"strconv"
	"sync"
)

// Routing are the settings of a daemon that serves a published route table.
type Routing struct {
	// Ready is where an entry's readiness is asked for.
	Ready string `json:"ready,omitempty"`
	// Control is for operators and upstreams' heartbeats; a daemon that has it
	// is a control daemon.
	Control string `json:"control,omitempty"`
	// Directory is where callers ask which entries to use.
	Directory string `json:"directory,omitempty"`
	// SeedPort replaces the port of each seed where it is not zero.
	SeedPort int `json:"seed_port,omitempty"`
	// Found says that the replicas in the seeds may begin a new log.
	Found bool `json:"found,omitempty"`
	// HeartbeatMS is the pause between two heartbeats of an upstream.
	HeartbeatMS int64 `json:"heartbeat_ms,omitempty"`
	// GraceMS is the time from the signal to stop until the process is killed.
	GraceMS int64 `json:"grace_ms,omitempty"`
	// AnswerLifeMS is how long callers may keep a directory answer.
	AnswerLifeMS int64 `json:"answer_life_ms,omitempty"`
	// Retry bounds what is sent again.
	Retry Retry `json:"retry,omitempty"`
	// Quota is how far workspaces' quotas may be exceeded.
	Quota Quota `json:"quota,omitempty"`
	// DataCentres gives the region of each data centre.
	DataCentres map[string]string `json:"data_centres,omitempty"`
}

// Retry is a budget for sending requests again, over all daemons together.
type Retry struct {
	// Ratio is how many repeats are allowed for each request.
	Ratio float64 `json:"ratio,omitempty"`
	// WindowMS is the window in which they are counted.
	WindowMS int64 `json:"window_ms,omitempty"`
	// Slack is how many repeats are allowed besides.
	Slack int64 `json:"slack,omitempty"`
}

// Quota is what is tolerated of a workspace beyond its quota.
type Quota struct {
	// SlackTokens is how many tokens in a window of some seconds.
	SlackTokens int64 `json:"slack_tokens,omitempty"`
}

// Defaults for Routing, in milliseconds but for DefaultRetryRatio.
const (
	DefaultHeartbeatMS  = 1000
	DefaultGraceMS      = 8000
	DefaultAnswerLifeMS = 2000
	DefaultRetryRatio   = 0.1
	DefaultRetryMS      = 10_000
)

func (r *Routing) fill() {
	r.HeartbeatMS = orDefault(r.HeartbeatMS, DefaultHeartbeatMS)
	r.GraceMS = orDefault(r.GraceMS, DefaultGraceMS)
	r.AnswerLifeMS = orDefault(r.AnswerLifeMS, DefaultAnswerLifeMS)
	r.Retry.WindowMS = orDefault(r.Retry.WindowMS, DefaultRetryMS)
	if r.Retry.Ratio == 0 {
		r.Retry.Ratio = DefaultRetryRatio
	}
}

func orDefault(v, def int64) int64 {
	if v == 0 {
		return def
	}
	return v
}

// followSeeds takes the seeds as the replicas to found or join the log with.
// Their names are not known yet: each goes by its address.
func (s *Settings) followSeeds() {
	for i, seed := range s.Seeds {
		s.Seeds[i] = withPort(seed, s.Routing.SeedPort)
	}
	if len(s.Replicas) > 0 {
		return
	}
	for _, seed := range s.Seeds {
		s.Replicas = append(s.Replicas, Peer{Name: seed, Address: seed})
	}
}

func withPort(address string, port int) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil || port == 0 {
		return address
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}

// ControlDaemon tells whether operators and upstreams speak to this daemon.
func (s *Settings) ControlDaemon() bool { return s.Routing != nil && s.Routing.Control != "" }

// seedList is what a reload may change while the daemon runs.
type seedList struct {
	mu       sync.Mutex
	seeds    []string
	replicas []Peer
}

func (l *seedList) set(seeds []string, replicas []Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seeds, l.replicas = slices.Clone(seeds), slices.Clone(replicas)
}

// KnownReplicas lists the replicas as last read from the file.
func (s *Settings) KnownReplicas() []Peer {
	if s.seeds == nil {
		return s.Replicas
	}
	s.seeds.mu.Lock()
	defer s.seeds.mu.Unlock()
	return s.seeds.replicas
}

// KnownSeeds lists the seeds as last read from the file.
func (s *Settings) KnownSeeds() []string {
	if s.seeds == nil {
		return s.Seeds
	}
	s.seeds.mu.Lock()
	defer s.seeds.mu.Unlock()
	return s.seeds.seeds
}

// Follow takes over what a running daemon can change from a file that was read
// again, and tells whether anything did.
func (s *Settings) Follow(next *Settings) bool {
	changed := !slices.Equal(s.KnownSeeds(), next.Seeds) || !slices.Equal(s.KnownReplicas(), next.Replicas)
	s.seeds.set(next.Seeds, next.Replicas)
	return changed
}
