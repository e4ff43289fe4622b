// Package broker decides, for the pools of a route table, which waiting request
// goes to which upstream and which is refused.
//
// It knows model engines as batches: each runs a number of requests at once,
// reads prompts one after another, and gives the tokens of all of them more
// slowly the slower it is. Speeds are learned from how requests end. The broker
// is pure: time is a duration on the caller's monotonic clock, decisions come
// out of Decide. It is not safe for concurrent use. Invariants: an upstream
// never holds more grants than slots; a request is granted at most once for
// each offer; a request that is refused was not granted.
package broker

import (
	"time"

	"github.com/verbenastep/verbenastep/core/limits"
	"github.com/verbenastep/verbenastep/core/routes"
)

// ID names a request: the entry that offered it and the entry's own number.
type ID struct {
	Entry  string
	Number uint64
}

// Offer is a request that waits for an upstream, or runs on one.
type Offer struct {
	ID         ID
	Pool       string
	Workspace  string
	DataCentre string
	Region     string
	// Rank orders requests when capacity is short; 0 goes first.
	Rank int
	// PromptTokens and OutputTokens are the expected work; zero for plain calls.
	PromptTokens int
	OutputTokens int
	// Charge is what the workspace's quota counts; zero where it is paid.
	Charge int
	// Reserve is the part of the quota's bucket that must be left, so that the
	// workspace's less urgent requests are refused before its urgent ones.
	Reserve float64
	// Session names what the prompt shares with earlier ones, SessionTokens long.
	Session       uint64
	SessionTokens int
	// Aim is when the first event must have come to be on time, Deadline when
	// the caller stops waiting.
	Aim      time.Duration
	Deadline time.Duration
	// Latest is when a late first event is not worth waiting for any more; zero
	// counts as the aim.
	Latest time.Duration
	// Fingerprint identifies the content, for requests that crash upstreams.
	Fingerprint uint64
	// Avoid lists upstreams that it must not be sent to.
	Avoid []string
	// Running names the upstream of a request that is granted already.
	Running string
}

// Upstream is one upstream as the roster knows it.
type Upstream struct {
	ID         string
	Pool       string
	Address    string
	DataCentre string
	Region     string
	Slots      int
	// Leaving upstreams take no new work; Silent ones are used last.
	Leaving bool
	Silent  bool
	Cold    time.Duration
}

// Grant sends a request to an upstream.
type Grant struct {
	ID       ID
	Upstream string
	Address  string
	// Expected is how long the first event, or the answer, should take.
	Expected time.Duration
	Waited   time.Duration
	// Free and Queued are what the decision rested on.
	Free   int
	Queued int
}

// Code says why a request is refused. Each means that it did not run.
type Code string

// Codes.
const (
	// Overload says that the request would not be answered on time.
	Overload Code = "overloaded"
	// Limited says that the workspace's quota is used up.
	Limited Code = "limit_exceeded"
	// NoUpstream says that no upstream serves the pool.
	NoUpstream Code = "no_upstream"
	// Quarantined says that the content was present at several crashes.
	Quarantined Code = "quarantined"
)

// Refusal is the final answer to a request that did not run.
type Refusal struct {
	ID         ID
	Code       Code
	RetryAfter time.Duration
	Why        string
}

// Outcome says how a granted request ended.
type Outcome uint8

// Outcomes.
const (
	// Done says that the whole answer arrived.
	Done Outcome = iota + 1
	// NotSent says that nothing was sent to the upstream.
	NotSent
	// Canceled says that the caller went away.
	Canceled
	// Broken says that the connection broke while the upstream ran it.
	Broken
	// Full says that the upstream rejected it without running it.
	Full
	// Misdirected says that another process has the upstream's address.
	Misdirected
	// Unreachable says that no connection could be made.
	Unreachable
	// Failed says that the upstream answered with a failure of its own.
	Failed
	// Silent says that the upstream was given up on without an answer.
	Silent
	// Spoiled says that the answer was not one.
	Spoiled
)

// String names the outcome for logs and metrics.
func (o Outcome) String() string {
	names := [...]string{"", "done", "not_sent", "canceled", "broken", "full", "misdirected", "unreachable", "failed", "silent", "spoiled"}
	if int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}

// End ends a grant and tells what was observed.
type End struct {
	ID      ID
	Outcome Outcome
	// First is from sending to the first event or the answer; Decode from the
	// first event to the last.
	First  time.Duration
	Decode time.Duration
	// OutputTokens are those of the whole answer.
	OutputTokens int
}

// work is an offer and its state.
type work struct {
	Offer
	arrived time.Duration
	// at is the upstream it is granted to; nil while it waits.
	at *upstream
	// expected is when it should leave the upstream.
	expected time.Duration
	// alone says that the upstream read no other prompt when it was granted.
	alone bool
	paid  int
	// late says that it can no longer be on time: it waits behind the requests
	// of its rank that can.
	late bool
	// orphaned is when it is forgotten without its entry; zero for never.
	orphaned time.Duration
}

// Broker holds the queues and the upstreams of all pools.
type Broker struct {
	table   *routes.Index
	works   map[ID]*work
	pools   map[string]*pool
	buckets map[string]*limits.Bucket
	suspect map[uint64]suspicion
	// Share is this broker's part of all capacity and quotas: 1 for the one
	// that serves all entries, less for an entry that decides by itself.
	share float64
	// name tells brokers apart that share the upstreams.
	name string
	// slack is how many tokens a workspace may use beyond its quota.
	slack float64
	out   Decisions
}

// Decisions are what Decide settled.
type Decisions struct {
	Grants   []Grant
	Refusals []Refusal
}

// New returns a broker without upstreams that may use a share of each one.
func New(share float64) *Broker {
	return &Broker{
		works: map[ID]*work{}, pools: map[string]*pool{}, buckets: map[string]*limits.Bucket{},
		suspect: map[uint64]suspicion{}, share: share,
	}
}

// Configure takes over a route table.
func (b *Broker) Configure(x *routes.Index) { b.table = x }

// SetName names the broker among those that share the upstreams; it must be set
// before Upstreams.
func (b *Broker) SetName(name string) { b.name = name }

// SetSlack sets how many tokens a workspace may use beyond its quota.
func (b *Broker) SetSlack(tokens int64) { b.slack = float64(tokens) }

// SetShare changes the share of capacity and quotas that the broker may use.
func (b *Broker) SetShare(share float64) { b.share = share }

func (b *Broker) pool(name string) *pool {
	p := b.pools[name]
	if p == nil {
		p = newPool(name)
		b.pools[name] = p
	}
	return p
}

// Offer queues a request, or counts one that runs. An offer that is known
// changes nothing.
func (b *Broker) Offer(now time.Duration, o Offer) {
	if _, known := b.works[o.ID]; known {
		return
	}
	w := &work{Offer: o, arrived: now}
	if o.Running != "" {
		b.adopt(now, w)
		return
	}
	if s, ok := b.quarantined(now, o.Fingerprint); ok {
		b.refuse(w, Quarantined, s.until-now, "the content was present at several crashes of upstreams")
		return
	}
	if wait, ok := b.charge(now, w); !ok {
		b.refuse(w, Limited, wait, "the workspace has used up its quota")
		return
	}
	b.works[o.ID] = w
	b.pool(o.Pool).enqueue(now, w)
}

// adopt counts a request that another broker granted.
func (b *Broker) adopt(now time.Duration, w *work) {
	p := b.pool(w.Pool)
	u := p.upstreams[w.Running]
	if u == nil {
		return
	}
	b.works[w.ID] = w
	p.place(now, w, u)
}

// slackPart is the part of the tolerated slack by which buckets are deeper than
// the burst, so that requests of uneven size are not refused whose rate is
// within the quota. The rest covers the change from one broker to the next.
const slackPart = 0.5

// aloneRate is how much more than its even share of a quota an entry that
// decides by itself may use: a workspace's requests seldom spread evenly over
// the entries, and the next broker makes up for it.
const aloneRate = 1.5

// charge takes the request's tokens from its workspace's bucket.
func (b *Broker) charge(now time.Duration, w *work) (time.Duration, bool) {
	space := b.space(w.Workspace)
	if w.Charge == 0 || space == nil {
		return 0, true
	}
	rate, burst := b.quota(space)
	wait, ok := b.bucket(w.Workspace).Take(now, rate, burst, w.Reserve*burst, float64(w.Charge))
	if ok {
		w.paid = w.Charge
	}
	return wait, ok
}

// quota is what this broker may grant a workspace: tokens a second, and at once.
func (b *Broker) quota(space *routes.Workspace) (rate, burst float64) {
	rate = float64(space.TokensPerSecond) * min(1, b.share*aloneRate)
	burst = (float64(space.TokenBurst) + b.slack*slackPart) * b.share
	return rate, burst
}

func (b *Broker) bucket(workspace string) *limits.Bucket {
	bucket := b.buckets[workspace]
	if bucket == nil {
		bucket = &limits.Bucket{}
		b.buckets[workspace] = bucket
	}
	return bucket
}

// nearlyFull is the part of a bucket from which on its level is not worth
// passing on.
const nearlyFull = 0.95

// Levels lists the part that is left of each workspace's quota where that is
// not nearly all.
func (b *Broker) Levels(now time.Duration) map[string]float64 {
	out := map[string]float64{}
	for name, bucket := range b.buckets {
		space := b.space(name)
		if space == nil {
			continue
		}
		rate, burst := b.quota(space)
		if part := bucket.Level(now, rate, burst) / burst; part < nearlyFull {
			out[name] = part
		}
	}
	return out
}

// Lower takes over how much another broker had left of the workspaces' quotas,
// so that a change of broker grants no second burst.
func (b *Broker) Lower(now time.Duration, levels map[string]float64) {
	for name, part := range levels {
		if space := b.space(name); space != nil {
			rate, burst := b.quota(space)
			b.bucket(name).Lower(now, rate, burst, part*burst)
		}
	}
}

// ForgetQuotas begins all buckets anew: full, until Lower says otherwise.
func (b *Broker) ForgetQuotas() { clear(b.buckets) }

// space returns a workspace that has a quota, or nil.
func (b *Broker) space(name string) *routes.Workspace {
	if b.table == nil {
		return nil
	}
	space := b.table.WorkspaceByName(name)
	if space == nil || space.TokensPerSecond == 0 {
		return nil
	}
	return space
}

func (b *Broker) refund(w *work) {
	if bucket := b.buckets[w.Workspace]; bucket != nil && w.paid > 0 {
		bucket.Return(float64(w.paid))
		w.paid = 0
	}
}

func (b *Broker) refuse(w *work, code Code, after time.Duration, why string) {
	delete(b.works, w.ID)
	b.refund(w)
	b.out.Refusals = append(b.out.Refusals, Refusal{ID: w.ID, Code: code, RetryAfter: after, Why: why})
}

// Cancel forgets a request that waits.
func (b *Broker) Cancel(id ID) {
	w := b.works[id]
	if w == nil || w.at != nil {
		return
	}
	b.pool(w.Pool).dequeue(w)
	b.refund(w)
	delete(b.works, id)
}

// End frees the slot of a granted request and learns from it.
func (b *Broker) End(now time.Duration, e End) {
	w := b.works[e.ID]
	if w == nil || w.at == nil {
		return
	}
	delete(b.works, e.ID)
	if e.Outcome == NotSent || e.Outcome == Full || e.Outcome == Misdirected || e.Outcome == Unreachable {
		b.refund(w)
	}
	b.noteCrash(now, w, e.Outcome)
	p := b.pool(w.Pool)
	p.free(w)
	p.learn(now, w, e)
}

// Resync replaces what is known of an entry by what it offers now.
func (b *Broker) Resync(now time.Duration, entry string, offers []Offer) {
	running := map[ID]bool{}
	for _, o := range offers {
		running[o.ID] = o.Running != ""
	}
	for id, w := range b.works {
		if id.Entry != entry {
			continue
		}
		if w.at == nil || !running[id] {
			// A grant that did not arrive is as one that was never made.
			b.drop(w)
			continue
		}
		w.orphaned = 0
	}
	for _, o := range offers {
		b.Offer(now, o)
	}
}

// drop forgets a request without an answer.
func (b *Broker) drop(w *work) {
	delete(b.works, w.ID)
	p := b.pool(w.Pool)
	if w.at != nil {
		p.free(w)
		return
	}
	p.dequeue(w)
	b.refund(w)
}

// orphanGrace is how much longer than expected a request counts as running
// whose entry is gone: the connections of a dead entry close at once, those of
// one that is cut off only after their time-out.
const orphanGrace = 2 * time.Second

// LoseEntry forgets what an entry has waiting. What it runs keeps its slots
// until it should have ended.
func (b *Broker) LoseEntry(now time.Duration, entry string) {
	for id, w := range b.works {
		if id.Entry != entry {
			continue
		}
		if w.at == nil {
			b.drop(w)
			continue
		}
		w.orphaned = max(now, w.expected) + orphanGrace
	}
}

// Upstreams replaces the roster of a pool's upstreams.
func (b *Broker) Upstreams(list []Upstream) {
	byPool := map[string][]Upstream{}
	for name := range b.pools {
		byPool[name] = nil
	}
	for _, u := range list {
		byPool[u.Pool] = append(byPool[u.Pool], u)
	}
	for name, part := range byPool {
		b.pool(name).take(part, b.engine(name), b.name)
	}
}

func (b *Broker) engine(pool string) *routes.Engine {
	if b.table == nil {
		return nil
	}
	if p := b.table.Pool(pool); p != nil {
		return p.Engine
	}
	return nil
}

// Learned is what a broker knows of an upstream by experience.
type Learned struct {
	ID string
	// Token is the time per output token, Call that of a plain call, in seconds;
	// zero where none was seen.
	Token float64
	Call  float64
	// Fails is the share of requests that failed lately.
	Fails float64
}

// Learned lists what is known of all upstreams.
func (b *Broker) Learned() map[string]Learned {
	out := map[string]Learned{}
	for _, p := range b.pools {
		for _, u := range p.order {
			out[u.ID] = Learned{ID: u.ID, Token: u.speed.token, Call: u.speed.call, Fails: u.health.fails}
		}
	}
	return out
}

// Teach takes over what another broker knows of the upstreams.
func (b *Broker) Teach(list []Learned) {
	for _, l := range list {
		for _, p := range b.pools {
			if u := p.upstreams[l.ID]; u != nil {
				u.speed = speed{token: l.Token, call: l.Call}
				u.health.fails = l.Fails
			}
		}
	}
}

// Dump is a pool's state, for operators.
type Dump struct {
	Pool      string         `json:"pool"`
	Queued    int            `json:"queued"`
	Upstreams []UpstreamDump `json:"upstreams"`
	// TokenMS and ReadMS are the learned times per output and prompt token,
	// OverheadMS that to the first event of an empty prompt, CallMS that of a
	// plain call.
	TokenMS    float64 `json:"token_ms"`
	ReadMS     float64 `json:"read_ms"`
	OverheadMS float64 `json:"overhead_ms"`
	CallMS     float64 `json:"call_ms"`
}

// UpstreamDump is an upstream's state, for operators.
type UpstreamDump struct {
	ID       string  `json:"id"`
	InFlight int     `json:"in_flight"`
	Slots    int     `json:"slots"`
	TokenMS  float64 `json:"token_ms"`
	CallMS   float64 `json:"call_ms"`
	Fails    float64 `json:"fails"`
	Leaving  bool    `json:"leaving"`
	Silent   bool    `json:"silent"`
}

// Dump shows all pools.
func (b *Broker) Dump() []Dump {
	out := []Dump{}
	for _, p := range b.pools {
		d := Dump{
			Pool: p.name, Queued: len(p.queue), TokenMS: 1000 * p.cost.token, ReadMS: 1000 * p.cost.token * p.cost.read,
			OverheadMS: 1000 * p.cost.token * p.cost.overhead, CallMS: 1000 * p.cost.call,
		}
		for _, u := range p.order {
			d.Upstreams = append(d.Upstreams, UpstreamDump{
				ID: u.ID, InFlight: len(u.inFlight), Slots: u.Slots, TokenMS: 1000 * u.speed.token, CallMS: 1000 * u.speed.call,
				Fails: u.health.fails, Leaving: u.Leaving, Silent: u.Silent,
			})
		}
		out = append(out, d)
	}
	return out
}
