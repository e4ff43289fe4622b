package broker

import (
	"math"
	"time"
)

const (
	// loadMemory is the time constant over which arriving work is averaged.
	// A burst of a few seconds must show in it well before it ends.
	loadMemory = 1500 * time.Millisecond
	// ranks bounds the ranks that are told apart; higher ones count as the last.
	ranks = 16
)

// load averages the work that arrives, by rank.
type load struct {
	at   time.Duration
	rate [ranks]float64
}

func (l *load) decay(now time.Duration) {
	if now <= l.at {
		return
	}
	keep := math.Exp(-(now - l.at).Seconds() / loadMemory.Seconds())
	for i := range l.rate {
		l.rate[i] *= keep
	}
	l.at = now
}

// arrived counts a request by the time for which it will hold a slot, in
// seconds.
func (l *load) arrived(now time.Duration, rank int, slotTime float64) {
	l.decay(now)
	l.rate[rankIndex(rank)] += slotTime / loadMemory.Seconds()
}

// above returns how many slots the work of ranks before one keeps busy.
func (l *load) above(now time.Duration, rank int) float64 {
	l.decay(now)
	sum := 0.0
	for i := range rankIndex(rank) {
		sum += l.rate[i]
	}
	return sum
}

func rankIndex(rank int) int { return min(max(rank, 0), ranks-1) }
