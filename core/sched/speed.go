package sched

import "time"

const (
	// speedGain is the weight of a new observation in an upstream's speed.
	speedGain = 0.2
	// poolGain is the weight of a new observation in the pool's average speed.
	poolGain = 0.05
	// batchKnee sets how the time per token grows with the batch size: it about
	// doubles from a single stream to a batch of batchKnee.
	batchKnee = 16
	// initialPrefillRate is the prefill speed assumed before any observation,
	// in tokens per second.
	initialPrefillRate = 4000
	// initialTokenSeconds is the time per output token of a single stream
	// assumed before any observation.
	initialTokenSeconds = 0.02
	// minOutputTokens is the minimum answer length from which the time per
	// token is learned.
	minOutputTokens = 4
	// minUncachedTokens is the minimum prefill, in tokens, from which the
	// prefill speed is learned.
	minUncachedTokens = 32
	// priorSamples is the weight of the pool's average in the blended speed of
	// an upstream, as a number of the upstream's own observations.
	priorSamples = 2
)

// speed holds the learned speed of an upstream or of the pool.
type speed struct {
	// prefill is in seconds per uncached prompt token.
	prefill        float64
	prefillSamples float64
	// token is in seconds per output token of a single stream.
	token        float64
	tokenSamples float64
	// call is the time of a plain service's call in seconds.
	call        float64
	callSamples float64
}

func newSpeed() speed {
	return speed{prefill: 1.0 / initialPrefillRate, token: initialTokenSeconds}
}

// perToken returns the seconds per output token in a batch of n streams.
func (s *speed) perToken(n int) float64 {
	return s.token * batchFactor(n)
}

func batchFactor(n int) float64 {
	return (batchKnee + float64(n)) / (batchKnee + 1)
}

// serviceTime returns the time of a request that runs alone.
func (s *speed) serviceTime(uncached, output float64) time.Duration {
	return seconds(s.prefill*uncached + s.token*output + s.call)
}

// maxSlowdown bounds the factor by which one observation may exceed the current
// average.
const maxSlowdown = 2

// updateBoundedAverage updates an average from an observation that may include
// waiting time.
func updateBoundedAverage(value, samples *float64, observed, gain float64) {
	updateAverage(value, samples, min(observed, maxSlowdown**value), gain)
}

func updateAverage(value, samples *float64, observed, gain float64) {
	*samples++
	g := max(gain, 1 / *samples)
	*value += g * (observed - *value)
}

// observation holds the measurements of a completed request.
type observation struct {
	uncached float64
	prefill  time.Duration
	// prefillAlone reports whether no other prefill was pending when this one
	// began.
	prefillAlone bool
	tokens       int
	decode       time.Duration
	// batchSize is the average number of streams in the batch.
	batchSize int
}

// observe learns from one request and returns the time per token that a single
// stream would have had, in seconds, or zero where the request shows none.
func (s *speed) observe(o observation, gain float64) float64 {
	if o.prefillAlone && o.uncached >= minUncachedTokens && o.prefill > 0 {
		updateBoundedAverage(&s.prefill, &s.prefillSamples, o.prefill.Seconds()/o.uncached, gain)
	}
	if o.tokens < minOutputTokens || o.decode <= 0 {
		return 0
	}
	single := o.decode.Seconds() / float64(o.tokens-1) / batchFactor(o.batchSize)
	updateAverage(&s.token, &s.tokenSamples, single, gain)
	return single
}

// blend returns an upstream's speed averaged with the pool's, which counts as
// priorSamples observations.
func blend(own, pool *speed) speed {
	return speed{
		prefill: weightedAverage(own.prefill, own.prefillSamples, pool.prefill),
		token:   weightedAverage(own.token, own.tokenSamples, pool.token),
		call:    weightedAverage(own.call, own.callSamples, pool.call),
	}
}

func weightedAverage(own, samples, pool float64) float64 {
	return (own*samples + pool*priorSamples) / (samples + priorSamples)
}
