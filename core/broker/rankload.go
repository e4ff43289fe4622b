package broker

import "time"

const (
	// recentLoadWindow is the time constant of the average that shows the start of a burst.
	recentLoadWindow = 300 * time.Millisecond
	// minLoadRise is the part of the short average by which it exceeds the usual one in a
	// burst; smaller differences are its noise.
	minLoadRise = 0.4
)

// higherRanks returns how many slots the requests of ranks before the given one occupy, given
// the usual average. At the start of a burst of higher ranks it is the short average, so that
// requests that will not be served are refused before they have waited. At the end of a burst
// the usual one remains: free slots are granted at once, whatever the estimate.
func (x *poolOverload) higherRanks(now time.Duration, rank int, usual float64) float64 {
	if recent := x.recent.higherRanks(now, rank); recent*(1-minLoadRise) > usual {
		return recent
	}
	return usual
}

// spareSlots returns the slots that higher ranks leave to a rank, at least a twentieth.
func (p *pool) spareSlots(now time.Duration, rank int, slots float64) float64 {
	used := p.load.higherRanks(now, rank)
	if p.overload != nil {
		used = p.overload.higherRanks(now, rank, used)
	}
	return max(slots-used, slots/20)
}
