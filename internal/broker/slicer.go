package broker

import (
	"sync"
	"time"

	"github.com/verbenastep/verbenastep/internal/clock"
)

const (
	// workSlice is how much processor time the daemon may use before its broker pauses, and
	// slicePause for how long. It is short compared with the election timeout of the log also
	// on a quarter of a core.
	workSlice  = 5 * time.Millisecond
	slicePause = time.Millisecond
)

// slicer divides the broker's work into slices with pauses between them. The daemon's log runs on
// the same processor and must not wait for the messages of hundreds of entries, which come at
// once after a change of leader.
type slicer struct {
	// processor is the processor time that the process has used; pause waits.
	processor func() time.Duration
	pause     func(time.Duration)

	mu    sync.Mutex
	since time.Duration
}

func newSlicer() *slicer { return &slicer{processor: clock.Processor, pause: time.Sleep} }

// yield is called before each piece of work, without the service's lock. It pauses if the slice is
// used up; callers that arrive meanwhile wait for the same pause.
func (s *slicer) yield() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.processor()-s.since < workSlice {
		return
	}
	s.pause(slicePause)
	s.since = s.processor()
}
