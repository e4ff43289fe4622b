package broker

import (
	"slices"
	"strings"
	"time"

	"github.com/verbenastep/verbenastep/core/rendezvous"
	"github.com/verbenastep/verbenastep/core/routes"
)

// pool holds the queue and the upstreams of one pool.
type pool struct {
	name string
	// engine is nil for a plain service.
	engine    *routes.Engine
	upstreams map[string]*upstream
	// order lists the upstreams by ID, so that ties are resolved deterministically.
	order []*upstream
	// open is a buffer that rounds reuse.
	open []*upstream
	// queue is sorted by compare.
	queue    []*request
	times    poolTimes
	transits transits
	load     load
	// slotTimes is a moving average of how long requests hold a slot, in seconds.
	slotTimes float64
	// admissions counts the fate of new requests.
	admissions admissions
	// overload is nil unless SetOverload was called.
	overload *poolOverload
	// lastServed is the time of the last round that had slots, or of the first round.
	lastServed time.Duration
	// started is true after the first round. isUnfinished is true if the last round ended before
	// it had looked at all requests.
	started      bool
	isUnfinished bool
	// pastVersions holds the software versions of upstreams that have left, and since
	// when; zero until the next round.
	pastVersions map[string]time.Duration
	// versions restricts the software versions during a rollout; nil without one.
	versions *versionGate
	// pace holds the settings of slow start; nil if it is off. upstreamsSince is when the pool
	// first had upstreams, if hadUpstreams is set.
	pace           *Pace
	hadUpstreams   bool
	upstreamsSince time.Duration
	paceChanges    []PaceChange
	// opening is the number of upstreams in slow start as of the last round.
	opening int
}

func newPool(name string) *pool {
	return &pool{name: name, upstreams: map[string]*upstream{}, times: newPoolTimes(), transits: newTransits(), pastVersions: map[string]time.Duration{}}
}

// upstream is an upstream with its running requests and learned estimates.
type upstream struct {
	Upstream
	inFlight map[ID]*request
	// tokens is the upper bound of the engine memory that running requests use.
	tokens int64
	// prefillUntil is when all granted prompts should be prefilled.
	prefillUntil time.Duration
	times        upstreamTimes
	health       health
	// roundingPoint is a hash of upstream and broker in [0, 1): a fractional slot above
	// it is rounded up; see capacity.
	roundingPoint float64
	sessions      sessionCache
	notices       notices
	// limiter holds what the upstream said of the requests that it takes; nil if nothing.
	limiter *limiter
	// paths holds the entries without a path to the upstream.
	paths  unavailablePaths
	window window
	// trialEnd is when the last trial of a request on the upstream ends, lastTrialEnd the
	// same for requests in that stage.
	trialEnd     time.Duration
	lastTrialEnd time.Duration
}

// setUpstreams replaces the pool's upstreams and keeps what was learned about those
// that remain. A removed upstream is kept as leaving while requests run on it.
func (p *pool) setUpstreams(list []Upstream, engine *routes.Engine, broker string) {
	p.engine = engine
	past := p.softwareVersions()
	p.order = p.order[:0]
	listed := map[string]bool{}
	for _, x := range list {
		if x.Gone {
			past = append(past, x.SoftwareVersion)
			continue
		}
		u := p.upstreams[x.ID]
		if u == nil {
			u = &upstream{inFlight: map[ID]*request{}, sessions: newSessionCache(), roundingPoint: rendezvous.Point(x.ID, broker)}
			p.upstreams[x.ID] = u
			u.window.isNew = true
		} else if u.Born > 0 && x.Born > u.Born {
			u.window.isRestarted = true
			u.times.born = max(u.times.born, u.Born)
		}
		u.Upstream = x
		listed[x.ID] = true
		p.order = append(p.order, u)
	}
	for id, u := range p.upstreams {
		if !listed[id] && len(u.inFlight) == 0 {
			delete(p.upstreams, id)
		} else if !listed[id] {
			u.Leaving = true
		}
	}
	slices.SortFunc(p.order, func(a, b *upstream) int { return strings.Compare(a.ID, b.ID) })
	p.keepVersions(past)
}

// enqueue adds a new request to the queue and to the load average.
func (p *pool) enqueue(now time.Duration, req *request) {
	slotTime := p.slotTime(req)
	p.slotTimes = movingAverage(p.slotTimes, slotTime, poolWeight)
	p.load.add(now, req.Rank, slotTime)
	p.overload.admit(now, p, req)
	p.insert(req)
}

// insert adds a request to the queue at its sorted position.
func (p *pool) insert(req *request) {
	at, _ := slices.BinarySearchFunc(p.queue, req, compare)
	p.queue = slices.Insert(p.queue, at, req)
}

// compare puts requests that resume a stream first: their callers have a part of it, and
// they can't use all upstreams. It orders the others by rank, then those that can meet their
// latency target before those that can't, then by arrival. IDs break ties. Under overload,
// those that return as they were told to go before the others of their rank, and those of
// workspaces that were granted less before those of the others.
func compare(a, b *request) int {
	switch {
	case (a.Resumes != 0) != (b.Resumes != 0):
		if a.Resumes != 0 {
			return -1
		}
		return 1
	case a.Rank != b.Rank:
		return a.Rank - b.Rank
	case a.committed != b.committed:
		if a.committed {
			return -1
		}
		return 1
	case a.late != b.late:
		if b.late {
			return -1
		}
		return 1
	case a.shareTag < b.shareTag:
		return -1
	case a.shareTag > b.shareTag:
		return 1
	case a.arrived < b.arrived:
		return -1
	case a.arrived > b.arrived:
		return 1
	case a.ID.Entry != b.ID.Entry:
		if a.ID.Entry < b.ID.Entry {
			return -1
		}
		return 1
	case a.ID.Number < b.ID.Number:
		return -1
	case a.ID.Number > b.ID.Number:
		return 1
	}
	return 0
}

func (p *pool) dequeue(req *request) {
	at, ok := slices.BinarySearchFunc(p.queue, req, compare)
	if ok {
		p.queue = slices.Delete(p.queue, at, at+1)
	}
}

// assign adds a request to an upstream's running ones and estimates its end.
func (p *pool) assign(now time.Duration, req *request, u *upstream) {
	req.assigned, req.granted, req.version = u, now, u.SoftwareVersion
	req.bornAtGrant = u.Born
	req.prefilledAlone = u.prefillUntil <= now
	prefill := p.prefillTime(req, u)
	u.prefillUntil = max(now, u.prefillUntil) + prefill
	req.expectedEnd = u.prefillUntil + p.decodeTime(req, u)
	u.inFlight[req.ID] = req
	u.window.recordUse(now, len(u.inFlight))
	u.tokens += req.tokens()
	u.sessions.touch(req.Session)
}

// tokens returns the engine memory that the request needs at most, in tokens.
func (r *request) tokens() int64 {
	return int64(r.PromptTokens + max(r.OutputTokens, r.MaxOutputTokens))
}

// release removes a request from its upstream's running ones.
func (p *pool) release(req *request) {
	u := req.assigned
	if u.inFlight[req.ID] != req {
		return
	}
	delete(u.inFlight, req.ID)
	u.tokens -= req.tokens()
	if len(u.inFlight) == 0 {
		u.prefillUntil = 0
	}
}

// capacity returns how many requests a broker with the given share may run on the
// upstream, or have in transit to and from it. A fractional
// slot is rounded up on that fraction of the upstreams and down on the others; the choice
// differs between brokers, so that together they overload no upstream.
func (u *upstream) capacity(now time.Duration, share float64) int {
	slots := float64(u.Slots) * share * u.times.transitFactor()
	if u.isBrittle() {
		slots = u.brittleSlots(share)
	}
	whole := int(slots)
	if u.roundingPoint < slots-float64(whole) {
		whole++
	}
	if u.health.isOnProbation() {
		return min(1, whole)
	}
	return whole
}

// fits reports whether an upstream with a free slot may run a request: its engine
// has enough memory, it wants requests of the entry, which has a path to it, and the request does not avoid it.
func (p *pool) fits(now time.Duration, share float64, u *upstream, req *request) bool {
	return p.hasMemory(share, u, req) && p.allowsVersion(u, req) && req.isVersionAllowed(u.SoftwareVersion) && u.isOpenTo(now, req.ID.Entry) && !slices.Contains(req.Avoid, u.ID)
}
