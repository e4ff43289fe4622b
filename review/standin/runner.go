package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// runner is a stand-in for a runner of a plain service.
type runner struct {
	s       *site
	service string
	address string
	slots   int
	work    time.Duration
	// version is that of its software, place its zone. events is the number of events of its
	// streams; zero for a plain service.
	version string
	place   string
	events  int
	// crashesOn is the path of a request that crashes the runner as it begins to run it;
	// downTime is how long it takes to be back.
	crashesOn string
	downTime  time.Duration

	mu      sync.Mutex
	id      string
	born    int64
	starts  int
	leaving bool
	server  *http.Server
	conns   map[net.Conn]struct{}
	running int
	ended   chan struct{}
	runs    []run
}

// run is a request that the runner has begun to run.
type run struct {
	attempt string
	path    string
	at      time.Time
	crashed bool
}

// addRunner starts a runner and its heartbeats.
func (s *site) addRunner(service string, slots int, work time.Duration) (*runner, error) {
	return s.addRunnerOf(&runner{service: service, slots: slots, work: work, version: "v1", place: zone})
}

// addRunnerOf starts a runner that is described.
func (s *site) addRunnerOf(r *runner) (*runner, error) {
	r.s = s
	s.runners = append(s.runners, r)
	return r, r.start()
}

// start starts the next incarnation of the runner, with an id of its own, at its address.
func (r *runner) start() error {
	where := r.address
	if where == "" {
		where = address(200) + ":0"
	}
	ln, err := net.Listen("tcp", where)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.address = ln.Addr().String()
	r.starts++
	r.id = fmt.Sprintf("i-%s-%s-%d", r.service, r.address[len(r.address)-5:], r.starts)
	r.born, r.running, r.conns, r.ended = time.Now().UnixMilli(), 0, map[net.Conn]struct{}{}, make(chan struct{})
	server := &http.Server{Handler: r.handler(r.id, r.ended), ConnState: r.onConnState, IdleTimeout: time.Minute}
	r.server = server
	go func() { _ = server.Serve(ln) }()
	go r.sendHeartbeats(r.id, r.born, r.ended)
	r.s.note("runner %s of %s started at %s", r.id, r.service, r.address)
	return nil
}

func (r *runner) onConnState(c net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch state {
	case http.StateNew:
		r.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(r.conns, c)
	case http.StateActive, http.StateIdle:
	}
}

// crash ends the incarnation: its connections are reset and its address refuses new ones.
func (r *runner) crash() {
	r.mu.Lock()
	r.s.note("runner %s crashes", r.id)
	close(r.ended)
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	server := r.server
	r.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(r.downTime, func() {
		select {
		case <-r.s.stop:
			return
		default:
		}
		if err := r.start(); err != nil {
			r.s.note("a runner was not back: %v", err)
		}
	})
}

func (r *runner) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.server != nil {
		_ = r.server.Close()
	}
}

// sendHeartbeats registers the incarnation until it ends or leaves. It stays with the daemon that
// acknowledged last.
func (r *runner) sendHeartbeats(id string, born int64, ended chan struct{}) {
	daemon := 0
	for seq := 1; ; seq++ {
		r.mu.Lock()
		leaving := r.leaving
		r.mu.Unlock()
		if leaving {
			return
		}
		beat := map[string]any{
			"backend": r.service, "address": r.address, "zone": r.place, "version": r.version, "slots": r.slots, "state": "ready", "cold_remaining_ms": 0,
			"seq": seq, "born": born,
		}
		for range r.s.controls {
			p := r.s.controls[daemon%len(r.s.controls)]
			if r.s.call(http.MethodPut, r.s.at(p.ip, r.s.ports.control), "/instances/"+id, beat) == http.StatusOK {
				break
			}
			daemon++
		}
		select {
		case <-ended:
			return
		case <-r.s.stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// leave deregisters the runner at a control daemon, without reporting that it drains before. It
// returns when the daemon acknowledged that.
func (r *runner) leave(p *process) (time.Time, error) {
	r.mu.Lock()
	r.leaving = true
	id := r.id
	r.mu.Unlock()
	status := r.s.call(http.MethodDelete, r.s.at(p.ip, r.s.ports.control), "/instances/"+id, nil)
	at := time.Now()
	if status != http.StatusOK {
		return at, fmt.Errorf("%s answered the departure of %s with %d", p.name, id, status)
	}
	return at, nil
}

// handler serves the requests of one incarnation.
func (r *runner) handler(id string, ended chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		r.mu.Lock()
		leaving := r.leaving
		r.mu.Unlock()
		if leaving {
			w.Header().Set("Server-Leaving", "1")
		}
		if req.URL.Path == "/health" {
			w.Header().Set("X-Instance-Id", id)
			if leaving {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			return
		}
		attempt := req.Header.Get("X-Attempt-Id")
		_, _ = io.Copy(io.Discard, req.Body)
		w.Header().Set("X-Attempt-Id", attempt)
		switch {
		case attempt == "":
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusBadRequest)
		case req.Header.Get("X-Expect-Instance") != id:
			w.Header().Set("X-Instance-Id", id)
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
		default:
			r.serve(w, req, id, attempt, ended)
		}
	}
}

// serve runs a request if a slot is free.
func (r *runner) serve(w http.ResponseWriter, req *http.Request, id, attempt string, ended chan struct{}) {
	crashes := r.crashesOn != "" && req.URL.Path == r.crashesOn
	r.mu.Lock()
	full := r.running >= r.slots
	if !full {
		r.running++
		r.runs = append(r.runs, run{attempt: attempt, path: req.URL.Path, at: time.Now(), crashed: crashes})
	}
	r.mu.Unlock()
	if full {
		r.s.note("runner %s turns %s away", id, attempt)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.s.note("runner %s runs %s %s from %s", id, req.URL.Path, attempt, req.RemoteAddr)
	if crashes {
		r.crash()
		panic(http.ErrAbortHandler)
	}
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	if r.events > 0 {
		r.stream(w, req, attempt, ended)
		return
	}
	select {
	case <-time.After(r.work):
	case <-ended:
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Response-Seal", "seal-"+attempt)
	_, _ = io.WriteString(w, "done by "+id+" for "+attempt)
}

// ran returns the requests with a path that the runner has begun to run.
func (r *runner) ran(path string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []run{}
	for _, x := range r.runs {
		if x.path == path {
			out = append(out, x)
		}
	}
	return out
}

// stream sends the events after Last-Event-Id. The text of each names the version of the software.
func (r *runner) stream(w http.ResponseWriter, req *http.Request, attempt string, ended chan struct{}) {
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // none means the whole stream
	w.Header().Set("X-Response-Seal", "seal-"+attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	events := r.events
	if req.URL.Path == longPath {
		events *= longFactor
	}
	for n := last + 1; n <= events; n++ {
		select {
		case <-time.After(r.work):
		case <-ended:
			panic(http.ErrAbortHandler)
		case <-req.Context().Done():
			return
		}
		_, err := fmt.Fprintf(w, "id: %d\ndata: word %d of %s\n\n", n, n, r.version)
		if err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}
