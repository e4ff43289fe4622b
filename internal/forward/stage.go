package forward

import (
	"sync/atomic"

	"go.uber.org/zap/zapcore"
)

// stage is how far a request in flight has come.
type stage uint8

const (
	// stageWaiting means that the request waits for the grant of an upstream.
	stageWaiting stage = iota
	// stageSent means that it was sent to an upstream and the caller has nothing yet.
	stageSent
	// stageResponding means that the caller has a part of its response.
	stageResponding
	stageCount
	// stageEnded means that the request is no longer in flight.
	stageEnded = stageCount
)

// stageNames are used in log lines.
var stageNames = [...]string{stageWaiting: "waiting", stageSent: "sent", stageResponding: "responding", stageEnded: "ended"}

// String returns the name of the stage.
func (s stage) String() string { return stageNames[s] }

// stages counts the requests in flight by stage. The zero value is ready for use. It is safe for
// concurrent use.
type stages [stageCount]atomic.Int64

// stageCounts are the numbers of requests in flight by stage at one moment.
type stageCounts [stageCount]int64

// count returns the present numbers.
func (s *stages) count() stageCounts {
	out := stageCounts{}
	for i := range s {
		out[i] = s[i].Load()
	}
	return out
}

// MarshalLogObject adds the numbers to a log line.
func (c stageCounts) MarshalLogObject(e zapcore.ObjectEncoder) error {
	for i, n := range c {
		e.AddInt64(stage(i).String(), n)
	}
	return nil
}

// advanceStage moves the request to another stage unless its response has begun.
func (x *exchange) advanceStage(to stage) {
	if x.stage != stageResponding {
		x.setStage(to)
	}
}

// setStage moves the request to another stage.
func (x *exchange) setStage(to stage) {
	if x.stage != stageEnded {
		x.s.stages[x.stage].Add(-1)
	}
	if to != stageEnded {
		x.s.stages[to].Add(1)
	}
	x.stage = to
}
