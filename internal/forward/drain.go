package forward

import (
	"context"
	"time"

	"go.uber.org/zap"

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
	// acceptTenths and drainTenths are the latest moments, in tenths of the grace
	// period, at which new connections are accepted and requests may end.
	acceptTenths = 4
	drainTenths  = 9
	tenths       = 10
)

// drain is a planned stop that has begun.
type drain struct {
	// began is when the stop was ordered, end when requests that are still in flight are aborted.
	began time.Time
	end   time.Time
}

// Drain announces that the entry leaves the directory and serves callers that
// still use an older directory answer. It then closes the listener and waits for
// the requests in flight and those that have begun to arrive, which it aborts before
// the end of the grace period.
func (s *Service) Drain(ctx context.Context) error {
	grace := settings.Milliseconds(s.set.Routing.GraceMS)
	ttl := settings.Milliseconds(s.set.Routing.AnswerTTLMS)
	began := time.Now()
	d := &drain{began: began, end: began.Add(grace * drainTenths / tenths)}
	s.drain.Store(d)
	s.drainAnnouncer.AnnounceDrain()
	acceptTime := min(directoryTTLs*ttl+announceDelay, grace*acceptTenths/tenths)
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
		s.log.Info("all requests ended", zap.Duration("after", time.Since(began)))
	case <-inTime.Done():
		if ctx.Err() == nil {
			s.log.Warn("grace period ends; aborting requests in flight", zap.Duration("after", time.Since(began)), zap.Object("in_flight", s.stages.count()))
			_ = s.server.Close()
		}
	}
	return nil
}

// isDraining reports whether a planned stop has begun.
func (s *Service) isDraining() bool { return s.drain.Load() != nil }

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
