package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/internal/port"
)

const (
	// maxRejections bounds the retries after upstreams that rejected the request
	// or could not be reached; none of them ran it.
	maxRejections = 3
	// notRunRetryDelay is the Retry-After of a request that no upstream accepted.
	notRunRetryDelay = 400 * time.Millisecond
	// minRetryTime is the time to the deadline below which no retry is made.
	minRetryTime = 50 * time.Millisecond
)

// exchange is one request with the state of its upstream attempts and response. It
// belongs to one goroutine.
type exchange struct {
	s *Service
	*request
	w   http.ResponseWriter
	ctx context.Context
	// possibleRuns counts attempts that may have run the request, rejections those
	// that certainly did not run it.
	possibleRuns   int
	rejections     int
	triedUpstreams []string
	stream         stream
	// errorResponse is the newest sealed server error of an upstream, relayed if
	// no other attempt succeeds.
	errorResponse *response
	// The following are for logs and metrics.
	status         int
	outcome        string
	reason         string
	queueTime      time.Duration
	firstEventTime time.Duration
}

// Outcomes of requests, in addition to the codes of refusals.
const (
	outcomeAnswered       = "answered"
	outcomeUpstreamFailed = "upstream_failed"
	outcomeCallerGone     = "caller_gone"
	outcomeAborted        = "cut"
)

// nextStep is what follows an upstream attempt.
type nextStep uint8

const (
	// stop means that the caller has its final response or has disconnected.
	stop nextStep = iota
	// tryNext means that another upstream may be tried.
	tryNext
)

// run makes upstream attempts until the caller has a final response.
func (x *exchange) run() {
	for {
		ticket, err := x.acquire()
		if err != nil {
			x.endWithoutUpstream(err)
			return
		}
		if x.attemptUpstream(ticket) == stop {
			return
		}
		if !x.canRetry() {
			x.respondNoAnswer()
			return
		}
	}
}

// acquire asks the broker for an upstream. A retry is charged no tokens, and its
// latency target is extended.
func (x *exchange) acquire() (port.BrokerTicket, error) {
	offer := x.offer(x.s)
	offer.Avoid = x.triedUpstreams
	if x.possibleRuns+x.rejections > 0 {
		offer.Charge = 0
		retryTarget := time.Now().Add(x.route.LatencyTarget() / retryTargetDivisor)
		if retryTarget.After(offer.LatencyTargetAt) {
			offer.LatencyTargetAt = retryTarget
		}
	}
	offeredAt := time.Now()
	ticket, err := x.s.brokerClient.Acquire(x.ctx, offer)
	x.queueTime += time.Since(offeredAt)
	if err == nil {
		x.s.log.Info("granted", x.logFields(zap.String("upstream", ticket.Upstream), zap.String("by", ticket.GrantedBy), zap.Duration("waited", time.Since(offeredAt)),
			zap.Duration("expected", ticket.Expected), zap.Int("free", ticket.Free), zap.Int("queued", ticket.Queued), zap.Int("rank", x.rank))...)
	}
	return ticket, err
}

// canRetry reports whether the request may be sent to another upstream.
func (x *exchange) canRetry() bool {
	if x.ctx.Err() != nil || time.Until(x.deadline) < minRetryTime || x.rejections > maxRejections {
		return false
	}
	if x.possibleRuns > 0 && (!x.route.Repeatable() || x.possibleRuns >= x.route.MaxAttempts) {
		return false
	}
	if !x.s.allowRetry(x.pool) {
		x.s.log.Info("retry budget exhausted", x.logFields()...)
		return false
	}
	return true
}

// endWithoutUpstream responds to a request that was granted no upstream. The
// broker's refusal is passed on only if no attempt may have run the request.
func (x *exchange) endWithoutUpstream(err error) {
	f := (*fault.Error)(nil)
	switch {
	case errors.As(err, &f) && x.possibleRuns == 0:
		status := http.StatusServiceUnavailable
		if string(f.Kind) == string(broker.LimitExceeded) {
			status = http.StatusTooManyRequests
		}
		x.respondRefusal(&refusal{status: status, code: string(f.Kind), reason: f.Message, retryAfter: time.Duration(f.RetryAfterMS) * time.Millisecond})
	case x.callerDisconnected():
		x.outcome = outcomeCallerGone
	default:
		x.reason = err.Error()
		x.respondNoAnswer()
	}
}

// callerDisconnected reports whether the caller closed its connection.
func (x *exchange) callerDisconnected() bool {
	return x.ctx.Err() != nil && !errors.Is(context.Cause(x.ctx), context.DeadlineExceeded)
}

// respondNoAnswer responds to a request after its last attempt failed.
func (x *exchange) respondNoAnswer() {
	switch {
	case x.callerDisconnected():
		x.outcome = outcomeCallerGone
	case x.stream.headerSent:
		x.abortStream()
	case x.errorResponse != nil:
		x.writeResponse(x.errorResponse)
	case x.possibleRuns == 0:
		x.respondRefusal(&refusal{status: http.StatusServiceUnavailable, code: "not_run", reason: "no upstream took the request: " + x.reason, retryAfter: notRunRetryDelay})
	case time.Until(x.deadline) <= 0:
		x.respondRefusal(&refusal{status: http.StatusGatewayTimeout, code: "timeout", reason: "no answer came in time; the request may have run"})
	default:
		x.respondRefusal(&refusal{status: http.StatusBadGateway, code: "outcome_unknown", reason: "the upstream did not answer; the request may have run: " + x.reason})
	}
}

// respondRefusal responds with a refusal.
func (x *exchange) respondRefusal(r *refusal) {
	x.status, x.outcome, x.reason = r.status, r.code, r.reason
	x.s.writeRefusal(x.w, r)
}

// abortStream closes the caller's connection within a stream, so that the stream
// does not look complete.
func (x *exchange) abortStream() {
	x.outcome = outcomeAborted
	panic(http.ErrAbortHandler)
}

// logFields returns the fields that begin each log line about the request.
func (x *exchange) logFields(more ...zap.Field) []zap.Field {
	return append([]zap.Field{
		zap.String("request", x.meta.Attempt), zap.String("route", x.route.Name), zap.String("pool", x.pool),
		zap.String("workspace", x.workspace), zap.Uint64("table", x.tableVersion),
	}, more...)
}
