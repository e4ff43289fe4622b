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
	// mostRejects is how often a request is sent on after upstreams rejected it
	// or could not be reached. None of these ran it.
	mostRejects = 3
	// unplacedRetry is when a caller may come back whose request no upstream
	// took.
	unplacedRetry = 400 * time.Millisecond
	// leastLeft is the time to the deadline below which nothing is sent again.
	leastLeft = 50 * time.Millisecond
)

// exchange is one request on its way through upstreams to its answer.
type exchange struct {
	s *Service
	*request
	w   http.ResponseWriter
	ctx context.Context
	// runs counts upstreams that may have run it, rejects those that did not.
	runs    int
	rejects int
	avoid   []string
	stream  stream
	// failure is the newest sealed failure of an upstream, to pass on where no
	// other try is made.
	failure *reply
	// status, outcome and why are for the log.
	status  int
	outcome string
	why     string
	waited  time.Duration
	first   time.Duration
}

// Outcomes of requests, besides the codes of refusals.
const (
	answered       = "answered"
	upstreamFailed = "upstream_failed"
	callerGone     = "caller_gone"
	cut            = "cut"
)

// verdict says what follows a try.
type verdict uint8

const (
	// finished means that the caller has its final answer, or is gone.
	finished verdict = iota
	// again means that another upstream may be tried.
	again
)

// run tries upstreams until the caller has a final answer.
func (x *exchange) run() {
	for {
		ticket, err := x.acquire()
		if err != nil {
			x.refuse(err)
			return
		}
		if x.try(ticket) == finished {
			return
		}
		if !x.mayRepeat() {
			x.giveUp()
			return
		}
	}
}

func (x *exchange) acquire() (port.WorkTicket, error) {
	offer := x.offer(x.s)
	offer.Avoid = x.avoid
	if x.runs+x.rejects > 0 {
		offer.Charge = 0
		soon := time.Now().Add(x.route.Aim() / retryAim)
		if soon.After(offer.AimAt) {
			offer.AimAt = soon
		}
	}
	began := time.Now()
	ticket, err := x.s.work.Acquire(x.ctx, offer)
	x.waited += time.Since(began)
	if err == nil {
		x.s.log.Info("granted", x.fields(zap.String("upstream", ticket.Upstream), zap.String("by", ticket.By), zap.Duration("waited", time.Since(began)),
			zap.Duration("expected", ticket.Expected), zap.Int("free", ticket.Free), zap.Int("queued", ticket.Queued), zap.Int("rank", x.rank))...)
	}
	return ticket, err
}

// mayRepeat tells whether the request may be sent to another upstream.
func (x *exchange) mayRepeat() bool {
	if x.ctx.Err() != nil || time.Until(x.deadline) < leastLeft || x.rejects > mostRejects {
		return false
	}
	if x.runs > 0 && (!x.route.Repeatable() || x.runs >= x.route.Attempts) {
		return false
	}
	if !x.s.allowRepeat(x.pool) {
		x.s.log.Info("retry budget used up", x.fields()...)
		return false
	}
	return true
}

// refuse ends a request that got no upstream.
func (x *exchange) refuse(err error) {
	f := (*fault.Error)(nil)
	switch {
	case errors.As(err, &f) && x.runs == 0:
		status := http.StatusServiceUnavailable
		if string(f.Kind) == string(broker.Limited) {
			status = http.StatusTooManyRequests
		}
		x.answer(&refusal{status: status, code: string(f.Kind), why: f.Message, after: time.Duration(f.RetryAfterMS) * time.Millisecond})
	case x.gone():
		x.outcome = callerGone
	default:
		x.why = err.Error()
		x.giveUp()
	}
}

// gone tells whether the caller went away.
func (x *exchange) gone() bool {
	return x.ctx.Err() != nil && !errors.Is(context.Cause(x.ctx), context.DeadlineExceeded)
}

// giveUp ends a request that no upstream answered.
func (x *exchange) giveUp() {
	switch {
	case x.gone():
		x.outcome = callerGone
	case x.stream.begun:
		x.abort()
	case x.failure != nil:
		x.pass(x.failure)
	case x.runs == 0:
		x.answer(&refusal{status: http.StatusServiceUnavailable, code: "not_run", why: "no upstream took the request: " + x.why, after: unplacedRetry})
	case time.Until(x.deadline) <= 0:
		x.answer(&refusal{status: http.StatusGatewayTimeout, code: "timeout", why: "no answer came in time; the request may have run"})
	default:
		x.answer(&refusal{status: http.StatusBadGateway, code: "outcome_unknown", why: "the upstream did not answer; the request may have run: " + x.why})
	}
}

func (x *exchange) answer(r *refusal) {
	x.status, x.outcome, x.why = r.status, r.code, r.why
	x.s.writeRefusal(x.w, r)
}

// abort cuts a stream that has begun, so that it does not look complete.
func (x *exchange) abort() {
	x.outcome = cut
	panic(http.ErrAbortHandler)
}

// fields begin each line on a request.
func (x *exchange) fields(more ...zap.Field) []zap.Field {
	return append([]zap.Field{
		zap.String("request", x.meta.Attempt), zap.String("route", x.route.Name), zap.String("pool", x.pool),
		zap.String("workspace", x.workspace), zap.Uint64("table", x.version),
	}, more...)
}
