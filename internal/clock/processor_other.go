//go:build !unix

package clock

import "time"

// Processor returns zero: the processor time of the process is not known.
func Processor() time.Duration { return 0 }
