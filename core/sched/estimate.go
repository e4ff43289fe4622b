package sched

import (
	"math"
	"math/bits"
	"time"
)

const (
	// lengthGain is the weight of a new answer length in the moving averages.
	lengthGain = 0.2
	// cautiousDeviations is the number of mean deviations by which the cautious
	// estimate is below the mean.
	cautiousDeviations = 2
	// minMeanRatio is the lower bound of the cautious estimate, as a fraction
	// of the mean.
	minMeanRatio = 0.25
	// maxLengthKeys bounds the kinds of request with separate statistics.
	maxLengthKeys = 4096
	// initialLengthRatio is the assumed answer length before any was seen, as a
	// fraction of the request's max_tokens.
	initialLengthRatio = 0.5
	// defaultOutputTokens is the assumed answer length, in tokens, of a request
	// without max_tokens before any answer was seen.
	defaultOutputTokens = 256
	// shortCostRatio is the maximum cost of a short request, as a fraction of
	// the average cost.
	shortCostRatio = 0.25
	// costGain is the weight of a new request in the average cost.
	costGain = 0.02
)

// lengthKey identifies a kind of request. Sizes are grouped by powers of two.
type lengthKey struct {
	workspace string
	operation string
	prompt    uint8
	maxTokens uint8
}

// lengthStat holds the moving averages of answer lengths of one kind of
// request, in tokens.
type lengthStat struct {
	samples   float64
	mean      float64
	deviation float64
}

// lengthPredictor predicts the output tokens of requests from earlier answers.
type lengthPredictor struct {
	stats map[lengthKey]lengthStat
}

func lengthKeyOf(o Offer, workspace string) lengthKey {
	return lengthKey{
		workspace: workspace, operation: o.Operation,
		prompt: uint8(bits.Len(uint(o.PromptTokens))), maxTokens: uint8(bits.Len(uint(o.MaxTokens))),
	}
}

// predict returns the expected output tokens and a cautious lower estimate. It
// uses the statistics of the workspace's own requests of this kind, or else
// those of all workspaces.
func (l *lengthPredictor) predict(o Offer) (mean, cautious float64) {
	s, ok := l.stats[lengthKeyOf(o, o.Workspace)]
	if !ok {
		s, ok = l.stats[lengthKeyOf(o, "")]
	}
	if !ok {
		initial := initialLengthRatio * float64(o.MaxTokens)
		if o.MaxTokens == 0 {
			initial = defaultOutputTokens
		}
		return initial, 0
	}
	mean = s.mean
	if o.MaxTokens > 0 {
		mean = min(mean, float64(o.MaxTokens))
	}
	return mean, max(minMeanRatio*mean, mean-cautiousDeviations*s.deviation)
}

// learn records the length of a complete answer, in tokens.
func (l *lengthPredictor) learn(o Offer, tokens int) {
	l.update(lengthKeyOf(o, o.Workspace), float64(tokens))
	l.update(lengthKeyOf(o, ""), float64(tokens))
}

func (l *lengthPredictor) update(k lengthKey, tokens float64) {
	s, ok := l.stats[k]
	if !ok && len(l.stats) >= maxLengthKeys {
		clear(l.stats)
	}
	s.samples++
	gain := max(lengthGain, 1/s.samples)
	s.deviation += gain * (math.Abs(tokens-s.mean) - s.deviation)
	if s.samples == 1 {
		s.deviation = 0
	}
	s.mean += gain * (tokens - s.mean)
	l.stats[k] = s
}

// predictWork sets the predicted output, cost, class, lane position and latest
// start of a new request.
func (d *Dispatcher) predictWork(now time.Duration, r *request) {
	r.output, r.cautiousOutput = d.lengths.predict(r.offer)
	if d.params.PlainService {
		r.output, r.cautiousOutput = 0, 0
	}
	r.cost = max(1, float64(r.offer.PromptTokens)+outputCost*r.output)
	if d.meanCost == 0 {
		d.meanCost = r.cost
	}
	d.meanCost += costGain * (r.cost - d.meanCost)
	r.class = long
	if r.cost <= shortCostRatio*d.meanCost && !d.params.ByArrival {
		r.class = short
		d.lastShort = now
		d.seenShort = true
	}
	service := d.poolSpeed.serviceTime(float64(r.offer.PromptTokens), r.output)
	aging := min(agingFactor*service, maxAging)
	r.laneKey = r.arrivedAt
	if !d.params.ByArrival {
		r.laneKey += aging
	}
	r.latestStart = r.offer.Deadline - d.fastest.serviceTime(0, r.cautiousOutput)
}

// seconds converts seconds to a duration, capped at one year.
func seconds(s float64) time.Duration {
	const year = 365 * 24 * 3600
	return time.Duration(min(s, year) * float64(time.Second))
}
