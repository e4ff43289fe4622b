package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/verbenastep/verbenastep/internal/accept"
)

const (
	// minWriteTime is the least time that a caller has to take a write. One that still reads
	// at its deadline gets what is ready.
	minWriteTime = 300 * time.Millisecond
	// maxLateWriteTime bounds the time in which a caller gets what is ready at its deadline.
	// One that takes a little at a time would hold memory and its connection for minutes.
	maxLateWriteTime = 3 * time.Second
	// writeChunkBytes is how much is written to a caller at once.
	writeChunkBytes = 64 << 10
	// minWaitedWriteBytes is the size of an event from which its write counts as waiting
	// for the caller; smaller ones do so only with a backlog behind them.
	minWaitedWriteBytes = 16 << 10
	// callerCheckInterval is the interval at which the path to a caller is checked.
	callerCheckInterval = 500 * time.Millisecond
	// maxUnacknowledged is how long bytes that were sent to a caller may stay
	// unacknowledged. The kernel's own TCP_USER_TIMEOUT also ends connections to callers
	// that acknowledge but do not read.
	maxUnacknowledged = 2 * time.Second
	// minUnansweredProbes is the number of unanswered probes of a closed window from which a
	// path counts as lost, and minAcknowledgeTime a time in which a sound path acknowledges.
	minUnansweredProbes = 3
	minAcknowledgeTime  = 200 * time.Millisecond
)

// callerConnKey is the key of a caller's connection in the contexts of its requests.
type callerConnKey struct{}

// withCallerConn is the ConnContext of the server.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(accept.ConnContext(ctx, c), callerConnKey{}, c)
}

// callerLink is the connection of an exchange to its caller.
type callerLink struct {
	controller *http.ResponseController
	// writeUntil is the deadline of writes, lateUntil the latest one; zero until the first
	// extension.
	writeUntil time.Time
	lateUntil  time.Time
}

// attendCaller sets the deadline for writes to the caller and begins to watch whether it is there.
// The returned function ends that. cancel ends the exchange's context.
func (x *exchange) attendCaller(cancel context.CancelFunc) (stop func()) {
	x.caller.controller = http.NewResponseController(x.w)
	x.caller.writeUntil = x.deadline
	_ = x.caller.controller.SetWriteDeadline(x.deadline)
	x.holding.cutOff = func() {
		_ = x.caller.controller.SetWriteDeadline(time.Unix(1, 0))
		cancel()
	}
	conn, ok := x.ctx.Value(callerConnKey{}).(syscall.Conn)
	if !ok {
		return func() {}
	}
	timer := (*time.Timer)(nil)
	started := make(chan struct{})
	timer = time.AfterFunc(callerCheckInterval, func() {
		<-started
		switch {
		case x.callerDisconnected():
			// A write to a caller that closed its side only would wait until the deadline.
			x.holding.abandon()
		case x.ctx.Err() == nil && !x.endIfCallerLost(conn):
			timer.Reset(callerCheckInterval)
		}
	})
	close(started)
	return func() { timer.Stop() }
}

// endIfCallerLost ends the request if the path to its caller is lost, and reports that.
func (x *exchange) endIfCallerLost(conn syscall.Conn) bool {
	if !isCallerLost(conn) {
		return false
	}
	x.s.log.Info("path to the caller is lost", x.logFields()...)
	x.holding.abandon()
	return true
}

// isCallerLost reports whether the caller's machine acknowledges nothing any more.
func isCallerLost(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	lost := false
	controlErr := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		lost = err == nil && isUnacknowledged(info)
	})
	return controlErr == nil && lost
}

// isUnacknowledged reports whether the other side has stopped to acknowledge: bytes that were
// sent again some time ago, or probes of its closed window. A side that acknowledges and does
// not read is not lost.
func isUnacknowledged(info *unix.TCPInfo) bool {
	acknowledged := time.Duration(info.Last_ack_recv) * time.Millisecond
	sent := time.Duration(info.Last_data_sent) * time.Millisecond
	if acknowledged < maxUnacknowledged {
		return false
	}
	isSentAgain := info.Unacked > 0 && info.Retransmits > 0 && sent >= minAcknowledgeTime && acknowledged > sent+minAcknowledgeTime
	return isSentAgain || info.Probes >= minUnansweredProbes
}

// write writes to the caller. The caller has until its deadline, and afterwards minWriteTime
// for each write and maxLateWriteTime for all.
func (x *exchange) write(data []byte) error {
	x.extendWriteDeadline()
	_, err := x.w.Write(data)
	return err
}

// flush sends what was written.
func (x *exchange) flush() error { return x.caller.controller.Flush() }

// extendWriteDeadline gives the next write minWriteTime if the deadline is nearer, until
// maxLateWriteTime after the first extension.
func (x *exchange) extendWriteDeadline() {
	now := time.Now()
	until := now.Add(minWriteTime)
	if until.Before(x.caller.writeUntil) || x.holding.wasCutOff() {
		return
	}
	if x.caller.lateUntil.IsZero() {
		x.caller.lateUntil = now.Add(maxLateWriteTime)
	}
	if until.After(x.caller.lateUntil) {
		until = x.caller.lateUntil
	}
	x.caller.writeUntil = until
	_ = x.caller.controller.SetWriteDeadline(until)
}

// writeBody writes the body of a response that is complete. A caller that reads it slowly is
// one of those that may be cut off.
func (x *exchange) writeBody(body []byte) error {
	if len(body) <= writeChunkBytes {
		if len(body) == 0 {
			return nil
		}
		return x.write(body)
	}
	began := time.Now()
	x.holding.beginWaiting(began)
	defer x.holding.stopWaiting()
	for done := 0; done < len(body); {
		n := min(len(body)-done, writeChunkBytes)
		if err := x.write(body[done : done+n]); err != nil {
			return err
		}
		done += n
		x.holding.waitSince(slowStart(began, done))
	}
	return nil
}

// recordWriteFailure sets the outcome of an exchange whose caller took no more bytes.
func (x *exchange) recordWriteFailure(err error) {
	x.outcome = outcomeCallerGone
	if errors.Is(err, os.ErrDeadlineExceeded) && !x.callerDisconnected() {
		x.outcome, x.reason = outcomeSlowCaller, "the caller took no bytes until its deadline"
		x.s.metrics.cutOffs.WithLabelValues(cutOffByDeadline).Inc()
	}
}

// recordCutOff counts and logs a request that is cut off since memory is short; the log names
// some of many.
func (s *Service) recordCutOff(h *holding, waited time.Duration) {
	s.metrics.cutOffs.WithLabelValues(cutOffByBound).Inc()
	if now := time.Now(); now.Sub(s.cutOffLoggedAt) >= minCutOffLogInterval {
		s.cutOffLoggedAt = now
		s.log.Warn("slow caller cut off; memory for bodies and responses is used up",
			h.request.logFields(zap.Int64("held", h.held.Load()), zap.Int64("used", s.buffers.used.Load()), zap.Duration("slow_for", waited))...)
	}
}
