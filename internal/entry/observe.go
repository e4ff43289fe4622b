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

// maxExplanations is the maximum number of requests that an entry can explain.
const maxExplanations = 4096

// Outcomes in metrics and explanations, besides the codes of errors:
// outcomeComplete means that the caller received the complete answer,
// outcomeDisconnected that the caller disconnected before the end of the answer.
const (
	outcomeComplete     = "whole"
	outcomeDisconnected = "caller_gone"
)

// Explanation describes how this entry processed a request.
type Explanation struct {
	Key       string    `json:"key"`
	Workspace string    `json:"workspace"`
	Pool      string    `json:"pool"`
	Tier      string    `json:"tier"`
	Accepted  time.Time `json:"accepted"`
	// WaitedMS is the time from acceptance to the grant, in milliseconds.
	WaitedMS int64  `json:"waited_ms,omitempty"`
	Upstream string `json:"upstream,omitempty"`
	Stream   string `json:"stream,omitempty"`
	// Resumed is how often the stream was resumed over a new connection.
	Resumed int `json:"resumed,omitempty"`
	// Reason is the scheduler's reason for its choice of the upstream.
	Reason  json.RawMessage `json:"why,omitempty"`
	Outcome string          `json:"outcome,omitempty"`
	Ran     string          `json:"ran,omitempty"`
	Message string          `json:"message,omitempty"`
}

// explanationID identifies an explanation; keys are unique only within their
// workspace.
type explanationID struct {
	workspace string
	key       string
}

// observer updates the entry's metrics, records the events that package promise
// checks and keeps the latest explanations. It is safe for concurrent use.
type observer struct {
	events port.Events

	requests          *prometheus.CounterVec
	goodput           *prometheus.CounterVec
	firstTokenSeconds *prometheus.HistogramVec
	interTokenSeconds *prometheus.HistogramVec
	wastedTokens      *prometheus.CounterVec
	streamsResumed    prometheus.Counter
	streamsMoved      prometheus.Counter

	mu           sync.Mutex
	explanations map[explanationID]*Explanation
	order        []explanationID
}

// Histogram buckets, in seconds.
var (
	firstTokenBuckets = []float64{.05, .1, .2, .3, .42, .6, 1, 2, 5, 10, 20, 60}
	interTokenBuckets = []float64{.005, .01, .02, .028, .04, .06, .1, .2, .5, 1}
)

func newObserver(events port.Events, m port.Metrics, s *Service) *observer {
	o := &observer{
		events: events, explanations: map[explanationID]*Explanation{},
		requests:          counter("requests_total", "Requests by what their callers received.", "tier", "pool", "outcome"),
		goodput:           counter("goodput_requests_total", "Whole answers within the tier's goodput time.", "tier"),
		wastedTokens:      counter("wasted_prefill_tokens_total", "Prompt tokens computed for answers that did not reach their caller whole.", "workspace"),
		firstTokenSeconds: histogram("first_token_seconds", "Time from acceptance to the first token.", firstTokenBuckets, "tier", "pool"),
		interTokenSeconds: histogram("inter_token_seconds", "Time between two tokens.", interTokenBuckets, "pool"),
		streamsResumed:    prometheus.NewCounter(prometheus.CounterOpts{Namespace: "verbenastep", Name: "streams_resumed_total", Help: "Streams resumed over a new connection."}),
		streamsMoved:      prometheus.NewCounter(prometheus.CounterOpts{Namespace: "verbenastep", Name: "streams_moved_total", Help: "Streams moved with their cache from a leaving engine."}),
	}
	m.Registerer().MustRegister(o.requests, o.goodput, o.wastedTokens, o.firstTokenSeconds, o.interTokenSeconds, o.streamsResumed, o.streamsMoved)
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

// newEvent returns an event with the properties of a request.
func (o *observer) newEvent(kind promise.Kind, r *request) promise.Event {
	return promise.Event{Kind: kind, Workspace: r.workspace.Name, Key: r.key, Pool: r.pool, Tier: r.tier, NonIdempotent: r.mustRunOnce(), Digest: r.digest}
}

// recordAccept records that a request was accepted and starts its explanation,
// unless the request only follows an existing claim.
func (o *observer) recordAccept(r *request) {
	if r.joinOnly {
		return
	}
	o.events.Record(o.newEvent(promise.Accept, r))
	o.mu.Lock()
	defer o.mu.Unlock()
	id := explanationID{r.workspace.Name, r.key}
	if _, known := o.explanations[id]; known {
		return
	}
	o.order = append(o.order, id)
	o.explanations[id] = &Explanation{Key: r.key, Workspace: r.workspace.Name, Pool: r.pool, Tier: r.tierName, Accepted: r.accepted}
	if len(o.order) > maxExplanations {
		delete(o.explanations, o.order[0])
		o.order = o.order[1:]
	}
}

// updateExplanation applies change to the explanation of a request, if it is
// still kept.
func (o *observer) updateExplanation(r *request, change func(*Explanation)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if e, ok := o.explanations[explanationID{r.workspace.Name, r.key}]; ok {
		change(e)
	}
}

// recordGrant notes the wait and the granted upstream.
func (o *observer) recordGrant(r *request, t port.Ticket) {
	o.updateExplanation(r, func(e *Explanation) {
		e.WaitedMS = time.Since(r.accepted).Milliseconds()
		e.Upstream = t.Upstream()
		e.Reason = t.Explanation()
	})
}

// recordStream notes which stream the request's answer comes from.
func (o *observer) recordStream(r *request, stream string) {
	o.updateExplanation(r, func(e *Explanation) { e.Stream = stream })
}

// recordDispatch records that the first byte of the request is about to be sent.
func (o *observer) recordDispatch(r *request, stream string, t port.Ticket) {
	e := o.newEvent(promise.Dispatch, r)
	e.Stream = stream
	e.Upstream = t.Upstream()
	o.events.Record(e)
}

// recordResume counts a stream that was resumed over a new connection.
func (o *observer) recordResume(r *request) {
	o.streamsResumed.Inc()
	o.updateExplanation(r, func(e *Explanation) { e.Resumed++ })
}

// observeFirstToken exports the time from acceptance to the first token.
func (o *observer) observeFirstToken(r *request, at time.Time) {
	o.firstTokenSeconds.WithLabelValues(r.tierName, r.pool).Observe(at.Sub(r.accepted).Seconds())
}

// observeInterToken exports the time between two tokens.
func (o *observer) observeInterToken(r *request, d time.Duration) {
	o.interTokenSeconds.WithLabelValues(r.pool).Observe(d.Seconds())
}

// countWasted counts prompt tokens that were computed for an answer which no
// caller received complete.
func (o *observer) countWasted(workspace string, tokens int) {
	o.wastedTokens.WithLabelValues(workspace).Add(float64(max(0, tokens)))
}

// countUndelivered counts the prompt tokens of a removed answer as wasted if no
// caller received it complete.
func (o *observer) countUndelivered(a *answer.Answer) {
	if a.IsComplete() && !a.WasDelivered() {
		r := a.Result()
		o.countWasted(a.Meta().Workspace, r.PromptTokens-r.CachedTokens)
	}
}

// recordOutcome records what the caller received. err is nil for a complete
// answer; writtenHash is the hash of the text written.
func (o *observer) recordOutcome(r *request, a *answer.Answer, err error, writtenHash string) {
	failure := (*fault.Error)(nil)
	outcome := outcomeDisconnected
	switch {
	case err == nil:
		outcome = outcomeComplete
		a.MarkDelivered()
		o.recordAnswer(o.newEvent(promise.Answer, r), a, writtenHash)
		if time.Since(r.accepted) <= r.goodput {
			o.goodput.WithLabelValues(r.tierName).Inc()
		}
	case errors.As(err, &failure):
		outcome = string(failure.Kind)
		o.recordRefusal(r, a, outcome, string(failure.Ran))
	default:
		o.recordRefusal(r, a, outcome, string(fault.MayHaveRun))
	}
	o.requests.WithLabelValues(r.tierName, r.pool, outcome).Inc()
	o.updateExplanation(r, func(e *Explanation) {
		e.Outcome = outcome
		if failure != nil {
			e.Ran = string(failure.Ran)
			e.Message = failure.Message
		}
	})
}

// recordRefusal records that a request ended without a complete answer, because
// of an error or because its caller disconnected.
func (o *observer) recordRefusal(r *request, a *answer.Answer, code, ran string) {
	e := o.newEvent(promise.Refuse, r)
	e.Stream = a.Meta().Stream
	e.Code = code
	e.Ran = ran
	o.events.Record(e)
}

// recordAnswer completes and records the event of a complete answer.
func (o *observer) recordAnswer(e promise.Event, a *answer.Answer, writtenHash string) {
	e.Stream = a.Meta().Stream
	e.Complete = true
	e.SentHash = a.Checksum()
	e.ReceivedHash = writtenHash
	o.events.Record(e)
}

// recordRetrieval marks a retrieved answer as delivered if it was written to its
// end, and records it if it was also read from the beginning.
func (o *observer) recordRetrieval(a *answer.Answer, offset int64, err error, writtenHash string) {
	if err != nil {
		return
	}
	a.MarkDelivered()
	if offset > 0 {
		return
	}
	m := a.Meta()
	e := promise.Event{Kind: promise.Accept, Workspace: m.Workspace, Key: m.Key, Pool: m.Pool, Digest: m.Digest}
	o.events.Record(e)
	e.Kind = promise.Answer
	o.recordAnswer(e, a, writtenHash)
}

// explanation returns a copy of an explanation. An empty workspace matches any.
func (o *observer) explanation(workspace, key string) (Explanation, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, e := range o.explanations {
		if id.key == key && (workspace == "" || id.workspace == workspace) {
			return *e, true
		}
	}
	return Explanation{}, false
}
