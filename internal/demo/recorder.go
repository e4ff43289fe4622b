package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/internal/standin"
)

// requestID identifies a request including its resends.
type requestID struct {
	workspace string
	key       string
}

// recorder collects the events of daemons, stand-ins and callers with the times
// of one clock, in the order in which they were recorded. It is safe for
// concurrent use.
type recorder struct {
	start time.Time

	mu              sync.Mutex
	events          []promise.Event
	streamByRequest map[requestID]string
	requestByStream map[string]requestID
	prefill         prefillTracker
}

func newRecorder() *recorder {
	return &recorder{
		start: time.Now(), streamByRequest: map[requestID]string{}, requestByStream: map[string]requestID{},
		prefill: prefillTracker{processedTokens: map[string]int{}, repeatedTokens: map[string]int{}, heldBlocks: map[string]map[uint64]bool{}},
	}
}

// record adds an event with the time since the recorder's start. This replaces
// the time that a daemon set, which counts from the daemon's own start.
func (r *recorder) record(e promise.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = time.Since(r.start)
	id := requestID{workspace: e.Workspace, key: e.Key}
	if e.Kind == promise.Dispatch {
		r.streamByRequest[id] = e.Stream
		r.requestByStream[e.Stream] = id
	}
	if e.Kind == promise.Answer && e.Stream == "" {
		e.Stream = r.streamByRequest[id]
	}
	r.events = append(r.events, e)
}

// recordExecution records a stand-in's answer as an event, and its prefill for
// prefillTotals.
func (r *recorder) recordExecution(x standin.Execution) {
	if x.Text != "" {
		r.record(promise.Event{Kind: promise.Execute, Upstream: x.Upstream, Stream: x.Stream, SentHash: hash(x.Text)})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prefill.add(x)
}

// forgetUpstream drops the prompt blocks that a killed upstream held.
func (r *recorder) forgetUpstream(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.prefill.heldBlocks, upstream)
}

// recorded returns a copy of the events recorded so far.
func (r *recorder) recorded() []promise.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]promise.Event{}, r.events...)
}

// prefillTotals counts prompt tokens: total is all that were processed, lost those
// of requests without a complete answer, and repeated those of the other requests
// that another live upstream held.
func (r *recorder) prefillTotals(completed map[requestID]bool) (total, lost, repeated int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for stream, tokens := range r.prefill.processedTokens {
		total += tokens
		if !completed[r.requestByStream[stream]] {
			lost += tokens
			continue
		}
		repeated += r.prefill.repeatedTokens[stream]
	}
	return total, lost, repeated
}

// prefillTracker tracks which prompt blocks each upstream holds.
type prefillTracker struct {
	// processedTokens counts processed prompt tokens by stream.
	processedTokens map[string]int
	// repeatedTokens counts those of them that another live upstream held.
	repeatedTokens map[string]int
	// heldBlocks holds the prompt blocks of each live upstream.
	heldBlocks map[string]map[uint64]bool
}

// add counts an execution's prefill and adds its blocks to its upstream.
func (p *prefillTracker) add(x standin.Execution) {
	p.processedTokens[x.Stream] += x.Prefill
	if len(x.Blocks) > 0 {
		longest := 0
		for _, held := range p.heldBlocks {
			longest = max(longest, heldPrefixLength(held, x.Blocks))
		}
		perBlock := (x.Prefill + x.Cached) / len(x.Blocks)
		p.repeatedTokens[x.Stream] += min(x.Prefill, max(0, longest*perBlock-x.Cached))
	}
	own := p.heldBlocks[x.Upstream]
	if own == nil {
		own = map[uint64]bool{}
		p.heldBlocks[x.Upstream] = own
	}
	for _, b := range x.Blocks {
		own[b] = true
	}
}

// heldPrefixLength returns how many leading blocks are held.
func heldPrefixLength(held map[uint64]bool, blocks []uint64) int {
	for i, b := range blocks {
		if !held[b] {
			return i
		}
	}
	return len(blocks)
}

// hash returns the hex SHA-256 of an answer's text.
func hash(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}
