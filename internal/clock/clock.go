// Package clock provides the time by which a daemon decides whether something
// that was granted or promised for a while is still valid, and reports when its
// machine was suspended.
//
// Go's monotonic time stands still while a machine is suspended, for example
// while its host moves it to another host. A lease measured by it outlives the
// promise that other machines measure by their own clocks.
package clock

import "time"

// processStart is the steady time at which the process started.
var processStart = time.Now()

// Steady returns the time since the process started, without the time for which
// the machine was suspended. Timers run by it.
func Steady() time.Duration { return time.Since(processStart) }
