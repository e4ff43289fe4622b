package broker

import "time"

const (
	// firstDown is how long an upstream that can't be reached takes no work;
	// each further failure doubles it up to mostDown.
	firstDown = 500 * time.Millisecond
	mostDown  = 4 * time.Second
	// fullPause is how long one that rejected a request as full takes no work.
	fullPause = 100 * time.Millisecond
	// movedPause is how long one whose address another process has takes none:
	// its own heartbeat or the other's comes within it.
	movedPause = 3 * time.Second
	// failGain is the weight of the newest outcome in the share of failures.
	failGain = 0.12
	// rowToTrial is how many failures in a row put an upstream on trial: one
	// request at a time.
	rowToTrial = 3
)

// health is what outcomes tell of an upstream.
type health struct {
	// fails is the share of requests that failed lately.
	fails float64
	row   int
	until time.Duration
	pause time.Duration
}

func (h *health) down(now time.Duration) bool { return now < h.until }

func (h *health) trial() bool { return h.row >= rowToTrial }

// note takes in an outcome.
func (h *health) note(now time.Duration, o Outcome) {
	switch o {
	case Done:
		h.fails -= failGain * h.fails
		h.row = 0
		h.pause = 0
	case Full:
		h.until = max(h.until, now+fullPause)
	case Misdirected:
		h.until = max(h.until, now+movedPause)
	case Unreachable:
		h.failed()
		h.pause = min(mostDown, max(firstDown, 2*h.pause))
		h.until = now + h.pause
	case Broken, Silent, Spoiled:
		h.failed()
		if h.row >= rowToTrial {
			h.pause = min(mostDown, max(firstDown, 2*h.pause))
			h.until = now + h.pause
		}
	case Failed:
		h.failed()
		h.row = 0
	}
}

func (h *health) failed() {
	h.fails += failGain * (1 - h.fails)
	h.row++
}

// sessions remembers the prompts that an upstream read last.
type sessions struct {
	at    map[uint64]uint64
	clock uint64
}

// keptSessions is how many an upstream is assumed to keep. An engine with
// memory for 500,000 tokens keeps that many prompts of 4,000.
const keptSessions = 100

func newSessions() sessions { return sessions{at: map[uint64]uint64{}} }

func (s *sessions) has(id uint64) bool {
	_, ok := s.at[id]
	return ok && id != 0
}

// had tells whether a session was there before the request that touched it
// last.
func (s *sessions) had(id uint64) bool { return id != 0 && s.at[id]&1 == 1 }

// touch notes that a prompt is read; the lowest bit of its stamp says that it
// was known before.
func (s *sessions) touch(id uint64) {
	if id == 0 {
		return
	}
	_, known := s.at[id]
	s.clock += 2
	stamp := s.clock
	if known {
		stamp |= 1
	}
	s.at[id] = stamp
	if len(s.at) <= keptSessions {
		return
	}
	oldest, least := uint64(0), ^uint64(0)
	for k, v := range s.at {
		if v < least {
			oldest, least = k, v
		}
	}
	delete(s.at, oldest)
}
