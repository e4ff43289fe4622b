// Package entry serves callers over HTTP: the OpenAI-compatible calls, plain
// services, answers by key, and the directory.
package entry

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/internal/answer"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

const (
	// headerTimeout bounds reading a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout closes connections that carry no request.
	idleTimeout = 2 * time.Minute
	// expireEvery is how often old answers are forgotten.
	expireEvery = 10 * time.Second
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
	memory      *memory
	marks       *marks
	server      *http.Server
	ln          net.Listener
	ctx         context.Context
	cancel      context.CancelFunc
	// running counts requests from acceptance to the answer's end.
	running sync.WaitGroup
}

// New returns the service.
func New(set *settings.Settings, log *zap.Logger, self port.Holder) *Service {
	return &Service{
		set: set, log: log.Named("entry"), self: self, answers: answer.NewStore(),
		conns: newConnections(set.Limits.Connections), memory: newMemory(DefaultBodyMemory), marks: newMarks(),
	}
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameEntry }

// Needs returns what a request passes through.
func (s *Service) Needs() []string {
	return []string{
		port.NameView, port.NameScheduler, port.NameLog, port.NameMembers, port.NameDirectory, port.NameLink, port.NameEvents, port.NameMetrics,
		// The dispatcher must outlast the requests in flight here.
		port.NameDispatcher,
	}
}

// Start listens for callers.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	if err := s.resolve(k); err != nil {
		return err
	}
	if err := rpc.DRPCRegisterAnswers(s.link.Mux(), &answersServer{answers: s.answers, stopped: s.stopped}); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", s.set.Addresses.Callers)
	if err != nil {
		return err
	}
	s.ln = ln
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.server = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    s.set.Limits.HeaderBytes,
		ConnState:         s.conns.changed,
	}
	go func() { _ = s.server.Serve(ln) }()
	go s.expire()
	return nil
}

// Address returns where callers are served; it is known once it is started.
func (s *Service) Address() string { return s.ln.Addr().String() }

// resolve finds the services that requests pass through.
func (s *Service) resolve(k *kernel.Kernel) error {
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
	s.answers.Dropped = s.observer.dropped
	return nil
}

func (s *Service) routes() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = s.failed
	e.Use(freshDeadline)
	e.POST("/v1/chat/completions", s.chat)
	e.POST("/v1/completions", s.complete)
	e.GET("/v1/models", s.models)
	e.GET("/v1/answers/:key", s.pickUp)
	e.GET("/v1/answers/:key/why", s.explain)
	e.GET("/v1/directory", s.directory)
	e.Any("/services/:service/*", s.call)
	return e
}

// freshDeadline lifts the deadlines that an earlier request on the connection
// left behind.
func freshDeadline(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		_ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Time{})
		return next(c)
	}
}

// failed writes any error in the published form.
func (s *Service) failed(err error, c echo.Context) {
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

// errorBody is the JSON form of a refusal.
type errorBody struct {
	Error *fault.Error `json:"error"`
}

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

// expire forgets answers after the declared retention.
func (s *Service) expire() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(expireEvery):
		}
		retention := time.Duration(s.view.Snapshot().Config.EffectiveTimeouts().RetentionMS) * time.Millisecond
		s.answers.Expire(time.Now().Add(-retention))
	}
}

// Directory is the answer to "which addresses may I use".
type Directory struct {
	// Addresses are callers' addresses, the best first.
	Addresses []string `json:"addresses"`
	// Seconds is how long the answer may be kept.
	Seconds int `json:"seconds"`
}

func (s *Service) directory(c echo.Context) error {
	addresses, life := s.directories.Answer(c.QueryParam("data_centre"))
	return c.JSON(http.StatusOK, Directory{Addresses: addresses, Seconds: int(life.Seconds())})
}

// Explain finds a request by its key, for operators.
func (s *Service) Explain(key string) (json.RawMessage, bool) {
	e, ok := s.observer.find("", key)
	if !ok {
		return nil, false
	}
	data, err := json.Marshal(e)
	return data, err == nil
}

// Stop refuses new requests and waits for those in flight. Where the context
// ends before, callers' connections are cut without a word, as in a crash: what
// became of their requests is for other entries to say.
func (s *Service) Stop(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	done := make(chan struct{})
	go func() {
		s.running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		err = ctx.Err()
		_ = s.server.Close()
	}
	s.cancel()
	return err
}

// Load is the part of the allowed connections that are open.
func (s *Service) Load() float64 {
	return float64(s.conns.count()) / float64(max(1, s.set.Limits.Connections))
}

// stopped tells whether the entry's requests have been ended.
func (s *Service) stopped() bool { return s.ctx.Err() != nil }

// Health returns nil while the server listens.
func (s *Service) Health() error { return nil }

// Dump counts the answers held.
func (s *Service) Dump() any {
	return struct {
		Answers     int   `json:"answers"`
		Bytes       int64 `json:"answer_bytes"`
		Connections int   `json:"connections"`
		Bodies      int64 `json:"body_bytes"`
	}{s.answers.Len(), s.answers.Bytes(), s.conns.count(), s.memory.lent(DefaultBodyMemory)}
}
