package schedbench

import (
	"slices"
	"time"

	"github.com/verbenastep/verbenastep/core/sched"
)

// scenario is a load level with its disturbances.
type scenario struct {
	name string
	// load is the arrival rate as a share of the site's capacity.
	load float64
	// straggler slows the first engine down by stragglerSlowdown from
	// stragglerStart on.
	straggler bool
	// heavyFactor multiplies the arrival rate of the site's heavy workspace.
	heavyFactor float64
	// burstFactor multiplies all arrival rates for burstDuration (10 s).
	burstFactor float64
	// lengthSpread makes answer lengths harder to predict; see arrivals.
	lengthSpread float64
}

const (
	// runDuration is how long jobs arrive.
	runDuration = 240 * time.Second
	// warmUpDuration is the start of the run that the results leave out.
	warmUpDuration = 60 * time.Second
	// stragglerStart is when the straggler slows down to a fifth of its speed.
	stragglerStart    = 30 * time.Second
	stragglerSlowdown = 5
	burstStart        = 120 * time.Second
	burstDuration     = 10 * time.Second
	// saturatingRate is the arrival rate, in requests a second, that keeps all
	// engines busy while the capacity is measured.
	saturatingRate = 200
)

// namedPolicy is a policy's constructor with the policy's name in the tables.
type namedPolicy struct {
	name string
	make func(s site, seed uint64) policy
}

// policies returns the baselines, and the project's own policy last.
func policies() []namedPolicy {
	withoutSite := func(f func(uint64) policy) func(site, uint64) policy {
		return func(_ site, seed uint64) policy { return f(seed) }
	}
	return []namedPolicy{
		{"round robin", withoutSite(roundRobin)},
		{"least outstanding", withoutSite(leastOutstanding)},
		{"two choices, 2 s old", withoutSite(twoChoices)},
		{ownPolicy, func(s site, seed uint64) policy { return newDispatcherPolicy(s, seed, sched.Params{}) }},
	}
}

// arrivalOrderPolicy returns the project's policy ordered by arrival instead of
// predicted length.
func arrivalOrderPolicy() namedPolicy {
	return namedPolicy{ownPolicy + ", by arrival", func(s site, seed uint64) policy { return newDispatcherPolicy(s, seed, sched.Params{ByArrival: true}) }}
}

// ownPolicy names the project's policy in the tables.
const ownPolicy = "verbenastep"

// goodputCount counts jobs offered and jobs completed before their deadline.
type goodputCount struct {
	offered int
	inTime  int
}

// runResult holds the figures of one run after the warm-up.
type runResult struct {
	tiers      []goodputCount
	workspaces []goodputCount
	// goodput is complete answers in time, offeredRate arrivals, both a second.
	goodput     float64
	offeredRate float64
	// lostPrefill and repeatedPrefill are wasted prompt tokens: of jobs that did
	// not complete, and of prefixes that another engine had cached.
	lostPrefill     float64
	repeatedPrefill float64
	refused         int
	// lookupWaitP99 is the 99th percentile of the time from arrival to start on
	// an engine, lookupService the mean time on the engine, both of completed
	// lookups.
	lookupWaitP99      time.Duration
	lookupService      time.Duration
	inversions         int
	deadlineInversions int
}

func (r runResult) wastedPrefill() float64 { return r.lostPrefill + r.repeatedPrefill }

// measureCapacity returns the rate, in requests a second, at which the site's
// engines complete a saturating load of the site's request mix with deadlines
// of an hour. It depends on the spread of lengths, since the callers' token
// limits cut long answers.
func measureCapacity(s site, seed uint64, spread float64) float64 {
	relaxed := s
	relaxed.tiers = slices.Clone(s.tiers)
	for i := range relaxed.tiers {
		relaxed.tiers[i].goodputTime = time.Hour
	}
	jobs := arrivals{site: relaxed, rate: saturatingRate, duration: runDuration / 4, seed: seed, lengthSpread: spread}.draw()
	sim := newSimulation(relaxed, leastOutstanding(seed), runDuration)
	sim.run(jobs)
	completed := 0
	for _, j := range jobs {
		if j.completed && j.endedAt >= warmUpDuration && j.endedAt < runDuration {
			completed++
		}
	}
	return float64(completed) / (runDuration - warmUpDuration).Seconds()
}

// runScenario simulates one policy in one scenario; rate is the site's capacity
// in requests a second.
func runScenario(s site, c scenario, p namedPolicy, rate float64, seed uint64) runResult {
	a := arrivals{site: s, rate: rate * c.load, duration: runDuration, seed: seed, lengthSpread: c.lengthSpread}
	if c.heavyFactor > 0 {
		a.heavyWorkspace, a.heavyFactor = s.heavyWorkspace, c.heavyFactor
	}
	if c.burstFactor > 0 {
		a.burstFactor, a.burstStart, a.burstEnd = c.burstFactor, burstStart, burstStart+burstDuration
	}
	jobs := a.draw()
	sim := newSimulation(s, p.make(s, seed), runDuration)
	if c.straggler {
		sim.after(stragglerStart, func() {
			e := sim.engines[0]
			e.advance(sim.now.Seconds())
			e.slowdown = stragglerSlowdown
			sim.scheduleNextEnd(e)
		})
	}
	sim.run(jobs)
	return summarize(s, sim, jobs)
}

// summarize computes a run's figures from the jobs that arrived after warm-up.
func summarize(s site, sim *simulation, jobs []*job) runResult {
	r := runResult{tiers: make([]goodputCount, len(s.tiers)), workspaces: make([]goodputCount, len(s.workspaces)), inversions: sim.inversions, deadlineInversions: sim.deadlineInversions}
	waits := []time.Duration{}
	serviceTime := time.Duration(0)
	inTime, offered := 0, 0
	for _, j := range jobs {
		if j.arrivedAt < warmUpDuration {
			continue
		}
		offered++
		r.tiers[j.tier].offered++
		r.workspaces[j.workspace].offered++
		if j.completed {
			inTime++
			r.tiers[j.tier].inTime++
			r.workspaces[j.workspace].inTime++
			r.repeatedPrefill += float64(min(j.repeatedTokens, j.promptTokens-j.cachedTokens))
		} else {
			r.lostPrefill += j.prefillComputed
		}
		if j.refusalCode != "" {
			r.refused++
		}
		if j.kind == lookup && j.completed {
			waits = append(waits, j.startedAt-j.arrivedAt)
			serviceTime += j.endedAt - j.startedAt
		}
	}
	r.goodput = float64(inTime) / (runDuration - warmUpDuration).Seconds()
	r.offeredRate = float64(offered) / (runDuration - warmUpDuration).Seconds()
	if len(waits) > 0 {
		slices.Sort(waits)
		r.lookupWaitP99 = waits[len(waits)*99/100]
		r.lookupService = serviceTime / time.Duration(len(waits))
	}
	return r
}
