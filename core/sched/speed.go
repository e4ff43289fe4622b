package sched

import "time"

const (
	// speedGain is the weight of a new observation of an upstream's speed.
	speedGain = 0.2
	// poolGain is the same for the pool's average.
	poolGain = 0.05
	// batchKnee is the batch at which an engine's time per token has doubled
	// against a single stream's.
	batchKnee = 16
	// firstPrefill is the assumed speed before any was seen, in tokens a second.
	firstPrefill = 4000
	// firstToken is the assumed time per output token of a single stream.
	firstToken = 0.02
	// minTokens is the shortest answer whose time per token is learned from.
	minTokens = 4
	// minUncached is the smallest prefill that is learned from, in tokens.
	minUncached = 32
	// priorSamples is how many observations the pool's average counts for in
	// the speed of an upstream that has shown little.
	priorSamples = 2
)

// speed is a learned speed, of one upstream or of the pool.
type speed struct {
	// prefill is in seconds per uncached prompt token.
	prefill     float64
	prefillSeen float64
	// token is in seconds per output token of a single stream.
	token     float64
	tokenSeen float64
	// call is a plain service's time in seconds.
	call     float64
	callSeen float64
}

func newSpeed() speed {
	return speed{prefill: 1.0 / firstPrefill, token: firstToken}
}

// perToken returns the seconds per output token in a batch of n streams.
func (s *speed) perToken(n int) float64 {
	return s.token * batchFactor(n)
}

func batchFactor(n int) float64 {
	return (batchKnee + float64(n)) / (batchKnee + 1)
}

// service returns the time of a request that runs alone.
func (s *speed) service(uncached, output float64) time.Duration {
	return seconds(s.prefill*uncached + s.token*output + s.call)
}

// maxSlowdown bounds how far one observation may raise a time.
const maxSlowdown = 2

// learnBounded learns a time that waiting may have lengthened.
func learnBounded(value, seen *float64, x, gain float64) {
	learn(value, seen, min(x, maxSlowdown**value), gain)
}

func learn(value, seen *float64, x, gain float64) {
	*seen++
	g := max(gain, 1 / *seen)
	*value += g * (x - *value)
}

// observation is what a finished request tells of its upstream.
type observation struct {
	uncached float64
	prefill  time.Duration
	// clean says that no other prefill ran before this one.
	clean  bool
	tokens int
	decode time.Duration
	// beside is the average number of streams in the batch.
	beside int
}

// observe learns from one request and returns the time per token of a single
// stream, or zero where it showed none.
func (s *speed) observe(o observation, gain float64) float64 {
	if o.clean && o.uncached >= minUncached && o.prefill > 0 {
		learnBounded(&s.prefill, &s.prefillSeen, o.prefill.Seconds()/o.uncached, gain)
	}
	if o.tokens < minTokens || o.decode <= 0 {
		return 0
	}
	single := o.decode.Seconds() / float64(o.tokens-1) / batchFactor(o.beside)
	learn(&s.token, &s.tokenSeen, single, gain)
	return single
}

// blend returns an upstream's speed, the pool's counting for what the upstream
// has not shown yet.
func blend(own, pool *speed) speed {
	return speed{
		prefill: mix(own.prefill, own.prefillSeen, pool.prefill),
		token:   mix(own.token, own.tokenSeen, pool.token),
		call:    mix(own.call, own.callSeen, pool.call),
	}
}

func mix(own, seen, pool float64) float64 {
	return (own*seen + pool*priorSamples) / (seen + priorSamples)
}
