package replica

import (
	"time"

	"github.com/verbenastep/verbenastep/internal/clock"
)

// clocks are the clocks of the machine that a group runs on.
type clocks struct {
	// steady and sinceBoot differ by the time for which the machine was suspended;
	// see package clock. Nothing may decide by steady; tests set both.
	steady    func() time.Duration
	sinceBoot func() time.Duration
	// timeOfDay may jump. It dates claims only.
	timeOfDay func() time.Time
	// processor is the processor time that the process has used; nil in tests. It is only
	// logged.
	processor func() time.Duration
}

func systemClocks() clocks {
	return clocks{steady: clock.Steady, sinceBoot: clock.SinceBoot, timeOfDay: time.Now, processor: clock.Processor}
}

// elapsed returns the time by which elections, leases and their renewals are
// measured. A lease must not outlive a suspension of the machine: the other
// replicas, whose clocks went on, have replaced its holder.
func (c clocks) elapsed() time.Duration { return c.sinceBoot() }
