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
	start   upstream.Start
	tokens  int
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
	// OnClose, where set before Listen, is called when the runner ends.
	OnClose func()

	mu    sync.Mutex
	runs  map[string]*run
	cache cache
	plan  Plan
	// suffered counts the connections that met the plan's fault.
	suffered int
	// executions counts how often each stream was started.
	executions map[string]int
	canceled   map[string]bool
	fence      uint64
	loaded     map[string]string
	server     *http.Server
	slots      chan struct{}
}

// NewRunner returns a runner that does not listen yet.
func NewRunner(self upstream.Announcement, speed Speed) *Runner {
	return &Runner{
		Self: self, Speed: speed, runs: map[string]*run{}, cache: newCache(defaultCacheBlocks),
		executions: map[string]int{}, canceled: map[string]bool{}, loaded: map[string]string{},
		slots: make(chan struct{}, self.Slots),
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
	mux.HandleFunc("POST "+upstream.PathStreams+"/{stream}"+upstream.SuffixExport, r.export)
	mux.HandleFunc("POST "+upstream.PathImports, r.importStream)
	mux.HandleFunc("POST "+upstream.PathOrders, r.order)
	r.server = &http.Server{Handler: mux}
	go func() { _ = r.server.Serve(ln) }()
	return nil
}

// Announcement is what to announce now: Self with the load and the cache
// events since the last call.
func (r *Runner) Announcement() upstream.Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.Self
	a.Running = len(r.slots)
	a.Events = r.cache.take()
	return a
}

// Leave announces that the runner leaves, and asks to move its streams.
func (r *Runner) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Self.Leaving = true
}

// Close ends the runner as a crash would.
func (r *Runner) Close() {
	_ = r.server.Close()
	if r.OnClose != nil {
		r.OnClose()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.runs {
		x.cancel()
	}
}

// Canceled tells whether a stream was canceled.
func (r *Runner) Canceled(stream string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.canceled[stream]
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
	plan := r.currentPlan()
	if plan.Fault == Refuse {
		http.Error(w, "no room", http.StatusTooManyRequests)
		return
	}
	if plan.CrashOn != "" && strings.Contains(s.Prompt, plan.CrashOn) {
		r.note(s.Stream)
		go r.Close()
		return
	}
	x, fresh := r.begin(s, 0, 0, 0)
	if !fresh {
		http.Error(w, "stream exists", http.StatusConflict)
		return
	}
	r.follow(w, req, x, 0)
}

// note counts an execution.
func (r *Runner) note(stream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions[stream]++
}

// begin starts a run, or goes on with an imported one at an offset, with some
// tokens generated and some of the prompt processed.
func (r *Runner) begin(s upstream.Start, offset int64, tokens, processed int) (*run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x, ok := r.runs[s.Stream]; ok {
		return x, false
	}
	ctx, cancel := context.WithCancel(context.Background())
	x := &run{start: s, length: offset, tokens: tokens, changed: make(chan struct{}), cancel: cancel}
	r.runs[s.Stream] = x
	if processed == 0 {
		r.executions[s.Stream]++
		observe(r.Observe, Execution{Upstream: r.Self.Name, Stream: s.Stream, Text: strings.Join(answerWords(s), ""), Blocks: s.Blocks})
	}
	go r.generate(ctx, x, processed)
	return x, true
}

// generate emulates prefill, then one word a token.
func (r *Runner) generate(ctx context.Context, x *run, processed int) {
	select {
	case r.slots <- struct{}{}:
	case <-ctx.Done():
		r.push(x, upstream.Frame{Stream: x.start.Stream, Error: "canceled"}, 0)
		return
	}
	defer func() { <-r.slots }()
	prompt := len(x.start.Prompt)/4 + 1
	cached := max(processed, r.cachedTokens(x.start, prompt))
	observe(r.Observe, Execution{Upstream: r.Self.Name, Stream: x.start.Stream, Blocks: x.start.Blocks, Prefill: max(0, prompt-cached), Cached: cached})
	done := wait(ctx, float64(max(0, prompt-cached))/r.Speed.PrefillPerSecond)
	words := answerWords(x.start)
	first := x.tokens
	for i := first; i < len(words) && done; i++ {
		if done = wait(ctx, 1/r.Speed.DecodePerSecond); !done {
			break
		}
		f := upstream.Frame{Stream: x.start.Stream, Text: words[i], Tokens: 1}
		if i == first {
			f.PromptTokens = prompt
			f.CachedTokens = cached
		}
		r.push(x, f, 1)
	}
	if !done {
		r.push(x, upstream.Frame{Stream: x.start.Stream, Error: "canceled"}, 0)
		return
	}
	finish := "stop"
	if len(words) == x.start.MaxTokens {
		finish = "length"
	}
	r.push(x, upstream.Frame{Stream: x.start.Stream, End: true, Finish: finish, PromptTokens: prompt, CachedTokens: cached}, 0)
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
	hit := r.cache.use(s.Blocks)
	if len(s.Blocks) == 0 {
		return 0
	}
	return min(prompt-1, hit*prompt/len(s.Blocks))
}

func (r *Runner) push(x *run, f upstream.Frame, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x.ended {
		return
	}
	f.Offset = x.length
	x.length += int64(len(f.Text))
	x.tokens += tokens
	x.frames = append(x.frames, f)
	x.ended = f.End || f.Error != ""
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

// follow writes the frames from an offset as they come, and empty lines while
// there are none.
func (r *Runner) follow(w http.ResponseWriter, req *http.Request, x *run, offset int64) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	out := &line{w: w, ctl: http.NewResponseController(w), trouble: r.trouble(), request: req}
	next, told := 0, false
	for {
		r.mu.Lock()
		frames := x.frames[next:]
		ended, changed, length := x.ended, x.changed, x.length
		leaving := r.Self.Leaving && !told && !ended && x.tokens > 0
		r.mu.Unlock()
		next += len(frames)
		for _, f := range frames {
			if f.Offset+int64(len(f.Text)) <= offset && !f.End && f.Error == "" {
				continue
			}
			if !out.write(clip(f, offset)) {
				return
			}
		}
		if ended {
			return
		}
		if leaving {
			told = true
			if !out.put(upstream.Frame{Stream: x.start.Stream, Offset: max(offset, length), Leaving: true}) {
				return
			}
		}
		select {
		case <-changed:
		case <-time.After(upstream.HeartbeatMS * time.Millisecond):
			if !out.heartbeat() {
				return
			}
		case <-req.Context().Done():
			return
		}
	}
}

// clip cuts what lies before an offset off a frame.
func clip(f upstream.Frame, offset int64) upstream.Frame {
	if f.Offset < offset && f.Offset+int64(len(f.Text)) >= offset {
		f.Text = f.Text[offset-f.Offset:]
		f.Offset = offset
	}
	return f
}

func (r *Runner) cancel(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	x, ok := r.runs[req.PathValue("stream")]
	if ok {
		r.canceled[req.PathValue("stream")] = true
	}
	r.mu.Unlock()
	if ok {
		x.cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}
