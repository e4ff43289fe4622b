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
	// aimMargin is the part of the aim kept for the way to the caller and back.
	aimMargin = 30 * time.Millisecond
	// unsizedTokens is the answer assumed of a request that states no length.
	unsizedTokens = 100
	// rankStep is how many ranks of routes one rank of workspaces spans: the
	// workspace's rank goes before the route's, which orders its own requests.
	rankStep = 4
	// rankReserve is the part of a quota's bucket that each rank of a route
	// leaves to the ranks before it.
	rankReserve = 0.2
	// retryAim is the part of the aim that a second try has from its start.
	retryAim = 2
)

// request is a caller's request after it was checked.
type request struct {
	meta      Meta
	route     *routes.Route
	engine    *routes.Engine
	pool      string
	workspace string
	rank      int
	charge    int
	version   uint64
	method    string
	target    string
	host      string
	header    http.Header
	body      []byte
	arrived   time.Time
	deadline  time.Time
	aim       time.Time
	// fingerprint identifies path, workspace and body.
	fingerprint uint64
}

// refusal is a final answer of the entry's own.
type refusal struct {
	status int
	code   string
	why    string
	after  time.Duration
}

// Error gives code and reason.
func (r *refusal) Error() string { return r.code + ": " + r.why }

// prepare matches, authenticates and reads a request.
func (s *Service) prepare(w http.ResponseWriter, r *http.Request) (*request, *refusal) {
	began := time.Now()
	x := s.awaitTable(r.Context())
	if x == nil {
		return nil, &refusal{status: http.StatusServiceUnavailable, code: "no_table", why: "no route table is known yet", after: noTableRetry}
	}
	q := &request{meta: s.dialect.Read(r.Header), arrived: began, version: x.Table.Version, method: r.Method, host: r.Host, header: r.Header}
	q.target = r.RequestURI
	if !strings.HasPrefix(q.target, "/") {
		q.target = r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(q.target, "?")
	if q.route = x.Match(r.Host, path); q.route == nil {
		return q, &refusal{status: http.StatusNotFound, code: "no_route", why: "no route matches host and path"}
	}
	if refused := q.identify(x); refused != nil {
		return q, refused
	}
	if refused := q.read(w, r, x.Table.Limits.BodyBytes); refused != nil {
		return q, refused
	}
	q.plan(x)
	return q, nil
}

// awaitTable returns the route table in force. An entry that has just started
// waits a moment for its first one: that is sooner than the caller would be
// back.
func (s *Service) awaitTable(ctx context.Context) *routes.Index {
	deadline := time.After(tableWait)
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

// identify finds the workspace of the key.
func (q *request) identify(x *routes.Index) *refusal {
	q.rank = q.route.Rank
	space := (*routes.Workspace)(nil)
	if q.meta.Key != "" {
		space = x.Workspace(config.HashKey(q.meta.Key))
	}
	if space == nil {
		if q.route.Public || !x.Keyed() {
			return nil
		}
		return &refusal{status: http.StatusUnauthorized, code: "unauthenticated", why: "the key is missing or unknown"}
	}
	q.workspace = space.Name
	if space.Rank != nil {
		q.rank = *space.Rank*rankStep + min(q.route.Rank, rankStep-1)
	}
	if space.TokensPerSecond > 0 {
		q.charge = int(space.PlainTokens)
		if q.meta.Sized {
			q.charge = q.meta.PromptTokens + q.meta.MaxTokens
		}
	}
	return nil
}

// read reads the whole body.
func (q *request) read(w http.ResponseWriter, r *http.Request, most int64) *refusal {
	if most <= 0 {
		most = defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	tooLarge := (*http.MaxBytesError)(nil)
	if errors.As(err, &tooLarge) {
		return &refusal{status: http.StatusRequestEntityTooLarge, code: "too_large", why: "the body is longer than the table allows"}
	}
	if err != nil {
		return &refusal{status: http.StatusBadRequest, code: "incomplete", why: "the body did not arrive whole"}
	}
	q.body = body
	return nil
}

// plan sets pool, times and fingerprint.
func (q *request) plan(x *routes.Index) {
	q.pool = q.route.Pick(rand.Float64())
	if p := x.Pool(q.pool); p != nil {
		q.engine = p.Engine
	}
	wait := q.route.Timeout()
	if q.meta.Wait > 0 {
		wait = min(wait, q.meta.Wait)
	}
	q.deadline = q.arrived.Add(wait)
	q.aim = q.arrived.Add(q.route.Aim() - aimMargin)
	h := fnv.New64a()
	for _, part := range []string{q.method, q.target, q.workspace} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(q.body)
	q.fingerprint = h.Sum64()
}

// offer is what the broker sees of the request.
func (q *request) offer(s *Service) port.WorkOffer {
	// A caller that is refused would be served later than twice the aim.
	o := port.WorkOffer{AimAt: q.aim, DeadlineAt: q.deadline, Late: q.route.Aim()}
	o.Offer = broker.Offer{
		Pool: q.pool, Workspace: q.workspace, DataCentre: s.set.DataCentre, Region: s.set.Region, Rank: q.rank,
		Charge: q.charge, Fingerprint: q.fingerprint,
	}
	if q.engine == nil {
		return o
	}
	o.Reserve = rankReserve * float64(min(q.route.Rank, rankStep-1))
	o.PromptTokens = q.meta.PromptTokens
	o.OutputTokens = q.meta.LikelyTokens
	if o.OutputTokens == 0 {
		o.OutputTokens = min(max(1, q.meta.MaxTokens), unsizedTokens)
	}
	if n := len(q.meta.Parts); n > 0 {
		o.Session = q.meta.Parts[n-1].ID
		for _, p := range q.meta.Parts {
			o.SessionTokens += p.Tokens
		}
		o.SessionTokens = min(o.SessionTokens, o.PromptTokens)
	}
	return o
}
