package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/core/routes"
)

const (
	// maxNotRunAttempts bounds the retries after upstreams that rejected the request
	// or could not be reached; none of them ran it.
	maxNotRunAttempts = 3
	// notRunRetryDelay is the Retry-After of a request that no upstream accepted.
	notRunRetryDelay = 400 * time.Millisecond
	// minRetryTime is the time to the deadline below which no retry is made.
	minRetryTime = 50 * time.Millisecond
)

// exchange is one request with the state of its upstream attempts and response. It
// belongs to one goroutine.
//
// A repeatable request whose upstream is silent is sent to a second one. The first
// upstream is given up only once the second has answered, a stream with its next event,
// since a silent upstream may be sound and the second may fail as well.
type exchange struct {
	s *Service
	*request
	w      http.ResponseWriter
	ctx    context.Context
	caller callerLink
	// current is the attempt whose response is relayed, replacement the attempt that
	// takes over if it answers before current does; nil if there is none.
	current     *upstreamAttempt
	replacement *upstreamAttempt
	// silence fires when current has been silent for too long. failedReplacements counts
	// the replacements that did not take over.
	silence            *time.Timer
	failedReplacements int
	// attempts counts all attempts, possibleRuns those that ended and may have run the
	// request, notRunAttempts those that certainly did not run it: the upstream rejected
	// it or could not be reached.
	attempts       int
	possibleRuns   int
	notRunAttempts int
	triedUpstreams []string
	// isSent is true once an attempt may have arrived at an upstream; a further one is a retry.
	// retryReserved is true if the next attempt has a place in the retry budget.
	isSent        bool
	retryReserved bool
	stream        stream
	// stage is how far the request has come; setStage changes it.
	stage stage
	// upstreamError is the newest sealed server error of an upstream, relayed if
	// no other attempt succeeds.
	upstreamError *response
	// The following are for logs and metrics.
	status           int
	outcome          string
	reason           string
	queueTime        time.Duration
	timeToFirstEvent time.Duration
}

// Outcomes of requests as callers see them, in addition to the codes of gatewayError.
// Outcomes of upstream attempts are of type broker.Outcome.
const (
	outcomeAnswered      = "answered"
	outcomeUpstreamError = "upstream_failed"
	outcomeCallerGone    = "caller_gone"
	outcomeAborted       = "cut"
	outcomeSlowCaller    = "slow_caller"
)

// nextStep is what follows a report of an attempt.
type nextStep uint8

const (
	// stop means that the caller has its final response or has disconnected.
	stop nextStep = iota
	// proceed means that the exchange goes on.
	proceed
)

// run makes upstream attempts until the caller has a final response.
func (x *exchange) run() {
	x.silence = time.NewTimer(time.Hour)
	x.silence.Stop()
	defer x.finishAttempts()
	x.current = x.startAttempt()
	for x.advance() == proceed {
	}
}

// advance handles one report of an attempt, or the silence of the current one.
func (x *exchange) advance() nextStep {
	replacement := (chan progress)(nil)
	if x.replacement != nil && !x.replacement.streamEnded {
		replacement = x.replacement.progress
	}
	select {
	case p, open := <-x.current.progress:
		return x.handleCurrent(p, open)
	case p, open := <-replacement:
		return x.handleReplacement(p, open)
	case <-x.silence.C:
		return x.handleSilence()
	}
}

// startAttempt starts an attempt. One after the first is charged no tokens, and its
// latency target is extended.
func (x *exchange) startAttempt() *upstreamAttempt {
	offer := x.offer(x.s)
	offer.Avoid = slices.Concat(x.triedUpstreams, x.s.notices.leaving(time.Now(), x.pool))
	if x.attempts > 0 {
		offer.QuotaCharge = 0
		retryLatencyTarget := time.Now().Add(x.route.LatencyTarget() / retryTargetDivisor)
		if retryLatencyTarget.After(offer.LatencyTargetAt) {
			offer.LatencyTargetAt = retryLatencyTarget
		}
	}
	if version := x.streamVersion(); version != "" {
		offer.SoftwareVersion, offer.VersionBound = version, true
	}
	if x.stream.headerSent && offer.Resumes == 0 {
		offer.Stream, offer.Resumes = 0, offer.Stream
	}
	if x.stream.headerSent || x.meta.LastEvent != "" {
		// An upstream has begun to answer these parts, so they crash none, and the stream
		// need not wait for the trial of others that have them.
		offer.SharedParts = nil
	}
	offer.Counted = x.attempts > 0
	x.attempts++
	lastEvent := x.meta.LastEvent
	if x.stream.lastID != "" {
		lastEvent = x.stream.lastID
	}
	isOnly := x.possibleRuns == 0 && (x.current == nil || x.current.ended)
	a := x.s.newAttempt(x.ctx, x.request, offer, lastEvent, isOnly)
	a.retryReserved, x.retryReserved = x.retryReserved, false
	a.start()
	return a
}

// streamVersion returns the software version at which the stream must go on: that of the
// events that were delivered, or of the current attempt, which may still deliver the first.
// It is empty if the stream has not begun, or its upstream states no version.
func (x *exchange) streamVersion() string {
	switch {
	case x.stream.headerSent:
		return x.stream.softwareVersion
	case x.route.Kind == routes.Stream && x.current != nil && !x.current.ended:
		return x.current.ticket.SoftwareVersion
	}
	return ""
}

// finishAttempts ends the attempts that have not ended.
func (x *exchange) finishAttempts() {
	x.silence.Stop()
	x.current.finish(broker.Canceled)
	x.dropReplacement()
}

// handleCurrent handles a report of the current attempt, or its end if open is false.
func (x *exchange) handleCurrent(p progress, open bool) nextStep {
	a := x.current
	if !open {
		return x.handleEnd(a)
	}
	a.heardAt = p.at
	if p.kind == requestSent {
		x.recordGrant(a)
		x.advanceStage(stageSent)
		x.watchSilence()
		return proceed
	}
	if p.kind == responseStarted {
		return x.handleResponse(a)
	}
	next := x.relayEvent(a, p)
	x.holding.release(p.event.heldBytes())
	return next
}

// handleEnd handles the end of the current attempt.
func (x *exchange) handleEnd(a *upstreamAttempt) nextStep {
	err := a.err
	if err == nil && x.isWhole(a) {
		x.recordStreamEnd(a)
		return stop
	}
	if err == nil {
		// A stream without any event counts as lost.
		err = io.ErrUnexpectedEOF
	}
	if !a.granted {
		x.recordGrant(a)
		x.endWithoutUpstream(err)
		return stop
	}
	x.recordFailure(a, err)
	return x.tryAnother()
}

// handleResponse handles the response of the current attempt: the header of a stream, or
// another response as a whole.
func (x *exchange) handleResponse(a *upstreamAttempt) nextStep {
	switch {
	case a.isRejected():
		x.recordRejected(a)
		return x.tryAnother()
	case a.isStream():
		x.watchSilence()
		return proceed
	case a.resp.StatusCode >= http.StatusInternalServerError:
		x.recordUpstreamError(a)
		return x.tryAnother()
	case x.stream.headerSent:
		x.recordFailure(a, errNotResumed)
		return x.tryAnother()
	}
	x.recordTimeToResponse(a)
	x.possibleRuns++
	a.releaseConn(nil)
	a.finish(broker.Completed)
	x.dropReplacement()
	x.writeResponse(a.completeResponse())
	return stop
}

// tryAnother goes on with the replacement, or starts another attempt, after the current
// one has failed.
func (x *exchange) tryAnother() nextStep {
	x.silence.Stop()
	if x.replacement != nil {
		x.current, x.replacement = x.replacement, nil
		x.current.isOnly.Store(x.possibleRuns == 0)
		x.watchSilence()
		return proceed
	}
	if !x.canRetry() {
		x.respondNoResponse()
		return stop
	}
	x.advanceStage(stageWaiting)
	x.current = x.startAttempt()
	return proceed
}

// canRetry reports whether the request may be sent to another upstream.
func (x *exchange) canRetry() bool {
	if x.ctx.Err() != nil || x.remaining() < minRetryTime || x.notRunAttempts > maxNotRunAttempts {
		return false
	}
	if x.stream.headerSent && x.stream.lastID == "" {
		// Its events would come once more.
		return false
	}
	if x.possibleRuns > 0 && (!x.route.Repeatable() || x.possibleRuns >= x.route.MaxAttempts) {
		return false
	}
	return !x.isSent || x.reserveRetry()
}

// reserveRetry reserves a retry for the next attempt. It returns false if the pool's retry budget
// is exhausted.
func (x *exchange) reserveRetry() bool {
	d := x.s.reserveRetry(x.pool)
	message := "retry allowed"
	if !d.allowed {
		message = "retry budget exhausted"
	}
	x.s.log.Info(message, x.logFields(d.logFields()...)...)
	x.retryReserved = d.allowed
	return d.allowed
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
		x.respondError(&gatewayError{status: status, code: string(f.Kind), reason: f.Message, retryAfter: time.Duration(f.RetryAfterMS) * time.Millisecond})
	case x.callerDisconnected():
		x.outcome = outcomeCallerGone
	default:
		x.reason = err.Error()
		x.respondNoResponse()
	}
}

// callerDisconnected reports whether the caller closed its connection.
func (x *exchange) callerDisconnected() bool {
	return x.ctx.Err() != nil && !errors.Is(context.Cause(x.ctx), context.DeadlineExceeded) && !x.isAborted()
}

// isAborted reports whether the request is aborted since the entry stops.
func (x *exchange) isAborted() bool { return errors.Is(context.Cause(x.ctx), errAborted) }

// respondNoResponse responds to a request after its last attempt failed.
func (x *exchange) respondNoResponse() {
	switch {
	case x.callerDisconnected():
		x.outcome = outcomeCallerGone
	case x.stream.headerSent:
		x.abortStream()
	case x.upstreamError != nil:
		x.writeResponse(x.upstreamError)
	case x.possibleRuns == 0 && x.isAborted():
		x.respondError(&gatewayError{status: http.StatusServiceUnavailable, code: codeDraining, reason: errAborted.Error(), retryAfter: drainRetryDelay})
	case x.possibleRuns == 0:
		x.respondError(&gatewayError{status: http.StatusServiceUnavailable, code: "not_run", reason: "no upstream took the request: " + x.reason, retryAfter: notRunRetryDelay})
	case x.remaining() <= 0:
		x.respondError(&gatewayError{status: http.StatusGatewayTimeout, code: "timeout", reason: "no answer came in time; the request may have run"})
	default:
		x.respondError(&gatewayError{status: http.StatusBadGateway, code: "outcome_unknown", reason: "the upstream did not answer; the request may have run: " + x.reason})
	}
}

// respondError responds with an error of the entry.
func (x *exchange) respondError(r *gatewayError) {
	if x.stream.headerSent {
		x.reason = r.reason
		x.abortStream()
	}
	x.status, x.outcome, x.reason = r.status, r.code, r.reason
	x.s.writeError(x.w, r)
}

// abortStream closes the caller's connection within a stream, so that the stream
// does not look complete.
func (x *exchange) abortStream() {
	x.outcome = outcomeAborted
	panic(http.ErrAbortHandler)
}

// writeResponse writes an upstream's response to the caller.
func (x *exchange) writeResponse(r *response) {
	if x.stream.headerSent {
		x.abortStream()
	}
	x.setStage(stageResponding)
	x.status, x.outcome = r.status, outcomeAnswered
	if r.status >= http.StatusInternalServerError {
		x.outcome = outcomeUpstreamError
	}
	h := x.w.Header()
	for name, values := range r.header {
		h[name] = values
	}
	h.Set("Content-Length", strconv.Itoa(len(r.body)))
	x.s.setConnectionClose(h)
	x.w.WriteHeader(r.status)
	if err := x.writeBody(r.body); err != nil {
		x.recordWriteFailure(err)
	}
}
