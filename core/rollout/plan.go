package rollout

import (
	"math"
	"time"
)

// The plan of a rollout, in fractions of its duration. It leaves a fifth for delays.
const (
	// trialEnd is when the trial ends at the earliest. A version that turns bad later is
	// found at the least cost while it is on trial.
	trialEnd = 0.40
	// settleStart is when the shift ends at the earliest.
	settleStart = 0.60
	// minTrialEnd and minSettleStart hold instead where old requests take long to end.
	minTrialEnd    = 0.25
	minSettleStart = 0.42
	// relaxStart is when less evidence and capacity suffice, and relaxEnd when the least
	// does.
	relaxStart = 0.45
	relaxEnd   = 0.62
	// newLeaderTime is how long a new leader takes before it is content with less.
	newLeaderTime = 0.08
	// minObservation is how long answers of the target are observed in a trial.
	minObservation = 0.10
	// stepTime is how long each step of the shift lasts, and lastStepTime the last one,
	// whose answers must be judged before the old version gets no more.
	stepTime     = 0.055
	lastStepTime = 0.10
)

const (
	// trialAnswers and trialTimes are how many answers of the target are compared in a trial,
	// for failures and for slow answers, and stepAnswers how many come in the first step of
	// the shift: a version that is bad on a fifth of its answers is under suspicion by then.
	// minAnswers suffice where few requests come.
	trialAnswers = 50
	trialTimes   = 30
	stepAnswers  = 40
	minAnswers   = 3
	// drainFactor and drainMargin give the time that old requests take to end, from the
	// longest one seen.
	drainFactor = 1.2
	drainMargin = 1500 * time.Millisecond

	// minTrial is the time from the order before which the demands are not relaxed, however
	// short the duration is.
	minTrial = 3 * time.Second
	// minSettle is the shortest settle phase, so that grants in transit are known.
	minSettle = time.Second
	// settleTimeout is the time after which the settle phase is taken as known to all
	// entries that can know it, and the time that a new leader waits for the entries to
	// report what runs.
	settleTimeout = 3 * time.Second
	// quietTime is for how long nothing must run on old versions before the completion: a
	// request may be on its way from one broker to the next.
	quietTime = 500 * time.Millisecond
	// onlyVersionDelay is how long no old upstream may be known before the target counts as
	// the only version. The roster of a new leader is complete by then.
	onlyVersionDelay = 5 * time.Second

	// loadHeadroom is the capacity of the target that is wanted, as a multiple of the load.
	loadHeadroom = 1.1
	// minCapacity is the part of the wanted capacity that suffices after relaxEnd.
	minCapacity = 0.6
)

// trustedStep is the first step of the shift in which the target is trusted.
const trustedStep = 2

// stepShares are the target's fractions of the requests in the steps of the shift. The
// last one leaves enough requests to the old version to compare with.
var stepShares = [...]float64{1: 0.25, 2: 0.5, 3: 0.8}

// plan tracks the progress within a phase.
type plan struct {
	// since is when the phase or step began; step counts from 1 in the shift.
	since time.Duration
	step  int
	// requests, tries and answers count within the phase or step: all requests, and the
	// target's.
	requests int
	tries    int
	answers  int
	// firstAnswer is the time of the target's first answer that the controller saw.
	firstAnswer time.Duration
	hasAnswer   bool
	// pace is how many requests the target may get by its fraction of the requests.
	pace  float64
	share float64
	// longest is the longest time of an old answer.
	longest time.Duration
	// oldSeen is set once an old upstream was known; oldIdleSince is since when nothing
	// runs on old versions.
	oldSeen      bool
	oldIdle      bool
	oldIdleSince time.Duration
	// maxOldSlots is the most usable slots of old upstreams seen.
	maxOldSlots int
}

// enter begins a phase.
func (p *plan) enter(now time.Duration, phase Phase) {
	p.begin(now)
	p.step = 0
	if phase == Shift {
		p.step = 1
		p.share = stepShares[1]
	}
}

func (p *plan) begin(now time.Duration) {
	p.since = now
	p.requests, p.tries, p.answers, p.pace = 0, 0, 0, 0
}

func (p *plan) isTrusted() bool { return p.step >= trustedStep }

// maxPace bounds how many requests the target may catch up at once.
const maxPace = 20

func (p *plan) countRequest() {
	p.requests++
	p.pace = min(maxPace, p.pace+p.share)
}

func (p *plan) mayTry() bool { return p.pace >= 1 }

func (p *plan) countTry(time.Duration) {
	p.tries++
	p.pace--
}

func (p *plan) countAnswer(now time.Duration) {
	p.answers++
	if !p.hasAnswer {
		p.firstAnswer, p.hasAnswer = now, true
	}
}

func (p *plan) countOldTime(t time.Duration) { p.longest = max(p.longest, t) }

// observe updates what the plan knows of the fleet.
func (p *plan) observe(now time.Duration, f Fleet) {
	p.oldSeen = p.oldSeen || f.OldSlots > 0 || f.OldRunning > 0
	p.maxOldSlots = max(p.maxOldSlots, f.OldSlots)
	if idle := f.OldRunning == 0; idle != p.oldIdle {
		p.oldIdle, p.oldIdleSince = idle, now
	}
}

// relaxation returns how far the demands on evidence and capacity are relaxed, from 0 to 1.
func relaxation(progress float64) float64 {
	return max(0, min(1, (progress-relaxStart)/(relaxEnd-relaxStart)))
}

// isEnough reports whether a number of answers suffices where that many are wanted.
func (c *Controller) isEnough(now time.Duration, answers float64, wanted int) bool {
	p := &c.plan
	if p.requests == 0 {
		return c.leniency(now) == 1
	}
	return answers >= math.Max(minAnswers, float64(wanted)*(1-c.leniency(now)))
}

// leniency returns how far the demands on evidence are relaxed, from 0 to 1. A new leader
// knows of no answers yet.
func (c *Controller) leniency(now time.Duration) float64 {
	if c.createdElapsed > 0 && now < c.created+c.fraction(newLeaderTime) || c.elapsed(now) < minTrial {
		return 0
	}
	return relaxation(c.progress(now))
}

// isJudged reports whether enough answers of the target were compared.
func (c *Controller) isJudged(now time.Duration) bool {
	judged := c.analysis.judged
	isFew := judged[failure] < minAnswers && c.leniency(now) == 1 && 2*c.plan.answers >= c.plan.tries
	if isFew && c.analysis.judgeFew() {
		return c.analysis.verdict == ""
	}
	return c.isEnough(now, judged[failure], trialAnswers) &&
		(!c.analysis.speeds.isKnown() || judged[slowness] >= trialTimes*(1-c.leniency(now)))
}

// hasCapacity reports whether the target can carry the load, or what the old version could.
func (p *plan) hasCapacity(progress float64, f Fleet) bool {
	need := math.Min(loadHeadroom*float64(f.Load), float64(p.maxOldSlots))
	need *= 1 - (1-minCapacity)*relaxation(progress)
	return f.TargetSlots > 0 && float64(f.TargetSlots) >= need
}

// settleFraction returns when the settle phase may begin, as a fraction of the duration, so
// that the requests of the old version have time to end.
func (p *plan) settleFraction(duration time.Duration) float64 {
	drain := time.Duration(drainFactor*float64(p.longest)) + drainMargin
	return max(minSettleStart, min(settleStart, 1-float64(drain)/float64(duration)))
}

// trialFraction returns when the trial may end, as a fraction of the duration.
func (p *plan) trialFraction(duration time.Duration) float64 {
	return max(minTrialEnd, p.settleFraction(duration)-(settleStart-trialEnd))
}

// nextPhase returns the phase to propose, and why a rollout ends.
func (c *Controller) nextPhase(now time.Duration, f Fleet) (Phase, string) {
	p := &c.plan
	p.observe(now, f)
	progress := c.progress(now)
	if c.analysis.verdict != "" {
		return RolledBack, c.analysis.verdict
	}
	switch c.record.Phase {
	case Trial:
		if !p.oldSeen && f.TargetSlots > 0 && now >= c.created+onlyVersionDelay {
			return Completed, reasonOnlyVersion
		}
		if c.isTrialOver(now, progress, f) {
			return Shift, ""
		}
	case Shift:
		c.advanceShift(now, progress, f)
		if c.isShiftOver(now, progress, f) {
			return Settle, ""
		}
	case Settle:
		if c.isSettled(now, f) {
			return Completed, reasonCompleted
		}
	}
	return c.record.Phase, ""
}

func (c *Controller) isTrialOver(now time.Duration, progress float64, f Fleet) bool {
	p := &c.plan
	observed := p.requests == 0 || c.record.Evidence.Answers > trialAnswers ||
		p.hasAnswer && now-p.firstAnswer >= c.fraction(minObservation)
	return progress >= p.trialFraction(c.record.Duration) && observed && c.isJudged(now) &&
		!c.analysis.isSuspecting() && f.TargetSlots > 0 && (progress >= relaxEnd || p.hasCapacityForStep(f))
}

// hasCapacityForStep reports whether the target can carry the first step of the shift.
func (p *plan) hasCapacityForStep(f Fleet) bool {
	return float64(f.TargetSlots) >= stepShares[1]*float64(f.Load)
}

// fraction returns a fraction of the rollout's duration.
func (c *Controller) fraction(x float64) time.Duration {
	return time.Duration(x * float64(c.record.Duration))
}

// advanceShift begins the next step of the shift if it is due, and sets the target's
// fraction of the requests by its capacity.
func (c *Controller) advanceShift(now time.Duration, progress float64, f Fleet) {
	p := &c.plan
	last := len(stepShares) - 1
	due := now >= p.since+c.fraction(stepTime) && !c.analysis.isSuspecting()
	// Where few requests come, all of the step's answers are enough.
	enough := c.isEnough(now, float64(p.answers), stepAnswers) || c.leniency(now) == 1 && p.answers >= p.tries
	if due && p.step < last && enough {
		p.begin(now)
		p.step++
	}
	capacity := float64(f.TargetSlots) / math.Max(1, loadHeadroom*float64(f.Load))
	p.share = min(stepShares[p.step], capacity)
}

func (c *Controller) isShiftOver(now time.Duration, progress float64, f Fleet) bool {
	p := &c.plan
	return p.step == len(stepShares)-1 && now >= p.since+c.fraction(lastStepTime) &&
		progress >= p.settleFraction(c.record.Duration) && !c.analysis.isSuspecting() && p.hasCapacity(progress, f)
}

// isSettled reports whether all entries know the settle phase and nothing runs on old
// versions.
func (c *Controller) isSettled(now time.Duration, f Fleet) bool {
	p := &c.plan
	known := f.EntriesLive > 0 && f.EntriesKnown >= f.EntriesLive && p.since > c.created
	wait := settleTimeout
	if known {
		wait = minSettle
	}
	return now >= p.since+wait && p.oldIdle && now >= p.oldIdleSince+quietTime
}
