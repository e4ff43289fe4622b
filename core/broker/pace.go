package broker

import "time"

const (
	// paceSettleTime is how long after its first upstreams a broker takes unknown upstreams for
	// ones that have run before: a new broker learns the roster in parts.
	paceSettleTime = 5 * time.Second
	// growingTimeFactor is by how much answers must be slower than the fastest since the start
	// for the window to shrink: times that are long but do not grow are no sign of overload.
	growingTimeFactor = 1.5
	// maxSlowAnswers is after how many slow answers in a row, none of them faster than before,
	// their time is taken for the upstream's normal one.
	maxSlowAnswers = 12
	// errorsToShrink is how many error answers in a row shrink the window. Some kinds of
	// requests fail regularly.
	errorsToShrink = 2
	// maxAnswersPerSlot bounds how many valid answers open one more slot: one at first, twice as
	// many after each time that the window shrinks or has to begin again.
	maxAnswersPerSlot = 32
	// maxPaceChanges bounds the changes between two rounds of decisions.
	maxPaceChanges = 64
)

// Pace holds the settings of the slow start of upstreams.
type Pace struct {
	// InitialSlots is the window at a start, in slots of the upstream.
	InitialSlots int
	// TimeFactor is by how much an answer may take longer than expected for the window to
	// grow.
	TimeFactor float64
}

// PaceEvent is what happened to the window of an upstream.
type PaceEvent string

// Events of windows.
const (
	// PaceBegun means that slow start began.
	PaceBegun PaceEvent = "begun"
	// PaceShrunk means that the window was cut in half.
	PaceShrunk PaceEvent = "shrunk"
	// PaceOpened means that the window reached the slots and slow start ended.
	PaceOpened PaceEvent = "opened"
)

// PaceChange is a change of an upstream's window other than its growth.
type PaceChange struct {
	Upstream string
	Event    PaceEvent
	// Window is the number of slots after the change, Answers the number of valid answers since
	// the start.
	Window  int
	Answers int
	// Since is the time since the start.
	Since  time.Duration
	Reason string
}

// window is the slow start of an upstream.
type window struct {
	// slots is the number of slots that are open; zero if all are.
	slots int
	// begunAt is when slow start began, changedAt when the window last shrank. Requests granted
	// before say nothing of the present window.
	begunAt   time.Duration
	changedAt time.Duration
	// answers counts valid answers since the start, errors the error answers in a row.
	answers int
	errors  int
	// answersPerSlot is how many valid answers open one more slot, credit how many there were
	// since the last one.
	answersPerSlot int
	credit         int
	// usedAt is when a request was last granted with which at least half of the window was used.
	usedAt time.Duration
	// baseTime is the expected time per output token or of a call, in seconds, from before the
	// start: what is learned meanwhile is slow.
	baseTime float64
	// fastest is the lowest ratio of a time to the expected one since the start, slowest the
	// highest within the present series of slow answers, whose length is slow.
	fastest float64
	slowest float64
	slow    int
	// isNew is set until the next round if the upstream was not known before, isRestarted if
	// it has a new process.
	isNew       bool
	isRestarted bool
}

func (w *window) isOpen() bool { return w.slots == 0 }

// recordUse records a grant with which the upstream runs a number of requests.
func (w *window) recordUse(now time.Duration, running int) {
	if 2*running >= w.slots {
		w.usedAt = now
	}
}

// SetPace enables the slow start of upstreams. Call it before SetUpstreams.
func (b *Broker) SetPace(p Pace) {
	b.pace = &p
	for _, x := range b.pools {
		x.pace = b.pace
	}
}

// pacedCapacity returns capacity, or less while the upstream is in slow start.
func (u *upstream) pacedCapacity(now time.Duration, share float64) int {
	whole := u.capacity(now, share)
	if u.window.isOpen() {
		return whole
	}
	slots := float64(u.window.slots) * share * u.times.transitFactor()
	paced := int(slots)
	if u.roundingPoint < slots-float64(paced) {
		paced++
	}
	if share == 1 {
		paced = max(1, paced)
	}
	return min(whole, paced)
}

// startWindows begins the slow start of upstreams that have appeared or started again since the
// last round, and counts those in slow start.
func (p *pool) startWindows(now time.Duration) {
	if p.pace == nil || len(p.order) == 0 {
		return
	}
	if !p.hadUpstreams {
		p.hadUpstreams, p.upstreamsSince = true, now
	}
	p.opening = 0
	for _, u := range p.order {
		w := &u.window
		if w.isRestarted || w.isNew && now-p.upstreamsSince >= paceSettleTime {
			p.beginWindow(now, u, "the process has started")
		}
		w.isNew, w.isRestarted = false, false
		if !w.isOpen() {
			p.opening++
		}
	}
}

// beginWindow begins the slow start of an upstream.
func (p *pool) beginWindow(now time.Duration, u *upstream, reason string) {
	if u.Slots <= p.pace.InitialSlots {
		return
	}
	next := window{slots: p.pace.InitialSlots, begunAt: now, changedAt: now, baseTime: p.unitTime(u), answersPerSlot: 1}
	if old := u.window; !old.isOpen() {
		next.baseTime, next.answersPerSlot = old.baseTime, min(maxAnswersPerSlot, 2*old.answersPerSlot)
	}
	u.window = next
	p.reportWindow(now, u, PaceBegun, reason)
}

// unitTime returns an upstream's time per output token or of a call, in seconds.
func (p *pool) unitTime(u *upstream) float64 {
	if p.engine != nil {
		return p.tokenTime(u)
	}
	return p.callTime(u)
}

// reportWindow adds a change to the pending ones. Further ones are dropped.
func (p *pool) reportWindow(now time.Duration, u *upstream, e PaceEvent, reason string) {
	if len(p.paceChanges) < maxPaceChanges {
		p.paceChanges = append(p.paceChanges, PaceChange{Upstream: u.ID, Event: e, Window: u.window.slots, Answers: u.window.answers, Since: now - u.window.begunAt, Reason: reason})
	}
}

// TakePaceChanges returns the changes of windows since the last call.
func (b *Broker) TakePaceChanges() []PaceChange {
	out := []PaceChange(nil)
	for _, p := range b.pools {
		out = append(out, p.paceChanges...)
		p.paceChanges = nil
	}
	return out
}

// WindowsOpening returns the number of upstreams in slow start as of the last round.
func (b *Broker) WindowsOpening() int {
	n := 0
	for _, p := range b.pools {
		n += p.opening
	}
	return n
}

// learnWindow updates the window of an upstream from the end of a request.
func (p *pool) learnWindow(now time.Duration, req *request, e End) {
	if p.pace == nil {
		return
	}
	u, w := req.assigned, &req.assigned.window
	if w.isOpen() {
		if e.Outcome == Unreachable || e.Outcome != Completed && u.health.isOnProbation() {
			p.beginWindow(now, u, "requests failed: "+e.Outcome.String())
		}
		return
	}
	if req.granted < w.changedAt {
		return
	}
	switch e.Outcome {
	case Completed:
		w.errors = 0
		p.judgeTime(now, req, e)
	case UpstreamError:
		if w.errors++; w.errors >= errorsToShrink {
			p.shrinkWindow(now, u, "error answers")
		}
	case ConnectionLost, TimedOut, InvalidResponse, Unreachable, Rejected:
		p.shrinkWindow(now, u, e.Outcome.String())
	}
}

// judgeTime grows or shrinks the window by the time of a valid answer.
func (p *pool) judgeTime(now time.Duration, req *request, e End) {
	u, w := req.assigned, &req.assigned.window
	w.answers++
	ratio, known := p.timeRatio(req, e)
	if known && (w.fastest == 0 || ratio < w.fastest) {
		w.fastest = ratio
	}
	if !known || ratio <= p.pace.TimeFactor {
		w.slow, w.slowest = 0, 0
		p.growWindow(now, req)
		return
	}
	if w.slots > p.pace.InitialSlots && ratio > growingTimeFactor*w.fastest {
		p.shrinkWindow(now, u, "times grow with the window")
		return
	}
	w.slow++
	w.slowest = max(w.slowest, ratio)
	if w.slow < maxSlowAnswers {
		return
	}
	if w.slowest < growingTimeFactor*w.fastest {
		// The upstream is slower than before for good.
		w.baseTime *= ratio
		ratio = 1
	}
	w.fastest, w.slow, w.slowest = ratio, 0, 0
}

// timeRatio returns how many times longer an answer took than expected, and false if it says
// nothing of that.
func (p *pool) timeRatio(req *request, e End) (float64, bool) {
	u := req.assigned
	unit := u.window.baseTime
	switch {
	case unit <= 0 || req.Running != "":
		return 0, false
	case p.engine == nil:
		return max(0, e.TimeToFirstEvent.Seconds()-p.transits.call(req.Region, u.Region)) / unit, true
	case e.OutputTokens >= minOutputTokens && e.DecodeTime > 0:
		return e.DecodeTime.Seconds() / float64(e.OutputTokens) / unit, true
	}
	return 0, false
}

// growWindow counts a valid answer. If each opens another slot, a round of answers doubles the
// window. An answer says nothing of the window if the upstream ran less than half of it meanwhile.
func (p *pool) growWindow(now time.Duration, req *request) {
	u := req.assigned
	if u.window.usedAt < req.granted {
		return
	}
	if u.window.credit++; u.window.credit < u.window.answersPerSlot {
		return
	}
	u.window.credit = 0
	if u.window.slots++; u.window.slots < u.Slots {
		return
	}
	u.window.slots = u.Slots
	p.reportWindow(now, u, PaceOpened, "")
	u.window = window{}
}

// shrinkWindow cuts the window in half, at most once for the requests of a round.
func (p *pool) shrinkWindow(now time.Duration, u *upstream, reason string) {
	w := &u.window
	w.slots = max(p.pace.InitialSlots, w.slots/2)
	w.answersPerSlot, w.credit = min(maxAnswersPerSlot, 2*w.answersPerSlot), 0
	w.changedAt, w.errors, w.slow, w.slowest = now, 0, 0, 0
	p.reportWindow(now, u, PaceShrunk, reason)
}

// restoreWindow continues a slow start that another broker began.
func (p *pool) restoreWindow(u *upstream, slots int) {
	switch {
	case p.pace == nil || u.window.slots == slots:
	case slots <= 0 || slots >= u.Slots:
		u.window = window{}
	case u.window.isOpen():
		u.window = window{slots: max(slots, p.pace.InitialSlots), baseTime: p.unitTime(u), answersPerSlot: 1}
	default:
		u.window.slots = max(slots, p.pace.InitialSlots)
	}
}
