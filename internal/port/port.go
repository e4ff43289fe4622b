// Package port defines the names of a daemon's services and the interfaces by
// which they look each other up in the kernel. It contains no implementation.
// Implementations are safe for concurrent use.
package port

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"storj.io/drpc"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/limits"
	"github.com/verbenastep/verbenastep/core/paths"
	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/core/rollout"
	"github.com/verbenastep/verbenastep/core/roster"
	"github.com/verbenastep/verbenastep/core/routes"
	"github.com/verbenastep/verbenastep/core/sched"
	"github.com/verbenastep/verbenastep/core/state"
)

// Names under which services register with the kernel.
const (
	// NameLink is the drpc server and client connection pool; see Link.
	NameLink = "link.drpc"
	// NameReplica stores the replicated log; only replicas have it.
	NameReplica = "log.replica"
	// NameLog is the log's client on every daemon; see Log.
	NameLog = "log.client"
	// NameView is the daemon's copy of the replicated state; see View and TableView.
	NameView = "config.view"
	// NameDispatcher runs the dispatchers of the pools whose lease this daemon holds.
	NameDispatcher = "sched.dispatcher"
	// NameScheduler is the entry's side of scheduling; see Scheduler.
	NameScheduler = "sched.client"
	// NameUpstreams receives upstreams' announcements; see Upstreams.
	NameUpstreams = "upstream.registry"
	// NameAnswers keeps running and finished answers.
	NameAnswers = "entry.answers"
	// NameEntry is the callers' HTTP server.
	NameEntry = "entry.http"
	// NameAdmin is the administrative HTTP server.
	NameAdmin = "admin.http"
	// NameMembers tracks the live daemons; see Members.
	NameMembers = "member.list"
	// NameEvents records events for package promise; see Events.
	NameEvents = "event.log"
	// NameMetrics is the metrics registry; see Metrics.
	NameMetrics = "metrics"
	// NameClock is the monitor of the machine's clocks.
	NameClock = "clock"
	// NameDirectory tells callers which entries to use; see Directory.
	NameDirectory = "directory"
	// NameTables publishes route tables; see Tables.
	NameTables = "config.tables"
	// NameRoster tracks the upstreams that send heartbeats; see Roster.
	NameRoster = "upstream.roster"
	// NameBroker grants upstreams to the entries of a route table.
	NameBroker = "broker.server"
	// NameBrokerClient is the entry's client of the broker; see BrokerClient.
	NameBrokerClient = "broker.client"
	// NameForward forwards callers' requests according to the route table.
	NameForward = "entry.forward"
	// NameEgress opens connections to upstreams; see Egress.
	NameEgress = "entry.egress"
	// NameRollouts takes orders of rollouts; see Rollouts. Only control daemons with the
	// settings for rollouts have it.
	NameRollouts = "rollout.orders"
	// NameDialect maps the header names of callers and upstreams.
	NameDialect = "entry.dialect"
)

// GroupMain is the group of the replicated log for configuration, leases and
// claims.
const GroupMain = "main"

// MaxCommandBytes is the maximum size of an encoded command of the log. A batch
// with such a command still fits into one drpc message, whose limit is 4 MiB; a
// command that did not fit could never be replicated.
const MaxCommandBytes = 2 << 20

// LeaseTTL is how long a holder may act on a lease, by a clock that
// counts suspensions of its machine, from before it sent the successful Acquire. The log grants the lease to
// another holder only after a third more, which covers clock drift.
const LeaseTTL = 1500 * time.Millisecond

// Link connects daemons by drpc.
type Link interface {
	// Conn returns a pooled connection to the peers' address of a daemon. Each
	// stream or call in progress occupies a network connection of its own.
	Conn(address string) drpc.Conn
	// Mux returns the mux on which drpc services register; they must do so before
	// the server starts.
	Mux() drpc.Mux
}

// Log commits commands to the replicated state.
type Log interface {
	// Propose returns once the command is committed and applied. After an error of
	// kind fault.Unknown the command may still be committed.
	Propose(ctx context.Context, group string, c state.Command) (state.Result, error)
	// Lookup reads a claim linearizably: it sees every command that was committed
	// before the call.
	Lookup(ctx context.Context, group, workspace, key string) (state.Claim, bool, error)
}

// ReplicaStatus is a replica's own status in a group of the log.
type ReplicaStatus struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Group   string `json:"group"`
	ID      uint64 `json:"id"`
	// Role is "leader", "follower", "candidate", or "new" before the replica
	// has joined.
	Role      string `json:"role"`
	Term      uint64 `json:"term"`
	Leader    string `json:"leader,omitempty"`
	Last      uint64 `json:"last"`
	Committed uint64 `json:"committed"`
	Applied   uint64 `json:"applied"`
	// Version is the configuration version that this replica has applied.
	Version uint64 `json:"version"`
	// Members lists the members of the group as this replica knows them.
	Members []ReplicaMember `json:"members,omitempty"`
	// Error is the reason why the replica does not answer or has stopped applying.
	Error string `json:"error,omitempty"`
}

// ReplicaMember is a member of a group as another replica knows it.
type ReplicaMember struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	ID      uint64 `json:"id"`
	Learner bool   `json:"learner,omitempty"`
	// Lag is the number of log entries that the member lacks; only the leader
	// reports it.
	Lag uint64 `json:"lag,omitempty"`
}

// Replicas reads and changes the replicas of a group.
type Replicas interface {
	// Status queries each replica; for one that does not answer only name, address
	// and error are set.
	Status(ctx context.Context, group string) []ReplicaStatus
	// Remove removes the replica with a name from the group.
	Remove(ctx context.Context, group, name string) error
	// Backup writes a snapshot that includes every command committed before the
	// call.
	Backup(ctx context.Context, group string, w io.Writer) error
}

// Snapshot is the configuration in force on this daemon.
type Snapshot struct {
	Version uint64
	Digest  string
	Config  *config.Config
}

// View is the daemon's copy of the replicated state. It may lag behind the log.
type View interface {
	// Snapshot returns the configuration in force. Its Config is never nil, and its
	// version never decreases.
	Snapshot() Snapshot
	// Lease returns the last known state of a lease; the holder of a free one is
	// empty.
	Lease(name string) state.Lease
	// Suspects returns the crash counts of a pool by request fingerprint.
	Suspects(pool string) map[uint64]int
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Request describes a request to the scheduler.
type Request struct {
	// Pool is the name of the model or service.
	Pool         string
	Workspace    string
	Operation    string
	PromptTokens int
	MaxTokens    int
	Blocks       []uint64
	Fingerprint  uint64
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Ticket is a granted slot of an upstream. Release must be called exactly once.
type Ticket interface {
	Upstream() string
	Address() string
	// Version returns the upstream's version of the model; empty if it states none.
	Version() string
	// Explanation returns the decision's explanation, a sched.Explanation as JSON.
	Explanation() json.RawMessage
	Release(r sched.Release)
}

// Scheduler grants upstreams to requests of declared workspaces.
type Scheduler interface {
	// Acquire waits for a grant. Its error is a *fault.Error and means that the
	// request did not run.
	Acquire(ctx context.Context, r Request) (Ticket, error)
}

// PoolRegion is a pool in a region, the unit that a dispatcher serves.
type PoolRegion struct {
	Pool   string
	Region string
}

// Upstreams passes upstreams' announcements to subscribers.
type Upstreams interface {
	// Subscribe calls fn for each announcement of a pool in a region, first for
	// those still valid, until cancel is called. fn must not block.
	Subscribe(at PoolRegion, fn func(*rpc.UpstreamState)) (cancel func())
	// PoolRegions lists the pools of the upstreams announced to this daemon.
	PoolRegions() []PoolRegion
}

// DispatchLeaseName returns the name of the lease of a pool's dispatcher in a region.
func DispatchLeaseName(pool, region string) string {
	return "dispatch/" + pool + "/" + region
}

// Member is a live daemon.
type Member struct {
	Name       string
	Region     string
	DataCentre string
	// Peers, Callers and Upstreams are the daemon's addresses for other daemons, for
	// requests and for announcements; empty if it has none.
	Peers     string
	Callers   string
	Upstreams string
	// Version is the configuration version in force there.
	Version uint64
	// Load is the used fraction of the daemon's capacity, 1 if all of it is used.
	Load    float64
	Replica bool
	// Leaving reports that the daemon drains: it still serves, but takes no new
	// callers.
	Leaving bool
}

// Members lists the live daemons, including this one.
type Members interface {
	// Live returns the live daemons.
	Live() []Member
	// Find returns a live daemon by name, and false if there is none.
	Find(name string) (Member, bool)
}

// LoadReporter reports the daemon's load; the service that accepts requests implements
// it.
type LoadReporter interface {
	// Load returns the used fraction of the capacity, 1 if all of it is used.
	Load() float64
}

// DrainAnnouncer announces to the other daemons that this one drains.
type DrainAnnouncer interface {
	// AnnounceDrain marks this daemon as leaving in the member lists of the others.
	AnnounceDrain()
}

// Directory tells which entries callers may use.
type Directory interface {
	// Answer returns entries' addresses for a caller in a data centre (empty if
	// unknown), the best first, and how long the answer may be cached.
	Answer(dataCentre string) (addresses []string, ttl time.Duration)
}

// Events records what the daemon does, for package promise and operators.
type Events interface {
	// Record keeps an event with the daemon's name and the time. It does not block.
	Record(e promise.Event)
}

// Metrics is the registry of Prometheus metrics.
type Metrics interface {
	Registerer() prometheus.Registerer
	Gatherer() prometheus.Gatherer
}

// Explainer explains the handling of a request to operators.
type Explainer interface {
	// Explain returns as JSON how this daemon handled the request with a key, and
	// false if it has seen none.
	Explain(key string) (json.RawMessage, bool)
}

// Tables publishes route tables and reads them back.
type Tables interface {
	// Publish commits a table; source is the text that the operator sent. It returns
	// the version in force afterwards. After an error of kind fault.Malformed a
	// retry is useless.
	Publish(ctx context.Context, t *routes.Table, source []byte) (uint64, error)
	// Read returns the source of the latest table, and false if there is none.
	Read(ctx context.Context) (source []byte, found bool, err error)
}

// TableView is the daemon's copy of the route table.
type TableView interface {
	// Routes returns the table in force, or nil if none is known yet. Its version
	// never decreases.
	Routes() *routes.Index
	// Leader returns the last known leader of the log.
	Leader() Leader
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// RolloutView is the daemon's copy of the rollouts.
type RolloutView interface {
	// Rollouts returns the last rollout of each pool, as of its last change of phase. Their
	// phases never go back. The caller must not change the list.
	Rollouts() []rollout.Record
}

// MaxRolloutOrderBytes bounds the body of a call that orders a rollout.
const MaxRolloutOrderBytes = 64 << 10

// maxOrderSeconds is longer than any duration that Rollouts accepts, and fits into a
// time.Duration.
const maxOrderSeconds = 1e9

// RolloutDuration returns the duration of an order that names it in seconds. What would not fit
// becomes one that Rollouts rejects.
func RolloutDuration(seconds float64) time.Duration {
	return time.Duration(max(-maxOrderSeconds, min(seconds, maxOrderSeconds)) * float64(time.Second))
}

// Rollouts orders rollouts and reads them back. Errors are *fault.Error; after one of kind
// fault.Unavailable or fault.Unknown the call may have taken effect, and may be repeated.
type Rollouts interface {
	// Order begins a rollout of a pool to a software version. The same order again returns
	// the record that it has led to. It fails with fault.Conflict while another one runs.
	Order(ctx context.Context, pool, target string, duration time.Duration) (rollout.Record, error)
	// Show returns the last rollout of a pool, and false if none was ordered. The read is
	// linearizable.
	Show(ctx context.Context, pool string) (rollout.Record, bool, error)
	// Abort rolls a running rollout back.
	Abort(ctx context.Context, pool string) (rollout.Record, error)
}

// Leader identifies the daemon that leads the log.
type Leader struct {
	// Address is its peers' address; empty if no leader is known.
	Address string
	// Term increases with each election, also if the same daemon is elected again.
	Term uint64
}

// Roster tracks the upstreams that send heartbeats.
type Roster interface {
	// RecordHeartbeat records a heartbeat and forwards it to the other control
	// daemons. One that says that the upstream leaves waits until that is on enough
	// disks. It returns an error if this daemon can't; the upstream should then use
	// another control daemon.
	RecordHeartbeat(ctx context.Context, e roster.Entry) error
	// Leave removes an upstream by its id, once that is on enough disks.
	Leave(ctx context.Context, id string) error
	// All lists the upstreams by id, each with the age of its last heartbeat.
	All() []RosterEntry
	// Changed returns a channel that is closed at the next change that affects
	// which upstreams may be used.
	Changed() <-chan struct{}
}

// RosterEntry is an upstream with the age of its last heartbeat. Silent reports
// that the age exceeds the limit up to which the upstream may be used.
type RosterEntry struct {
	roster.Entry
	Age    time.Duration
	Silent bool
}

// BrokerClient obtains grants from the broker for requests of the route table.
type BrokerClient interface {
	// Acquire waits for a grant. Its error is the context's, or a *fault.Error of a
	// request that did not run.
	Acquire(ctx context.Context, o BrokerOffer) (BrokerTicket, error)
	// ReportLimit records what an upstream said of the requests that it takes, in its
	// response to a request that was sent at the given time.
	ReportLimit(l broker.RequestLimit, sentAt time.Time)
	// Share returns this entry's part of the limits that all entries share.
	Share() limits.Part
	// ExpectedDuration estimates the time from the grant of a request to the end of a
	// response of its OutputTokens, at an upstream; at the fastest one of the pool if
	// upstream is empty. Its basis says whether that upstream was measured.
	ExpectedDuration(o broker.Offer, upstream string) broker.DurationEstimate
}

// Egress opens an entry's connections to upstreams.
type Egress interface {
	// Dial opens a connection to the upstream at an address, through another entry if this
	// one can't.
	Dial(ctx context.Context, address string) (net.Conn, error)
	// IsPathLost reports whether this entry can't connect to the upstream at an address by
	// itself, while other entries can.
	IsPathLost(address string) bool
	// FindFault finds out whose fault it is that a connection to the upstream at an address was
	// lost, or that it stays silent. That takes up to a second or two.
	FindFault(address string) paths.Verdict
	// HasHelpers reports whether there are other entries to connect through.
	HasHelpers() bool
}

// UpstreamAddresses knows the addresses of the upstreams in the roster.
type UpstreamAddresses interface {
	// HasUpstream reports whether an upstream serves at an address.
	HasUpstream(address string) bool
	// OtherUpstreams returns the addresses of up to n upstreams other than the given one.
	OtherUpstreams(address string, n int) []string
}

// BrokerOffer is a request that waits for an upstream.
type BrokerOffer struct {
	broker.Offer
	// LatencyTargetAt is the time until which the first event counts as on time;
	// DeadlineAt is when the caller stops waiting.
	LatencyTargetAt time.Time
	DeadlineAt      time.Time
	// LatencyGrace is how long after LatencyTargetAt the request is still served
	// instead of refused.
	LatencyGrace time.Duration
	// AbandonAt is when the caller gives up if no event has arrived; zero if that is not
	// known.
	AbandonAt time.Time
}

// BrokerTicket is a granted slot. End must be called exactly once.
type BrokerTicket struct {
	broker.Grant
	// GrantedBy is "broker", or "entry" if the entry granted by itself because no
	// broker answered.
	GrantedBy string
	// Expired reports whether the request must not be sent any more, so that the grant has
	// to be returned; nil if it never expires. Call it right before the request is sent.
	Expired func() bool
	// GrantedAt is when this entry got the grant, by clock.SinceBoot; zero if unknown.
	GrantedAt time.Duration
	// End frees the slot and reports how the request ended.
	End func(e broker.End)
}

// Readiness reports whether an entry takes new callers.
type Readiness interface {
	// Ready returns nil, or why the entry must not get new callers.
	Ready() error
}
