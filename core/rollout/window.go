package rollout

import (
	"math"
	"slices"
)

const (
	// slowFactor is how many times longer than the upstream's good answers a slow one takes
	// at least, and slowDeviations the number of standard deviations of the old version's
	// times, where these vary much.
	slowFactor     = 2.5
	slowDeviations = 1.4
	// goodQuantile is the quantile of an upstream's times that stands for its good answers;
	// it holds for versions that are slow on less than two thirds.
	goodQuantile = 0.3
	// maxWindow is how many of an upstream's latest times are kept, minWindow how many of
	// them tell which answers are slow.
	maxWindow = 24
	minWindow = 6
	// updateInterval is after how many answers the quantile is taken anew.
	updateInterval = 4
)

// timeWindow holds the latest times of an upstream, as logarithms relative to what is typical
// of the route.
type timeWindow struct {
	times  []float64
	sorted []float64
	next   int
	// good is the goodQuantile of the times.
	good float64
}

// judge adds a time and returns the answers that are judged by it. spread is the standard
// deviation of the times of an upstream.
func (w *timeWindow) judge(t, spread float64) tally {
	margin := max(math.Log(slowFactor), slowDeviations*spread)
	out := tally{}
	if len(w.times) >= minWindow {
		out.add(t > w.good+margin)
	}
	if len(w.times) < maxWindow {
		w.times = append(w.times, t)
	} else {
		w.times[w.next%maxWindow] = t
	}
	w.next++
	if len(w.times) <= minWindow || w.next%updateInterval == 0 {
		w.sorted = append(w.sorted[:0], w.times...)
		slices.Sort(w.sorted)
		w.good = w.sorted[int(goodQuantile*float64(len(w.sorted)))]
	}
	if w.next == minWindow {
		for _, first := range w.times {
			out.add(first > w.good+margin)
		}
	}
	return out
}
