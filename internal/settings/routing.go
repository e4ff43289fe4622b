package settings

import (
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/verbenastep/verbenastep/core/broker"
)

// Routing holds the settings of a daemon that serves a published route table.
type Routing struct {
	// Ready is the address that answers readiness checks of an entry.
	Ready string `json:"ready,omitempty"`
	// Control is the address for operators and upstreams' heartbeats. A daemon that
	// has one is a control daemon.
	Control string `json:"control,omitempty"`
	// Directory is the address at which callers ask which entries to use.
	Directory string `json:"directory,omitempty"`
	// SeedPort, if not zero, replaces the port of each seed.
	SeedPort int `json:"seed_port,omitempty"`
	// BootstrapLog allows the replicas listed as seeds to bootstrap a new log.
	BootstrapLog bool `json:"found,omitempty"`
	// HeartbeatMS is the interval between two heartbeats of an upstream.
	HeartbeatMS float64 `json:"heartbeat_ms,omitempty"`
	// GraceMS is the time between the stop signal and the kill of the process by the
	// platform. A file may state GraceSeconds instead, which Parse converts.
	GraceMS      float64 `json:"grace_ms,omitempty"`
	GraceSeconds float64 `json:"grace_s,omitempty"`
	// AnswerTTLMS is how long callers may cache a directory answer.
	AnswerTTLMS float64 `json:"answer_life_ms,omitempty"`
	// Retry bounds how many requests are sent again.
	Retry Retry `json:"retry,omitempty"`
	// Quota is the tolerance in the enforcement of workspaces' quotas.
	Quota Quota `json:"quota,omitempty"`
	// Rollout is set if operators may order rollouts of software versions. It must be set
	// on all daemons alike.
	Rollout *Rollout `json:"rollout,omitempty"`
	// Pace enables the slow start of upstreams; nil means off.
	Pace *Pace `json:"pace,omitempty"`
	// BufferMB bounds, in MiB, the request bodies and responses that an entry holds for
	// all its callers together.
	BufferMB float64 `json:"buffer_mb,omitempty"`
	// Overload, if set, enables the decisions under overload.
	Overload *Overload `json:"overload,omitempty"`
	// DataCentres maps each data centre to its region.
	DataCentres map[string]string `json:"data_centres,omitempty"`
}

// Retry is the retry budget of all daemons together.
type Retry struct {
	// Ratio is the number of retries allowed per request; nil means
	// DefaultRetryRatio, zero allows none.
	Ratio *float64 `json:"ratio,omitempty"`
	// WindowMS is the window in which requests and retries are counted. A file may
	// state WindowSeconds instead, which Parse converts.
	WindowMS      float64 `json:"window_ms,omitempty"`
	WindowSeconds float64 `json:"window_s,omitempty"`
	// Slack is the number of retries allowed in addition to those of Ratio.
	Slack float64 `json:"slack,omitempty"`
}

// RatioOrDefault returns Ratio, or its default if it is not set.
func (r Retry) RatioOrDefault() float64 {
	if r.Ratio == nil {
		return DefaultRetryRatio
	}
	return *r.Ratio
}

// Quota is how far a workspace may exceed its quota.
type Quota struct {
	// SlackTokens is the number of tokens beyond the quota that are tolerated within
	// some seconds.
	SlackTokens float64 `json:"slack_tokens,omitempty"`
}

// Rollout bounds what a software version may do before it is trusted.
type Rollout struct {
	// Share is the largest fraction of a pool's requests that the version gets; Slack is
	// the number of requests that it may get besides.
	Share float64 `json:"share"`
	Slack float64 `json:"slack"`
	// RollbackMS is the time from the version's 50th bad answer within which no entry sends
	// to it any more.
	RollbackMS float64 `json:"rollback_ms"`
}

// Pace is the slow start of upstreams that have just started or recovered.
type Pace struct {
	// InitialSlots is how many slots are open at first; zero means DefaultInitialSlots.
	InitialSlots int `json:"initial_slots,omitempty"`
	// TimeFactor is by how much answers may take longer than expected for further slots to
	// open; zero means DefaultTimeFactor.
	TimeFactor float64 `json:"time_factor,omitempty"`
}

// Defaults for Pace.
const (
	DefaultInitialSlots = 1
	DefaultTimeFactor   = 2.5
)

// Overload configures the decisions under overload: times to return that refused callers can
// rely on, fair sharing between the workspaces of a rank, and late service.
type Overload struct {
	// AbandonFactor is after how many times its latency target a caller gives up a stream of
	// which it has no event, and AbandonMinMS the shortest time for that. Other requests are
	// awaited until their deadline.
	AbandonFactor float64 `json:"abandon_factor,omitempty"`
	AbandonMinMS  float64 `json:"abandon_min_ms,omitempty"`
	// MaxCommitments bounds the refused requests that the broker remembers.
	MaxCommitments int `json:"max_commitments,omitempty"`
	// ReturnShare is the part of the capacity of a rank that is kept for refused requests that
	// return when they were told to.
	ReturnShare float64 `json:"return_share,omitempty"`
}

// AbandonTime returns after how long a caller gives up a stream of which it has no event.
func (o Overload) AbandonTime(latencyTarget time.Duration) time.Duration {
	return max(Milliseconds(o.AbandonMinMS), time.Duration(o.AbandonFactor*float64(latencyTarget)))
}

// Defaults for Routing, in milliseconds except for DefaultRetryRatio. A time of zero
// is replaced by its default as well.
const (
	DefaultHeartbeatMS = 1000.0
	DefaultGraceMS     = 8000.0
	DefaultAnswerTTLMS = 2000.0
	DefaultRetryRatio  = 0.1
	DefaultRetryMS     = 10_000.0
	// DefaultAbandonFactor, DefaultMaxCommitments and DefaultReturnShare have no unit.
	DefaultAbandonFactor  = 4.0
	DefaultAbandonMinMS   = 2000.0
	DefaultMaxCommitments = broker.DefaultMaxCommitments
	DefaultReturnShare    = broker.DefaultReturnShare
)

// DefaultBufferMB is the default of Routing.BufferMB.
const DefaultBufferMB = 32.0

const bytesPerMB = 1 << 20

// BufferBytes returns BufferMB, or its default if it is not set, in bytes.
func (r *Routing) BufferBytes() int64 {
	return int64(orDefault(r.BufferMB, DefaultBufferMB) * bytesPerMB)
}

const (
	// stopTenths and maxStopTime bound the part of the grace period that is kept for the stop
	// of the process itself.
	stopTenths  = 1
	maxStopTime = time.Second
	tenths      = 10
)

// DrainTime returns how long after the stop signal requests may be in flight; the rest of the
// grace period is for the stop of the process.
func (r *Routing) DrainTime() time.Duration {
	grace := Milliseconds(r.GraceMS)
	return grace - min(grace*stopTenths/tenths, maxStopTime)
}

// applyDefaults sets the defaults of unset values.
func (r *Routing) applyDefaults() {
	r.HeartbeatMS = orDefault(r.HeartbeatMS, DefaultHeartbeatMS)
	r.GraceMS = orDefault(r.GraceMS+r.GraceSeconds*msPerSecond, DefaultGraceMS)
	r.GraceSeconds = 0
	r.AnswerTTLMS = orDefault(r.AnswerTTLMS, DefaultAnswerTTLMS)
	r.Retry.WindowMS = orDefault(r.Retry.WindowMS+r.Retry.WindowSeconds*msPerSecond, DefaultRetryMS)
	r.Retry.WindowSeconds = 0
	if r.Pace != nil {
		r.Pace.InitialSlots = max(r.Pace.InitialSlots, DefaultInitialSlots)
		r.Pace.TimeFactor = orDefault(r.Pace.TimeFactor, DefaultTimeFactor)
	}
	if o := r.Overload; o != nil {
		o.AbandonFactor = orDefault(o.AbandonFactor, DefaultAbandonFactor)
		o.ReturnShare = orDefault(o.ReturnShare, DefaultReturnShare)
		o.AbandonMinMS = orDefault(o.AbandonMinMS, DefaultAbandonMinMS)
		if o.MaxCommitments == 0 {
			o.MaxCommitments = DefaultMaxCommitments
		}
	}
}

func orDefault(v, def float64) float64 {
	if v == 0 {
		return def
	}
	return v
}

const msPerSecond = 1000

// Milliseconds converts a setting in milliseconds, which may have a fraction.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// applySeeds applies SeedPort and, if no replicas are listed, uses the seeds as
// the replicas to bootstrap or join the log with. Their names are not known yet,
// so that each is named by its address.
func (s *Settings) applySeeds() {
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

// IsControlDaemon reports whether this is a control daemon, to which operators and
// upstreams connect.
func (s *Settings) IsControlDaemon() bool { return s.Routing != nil && s.Routing.Control != "" }

// reloadable holds the settings that a reload changes while the daemon runs.
type reloadable struct {
	mu       sync.Mutex
	seeds    []string
	replicas []Peer
}

func (l *reloadable) set(seeds []string, replicas []Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seeds, l.replicas = slices.Clone(seeds), slices.Clone(replicas)
}

// KnownReplicas returns the replicas as last reloaded.
func (s *Settings) KnownReplicas() []Peer {
	if s.reloaded == nil {
		return s.Replicas
	}
	s.reloaded.mu.Lock()
	defer s.reloaded.mu.Unlock()
	return s.reloaded.replicas
}

// KnownSeeds returns the seeds as last reloaded.
func (s *Settings) KnownSeeds() []string {
	if s.reloaded == nil {
		return s.Seeds
	}
	s.reloaded.mu.Lock()
	defer s.reloaded.mu.Unlock()
	return s.reloaded.seeds
}

// Reload applies the seeds and replicas of reloaded settings; all other settings
// need a restart. It reports whether they differ from the current ones.
func (s *Settings) Reload(next *Settings) bool {
	changed := !slices.Equal(s.KnownSeeds(), next.Seeds) || !slices.Equal(s.KnownReplicas(), next.Replicas)
	s.reloaded.set(next.Seeds, next.Replicas)
	return changed
}
