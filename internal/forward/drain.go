package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/core/routes"
	"github.com/verbenastep/verbenastep/internal/settings"
	"github.com/verbenastep/verbenastep/internal/wait"
)

const (
	// announceDelay bounds the time until all directories know that an entry
	// drains.
	announceDelay = 700 * time.Millisecond
	// directoryTTLs is the number of TTLs for which callers may use a directory
	// answer.
	directoryTTLs = 3
	// acceptTenths is the latest moment, in tenths of the grace period, at which new
	// connections are accepted.
	acceptTenths = 4
	tenths       = 10
	// durationMargin is added to the expected duration of a request: the response still has to
	// reach the caller.
	durationMargin = 200 * time.Millisecond
	// durationFactor is applied to the expected duration at the upstream that is granted, which is
	// an average. lateDurationFactor takes its place for requests that arrive after the answers
	// of the directory that named the entry have expired: their callers know other entries.
	durationFactor     = 1.25
	lateDurationFactor = 2
	// drainRetryDelay is the Retry-After of requests that a draining entry does not begin. Other
	// entries can serve them at once.
	drainRetryDelay = 50 * time.Millisecond
	// maxAbortTime bounds the time in which aborted requests deliver their last response;
	// abortShare is the divisor of what is left of the grace period that bounds it as well.
	maxAbortTime = 250 * time.Millisecond
	abortShare   = 3
)

// codeDraining is the code of the refusal of a request that the entry can't end before it stops.
const codeDraining = "draining"

// errCannotFinish is returned by attempts that are not begun since the entry stops; the request did
// not run. errAborted is the cause of the end of requests at the end of the grace period.
var (
	errCannotFinish error = fault.New(codeDraining, "send the request to another entry", "the entry stops before the request can end").After(drainRetryDelay)
	errAborted            = errors.New("the entry stops; the grace period is over")
)

// drain is a planned stop that has begun.
type drain struct {
	// began is when the stop was ordered, expired when the last answer of the directory that named
	// the entry has expired, end when requests that are still in flight are aborted.
	began   time.Time
	expired time.Time
	end     time.Time
}

// Drain announces that the entry leaves the directory and serves callers that
// still use an older directory answer, as far as their requests can end in time. It then closes
// the listener and waits for the requests in flight and those that have begun to arrive. Before the
// end of the grace period, or when ctx is canceled, it aborts them.
func (s *Service) Drain(ctx context.Context) error {
	ttl := settings.Milliseconds(s.set.Routing.AnswerTTLMS)
	grace := settings.Milliseconds(s.set.Routing.GraceMS)
	began := time.Now()
	acceptTime := min(directoryTTLs*ttl+announceDelay, grace*acceptTenths/tenths)
	d := &drain{began: began, expired: began.Add(min(directoryTTLs*ttl, acceptTime)), end: began.Add(s.set.Routing.DrainTime())}
	if t, ok := ctx.Deadline(); ok && t.Before(d.end) {
		d.end = t
	}
	s.drain.Store(d)
	s.beginDrain()
	s.listener.LingerOnClose()
	s.drainAnnouncer.AnnounceDrain()
	s.log.Info("left the directory; serving callers that hold an older answer", zap.Duration("for", acceptTime), zap.Duration("grace", grace),
		zap.Object("in_flight", s.stages.count()))
	wait.Sleep(ctx, acceptTime)
	inTime, cancel := context.WithDeadline(ctx, d.end)
	defer cancel()
	s.listener.StopAccepting()
	s.log.Info("accepting no more connections", zap.Duration("after", time.Since(began)), zap.Object("in_flight", s.stages.count()))
	s.listener.WaitIdle(inTime)
	select {
	case <-s.inFlight.Idle():
	case <-inTime.Done():
	}
	if inTime.Err() == nil {
		s.log.Info("all requests ended", zap.Duration("after", time.Since(began)))
		return nil
	}
	s.log.Warn("grace period ends; aborting requests in flight", zap.Duration("after", time.Since(began)), zap.Bool("ordered", errors.Is(ctx.Err(), context.Canceled)),
		zap.Object("in_flight", s.stages.count()))
	s.abortRequests(min(maxAbortTime, (grace-s.set.Routing.DrainTime())/abortShare))
	return nil
}

// abortRequests ends the requests in flight: those without a response yet get one that says
// whether they may have run, streams are broken off. timeout is for the callers to take the
// responses; connections that are left are closed then, and their handlers have as long to end.
func (s *Service) abortRequests(timeout time.Duration) {
	s.abort()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	s.listener.WaitIdle(ctx)
	if left := s.stages.count(); left != (stageCounts{}) {
		s.log.Warn("requests did not end; closing their connections", zap.Object("in_flight", left))
	}
	_ = s.server.Close()
	select {
	case <-s.inFlight.Idle():
	case <-time.After(timeout):
		s.log.Error("requests in flight did not end with their connections", zap.Object("in_flight", s.stages.count()))
	}
}

// isDraining reports whether a planned stop has begun.
func (s *Service) isDraining() bool { return s.drain.Load() != nil }

// isLate reports whether a request arrived after the answers of the directory that named the entry
// had expired. Its caller knows other entries.
func (d *drain) isLate(q *request) bool { return q.arrived.After(d.expired) }

// expectedDuration estimates how long the request takes from its grant at an upstream, and the
// factor that the estimate is multiplied by. While upstream is empty, since none is granted, the
// request may still get the fastest.
func (d *drain) expectedDuration(s *Service, q *request, upstream string) (e broker.DurationEstimate, factor float64) {
	offer, factor := q.offer(s).Offer, 1.0
	if upstream != "" {
		factor = durationFactor
	}
	if q.meta.ExpectedOutputTokens == 0 {
		offer.OutputTokens = q.meta.MaxTokens
	}
	if d.isLate(q) {
		offer.OutputTokens, factor = q.meta.MaxTokens, lateDurationFactor
	}
	return s.brokerClient.ExpectedDuration(offer, upstream), factor
}

// latestStart returns the latest time at which an upstream may begin the request so that it ends
// before the entry aborts it: at any time if its deadline is earlier, and never if nothing tells
// how long it takes, as with streams of plain services. The duration at other upstreams says
// nothing about one that has not been measured: a late request, whose caller knows other entries, does
// not begin there. While upstream is empty, since none is granted, the request may still get the
// fastest.
func (d *drain) latestStart(s *Service, q *request, upstream string) time.Time {
	if !q.deadline.After(d.end) {
		return q.deadline
	}
	if q.route.Kind == routes.Stream && q.engine == nil {
		return d.began
	}
	expected, factor := d.expectedDuration(s, q, upstream)
	if expected.Basis == broker.NoBasis || upstream != "" && expected.Basis != broker.UpstreamBasis && d.isLate(q) {
		return d.began
	}
	return d.end.Add(-time.Duration(factor*float64(expected.Duration)) - durationMargin)
}

// refuseAtDrain returns the refusal of a request that a draining entry can't end in time, or nil.
func (s *Service) refuseAtDrain(q *request) *gatewayError {
	d := s.drain.Load()
	if d == nil || !time.Now().After(d.latestStart(s, q, "")) {
		return nil
	}
	return &gatewayError{status: http.StatusServiceUnavailable, code: codeDraining, reason: errCannotFinish.Error(), retryAfter: drainRetryDelay}
}

// waitContext returns the context of a wait for a grant. If the entry drains, it ends with
// errCannotFinish at the latest time at which the request may begin, or at regrantEnd. A request that
// may have run waits on: its caller can't be told to send it elsewhere.
func (a *upstreamAttempt) waitContext() (ctx context.Context, release func()) {
	if !a.isOnly.Load() {
		return a.ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(a.ctx)
	// The function may still run when the attempt has gone on.
	regrantEnd := a.regrantEnd
	unregister := context.AfterFunc(a.s.drainBegan, func() {
		latest := a.s.drain.Load().latestStart(a.s, a.request, "")
		if !regrantEnd.IsZero() && regrantEnd.Before(latest) {
			latest = regrantEnd
		}
		timer := time.AfterFunc(time.Until(latest), func() { cancel(errCannotFinish) })
		context.AfterFunc(ctx, func() { timer.Stop() })
	})
	return ctx, func() {
		unregister()
		cancel(nil)
	}
}

// returnUnfinishable returns the grant if the entry drains and the request can't end in time at
// the upstream. It reports whether it did.
func (a *upstreamAttempt) returnUnfinishable() bool {
	d := a.s.drain.Load()
	if d == nil || !a.isOnly.Load() || !time.Now().After(d.latestStart(a.s, a.request, a.ticket.Upstream)) {
		return false
	}
	a.s.log.Info("grant returned", a.logFields(zap.String("upstream", a.ticket.Upstream), d.estimateFields(a), a.s.drainFields(a.request, stageWaiting))...)
	a.returnGrant()
	if a.regrantEnd.IsZero() && d.isLate(a.request) {
		a.regrantEnd = time.Now().Add(drainRetryDelay)
	}
	return true
}

// logBegin records what a draining entry expects of a request that it passes on to an upstream.
func (a *upstreamAttempt) logBegin() {
	d := a.s.drain.Load()
	if d == nil {
		return
	}
	a.s.log.Info("begun during a planned stop", a.logFields(zap.String("upstream", a.ticket.Upstream), d.estimateFields(a), a.s.drainFields(a.request, stageWaiting))...)
}

// estimateFields returns the field of a log line that says how long the attempt is expected to
// take at its upstream, and what that is derived from.
func (d *drain) estimateFields(a *upstreamAttempt) zap.Field {
	e, factor := d.expectedDuration(a.s, a.request, a.ticket.Upstream)
	return zap.Dict("estimate", zap.Duration("duration", e.Duration), zap.Stringer("basis", e.Basis), zap.Float64("factor", factor),
		zap.Bool("late", d.isLate(a.request)))
}

// drainFields returns the field of a log line that says where a request stands in a planned
// stop: its stage, when it arrived after the begin of the stop, what is left until requests are
// aborted, and its number on its connection. It is empty without a planned stop.
func (s *Service) drainFields(q *request, at stage) zap.Field {
	d := s.drain.Load()
	if d == nil || q == nil {
		return zap.Skip()
	}
	return zap.Dict("drain", zap.Stringer("stage", at), zap.Duration("arrived", q.arrived.Sub(d.began)), zap.Duration("left", time.Until(d.end)), zap.Int64("on_connection", q.numberOnConn))
}
