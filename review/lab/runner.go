package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Header fields of the platform.
const (
	headerAttempt  = "X-Attempt-Id"
	headerDeadline = "X-Deadline-Ms"
	headerExpect   = "X-Expect-Instance"
	headerSeal     = "X-Response-Seal"
	headerNotRun   = "X-Not-Executed"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	// crashDelay is how long a runner works on a request that crashes it.
	crashDelay = 20 * time.Millisecond
	// crashDownTime is how long a runner is down after a crash.
	crashDownTime = 3 * time.Second
)

// runner is a machine that runs requests of one service. It has a process at a time.
type runner struct {
	lab     *lab
	name    string
	address string
	zone    string
	service string
	version string
	slots   int
	// serve runs a request that the process was meant to get.
	serve func(p *runnerProcess, w http.ResponseWriter, r *http.Request)

	mu      sync.Mutex
	process *runnerProcess
}

// runnerProcess is one incarnation of a runner.
type runnerProcess struct {
	*runner
	id     string
	born   int64
	ctx    context.Context
	cancel context.CancelFunc
	server *http.Server
	places chan struct{}
	// lastSeq is the number of the last heartbeat; leaves ends the heartbeats of a process.
	lastSeq atomic.Int64
	leaves  atomic.Bool

	connsMu sync.Mutex
	conns   map[net.Conn]struct{}
}

// startRunner starts a process of the runner and its heartbeats.
func (r *runner) startRunner() error {
	p, err := r.listen()
	if err == nil {
		go p.beat()
	}
	return err
}

// listen starts a process of the runner, which serves and tells nobody.
func (r *runner) listen() (*runnerProcess, error) {
	p := r.newProcess(fmt.Sprintf("i-%010x", rand.Int64N(1<<40)))
	return p, p.serveRequests()
}

// newProcess starts a process with an id, which does not serve yet.
func (r *runner) newProcess(id string) *runnerProcess {
	p := &runnerProcess{runner: r, id: id, born: time.Now().UnixMilli(), conns: map[net.Conn]struct{}{}, places: make(chan struct{}, r.slots)}
	p.ctx, p.cancel = context.WithCancel(r.lab.ctx)
	p.server = &http.Server{Handler: http.HandlerFunc(p.handle), ConnState: p.recordConn, ReadHeaderTimeout: time.Minute}
	r.mu.Lock()
	r.process = p
	r.mu.Unlock()
	r.lab.note("runner: %s starts as %s at %s, version %s", r.name, p.id, r.address, r.version)
	return p
}

// serveRequests begins to serve.
func (p *runnerProcess) serveRequests() error {
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	go func() { _ = p.server.Serve(listener) }()
	return nil
}

func (p *runnerProcess) recordConn(c net.Conn, s http.ConnState) {
	p.connsMu.Lock()
	defer p.connsMu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(p.conns, c)
		return
	}
	p.conns[c] = struct{}{}
}

// end ends the process: its connections are reset, and nothing is said to anyone.
func (p *runnerProcess) end(why string) {
	p.mu.Lock()
	isCurrent := p.process == p
	if isCurrent {
		p.process = nil
	}
	p.mu.Unlock()
	if !isCurrent {
		return
	}
	p.cancel()
	p.connsMu.Lock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	p.connsMu.Unlock()
	_ = p.server.Close()
	p.lab.note("runner: %s (%s) %s", p.name, p.id, why)
}

// restartLater starts the runner again after a time.
func (r *runner) restartLater(d time.Duration) {
	go func() {
		r.lab.sleep(d)
		if r.lab.ctx.Err() != nil {
			return
		}
		if err := r.startRunner(); err != nil {
			r.lab.note("runner: %s does not start: %v", r.name, err)
		}
	}()
}

// heartbeat returns the body of a heartbeat of a runner that is ready.
func (p *runnerProcess) heartbeat(seq int) string { return p.report(seq, "ready") }

// report returns the body of a heartbeat with a state.
func (p *runnerProcess) report(seq int, state string) string {
	return fmt.Sprintf(`{"backend":%q,"address":%q,"zone":%q,"version":%q,"slots":%d,"state":%q,"cold_remaining_ms":0,"seq":%d,"born":%d}`,
		p.service, p.address, p.zone, p.version, p.slots, state, seq, p.born)
}

// beat sends heartbeats until the process ends. A daemon that does not acknowledge one in time is
// left for the next.
func (p *runnerProcess) beat() {
	controls := p.lab.ofRole("control")
	turn := rand.IntN(len(controls))
	for seq := 1; p.ctx.Err() == nil && !p.leaves.Load(); seq++ {
		p.lastSeq.Store(int64(seq))
		body := p.heartbeat(seq)
		for range controls {
			status, _ := p.lab.call(http.MethodPut, controls[turn%len(controls)].address(portControl), "/instances/"+p.id, body)
			if status == http.StatusOK || p.ctx.Err() != nil {
				break
			}
			turn++
		}
		select {
		case <-time.After(heartbeatInterval):
		case <-p.ctx.Done():
		}
	}
}

func (p *runnerProcess) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Instance-Id", p.id)
	if r.URL.Path == "/health" {
		return
	}
	w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
	if want := r.Header.Get(headerExpect); want != "" && want != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case p.places <- struct{}{}:
		defer func() { <-p.places }()
	case <-time.After(time.Second):
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-p.ctx.Done():
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(newReader(body))
	p.serve(p, w, r)
}

// work runs for a time; it returns false if the process ends or the connection closes first.
func (p *runnerProcess) work(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-p.ctx.Done():
	case <-r.Context().Done():
	}
	return false
}
