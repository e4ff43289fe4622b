//go:build unix

package clock

import (
	"syscall"
	"time"
)

// Processor returns the user and system processor time that the process has used; zero if the
// system does not say.
func Processor() time.Duration {
	u := syscall.Rusage{}
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
