package schedbench

import (
	"math/rand/v2"
	"time"
)

// direct is a policy that sends each job to an engine at once; it waits there,
// first come first served.
type direct struct {
	pick func(w *world) *engine
	tock func(w *world)
}

func (d *direct) arrive(w *world, j *job) { w.start(j, d.pick(w)) }

func (d *direct) left(*world, *job, *engine) {}

func (d *direct) withdraw(*world, *job) {}

func (d *direct) tick(w *world) {
	if d.tock != nil {
		d.tock(w)
	}
}

func roundRobin(uint64) policy {
	next := 0
	return &direct{pick: func(w *world) *engine {
		next++
		return w.engines[next%len(w.engines)]
	}}
}

// leastOutstanding knows every count exactly.
func leastOutstanding(uint64) policy {
	return &direct{pick: func(w *world) *engine {
		best := w.engines[0]
		for _, e := range w.engines {
			if e.outstanding() < best.outstanding() {
				best = e
			}
		}
		return best
	}}
}

// reportAge is how old the reports are that twoChoices sees.
const reportAge = 2 * time.Second

// twoChoices takes the less loaded of two random engines by reports of that
// age.
func twoChoices(seed uint64) policy {
	rng := rand.New(rand.NewPCG(seed, 7))
	history := [][]int{}
	kept := int(reportAge / tickEvery)
	tock := func(w *world) {
		counts := []int{}
		for _, e := range w.engines {
			counts = append(counts, e.outstanding())
		}
		history = append(history, counts)
		if len(history) > kept {
			history = history[len(history)-kept:]
		}
	}
	pick := func(w *world) *engine {
		a, b := rng.IntN(len(w.engines)), rng.IntN(len(w.engines))
		old := history[0]
		if old[b] < old[a] {
			a = b
		}
		return w.engines[a]
	}
	return &direct{pick: pick, tock: tock}
}
