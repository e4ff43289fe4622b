package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/internal/standin"
)

// requestID is a request over all its resends.
type requestID struct {
	workspace string
	key       string
}

// recorder merges the events of daemons, stand-ins and callers on one clock,
// in the order in which they happened.
type recorder struct {
	began time.Time

	mu      sync.Mutex
	events  []promise.Event
	streams map[requestID]string
	owners  map[string]requestID
	prefill prefill
}

func newRecorder() *recorder {
	return &recorder{
		began: time.Now(), streams: map[requestID]string{}, owners: map[string]requestID{},
		prefill: prefill{tokens: map[string]int{}, repeated: map[string]int{}, held: map[string]map[uint64]bool{}},
	}
}

// record stamps an event; a daemon's own stamp is on another clock.
func (r *recorder) record(e promise.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = time.Since(r.began)
	id := requestID{workspace: e.Workspace, key: e.Key}
	if e.Kind == promise.Dispatch {
		r.streams[id] = e.Stream
		r.owners[e.Stream] = id
	}
	if e.Kind == promise.Answer && e.Stream == "" {
		e.Stream = r.streams[id]
	}
	r.events = append(r.events, e)
}

// execution records what a stand-in does.
func (r *recorder) execution(x standin.Execution) {
	if x.Text != "" {
		r.record(promise.Event{Kind: promise.Execute, Upstream: x.Upstream, Stream: x.Stream, SentHash: hash(x.Text)})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prefill.add(x)
}

// lose forgets what a dead upstream held.
func (r *recorder) lose(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.prefill.held, upstream)
}

// all returns the events so far.
func (r *recorder) all() []promise.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]promise.Event{}, r.events...)
}

// wasted returns the prompt tokens processed, those whose answer did not reach
// its caller whole, and of the others those that another live upstream held.
func (r *recorder) wasted(whole map[requestID]bool) (total, lost, repeated int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for stream, tokens := range r.prefill.tokens {
		total += tokens
		if !whole[r.owners[stream]] {
			lost += tokens
			continue
		}
		repeated += r.prefill.repeated[stream]
	}
	return total, lost, repeated
}

// prefill follows which prompt blocks each upstream holds.
type prefill struct {
	// tokens counts processed prompt tokens by stream.
	tokens map[string]int
	// repeated counts those of them that another live upstream held.
	repeated map[string]int
	held     map[string]map[uint64]bool
}

func (p *prefill) add(x standin.Execution) {
	p.tokens[x.Stream] += x.Prefill
	if len(x.Blocks) > 0 {
		best := 0
		for _, held := range p.held {
			best = max(best, leading(held, x.Blocks))
		}
		perBlock := (x.Prefill + x.Cached) / len(x.Blocks)
		p.repeated[x.Stream] += min(x.Prefill, max(0, best*perBlock-x.Cached))
	}
	mine := p.held[x.Upstream]
	if mine == nil {
		mine = map[uint64]bool{}
		p.held[x.Upstream] = mine
	}
	for _, b := range x.Blocks {
		mine[b] = true
	}
}

// leading counts the blocks held from the first on.
func leading(held map[uint64]bool, blocks []uint64) int {
	for i, b := range blocks {
		if !held[b] {
			return i
		}
	}
	return len(blocks)
}

// hash identifies an answer's text.
func hash(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}
