// Package entry implements the callers' HTTP API: the OpenAI-compatible calls,
// services, retrieval of answers by key, and the directory. The daemon starts it
// in the entry role.
//
// A request that must not run twice is dispatched at most once under its key.
// Every accepted request ends with an answer or with an error that says whether
// it may have run, unless the daemon stops first.
package entry

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/internal/accept"
	"github.com/verbenastep/verbenastep/internal/answer"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
	"github.com/verbenastep/verbenastep/internal/wait"
)

const (
	// readHeaderTimeout limits reading a request's header.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is how long a connection may stay open without a request.
	idleTimeout = 2 * time.Minute
	// expireInterval is the interval at which expired answers are removed.
	expireInterval = 10 * time.Second
	// abortTimeout bounds the time in which requests that a stop ends are answered.
	abortTimeout = 250 * time.Millisecond
)

// Service is the "entry.http" service.
type Service struct {
	set         *settings.Settings
	log         *zap.Logger
	self        port.Holder
	view        port.View
	sched       port.Scheduler
	logs        port.Log
	members     port.Members
	link        port.Link
	directories port.Directory
	answers     *answer.Store
	observer    *observer
	conns       *connections
	bodyMemory  *memoryPool
	notRun      *notRunAttempts
	server      *http.Server
	ln          *accept.Listener
	ctx         context.Context
	cancel      context.CancelFunc
	// aborting ends, before ctx, when the entry stops without waiting for the requests in flight.
	aborting context.Context
	abort    context.CancelFunc
	// inFlight counts requests from acceptance to the end of their answer, and
	// the claims that are still being resolved.
	inFlight wait.Group
	// isStopping is set once Stop is called.
	isStopping atomic.Bool
}

// New returns a service that is not started yet.
func New(set *settings.Settings, log *zap.Logger, self port.Holder) *Service {
	return &Service{
		set: set, log: log.Named("entry"), self: self, answers: answer.NewStore(),
		conns: newConnections(set.Limits.Connections), bodyMemory: newMemoryPool(DefaultBodyMemory), notRun: newNotRunAttempts(),
	}
}

// Name returns port.NameEntry.
func (s *Service) Name() string { return port.NameEntry }

// Needs returns the services that must start before the entry and stop after it.
func (s *Service) Needs() []string {
	return []string{
		port.NameView, port.NameScheduler, port.NameLog, port.NameMembers, port.NameDirectory, port.NameLink, port.NameEvents, port.NameMetrics,
		// The dispatcher must stop after the entry's requests in flight have ended.
		port.NameDispatcher,
	}
}

// Start registers the Answers RPC service and listens for callers.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	if err := s.findServices(k); err != nil {
		return err
	}
	if err := rpc.DRPCRegisterAnswers(s.link.Mux(), &answersServer{answers: s.answers, isStopped: s.isStopped}); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", s.set.Addresses.Callers)
	if err != nil {
		return err
	}
	s.ln = accept.New(ln, net.KeepAliveConfig{Enable: true})
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.aborting, s.abort = context.WithCancel(s.ctx)
	s.server = &http.Server{
		Handler:           accept.Handler(s.routes()),
		ConnContext:       accept.ConnContext,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    s.set.Limits.HeaderBytes,
		ConnState: func(c net.Conn, state http.ConnState) {
			accept.OnStateChange(c, state)
			s.conns.onStateChange(c, state)
		},
	}
	go func() { _ = s.server.Serve(s.ln) }()
	go s.expireAnswers()
	return nil
}

// Address returns the callers' address, host:port. It must not be called before
// Start.
func (s *Service) Address() string { return s.ln.Addr().String() }

// findServices looks up the services that the entry uses.
func (s *Service) findServices(k *kernel.Kernel) error {
	events, err := kernel.Find[port.Events](k, port.NameEvents)
	if err != nil {
		return err
	}
	m, err := kernel.Find[port.Metrics](k, port.NameMetrics)
	if err != nil {
		return err
	}
	if s.view, err = kernel.Find[port.View](k, port.NameView); err != nil {
		return err
	}
	if s.sched, err = kernel.Find[port.Scheduler](k, port.NameScheduler); err != nil {
		return err
	}
	if s.logs, err = kernel.Find[port.Log](k, port.NameLog); err != nil {
		return err
	}
	if s.members, err = kernel.Find[port.Members](k, port.NameMembers); err != nil {
		return err
	}
	if s.directories, err = kernel.Find[port.Directory](k, port.NameDirectory); err != nil {
		return err
	}
	if s.link, err = kernel.Find[port.Link](k, port.NameLink); err != nil {
		return err
	}
	s.observer = newObserver(events, m, s)
	s.answers.OnRemoved = s.observer.countUndelivered
	return nil
}

func (s *Service) routes() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = s.writeError
	e.Use(resetWriteDeadline, s.closeConnectionAtStop)
	e.POST("/v1/chat/completions", s.chatCompletions)
	e.POST("/v1/completions", s.completions)
	e.GET("/v1/models", s.listModels)
	e.GET("/v1/answers/:key", s.getAnswer)
	e.GET("/v1/answers/:key/why", s.explainRequest)
	e.GET("/v1/directory", s.getDirectory)
	e.Any("/services/:service/*", s.serveServiceCall)
	return e
}

// resetWriteDeadline clears the write deadline that an earlier request on the
// same connection has set.
func resetWriteDeadline(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		_ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Time{})
		return next(c)
	}
}

// closeConnectionAtStop makes callers of a stopping entry connect elsewhere.
func (s *Service) closeConnectionAtStop(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if s.isStopping.Load() {
			c.Response().Header().Set("Connection", "close")
		}
		return next(c)
	}
}

// writeError writes an error in the documented JSON form, unless the response
// has already begun.
func (s *Service) writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	e := asFault(err)
	_ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Now().Add(writeTimeout))
	if e.RetryAfterMS > 0 {
		seconds := (e.RetryAfterMS + 999) / 1000
		c.Response().Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	_ = c.JSON(e.HTTPStatus(), errorBody{Error: e})
}

// errorBody is the JSON form of an error.
type errorBody struct {
	Error *fault.Error `json:"error"`
}

// asFault converts an error of the router or a handler to the published form.
func asFault(err error) *fault.Error {
	if he, ok := err.(*echo.HTTPError); ok {
		kind := fault.NotFound
		if he.Code == http.StatusMethodNotAllowed {
			kind = fault.Malformed
		}
		return fault.New(kind, "see docs/CALLERS.md for the paths and methods", "%v", he.Message)
	}
	return fault.From(err)
}

// expireAnswers removes answers older than the configured retention until the
// service stops.
func (s *Service) expireAnswers() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(expireInterval):
		}
		retention := time.Duration(s.view.Snapshot().Config.EffectiveTimeouts().RetentionMS) * time.Millisecond
		s.answers.Expire(time.Now().Add(-retention))
	}
}

// Directory is the JSON form of a directory answer.
type Directory struct {
	// Addresses are callers' addresses of daemons, in order of preference.
	Addresses []string `json:"addresses"`
	// Seconds is how long the caller may cache the answer.
	Seconds int `json:"seconds"`
}

func (s *Service) getDirectory(c echo.Context) error {
	addresses, ttl := s.directories.Answer(c.QueryParam("data_centre"))
	return c.JSON(http.StatusOK, Directory{Addresses: addresses, Seconds: int(ttl.Seconds())})
}

// Explain returns the explanation of a request by its key, in any workspace, as
// JSON for operators.
func (s *Service) Explain(key string) (json.RawMessage, bool) {
	e, ok := s.observer.explanation("", key)
	if !ok {
		return nil, false
	}
	data, err := json.Marshal(e)
	return data, err == nil
}

// Stop closes the listener and waits for the requests in flight and those that have begun
// to arrive. If the context ends first, it ends the requests that no other entry knows of, those
// without a caller's key, with an error that says whether they ran. It closes the connections of the
// others without a response, as a crash would, because another entry may still complete them.
func (s *Service) Stop(ctx context.Context) error {
	s.isStopping.Store(true)
	s.ln.StopAccepting()
	s.ln.WaitIdle(ctx)
	err := error(nil)
	select {
	case <-s.inFlight.Idle():
		err = s.server.Shutdown(ctx)
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		s.abortRequests()
	}
	s.cancel()
	return err
}

// abortRequests ends the requests in flight.
func (s *Service) abortRequests() {
	s.log.Warn("stopping without waiting; ending requests in flight", zap.Int("connections", s.conns.count()))
	s.abort()
	ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
	defer cancel()
	s.ln.WaitIdle(ctx)
	if left := s.conns.count(); left > 0 {
		s.log.Warn("closing connections without a response", zap.Int("connections", left))
	}
	_ = s.server.Close()
}

// Load returns the number of open connections as a fraction of the maximum.
func (s *Service) Load() float64 {
	return float64(s.conns.count()) / float64(max(1, s.set.Limits.Connections))
}

// isStopped reports whether the context of the entry's requests has ended.
func (s *Service) isStopped() bool { return s.ctx.Err() != nil }

// Health always returns nil.
func (s *Service) Health() error { return nil }

// Dump returns the number and size of the stored answers, the open connections
// and the memory reserved for request bodies.
func (s *Service) Dump() any {
	return struct {
		Answers     int   `json:"answers"`
		Bytes       int64 `json:"answer_bytes"`
		Connections int   `json:"connections"`
		Bodies      int64 `json:"body_bytes"`
	}{s.answers.Len(), s.answers.Bytes(), s.conns.count(), s.bodyMemory.reserved(DefaultBodyMemory)}
}
