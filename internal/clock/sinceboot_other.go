//go:build !linux

package clock

import "time"

// SinceBoot returns the steady time: only Linux, on which daemons run in
// production, has a clock here that counts suspensions.
func SinceBoot() time.Duration { return Steady() }
