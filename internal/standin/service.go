package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/verbenastep/verbenastep/api/upstream"
)

// Service emulates a plain service that echoes a description of each call after
// a pause. Its methods may be called concurrently once Listen has returned.
type Service struct {
	// Self is the announcement of the service.
	Self upstream.Announcement
	// Pause is the duration of each call.
	Pause time.Duration
	// Observe, unless nil, is called at each execution. It must be set before
	// Listen and must not block.
	Observe func(Execution)

	mu          sync.Mutex
	executions  map[string]int
	activeFault Fault
	server      *http.Server
}

// NewService returns a service that isn't listening yet.
func NewService(self upstream.Announcement, pause time.Duration) *Service {
	return &Service{Self: self, Pause: pause, executions: map[string]int{}}
}

// Listen starts to serve on the address in Self. Port zero is replaced by the
// port that the system assigned.
func (s *Service) Listen() error {
	ln, err := net.Listen("tcp", s.Self.Address)
	if err != nil {
		return err
	}
	s.Self.Address = ln.Addr().String()
	s.server = &http.Server{Handler: http.HandlerFunc(s.handleCall)}
	go func() { _ = s.server.Serve(ln) }()
	return nil
}

// Close stops the service immediately, as a crash does.
func (s *Service) Close() { _ = s.server.Close() }

// Executions returns how often each request was executed.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, n := range s.executions {
		out[k] = n
	}
	return out
}

// SetFault makes later calls fail after they have executed: Silent never
// answers, Truncated sends half of the answer, Cut closes the connection. Other
// faults have no effect.
func (s *Service) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeFault = f
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.executions[r.Header.Get(upstream.HeaderRequest)]++
	fault := s.activeFault
	s.mu.Unlock()
	answer := fmt.Sprintf(`{"service":%q,"method":%q,"path":%q,"bytes":%d}`+"\n", s.Self.Pool, r.Method, r.URL.Path, len(body))
	notifyObserver(s.Observe, Execution{Upstream: s.Self.Name, Stream: r.Header.Get(upstream.HeaderRequest), Text: answer})
	time.Sleep(s.Pause)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	switch fault {
	case Silent:
		<-r.Context().Done()
		return
	case Cut:
		panic(http.ErrAbortHandler)
	case Truncated:
		answer = answer[:len(answer)/2]
	}
	_, _ = io.WriteString(w, answer)
}
