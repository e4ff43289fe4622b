package broker

import (
	"fmt"
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
		b.grantAll(now, p)
		b.refuseLate(now, p)
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

// grantAll grants in the queue's order while any upstream has room.
func (b *Broker) grantAll(now time.Duration, p *pool) {
	passed := 0
	for i := 0; i < len(p.queue) && passed < setAside; {
		w := p.queue[i]
		u, first := p.choose(now, w, b.share)
		if u == nil {
			passed++
			i++
			continue
		}
		p.queue = append(p.queue[:i], p.queue[i+1:]...)
		p.place(now, w, u)
		b.out.Grants = append(b.out.Grants, Grant{
			ID: w.ID, Upstream: u.ID, Address: u.Address, Expected: first, Waited: now - w.arrived,
			Free: u.capacity(now, b.share) - len(u.inFlight), Queued: len(p.queue),
		})
	}
}

// choose returns the upstream that serves a request best and when its first
// event is expected there, or nil where none has room.
func (p *pool) choose(now time.Duration, w *work, share float64) (*upstream, time.Duration) {
	best, bestCost, bestFirst := (*upstream)(nil), time.Duration(0), time.Duration(0)
	tooSlow := p.tooSlow(now, w)
	for _, u := range p.order {
		if !p.room(now, u, w, share) || (tooSlow > 0 && p.tokenTime(u) >= tooSlow) {
			continue
		}
		first := p.firstAt(now, w, u)
		cost := p.costAt(now, w, u, first)
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
func (p *pool) tooSlow(now time.Duration, w *work) float64 {
	units := p.cost.overhead + p.cost.read*float64(w.PromptTokens) + lengthMargin*float64(w.OutputTokens)
	if p.engine == nil || w.Deadline <= now || units <= 0 {
		return 0
	}
	limit := (w.Deadline - now).Seconds() / units
	for _, u := range p.order {
		if !u.Leaving && !u.health.down(now) && p.tokenTime(u) < limit {
			return limit
		}
	}
	return 0
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
func (b *Broker) refuseLate(now time.Duration, p *pool) {
	slots := p.slots(now, b.share)
	if slots > 0 || !p.begun {
		p.begun = true
		p.lastLive = now
	}
	if slots == 0 {
		b.refuseUnserved(now, p)
		return
	}
	ahead := 0.0
	late := []*work{}
	for i := 0; i < len(p.queue); {
		w := p.queue[i]
		wait := p.wait(now, w, ahead, float64(slots))
		first := now + wait + p.leastFirst(w)
		switch {
		case first <= w.Aim, w.late && first <= w.Latest:
			ahead += p.slotTime(w)
			i++
			continue
		case !w.late && first <= w.Latest:
			late = append(late, w)
		default:
			why := fmt.Sprintf("%d ms of waiting behind %.1f s of work on %d slots would be too late", wait.Milliseconds(), ahead, slots)
			b.refuse(w, Overload, p.comeBack(w, wait), why)
		}
		p.queue = append(p.queue[:i], p.queue[i+1:]...)
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
		p.queue = append(p.queue[:i], p.queue[i+1:]...)
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
func (p *pool) leastFirst(w *work) time.Duration {
	least := time.Duration(0)
	for _, u := range p.order {
		if u.Leaving {
			continue
		}
		first := p.readTime(w, u) + p.firstTime(u)
		if least == 0 || first < least {
			least = first
		}
	}
	return least
}

// slots counts the slots of all upstreams that take work.
func (p *pool) slots(now time.Duration, share float64) int {
	n := 0
	for _, u := range p.order {
		if !u.Leaving && !u.health.down(now) {
			n += u.capacity(now, share)
		}
	}
	return n
}

// comeBack is when a refused caller is asked to come back: once the work ahead
// of it is done, spread over as long again, so that the refused don't return at
// once.
func (p *pool) comeBack(w *work, wait time.Duration) time.Duration {
	spread := float64((w.ID.Number*2654435761)%1000) / 1000
	after := wait + time.Duration(spread*float64(max(wait, shortestReturn)))
	return min(longestReturn, max(shortestReturn, after))
}
