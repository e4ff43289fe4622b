package broker

import (
	"fmt"
	"slices"
	"time"
)

const (
	// farPenalty is what another region costs besides the time for the way: the
	// link between regions is narrow and billed.
	farPenalty = 60 * time.Millisecond
	// awayPenalty is the same for another data centre of the region.
	awayPenalty = 4 * time.Millisecond
	// troublePenalty is what an upstream counts that failed all its requests
	// lately; one that failed a part of them counts that part.
	troublePenalty = 3 * time.Second
	// silentPenalty is what an upstream counts that sends no heartbeats.
	silentPenalty = 5 * time.Second
	// latePenalty is what missing the aim counts.
	latePenalty = 10 * time.Second
	// setAside is how many requests that no upstream suits are passed over
	// before a round ends.
	setAside = 16
	// noUpstreamGrace is how long a pool may have no upstream before its
	// requests are refused: one that restarts, or a broker that has just begun,
	// hears of its upstreams within it.
	noUpstreamGrace = 1500 * time.Millisecond
	// shortestReturn and longestReturn bound when a refused caller is asked to
	// come back.
	shortestReturn = 300 * time.Millisecond
	longestReturn  = 4 * time.Second
	// decideEvery is the longest pause between two rounds while requests wait.
	decideEvery = 20 * time.Millisecond
)

// Decide grants what fits and refuses what would come too late.
func (b *Broker) Decide(now time.Duration) Decisions {
	b.freeOrphans(now)
	for _, p := range b.pools {
		r := p.round(now, b.share)
		if r.slots > 0 || !p.begun {
			p.begun = true
			p.lastLive = now
		}
		if len(p.queue) == 0 {
			continue
		}
		b.grantAll(p, r)
		b.refuseLate(p, r)
	}
	out := b.out
	b.out = Decisions{}
	return out
}

// Next returns how long Decide may wait where nothing comes in, and false
// where nothing waits.
func (b *Broker) Next() (time.Duration, bool) {
	for _, p := range b.pools {
		if len(p.queue) > 0 {
			return decideEvery, true
		}
	}
	return 0, false
}

func (b *Broker) freeOrphans(now time.Duration) {
	for _, w := range b.works {
		if w.orphaned != 0 && w.orphaned <= now {
			b.drop(w)
		}
	}
}

// round is what a round of decisions on a pool looks up once.
type round struct {
	now   time.Duration
	share float64
	// open are the upstreams with a free slot, in their order.
	open []*upstream
	// only is the upstream that is used though the broker's share of it is
	// nothing; nil where it has slots.
	only *upstream
	// slots counts the slots of all upstreams that take work.
	slots int
	// token and call are the shortest times of any of them, in seconds.
	token float64
	call  float64
}

func (p *pool) round(now time.Duration, share float64) *round {
	r := &round{now: now, share: share, open: p.open[:0]}
	least := (*upstream)(nil)
	for _, u := range p.order {
		if u.Leaving || u.health.down(now) {
			continue
		}
		capacity := u.capacity(now, share)
		r.slots += capacity
		if len(u.inFlight) < capacity {
			r.open = append(r.open, u)
		}
		r.token = shortest(r.token, p.tokenTime(u))
		r.call = shortest(r.call, p.callTime(u))
		if least == nil || u.point < least.point {
			least = u
		}
	}
	if r.slots == 0 && least != nil {
		// A broker whose share of every upstream is nothing uses one of them.
		r.only, r.slots = least, 1
		if len(least.inFlight) == 0 {
			r.open = append(r.open, least)
		}
	}
	return r
}

func shortest(known, other float64) float64 {
	if known == 0 {
		return other
	}
	return min(known, other)
}

// taken notes that an upstream got a request.
func (r *round) taken(u *upstream) {
	if u != r.only && len(u.inFlight) < u.capacity(r.now, r.share) {
		return
	}
	r.open = slices.DeleteFunc(r.open, func(o *upstream) bool { return o == u })
}

// grantAll grants in the queue's order while any upstream has room.
func (b *Broker) grantAll(p *pool, r *round) {
	passed := 0
	for i := 0; i < len(p.queue) && passed < setAside && len(r.open) > 0; {
		w := p.queue[i]
		u, first := p.choose(r, w)
		if u == nil {
			passed++
			i++
			continue
		}
		p.queue = slices.Delete(p.queue, i, i+1)
		p.place(r.now, w, u)
		r.taken(u)
		b.out.Grants = append(b.out.Grants, Grant{
			ID: w.ID, Upstream: u.ID, Address: u.Address, Expected: first, Waited: r.now - w.arrived,
			Free: u.capacity(r.now, b.share) - len(u.inFlight), Queued: len(p.queue),
		})
	}
	p.open = r.open
}

// choose returns the upstream that serves a request best and when its first
// event is expected there, or nil where none has room.
func (p *pool) choose(r *round, w *work) (*upstream, time.Duration) {
	best, bestCost, bestFirst := (*upstream)(nil), time.Duration(0), time.Duration(0)
	tooSlow := p.tooSlow(r, w)
	for _, u := range r.open {
		if !p.fits(u, w) || (tooSlow > 0 && p.tokenTime(u) >= tooSlow) {
			continue
		}
		first := p.firstAt(r.now, w, u)
		cost := p.costAt(r.now, w, u, first)
		if best == nil || cost < bestCost {
			best, bestCost, bestFirst = u, cost, first
		}
	}
	return best, bestFirst
}

// lengthMargin is how much longer than estimated an answer may be and still has
// to end in time: estimates are right at the median and often far off.
const lengthMargin = 1.6

// tooSlow is the time per output token, in seconds, from which an upstream can't
// end a request's answer in time; zero where none could, or where it does not
// matter: then it may go anywhere.
func (p *pool) tooSlow(r *round, w *work) float64 {
	units := p.cost.overhead + p.cost.read*float64(w.PromptTokens) + lengthMargin*float64(w.OutputTokens)
	if p.engine == nil || w.Deadline <= r.now || units <= 0 {
		return 0
	}
	limit := (w.Deadline - r.now).Seconds() / units
	if r.token >= limit {
		return 0
	}
	return limit
}

// firstAt is how long the first event of a request takes on an upstream.
func (p *pool) firstAt(now time.Duration, w *work, u *upstream) time.Duration {
	return max(0, u.readUntil-now) + p.readTime(w, u) + p.firstTime(u) + u.Cold/2
}

func (p *pool) costAt(now time.Duration, w *work, u *upstream, first time.Duration) time.Duration {
	cost := first + p.decodeTime(w, u)/2
	if p.engine == nil {
		cost = first * time.Duration(len(u.inFlight)+u.Slots) / time.Duration(max(1, u.Slots))
	}
	switch {
	case u.DataCentre == w.DataCentre:
	case u.Region == w.Region:
		cost += awayPenalty
	default:
		cost += farPenalty
	}
	if now+first > w.Aim {
		cost += latePenalty
	}
	if u.Silent {
		cost += silentPenalty
	}
	return cost + time.Duration(u.health.fails*float64(troublePenalty))
}

// refuseLate refuses the requests that would wait for too long, as soon as that
// shows. One that can't be on time any more but would be served soon after goes
// behind those that can.
func (b *Broker) refuseLate(p *pool, r *round) {
	if r.slots == 0 {
		b.refuseUnserved(r.now, p)
		return
	}
	ahead := 0.0
	late := []*work{}
	for i := 0; i < len(p.queue); {
		w := p.queue[i]
		wait := p.wait(r.now, w, ahead, float64(r.slots))
		first := r.now + wait + p.leastFirst(r, w)
		switch {
		case first <= w.Aim, w.late && first <= w.Latest:
			ahead += p.slotTime(w)
			i++
			continue
		case !w.late && first <= w.Latest:
			late = append(late, w)
		default:
			why := fmt.Sprintf("%d ms of waiting behind %.1f s of work on %d slots would be too late", wait.Milliseconds(), ahead, r.slots)
			b.refuse(w, Overload, p.comeBack(w, wait), why)
		}
		p.queue = slices.Delete(p.queue, i, i+1)
	}
	for _, w := range late {
		w.late = true
		p.insert(w)
	}
}

// refuseUnserved refuses the requests of a pool that no upstream serves.
func (b *Broker) refuseUnserved(now time.Duration, p *pool) {
	for i := 0; i < len(p.queue); {
		w := p.queue[i]
		if now-p.lastLive < noUpstreamGrace && now < w.Aim {
			i++
			continue
		}
		p.queue = slices.Delete(p.queue, i, i+1)
		b.refuse(w, NoUpstream, shortestReturn, "no upstream serves the pool")
	}
}

// wait is how long a request waits behind the work ahead of it in the queue and
// the work of higher ranks that keeps arriving.
func (p *pool) wait(now time.Duration, w *work, ahead, slots float64) time.Duration {
	spare := slots - p.load.above(now, w.Rank)
	if spare < slots/20 {
		spare = slots / 20
	}
	return seconds(ahead / spare)
}

// leastFirst is the shortest time to a request's first event on any upstream.
func (p *pool) leastFirst(r *round, w *work) time.Duration {
	if p.engine == nil {
		return seconds(r.call)
	}
	return seconds(r.token * (p.cost.overhead + p.cost.read*float64(w.PromptTokens)))
}

// comeBack is when a refused caller is asked to come back: once the work ahead
// of it is done, spread over as long again, so that the refused don't return at
// once.
func (p *pool) comeBack(w *work, wait time.Duration) time.Duration {
	spread := float64((w.ID.Number*2654435761)%1000) / 1000
	after := wait + time.Duration(spread*float64(max(wait, shortestReturn)))
	return min(longestReturn, max(shortestReturn, after))
}
