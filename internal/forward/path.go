package forward

import (
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/core/paths"
	"github.com/verbenastep/verbenastep/internal/egress"
)

// pathCheckDelay is how long an upstream may send nothing before the entry finds out whether
// its path there is lost. A sound upstream may take longer.
const pathCheckDelay = time.Second

// endCheckedGrant ends the grant. Where the connection was lost, or stayed silent, and the path
// may be at fault, it finds out first: what this entry reports of an upstream holds for all.
func (a *upstreamAttempt) endCheckedGrant(e broker.End) {
	if !a.mayBePathFault(e.Outcome) || !a.s.conns.egress.HasHelpers() {
		a.endGrant(e)
		return
	}
	a.s.inFlight.Go(func() {
		verdict := a.s.conns.egress.FindFault(a.ticket.Address)
		if !verdict.BlamesUpstream() {
			a.s.log.Info("the connection's end is not held against the upstream", a.logFields(zap.String("upstream", a.ticket.Upstream), zap.Stringer("verdict", verdict), zap.Stringer("outcome", e.Outcome))...)
			e.Outcome = unblamedOutcome(verdict, e.Outcome)
		}
		a.endGrant(e)
	})
}

// unblamedOutcome returns the outcome that is reported for one that the upstream is not blamed for.
func unblamedOutcome(v paths.Verdict, o broker.Outcome) broker.Outcome {
	if v == paths.Undecided && o == broker.ConnectionLost {
		return broker.UnclearLoss
	}
	return broker.PathLost
}

// mayBePathFault reports whether an outcome may be the fault of the path to the upstream.
func (a *upstreamAttempt) mayBePathFault(o broker.Outcome) bool {
	return o == broker.ConnectionLost || o == broker.TimedOut && (!a.isPathSound.Load() || a.s.conns.egress.IsPathLost(a.ticket.Address))
}

// checkPath finds out whether the path to a silent upstream is lost, unless the upstream's
// machine has acknowledged the request.
func (a *upstreamAttempt) checkPath() {
	switch {
	case a.ctx.Err() != nil, egress.IsTunnel(a.conn.Conn):
	case a.isAcknowledged():
		a.isPathSound.Store(true)
	default:
		a.s.conns.egress.FindFault(a.ticket.Address)
	}
}

// isAcknowledged reports whether the upstream's machine acknowledged all bytes and keep-alive
// probes that were sent to it; false if that is not known.
func (a *upstreamAttempt) isAcknowledged() bool {
	sys, ok := a.conn.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	acknowledged := false
	controlErr := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		acknowledged = err == nil && info.Unacked == 0 && info.Notsent_bytes == 0 && info.Probes == 0
	})
	return controlErr == nil && acknowledged
}
