package broker

import "time"

const (
	// brittleRejectedDelay is how long a brittle upstream gets no requests after it rejected
	// one: it counts its rejections by the second.
	brittleRejectedDelay = time.Second
	// maxKeptSlotTime is how long a brittle upstream may go on with a request that its caller
	// has left, or whose connection was lost.
	maxKeptSlotTime = 2 * time.Second
	// localBrittleFactor is the part of its share of a brittle upstream's slots that an entry
	// without a broker uses. Shares are rounded at random, so that the whole of them would
	// exceed the slots at times.
	localBrittleFactor = 0.5
)

// isBrittle reports whether the upstream's process says that rejections make it fall over.
func (u *upstream) isBrittle() bool {
	return u.limiter != nil && u.limiter.Brittle && u.Born <= u.limiter.Born
}

// AwaitEntries makes a new broker of all entries grant no brittle upstream for a time in which the
// entries offer what they run: it would fill slots that other entries occupy, and the upstream
// falls over if it rejects requests.
func (b *Broker) AwaitEntries(until time.Duration) {
	b.entriesAwaitedUntil = until
	for _, x := range b.limiters {
		x.entriesAwaitedUntil = until
	}
}

// entriesWait returns how long the upstream is not granted since entries may still run requests
// on it that the broker does not know.
func (u *upstream) entriesWait(now time.Duration) time.Duration {
	if !u.isBrittle() {
		return 0
	}
	return max(0, u.limiter.entriesAwaitedUntil-now)
}

// brittleSlots returns how many slots of a brittle upstream a broker with the given share may
// use. None of its requests waits there: it may let fewer wait than before.
func (u *upstream) brittleSlots(share float64) float64 {
	slots := float64(u.Slots) * share
	if share < 1 {
		slots *= localBrittleFactor
	}
	return slots
}

// keepSlot keeps the slot of an ended request for a while if its upstream is brittle and may go
// on with the request. It returns true if it does.
func (b *Broker) keepSlot(now time.Duration, req *request, o Outcome) bool {
	switch o {
	case Canceled, ConnectionLost, TimedOut, InvalidResponse, PathLost, UnclearRejection, UnclearLoss:
	default:
		return false
	}
	if !req.assigned.isBrittle() {
		return false
	}
	req.ended = true
	req.orphanedUntil = now + min(maxKeptSlotTime, max(0, req.expectedEnd-now)+maxKeptSlotTime/2)
	b.nextOrphanEnd = min(b.nextOrphanEnd, req.orphanedUntil)
	return true
}
