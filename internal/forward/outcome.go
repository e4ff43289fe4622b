package forward

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/internal/egress"
)

// recordGrant records the upstream of an attempt that was granted one.
func (x *exchange) recordGrant(a *upstreamAttempt) {
	if a.recorded {
		return
	}
	a.recorded = true
	x.isSent = x.isSent || a.conn != nil
	x.queueTime += a.queueTime
	if a.granted {
		x.triedUpstreams = append(x.triedUpstreams, a.ticket.Upstream)
	}
}

// recordFailure records an attempt that ended without a complete response.
func (x *exchange) recordFailure(a *upstreamAttempt, err error) {
	x.recordGrant(a)
	switch {
	case !a.granted:
		x.s.log.Info("no other upstream was granted", x.logFields(zap.Error(err))...)
		a.finish(broker.NotSent)
		return
	case a.conn == nil:
		x.notRunAttempts++
		a.finish(x.unsentOutcome(err))
	default:
		if errors.Is(context.Cause(a.ctx), context.DeadlineExceeded) {
			err = context.DeadlineExceeded
		}
		x.possibleRuns++
		a.finish(x.lossOutcome(err))
		x.stream.isUnfinished = x.stream.isUnfinished || a.isCutInEvent || errors.Is(err, errMissingEvents)
	}
	x.logFailure(a, err)
}

// unsentOutcome returns the outcome of an attempt that sent nothing.
func (x *exchange) unsentOutcome(err error) broker.Outcome {
	failed := (*egress.DialError)(nil)
	switch {
	case x.callerDisconnected() || x.isAborted():
		return broker.NotSent
	case errors.As(err, &failed) && failed.IsUpstreamDown():
		return broker.Unreachable
	}
	return broker.PathUnavailable
}

// lossOutcome returns the outcome of an attempt that was sent and brought no complete
// response. The request may have run.
func (x *exchange) lossOutcome(err error) broker.Outcome {
	switch {
	case errors.Is(err, errUnnamedRejection):
		return broker.UnclearRejection
	case errors.Is(err, errStrayResponse), errors.Is(err, errUnsealed), errors.Is(err, errEncoded), errors.Is(err, errMissingEvents), errors.Is(err, errNotResumed):
		return broker.InvalidResponse
	case x.callerDisconnected() || x.isAborted():
		return broker.Canceled
	case errors.Is(err, errUpstreamTimeout), errors.Is(err, context.DeadlineExceeded):
		return broker.TimedOut
	case isLoss(err):
		return broker.ConnectionLost
	}
	return broker.InvalidResponse
}

// recordRejected records a response that states that the request did not run.
func (x *exchange) recordRejected(a *upstreamAttempt) {
	x.notRunAttempts++
	a.releaseConn(a.respBodyErr)
	if a.respMeta.Misdirected {
		a.finish(broker.Misdirected)
	} else {
		a.finish(broker.Rejected)
	}
	x.logFailure(a, errors.New(a.resp.Status))
}

// recordUpstreamError keeps a complete server error of an upstream, which is relayed only
// if no other attempt succeeds.
func (x *exchange) recordUpstreamError(a *upstreamAttempt) {
	x.recordTimeToResponse(a)
	x.possibleRuns++
	x.upstreamError = a.completeResponse()
	a.releaseConn(nil)
	a.finish(broker.UpstreamError)
	x.logFailure(a, errors.New(a.resp.Status))
}

// recordTimeToResponse records how long a complete response took.
func (x *exchange) recordTimeToResponse(a *upstreamAttempt) {
	a.end.TimeToFirstEvent = a.heardAt.Sub(a.sentAt)
	if !x.stream.headerSent {
		x.timeToFirstEvent = a.end.TimeToFirstEvent
	}
}

// recordStreamEnd records a stream that the upstream completed.
func (x *exchange) recordStreamEnd(a *upstreamAttempt) {
	x.possibleRuns++
	a.describeStream(&a.end, a.relayed)
	x.outcome = outcomeAnswered
	if !a.isGrantEnded {
		a.releaseConn(nil)
	}
	a.finish(broker.Completed)
	x.s.log.Debug("stream complete", x.logFields(zap.Int("events", x.stream.events))...)
}

// describeStream adds what was measured of a complete stream to the end of its grant.
func (a *upstreamAttempt) describeStream(e *broker.End, s streamTimes) {
	if s.events == 0 {
		return
	}
	e.TimeToFirstEvent, e.DecodeTime, e.AnswerBegun = s.firstAt.Sub(a.sentAt), s.lastAt.Sub(s.firstAt), true
	if a.engine != nil {
		e.OutputTokens = (s.events - 1) * max(1, a.engine.EventTokens)
	}
}

// endBeforeCaller ends the grant of a stream that is complete while its caller still reads:
// the upstream can take another request.
func (a *upstreamAttempt) endBeforeCaller() {
	if a.err != nil || !a.hasBacklog() {
		return
	}
	e := broker.End{Outcome: broker.Completed}
	a.describeStream(&e, a.read)
	a.releaseConn(nil)
	a.isGrantEnded = true
	a.endCheckedGrant(e)
}

// logFailure logs an attempt that did not succeed and counts it by its outcome.
func (x *exchange) logFailure(a *upstreamAttempt, err error) {
	x.reason = err.Error()
	silence := time.Duration(0)
	if !a.heardAt.IsZero() {
		silence = time.Since(a.heardAt)
	}
	x.s.metrics.failedAttempts.WithLabelValues(x.pool, a.end.Outcome.String()).Inc()
	x.s.log.Info("try failed", x.logFields(zap.String("upstream", a.ticket.Upstream), zap.String("address", a.ticket.Address), zap.Stringer("outcome", a.end.Outcome),
		zap.Int("runs", x.possibleRuns), zap.Int("rejects", x.notRunAttempts), zap.Bool("reused", a.isReused), zap.Duration("silent", silence), zap.Error(err))...)
}
