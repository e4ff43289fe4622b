package forward

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/broker"
)

// maxGrantAge is how long after a grant its request may be sent. It covers the setup of a
// connection, also through another entry, which takes up to 1.4 s. An entry that was paused for
// longer has lost its broker, which may have given the slot to another request.
const maxGrantAge = 2 * time.Second

// process returns the process that was granted.
func (a *upstreamAttempt) process() process {
	return process{pool: a.pool, upstream: a.ticket.Upstream, born: a.ticket.Born}
}

// connect waits for the grant of an upstream that takes requests of this entry, and returns
// a connection to it. The broker may not know yet what the upstream told this entry; each
// upstream that is excluded is avoided from then on.
func (a *upstreamAttempt) connect() (*conn, error) {
	for {
		if err := a.acquire(); err != nil {
			return nil, err
		}
		if a.returnExcluded() || a.returnUnfinishable() {
			continue
		}
		c, err := a.s.conns.get(a.ctx, a.ticket.Address, a.meta.RequestID, !a.route.Repeatable())
		if err != nil {
			return nil, err
		}
		// The setup of a connection takes time in which a notice may arrive.
		if !a.returnExcluded() && !a.returnOutdated() && !a.returnUnfinishable() {
			a.logBegin()
			return c, nil
		}
		_ = c.Close()
	}
}

// returnExpired returns a grant that must not be acted on any more. It reports whether it did.
func (a *upstreamAttempt) returnExpired() bool {
	if a.ticket.Expired == nil || !a.ticket.Expired() {
		return false
	}
	a.s.log.Info("grant returned", a.logFields(zap.String("upstream", a.ticket.Upstream), zap.String("software", a.ticket.SoftwareVersion),
		zap.String("version_why", a.ticket.VersionReason), zap.Bool("expired", true))...)
	a.returnGrant()
	return true
}

// returnExcluded returns the grant if its upstream takes no requests of this entry. It
// reports whether it did.
func (a *upstreamAttempt) returnExcluded() bool {
	if a.returnExpired() {
		return true
	}
	n, ok := a.s.notices.find(time.Now(), a.process())
	if !ok {
		return false
	}
	a.s.log.Info("grant returned", a.logFields(zap.String("upstream", a.ticket.Upstream), zap.Int64("born", n.born), zap.Bool("leaving", n.leaving),
		zap.Duration("retry_after", max(0, time.Until(n.pausedUntil))))...)
	a.returnGrant()
	return true
}

// returnGrant returns a grant that is not used. The upstream is avoided from then on.
func (a *upstreamAttempt) returnGrant() {
	a.granted, a.offer.Counted = false, true
	a.offer.Avoid = append(slices.Clip(a.offer.Avoid), a.ticket.Upstream)
	a.endGrant(broker.End{Outcome: broker.NotSent})
}

// returnOutdated returns the grant if it is too old to be used. It reports whether it did.
func (a *upstreamAttempt) returnOutdated() bool {
	age := a.s.elapsed() - a.ticket.GrantedAt
	if a.ticket.GrantedAt == 0 || age <= maxGrantAge {
		return false
	}
	a.s.log.Info("grant returned", a.logFields(zap.String("upstream", a.ticket.Upstream), zap.Duration("age", age))...)
	a.granted, a.offer.Counted = false, true
	a.endGrant(broker.End{Outcome: broker.NotSent})
	return true
}

// takeRetry takes a retry that is about to be sent from the retry budget. If that does not hold
// it any more, the connection is closed and the grant returned.
func (a *upstreamAttempt) takeRetry(c *conn) error {
	if !a.retryReserved {
		return nil
	}
	a.retryReserved = false
	if a.s.retryBudgets.send(a.pool, a.s.brokerClient.Share()) {
		return nil
	}
	_ = c.Close()
	a.granted = false
	a.endGrant(broker.End{Outcome: broker.NotSent})
	return errRetryBudget
}

// endGrant ends the grant and tells the broker what the upstream told this entry.
func (a *upstreamAttempt) endGrant(e broker.End) {
	now := time.Now()
	if n, ok := a.s.notices.find(now, a.process()); ok {
		n.addTo(now, &e)
	}
	a.ticket.End(e)
}

// recordNotices records what a response says of further requests. A process that was not
// meant speaks for itself only.
func (a *upstreamAttempt) recordNotices(m ResponseMeta) {
	if m.Misdirected {
		return
	}
	leaves, pauses := a.s.notices.record(time.Now(), a.process(), m)
	if leaves {
		a.s.log.Info("upstream leaves", a.logFields(zap.String("upstream", a.ticket.Upstream), zap.Int64("born", a.ticket.Born))...)
	}
	if pauses {
		a.s.log.Info("upstream asks for a pause", a.logFields(zap.String("upstream", a.ticket.Upstream), zap.Int64("born", a.ticket.Born),
			zap.Duration("retry_after", m.RetryAfter))...)
	}
}

// reportLimit passes on what the response says of the requests that the upstream takes from
// all entries together. An invalid limit says nothing.
func (a *upstreamAttempt) reportLimit(m ResponseMeta) {
	if m.Misdirected {
		return
	}
	if m.InvalidLimit {
		a.s.log.Warn("upstream names a limit that is no number; the last one holds", a.logFields(zap.String("upstream", a.ticket.Upstream))...)
		return
	}
	l := broker.RequestLimit{Upstream: a.ticket.Upstream, Born: a.ticket.Born, Brittle: m.Brittle, MaxRejections: m.MaxRejections}
	if m.Limit != nil {
		l.Limited, l.PerSecond = true, *m.Limit
	}
	a.s.brokerClient.ReportLimit(l, a.sentAt)
}
