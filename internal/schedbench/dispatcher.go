package schedbench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/verbenastep/verbenastep/core/sched"
)

const (
	// announceInterval is the time between an engine's announcements, which
	// carry its load report and cache events.
	announceInterval = 500 * time.Millisecond
	// announcementLease is how long an announcement is valid.
	announcementLease = 2 * time.Second
	// cacheEventDelay is the delivery delay of cache events.
	cacheEventDelay = 2 * time.Second
	// cacheEventLossRate is the share of cache events that is lost.
	cacheEventLossRate = 0.1
	// grantDelay is how long a grant takes to reach the engine through the entry.
	grantDelay = 3 * time.Millisecond
	// entryName names the only entry of the simulation.
	entryName = "entry"
)

// dispatcherPolicy runs the dispatcher of core/sched as a policy.
type dispatcherPolicy struct {
	dispatcher     *sched.Dispatcher
	site           site
	rng            *rand.Rand
	jobs           map[uint64]*job
	nextAnnounce   time.Duration
	eventSequences []uint64
	lastDump       sched.Dump
}

func newDispatcherPolicy(s site, seed uint64, params sched.Params) *dispatcherPolicy {
	params.BlockTokens = blockTokens
	return &dispatcherPolicy{
		dispatcher: sched.New(params), site: s,
		rng: rand.New(rand.NewPCG(seed, 11)), jobs: map[uint64]*job{}, eventSequences: make([]uint64, s.totalEngines()),
	}
}

func engineName(id int) string { return fmt.Sprintf("engine-%02d", id) }

func (p *dispatcherPolicy) onArrival(sim *simulation, j *job) {
	p.jobs[j.id] = j
	spec := p.site.workspaces[j.workspace]
	refusal, err := p.dispatcher.Offer(sim.now, sched.Offer{
		ID: sched.ID{Entry: entryName, Number: j.id}, Workspace: spec.name, Tier: j.tier, Weight: spec.weight,
		PromptTokens: j.promptTokens, MaxTokens: j.maxTokens, Blocks: j.blocks, Deadline: j.deadline, Fingerprint: j.id,
	})
	if err != nil {
		panic(err)
	}
	if refusal != nil {
		sim.refuse(j, string(refusal.Code), false)
	}
	p.decide(sim)
}

func (p *dispatcherPolicy) onEnd(sim *simulation, j *job, _ *engine) {
	delete(p.jobs, j.id)
	r := sched.Release{ID: sched.ID{Entry: entryName, Number: j.id}, Outcome: sched.Canceled, CachedTokens: j.cachedTokens}
	if j.completed {
		r.Outcome = sched.Completed
		r.Prefill = j.firstTokenAt - j.startedAt
		r.Decode = j.endedAt - j.firstTokenAt
		r.OutputTokens = j.outputTokens
	}
	if _, err := p.dispatcher.Release(sim.now, r); err != nil {
		panic(err)
	}
	p.decide(sim)
}

func (p *dispatcherPolicy) onAbandon(sim *simulation, j *job) {
	id := sched.ID{Entry: entryName, Number: j.id}
	if _, err := p.dispatcher.Release(sim.now, sched.Release{ID: id, Outcome: sched.NotSent}); err != nil {
		p.dispatcher.Cancel(id)
	}
	delete(p.jobs, j.id)
}

func (p *dispatcherPolicy) onTick(sim *simulation) {
	if sim.now >= p.nextAnnounce {
		p.nextAnnounce = sim.now + announceInterval
		for _, e := range sim.engines {
			p.announce(sim, e)
		}
	}
	p.decide(sim)
	p.lastDump = p.dispatcher.Dump(sim.now)
}

// announce sends an engine's load report to the dispatcher at once and its cache
// events after cacheEventDelay, with the share cacheEventLossRate lost.
func (p *dispatcherPolicy) announce(sim *simulation, e *engine) {
	a := sched.Upstream{
		Name: engineName(e.id), Incarnation: 1, Slots: e.spec.maxBatch, Lease: announcementLease,
		Load: sched.Load{Running: e.running(), Age: announceInterval},
	}
	if err := p.dispatcher.Announce(sim.now, a); err != nil {
		panic(err)
	}
	if len(e.unpublishedEvictions) == 0 {
		return
	}
	p.eventSequences[e.id]++
	event := sched.CacheEvent{Sequence: p.eventSequences[e.id], Evicted: true, Blocks: e.unpublishedEvictions}
	e.unpublishedEvictions = nil
	if p.rng.Float64() < cacheEventLossRate {
		return
	}
	sim.after(cacheEventDelay, func() {
		a.Events = []sched.CacheEvent{event}
		a.Load.Age += cacheEventDelay
		if err := p.dispatcher.Announce(sim.now, a); err != nil {
			panic(err)
		}
	})
}

// decide applies the dispatcher's grants and refusals.
func (p *dispatcherPolicy) decide(sim *simulation) {
	out := p.dispatcher.Decide(sim.now)
	for _, g := range out.Grants {
		j := p.jobs[g.ID.Number]
		e := sim.engines[engineIndex(g.Upstream)]
		sim.after(grantDelay, func() { p.startGranted(sim, j, e) })
	}
	for _, r := range out.Refusals {
		j := p.jobs[r.ID.Number]
		delete(p.jobs, r.ID.Number)
		sim.refuse(j, string(r.Code), r.Code != sched.Overloaded)
	}
}

// startGranted starts a granted job unless its caller disconnected while the
// grant was on its way.
func (p *dispatcherPolicy) startGranted(sim *simulation, j *job, e *engine) {
	if j.endedAt != 0 {
		return
	}
	sim.start(j, e)
}

func engineIndex(name string) int {
	n := 0
	if _, err := fmt.Sscanf(name, "engine-%d", &n); err != nil {
		panic(err)
	}
	return n
}
