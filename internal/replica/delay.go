package replica

import (
	"time"

	"go.uber.org/zap"
)

// maxLoopDelay is how long a group's loop may stand still before that is logged. The leader's
// heartbeats are then overdue, and the other replicas elect another one soon.
const maxLoopDelay = electionTimeoutTicks * tickInterval / 2

// loopDelay is the last time for which a group's loop stood still for longer than maxLoopDelay.
type loopDelay struct {
	// seen and processorSeen are the times, on the clock and on the processor, at which the loop
	// last ran.
	seen          time.Duration
	processorSeen time.Duration

	duration time.Duration
	// processor is the processor time that the process used meanwhile: little of it points to
	// the disk or a suspension, much of it to other work of the daemon.
	processor  time.Duration
	queuedJobs int
	endedAt    time.Duration
}

// recordDelay records that the loop runs at a time.
func (e *engine) recordDelay(now time.Duration) {
	d := &e.delay
	before, processorBefore := d.seen, d.processorSeen
	d.seen = now
	// Reading it is a system call, which is not made for each message.
	if read := e.group.clocks.processor; read != nil && now-before >= tickInterval/2 {
		d.processorSeen = read()
	}
	if before == 0 || now-before < maxLoopDelay {
		return
	}
	d.duration, d.processor, d.queuedJobs, d.endedAt = now-before, d.processorSeen-processorBefore, len(e.group.jobs), now
	e.group.meters.delays.Inc()
	e.group.log.Warn("loop of the log held up", d.fields()...)
}

// fields describes the last delay for the log.
func (d *loopDelay) fields() []zap.Field {
	return []zap.Field{
		zap.Duration("held_up", d.duration), zap.Duration("processor", d.processor), zap.Int("queued_jobs", d.queuedJobs), zap.Duration("held_up_ago", d.seen-d.endedAt),
	}
}
