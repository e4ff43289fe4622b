package brokerclient

import "time"

// silence measures the time since the last message of a session by a clock that counts
// suspensions. After a pause of this process the timer of the session may not have fired yet
// when messages are read that waited meanwhile. Their grants may have run out: a broker gives up
// an entry that is silent, and a new broker knows no grants of an entry that has not connected.
type silence struct {
	elapsed func() time.Duration
	limit   time.Duration
	since   time.Duration
}

// isOver reports whether the limit has passed, so that what is read now must not be obeyed.
func (s *silence) isOver() bool { return s.elapsed()-s.since > s.limit }

// restart begins a new silence with a limit.
func (s *silence) restart(limit time.Duration) { s.since, s.limit = s.elapsed(), limit }
