package schedbench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/verbenastep/verbenastep/core/sched"
)

const (
	// renewEvery is how often engines announce, with reports of their load and
	// cache events.
	renewEvery = 500 * time.Millisecond
	// lease is how long an announcement holds.
	lease = 2 * time.Second
	// eventDelay is how late cache events come.
	eventDelay = 2 * time.Second
	// eventLoss is the part of cache events that is lost.
	eventLoss = 0.1
	// grantDelay is the way of a grant to the entry and on to the engine.
	grantDelay = 3 * time.Millisecond
	// entryName is the one entry of the bench.
	entryName = "entry"
)

// dispatcher drives core/sched.
type dispatcher struct {
	core    *sched.Dispatcher
	site    site
	rng     *rand.Rand
	jobs    map[uint64]*job
	nextRun time.Duration
	serial  []uint64
	last    sched.Dump
}

func newDispatcher(s site, seed uint64, params sched.Params) *dispatcher {
	params.BlockTokens = blockTokens
	return &dispatcher{
		core: sched.New(params), site: s,
		rng: rand.New(rand.NewPCG(seed, 11)), jobs: map[uint64]*job{}, serial: make([]uint64, s.totalEngines()),
	}
}

func engineName(id int) string { return fmt.Sprintf("engine-%02d", id) }

func (d *dispatcher) arrive(w *world, j *job) {
	d.jobs[j.id] = j
	spec := d.site.workspaces[j.workspace]
	refusal, err := d.core.Offer(w.now, sched.Offer{
		ID: sched.ID{Entry: entryName, Number: j.id}, Workspace: spec.name, Tier: j.tier, Weight: spec.weight,
		PromptTokens: j.prompt, MaxTokens: j.limit, Blocks: j.blocks, Deadline: j.deadline, Fingerprint: j.id,
	})
	if err != nil {
		panic(err)
	}
	if refusal != nil {
		w.refuse(j, string(refusal.Code), false)
	}
	d.decide(w)
}

func (d *dispatcher) left(w *world, j *job, _ *engine) {
	delete(d.jobs, j.id)
	r := sched.Release{ID: sched.ID{Entry: entryName, Number: j.id}, Outcome: sched.Canceled, CachedTokens: j.cached}
	if j.whole {
		r.Outcome = sched.Completed
		r.Prefill = j.first - j.started
		r.Decode = j.ended - j.first
		r.OutputTokens = j.output
	}
	if _, err := d.core.Release(w.now, r); err != nil {
		panic(err)
	}
	d.decide(w)
}

func (d *dispatcher) withdraw(w *world, j *job) {
	id := sched.ID{Entry: entryName, Number: j.id}
	if _, err := d.core.Release(w.now, sched.Release{ID: id, Outcome: sched.NotSent}); err != nil {
		d.core.Cancel(id)
	}
	delete(d.jobs, j.id)
}

func (d *dispatcher) tick(w *world) {
	if w.now >= d.nextRun {
		d.nextRun = w.now + renewEvery
		for _, e := range w.engines {
			d.announce(w, e)
		}
	}
	d.decide(w)
	d.last = d.core.Dump(w.now)
}

// announce carries a load report and the cache events, late and with gaps.
func (d *dispatcher) announce(w *world, e *engine) {
	a := sched.Upstream{
		Name: engineName(e.id), Incarnation: 1, Slots: e.spec.slots, Lease: lease,
		Load: sched.Load{Running: e.running(), Age: renewEvery},
	}
	if err := d.core.Announce(w.now, a); err != nil {
		panic(err)
	}
	if len(e.evicted) == 0 {
		return
	}
	d.serial[e.id]++
	event := sched.CacheEvent{Sequence: d.serial[e.id], Evicted: true, Blocks: e.evicted}
	e.evicted = nil
	if d.rng.Float64() < eventLoss {
		return
	}
	w.after(eventDelay, func() {
		a.Events = []sched.CacheEvent{event}
		a.Load.Age += eventDelay
		if err := d.core.Announce(w.now, a); err != nil {
			panic(err)
		}
	})
}

func (d *dispatcher) decide(w *world) {
	out := d.core.Decide(w.now)
	for _, g := range out.Grants {
		j := d.jobs[g.ID.Number]
		e := w.engines[indexOf(g.Upstream)]
		w.after(grantDelay, func() { d.begin(w, j, e) })
	}
	for _, r := range out.Refusals {
		j := d.jobs[r.ID.Number]
		delete(d.jobs, r.ID.Number)
		w.refuse(j, string(r.Code), r.Code != sched.Overloaded)
	}
}

// begin starts a granted job unless its caller went away meanwhile.
func (d *dispatcher) begin(w *world, j *job, e *engine) {
	if j.ended != 0 {
		return
	}
	w.start(j, e)
}

func indexOf(name string) int {
	n := 0
	if _, err := fmt.Sscanf(name, "engine-%d", &n); err != nil {
		panic(err)
	}
	return n
}
