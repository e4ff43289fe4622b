// Package admin serves the administrative HTTP address: metrics, health and
// readiness without authentication, and for authenticated operators state dumps,
// the configuration, explanations of requests, replicas and backups.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/operator"
	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/schema"
	"github.com/verbenastep/verbenastep/internal/settings"
)

const (
	// maxApplyBytes is the maximum size of a configuration change.
	maxApplyBytes = 16 << 20
	// These timeouts bound how long a client may occupy a connection.
	headerTimeout = 5 * time.Second
	readTimeout   = 30 * time.Second
	writeTimeout  = time.Minute
	idleTimeout   = time.Minute
	// stopTimeout bounds the wait for requests at a stop with a grace period.
	stopTimeout = 250 * time.Millisecond
	// maxHeaderBytes is the maximum size of a request header.
	maxHeaderBytes = 16 << 10
)

// filesView is a view that also returns the configuration files in force.
type filesView interface {
	port.View
	Files() config.Files
}

// Service is the "admin.http" service. Its methods are safe for concurrent use.
type Service struct {
	set           *settings.Settings
	log           *zap.Logger
	metrics       port.Metrics
	kernel        *kernel.Kernel
	view          filesView
	tables        port.TableView
	replicatedLog port.Log
	members       port.Members
	server        *http.Server
}

// New returns the service.
func New(set *settings.Settings, log *zap.Logger) *Service {
	return &Service{set: set, log: log.Named("admin")}
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameAdmin }

// Needs lists the services behind the operators' requests.
func (s *Service) Needs() []string {
	return []string{port.NameView, port.NameLog, port.NameMembers, port.NameMetrics}
}

// Start listens on the administrative address.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	err := error(nil)
	s.kernel = k
	if s.view, err = kernel.Find[filesView](k, port.NameView); err != nil {
		return err
	}
	if s.tables, err = kernel.Find[port.TableView](k, port.NameView); err != nil {
		return err
	}
	if s.replicatedLog, err = kernel.Find[port.Log](k, port.NameLog); err != nil {
		return err
	}
	if s.members, err = kernel.Find[port.Members](k, port.NameMembers); err != nil {
		return err
	}
	if s.metrics, err = kernel.Find[port.Metrics](k, port.NameMetrics); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", s.set.Addresses.Admin)
	if err != nil {
		return err
	}
	s.server = &http.Server{
		Handler: s.routes(), ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	go func() { _ = s.server.Serve(ln) }()
	return nil
}

// routes returns the HTTP handler.
func (s *Service) routes() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = writeError
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(s.metrics.Gatherer(), promhttp.HandlerOpts{})))
	e.GET("/healthz", s.healthz)
	e.GET("/readyz", s.readyz)
	e.GET(operator.PathState, s.dump, s.authenticated)
	e.GET(operator.PathConfig, s.getConfig, s.authenticated)
	e.POST(operator.PathConfig, s.apply, s.authenticated)
	e.GET(operator.PathTable, s.getTable, s.authenticated)
	e.GET(operator.PathStatus, s.status, s.authenticated)
	e.GET(operator.PathExplain, s.explain, s.authenticated)
	s.replicaRoutes(e)
	s.rolloutRoutes(e)
	return e
}

// writeError answers an error as a fault, unless the response has begun.
func writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	e := fault.From(err)
	if he, ok := err.(*echo.HTTPError); ok {
		e = fault.New(fault.NotFound, "see docs/OPERATORS.md for the paths and methods", "%v", he.Message)
	}
	_ = c.JSON(e.HTTPStatus(), e)
}

// operatorID is the request context's key for the operator's identity.
const operatorID = "operator"

// authenticated is middleware that requires an operator's key.
func (s *Service) authenticated(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		id := identity(c.Request().Header.Get("Authorization"))
		if _, ok := s.operatorOf(id); !ok {
			return fault.New(fault.Unauthenticated, "give a key that settings or configuration list for operators", "the operator's key is missing or unknown")
		}
		c.Set(operatorID, id)
		return next(c)
	}
}

// identity returns the hash of the key in an Authorization header, which
// identifies an operator in the replicated log. The declared name is unsuitable:
// a change may declare or rename the operator that makes it, and a repetition of
// the change must still count as the same operator's.
func identity(header string) string {
	return config.HashKey(strings.TrimPrefix(header, "Bearer "))
}

// operatorOf returns the declared name of an identity, or "settings" and whether
// the settings list it.
func (s *Service) operatorOf(id string) (string, bool) {
	for _, o := range s.view.Snapshot().Config.Operators {
		if slices.Contains(o.Keys, id) {
			return o.Name, true
		}
	}
	return "settings", slices.Contains(s.set.OperatorKeys, id)
}

// operatorName returns, for messages, the name of the operator with an identity.
func (s *Service) operatorName(id string) string {
	if name, ok := s.operatorOf(id); ok {
		return name
	}
	return "an operator who is no longer declared"
}

func (s *Service) healthz(c echo.Context) error {
	failing := s.failing()
	if len(failing) > 0 {
		return c.JSON(http.StatusServiceUnavailable, failing)
	}
	return c.String(http.StatusOK, "ok\n")
}

// readyz answers 200 if a configuration is in force and no service is failing.
func (s *Service) readyz(c echo.Context) error {
	if s.view.Snapshot().Version == 0 || len(s.failing()) > 0 {
		return c.String(http.StatusServiceUnavailable, "no configuration is in force, or a service is failing\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// failing returns the failing services' errors by name.
func (s *Service) failing() map[string]string {
	out := map[string]string{}
	for name, err := range s.kernel.Health() {
		out[name] = err.Error()
	}
	return out
}

func (s *Service) dump(c echo.Context) error {
	return c.JSONPretty(http.StatusOK, s.kernel.Dump(), "  ")
}

func (s *Service) getConfig(c echo.Context) error {
	snap := s.view.Snapshot()
	return c.JSON(http.StatusOK, operator.Config{Version: snap.Version, Digest: snap.Digest, Files: operator.Files(s.view.Files())})
}

// getTable answers the route table in force.
func (s *Service) getTable(c echo.Context) error {
	if index := s.tables.Routes(); index != nil {
		return c.JSON(http.StatusOK, index.Table)
	}
	return fault.New(fault.NotFound, "publish a route table, or ask a daemon that serves one", "no route table is known here")
}

// readApply decodes a change from the body; it does not check the files in it.
func readApply(c echo.Context) (operator.Apply, error) {
	a := operator.Apply{}
	err := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxApplyBytes)).Decode(&a)
	large := (*http.MaxBytesError)(nil)
	if errors.As(err, &large) {
		return a, fault.New(fault.TooLarge, "send fewer or smaller files", "the configuration is over %d bytes", maxApplyBytes)
	}
	if err != nil {
		return a, fault.New(fault.Malformed, "send an apply as docs/OPERATORS.md shows", "the body is not readable: %v", err)
	}
	return a, nil
}

// apply checks a change and proposes it to the log. The answer is a conflict if
// another change was accepted on the same base.
func (s *Service) apply(c echo.Context) error {
	a, err := readApply(c)
	if err != nil {
		return err
	}
	files, err := config.Files(a.Files).Compact()
	if err != nil {
		return fault.New(fault.Malformed, "mend the files", "%v", err)
	}
	if err := schema.CheckFiles(files); err != nil {
		return fault.New(fault.Malformed, "mend the files", "%v", err)
	}
	id, _ := c.Get(operatorID).(string)
	result, err := s.replicatedLog.Propose(c.Request().Context(), port.GroupMain, state.Command{Apply: &state.Apply{Base: a.Base, Files: files, Operator: id}})
	if err != nil {
		return err
	}
	if result.Status != state.OK {
		return fault.New(fault.Conflict, "get the current version, merge your change and apply again", "version %d of %s won", result.Version, s.operatorName(result.Winner))
	}
	s.log.Info("configuration accepted", zap.Uint64("version", result.Version), zap.String("operator", s.operatorName(id)))
	return c.JSON(http.StatusOK, operator.Applied{Version: result.Version, Digest: result.Digest})
}

// explain answers how this daemon's entry handled a request. The entry starts
// after this service, so it is looked up for each call.
func (s *Service) explain(c echo.Context) error {
	key := c.QueryParam("key")
	if key == "" {
		return fault.New(fault.Malformed, "give ?key=", "the request's key is missing")
	}
	entry, err := kernel.Find[port.Explainer](s.kernel, port.NameEntry)
	if err != nil {
		return fault.New(fault.Unavailable, "ask another daemon", "this daemon explains no requests: %v", err)
	}
	explanation, ok := entry.Explain(key)
	if !ok {
		return fault.New(fault.NotFound, "ask the daemon that took the request, or check the key", "this daemon has seen no request with the key")
	}
	return c.JSONBlob(http.StatusOK, explanation)
}

// status answers which configuration version each live daemon has in force.
func (s *Service) status(c echo.Context) error {
	snap := s.view.Snapshot()
	out := operator.Status{Daemon: s.set.Name, Version: snap.Version, Digest: snap.Digest, Failing: s.failing()}
	newest := snap.Version
	members := s.members.Live()
	for _, m := range members {
		newest = max(newest, m.Version)
	}
	for _, m := range members {
		out.Members = append(out.Members, operator.MemberStatus{
			Name: m.Name, Region: m.Region, DataCentre: m.DataCentre, Callers: m.Callers,
			Version: m.Version, Lags: m.Version < newest, Replica: m.Replica,
		})
	}
	return c.JSON(http.StatusOK, out)
}

// Stop closes the listener and waits for open requests until ctx ends, and then closes them:
// operators may send all requests again. Where the process has a grace period, it waits for
// stopTimeout at the most, since other services stop after this one.
func (s *Service) Stop(ctx context.Context) error {
	if s.set.Routing != nil {
		bounded, cancel := context.WithTimeout(ctx, stopTimeout)
		defer cancel()
		ctx = bounded
	}
	if err := s.server.Shutdown(ctx); err != nil {
		s.log.Info("closing connections that did not end in time", zap.String("address", s.set.Addresses.Admin), zap.Error(err))
		return s.server.Close()
	}
	return nil
}

// Health always returns nil.
func (s *Service) Health() error { return nil }

// Dump returns an empty object.
func (s *Service) Dump() any { return struct{}{} }
