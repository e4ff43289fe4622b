// Package standin emulates upstreams for demonstrations, measurements and
// tests: runners with continuous batching and a prompt prefix cache, and plain
// services. It speaks the published upstream protocol and doesn't depend on the
// daemons' code.
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

// Speed sets the processing rates of a runner.
type Speed struct {
	// PrefillPerSecond is in prompt tokens per second.
	PrefillPerSecond float64
	// DecodePerSecond is in output tokens per second for one stream.
	DecodePerSecond float64
}

// streamState is the state of one stream. It is kept after the stream's end so
// that the stream can be resumed.
type streamState struct {
	start      upstream.Start
	tokenCount int
	frames     []upstream.Frame
	textBytes  int64
	hasEnded   bool
	// frameAdded is closed when a frame is added or the stream ends, and then
	// replaced.
	frameAdded chan struct{}
	cancel     context.CancelFunc
}

// Runner emulates an inference engine. Its methods may be called concurrently
// once Listen has returned.
type Runner struct {
	// Self is the announcement without load and cache events.
	Self  upstream.Announcement
	Speed Speed
	// Observe, unless nil, is called at each execution. It must be set before
	// Listen and must not block.
	Observe func(Execution)
	// OnClose, unless nil, is called each time that Close is called. It must be
	// set before Listen.
	OnClose func()

	mu        sync.Mutex
	streams   map[string]*streamState
	cache     cache
	faultPlan FaultPlan
	// faultyConnections counts the connections to which the plan's fault applied.
	faultyConnections int
	// executions counts the starts of each stream.
	executions map[string]int
	canceled   map[string]bool
	lastFence  uint64
	loaded     map[string]string
	server     *http.Server
	// slots holds an element for each stream that runs; its capacity is the number
	// of slots.
	slots chan struct{}
}

// NewRunner returns a runner that isn't listening yet.
func NewRunner(self upstream.Announcement, speed Speed) *Runner {
	return &Runner{
		Self: self, Speed: speed, streams: map[string]*streamState{}, cache: newCache(defaultCacheBlocks),
		executions: map[string]int{}, canceled: map[string]bool{}, loaded: map[string]string{},
		slots: make(chan struct{}, self.Slots),
	}
}

// Listen starts to serve on the address in Self. Port zero is replaced by the
// port that the system assigned.
func (r *Runner) Listen() error {
	ln, err := net.Listen("tcp", r.Self.Address)
	if err != nil {
		return err
	}
	r.Self.Address = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+upstream.PathStreams, r.handleStart)
	mux.HandleFunc("GET "+upstream.PathStreams+"/{stream}", r.handleResume)
	mux.HandleFunc("DELETE "+upstream.PathStreams+"/{stream}", r.handleCancel)
	mux.HandleFunc("POST "+upstream.PathStreams+"/{stream}"+upstream.SuffixExport, r.handleExport)
	mux.HandleFunc("POST "+upstream.PathImports, r.handleImport)
	mux.HandleFunc("POST "+upstream.PathOrders, r.handleOrder)
	r.server = &http.Server{Handler: mux}
	go func() { _ = r.server.Serve(ln) }()
	return nil
}

// Announcement returns the announcement to send: Self with the current load and
// the cache events since the last call.
func (r *Runner) Announcement() upstream.Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.Self
	a.Running = len(r.slots)
	a.Events = r.cache.takeEvents()
	return a
}

// Leave marks the runner as leaving in its announcements and asks for its
// streams to be moved.
func (r *Runner) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Self.Leaving = true
}

// Close stops the runner immediately, as a crash does: connections break and
// streams are canceled.
func (r *Runner) Close() {
	_ = r.server.Close()
	if r.OnClose != nil {
		r.OnClose()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.streams {
		x.cancel()
	}
}

// Canceled reports whether a stream was canceled by a request.
func (r *Runner) Canceled(stream string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.canceled[stream]
}

// Executions returns the number of starts of each stream.
func (r *Runner) Executions() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]int{}
	for k, n := range r.executions {
		out[k] = n
	}
	return out
}

func (r *Runner) handleStart(w http.ResponseWriter, req *http.Request) {
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
		r.countExecution(s.Stream)
		go r.Close()
		return
	}
	x, fresh := r.startStream(s, 0, 0, 0)
	if !fresh {
		http.Error(w, "stream exists", http.StatusConflict)
		return
	}
	r.writeFrames(w, req, x, 0)
}

func (r *Runner) countExecution(stream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions[stream]++
}

// startStream starts a stream, or continues an imported one at an offset with some
// tokens generated and part of the prompt processed. It returns false if the
// stream exists already.
func (r *Runner) startStream(s upstream.Start, offset int64, tokens, promptTokensDone int) (*streamState, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x, ok := r.streams[s.Stream]; ok {
		return x, false
	}
	ctx, cancel := context.WithCancel(context.Background())
	x := &streamState{start: s, textBytes: offset, tokenCount: tokens, frameAdded: make(chan struct{}), cancel: cancel}
	r.streams[s.Stream] = x
	if promptTokensDone == 0 {
		r.executions[s.Stream]++
		notifyObserver(r.Observe, Execution{Upstream: r.Self.Name, Stream: s.Stream, Text: strings.Join(answerTokens(s), ""), Blocks: s.Blocks})
	}
	go r.generate(ctx, x, promptTokensDone)
	return x, true
}

// generate waits for a slot, then emulates prefill and decoding. A prompt counts
// as one token for each 4 bytes, an answer as one for each word.
func (r *Runner) generate(ctx context.Context, x *streamState, promptTokensDone int) {
	select {
	case r.slots <- struct{}{}:
	case <-ctx.Done():
		r.appendFrame(x, upstream.Frame{Stream: x.start.Stream, Error: "canceled"}, 0)
		return
	}
	defer func() { <-r.slots }()
	prompt := len(x.start.Prompt)/4 + 1
	cached := max(promptTokensDone, r.cachedTokens(x.start, prompt))
	notifyObserver(r.Observe, Execution{Upstream: r.Self.Name, Stream: x.start.Stream, Blocks: x.start.Blocks, Prefill: max(0, prompt-cached), Cached: cached})
	done := sleep(ctx, float64(max(0, prompt-cached))/r.Speed.PrefillPerSecond)
	words := answerTokens(x.start)
	first := x.tokenCount
	for i := first; i < len(words) && done; i++ {
		if done = sleep(ctx, 1/r.Speed.DecodePerSecond); !done {
			break
		}
		f := upstream.Frame{Stream: x.start.Stream, Text: words[i], Tokens: 1}
		if i == first {
			f.PromptTokens = prompt
			f.CachedTokens = cached
		}
		r.appendFrame(x, f, 1)
	}
	if !done {
		r.appendFrame(x, upstream.Frame{Stream: x.start.Stream, Error: "canceled"}, 0)
		return
	}
	finish := "stop"
	if len(words) == x.start.MaxTokens {
		finish = "length"
	}
	r.appendFrame(x, upstream.Frame{Stream: x.start.Stream, End: true, Finish: finish, PromptTokens: prompt, CachedTokens: cached}, 0)
}

// outputTokens returns the length of the answer: N for a prompt that ends in
// "#N", at most the maximum, and the maximum for others.
func outputTokens(s upstream.Start) int {
	_, after, ok := strings.Cut(s.Prompt, "#")
	n, err := strconv.Atoi(strings.TrimSpace(after))
	if !ok || err != nil || n < 1 {
		return s.MaxTokens
	}
	return min(n, s.MaxTokens)
}

func sleep(ctx context.Context, seconds float64) bool {
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
	hit := r.cache.lookupAndStore(s.Blocks)
	if len(s.Blocks) == 0 {
		return 0
	}
	return min(prompt-1, hit*prompt/len(s.Blocks))
}

func (r *Runner) appendFrame(x *streamState, f upstream.Frame, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x.hasEnded {
		return
	}
	f.Offset = x.textBytes
	x.textBytes += int64(len(f.Text))
	x.tokenCount += tokens
	x.frames = append(x.frames, f)
	x.hasEnded = f.End || f.Error != ""
	close(x.frameAdded)
	x.frameAdded = make(chan struct{})
}

func (r *Runner) handleResume(w http.ResponseWriter, req *http.Request) {
	offset, err := strconv.ParseInt(req.URL.Query().Get("offset"), 10, 64)
	r.mu.Lock()
	x, ok := r.streams[req.PathValue("stream")]
	r.mu.Unlock()
	if !ok || err != nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	r.writeFrames(w, req, x, offset)
}

// writeFrames writes the frames from an offset as they are generated, and a
// heartbeat line when none arrives within the heartbeat interval.
func (r *Runner) writeFrames(w http.ResponseWriter, req *http.Request, x *streamState, offset int64) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	out := &frameWriter{w: w, controller: http.NewResponseController(w), plan: r.nextConnectionPlan(), request: req}
	next, leavingSent := 0, false
	for {
		r.mu.Lock()
		frames := x.frames[next:]
		ended, changed, length := x.hasEnded, x.frameAdded, x.textBytes
		leaving := r.Self.Leaving && !leavingSent && !ended && x.tokenCount > 0
		r.mu.Unlock()
		next += len(frames)
		for _, f := range frames {
			if f.Offset+int64(len(f.Text)) <= offset && !f.End && f.Error == "" {
				continue
			}
			if !out.write(trimBefore(f, offset)) {
				return
			}
		}
		if ended {
			return
		}
		if leaving {
			leavingSent = true
			if !out.encode(upstream.Frame{Stream: x.start.Stream, Offset: max(offset, length), Leaving: true}) {
				return
			}
		}
		select {
		case <-changed:
		case <-time.After(upstream.HeartbeatMS * time.Millisecond):
			if !out.writeHeartbeat() {
				return
			}
		case <-req.Context().Done():
			return
		}
	}
}

// trimBefore removes the part of a frame that lies before an offset.
func trimBefore(f upstream.Frame, offset int64) upstream.Frame {
	if f.Offset < offset && f.Offset+int64(len(f.Text)) >= offset {
		f.Text = f.Text[offset-f.Offset:]
		f.Offset = offset
	}
	return f
}

func (r *Runner) handleCancel(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	x, ok := r.streams[req.PathValue("stream")]
	if ok {
		r.canceled[req.PathValue("stream")] = true
	}
	r.mu.Unlock()
	if ok {
		x.cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}
