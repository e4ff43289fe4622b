package broker

import (
	"math"
	"time"
)

const (
	// loadWindow is the time constant of the load average. It is short so that a
	// burst of a few seconds shows well before it ends.
	loadWindow = 1500 * time.Millisecond
	// maxRanks is the number of ranks with an average of their own; higher ranks
	// count as the last.
	maxRanks = 16
)

// load is an exponential moving average of the offered load by rank, in slots.
type load struct {
	// window is the time constant; zero means loadWindow.
	window  time.Duration
	updated time.Duration
	slots   [maxRanks]float64
}

// timeConstant returns the time constant in seconds.
func (l *load) timeConstant() float64 {
	if l.window == 0 {
		return loadWindow.Seconds()
	}
	return l.window.Seconds()
}

func (l *load) decay(now time.Duration) {
	if now <= l.updated {
		return
	}
	keep := math.Exp(-(now - l.updated).Seconds() / l.timeConstant())
	for i := range l.slots {
		l.slots[i] *= keep
	}
	l.updated = now
}

// add counts a request that will hold a slot for slotTime seconds.
func (l *load) add(now time.Duration, rank int, slotTime float64) {
	l.decay(now)
	l.slots[rankIndex(rank)] += slotTime / l.timeConstant()
}

// higherRanks returns how many slots the requests of ranks before the given one
// occupy.
func (l *load) higherRanks(now time.Duration, rank int) float64 {
	l.decay(now)
	sum := 0.0
	for i := range rankIndex(rank) {
		sum += l.slots[i]
	}
	return sum
}

// rank returns how many slots the requests of a rank occupy.
func (l *load) rank(now time.Duration, rank int) float64 {
	l.decay(now)
	return l.slots[rankIndex(rank)]
}

func rankIndex(rank int) int { return min(max(rank, 0), maxRanks-1) }
