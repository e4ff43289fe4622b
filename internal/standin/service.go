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

// Service emulates a plain service: it echoes each call after a pause.
type Service struct {
	// Self is what it announces.
	Self  upstream.Announcement
	Pause time.Duration
	// Observe, where set before Listen, hears of each execution; it must not
	// block.
	Observe func(Execution)

	mu         sync.Mutex
	executions map[string]int
	fault      Fault
	server     *http.Server
}

// NewService returns a service that does not listen yet.
func NewService(self upstream.Announcement, pause time.Duration) *Service {
	return &Service{Self: self, Pause: pause, executions: map[string]int{}}
}

// Listen serves on the announced address; a port of zero is replaced by the
// one that was given.
func (s *Service) Listen() error {
	ln, err := net.Listen("tcp", s.Self.Address)
	if err != nil {
		return err
	}
	s.Self.Address = ln.Addr().String()
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(ln) }()
	return nil
}

// Close ends the service as a crash would.
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

// SetFault makes later calls go wrong after they have executed: Silent never
// answers, Truncated sends half an answer, Cut closes the connection.
func (s *Service) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.executions[r.Header.Get(upstream.HeaderRequest)]++
	fault := s.fault
	s.mu.Unlock()
	answer := fmt.Sprintf(`{"service":%q,"method":%q,"path":%q,"bytes":%d}`+"\n", s.Self.Pool, r.Method, r.URL.Path, len(body))
	observe(s.Observe, Execution{Upstream: s.Self.Name, Stream: r.Header.Get(upstream.HeaderRequest), Text: answer})
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
