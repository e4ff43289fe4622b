package broker

import (
	"math"
	"time"
)

const (
	// firstTokenTime is the time for one output token before any was seen, in
	// seconds: that of a large model on current hardware.
	firstTokenTime = 0.007
	// firstReadTime is the time for one prompt token before any was seen, as a
	// part of the time for one output token.
	firstReadTime = 1.0 / 300
	// firstOverhead is the time from sending to the first event without any
	// prompt, in output tokens.
	firstOverhead = 15
	// firstCallTime is the time of a plain call before any was seen, in seconds.
	firstCallTime = 0.06
	// gain is the weight of the newest observation of one upstream; poolGain
	// that of a pool's.
	gain     = 0.2
	poolGain = 0.02
	// leastRead is the shortest prompt from which reading speed is learned, in
	// tokens: of shorter ones the overhead is most of the time.
	leastRead = 1500
	// minTokens is the shortest answer from which the time per token is learned.
	minTokens = 8
)

// costs are what a pool's requests take on an upstream of speed 1, in units of
// the time per output token.
type costs struct {
	// token is the pool's mean time per output token, call that of a plain
	// call, in seconds.
	token float64
	call  float64
	// read is the time per prompt token, overhead the time to the first event
	// of an empty prompt, both in times per output token.
	read     float64
	overhead float64
}

func newCosts() costs {
	return costs{token: firstTokenTime, call: firstCallTime, read: firstReadTime, overhead: firstOverhead}
}

// speed is what is learned of one upstream.
type speed struct {
	token float64
	call  float64
}

func blend(old, seen, g float64) float64 {
	if old == 0 {
		return seen
	}
	return old + g*(seen-old)
}

// tokenTime is an upstream's time per output token, in seconds.
func (p *pool) tokenTime(u *upstream) float64 {
	if u.speed.token == 0 {
		return p.cost.token
	}
	return u.speed.token
}

// callTime is how long a plain call takes on an upstream, in seconds.
func (p *pool) callTime(u *upstream) float64 {
	if u.speed.call == 0 {
		return p.cost.call
	}
	return u.speed.call
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// readTime is how long an upstream takes to read a request's prompt.
func (p *pool) readTime(w *work, u *upstream) time.Duration {
	if p.engine == nil {
		return 0
	}
	fresh := w.PromptTokens
	if u.sessions.has(w.Session) {
		fresh -= w.SessionTokens
	}
	return seconds(p.tokenTime(u) * p.cost.read * float64(max(0, fresh)))
}

// firstTime is how long the first event takes after the prompt is read.
func (p *pool) firstTime(u *upstream) time.Duration {
	if p.engine == nil {
		return seconds(p.callTime(u))
	}
	return seconds(p.tokenTime(u) * p.cost.overhead)
}

// decodeTime is how long the rest of the answer takes after the prompt is read.
func (p *pool) decodeTime(w *work, u *upstream) time.Duration {
	if p.engine == nil {
		return p.firstTime(u)
	}
	return seconds(p.tokenTime(u) * (p.cost.overhead + float64(w.OutputTokens)))
}

// slotTime is how long a request holds a slot of a typical upstream, in
// seconds.
func (p *pool) slotTime(w *work) float64 {
	if p.engine == nil {
		return p.cost.call
	}
	return p.cost.token * (p.cost.overhead + p.cost.read*float64(w.PromptTokens) + float64(w.OutputTokens))
}

// learn takes in how a request ended.
func (p *pool) learn(now time.Duration, w *work, e End) {
	u := w.at
	u.health.note(now, e.Outcome)
	if e.Outcome != Done {
		return
	}
	if p.engine == nil {
		u.speed.call = blend(u.speed.call, e.First.Seconds(), gain)
		p.cost.call = blend(p.cost.call, e.First.Seconds(), poolGain)
		return
	}
	if e.OutputTokens >= minTokens && e.Decode > 0 {
		token := e.Decode.Seconds() / float64(e.OutputTokens)
		u.speed.token = blend(u.speed.token, token, gain)
		p.cost.token = blend(p.cost.token, token, poolGain)
	}
	if !w.alone || u.speed.token == 0 || e.First <= 0 {
		return
	}
	p.learnFirst(w, e.First.Seconds()/u.speed.token, u.sessions.had(w.Session))
}

// learnFirst takes in the time to the first event of a prompt that was read
// alone, in times per output token.
func (p *pool) learnFirst(w *work, first float64, cached bool) {
	if cached {
		return
	}
	if w.PromptTokens < leastRead {
		rest := first - p.cost.read*float64(w.PromptTokens)
		p.cost.overhead = blend(p.cost.overhead, math.Max(1, rest), poolGain)
		return
	}
	read := (first - p.cost.overhead) / float64(w.PromptTokens)
	if read > 0 {
		p.cost.read = blend(p.cost.read, read, poolGain)
	}
}
