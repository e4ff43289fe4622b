package schedbench

import (
	"container/list"
	"time"
)

// prefillSlowdown is how much slower decoding goes while a prefill runs.
const prefillSlowdown = 1.5

// stream is a job on an engine.
type stream struct {
	job *job
	// prefill and tokens are what is left, in tokens.
	prefill float64
	tokens  float64
}

// engine models a runner. Times are seconds of virtual time.
type engine struct {
	id   int
	spec engineSpec
	// slow divides its speed.
	slow    float64
	at      float64
	waiting []*stream
	filling []*stream
	decode  []*stream
	cache   *lru
	// version makes events of an earlier state void.
	version int
	// sequence numbers the cache events; evicted are those not yet published.
	evicted []uint64
}

func newEngine(id int, spec engineSpec) *engine {
	return &engine{id: id, spec: spec, slow: 1, cache: newLRU(spec.blocks)}
}

// outstanding is how many requests the engine has.
func (e *engine) outstanding() int {
	return len(e.waiting) + len(e.filling) + len(e.decode)
}

func (e *engine) running() int { return len(e.filling) + len(e.decode) }

// tokenTime is the seconds per token of each stream now.
func (e *engine) tokenTime() float64 {
	n := float64(len(e.decode))
	t := e.spec.token * (1 + (n-1)/e.spec.knee) * e.slow
	if len(e.filling) > 0 {
		t *= prefillSlowdown
	}
	return t
}

// advance moves the engine's time on; nothing ends before it.
func (e *engine) advance(to float64) {
	span := to - e.at
	e.at = to
	if span <= 0 {
		return
	}
	if len(e.decode) > 0 {
		done := span / e.tokenTime()
		for _, s := range e.decode {
			s.tokens -= done
		}
	}
	if len(e.filling) > 0 {
		s := e.filling[0]
		done := min(s.prefill, span*e.spec.prefill/e.slow)
		s.prefill -= done
		s.job.computed += done
	}
}

// next returns when a prefill or an answer ends, in seconds from now.
func (e *engine) next() (float64, bool) {
	best, found := 0.0, false
	if len(e.filling) > 0 {
		best, found = e.filling[0].prefill*e.slow/e.spec.prefill, true
	}
	if len(e.decode) > 0 {
		least := e.decode[0].tokens
		for _, s := range e.decode {
			least = min(least, s.tokens)
		}
		t := max(0, least) * e.tokenTime()
		if !found || t < best {
			best, found = t, true
		}
	}
	return best, found
}

// add takes a job; it waits in the engine where the batch is full.
func (e *engine) add(j *job) {
	s := &stream{job: j, tokens: float64(j.output)}
	j.stream = s
	e.waiting = append(e.waiting, s)
	e.admit()
}

// admit fills the batch, first come first served.
func (e *engine) admit() {
	for len(e.waiting) > 0 && e.running() < e.spec.slots {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		j := s.job
		j.cached = min(j.prompt-1, e.cache.matched(j.blocks)*blockTokens)
		e.evicted = append(e.evicted, e.cache.use(j.blocks)...)
		s.prefill = float64(j.prompt - j.cached)
		j.started = at(e.at)
		e.filling = append(e.filling, s)
	}
}

const tiny = 1e-9

// settle moves on what ended and returns the finished jobs.
func (e *engine) settle() []*job {
	for len(e.filling) > 0 && e.filling[0].prefill <= tiny {
		s := e.filling[0]
		e.filling = e.filling[1:]
		s.job.first = at(e.at)
		e.decode = append(e.decode, s)
	}
	done := []*job{}
	kept := e.decode[:0]
	for _, s := range e.decode {
		if s.tokens <= tiny {
			done = append(done, s.job)
		} else {
			kept = append(kept, s)
		}
	}
	e.decode = kept
	e.admit()
	return done
}

// cancel ends a job wherever it is.
func (e *engine) cancel(j *job) {
	e.waiting = without(e.waiting, j.stream)
	e.filling = without(e.filling, j.stream)
	e.decode = without(e.decode, j.stream)
	e.admit()
}

func without(in []*stream, s *stream) []*stream {
	out := in[:0]
	for _, x := range in {
		if x != s {
			out = append(out, x)
		}
	}
	return out
}

func at(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// lru is an engine's prefix cache.
type lru struct {
	size  int
	order *list.List
	items map[uint64]*list.Element
}

func newLRU(size int) *lru {
	return &lru{size: size, order: list.New(), items: map[uint64]*list.Element{}}
}

func (c *lru) matched(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := c.items[b]; !ok {
			return i
		}
	}
	return len(blocks)
}

// use makes blocks the most recent, the first one last, and returns what was
// pushed out.
func (c *lru) use(blocks []uint64) []uint64 {
	out := []uint64{}
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if x, ok := c.items[b]; ok {
			c.order.MoveToFront(x)
			continue
		}
		c.items[b] = c.order.PushFront(b)
		if c.order.Len() > c.size {
			last := c.order.Back()
			gone := c.order.Remove(last).(uint64)
			delete(c.items, gone)
			out = append(out, gone)
		}
	}
	return out
}
