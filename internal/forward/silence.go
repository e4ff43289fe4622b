package forward

import (
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/broker"
)

const (
	// minServiceResponseTimeout and minEngineResponseTimeout are lower bounds of
	// the time after which a repeatable request without a response is sent to a second
	// upstream; above them it is responseTimeoutFactor times the expected time.
	minServiceResponseTimeout = 200 * time.Millisecond
	minEngineResponseTimeout  = 600 * time.Millisecond
	responseTimeoutFactor     = 3
	// maxStreamPause is the time without an event after which a resumable stream
	// is resumed at a second upstream. It is several times the longest pause that
	// counts as on time, and well below callers' timeouts.
	maxStreamPause = 1200 * time.Millisecond
)

// watchSilence restarts the timer after which a replacement for the current attempt is
// looked for, or stops it if there can be none. An attempt that waits for its grant needs
// none.
func (x *exchange) watchSilence() {
	x.silence.Stop()
	if x.current.recorded && x.replacement == nil && x.route.Repeatable() && x.possibleRuns+1 < x.route.MaxAttempts {
		x.silence.Reset(x.silenceTimeout())
	}
}

// silenceTimeout returns how long the upstream of the current attempt may be silent. It
// doubles with each replacement that failed, since each one counts against the retry budget.
func (x *exchange) silenceTimeout() time.Duration {
	return x.maxSilence() << x.failedReplacements
}

// maxSilence returns how long an upstream may be silent before the first replacement.
func (x *exchange) maxSilence() time.Duration {
	if x.stream.headerSent {
		return maxStreamPause
	}
	least := minServiceResponseTimeout
	if x.engine != nil {
		least = minEngineResponseTimeout
	}
	return max(least, responseTimeoutFactor*x.current.ticket.ExpectedTimeToFirstEvent)
}

// handleSilence looks for a replacement, unless a report has arrived at the same moment, as
// after the daemon itself was stopped for a while.
func (x *exchange) handleSilence() nextStep {
	select {
	case p, open := <-x.current.progress:
		return x.handleCurrent(p, open)
	default:
		x.replaceSilent()
		return proceed
	}
}

// replaceSilent starts a replacement for the current attempt, whose upstream is silent. The
// current attempt goes on.
func (x *exchange) replaceSilent() {
	if !x.canRetry() {
		x.failedReplacements++
		x.watchSilence()
		return
	}
	a := x.current
	a.isPathSound.Store(a.isAcknowledged())
	x.s.log.Info("upstream is silent; looking for another one", x.logFields(zap.String("upstream", a.ticket.Upstream), zap.Duration("silent", time.Since(a.heardAt)), zap.Int("events", x.stream.events))...)
	x.replacement = x.startAttempt()
}

// handleReplacement handles a report of the replacement, or its end if open is false.
func (x *exchange) handleReplacement(p progress, open bool) nextStep {
	b := x.replacement
	if !open {
		return x.handleReplacementEnd(b)
	}
	b.heardAt = p.at
	switch {
	case p.kind == requestSent:
		x.recordGrant(b)
	case p.kind == eventReceived:
		return x.handleReplacementEvent(b, p)
	case b.isStream():
		// Its first event decides.
	case x.isAnswer(b):
		x.takeOver(b)
		return x.handleResponse(b)
	default:
		x.recordUnsuitable(b)
		x.abandonReplacement()
	}
	return proceed
}

// handleReplacementEnd handles the end of the replacement. A stream that ends in order without
// another event is complete if the current attempt sends none either.
func (x *exchange) handleReplacementEnd(b *upstreamAttempt) nextStep {
	if b.err == nil && x.isWhole(b) {
		b.streamEnded = true
		return proceed
	}
	err := b.err
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	x.recordFailure(b, err)
	x.abandonReplacement()
	return proceed
}

// handleReplacementEvent lets the replacement take over with the first event that the
// caller lacks.
func (x *exchange) handleReplacementEvent(b *upstreamAttempt, p progress) nextStep {
	switch x.place(b, p.event) {
	case isKnown:
		x.holding.release(p.event.heldBytes())
		return proceed
	case isMisplaced:
		x.recordFailure(b, errMissingEvents)
		x.abandonReplacement()
		return proceed
	case isNext:
	}
	x.takeOver(b)
	next := x.relayEvent(b, p)
	x.holding.release(p.event.heldBytes())
	return next
}

// takeOver ends the current attempt and goes on with the replacement.
func (x *exchange) takeOver(b *upstreamAttempt) {
	x.recordFailure(x.current, errUpstreamTimeout)
	x.current, x.replacement = b, nil
}

// abandonReplacement goes on without a replacement after it has failed.
func (x *exchange) abandonReplacement() {
	x.replacement = nil
	x.failedReplacements++
	x.watchSilence()
}

// isAnswer reports whether an attempt's complete response, which is not a stream, may be
// relayed to the caller.
func (x *exchange) isAnswer(a *upstreamAttempt) bool {
	return !a.isRejected() && a.resp.StatusCode < http.StatusInternalServerError && !x.stream.headerSent
}

// recordUnsuitable records a replacement whose response does not answer the request.
func (x *exchange) recordUnsuitable(b *upstreamAttempt) {
	switch {
	case b.isRejected():
		x.recordRejected(b)
	case b.resp.StatusCode >= http.StatusInternalServerError:
		x.recordUpstreamError(b)
	default:
		x.recordFailure(b, errNotResumed)
	}
}

// dropReplacement ends the replacement, since the current attempt goes on.
func (x *exchange) dropReplacement() {
	b := x.replacement
	if b == nil {
		return
	}
	x.replacement = nil
	b.finish(broker.Canceled)
	x.recordGrant(b)
	if b.conn != nil {
		x.possibleRuns++
	}
}
