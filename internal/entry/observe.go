package entry

import (
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/internal/answer"
	"github.com/verbenastep/verbenastep/internal/port"
)

// keptExplanations is how many requests an entry can explain.
const keptExplanations = 4096

// outcomeWhole labels requests whose caller received the whole answer, and
// outcomeGone those whose caller went away.
const (
	outcomeWhole = "whole"
	outcomeGone  = "caller_gone"
)

// Explanation tells what became of a request at this entry.
type Explanation struct {
	Key       string    `json:"key"`
	Workspace string    `json:"workspace"`
	Pool      string    `json:"pool"`
	Tier      string    `json:"tier"`
	Accepted  time.Time `json:"accepted"`
	// WaitedMS is from acceptance to the grant, in milliseconds.
	WaitedMS int64           `json:"waited_ms,omitempty"`
	Upstream string          `json:"upstream,omitempty"`
	Stream   string          `json:"stream,omitempty"`
	Resumed  int             `json:"resumed,omitempty"`
	Why      json.RawMessage `json:"why,omitempty"`
	Outcome  string          `json:"outcome,omitempty"`
	Ran      string          `json:"ran,omitempty"`
	Message  string          `json:"message,omitempty"`
}

// explained identifies an explanation.
type explained struct {
	workspace string
	key       string
}

// observer counts, records events and keeps explanations.
type observer struct {
	events port.Events

	requests   *prometheus.CounterVec
	goodput    *prometheus.CounterVec
	first      *prometheus.HistogramVec
	inter      *prometheus.HistogramVec
	wastedSum  *prometheus.CounterVec
	resumedSum prometheus.Counter
	movedSum   prometheus.Counter

	mu    sync.Mutex
	known map[explained]*Explanation
	order []explained
}

// tokenBuckets are in seconds.
var (
	firstBuckets = []float64{.05, .1, .2, .3, .42, .6, 1, 2, 5, 10, 20, 60}
	interBuckets = []float64{.005, .01, .02, .028, .04, .06, .1, .2, .5, 1}
)

func newObserver(events port.Events, m port.Metrics, s *Service) *observer {
	o := &observer{
		events: events, known: map[explained]*Explanation{},
		requests:   counter("requests_total", "Requests by what their callers received.", "tier", "pool", "outcome"),
		goodput:    counter("goodput_requests_total", "Whole answers within the tier's goodput time.", "tier"),
		wastedSum:  counter("wasted_prefill_tokens_total", "Prompt tokens computed for answers that did not reach their caller whole.", "workspace"),
		first:      histogram("first_token_seconds", "Time from acceptance to the first token.", firstBuckets, "tier", "pool"),
		inter:      histogram("inter_token_seconds", "Time between two tokens.", interBuckets, "pool"),
		resumedSum: prometheus.NewCounter(prometheus.CounterOpts{Namespace: "verbenastep", Name: "streams_resumed_total", Help: "Streams resumed over a new connection."}),
		movedSum:   prometheus.NewCounter(prometheus.CounterOpts{Namespace: "verbenastep", Name: "streams_moved_total", Help: "Streams moved with their cache from a leaving engine."}),
	}
	m.Registerer().MustRegister(o.requests, o.goodput, o.wastedSum, o.first, o.inter, o.resumedSum, o.movedSum)
	m.Registerer().MustRegister(
		gauge("answer_bytes", "Bytes of the answers held.", func() float64 { return float64(s.answers.Bytes()) }),
		gauge("caller_connections", "Open callers' connections.", func() float64 { return float64(s.conns.count()) }),
	)
	return o
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "verbenastep", Name: name, Help: help}, labels)
}

func histogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: "verbenastep", Name: name, Help: help, Buckets: buckets}, labels)
}

func gauge(name, help string, value func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "verbenastep", Name: name, Help: help}, value)
}

func (o *observer) event(kind promise.Kind, r *request) promise.Event {
	return promise.Event{Kind: kind, Workspace: r.workspace.Name, Key: r.key, Pool: r.pool, Tier: r.tier, NonIdempotent: r.once(), Digest: r.digest}
}

func (o *observer) accepted(r *request) {
	if r.join {
		return
	}
	o.events.Record(o.event(promise.Accept, r))
	o.mu.Lock()
	defer o.mu.Unlock()
	id := explained{r.workspace.Name, r.key}
	if _, again := o.known[id]; again {
		return
	}
	o.order = append(o.order, id)
	o.known[id] = &Explanation{Key: r.key, Workspace: r.workspace.Name, Pool: r.pool, Tier: r.tierName, Accepted: r.accepted}
	if len(o.order) > keptExplanations {
		delete(o.known, o.order[0])
		o.order = o.order[1:]
	}
}

// note changes a request's explanation.
func (o *observer) note(r *request, change func(*Explanation)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if e, ok := o.known[explained{r.workspace.Name, r.key}]; ok {
		change(e)
	}
}

func (o *observer) granted(r *request, t port.Ticket) {
	o.note(r, func(e *Explanation) {
		e.WaitedMS = time.Since(r.accepted).Milliseconds()
		e.Upstream = t.Upstream()
		e.Why = t.Explanation()
	})
}

// followed notes which stream the request's answer comes from.
func (o *observer) followed(r *request, stream string) {
	o.note(r, func(e *Explanation) { e.Stream = stream })
}

// dispatched records that the first byte goes out.
func (o *observer) dispatched(r *request, stream string, t port.Ticket) {
	e := o.event(promise.Dispatch, r)
	e.Stream = stream
	e.Upstream = t.Upstream()
	o.events.Record(e)
}

func (o *observer) resumed(r *request) {
	o.resumedSum.Inc()
	o.note(r, func(e *Explanation) { e.Resumed++ })
}

func (o *observer) firstToken(r *request, at time.Time) {
	o.first.WithLabelValues(r.tierName, r.pool).Observe(at.Sub(r.accepted).Seconds())
}

func (o *observer) interToken(r *request, d time.Duration) {
	o.inter.WithLabelValues(r.pool).Observe(d.Seconds())
}

func (o *observer) wasted(workspace string, tokens int) {
	o.wastedSum.WithLabelValues(workspace).Add(float64(max(0, tokens)))
}

// dropped counts an answer that no caller ever received whole.
func (o *observer) dropped(a *answer.Answer) {
	if a.Whole() && !a.WasDelivered() {
		r := a.Result()
		o.wasted(a.Meta().Workspace, r.PromptTokens-r.CachedTokens)
	}
}

// told records what the caller received; err is nil for a whole answer and got
// the hash of what was written.
func (o *observer) told(r *request, a *answer.Answer, err error, got string) {
	failure := (*fault.Error)(nil)
	outcome := outcomeGone
	switch {
	case err == nil:
		outcome = outcomeWhole
		a.Delivered()
		o.answered(o.event(promise.Answer, r), a, got)
		if time.Since(r.accepted) <= r.goodput {
			o.goodput.WithLabelValues(r.tierName).Inc()
		}
	case errors.As(err, &failure):
		outcome = string(failure.Kind)
		o.refused(r, a, outcome, string(failure.Ran))
	default:
		o.refused(r, a, outcome, string(fault.MayHaveRun))
	}
	o.requests.WithLabelValues(r.tierName, r.pool, outcome).Inc()
	o.note(r, func(e *Explanation) {
		e.Outcome = outcome
		if failure != nil {
			e.Ran = string(failure.Ran)
			e.Message = failure.Message
		}
	})
}

// refused records an end without an answer; a caller who went away was told
// nothing.
func (o *observer) refused(r *request, a *answer.Answer, code, ran string) {
	e := o.event(promise.Refuse, r)
	e.Stream = a.Meta().Stream
	e.Code = code
	e.Ran = ran
	o.events.Record(e)
}

func (o *observer) answered(e promise.Event, a *answer.Answer, got string) {
	e.Stream = a.Meta().Stream
	e.Complete = true
	e.SentHash = a.Sum()
	e.ReceivedHash = got
	o.events.Record(e)
}

// pickedUp records a pick-up from the beginning that ended whole.
func (o *observer) pickedUp(a *answer.Answer, offset int64, err error, got string) {
	if err != nil {
		return
	}
	a.Delivered()
	if offset > 0 {
		return
	}
	m := a.Meta()
	e := promise.Event{Kind: promise.Accept, Workspace: m.Workspace, Key: m.Key, Pool: m.Pool, Digest: m.Digest}
	o.events.Record(e)
	e.Kind = promise.Answer
	o.answered(e, a, got)
}

// find returns a copy of an explanation; an empty workspace matches any.
func (o *observer) find(workspace, key string) (Explanation, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, e := range o.known {
		if id.key == key && (workspace == "" || id.workspace == workspace) {
			return *e, true
		}
	}
	return Explanation{}, false
}
