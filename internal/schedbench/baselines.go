package schedbench

import (
	"math/rand/v2"
	"time"
)

// immediatePolicy assigns each job to an engine on arrival; the job queues
// there in FIFO order.
type immediatePolicy struct {
	selectEngine func(sim *simulation) *engine
	tickFunc     func(sim *simulation)
}

func (p *immediatePolicy) onArrival(sim *simulation, j *job) { sim.start(j, p.selectEngine(sim)) }

func (p *immediatePolicy) onEnd(*simulation, *job, *engine) {}

func (p *immediatePolicy) onAbandon(*simulation, *job) {}

func (p *immediatePolicy) onTick(sim *simulation) {
	if p.tickFunc != nil {
		p.tickFunc(sim)
	}
}

// roundRobin assigns jobs to the engines in turn.
func roundRobin(uint64) policy {
	next := 0
	return &immediatePolicy{selectEngine: func(sim *simulation) *engine {
		next++
		return sim.engines[next%len(sim.engines)]
	}}
}

// leastOutstanding assigns each job to the engine with the fewest outstanding
// jobs; it reads the current counts without delay.
func leastOutstanding(uint64) policy {
	return &immediatePolicy{selectEngine: func(sim *simulation) *engine {
		best := sim.engines[0]
		for _, e := range sim.engines {
			if e.outstanding() < best.outstanding() {
				best = e
			}
		}
		return best
	}}
}

// reportAge is the age of the load reports that twoChoices uses.
const reportAge = 2 * time.Second

// twoChoices assigns each job to the less loaded of two random engines (power
// of two choices), by load reports that are reportAge old.
func twoChoices(seed uint64) policy {
	rng := rand.New(rand.NewPCG(seed, 7))
	history := [][]int{}
	maxReports := int(reportAge / tickInterval)
	recordCounts := func(sim *simulation) {
		counts := []int{}
		for _, e := range sim.engines {
			counts = append(counts, e.outstanding())
		}
		history = append(history, counts)
		if len(history) > maxReports {
			history = history[len(history)-maxReports:]
		}
	}
	selectEngine := func(sim *simulation) *engine {
		a, b := rng.IntN(len(sim.engines)), rng.IntN(len(sim.engines))
		reported := history[0]
		if reported[b] < reported[a] {
			a = b
		}
		return sim.engines[a]
	}
	return &immediatePolicy{selectEngine: selectEngine, tickFunc: recordCounts}
}
