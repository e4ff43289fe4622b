// Package forward serves callers by the route table: it matches and
// authenticates a request, asks the broker for an upstream, sends the request
// there over a connection of its own and passes the answer on.
//
// Invariants: a request that may not be repeated is sent again only where an
// upstream says that it did not run it; an answer is passed on only with the
// upstream's seal, whole, and to the request that it names; a refusal that
// promises "not run" is given only where that is certain.
package forward

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/logging"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

const (
	// headerTimeout and idleTimeout bound callers' connections; they are longer
	// than what tables declare, so that no caller within its limits is cut.
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	// defaultBody bounds a body where the table does not, in bytes.
	defaultBody = 4 << 20
	// noTableRetry is when a caller may come back to an entry that knows no
	// route table yet: a watch brings it within a round trip of starting.
	noTableRetry = 300 * time.Millisecond
	// tableWait is how long a request waits at an entry that knows none. It
	// outlasts the election after a start of all daemons; a caller that is
	// refused would be back later than that.
	tableWait = 1500 * time.Millisecond
	// sweepEvery is the pause between two looks at idle connections.
	sweepEvery = time.Second
)

// Service is the "entry.forward" service.
type Service struct {
	set     *settings.Settings
	log     *zap.Logger
	view    port.TableView
	work    port.Work
	members port.Leaver
	dialect Dialect
	metrics *metrics
	conns   *pool
	server  *http.Server
	ln      net.Listener
	ctx     context.Context
	cancel  context.CancelFunc
	leaving atomic.Bool
	running sync.WaitGroup
	budgets *budgets
}

// New returns the service.
func New(set *settings.Settings, log *zap.Logger) *Service {
	return &Service{set: set, log: log.Named("forward"), budgets: newBudgets(set.Routing.Retry)}
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameForward }

// Needs returns what a request passes through.
func (s *Service) Needs() []string {
	return []string{port.NameView, port.NameWork, port.NameMembers, port.NameDialect, port.NameMetrics}
}

// Start listens for callers.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	err := error(nil)
	if s.view, err = kernel.Find[port.TableView](k, port.NameView); err != nil {
		return err
	}
	if s.work, err = kernel.Find[port.Work](k, port.NameWork); err != nil {
		return err
	}
	if s.members, err = kernel.Find[port.Leaver](k, port.NameMembers); err != nil {
		return err
	}
	if s.dialect, err = kernel.Find[Dialect](k, port.NameDialect); err != nil {
		return err
	}
	collect, err := kernel.Find[port.Metrics](k, port.NameMetrics)
	if err != nil {
		return err
	}
	if s.metrics, err = newMetrics(collect.Registerer()); err != nil {
		return err
	}
	s.conns = newPool(s.metrics.connections.Inc)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	config := net.ListenConfig{KeepAliveConfig: keepAlive(), Control: setUserTimeout}
	if s.ln, err = config.Listen(s.ctx, "tcp", s.set.Addresses.Callers); err != nil {
		return err
	}
	s.server = &http.Server{
		Handler: s.routes(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: s.set.Limits.HeaderBytes,
	}
	go func() { _ = s.server.Serve(s.ln) }()
	go s.sweep()
	return nil
}

func (s *Service) routes() http.Handler {
	e := echo.New()
	e.Any("/*", s.serve)
	return e
}

func (s *Service) sweep() {
	for {
		select {
		case <-s.ctx.Done():
			s.conns.sweep(true)
			return
		case <-time.After(sweepEvery):
			s.conns.sweep(false)
		}
	}
}

// serve answers one request.
func (s *Service) serve(c echo.Context) error {
	s.running.Add(1)
	defer s.running.Done()
	w, r := http.ResponseWriter(c.Response()), c.Request()
	q, refused := s.prepare(w, r)
	if refused != nil {
		s.turnedAway(q, refused)
		s.writeRefusal(w, refused)
		return nil
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), q.deadline, context.DeadlineExceeded)
	defer cancel()
	x := &exchange{s: s, request: q, w: w, ctx: ctx}
	defer s.finished(x)
	s.budgets.request(q.pool)
	x.run()
	return nil
}

// allowRepeat tells whether a pool's retry budget has room, and takes one.
func (s *Service) allowRepeat(pool string) bool { return s.budgets.allow(pool, s.work.Entries()) }

// errorBody is the JSON form of a refusal.
type errorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// writeRefusal writes a final answer of the entry's own.
func (s *Service) writeRefusal(w http.ResponseWriter, r *refusal) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if r.after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.after.Seconds(), 'f', 3, 64))
	}
	s.closing(h)
	w.WriteHeader(r.status)
	_ = json.NewEncoder(w).Encode(map[string]errorBody{"error": {Code: r.code, Message: r.why}})
}

// closing tells callers of an entry that leaves to use another one.
func (s *Service) closing(h http.Header) {
	if s.leaving.Load() {
		h.Set("Connection", "close")
	}
}

// turnedAway logs a request that was refused before it had a route.
func (s *Service) turnedAway(q *request, r *refusal) {
	id, version := "", uint64(0)
	if q != nil {
		id, version = q.meta.Attempt, q.version
	}
	s.metrics.requests.WithLabelValues("", "", r.code).Inc()
	s.log.Info("request refused", zap.String("request", id), zap.Uint64("table", version), zap.Int("status", r.status), zap.String("outcome", r.code), zap.String("why", r.why))
}

// finished logs and counts a request that ended, also one that was cut.
func (s *Service) finished(x *exchange) {
	took := time.Since(x.arrived)
	s.metrics.finished(x)
	importance := zap.Skip()
	if x.outcome != answered {
		importance = logging.Important()
	}
	s.log.Info("request ended", x.fields(importance, zap.String("outcome", x.outcome), zap.Int("status", x.status), zap.String("why", x.why),
		zap.Int("runs", x.runs), zap.Int("rejects", x.rejects), zap.Int("charge", x.charge), zap.Duration("waited", x.waited), zap.Duration("first", x.first),
		zap.Int("events", x.stream.events), zap.Duration("longest_pause", x.stream.longest), zap.Duration("took", took))...)
}

// Ready returns nil, or why callers should not use this entry.
func (s *Service) Ready() error {
	switch {
	case s.leaving.Load():
		return errLeaving
	case s.view.Routes() == nil:
		return errNoTable
	}
	return nil
}

var (
	errLeaving = errors.New("the daemon is stopping; use another entry")
	errNoTable = errors.New("no route table is known yet; ask again soon")
)

// Stop ends what is still running.
func (s *Service) Stop(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	s.cancel()
	if err != nil {
		_ = s.server.Close()
	}
	return err
}

// Health returns why the entry is not ready.
func (s *Service) Health() error { return s.Ready() }

// Load is not measured: the broker spreads the work.
func (s *Service) Load() float64 { return 0 }

// Dump shows whether the entry takes callers.
func (s *Service) Dump() any {
	return struct {
		Leaving bool `json:"leaving"`
	}{s.leaving.Load()}
}
