package broker

import "time"

const (
	// shareMemory is how long after the last wait or refusal of a rank the use of its
	// workspaces is remembered.
	shareMemory = time.Second
	// shareTolerance is by how many mean requests the use of a workspace may exceed the mean
	// use before its requests go behind those of the others. Random arrivals of workspaces with
	// the same rate differ by less, and a request that is overtaken misses its latency target.
	shareTolerance = 4
	// maxShareLag bounds how far a workspace's use may exceed the mean use, in mean requests,
	// so that what it used is not held against it for long.
	maxShareLag = 24
	// maxSharingWorkspaces bounds the workspaces whose use is counted, by rank. More share
	// the last counter.
	maxSharingWorkspaces = 10_000
	// otherWorkspaces is the name of the last counter, which no workspace has.
	otherWorkspaces = "\x00"
)

// shares orders the requests of a rank so that its workspaces share the capacity. Each
// workspace has a virtual counter of the tokens of its requests that were granted or wait. A
// request is tagged when it is queued, so that the queue is sorted once: with the mean of the
// counters, which keeps the order of arrival, or if its workspace has used more than that and
// the tolerance, with its counter. Such a request goes behind those of the other workspaces
// until their mean has reached its tag.
//
// The counter of a workspace with little use is raised to the mean, so that it accrues no
// credit, and one without requests is removed. Capacity that the other workspaces leave is
// granted to any. Without a wait or refusal within shareMemory nothing is counted.
type shares struct {
	activeUntil time.Duration
	// nextSweep is when idle workspaces are next removed.
	nextSweep time.Duration
	// sum is that of the counters.
	sum float64
	// cost is the moving average of what requests are charged.
	cost       float64
	workspaces map[string]*workspaceShare
}

// workspaceShare is the use of a workspace.
type workspaceShare struct {
	counter float64
	// charged is when a request was last charged.
	charged time.Duration
	room    returnRoom
}

// activate notes that a request of the rank waits or is refused.
func (s *shares) activate(now time.Duration) { s.activeUntil = now + shareMemory }

// count returns the number of workspaces that share the rank, at least 1.
func (s *shares) count() float64 { return float64(max(1, len(s.workspaces))) }

func (s *shares) of(now time.Duration, workspace string) *workspaceShare {
	if s.workspaces == nil {
		s.workspaces = map[string]*workspaceShare{}
	}
	w := s.workspaces[workspace]
	if w == nil && len(s.workspaces) >= maxSharingWorkspaces {
		workspace = otherWorkspaces
		w = s.workspaces[workspace]
	}
	if w == nil {
		w = &workspaceShare{counter: s.sum / s.count(), charged: now}
		s.sum += w.counter
		s.workspaces[workspace] = w
	}
	return w
}

func (s *shares) roomOf(now time.Duration, workspace string) *returnRoom {
	return &s.of(now, workspace).room
}

// waits notes that a request waits after a round.
func (x *poolOverload) waits(now time.Duration, req *request) {
	if x != nil {
		x.ranks[rankIndex(req.Rank)].shares.activate(now)
	}
}

// charge sets the tag of a new request and charges its workspace.
func (x *poolOverload) charge(now time.Duration, p *pool, req *request) {
	s := &x.ranks[rankIndex(req.Rank)].shares
	if now >= s.activeUntil {
		clear(s.workspaces)
		s.sum = 0
		return
	}
	req.shareWeight = x.overload.weights.of(req.Workspace)
	req.shareCost = p.shareCost(req, req.OutputTokens) / req.shareWeight
	w := s.of(now, req.Workspace)
	s.cost = movingAverage(s.cost, req.shareCost, poolWeight)
	s.forgetIdle(now)
	w.charged = now
	level := s.sum / s.count()
	s.add(w, min(max(w.counter, level), level+maxShareLag*s.cost)-w.counter)
	req.shareTag = max(level, w.counter-shareTolerance*s.cost)
	s.add(w, req.shareCost)
	if req.shareTag > level {
		x.overload.stats.Reordered++
	}
}

// forgetIdle removes the workspaces without a request within shareMemory, which would lower
// the level of the others.
func (s *shares) forgetIdle(now time.Duration) {
	if now < s.nextSweep {
		return
	}
	s.nextSweep = now + shareMemory/2
	for name, w := range s.workspaces {
		if now-w.charged > shareMemory {
			s.sum -= w.counter
			delete(s.workspaces, name)
		}
	}
}

func (s *shares) add(w *workspaceShare, cost float64) {
	w.counter += cost
	s.sum += cost
}

// shareCost returns what a request is charged, in output tokens; a service call is charged 1.
func (p *pool) shareCost(req *request, outputTokens int) float64 {
	if p.engine == nil {
		return 1
	}
	return p.times.overhead + p.times.prefillRatio*float64(req.PromptTokens) + float64(outputTokens)
}

// refundShare takes back what was charged for a request that did not run.
func (x *poolOverload) refundShare(req *request) {
	if x == nil || req.shareCost == 0 {
		return
	}
	x.settle(req, 0)
	req.shareCost = 0
}

// settleShare charges the actual length of a completed answer instead of the estimated one.
func (x *poolOverload) settleShare(p *pool, req *request, e End) {
	if x == nil || req.shareCost == 0 || e.Outcome != Completed || p.engine == nil {
		return
	}
	x.settle(req, p.shareCost(req, e.OutputTokens)/req.shareWeight)
	req.shareCost = 0
}

// settle replaces the charge of a request. A workspace that is not counted any more is not
// added again.
func (x *poolOverload) settle(req *request, cost float64) {
	if w := x.ranks[rankIndex(req.Rank)].shares.workspaces[req.Workspace]; w != nil {
		x.ranks[rankIndex(req.Rank)].shares.add(w, cost-req.shareCost)
	}
}
