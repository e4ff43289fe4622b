package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
)

// pendingSignals is the number of signals that wait while the daemon starts.
const pendingSignals = 8

// signals receives the signals that the daemon handles.
type signals struct {
	// stop delivers SIGTERM and SIGINT, reload delivers SIGHUP.
	stop   chan os.Signal
	reload chan os.Signal
}

// subscribe makes the process handle its signals from now on. By default each of them ends it.
func subscribe() signals {
	s := signals{stop: make(chan os.Signal, pendingSignals), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	// A write to standard error without a reader fails then, instead of ending the process.
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// isStopping reports whether a signal to stop waits.
func (s signals) isStopping() bool { return len(s.stop) > 0 }

// stopAfterSignal waits for a signal to stop and returns the result of stop. It cancels the
// context of stop at a later SIGINT, which a person sends who doesn't want to wait. A repeated
// SIGTERM changes nothing: supervisors repeat it, and kill the process themselves when the grace
// period ends.
func stopAfterSignal(received <-chan os.Signal, log *zap.Logger, stop func(context.Context) error) error {
	first := <-received
	log.Info("draining; SIGINT stops the daemon without waiting, another SIGTERM changes nothing", zap.Stringer("received", first))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for {
			select {
			case s := <-received:
				if s == syscall.SIGINT {
					log.Warn("stopping without waiting; requests in flight are cut off", zap.Stringer("received", s))
					cancel()
					return
				}
				log.Info("draining already", zap.Stringer("received", s))
			case <-ctx.Done():
				return
			}
		}
	}()
	return stop(ctx)
}
