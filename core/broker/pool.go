package broker

import (
	"slices"
	"strings"
	"time"

	"github.com/verbenastep/verbenastep/core/rendezvous"
	"github.com/verbenastep/verbenastep/core/routes"
)

// pool is the queue and the upstreams of one pool.
type pool struct {
	name      string
	engine    *routes.Engine
	upstreams map[string]*upstream
	// order lists the upstreams by id, so that ties fall the same way each time.
	order []*upstream
	// open is scratch space of a round.
	open  []*upstream
	queue []*work
	cost  costs
	load  load
	// lastLive is when an upstream last took work, or the first round.
	lastLive time.Duration
	begun    bool
}

func newPool(name string) *pool {
	return &pool{name: name, upstreams: map[string]*upstream{}, cost: newCosts()}
}

// upstream is one upstream and what runs on it.
type upstream struct {
	Upstream
	inFlight map[ID]*work
	// tokens are those that the running requests hold at most.
	tokens int64
	// readUntil is when all prompts that were granted should be read.
	readUntil time.Duration
	speed     speed
	health    health
	// point in [0, 1) decides on fractions of slots; see capacity.
	point    float64
	sessions sessions
}

// take replaces the upstreams. What is learned of those that stay is kept.
func (p *pool) take(list []Upstream, engine *routes.Engine, broker string) {
	p.engine = engine
	p.order = p.order[:0]
	seen := map[string]bool{}
	for _, x := range list {
		u := p.upstreams[x.ID]
		if u == nil {
			u = &upstream{inFlight: map[ID]*work{}, sessions: newSessions(), point: rendezvous.Point(x.ID, broker)}
			p.upstreams[x.ID] = u
		}
		u.Upstream = x
		seen[x.ID] = true
		p.order = append(p.order, u)
	}
	for id, u := range p.upstreams {
		if !seen[id] && len(u.inFlight) == 0 {
			delete(p.upstreams, id)
		} else if !seen[id] {
			u.Leaving = true
		}
	}
	slices.SortFunc(p.order, func(a, b *upstream) int { return strings.Compare(a.ID, b.ID) })
}

// enqueue inserts a request behind those that go before it.
func (p *pool) enqueue(now time.Duration, w *work) {
	p.load.arrived(now, w.Rank, p.slotTime(w))
	p.insert(w)
}

func (p *pool) insert(w *work) {
	at, _ := slices.BinarySearchFunc(p.queue, w, compare)
	p.queue = slices.Insert(p.queue, at, w)
}

// compare orders the queue: by rank, those that can still be on time first,
// then by arrival.
func compare(a, b *work) int {
	switch {
	case a.Rank != b.Rank:
		return a.Rank - b.Rank
	case a.late != b.late:
		if b.late {
			return -1
		}
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

func (p *pool) dequeue(w *work) {
	at, ok := slices.BinarySearchFunc(p.queue, w, compare)
	if ok {
		p.queue = slices.Delete(p.queue, at, at+1)
	}
}

// place counts a request on its upstream.
func (p *pool) place(now time.Duration, w *work, u *upstream) {
	w.at = u
	w.alone = u.readUntil <= now
	reading := p.readTime(w, u)
	u.readUntil = max(now, u.readUntil) + reading
	w.expected = u.readUntil + p.decodeTime(w, u)
	u.inFlight[w.ID] = w
	u.tokens += w.tokens()
	u.sessions.touch(w.Session)
}

func (w *work) tokens() int64 { return int64(w.PromptTokens + w.OutputTokens) }

// free takes a request off its upstream.
func (p *pool) free(w *work) {
	u := w.at
	if u.inFlight[w.ID] != w {
		return
	}
	delete(u.inFlight, w.ID)
	u.tokens -= w.tokens()
	if len(u.inFlight) == 0 {
		u.readUntil = 0
	}
}

// capacity is how many requests an upstream may hold of a broker that has a
// share of it. A fraction of a slot is a whole one on that fraction of upstreams,
// others for each broker, so that all brokers together overload none.
func (u *upstream) capacity(now time.Duration, share float64) int {
	slots := float64(u.Slots) * share
	whole := int(slots)
	if u.point < slots-float64(whole) {
		whole++
	}
	if u.health.trial() {
		return min(1, whole)
	}
	return whole
}

// fits tells whether an upstream with a free slot may take a request.
func (p *pool) fits(u *upstream, w *work) bool {
	if p.engine != nil && p.engine.MemoryTokens > 0 && len(u.inFlight) > 0 && u.tokens+w.tokens() > p.engine.MemoryTokens {
		return false
	}
	return !slices.Contains(w.Avoid, u.ID)
}
