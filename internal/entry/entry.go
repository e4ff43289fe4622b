// Package entry serves callers over HTTP: the OpenAI-compatible calls, plain
// services, answers by key, and the directory.
package entry

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/internal/answer"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

const (
	// headerTimeout bounds reading a request's header.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds reading a request's body.
	bodyTimeout = 30 * time.Second
	// idleTimeout closes connections that carry no request.
	idleTimeout = 2 * time.Minute
	// expireEvery is how often old answers are forgotten.
	expireEvery = 10 * time.Second
)

// Service is the "entry.http" service.
type Service struct {
	set     *settings.Settings
	log     *zap.Logger
	self    port.Holder
	view    port.View
	sched   port.Scheduler
	logs    port.Log
	entries port.Directory
	answers *answer.Store
	server  *http.Server
	ctx     context.Context
	cancel  context.CancelFunc
	// running counts requests from acceptance to the answer's end.
	running sync.WaitGroup
}

// New returns the service.
func New(set *settings.Settings, log *zap.Logger, self port.Holder) *Service {
	return &Service{set: set, log: log.Named("entry"), self: self, answers: answer.NewStore()}
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameEntry }

// Needs returns what a request passes through.
func (s *Service) Needs() []string {
	return []string{port.NameView, port.NameScheduler, port.NameLog, port.NameDirectory}
}

// Start listens for callers.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	err := error(nil)
	if s.view, err = kernel.Find[port.View](k, port.NameView); err != nil {
		return err
	}
	if s.sched, err = kernel.Find[port.Scheduler](k, port.NameScheduler); err != nil {
		return err
	}
	if s.logs, err = kernel.Find[port.Log](k, port.NameLog); err != nil {
		return err
	}
	if s.entries, err = kernel.Find[port.Directory](k, port.NameDirectory); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", s.set.Addresses.Callers)
	if err != nil {
		return err
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.server = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    s.set.Limits.HeaderBytes,
	}
	go func() { _ = s.server.Serve(ln) }()
	go s.expire()
	return nil
}

func (s *Service) routes() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = s.failed
	e.POST("/v1/chat/completions", s.chat)
	e.POST("/v1/completions", s.complete)
	e.GET("/v1/models", s.models)
	e.GET("/v1/answers/:key", s.pickUp)
	e.GET("/v1/directory", s.directory)
	e.Any("/services/:service/*", s.call)
	return e
}

// failed writes any error in the published form.
func (s *Service) failed(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	e := asFault(err)
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
		retention := time.Duration(s.view.Snapshot().Config.Times().RetentionMS) * time.Millisecond
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
	addresses, life := s.entries.Answer(c.QueryParam("data_centre"))
	return c.JSON(http.StatusOK, Directory{Addresses: addresses, Seconds: int(life.Seconds())})
}

// Stop refuses new requests and waits for those in flight.
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
	}
	s.cancel()
	return err
}

// Health returns nil while the server listens.
func (s *Service) Health() error { return nil }

// Dump counts the answers held.
func (s *Service) Dump() any {
	return struct {
		Answers int `json:"answers"`
	}{s.answers.Len()}
}
