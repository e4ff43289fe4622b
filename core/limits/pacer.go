package limits

import "time"

// Pacer grants one party its part of a rate that many parties share without talking to
// each other. Each has its turn once a period, at a phase of its own, and a turn that is not
// used expires: the parties can't save up their turns and use them all at once. The zero
// value is ready for use. It is not safe for concurrent use.
type Pacer struct {
	taken    bool
	lastTurn time.Duration
}

// Take uses the current turn. If there is none, or it was used, it returns the time to the
// next one and false. Phase is in [0, 1); all arguments may change between calls, and then
// the next turn is at least half a period after the last one that was used.
func (p *Pacer) Take(now, period, window time.Duration, phase float64) (wait time.Duration, ok bool) {
	wait, turn := p.next(now, period, window, phase)
	if wait > 0 {
		return wait, false
	}
	p.taken, p.lastTurn = true, turn
	return 0, true
}

// Wait returns the time to the next turn that may be used; zero if that is now.
func (p *Pacer) Wait(now, period, window time.Duration, phase float64) time.Duration {
	wait, _ := p.next(now, period, window, phase)
	return wait
}

func (p *Pacer) next(now, period, window time.Duration, phase float64) (wait, turn time.Duration) {
	period = max(period, 1)
	offset := time.Duration(phase * float64(period))
	elapsed := (now - offset) % period
	if elapsed < 0 {
		elapsed += period
	}
	turn = now - elapsed
	if elapsed < window && (!p.taken || turn-p.lastTurn >= period/2) {
		return 0, turn
	}
	return period - elapsed, turn + period
}
