package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine started, including the time for
// which it was suspended.
func SinceBoot() time.Duration {
	ts := unix.Timespec{}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39.
		panic(fmt.Sprintf("read the clock since boot: %v; run a supported kernel", err))
	}
	return time.Duration(ts.Nano())
}
