// Package httpstop ends an HTTP server within the grace period of its process, with an answer to the
// calls in progress where they can give one.
package httpstop

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// callGraceDivisor is the part of the grace period for which a stop waits for calls
	// in progress, and stopGraceDivisor the part at its end that is left to the services
	// that stop later. callEndTimeout is how long the calls that remain may take to answer.
	callGraceDivisor = 4
	stopGraceDivisor = 10
	callEndTimeout   = 150 * time.Millisecond
)

// Stopper stops one server. It is safe for concurrent use.
type Stopper struct {
	server *http.Server
	grace  time.Duration
	log    *zap.Logger

	mu sync.Mutex
	// began is when the process began to stop; zero before.
	began time.Time
	// conns holds the open connections.
	conns map[net.Conn]struct{}
}

// New returns the stopper of a server that does not serve yet, and sets its ConnState callback.
// grace is the time between the stop signal and the kill of the process.
func New(server *http.Server, grace time.Duration, log *zap.Logger) *Stopper {
	s := &Stopper{server: server, grace: grace, log: log, conns: map[net.Conn]struct{}{}}
	server.ConnState = s.track
	return s
}

// track keeps the list of open connections.
func (s *Stopper) track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, conn)
	} else {
		s.conns[conn] = struct{}{}
	}
}

// Begin notes that the process begins to stop. Calls are served on until Stop.
func (s *Stopper) Begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.began = time.Now()
}

// left returns what is left of the grace period without the part for the services that stop later.
func (s *Stopper) left() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := s.grace - s.grace/stopGraceDivisor
	if !s.began.IsZero() {
		left -= time.Since(s.began)
	}
	return left
}

// Stop waits for the calls in progress for a part of the grace period, or until the context ends.
// Then it ends those that remain, with an answer where they can give one.
func (s *Stopper) Stop(ctx context.Context) error {
	s.server.SetKeepAlivesEnabled(false)
	inTime, cancel := context.WithTimeout(ctx, min(s.grace/callGraceDivisor, s.left()))
	defer cancel()
	if s.server.Shutdown(inTime) == nil {
		return nil
	}
	s.endCalls()
	final, cancelFinal := context.WithTimeout(ctx, callEndTimeout)
	defer cancelFinal()
	if s.server.Shutdown(final) == nil {
		return nil
	}
	return s.server.Close()
}

// endCalls ends the reading of what callers send: calls that wait for the rest of it fail and say
// so, and the contexts of the others end. What they write must be read before callEndTimeout ends.
func (s *Stopper) endCalls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.Warn("ending calls in progress", zap.Int("connections", len(s.conns)))
	now := time.Now()
	for conn := range s.conns {
		if err := errors.Join(conn.SetReadDeadline(now), conn.SetWriteDeadline(now.Add(callEndTimeout))); err != nil {
			s.log.Info("deadline of a call not set", zap.Error(err))
		}
	}
}
