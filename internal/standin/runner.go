// Package standin emulates upstreams: runners that batch continuously and
// cache prompt prefixes, and plain services. It speaks the published protocol
// and knows nothing of the daemons' code.
package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/verbenastep/verbenastep/api/upstream"
)

// Speed is how fast a runner works.
type Speed struct {
	// PrefillPerSecond is prompt tokens a second.
	PrefillPerSecond float64
	// DecodePerSecond is output tokens a second for one stream.
	DecodePerSecond float64
}

// run is one stream, kept after its end so that it can be resumed.
type run struct {
	frames  []upstream.Frame
	length  int64
	ended   bool
	changed chan struct{}
	cancel  context.CancelFunc
}

// Runner emulates an engine.
type Runner struct {
	// Self is what it announces.
	Self  upstream.Announcement
	Speed Speed
	// Observe, where set before Listen, hears of each execution; it must not
	// block.
	Observe func(Execution)

	mu     sync.Mutex
	runs   map[string]*run
	cached map[uint64]bool
	// Executions counts how often each stream was started.
	executions map[string]int
	server     *http.Server
	slots      chan struct{}
}

// NewRunner returns a runner that does not listen yet.
func NewRunner(self upstream.Announcement, speed Speed) *Runner {
	return &Runner{
		Self: self, Speed: speed, runs: map[string]*run{}, cached: map[uint64]bool{},
		executions: map[string]int{}, slots: make(chan struct{}, self.Slots),
	}
}

// Listen serves on the announced address; a port of zero is replaced by the
// one that was given.
func (r *Runner) Listen() error {
	ln, err := net.Listen("tcp", r.Self.Address)
	if err != nil {
		return err
	}
	r.Self.Address = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+upstream.PathStreams, r.start)
	mux.HandleFunc("GET "+upstream.PathStreams+"/{stream}", r.resume)
	mux.HandleFunc("DELETE "+upstream.PathStreams+"/{stream}", r.cancel)
	r.server = &http.Server{Handler: mux}
	go func() { _ = r.server.Serve(ln) }()
	return nil
}

// Close ends the runner as a crash would.
func (r *Runner) Close() {
	_ = r.server.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.runs {
		x.cancel()
	}
}

// Executions returns how often each stream was started.
func (r *Runner) Executions() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]int{}
	for k, n := range r.executions {
		out[k] = n
	}
	return out
}

func (r *Runner) start(w http.ResponseWriter, req *http.Request) {
	s := upstream.Start{}
	if err := json.NewDecoder(req.Body).Decode(&s); err != nil || s.Stream == "" {
		http.Error(w, "malformed start", http.StatusBadRequest)
		return
	}
	x, fresh := r.begin(s)
	if !fresh {
		http.Error(w, "stream exists", http.StatusConflict)
		return
	}
	r.follow(w, req, x, 0)
}

func (r *Runner) begin(s upstream.Start) (*run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x, ok := r.runs[s.Stream]; ok {
		return x, false
	}
	ctx, cancel := context.WithCancel(context.Background())
	x := &run{changed: make(chan struct{}), cancel: cancel}
	r.runs[s.Stream] = x
	r.executions[s.Stream]++
	observe(r.Observe, Execution{Upstream: r.Self.Name, Stream: s.Stream, Text: strings.Join(answerWords(s), ""), Blocks: s.Blocks})
	go r.generate(ctx, s, x)
	return x, true
}

// generate emulates prefill, then one word a token.
func (r *Runner) generate(ctx context.Context, s upstream.Start, x *run) {
	select {
	case r.slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-r.slots }()
	prompt := len(s.Prompt)/4 + 1
	cached := r.cachedTokens(s, prompt)
	observe(r.Observe, Execution{Upstream: r.Self.Name, Stream: s.Stream, Blocks: s.Blocks, Prefill: prompt - cached, Cached: cached})
	if !wait(ctx, float64(prompt-cached)/r.Speed.PrefillPerSecond) {
		return
	}
	words := answerWords(s)
	for i, w := range words {
		if !wait(ctx, 1/r.Speed.DecodePerSecond) {
			return
		}
		f := upstream.Frame{Stream: s.Stream, Text: w, Tokens: 1}
		if i == 0 {
			f.PromptTokens = prompt
			f.CachedTokens = cached
		}
		r.push(x, f)
	}
	finish := "stop"
	if len(words) == s.MaxTokens {
		finish = "length"
	}
	r.push(x, upstream.Frame{Stream: s.Stream, End: true, Finish: finish, PromptTokens: prompt, CachedTokens: cached})
}

// outputTokens takes the answer's length from a prompt that ends in "#N", and
// the maximum otherwise.
func outputTokens(s upstream.Start) int {
	_, after, ok := strings.Cut(s.Prompt, "#")
	n, err := strconv.Atoi(strings.TrimSpace(after))
	if !ok || err != nil || n < 1 {
		return s.MaxTokens
	}
	return min(n, s.MaxTokens)
}

func wait(ctx context.Context, seconds float64) bool {
	select {
	case <-time.After(time.Duration(seconds * float64(time.Second))):
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Runner) cachedTokens(s upstream.Start, prompt int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	hit := 0
	for _, b := range s.Blocks {
		if !r.cached[b] {
			break
		}
		hit++
	}
	for _, b := range s.Blocks {
		r.cached[b] = true
	}
	if len(s.Blocks) == 0 {
		return 0
	}
	return min(prompt-1, hit*prompt/len(s.Blocks))
}

func (r *Runner) push(x *run, f upstream.Frame) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f.Offset = x.length
	x.length += int64(len(f.Text))
	x.frames = append(x.frames, f)
	x.ended = f.End
	close(x.changed)
	x.changed = make(chan struct{})
}

func (r *Runner) resume(w http.ResponseWriter, req *http.Request) {
	offset, err := strconv.ParseInt(req.URL.Query().Get("offset"), 10, 64)
	r.mu.Lock()
	x, ok := r.runs[req.PathValue("stream")]
	r.mu.Unlock()
	if !ok || err != nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	r.follow(w, req, x, offset)
}

// follow writes the frames from an offset as they come.
func (r *Runner) follow(w http.ResponseWriter, req *http.Request, x *run, offset int64) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	ctl := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	next := 0
	for {
		r.mu.Lock()
		frames := x.frames[next:]
		ended, changed := x.ended, x.changed
		r.mu.Unlock()
		next += len(frames)
		for _, f := range frames {
			if f.Offset >= offset || f.End {
				if enc.Encode(f) != nil {
					return
				}
			}
		}
		_ = ctl.Flush()
		if ended {
			return
		}
		select {
		case <-changed:
		case <-req.Context().Done():
			return
		}
	}
}

func (r *Runner) cancel(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	x, ok := r.runs[req.PathValue("stream")]
	r.mu.Unlock()
	if ok {
		x.cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}
