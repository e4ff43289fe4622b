package sched

import (
	"math"
	"math/bits"
	"time"
)

const (
	// lengthGain is the weight of a new observation of an answer's length.
	lengthGain = 0.2
	// cautiousDeviations is how many mean deviations below the mean the
	// cautious estimate lies.
	cautiousDeviations = 2
	// leastPart is the cautious estimate's floor, as a part of the mean.
	leastPart = 0.25
	// maxLengthKeys bounds the kinds of request that are told apart.
	maxLengthKeys = 4096
	// firstGuess is the assumed answer before any was seen, as a part of the
	// most that the request allows.
	firstGuess = 0.5
	// unknownOutput is assumed where a request bounds nothing, in tokens.
	unknownOutput = 256
	// shortPart is the largest cost of a short request, as a part of the
	// average cost.
	shortPart = 0.25
	// costGain is the weight of a new request in the average cost.
	costGain = 0.02
)

// lengthKey is a kind of request: sizes count in powers of two.
type lengthKey struct {
	workspace string
	operation string
	prompt    uint8
	most      uint8
}

// lengthStat is what was seen of one kind.
type lengthStat struct {
	seen      float64
	mean      float64
	deviation float64
}

// lengths predicts the output tokens of requests from those seen before.
type lengths struct {
	stats map[lengthKey]lengthStat
}

func keyOf(o Offer, workspace string) lengthKey {
	return lengthKey{
		workspace: workspace, operation: o.Operation,
		prompt: uint8(bits.Len(uint(o.PromptTokens))), most: uint8(bits.Len(uint(o.MaxTokens))),
	}
}

// predict returns the expected output tokens and a cautious lower estimate. It
// looks at the workspace's own requests of the kind first, then at all.
func (l *lengths) predict(o Offer) (mean, least float64) {
	s, ok := l.stats[keyOf(o, o.Workspace)]
	if !ok {
		s, ok = l.stats[keyOf(o, "")]
	}
	if !ok {
		guess := firstGuess * float64(o.MaxTokens)
		if o.MaxTokens == 0 {
			guess = unknownOutput
		}
		return guess, 0
	}
	mean = s.mean
	if o.MaxTokens > 0 {
		mean = min(mean, float64(o.MaxTokens))
	}
	return mean, max(leastPart*mean, mean-cautiousDeviations*s.deviation)
}

// learn takes in a whole answer's length.
func (l *lengths) learn(o Offer, tokens int) {
	l.update(keyOf(o, o.Workspace), float64(tokens))
	l.update(keyOf(o, ""), float64(tokens))
}

func (l *lengths) update(k lengthKey, tokens float64) {
	s, ok := l.stats[k]
	if !ok && len(l.stats) >= maxLengthKeys {
		clear(l.stats)
	}
	s.seen++
	gain := max(lengthGain, 1/s.seen)
	s.deviation += gain * (math.Abs(tokens-s.mean) - s.deviation)
	if s.seen == 1 {
		s.deviation = 0
	}
	s.mean += gain * (tokens - s.mean)
	l.stats[k] = s
}

// predictWork fills in what is expected of a new request.
func (d *Dispatcher) predictWork(now time.Duration, r *request) {
	r.output, r.least = d.lengths.predict(r.offer)
	if d.params.Plain {
		r.output, r.least = 0, 0
	}
	r.cost = max(1, float64(r.offer.PromptTokens)+outputCost*r.output)
	if d.meanCost == 0 {
		d.meanCost = r.cost
	}
	d.meanCost += costGain * (r.cost - d.meanCost)
	r.class = long
	if r.cost <= shortPart*d.meanCost && !d.params.ByArrival {
		r.class = short
		d.lastShort = now
		d.seenShort = true
	}
	service := d.pool.service(float64(r.offer.PromptTokens), r.output)
	aging := min(agingFactor*service, maxAging)
	r.key = r.arrived
	if !d.params.ByArrival {
		r.key += aging
	}
	r.doomAt = r.offer.Deadline - d.fastest.service(0, r.least)
}

// seconds turns a number of seconds into a duration, at most a year.
func seconds(s float64) time.Duration {
	const year = 365 * 24 * 3600
	return time.Duration(min(s, year) * float64(time.Second))
}
