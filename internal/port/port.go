// Package port defines the names of a daemon's services and the interfaces
// under which they find each other. It holds no implementation.
package port

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"storj.io/drpc"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/core/roster"
	"github.com/verbenastep/verbenastep/core/routes"
	"github.com/verbenastep/verbenastep/core/sched"
	"github.com/verbenastep/verbenastep/core/state"
)

// Names of services.
const (
	// NameLink is the drpc server and connection pool; see Link.
	NameLink = "link.drpc"
	// NameReplica stores the replicated log, on replicas only.
	NameReplica = "log.replica"
	// NameLog is the log's client on every daemon; see Log.
	NameLog = "log.client"
	// NameView is the daemon's copy of configuration and leases; see View.
	NameView = "config.view"
	// NameDispatcher runs the pools whose lease this daemon holds.
	NameDispatcher = "sched.dispatcher"
	// NameScheduler is the entry's side of scheduling; see Scheduler.
	NameScheduler = "sched.client"
	// NameUpstreams receives announcements; see Upstreams.
	NameUpstreams = "upstream.registry"
	// NameAnswers keeps running and finished answers; see Answers.
	NameAnswers = "entry.answers"
	// NameEntry is the callers' HTTP server.
	NameEntry = "entry.http"
	// NameAdmin is the administrative HTTP server.
	NameAdmin = "admin.http"
	// NameMembers knows the live daemons; see Members.
	NameMembers = "member.list"
	// NameEvents records events for the promise checker; see Events.
	NameEvents = "event.log"
	// NameMetrics collects metrics; see Metrics.
	NameMetrics = "metrics"
	// NameDirectory answers which entries to use; see Directory.
	NameDirectory = "directory"
	// NameTables publishes route tables; see Tables.
	NameTables = "config.tables"
	// NameRoster keeps the upstreams that send heartbeats; see Roster.
	NameRoster = "upstream.roster"
	// NameBroker grants upstreams to the entries of a route table.
	NameBroker = "broker.server"
	// NameWork is the entry's side of the broker; see Work.
	NameWork = "broker.client"
	// NameForward forwards requests by the route table.
	NameForward = "entry.forward"
	// NameDialect knows the header names of callers and upstreams.
	NameDialect = "entry.dialect"
)

// GroupMain is the log group for configuration, leases and claims.
const GroupMain = "main"

// MaxCommandBytes bounds a command of the log in its encoded form. With a batch
// of others it still fits into one drpc message, which is bounded at 4 MiB: one
// that did not could never be replicated.
const MaxCommandBytes = 2 << 20

// LeaseTTL is how long a holder may act on a lease, by its own monotonic clock,
// from the moment it sent the Acquire that succeeded. The log gives the lease
// to nobody else before a third more has passed, which covers the clocks'
// drift.
const LeaseTTL = 1500 * time.Millisecond

// Link joins daemons by drpc.
type Link interface {
	// Conn returns a pooled connection to a daemon's peers' address. Each
	// stream or call occupies a connection of its own meanwhile.
	Conn(address string) drpc.Conn
	// Mux registers drpc services before the server starts.
	Mux() drpc.Mux
}

// Log commits commands to the replicated state.
type Log interface {
	// Propose returns after the command is committed and applied. An error of
	// kind unknown says that it may still commit.
	Propose(ctx context.Context, group string, c state.Command) (state.Result, error)
	// Lookup reads a claim after all that was committed before the call.
	Lookup(ctx context.Context, group, workspace, key string) (state.Claim, bool, error)
}

// ReplicaStatus is one replica's own position in a group.
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
	// Version is the accepted configuration's as far as applied here.
	Version uint64 `json:"version"`
	// Members is the group as this replica knows it.
	Members []ReplicaMember `json:"members,omitempty"`
	// Error says why the replica does not answer or stands still.
	Error string `json:"error,omitempty"`
}

// ReplicaMember is a member of a group as another replica knows it.
type ReplicaMember struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	ID      uint64 `json:"id"`
	Learner bool   `json:"learner,omitempty"`
	// Lag is how many entries it lacks, as far as the leader knows; only the
	// leader fills it.
	Lag uint64 `json:"lag,omitempty"`
}

// Replicas shows and changes the replicas of a group.
type Replicas interface {
	// Status asks each replica; one that does not answer has only name,
	// address and error.
	Status(ctx context.Context, group string) []ReplicaStatus
	// Remove takes the replica of a name out of the group.
	Remove(ctx context.Context, group, name string) error
	// Backup writes a snapshot of all that was committed before the call.
	Backup(ctx context.Context, group string, w io.Writer) error
}

// Snapshot is the configuration in force on this daemon.
type Snapshot struct {
	Version uint64
	Digest  string
	Config  *config.Config
}

// View is the daemon's copy of the shared state.
type View interface {
	// Snapshot returns the configuration in force; it is never nil and never
	// of a lower version than one returned before.
	Snapshot() Snapshot
	// Lease returns a lease as last heard; its holder is empty where none.
	Lease(name string) state.Lease
	// Suspects returns the crash count of each suspect fingerprint of a pool.
	Suspects(pool string) map[uint64]int
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Request is what the scheduler needs to know of a request.
type Request struct {
	// Pool is the model's or service's name.
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

// Ticket is a granted slot. Release must be called exactly once.
type Ticket interface {
	Upstream() string
	Address() string
	// Why is the decision's explanation, a sched.Explanation as JSON.
	Why() json.RawMessage
	Release(r sched.Release)
}

// Scheduler grants upstreams to requests.
type Scheduler interface {
	// Acquire waits for a grant. Its error is a *fault.Error of a request that
	// did not run.
	Acquire(ctx context.Context, r Request) (Ticket, error)
}

// Place is one pool in one region: what a dispatcher serves.
type Place struct {
	Pool   string
	Region string
}

// Upstreams hands announcements to whoever dispatches their pool.
type Upstreams interface {
	// Subscribe calls fn for each announcement of a pool in a region, those
	// that still hold first, until cancel is called.
	Subscribe(at Place, fn func(*rpc.UpstreamState)) (cancel func())
	// Places lists what the upstreams that announce themselves here serve.
	Places() []Place
}

// DispatchLease names the lease of a pool's dispatcher in a region.
func DispatchLease(pool, region string) string {
	return "dispatch/" + pool + "/" + region
}

// Member is a live daemon.
type Member struct {
	Name       string
	Region     string
	DataCentre string
	Peers      string
	Callers    string
	// Upstreams is where upstreams announce themselves.
	Upstreams string
	Version   uint64
	// Load is the part of its capacity that the daemon uses, 1 for all.
	Load    float64
	Replica bool
	// Leaving says that the daemon drains: it serves, but takes no new callers.
	Leaving bool
}

// Members knows the live daemons, this one included.
type Members interface {
	Live() []Member
	// Find returns a live daemon by name.
	Find(name string) (Member, bool)
}

// Loader is a service that knows how much of the daemon's capacity is used.
type Loader interface {
	// Load is 1 where all of it is.
	Load() float64
}

// Leaver announces a graceful shutdown to the other daemons.
type Leaver interface {
	// Announce tells the others that this daemon takes no new callers.
	Announce()
}

// Directory says which entries callers may use.
type Directory interface {
	// Answer returns callers' addresses, the best first, for a caller near a
	// data centre (empty where unknown), and how long they may be kept.
	Answer(dataCentre string) (addresses []string, life time.Duration)
}

// Events takes the events of a run, for the promise checker and operators.
type Events interface {
	// Record stamps an event with daemon and time and keeps it; it must not
	// block.
	Record(e promise.Event)
}

// Metrics registers and gathers metrics.
type Metrics interface {
	Registerer() prometheus.Registerer
	Gatherer() prometheus.Gatherer
}

// Explainer tells operators what became of a request.
type Explainer interface {
	// Explain finds a request by its key, as this daemon saw it.
	Explain(key string) (json.RawMessage, bool)
}

// Tables publishes route tables and reads them back.
type Tables interface {
	// Publish commits a table; source is what the operator sent. It returns the
	// version in force afterwards. An error of kind malformed refuses the table
	// for good.
	Publish(ctx context.Context, t *routes.Table, source []byte) (uint64, error)
	// Read returns the newest table's source, and false where there is none.
	Read(ctx context.Context) (source []byte, found bool, err error)
}

// TableView is the daemon's copy of the route table.
type TableView interface {
	// Routes returns the table in force, nil where none is known yet. Its
	// version never falls.
	Routes() *routes.Index
	// Leader returns the log's leader as last heard.
	Leader() Leader
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Leader is the daemon that leads the log.
type Leader struct {
	// Address is its peers' address; empty where none is known.
	Address string
	// Term orders leaderships, also of the same daemon.
	Term uint64
}

// Roster keeps the upstreams that send heartbeats.
type Roster interface {
	// RecordHeartbeat records a heartbeat and forwards it to the other control
	// daemons. It returns an error if this daemon can't; the upstream should then
	// use another control daemon.
	RecordHeartbeat(e roster.Entry) error
	// Leave ends an upstream by its id.
	Leave(id string) error
	// All lists the upstreams by id, with how long ago each was heard of.
	All() []RosterEntry
	// Changed returns a channel that is closed at the next change of what
	// upstreams may be used for.
	Changed() <-chan struct{}
}

// RosterEntry is an upstream with the age of its newest heartbeat.
type RosterEntry struct {
	roster.Entry
	Age    time.Duration
	Silent bool
}

// Work grants upstreams to requests of the route table.
type Work interface {
	// Acquire waits for a grant. Its error is a *fault.Error of a request that
	// did not run, or the context's.
	Acquire(ctx context.Context, o WorkOffer) (WorkTicket, error)
	// Entries is how many entries share the system's limits, at least 1.
	Entries() int
}

// WorkOffer is a request that waits for an upstream.
type WorkOffer struct {
	broker.Offer
	// AimAt is when the first event must have come to be on time, DeadlineAt
	// when the caller stops waiting.
	AimAt      time.Time
	DeadlineAt time.Time
	// Late is how long after the aim the request is still served rather than
	// refused.
	Late time.Duration
}

// WorkTicket is a granted slot. End must be called exactly once.
type WorkTicket struct {
	broker.Grant
	// By says who granted: "broker", or "entry" where no broker answered.
	By  string
	End func(e broker.End)
}

// Readiness tells whether an entry takes new callers.
type Readiness interface {
	// Ready returns nil, or why the entry should not be used.
	Ready() error
}
