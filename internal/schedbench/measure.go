package schedbench

import (
	"slices"
	"time"

	"github.com/verbenastep/verbenastep/core/sched"
)

// scenario is one set of circumstances.
type scenario struct {
	name string
	load float64
	// straggler makes the first engine five times slower from then on.
	straggler bool
	// heavy multiplies what one workspace sends.
	heavy float64
	// burst multiplies all arrivals for ten seconds.
	burst float64
	// spread makes answers' lengths hard to predict; see arrivals.
	spread float64
}

const (
	// runLength is how long jobs arrive.
	runLength = 240 * time.Second
	// warmUp is from when on jobs are counted.
	warmUp = 60 * time.Second
	// stragglerAt is when the straggler slows down, to a fifth.
	stragglerAt     = 30 * time.Second
	stragglerFactor = 5
	// burstAt and burstLength bound the burst.
	burstAt     = 120 * time.Second
	burstLength = 10 * time.Second
	// capacityLoad is the rate of arrivals, in requests a second, that builds
	// the long queue in which the capacity is measured.
	capacityLoad = 200
)

// named is a policy with its name.
type named struct {
	name string
	make func(s site, seed uint64) policy
}

func policies() []named {
	plain := func(f func(uint64) policy) func(site, uint64) policy {
		return func(_ site, seed uint64) policy { return f(seed) }
	}
	return []named{
		{"round robin", plain(roundRobin)},
		{"least outstanding", plain(leastOutstanding)},
		{"two choices, 2 s old", plain(twoChoices)},
		{ours, func(s site, seed uint64) policy { return newDispatcher(s, seed, sched.Params{}) }},
	}
}

// byArrival is the policy without the use of predicted lengths for the order.
func byArrival() named {
	return named{ours + ", by arrival", func(s site, seed uint64) policy { return newDispatcher(s, seed, sched.Params{ByArrival: true}) }}
}

const ours = "verbenastep"

// tierResult is what one tier got.
type tierResult struct {
	offered int
	good    int
}

// result is one run's figures.
type result struct {
	tiers      []tierResult
	workspaces []tierResult
	// good is the goodput, in whole answers in time a second.
	good    float64
	offered float64
	// lost and repeated are wasted prefill, in tokens.
	lost     float64
	repeated float64
	shed     int
	// waits are the lookups' times from arrival to the engine, service their
	// mean time on it, among those begun.
	wait99         time.Duration
	service        time.Duration
	inversions     int
	lateInversions int
}

func (r result) wasted() float64 { return r.lost + r.repeated }

// capacity is the rate, in requests a second, at which the site's engines
// finish a long queue of the site's own mix, whoever waits how long. A spread
// of the lengths changes it, since the callers' limits cut long answers.
func capacity(s site, seed uint64, spread float64) float64 {
	endless := s
	endless.tiers = slices.Clone(s.tiers)
	for i := range endless.tiers {
		endless.tiers[i].goodput = time.Hour
	}
	jobs := arrivals{site: endless, rate: capacityLoad, length: runLength / 4, seed: seed, spread: spread}.draw()
	w := newWorld(endless, leastOutstanding(seed), runLength)
	w.run(jobs)
	done := 0
	for _, j := range jobs {
		if j.whole && j.ended >= warmUp && j.ended < runLength {
			done++
		}
	}
	return float64(done) / (runLength - warmUp).Seconds()
}

// play runs one policy through one scenario.
func play(s site, c scenario, p named, rate float64, seed uint64) result {
	a := arrivals{site: s, rate: rate * c.load, length: runLength, seed: seed, spread: c.spread}
	if c.heavy > 0 {
		a.heavy, a.factor = s.heavy, c.heavy
	}
	if c.burst > 0 {
		a.burst, a.burstBegin, a.burstEnd = c.burst, burstAt, burstAt+burstLength
	}
	jobs := a.draw()
	w := newWorld(s, p.make(s, seed), runLength)
	if c.straggler {
		w.after(stragglerAt, func() {
			e := w.engines[0]
			e.advance(w.now.Seconds())
			e.slow = stragglerFactor
			w.plan(e)
		})
	}
	w.run(jobs)
	return summarize(s, w, jobs)
}

func summarize(s site, w *world, jobs []*job) result {
	r := result{tiers: make([]tierResult, len(s.tiers)), workspaces: make([]tierResult, len(s.workspaces)), inversions: w.inversions, lateInversions: w.lateInversions}
	waits := []time.Duration{}
	served := time.Duration(0)
	good, offered := 0, 0
	for _, j := range jobs {
		if j.arrived < warmUp {
			continue
		}
		offered++
		r.tiers[j.tier].offered++
		r.workspaces[j.workspace].offered++
		if j.whole {
			good++
			r.tiers[j.tier].good++
			r.workspaces[j.workspace].good++
			r.repeated += float64(min(j.repeated, j.prompt-j.cached))
		} else {
			r.lost += j.computed
		}
		if j.refused != "" {
			r.shed++
		}
		if j.kind == lookup && j.whole {
			waits = append(waits, j.started-j.arrived)
			served += j.ended - j.started
		}
	}
	r.good = float64(good) / (runLength - warmUp).Seconds()
	r.offered = float64(offered) / (runLength - warmUp).Seconds()
	if len(waits) > 0 {
		slices.Sort(waits)
		r.wait99 = waits[len(waits)*99/100]
		r.service = served / time.Duration(len(waits))
	}
	return r
}
