package schedbench

import (
	"container/list"
	"time"
)

// prefillSlowdown is the factor on the decode time per token while a prefill
// runs on the same engine.
const prefillSlowdown = 1.5

// stream is a job on an engine.
type stream struct {
	job *job
	// prefillTokens and outputTokens are the tokens that remain to be processed.
	prefillTokens float64
	outputTokens  float64
}

// engine models a runner with continuous batching, serial prefill and a prefix
// cache. Its times are in seconds of virtual time.
type engine struct {
	id   int
	spec engineSpec
	// slowdown divides the engine's speed; 1 is full speed.
	slowdown   float64
	now        float64
	waiting    []*stream
	prefilling []*stream
	decoding   []*stream
	cache      *lru
	// scheduleVersion invalidates completion events scheduled for an earlier
	// state of the engine.
	scheduleVersion int
	// unpublishedEvictions are evicted blocks not yet sent as cache events.
	unpublishedEvictions []uint64
}

func newEngine(id int, spec engineSpec) *engine {
	return &engine{id: id, spec: spec, slowdown: 1, cache: newLRU(spec.cacheBlocks)}
}

// outstanding returns the number of jobs waiting or running on the engine.
func (e *engine) outstanding() int {
	return len(e.waiting) + len(e.prefilling) + len(e.decoding)
}

// running returns the number of jobs in the batch.
func (e *engine) running() int { return len(e.prefilling) + len(e.decoding) }

// tokenTime returns the current decode time per token of each stream, in
// seconds.
func (e *engine) tokenTime() float64 {
	n := float64(len(e.decoding))
	t := e.spec.secondsPerToken * (1 + (n-1)/e.spec.knee) * e.slowdown
	if len(e.prefilling) > 0 {
		t *= prefillSlowdown
	}
	return t
}

// advance processes work up to a time in seconds. No prefill or answer may end
// before that time; see nextEnd.
func (e *engine) advance(to float64) {
	elapsed := to - e.now
	e.now = to
	if elapsed <= 0 {
		return
	}
	if len(e.decoding) > 0 {
		processed := elapsed / e.tokenTime()
		for _, s := range e.decoding {
			s.outputTokens -= processed
		}
	}
	if len(e.prefilling) > 0 {
		s := e.prefilling[0]
		processed := min(s.prefillTokens, elapsed*e.spec.prefillTokensPerSecond/e.slowdown)
		s.prefillTokens -= processed
		s.job.prefillComputed += processed
	}
}

// nextEnd returns the seconds until the next prefill or answer ends, and false
// if the engine is idle.
func (e *engine) nextEnd() (float64, bool) {
	soonest, found := 0.0, false
	if len(e.prefilling) > 0 {
		soonest, found = e.prefilling[0].prefillTokens*e.slowdown/e.spec.prefillTokensPerSecond, true
	}
	if len(e.decoding) > 0 {
		fewest := e.decoding[0].outputTokens
		for _, s := range e.decoding {
			fewest = min(fewest, s.outputTokens)
		}
		t := max(0, fewest) * e.tokenTime()
		if !found || t < soonest {
			soonest, found = t, true
		}
	}
	return soonest, found
}

// add queues a job on the engine and admits it if the batch has room.
func (e *engine) add(j *job) {
	s := &stream{job: j, outputTokens: float64(j.outputTokens)}
	j.stream = s
	e.waiting = append(e.waiting, s)
	e.admit()
}

// admit moves waiting jobs into the batch in FIFO order while it has room, and
// updates the prefix cache with their blocks.
func (e *engine) admit() {
	for len(e.waiting) > 0 && e.running() < e.spec.maxBatch {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		j := s.job
		j.cachedTokens = min(j.promptTokens-1, e.cache.prefixLength(j.blocks)*blockTokens)
		e.unpublishedEvictions = append(e.unpublishedEvictions, e.cache.touch(j.blocks)...)
		s.prefillTokens = float64(j.promptTokens - j.cachedTokens)
		j.startedAt = toDuration(e.now)
		e.prefilling = append(e.prefilling, s)
	}
}

// epsilon is the number of remaining tokens that counts as none.
const epsilon = 1e-9

// completeDue moves streams whose prefill has ended to decoding, removes those
// whose answer has ended, and returns the jobs of the latter.
func (e *engine) completeDue() []*job {
	for len(e.prefilling) > 0 && e.prefilling[0].prefillTokens <= epsilon {
		s := e.prefilling[0]
		e.prefilling = e.prefilling[1:]
		s.job.firstTokenAt = toDuration(e.now)
		e.decoding = append(e.decoding, s)
	}
	done := []*job{}
	kept := e.decoding[:0]
	for _, s := range e.decoding {
		if s.outputTokens <= epsilon {
			done = append(done, s.job)
		} else {
			kept = append(kept, s)
		}
	}
	e.decoding = kept
	e.admit()
	return done
}

// cancel removes a job from the queue or the batch.
func (e *engine) cancel(j *job) {
	e.waiting = removeStream(e.waiting, j.stream)
	e.prefilling = removeStream(e.prefilling, j.stream)
	e.decoding = removeStream(e.decoding, j.stream)
	e.admit()
}

func removeStream(in []*stream, s *stream) []*stream {
	out := in[:0]
	for _, x := range in {
		if x != s {
			out = append(out, x)
		}
	}
	return out
}

// toDuration converts seconds of virtual time.
func toDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// lru is an engine's prefix cache with least-recently-used eviction.
type lru struct {
	capacity int
	order    *list.List
	items    map[uint64]*list.Element
}

func newLRU(capacity int) *lru {
	return &lru{capacity: capacity, order: list.New(), items: map[uint64]*list.Element{}}
}

// prefixLength returns how many leading blocks are in the cache.
func (c *lru) prefixLength(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := c.items[b]; !ok {
			return i
		}
	}
	return len(blocks)
}

// touch marks blocks as recently used and returns the evicted ones. It goes from
// the last block to the first, so that the tail of a prefix is evicted before
// its head.
func (c *lru) touch(blocks []uint64) []uint64 {
	evictions := []uint64{}
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if x, ok := c.items[b]; ok {
			c.order.MoveToFront(x)
			continue
		}
		c.items[b] = c.order.PushFront(b)
		if c.order.Len() > c.capacity {
			last := c.order.Back()
			evicted := c.order.Remove(last).(uint64)
			delete(c.items, evicted)
			evictions = append(evictions, evicted)
		}
	}
	return evictions
}
