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

// Drain announces that the entry leaves the directory and serves callers that
// still use an older directory answer. It then closes the listener and waits for
// the requests in flight and those that have begun to arrive, which it aborts before
// the end of the grace period.
func (s *Service) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.drainAnnouncer.AnnounceDrain()
	grace := settings.Milliseconds(s.set.Routing.GraceMS)
	ttl := settings.Milliseconds(s.set.Routing.AnswerTTLMS)
	began := time.Now()
	acceptTime := min(directoryTTLs*ttl+announceDelay, grace*acceptTenths/tenths)
	s.log.Info("left the directory; serving callers that hold an older answer", zap.Duration("for", acceptTime), zap.Duration("grace", grace))
	wait.Sleep(ctx, acceptTime)
	inTime, cancel := context.WithDeadline(ctx, began.Add(grace*drainTenths/tenths))
	defer cancel()
	s.listener.StopAccepting()
	s.listener.WaitIdle(inTime)
	select {
	case <-s.inFlight.Idle():
		s.log.Info("all requests ended", zap.Duration("after", time.Since(began)))
	case <-inTime.Done():
		if ctx.Err() == nil {
			s.log.Warn("grace period ends; aborting requests in flight", zap.Duration("after", time.Since(began)))
			_ = s.server.Close()
		}
	}
	return nil
}
