package standin

import (
	"encoding/json"
	"net/http"
	"slices"

	"github.com/verbenastep/verbenastep/api/upstream"
)

// defaultCacheBlocks is the capacity of a runner's cache in prompt blocks.
const defaultCacheBlocks = 4096

// maxPendingEvents bounds the cache events that wait to be announced. Older
// events are dropped, which leaves a gap in the sequence.
const maxPendingEvents = 256

// cache holds hashes of prompt blocks and evicts the least recently used.
// Callers must hold the runner's lock.
type cache struct {
	maxBlocks     int
	blocks        []uint64
	sequence      uint64
	pendingEvents []upstream.CacheEvent
}

func newCache(limit int) cache { return cache{maxBlocks: limit} }

// lookupAndStore returns how many of the leading blocks were cached. It stores all
// blocks and evicts the least recently used.
func (c *cache) lookupAndStore(blocks []uint64) int {
	hit := 0
	for hit < len(blocks) && slices.Contains(c.blocks, blocks[hit]) {
		hit++
	}
	missing := slices.Clone(blocks[hit:])
	c.blocks = slices.DeleteFunc(c.blocks, func(b uint64) bool { return slices.Contains(blocks, b) })
	c.blocks = append(c.blocks, blocks...)
	if len(missing) > 0 {
		c.publish(false, missing)
	}
	if excess := len(c.blocks) - c.maxBlocks; excess > 0 {
		c.publish(true, slices.Clone(c.blocks[:excess]))
		c.blocks = slices.Clone(c.blocks[excess:])
	}
	return hit
}

func (c *cache) publish(evicted bool, blocks []uint64) {
	c.sequence++
	c.pendingEvents = append(c.pendingEvents, upstream.CacheEvent{Sequence: c.sequence, Evicted: evicted, Blocks: blocks})
	if len(c.pendingEvents) > maxPendingEvents {
		c.pendingEvents = slices.Clone(c.pendingEvents[1:])
	}
}

func (c *cache) takeEvents() []upstream.CacheEvent {
	out := c.pendingEvents
	c.pendingEvents = nil
	return out
}

// handleOrder executes a load, an unload or a change of role immediately. An
// order whose fence is lower than the last one is refused.
func (r *Runner) handleOrder(w http.ResponseWriter, req *http.Request) {
	o := upstream.Order{}
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		http.Error(w, "malformed order", http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.faultPlan.IgnoreFences {
		if o.Fence < r.lastFence {
			http.Error(w, "the fence is old", http.StatusConflict)
			return
		}
		r.lastFence = o.Fence
	}
	switch o.Action {
	case upstream.Load:
		r.loaded[o.Target] = o.Version
	case upstream.Unload:
		delete(r.loaded, o.Target)
	case upstream.Role:
	default:
		http.Error(w, "unknown action", http.StatusBadRequest)
		return
	}
	writeReply(w, upstream.OrderReply{Fence: r.lastFence, Done: true})
}

// LoadedVersion returns the loaded version of a model or adapter.
func (r *Runner) LoadedVersion(target string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v, ok := r.loaded[target]
	return v, ok
}

// handleExport returns the state of a running stream and ends the stream on
// this runner.
func (r *Runner) handleExport(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	x, ok := r.streams[req.PathValue("stream")]
	ok = ok && !x.hasEnded && x.tokenCount > 0
	if !ok {
		r.mu.Unlock()
		http.Error(w, "no such stream is running", http.StatusNotFound)
		return
	}
	e := upstream.Export{Start: x.start, Offset: x.textBytes, Tokens: x.tokenCount, PromptTokens: len(x.start.Prompt)/4 + 1, KV: []byte(x.start.Prompt)}
	x.hasEnded = true
	close(x.frameAdded)
	x.frameAdded = make(chan struct{})
	delete(r.streams, req.PathValue("stream"))
	r.mu.Unlock()
	x.cancel()
	writeReply(w, e)
}

// handleImport continues a stream that another runner exported.
func (r *Runner) handleImport(w http.ResponseWriter, req *http.Request) {
	e := upstream.Export{}
	if err := json.NewDecoder(req.Body).Decode(&e); err != nil || e.Start.Stream == "" {
		http.Error(w, "malformed export", http.StatusBadRequest)
		return
	}
	if r.currentPlan().Fault == Refuse {
		http.Error(w, "no room", http.StatusTooManyRequests)
		return
	}
	if string(e.KV) != e.Start.Prompt {
		http.Error(w, "the cache does not fit the prompt", http.StatusUnprocessableEntity)
		return
	}
	if _, fresh := r.startStream(e.Start, e.Offset, e.Tokens, e.PromptTokens); !fresh {
		http.Error(w, "stream exists", http.StatusConflict)
		return
	}
	writeReply(w, struct{}{})
}

func writeReply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
