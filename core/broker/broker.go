// Package broker decides which waiting request runs on which upstream, and which
// requests are refused, for the pools of a route table.
//
// The leading control daemon runs one Broker for all entries; each entry runs a
// local one that it uses while it has no connection to the leader. The package
// does no I/O: the caller passes the time as a duration on its monotonic clock
// and sends what Decide returns. A Broker is not safe for concurrent use.
//
// An engine is modelled as a batch: it runs a limited number of requests at a
// time, prefills prompts one after another, and decodes all running requests at
// a common speed, which the broker learns from completed requests.
//
// Invariants: an upstream has no more grants than keep its slots busy while grants and
// releases travel (see transitFactor); each offer is granted at most once; a refused request
// was never granted.
package broker

import (
	"time"

	"github.com/verbenastep/verbenastep/core/limits"
	"github.com/verbenastep/verbenastep/core/routes"
	"github.com/verbenastep/verbenastep/core/suspects"
)

// ID identifies a request by the entry that offered it and the number that the
// entry gave it.
type ID struct {
	Entry  string
	Number uint64
}

// Offer describes a request that waits for an upstream or already runs on one.
type Offer struct {
	ID         ID
	Pool       string
	Workspace  string
	DataCentre string
	Region     string
	// Rank is the priority under load; 0 is the highest.
	Rank int
	// PromptTokens and OutputTokens are the expected token counts; zero for service
	// calls.
	PromptTokens int
	OutputTokens int
	// MaxOutputTokens is the greatest length of the answer; zero if it is not known.
	MaxOutputTokens int
	// QuotaCharge is the number of tokens to take from the workspace's quota; zero if
	// they were taken before.
	QuotaCharge int
	// QuotaReserve is the fraction of the quota's burst that must remain, so that the
	// workspace's less urgent requests are refused before its urgent ones.
	QuotaReserve float64
	// Session identifies the prefix that the prompt shares with earlier prompts;
	// SessionTokens is its length.
	Session       uint64
	SessionTokens int
	// LatencyTarget is the time by which the first event counts as on time; Deadline
	// is when the caller stops waiting.
	LatencyTarget time.Duration
	Deadline      time.Duration
	// LatestUseful is the time after which a late first event is of no use; zero
	// means LatencyTarget.
	LatestUseful time.Duration
	// AbandonAt is when the caller gives up if no event has arrived; zero if that is not
	// known.
	AbandonAt time.Duration
	// Fingerprint is a hash of the content by which requests that crash upstreams, or that
	// return after a refusal, are recognised; zero if there is none.
	Fingerprint uint64
	// SharedParts are hashes of the parts of the prompt that it may share with others.
	SharedParts []uint64
	// Stream identifies the stream that the request begins or goes on with, if the caller may
	// resume it; zero otherwise. Resumes is the Stream of the request whose stream this one
	// resumes, or its ContentStream if ResumesContent is set; zero if it resumes none.
	Stream         uint64
	Resumes        uint64
	ResumesContent bool
	// SoftwareVersion is the only software version at which the request may run if
	// VersionBound is set. Of a running request it is the version at which it runs.
	SoftwareVersion string
	VersionBound    bool
	// Avoid lists the upstreams that must not be granted.
	Avoid []string
	// Running is the upstream of a request that another broker granted.
	Running string
	// Route is a hash of the name of the request's route; zero if it is not known.
	Route uint64
	// Counted is set if a broker of all entries was offered the request, or another attempt
	// of it, before.
	Counted bool
}

// Upstream describes an upstream as the roster reports it.
type Upstream struct {
	ID         string
	Pool       string
	Address    string
	DataCentre string
	Region     string
	Slots      int
	// Born is the start time of the process in Unix milliseconds; zero if it is not
	// stated. It orders the processes with one id.
	Born int64
	// Leaving upstreams get no new requests; Silent ones, whose heartbeats are
	// overdue, are used last. Gone ones are listed for their software version only.
	Leaving bool
	Silent  bool
	Gone    bool
	// HeardAgo is how long ago the last heartbeat arrived; zero if that is not known.
	HeardAgo time.Duration
	// WarmUpTime is how long the upstream still needs to warm up.
	WarmUpTime time.Duration
	// SoftwareVersion is the version of the upstream's software; empty if it is not
	// stated.
	SoftwareVersion string
}

// Grant assigns a request to an upstream.
type Grant struct {
	ID       ID
	Upstream string
	Address  string
	// Born is that of the upstream's process.
	Born int64
	// ExpectedTimeToFirstEvent is the estimated time to the first event, or to the
	// answer of a service call; Waited is the time from the offer to the grant.
	ExpectedTimeToFirstEvent time.Duration
	Waited                   time.Duration
	// FreeSlots is the number of slots left on the upstream and Queued the number of
	// requests left in the queue after the grant.
	FreeSlots int
	Queued    int
	// SoftwareVersion is that of the upstream. VersionReason says why it was chosen; empty
	// without a rollout.
	SoftwareVersion string
	VersionReason   string
	// Streams is what the broker recorded of the stream that the request begins.
	Streams []StreamOrigin
}

// Code is the reason why a request is refused. A refused request did not run.
type Code string

// Refusal codes.
const (
	// Overloaded means that the request would be served too late.
	Overloaded Code = "overloaded"
	// LimitExceeded means that the workspace's quota is used up.
	LimitExceeded Code = "limit_exceeded"
	// NoUpstream means that no upstream serves the pool.
	NoUpstream Code = "no_upstream"
	// VersionUnavailable means that a stream can't be resumed at the software version that
	// began it.
	VersionUnavailable Code = "version_unavailable"
	// Quarantined means that several upstreams crashed under requests with a content of
	// this one.
	Quarantined Code = "quarantined"
	// ExceedsMemory means that prompt and greatest output exceed the memory of an engine.
	ExceedsMemory Code = "exceeds_memory"
)

// Refusal rejects a request that did not run.
type Refusal struct {
	ID         ID
	Code       Code
	RetryAfter time.Duration
	Reason     string
}

// Outcome is how a granted request ended.
type Outcome uint8

// Outcomes.
const (
	// Completed means that the whole answer arrived.
	Completed Outcome = iota + 1
	// NotSent means that nothing was sent to the upstream.
	NotSent
	// Canceled means that the caller disconnected.
	Canceled
	// ConnectionLost means that the connection was lost while the upstream ran the
	// request.
	ConnectionLost
	// Rejected means that the upstream rejected the request without running it.
	Rejected
	// Misdirected means that another process listens on the upstream's address.
	Misdirected
	// Unreachable means that no connection could be established.
	Unreachable
	// UpstreamError means that the upstream answered with an error.
	UpstreamError
	// TimedOut means that the upstream sent no answer in time.
	TimedOut
	// InvalidResponse means that the answer was malformed.
	InvalidResponse
	// PathUnavailable means that no connection could be established, which is not known to
	// be the upstream's fault: the entry may be partitioned from it.
	PathUnavailable
	// PathLost means that the connection was lost, or stayed silent, while the upstream may
	// have run the request, and that it is the fault of the entry's path to it.
	PathLost
	// UnclearRejection means that the upstream rejected a request without naming it on a
	// connection that has carried others: it may have meant an earlier one, and may have run
	// this one. It says nothing of the upstream's health.
	UnclearRejection
	// UnclearLoss means that the connection was lost while the upstream may have run the
	// request, and that no entry could tell whether the upstream or the path to it is at fault.
	// The broker finds out from the roster.
	UnclearLoss
)

// String returns the outcome's name in logs and metrics, "unknown" for other values.
func (o Outcome) String() string {
	names := [...]string{"", "done", "not_sent", "canceled", "broken", "full", "misdirected", "unreachable", "failed", "silent", "spoiled", "no_path", "path_lost", "unclear", "unclear_loss"}
	if int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}

// End reports how a granted request ended and what was measured.
type End struct {
	ID      ID
	Outcome Outcome
	// TimeToFirstEvent is the time from sending to the first event, or to the answer
	// of a service call; DecodeTime is the time from the first event to the last.
	TimeToFirstEvent time.Duration
	DecodeTime       time.Duration
	// OutputTokens is the token count of the whole answer.
	OutputTokens int
	// AnswerBegun is set if the upstream sent a part of its answer.
	AnswerBegun bool
	// Leaving is set if the upstream said that it leaves. RetryAfter is for how long it
	// wants no requests of the entry. Born is that of the process that said so.
	Leaving    bool
	RetryAfter time.Duration
	Born       int64
}

// request is an offer with its scheduling state.
type request struct {
	Offer
	arrived time.Duration
	// contents are what the request may crash an upstream with.
	contents []uint64
	// assigned is the upstream that was granted, and granted the time of the grant; nil
	// while the request waits.
	assigned *upstream
	granted  time.Duration
	// bornAtGrant is the start time of the upstream's process at the grant.
	bornAtGrant int64
	// version is the software version that was granted.
	version string
	// expectedEnd is when the upstream should have completed the request.
	expectedEnd time.Duration
	// prefilledAlone is true if the upstream had no other prompt to prefill when the
	// request was granted, so that its time to the first event can be learned.
	prefilledAlone bool
	// chargedTokens is what was taken from the quota and may be refunded.
	chargedTokens int
	// limitSpent is true while the grant counts against the upstream's limit and may be
	// taken back.
	limitSpent bool
	// admissionCounted is true once the request is counted in its pool's admissions.
	admissionCounted bool
	// late is true once the request can no longer be on time; it then waits behind
	// the requests of its rank that still can.
	late bool
	requestOverload
	// orphanedUntil is when a running request of a lost entry, or one that the upstream may
	// go on with, is dropped; zero otherwise. ended is true once its end was reported.
	orphanedUntil time.Duration
	ended         bool
}

// Broker schedules the requests of all pools. It is not safe for concurrent use.
type Broker struct {
	table    *routes.Index
	requests map[ID]*request
	// unlisted holds the running requests whose upstreams are not listed yet.
	unlisted map[ID]unlistedRequest
	pools    map[string]*pool
	buckets  map[string]*limits.Bucket
	suspects *suspects.Tracker[ID]
	// unclearLosses wait for the roster to show whether the upstream's process has ended.
	unclearLosses []unclearLoss
	// limiters holds, by upstream, what upstreams said of the requests that they take.
	limiters map[string]*limiter
	// streams holds the streams that may be resumed; nextStreamSweep is when expired ones
	// are next removed. versionsTrustedFrom is described at TrustVersionsFrom.
	streams             map[uint64]streamRecord
	nextStreamSweep     time.Duration
	versionsTrustedFrom time.Duration
	// share is the fraction of all capacity and quotas that this broker may use: 1
	// for the broker of all entries, less for the local broker of an entry.
	share float64
	// name distinguishes brokers that share the upstreams.
	name string
	// nextOrphanEnd is the earliest time at which an orphaned request is dropped.
	nextOrphanEnd time.Duration
	// quotasResetAt is when ResetQuotas was last called.
	quotasResetAt time.Duration
	// entriesAwaitedUntil is when brittle upstreams may be granted; see AwaitEntries.
	entriesAwaitedUntil time.Duration
	// pace holds the settings of slow start; nil if it is off.
	pace *Pace
	// quotaSlackTokens is how many tokens a workspace may use beyond its quota.
	quotaSlackTokens float64
	// overload is nil unless SetOverload was called.
	overload *overload
	// pending collects the decisions that the next Decide returns.
	pending Decisions
}

// Decisions are the grants and refusals of one call of Decide, and the suspicions that
// arose since the previous one.
type Decisions struct {
	Grants     []Grant
	Refusals   []Refusal
	Suspicions []Suspicion
}

// New returns a broker without upstreams that may use the given share, in (0, 1],
// of each upstream and quota.
func New(share float64) *Broker {
	return &Broker{
		requests: map[ID]*request{}, unlisted: map[ID]unlistedRequest{}, pools: map[string]*pool{}, buckets: map[string]*limits.Bucket{},
		suspects: suspects.New[ID](), limiters: map[string]*limiter{}, streams: map[uint64]streamRecord{}, versionsTrustedFrom: never, share: share,
	}
}

// SetTable sets the route table.
func (b *Broker) SetTable(x *routes.Index) {
	b.table = x
	b.overload.setTable(x)
}

// SetName sets the name that distinguishes the broker from others that share the
// upstreams. Call it before SetUpstreams.
func (b *Broker) SetName(name string) { b.name = name }

// SetQuotaSlack sets the number of tokens that a workspace may use beyond its quota.
func (b *Broker) SetQuotaSlack(tokens float64) { b.quotaSlackTokens = tokens }

// SetShare sets the fraction of capacity and quotas that the broker may use.
func (b *Broker) SetShare(share float64) { b.share = share }

// pool returns a pool and creates it if necessary.
func (b *Broker) pool(name string) *pool {
	p := b.pools[name]
	if p == nil {
		p = newPool(name)
		p.pace = b.pace
		p.overload = newPoolOverload(b.overload)
		b.pools[name] = p
	}
	return p
}

// Offer queues a request, or records one that runs already. It ignores an offer
// with a known ID.
func (b *Broker) Offer(now time.Duration, o Offer) {
	if _, known := b.requests[o.ID]; known {
		return
	}
	if _, known := b.unlisted[o.ID]; known {
		return
	}
	req := &request{Offer: o, arrived: now, contents: o.contents()}
	if o.Running != "" {
		b.adopt(now, req)
		return
	}
	if b.refuseTooLarge(b.pool(o.Pool), req) || b.refuseQuarantined(now, req) {
		return
	}
	if wait, ok := b.charge(now, req); !ok {
		b.refuse(req, LimitExceeded, wait, "the workspace has used up its quota")
		return
	}
	b.requests[o.ID] = req
	b.pool(o.Pool).countRequest(now, &req.Offer)
	b.pool(o.Pool).enqueue(now, req)
}

// adopt records a request that another broker granted. If its upstream is not listed, the
// request is kept apart until it is.
func (b *Broker) adopt(now time.Duration, req *request) {
	p := b.pool(req.Pool)
	u := p.upstreams[req.Running]
	if req.VersionBound {
		// The upstream may have started again with another version since.
		b.recordStream(now, req, req.SoftwareVersion)
	}
	if u == nil {
		b.keepUnlisted(now, req)
		return
	}
	if !req.VersionBound {
		b.recordStream(now, req, u.SoftwareVersion)
	}
	b.requests[req.ID] = req
	p.assign(now, req, u)
	if req.VersionBound {
		req.version = req.SoftwareVersion
	}
}

// refuse removes a request and adds a refusal to the pending decisions.
func (b *Broker) refuse(req *request, code Code, after time.Duration, reason string) {
	delete(b.requests, req.ID)
	b.refund(req)
	b.pending.Refusals = append(b.pending.Refusals, Refusal{ID: req.ID, Code: code, RetryAfter: after, Reason: reason})
}

// Cancel removes a waiting request and refunds its quota. It ignores requests that
// are unknown or granted.
func (b *Broker) Cancel(id ID) {
	req := b.requests[id]
	if req == nil || req.assigned != nil {
		return
	}
	b.pool(req.Pool).dequeue(req)
	b.refund(req)
	delete(b.requests, id)
}

// End releases the slot of a granted request and updates the estimates. It ignores
// unknown requests, so a repeated end has no effect.
func (b *Broker) End(now time.Duration, e End) {
	delete(b.unlisted, e.ID)
	req := b.requests[e.ID]
	if req == nil || req.assigned == nil || req.ended {
		return
	}
	if e.Outcome == NotSent || e.Outcome == Rejected || e.Outcome == Misdirected || e.Outcome == Unreachable || e.Outcome == PathUnavailable {
		b.refund(req)
	}
	if e.Outcome == NotSent || e.Outcome == Unreachable || e.Outcome == PathUnavailable {
		b.refundLimit(req)
	}
	b.recordCrash(now, req, e)
	p := b.pool(req.Pool)
	if !b.keepSlot(now, req, e.Outcome) {
		delete(b.requests, e.ID)
		p.release(req)
	}
	p.learnRollout(now, req, e)
	p.learn(now, req, e)
	p.overload.settleShare(p, req, e)
	req.assigned.notices.record(now, e.ID.Entry, e)
	req.assigned.paths.record(now, e.ID.Entry, e.Outcome)
}

// Resync replaces the state of an entry by the offers that it sends when it
// connects again.
func (b *Broker) Resync(now time.Duration, entry string, offers []Offer) {
	b.resyncUnlisted(entry)
	running := map[ID]bool{}
	for _, o := range offers {
		running[o.ID] = o.Running != ""
	}
	for id, req := range b.requests {
		if id.Entry != entry || req.ended {
			continue
		}
		if req.assigned == nil || !running[id] {
			// The grant did not reach the entry; the request is offered again.
			b.drop(req)
			continue
		}
		req.orphanedUntil = 0
	}
	for _, o := range offers {
		b.Offer(now, o)
	}
}

// drop removes a request without a decision.
func (b *Broker) drop(req *request) {
	delete(b.requests, req.ID)
	p := b.pool(req.Pool)
	if req.assigned != nil {
		p.release(req)
		return
	}
	p.dequeue(req)
	b.refund(req)
}

// orphanTimeout is how long after its expected end an orphaned request keeps its
// slot. The connections of a crashed entry close at once, but those of an entry
// behind a network partition only after their timeout.
const orphanTimeout = 2 * time.Second

// LoseEntry drops the waiting requests of a disconnected entry. Its running
// requests keep their slots until they should have ended.
func (b *Broker) LoseEntry(now time.Duration, entry string) {
	b.loseUnlisted(now, entry)
	for id, req := range b.requests {
		if id.Entry != entry || req.ended {
			continue
		}
		if req.assigned == nil {
			b.drop(req)
			continue
		}
		req.orphanedUntil = max(now, req.expectedEnd) + orphanTimeout
		b.nextOrphanEnd = min(b.nextOrphanEnd, req.orphanedUntil)
	}
}

// SetUpstreams replaces the upstreams of all pools. What was learned about upstreams
// that remain is kept.
func (b *Broker) SetUpstreams(list []Upstream) {
	byPool := map[string][]Upstream{}
	for name := range b.pools {
		byPool[name] = nil
	}
	for _, u := range list {
		byPool[u.Pool] = append(byPool[u.Pool], u)
	}
	for name, members := range byPool {
		b.pool(name).setUpstreams(members, b.engine(name), b.name)
	}
	for _, p := range b.pools {
		for _, u := range p.order {
			u.limiter = b.limiters[u.ID]
		}
	}
}

// engine returns the declared engine of a pool, or nil for a plain service.
func (b *Broker) engine(pool string) *routes.Engine {
	if b.table == nil {
		return nil
	}
	if p := b.table.Pool(pool); p != nil {
		return p.Engine
	}
	return nil
}

// Estimates holds what a broker has learned about an upstream.
type Estimates struct {
	ID string
	// Born is the start time of the process that was observed, in Unix milliseconds; zero if it
	// stated none.
	Born int64
	// TokenTime is the time per output token and CallTime the time of a service call at
	// the upstream, in seconds; zero before the first observation.
	TokenTime float64
	CallTime  float64
	// FailureRate is the moving average of the failure rate, in [0, 1].
	FailureRate float64
	// Window is the number of open slots of an upstream in slow start; zero for others.
	Window int
}

// Estimates returns what was learned about each upstream, by upstream ID.
func (b *Broker) Estimates() map[string]Estimates {
	out := map[string]Estimates{}
	for _, p := range b.pools {
		for _, u := range p.order {
			out[u.ID] = Estimates{ID: u.ID, Born: u.times.born, TokenTime: u.times.tokenTime, CallTime: u.times.callTime, FailureRate: u.health.failureRate, Window: u.window.slots}
		}
	}
	return out
}

// SetEstimates replaces what was learned about the listed upstreams by what another
// broker learned. It ignores unknown upstreams, and times of processes that others have replaced.
func (b *Broker) SetEstimates(list []Estimates) {
	for _, l := range list {
		for _, p := range b.pools {
			if u := p.upstreams[l.ID]; u != nil {
				if !u.hasReplaced(l.Born) {
					u.times.tokenTime, u.times.callTime, u.times.born = l.TokenTime, l.CallTime, l.Born
				}
				u.health.failureRate = l.FailureRate
				p.restoreWindow(u, l.Window)
			}
		}
	}
}
