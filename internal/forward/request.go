package forward

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/routes"
	"github.com/verbenastep/verbenastep/internal/port"
)

const (
	// latencyTargetMargin is the part of the latency target reserved for the
	// round trip to the caller.
	latencyTargetMargin = 30 * time.Millisecond
	// defaultOutputTokens is the response length assumed for a request without a
	// stated length.
	defaultOutputTokens = 100
	// ranksPerWorkspaceRank is the number of route ranks within one workspace
	// rank: the workspace's rank takes precedence, the route's rank orders the
	// requests of a workspace.
	ranksPerWorkspaceRank = 4
	// quotaReservePerRank is the fraction of a quota's token bucket that each
	// route rank leaves to the ranks before it.
	quotaReservePerRank = 0.2
	// retryTargetDivisor divides the latency target to give the time that a retry
	// has from its start.
	retryTargetDivisor = 2
)

// request is a caller's request that was matched, authenticated and read.
type request struct {
	meta          RequestMeta
	route         *routes.Route
	engine        *routes.Engine
	pool          string
	workspace     string
	rank          int
	chargedTokens int
	tableVersion  uint64
	method        string
	target        string
	host          string
	header        http.Header
	body          []byte
	arrived       time.Time
	deadline      time.Time
	latencyTarget time.Time
	// fingerprint is a hash of method, target, workspace and body.
	fingerprint uint64
}

// refusal is a final response that the entry itself gives.
type refusal struct {
	status     int
	code       string
	reason     string
	retryAfter time.Duration
}

// Error returns code and reason.
func (r *refusal) Error() string { return r.code + ": " + r.reason }

// prepare matches, authenticates and reads a request. With a refusal the request
// is incomplete, or nil if no route table is known.
func (s *Service) prepare(w http.ResponseWriter, r *http.Request) (*request, *refusal) {
	arrived := time.Now()
	x := s.waitForTable(r.Context())
	if x == nil {
		return nil, &refusal{status: http.StatusServiceUnavailable, code: "no_table", reason: "no route table is known yet", retryAfter: noTableRetryDelay}
	}
	q := &request{meta: s.dialect.Read(r.Header), arrived: arrived, tableVersion: x.Table.Version, method: r.Method, host: r.Host, header: r.Header}
	q.target = r.RequestURI
	if !strings.HasPrefix(q.target, "/") {
		q.target = r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(q.target, "?")
	if q.route = x.Match(r.Host, path); q.route == nil {
		return q, &refusal{status: http.StatusNotFound, code: "no_route", reason: "no route matches host and path"}
	}
	if refusal := q.authenticate(x); refusal != nil {
		return q, refusal
	}
	if refusal := q.readBody(w, r, x.Table.Limits.BodyBytes); refusal != nil {
		return q, refusal
	}
	q.plan(x)
	return q, nil
}

// waitForTable returns the route table in force. An entry that has just started
// waits for its first table, since a refused caller would retry later than the
// table arrives. It returns nil after the timeout.
func (s *Service) waitForTable(ctx context.Context) *routes.Index {
	deadline := time.After(tableWaitTimeout)
	for {
		changed := s.view.Changed()
		if x := s.view.Routes(); x != nil {
			return x
		}
		select {
		case <-changed:
		case <-deadline:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// authenticate sets the workspace of the caller's key, the rank and the tokens to
// charge.
func (q *request) authenticate(x *routes.Index) *refusal {
	q.rank = q.route.Rank
	workspace := (*routes.Workspace)(nil)
	if q.meta.Key != "" {
		workspace = x.WorkspaceByKey(config.HashKey(q.meta.Key))
	}
	if workspace == nil {
		if q.route.Public || !x.RequiresKey() {
			return nil
		}
		return &refusal{status: http.StatusUnauthorized, code: "unauthenticated", reason: "the key is missing or unknown"}
	}
	q.workspace = workspace.Name
	if workspace.Rank != nil {
		q.rank = *workspace.Rank*ranksPerWorkspaceRank + min(q.route.Rank, ranksPerWorkspaceRank-1)
	}
	if workspace.TokensPerSecond > 0 {
		q.chargedTokens = int(workspace.DefaultTokens)
		if q.meta.HasTokenCounts {
			q.chargedTokens = q.meta.PromptTokens + q.meta.MaxTokens
		}
	}
	return nil
}

// readBody reads the whole body, up to maxBytes or the default.
func (q *request) readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) *refusal {
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	tooLarge := (*http.MaxBytesError)(nil)
	if errors.As(err, &tooLarge) {
		return &refusal{status: http.StatusRequestEntityTooLarge, code: "too_large", reason: "the body is longer than the table allows"}
	}
	if err != nil {
		return &refusal{status: http.StatusBadRequest, code: "incomplete", reason: "the body did not arrive whole"}
	}
	q.body = body
	return nil
}

// plan sets pool, deadline, latency target and fingerprint.
func (q *request) plan(x *routes.Index) {
	q.pool = q.route.Pick(rand.Float64())
	if p := x.Pool(q.pool); p != nil {
		q.engine = p.Engine
	}
	timeout := q.route.Timeout()
	if q.meta.Timeout > 0 {
		timeout = min(timeout, q.meta.Timeout)
	}
	q.deadline = q.arrived.Add(timeout)
	q.latencyTarget = q.arrived.Add(q.route.LatencyTarget() - latencyTargetMargin)
	h := fnv.New64a()
	for _, part := range []string{q.method, q.target, q.workspace} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(q.body)
	q.fingerprint = h.Sum64()
}

// offer returns the description of the request for the broker.
func (q *request) offer(s *Service) port.BrokerOffer {
	// The request is served until twice its latency target, since a refused
	// caller would be served later still.
	o := port.BrokerOffer{LatencyTargetAt: q.latencyTarget, DeadlineAt: q.deadline, LatencyGrace: q.route.LatencyTarget()}
	o.Offer = broker.Offer{
		Pool: q.pool, Workspace: q.workspace, DataCentre: s.set.DataCentre, Region: s.set.Region, Rank: q.rank,
		Charge: q.chargedTokens, Fingerprint: q.fingerprint,
	}
	if q.engine == nil {
		return o
	}
	o.Reserve = quotaReservePerRank * float64(min(q.route.Rank, ranksPerWorkspaceRank-1))
	o.PromptTokens = q.meta.PromptTokens
	o.OutputTokens = q.meta.ExpectedOutputTokens
	if o.OutputTokens == 0 {
		o.OutputTokens = min(max(1, q.meta.MaxTokens), defaultOutputTokens)
	}
	if n := len(q.meta.PromptParts); n > 0 {
		o.Session = q.meta.PromptParts[n-1].ID
		for _, p := range q.meta.PromptParts {
			o.SessionTokens += p.Tokens
		}
		o.SessionTokens = min(o.SessionTokens, o.PromptTokens)
	}
	return o
}
