package standin

import (
	"encoding/json"
	"net/http"
	"slices"

	"github.com/verbenastep/verbenastep/api/upstream"
)

// defaultCacheBlocks is how many prompt blocks a runner caches.
const defaultCacheBlocks = 4096

// maxEvents is how many cache events wait to be announced; older ones are lost,
// which leaves a gap in the sequence.
const maxEvents = 256

// cache holds prompt blocks, the longest unused of which go first.
type cache struct {
	limit    int
	blocks   []uint64
	sequence uint64
	events   []upstream.CacheEvent
}

func newCache(limit int) cache { return cache{limit: limit} }

// use returns how many leading blocks were cached, and caches all.
func (c *cache) use(blocks []uint64) int {
	hit := 0
	for hit < len(blocks) && slices.Contains(c.blocks, blocks[hit]) {
		hit++
	}
	fresh := slices.Clone(blocks[hit:])
	c.blocks = slices.DeleteFunc(c.blocks, func(b uint64) bool { return slices.Contains(blocks, b) })
	c.blocks = append(c.blocks, blocks...)
	if len(fresh) > 0 {
		c.publish(false, fresh)
	}
	if over := len(c.blocks) - c.limit; over > 0 {
		c.publish(true, slices.Clone(c.blocks[:over]))
		c.blocks = slices.Clone(c.blocks[over:])
	}
	return hit
}

func (c *cache) publish(evicted bool, blocks []uint64) {
	c.sequence++
	c.events = append(c.events, upstream.CacheEvent{Sequence: c.sequence, Evicted: evicted, Blocks: blocks})
	if len(c.events) > maxEvents {
		c.events = slices.Clone(c.events[1:])
	}
}

func (c *cache) take() []upstream.CacheEvent {
	out := c.events
	c.events = nil
	return out
}

// order carries out loads, unloads and changes of role at once.
func (r *Runner) order(w http.ResponseWriter, req *http.Request) {
	o := upstream.Order{}
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		http.Error(w, "malformed order", http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.plan.IgnoreFences {
		if o.Fence < r.fence {
			http.Error(w, "the fence is old", http.StatusConflict)
			return
		}
		r.fence = o.Fence
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
	reply(w, upstream.OrderReply{Fence: r.fence, Done: true})
}

// Loaded returns the version that is loaded of a model or adapter.
func (r *Runner) Loaded(target string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v, ok := r.loaded[target]
	return v, ok
}

// export hands a running stream out and ends it here.
func (r *Runner) export(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	x, ok := r.runs[req.PathValue("stream")]
	ok = ok && !x.ended && x.tokens > 0
	if !ok {
		r.mu.Unlock()
		http.Error(w, "no such stream is running", http.StatusNotFound)
		return
	}
	e := upstream.Export{Start: x.start, Offset: x.length, Tokens: x.tokens, PromptTokens: len(x.start.Prompt)/4 + 1, KV: []byte(x.start.Prompt)}
	x.ended = true
	close(x.changed)
	x.changed = make(chan struct{})
	delete(r.runs, req.PathValue("stream"))
	r.mu.Unlock()
	x.cancel()
	reply(w, e)
}

// importStream goes on with another runner's stream.
func (r *Runner) importStream(w http.ResponseWriter, req *http.Request) {
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
	if _, fresh := r.begin(e.Start, e.Offset, e.Tokens, e.PromptTokens); !fresh {
		http.Error(w, "stream exists", http.StatusConflict)
		return
	}
	reply(w, struct{}{})
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
