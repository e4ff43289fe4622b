package sched

import (
	"sort"
	"time"
)

// Params steer a dispatcher.
type Params struct {
	// Region is the dispatcher's own.
	Region string
	// QueueLimit is the most requests that wait at once.
	QueueLimit int
}

// request is one offer and its state.
type request struct {
	offer    Offer
	arrived  time.Duration
	upstream string
}

// upstream is an announced upstream and what runs on it.
type upstream struct {
	Upstream
	expires  time.Duration
	inFlight map[ID]*request
}

// Dispatcher holds one pool's queue and upstreams.
type Dispatcher struct {
	params    Params
	queue     []*request
	requests  map[ID]*request
	upstreams map[string]*upstream
}

// New returns an empty dispatcher.
func New(p Params) *Dispatcher {
	return &Dispatcher{params: p, requests: map[ID]*request{}, upstreams: map[string]*upstream{}}
}

// Offer queues a request, or takes up one that already runs.
func (d *Dispatcher) Offer(now time.Duration, o Offer) error {
	if o.PromptTokens < 0 || o.MaxTokens < 0 {
		return &OfferError{ID: o.ID, Message: "a token count is negative", Remedy: "send counts of zero or more"}
	}
	if o.Weight < 1 || o.Tier < 0 {
		return &OfferError{ID: o.ID, Message: "the weight or tier is out of range", Remedy: "take both from the configuration in force"}
	}
	if _, ok := d.requests[o.ID]; ok {
		return nil
	}
	r := &request{offer: o, arrived: now}
	d.requests[o.ID] = r
	if o.Running == "" {
		d.queue = append(d.queue, r)
		return nil
	}
	r.upstream = o.Running
	if u, ok := d.upstreams[o.Running]; ok {
		u.inFlight[o.ID] = r
	}
	return nil
}

// Cancel forgets a request that waits. A granted one ends by Release.
func (d *Dispatcher) Cancel(id ID) {
	r, ok := d.requests[id]
	if !ok || r.upstream != "" {
		return
	}
	delete(d.requests, id)
	d.dequeue(r)
}

func (d *Dispatcher) dequeue(r *request) {
	for i, q := range d.queue {
		if q == r {
			d.queue = append(d.queue[:i], d.queue[i+1:]...)
			return
		}
	}
}

// Release frees the slot of a granted request.
func (d *Dispatcher) Release(_ time.Duration, rel Release) error {
	r, ok := d.requests[rel.ID]
	if !ok || r.upstream == "" {
		return &OfferError{ID: rel.ID, Message: "it holds no grant", Remedy: "release each grant once"}
	}
	delete(d.requests, rel.ID)
	if u, ok := d.upstreams[r.upstream]; ok {
		delete(u.inFlight, rel.ID)
	}
	return nil
}

// Announce adds or renews an upstream.
func (d *Dispatcher) Announce(now time.Duration, a Upstream) error {
	if a.Name == "" || a.Slots < 1 || a.Lease <= 0 {
		return &OfferError{Message: "the announcement of " + a.Name + " lacks a name, slots or lease", Remedy: "announce all three"}
	}
	u, ok := d.upstreams[a.Name]
	if ok && a.Incarnation < u.Incarnation {
		return &OfferError{Message: "the announcement of " + a.Name + " is of an earlier start", Remedy: "raise the incarnation at each start"}
	}
	if !ok {
		u = &upstream{inFlight: map[ID]*request{}}
		d.upstreams[a.Name] = u
		d.adopt(a.Name, u)
	}
	u.Upstream = a
	u.expires = now + a.Lease
	return nil
}

// adopt gives a new upstream the running requests that name it.
func (d *Dispatcher) adopt(name string, u *upstream) {
	for id, r := range d.requests {
		if r.upstream == name {
			u.inFlight[id] = r
		}
	}
}

// Leave ends new work on an upstream at once.
func (d *Dispatcher) Leave(name string, incarnation uint64) {
	u, ok := d.upstreams[name]
	if ok && incarnation >= u.Incarnation {
		u.expires = 0
	}
}

// LoseEntry forgets all requests of an entry that is gone.
func (d *Dispatcher) LoseEntry(entry string) {
	for id, r := range d.requests {
		if id.Entry != entry {
			continue
		}
		delete(d.requests, id)
		if u, ok := d.upstreams[r.upstream]; ok {
			delete(u.inFlight, id)
		}
		d.dequeue(r)
	}
}

// Decide grants what fits and refuses what must be.
func (d *Dispatcher) Decide(now time.Duration) Decisions {
	out := Decisions{}
	sort.SliceStable(d.queue, func(i, j int) bool {
		return d.queue[i].offer.Tier < d.queue[j].offer.Tier
	})
	waiting := []*request{}
	none := d.Live(now) == 0
	for _, r := range d.queue {
		if none {
			delete(d.requests, r.offer.ID)
			out.Refusals = append(out.Refusals, Refusal{ID: r.offer.ID, Code: NoUpstream, RetryAfter: time.Second, Why: "no upstream serves the pool here"})
			continue
		}
		if r.offer.Deadline <= now {
			delete(d.requests, r.offer.ID)
			out.Refusals = append(out.Refusals, Refusal{ID: r.offer.ID, Code: TooLate, RetryAfter: time.Second, Why: "the deadline passed in the queue"})
			continue
		}
		u := d.choose(now)
		if u == nil {
			waiting = append(waiting, r)
			continue
		}
		out.Grants = append(out.Grants, d.grant(now, r, u))
	}
	d.queue = waiting
	d.shed(&out)
	return out
}

func (d *Dispatcher) grant(now time.Duration, r *request, u *upstream) Grant {
	r.upstream = u.Name
	u.inFlight[r.offer.ID] = r
	why := Explanation{ID: r.offer.ID, State: "granted", Waited: (now - r.arrived).String(), Chosen: u.Name, Reason: "least in flight"}
	return Grant{ID: r.offer.ID, Upstream: u.Name, Address: u.Address, Incarnation: u.Incarnation, Why: why}
}

// choose returns the live upstream with the smallest share of its slots in
// use, or nil.
func (d *Dispatcher) choose(now time.Duration) *upstream {
	var best *upstream
	for _, u := range d.upstreams {
		if u.expires <= now || len(u.inFlight) >= u.Slots {
			continue
		}
		if best == nil || less(u, best) {
			best = u
		}
	}
	return best
}

func less(a, b *upstream) bool {
	left := len(a.inFlight) * b.Slots
	right := len(b.inFlight) * a.Slots
	if left != right {
		return left < right
	}
	return a.Name < b.Name
}

// shed refuses the last of the lowest tiers where the queue is over its limit.
func (d *Dispatcher) shed(out *Decisions) {
	for d.params.QueueLimit > 0 && len(d.queue) > d.params.QueueLimit {
		last := d.queue[len(d.queue)-1]
		d.queue = d.queue[:len(d.queue)-1]
		delete(d.requests, last.offer.ID)
		out.Refusals = append(out.Refusals, Refusal{ID: last.offer.ID, Code: Overload, RetryAfter: time.Second, Why: "the queue is full"})
	}
}

// Wake returns when Decide has something to do by itself: the earliest
// deadline or lease end.
func (d *Dispatcher) Wake() (time.Duration, bool) {
	at := time.Duration(0)
	found := false
	consider := func(t time.Duration) {
		if !found || t < at {
			at = t
			found = true
		}
	}
	for _, r := range d.queue {
		consider(r.offer.Deadline)
	}
	return at, found
}

// Live counts the upstreams that take new work.
func (d *Dispatcher) Live(now time.Duration) int {
	n := 0
	for _, u := range d.upstreams {
		if u.expires > now {
			n++
		}
	}
	return n
}

// Explain tells the state of a request that waits or runs.
func (d *Dispatcher) Explain(now time.Duration, id ID) (Explanation, bool) {
	r, ok := d.requests[id]
	if !ok {
		return Explanation{}, false
	}
	e := Explanation{ID: id, State: "queued", Waited: (now - r.arrived).String(), Reason: "no upstream has a free slot"}
	if r.upstream != "" {
		e.State = "granted"
		e.Chosen = r.upstream
	}
	return e, true
}

// UpstreamDump is one upstream's state, for operators.
type UpstreamDump struct {
	Name     string `json:"name"`
	Address  string `json:"address"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"`
	Live     bool   `json:"live"`
}

// Dump is a dispatcher's state, for operators.
type Dump struct {
	Queued    int            `json:"queued"`
	Running   int            `json:"running"`
	Upstreams []UpstreamDump `json:"upstreams"`
}

// Dump returns the state.
func (d *Dispatcher) Dump(now time.Duration) Dump {
	out := Dump{Queued: len(d.queue), Running: len(d.requests) - len(d.queue)}
	for _, u := range d.upstreams {
		out.Upstreams = append(out.Upstreams, UpstreamDump{Name: u.Name, Address: u.Address, Slots: u.Slots, InFlight: len(u.inFlight), Live: u.expires > now})
	}
	sort.Slice(out.Upstreams, func(i, j int) bool { return out.Upstreams[i].Name < out.Upstreams[j].Name })
	return out
}
