package broker

import (
	"maps"
	"time"
)

// pathRetryDelay is how long an entry without a path to an upstream gets no grants of it. Others
// are not affected.
const pathRetryDelay = time.Second

// unavailablePaths holds, by entry, until when the entry is taken to have no path to an
// upstream.
type unavailablePaths map[string]time.Duration

// record updates the path of an entry by the outcome of a request.
func (p *unavailablePaths) record(now time.Duration, entry string, o Outcome) {
	switch o {
	case PathUnavailable:
		if *p == nil {
			*p = unavailablePaths{}
		}
		maps.DeleteFunc(*p, func(_ string, until time.Duration) bool { return until <= now })
		(*p)[entry] = now + pathRetryDelay
	case Completed:
		delete(*p, entry)
	}
}

// contains reports whether an entry has no path now.
func (p unavailablePaths) contains(now time.Duration, entry string) bool { return now < p[entry] }
