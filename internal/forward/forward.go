// Package forward is the entry's reverse proxy. It matches a caller's request
// against the route table, authenticates it, acquires an upstream from the broker,
// sends the request there over a connection that no other request shares, and
// relays the response.
//
// Guarantees: a request that may not be repeated is sent to another upstream only
// if it certainly did not run; a response is relayed only if it bears the
// upstream's seal and belongs to the request, and a response that is not a stream
// only once it is complete; the caller receives a "not run" refusal only if no
// upstream can have run the request.
package forward

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/limits"
	"github.com/verbenastep/verbenastep/internal/accept"
	"github.com/verbenastep/verbenastep/internal/clock"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/logging"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
	"github.com/verbenastep/verbenastep/internal/wait"
)

const (
	// headerTimeout and idleTimeout bound callers' connections. They exceed the
	// limits that route tables declare, so that no caller within these limits is
	// disconnected.
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	// defaultMaxBodyBytes bounds a request body if the table does not.
	defaultMaxBodyBytes = 4 << 20
	// noTableRetryDelay is the Retry-After of an entry without a route table. An
	// entry receives the table within a round trip of its start.
	noTableRetryDelay = 300 * time.Millisecond
	// tableWaitTimeout bounds the time that a request waits for the first route
	// table. It is longer than the leader election after a start of all daemons;
	// a refused caller would retry later than that.
	tableWaitTimeout = 1500 * time.Millisecond
	// sweepInterval is the interval at which expired idle connections are closed.
	sweepInterval = time.Second
)

// Service is the "entry.forward" service. It serves requests concurrently.
type Service struct {
	set            *settings.Settings
	log            *zap.Logger
	view           port.TableView
	brokerClient   port.BrokerClient
	drainAnnouncer port.DrainAnnouncer
	dialect        Dialect
	metrics        *metrics
	conns          *connPool
	server         *http.Server
	listener       *accept.Listener
	ctx            context.Context
	cancel         context.CancelFunc
	// drain is nil until a planned stop begins, which ends drainBegan. aborted ends when the
	// requests in flight are aborted.
	drain        atomic.Pointer[drain]
	drainBegan   context.Context
	beginDrain   context.CancelFunc
	aborted      context.Context
	abort        context.CancelFunc
	stages       stages
	inFlight     wait.Group
	retryBudgets *retryBudgets
	notices      *notices
	// elapsed counts suspensions of the machine.
	elapsed func() time.Duration
	buffers *buffers
	// cutOffLoggedAt is the time of the last log line of a cut off; the lock of buffers
	// guards it.
	cutOffLoggedAt time.Time
}

// New returns the service.
func New(set *settings.Settings, log *zap.Logger) *Service {
	s := &Service{set: set, log: log.Named("forward"), retryBudgets: newRetryBudgets(set.Routing.Retry), notices: newNotices(), elapsed: clock.SinceBoot}
	s.drainBegan, s.beginDrain = context.WithCancel(context.Background())
	s.aborted, s.abort = context.WithCancel(context.Background())
	s.buffers = newBuffers(set.Routing.BufferBytes())
	s.buffers.onCutOff = s.recordCutOff
	return s
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameForward }

// Needs returns the services that take part in serving a request.
func (s *Service) Needs() []string {
	return []string{port.NameView, port.NameBrokerClient, port.NameMembers, port.NameDialect, port.NameEgress, port.NameMetrics}
}

// Start begins to listen for callers and to serve their requests.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	err := error(nil)
	if s.view, err = kernel.Find[port.TableView](k, port.NameView); err != nil {
		return err
	}
	if s.brokerClient, err = kernel.Find[port.BrokerClient](k, port.NameBrokerClient); err != nil {
		return err
	}
	if s.drainAnnouncer, err = kernel.Find[port.DrainAnnouncer](k, port.NameMembers); err != nil {
		return err
	}
	if s.dialect, err = kernel.Find[Dialect](k, port.NameDialect); err != nil {
		return err
	}
	registry, err := kernel.Find[port.Metrics](k, port.NameMetrics)
	if err != nil {
		return err
	}
	if s.metrics, err = newMetrics(registry.Registerer()); err != nil {
		return err
	}
	if err = registerBuffered(registry.Registerer(), s.buffers); err != nil {
		return err
	}
	upstreams, err := kernel.Find[port.Egress](k, port.NameEgress)
	if err != nil {
		return err
	}
	s.conns = newConnPool(upstreams, s.metrics.connections.Inc)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	config := net.ListenConfig{KeepAliveConfig: callerKeepAlive()}
	listener, err := config.Listen(s.ctx, "tcp", s.set.Addresses.Callers)
	if err != nil {
		return err
	}
	s.listener = accept.New(listener, callerKeepAlive())
	s.server = s.newServer()
	go func() { _ = s.server.Serve(s.listener) }()
	go s.sweep()
	return nil
}

// newServer returns the server for callers.
func (s *Service) newServer() *http.Server {
	return &http.Server{
		Handler: accept.Handler(s.routes()), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: s.set.Limits.HeaderBytes,
		ConnContext: withCallerConn, ConnState: accept.OnStateChange,
	}
}

// routes returns the handler of all requests.
func (s *Service) routes() http.Handler {
	e := echo.New()
	e.Any("/*", s.serve)
	return e
}

// sweep closes expired idle connections periodically, and all of them once the
// service stops.
func (s *Service) sweep() {
	for {
		select {
		case <-s.ctx.Done():
			s.conns.sweep(true)
			return
		case <-time.After(sweepInterval):
			s.conns.sweep(false)
		}
	}
}

// serve serves one request from arrival to the end of its response.
func (s *Service) serve(c echo.Context) error {
	s.inFlight.Begin()
	defer s.inFlight.End()
	w, r := http.ResponseWriter(c.Response()), c.Request()
	q, refusal := s.prepare(w, r)
	if q != nil {
		defer q.holding.end()
	}
	if refusal == nil {
		refusal = s.refuseAtDrain(q)
	}
	if refusal != nil {
		s.recordRefusal(q, refusal)
		s.writeError(w, refusal)
		return nil
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), q.deadline, context.DeadlineExceeded)
	defer cancel()
	ctx, abort := context.WithCancelCause(ctx)
	defer abort(nil)
	defer context.AfterFunc(s.aborted, func() { abort(errAborted) })()
	x := &exchange{s: s, request: q, w: w, ctx: ctx, stage: stageEnded}
	x.setStage(stageWaiting)
	defer x.setStage(stageEnded)
	defer s.recordEnd(x)
	s.retryBudgets.recordRequest(q.pool, s.brokerClient.Share())
	defer x.attendCaller(cancel)()
	x.run()
	x.extendWriteDeadline()
	if q.holding.end() || x.outcome == outcomeCallerGone || x.outcome == outcomeSlowCaller {
		// A handler that returns without a response sends an empty success.
		panic(http.ErrAbortHandler)
	}
	return nil
}

// reserveRetry decides whether a pool's retry budget allows a retry, and reserves it.
func (s *Service) reserveRetry(pool string) retryDecision {
	d := s.retryBudgets.reserve(pool, s.brokerClient.Share())
	s.metrics.recordRetry(pool, d)
	return d
}

// errorBody is the content of the JSON body of a gatewayError.
type errorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// writeError writes an error of the entry as the final response.
func (s *Service) writeError(w http.ResponseWriter, r *gatewayError) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if r.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	s.setConnectionClose(h)
	w.WriteHeader(r.status)
	_ = json.NewEncoder(w).Encode(map[string]errorBody{"error": {Code: r.code, Message: r.reason}})
}

// setConnectionClose makes callers of a draining entry connect elsewhere.
func (s *Service) setConnectionClose(h http.Header) {
	if s.isDraining() {
		h.Set("Connection", "close")
	}
}

// recordRefusal logs and counts a request that was refused before it was offered
// to the broker; q is nil if no route table is known.
func (s *Service) recordRefusal(q *request, r *gatewayError) {
	fields, pool, rank := []zap.Field{}, "", ""
	switch {
	case q != nil && q.route != nil:
		fields, pool, rank = q.logFields(), q.pool, strconv.Itoa(q.rank)
	case q != nil:
		fields = append(fields, zap.String("request", q.meta.RequestID), zap.Uint64("table", q.tableVersion))
	}
	s.metrics.requests.WithLabelValues(pool, rank, r.code).Inc()
	if s.isDraining() {
		s.metrics.drained.WithLabelValues(stageWaiting.String(), r.code).Inc()
	}
	s.log.Info("request refused", append(fields, zap.Int("status", r.status), zap.String("outcome", r.code), zap.String("why", r.reason), s.drainFields(q, stageWaiting))...)
}

// recordEnd logs and counts a request that ended, also if its stream was aborted.
func (s *Service) recordEnd(x *exchange) {
	duration := time.Since(x.arrived)
	if x.holding.wasCutOff() {
		x.outcome, x.reason = outcomeSlowCaller, errSlowCaller.Error()
	}
	s.metrics.recordEnd(x)
	if s.isDraining() {
		s.metrics.drained.WithLabelValues(x.stage.String(), x.outcome).Inc()
	}
	importance := zap.Skip()
	if x.outcome != outcomeAnswered {
		importance = logging.Important()
	}
	s.log.Info("request ended", x.logFields(importance, zap.String("outcome", x.outcome), zap.Int("status", x.status), zap.String("why", x.reason),
		zap.Int("runs", x.possibleRuns), zap.Int("rejects", x.notRunAttempts), zap.Int("charge", x.chargedTokens), zap.Duration("waited", x.queueTime), zap.Duration("first", x.timeToFirstEvent),
		zap.Int("events", x.stream.events), zap.Duration("longest_pause", x.stream.longestPause), zap.Duration("took", duration),
		zap.Int64("target_ms", x.route.LatencyTargetMS), zap.Int64("max_pause_ms", x.route.GapMS), zap.String("by", x.current.ticket.GrantedBy), s.drainFields(x.request, x.stage))...)
}

// Ready returns nil, or the reason why callers should not use this entry.
func (s *Service) Ready() error {
	switch {
	case s.isDraining():
		return errDraining
	case s.view.Routes() == nil:
		return errNoTable
	}
	return nil
}

// Readiness checks of the entry return these texts.
var (
	errDraining = errors.New("the daemon is stopping; use another entry")
	errNoTable  = errors.New("no route table is known yet; ask again soon")
)

// Stop shuts the server down and cancels the requests in flight.
func (s *Service) Stop(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	s.cancel()
	if err != nil {
		_ = s.server.Close()
	}
	return err
}

// Health returns the result of Ready.
func (s *Service) Health() error { return s.Ready() }

// Load always returns zero: the broker balances the requests.
func (s *Service) Load() float64 { return 0 }

// Dump returns whether the entry is draining, and its part of the retry budgets.
func (s *Service) Dump() any {
	return struct {
		Leaving bool                         `json:"leaving"`
		Retries map[string]limits.RetryUsage `json:"retries"`
	}{s.isDraining(), s.retryBudgets.dump(s.brokerClient.Share())}
}
