package forward

import (
	"context"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/routes"
	"github.com/verbenastep/verbenastep/internal/accept"
	"github.com/verbenastep/verbenastep/internal/brokerwire"
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
	requestTarget string
	host          string
	header        http.Header
	body          []byte
	arrived       time.Time
	// numberOnConn is the number of the request on its caller's connection, from 1.
	numberOnConn int64
	// deadline bounds timers. remaining also counts suspensions of the machine.
	deadline        time.Time
	remaining       func() time.Duration
	latencyTargetAt time.Time
	// fingerprint is a hash of method, request target, workspace and body.
	fingerprint uint64
	// holding is what the request holds of the service's buffers.
	holding *holding
}

// gatewayError is a final error response that the entry itself generates: the refusal
// of a request that did not run, or the report of a timeout or an unknown outcome.
type gatewayError struct {
	status     int
	code       string
	reason     string
	retryAfter time.Duration
}

// Error returns code and reason.
func (r *gatewayError) Error() string { return r.code + ": " + r.reason }

// prepare matches, authenticates and reads a request. With an error the request is
// incomplete, or nil if no route table is known.
func (s *Service) prepare(w http.ResponseWriter, r *http.Request) (*request, *gatewayError) {
	arrived, arrivedAt := time.Now(), s.elapsed()
	index := s.waitForTable(r.Context())
	if index == nil {
		limitUnreadBody(w, r)
		return nil, &gatewayError{status: http.StatusServiceUnavailable, code: "no_table", reason: "no route table is known yet", retryAfter: noTableRetryDelay}
	}
	q := &request{meta: s.dialect.Read(r.Header), arrived: arrived, numberOnConn: accept.RequestNumber(r.Context()), tableVersion: index.Table.Version, method: r.Method, host: r.Host, header: r.Header}
	q.holding = s.buffers.newHolding(q)
	q.requestTarget = r.RequestURI
	if !strings.HasPrefix(q.requestTarget, "/") {
		q.requestTarget = r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(q.requestTarget, "?")
	if q.route = index.Match(r.Host, path); q.route == nil {
		limitUnreadBody(w, r)
		return q, &gatewayError{status: http.StatusNotFound, code: "no_route", reason: "no route matches host and path"}
	}
	if refusal := q.authenticate(index); refusal != nil {
		limitUnreadBody(w, r)
		return q, refusal
	}
	timeout := q.plan(index)
	if refusal := q.readBody(w, r, index.Table.Limits.BodyBytes); refusal != nil {
		return q, refusal
	}
	q.setFingerprint()
	q.remaining = func() time.Duration { return arrivedAt + timeout - s.elapsed() }
	return q, nil
}

// waitForTable returns the route table in force. An entry that has just started
// waits for its first table, since a refused caller would retry later than the
// table arrives. It returns nil after the timeout.
func (s *Service) waitForTable(ctx context.Context) *routes.Index {
	deadline := time.After(tableWaitTimeout)
	for {
		changed := s.view.Changed()
		if index := s.view.Routes(); index != nil {
			return index
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
func (q *request) authenticate(index *routes.Index) *gatewayError {
	q.rank = q.route.Rank
	workspace := (*routes.Workspace)(nil)
	if q.meta.Key != "" {
		workspace = index.WorkspaceByKey(config.HashKey(q.meta.Key))
	}
	if workspace == nil {
		if q.route.Public || !index.RequiresKey() {
			return nil
		}
		return &gatewayError{status: http.StatusUnauthorized, code: "unauthenticated", reason: "the key is missing or unknown"}
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

// plan sets pool, deadline and latency target, and returns the time that the request has
// in all.
func (q *request) plan(index *routes.Index) time.Duration {
	q.pool = q.route.Pick(rand.Float64())
	if p := index.Pool(q.pool); p != nil {
		q.engine = p.Engine
	}
	timeout := q.route.Timeout()
	if q.meta.Timeout > 0 {
		timeout = min(timeout, q.meta.Timeout)
	}
	q.deadline = q.arrived.Add(timeout)
	q.latencyTargetAt = q.arrived.Add(q.route.LatencyTarget() - latencyTargetMargin)
	return timeout
}

// setFingerprint sets the fingerprint of a request that was read whole.
func (q *request) setFingerprint() {
	h := fnv.New64a()
	for _, part := range []string{q.method, q.requestTarget, q.workspace} {
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
	o := port.BrokerOffer{LatencyTargetAt: q.latencyTargetAt, DeadlineAt: q.deadline, LatencyGrace: q.route.LatencyTarget()}
	if x := s.set.Routing.Overload; x != nil {
		o.AbandonAt = q.deadline
		if abandonAt := q.arrived.Add(x.AbandonTime(q.route.LatencyTarget())); q.route.Kind == routes.Stream && abandonAt.Before(q.deadline) {
			o.AbandonAt = abandonAt
		}
	}
	o.Offer = broker.Offer{
		Pool: q.pool, Workspace: q.workspace, DataCentre: s.set.DataCentre, Region: s.set.Region, Rank: q.rank,
		QuotaCharge: q.chargedTokens, Fingerprint: q.fingerprint, Route: brokerwire.RouteHash(q.route.Name),
	}
	o.SharedParts = q.sharedParts()
	if q.engine != nil {
		q.describeWork(&o.Offer)
	}
	if q.route.Kind == routes.Stream && q.route.Resumable {
		q.nameStreams(&o.Offer)
	}
	return o
}

// describeWork sets what the request asks of an engine.
func (q *request) describeWork(o *broker.Offer) {
	o.QuotaReserve = quotaReservePerRank * float64(min(q.route.Rank, ranksPerWorkspaceRank-1))
	o.PromptTokens = q.meta.PromptTokens
	o.OutputTokens = q.meta.ExpectedOutputTokens
	if o.OutputTokens == 0 {
		o.OutputTokens = min(max(1, q.meta.MaxTokens), defaultOutputTokens)
	}
	o.MaxOutputTokens = q.meta.MaxTokens
	if n := len(q.meta.PromptParts); n > 0 {
		o.Session = q.meta.PromptParts[n-1].ID
		for _, p := range q.meta.PromptParts {
			o.SessionTokens += p.Tokens
		}
		o.SessionTokens = min(o.SessionTokens, o.PromptTokens)
	}
}

const (
	// partIDBase is the base in which the ID of a part is hashed.
	partIDBase = 16
	// maxSharedParts bounds the parts that an offer names.
	maxSharedParts = 64
)

// sharedParts returns hashes of the parts of the prompt that it may share with others, by
// pool: the first ones, without the last.
func (q *request) sharedParts() []uint64 {
	out := []uint64{}
	for i := range min(maxSharedParts, max(0, len(q.meta.PromptParts)-1)) {
		out = append(out, hashText(q.pool+"\x00"+strconv.FormatUint(q.meta.PromptParts[i].ID, partIDBase)))
	}
	return out
}

// nameStreams sets the stream that the request begins or goes on with, and the one that it
// resumes. A caller that does not name the latter is known by the content, once all else is set.
func (q *request) nameStreams(o *broker.Offer) {
	o.Stream = hashText(q.meta.RequestID)
	if q.meta.LastEvent == "" {
		return
	}
	o.Resumes = hashText(q.meta.ResumedRequest)
	if o.Resumes == 0 {
		o.Resumes, o.ResumesContent = broker.ContentStream(o.Fingerprint, o.Session), true
	}
}

// hashText returns a hash of a text; zero if the text is empty.
func hashText(text string) uint64 {
	if text == "" {
		return 0
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, text) // Write of a hash never fails
	return h.Sum64()
}

// logFields returns the fields that begin each log line about the request.
func (q *request) logFields(more ...zap.Field) []zap.Field {
	return append([]zap.Field{
		zap.String("request", q.meta.RequestID), zap.String("route", q.route.Name), zap.String("pool", q.pool),
		zap.String("workspace", q.workspace), zap.Uint64("table", q.tableVersion),
	}, more...)
}
