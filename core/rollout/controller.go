package rollout

import "time"

// Reasons of rollouts that end without a verdict on the target.
const (
	reasonOnlyVersion = "no other version serves the pool"
	reasonCompleted   = "all requests are served by the target"
)

const (
	// proposalInterval is the shortest time between two commands of a pool, apart from
	// changes of phase.
	proposalInterval = 200 * time.Millisecond
	// maxPermission is how long a controller may grant the target after the time of its
	// last committed command, and refreshInterval how old that command may get.
	maxPermission   = 1500 * time.Millisecond
	refreshInterval = 400 * time.Millisecond
)

// Params are the settings.
type Params struct {
	// Share is the largest fraction of the requests, in (0, 1), that a version gets until
	// it is trusted; Slack is how many requests it may get beyond that.
	Share float64
	Slack int
	// RollbackTimeout is the time from the 50th bad answer within which no entry sends to
	// the version any more.
	RollbackTimeout time.Duration
}

// permission returns how long a committed command permits grants to the target. It leaves
// half of the time to roll back for the analysis.
func (p Params) permission() time.Duration {
	if p.RollbackTimeout <= 0 {
		return maxPermission
	}
	return min(maxPermission, p.RollbackTimeout/2)
}

// Answer is how a request ended at an upstream of the pool. Requests that the upstream did
// not run, or whose caller left, are no answers.
type Answer struct {
	// Route is the hash of the route's name, 0 if unknown.
	Route uint64
	// Target is set if the upstream is of the target version.
	Target bool
	// Upstream is the upstream's ID.
	Upstream string
	// Failed is set for a sealed 5xx, a lost connection, a timeout and an invalid response.
	Failed bool
	// TimedOut is set with Failed for a timeout. It may end an attempt that was only slow: a
	// replacement answered first. Time tells how long the attempt lasted.
	TimedOut bool
	// Time is how long the upstream took, or since when it had the request if that failed.
	// Expected is how long it was expected to take. 0 if unknown.
	Time     time.Duration
	Expected time.Duration
}

// Fleet is what the leader knows of the pool's upstreams and of the entries.
type Fleet struct {
	// TargetSlots and OldSlots are the usable slots of each version; Load is the number of
	// occupied slots of both.
	TargetSlots int
	OldSlots    int
	Load        int
	// OldRunning is the number of requests in flight on old versions, with orphaned ones.
	OldRunning int
	// EntriesKnown is how many live entries are known to have the phase of the record,
	// EntriesLive is how many entries live.
	EntriesKnown int
	EntriesLive  int
}

// Controller decides at the leader about one running rollout. It is made anew, from the
// record, when leadership changes. It is not safe for concurrent use.
type Controller struct {
	params Params
	record Record
	term   uint64
	// created is the time at which the controller was made, and createdElapsed the time
	// since the order then.
	created        time.Duration
	createdElapsed time.Duration
	// superseded is set once the record shows a command of a later leader.
	superseded bool
	// lastProposal is the time of the last command, lastCommit that of the last one known
	// to be committed, and proposedPhase the phase of the former.
	lastProposal  time.Duration
	lastCommit    time.Duration
	proposedPhase Phase
	hasProposed   bool

	exposure exposure
	plan     plan
	analysis *analysis
}

// NewController returns a controller that continues from a record. Everything that was
// reserved counts as used.
func NewController(now time.Duration, p Params, r Record) *Controller {
	c := &Controller{params: p, record: r, created: now, createdElapsed: r.Elapsed}
	c.lastCommit = now - p.permission()
	c.exposure = newExposure(now, p, r)
	c.analysis = newAnalysis(p, r.Evidence)
	c.plan.enter(now, r.Phase)
	if r.Phase == Shift && r.Reserved > c.exposure.bound(1) {
		// Only a version that was trusted gets more than the bound.
		c.plan.step = trustedStep
	}
	return c
}

// SetTerm sets the term of the leader, which must be higher for each later leader. The
// record then accepts no commands of earlier leaders once the controller's first command is
// committed, and the controller uses no reservation before that. Call it before the first
// Tick; without it, the caller must see to it that commands of earlier leaders don't commit.
func (c *Controller) SetTerm(term uint64) {
	c.term = term
	c.superseded = c.record.Term > term
}

// elapsed returns the time since the order.
func (c *Controller) elapsed(now time.Duration) time.Duration {
	return c.createdElapsed + now - c.created
}

// progress returns the elapsed fraction of the duration.
func (c *Controller) progress(now time.Duration) float64 {
	return float64(c.elapsed(now)) / float64(max(1, c.record.Duration))
}

// isPermitted reports whether the last committed command still permits grants to the target.
func (c *Controller) isPermitted(now time.Duration) bool {
	return now < c.lastCommit+c.params.permission()
}

// CountRequest records that a request reached the pool. Count each request once; one that
// already runs when a new leader takes over is not counted again.
func (c *Controller) CountRequest(_ time.Duration) {
	c.exposure.countRequest()
	c.plan.countRequest()
}

// MayTry reports whether the target may get one more request now. In trial and shift, send
// it to the usable upstream of the target that runs the most requests already: these then run
// under full load, and give enough answers each to tell the slow ones from a slow upstream.
func (c *Controller) MayTry(now time.Duration) bool {
	switch {
	case c.record.Phase == Settle || c.record.Phase == Completed:
		return true
	case c.record.Phase == RolledBack || c.superseded || c.analysis.verdict != "" || !c.isPermitted(now):
		return false
	case c.record.Phase == Trial:
		return c.exposure.isBursting()
	case c.plan.isTrusted():
		return c.plan.mayTry()
	}
	return c.exposure.isReserved() && c.plan.mayTry()
}

// CountTry records that the target gets a request.
func (c *Controller) CountTry(now time.Duration) {
	c.exposure.countTry()
	c.plan.countTry(now)
}

// Learn records an answer.
func (c *Controller) Learn(now time.Duration, a Answer) {
	if a.Target {
		c.plan.countAnswer(now)
	} else if !a.Failed {
		c.plan.countOldTime(a.Time)
	}
	if c.record.Phase == Settle {
		// The old answers of the settle phase are the long ones of those before.
		a.Time = 0
	}
	c.analysis.learn(now, a)
}

// Tick returns what to commit next, and false if there is nothing. Call it at least every
// 100 ms. A command that could not be committed need not be kept: a later Tick returns it
// again.
func (c *Controller) Tick(now time.Duration, f Fleet) (Advance, bool) {
	if !c.record.Running() || c.superseded {
		return Advance{}, false
	}
	c.exposure.measureRate(now)
	c.analysis.advance(now)
	phase, reason := c.nextPhase(now, f)
	reserved := c.exposure.nextReservation(c.reservationShare(now, phase), c.plan.isTrusted())
	a := Advance{
		Pool: c.record.Pool, Number: c.record.Number, Phase: phase, Elapsed: c.elapsed(now),
		Requests: c.exposure.requests, Reserved: reserved, Term: c.term, Evidence: c.analysis.evidence(), Reason: reason,
	}
	if phase == Settle || phase.IsFinal() {
		a.Reserved = max(c.exposure.limit, c.exposure.used)
	}
	isNew := phase != c.record.Phase && phase != c.proposedPhase
	if !isNew && !c.isProposalDue(now, phase, a.Reserved) {
		return Advance{}, false
	}
	c.lastProposal, c.proposedPhase, c.hasProposed = now, phase, true
	c.exposure.propose(a.Reserved)
	return a, true
}

// reservationShare returns the fraction of the bound on the target's requests that may be
// reserved in a phase. A trial that takes long may use all of it.
func (c *Controller) reservationShare(now time.Duration, p Phase) float64 {
	if p != Trial {
		return 1
	}
	return trialReservation + (1-trialReservation)*relaxation(c.progress(now))
}

// isProposalDue reports whether a command without a new phase is due.
func (c *Controller) isProposalDue(now time.Duration, phase Phase, reserved uint64) bool {
	if c.hasProposed && now < c.lastProposal+proposalInterval {
		return false
	}
	refresh := min(refreshInterval, c.params.permission()/4)
	return phase != c.record.Phase || now >= c.lastCommit+refresh || c.exposure.needs(reserved)
}

// Committed sets the record after a command was committed and applied.
func (c *Controller) Committed(now time.Duration, r Record) {
	if r.Pool != c.record.Pool || r.Number != c.record.Number || r.Phase.order() < c.record.Phase.order() || !c.record.Running() {
		return
	}
	if r.Phase != c.record.Phase {
		c.plan.enter(now, r.Phase)
	}
	c.record = r
	if r.Term > c.term {
		// A command of a later leader; only an operator's has no term.
		c.superseded = true
		return
	}
	if !c.hasProposed || r.Term < c.term {
		return
	}
	// The record tells when its last command was made. A daemon that was paused between
	// the command and this call gains no permission from the pause.
	made := min(now, c.created+r.Elapsed-c.createdElapsed)
	c.lastCommit = max(c.lastCommit, made)
	c.exposure.commit(r)
}
