package broker

import (
	"slices"
	"time"

	"github.com/verbenastep/verbenastep/core/rollout"
)

const (
	// rolloutPreference is subtracted from the cost of target upstreams while the rollout
	// grants them a request, so that they get their share wherever they are. It is less than
	// missedTargetPenalty: a request does not become late for a rollout.
	rolloutPreference = 8 * time.Second
	// onlyVersionDelay is how long a version that was rolled back must have been the only
	// one of its pool before it gets requests again. The old upstreams may be gone for a
	// moment, for example while they restart.
	onlyVersionDelay = 30 * time.Second
)

// RolloutController decides how many requests the target version of a rollout gets, and
// learns from answers; *rollout.Controller implements it.
type RolloutController interface {
	CountRequest(now time.Duration)
	MayTry(now time.Duration) bool
	CountTry(now time.Duration)
	Learn(now time.Duration, a rollout.Answer)
}

// versionGate restricts the software versions of a pool during and after a rollout.
type versionGate struct {
	gate rollout.Gate
	// replaced lists the versions that a completed rollout replaced.
	replaced []string
	// controller is nil at a local broker, and at the broker of all entries until it has
	// one; the target gets no requests on trial then.
	controller RolloutController
	// central is true at the broker of all entries.
	central bool
	// mayTry is true if the target may get another request in this round. next is the
	// only target upstream that gets requests of the trial in this round.
	mayTry bool
	next   *upstream
	// onlyTargetSince is since when the pool has had no other version than the target; -1
	// while it has.
	onlyTargetSince time.Duration
}

// SetRollout sets the controller of a pool's running rollout; nil removes it.
func (b *Broker) SetRollout(pool string, c RolloutController) {
	if c == nil && (b.pools[pool] == nil || b.pools[pool].versions == nil) {
		return
	}
	p := b.pool(pool)
	if p.versions == nil {
		p.versions = newVersionGate(b.share)
	}
	p.versions.controller = c
	p.dropOpenVersions()
}

// SetGate sets which software versions of a pool get new requests; the zero Gate allows all.
// replaced lists the versions that a completed rollout replaced; others are allowed then.
func (b *Broker) SetGate(pool string, g rollout.Gate, replaced []string) {
	if g == (rollout.Gate{}) && (b.pools[pool] == nil || b.pools[pool].versions == nil) {
		return
	}
	p := b.pool(pool)
	if p.versions == nil {
		p.versions = newVersionGate(b.share)
	}
	if p.versions.gate != g {
		p.versions.gate, p.versions.onlyTargetSince = g, -1
	}
	p.versions.replaced = replaced
	p.dropOpenVersions()
}

func newVersionGate(share float64) *versionGate {
	return &versionGate{central: share == 1, onlyTargetSince: -1}
}

// dropOpenVersions removes a gate that restricts nothing, so that decisions are those of a
// pool without rollouts.
func (p *pool) dropOpenVersions() {
	if p.versions.controller == nil && p.versions.gate == (rollout.Gate{}) {
		p.versions = nil
	}
}

// onTrial reports whether the target gets a limited number of requests.
func (v *versionGate) onTrial() bool {
	return v.gate.Phase == rollout.Trial || v.gate.Phase == rollout.Shift
}

// isTarget reports whether a software version is the target of the rollout.
func (v *versionGate) isTarget(version string) bool {
	return v.gate.Target != "" && version == v.gate.Target
}

// allows reports whether upstreams of a software version may get new requests at all. bound
// is set for a request that resumes a stream, which the old version may finish.
func (v *versionGate) allows(version string, bound bool) bool {
	switch {
	case v == nil || v.gate.Target == "":
		return true
	case v.isTarget(version):
		return v.gate.AllowsTarget(v.central) || v.onlyTargetSince >= 0 && v.gate.Phase == rollout.RolledBack && v.mayTry
	case bound && v.gate.Phase == rollout.Settle:
		return true
	case v.gate.Phase == rollout.Completed:
		return !slices.Contains(v.replaced, version)
	}
	return v.gate.AllowsOld(v.central)
}

// startRound prepares a round of decisions on a pool.
func (v *versionGate) startRound(now time.Duration, p *pool) {
	if v == nil {
		return
	}
	v.next = nil
	v.mayTry = v.controller != nil && v.onTrial() && v.controller.MayTry(now)
	if v.gate.Phase != rollout.RolledBack {
		return
	}
	for _, u := range p.order {
		if !v.isTarget(u.SoftwareVersion) {
			v.onlyTargetSince = -1
			return
		}
	}
	if v.onlyTargetSince < 0 {
		v.onlyTargetSince = now
	}
	v.mayTry = now-v.onlyTargetSince >= onlyVersionDelay
}

// isRestricted reports whether an upstream gets few or no new requests because of its software
// version.
func (v *versionGate) isRestricted(u *upstream) bool {
	return v != nil && (v.onTrial() && v.isTarget(u.SoftwareVersion) || !v.allows(u.SoftwareVersion, false))
}

// passesOver reports whether a round leaves an upstream out because of its software version.
// It adds an upstream of a version that gets few requests to the open ones without counting
// its slots: the others must be able to carry the load. The requests of a trial go to one
// upstream until it is full, so that it works under full load.
func (v *versionGate) passesOver(r *round, u *upstream) bool {
	if v == nil {
		return false
	}
	onTrial := v.onTrial() && v.isTarget(u.SoftwareVersion)
	if !v.isRestricted(u) {
		return false
	}
	capacity := u.capacity(r.now, r.share)
	if v.gate.Phase == rollout.Shift {
		// The part of the traffic grows; a trial is to load one upstream fully.
		capacity = u.pacedCapacity(r.now, r.share)
	}
	isFull := u.Silent || len(u.inFlight) >= capacity || u.limitWait(r.now, r.share) > 0
	switch {
	case isFull, !v.allows(u.SoftwareVersion, true):
		return true
	case onTrial && (!v.mayTry || v.gate.Phase == rollout.Trial && v.next != nil):
		return true
	case onTrial:
		v.next = u
	}
	r.open = append(r.open, u)
	return true
}

// allowsVersion reports whether the rollout of the pool lets an upstream run a request.
func (p *pool) allowsVersion(u *upstream, req *request) bool {
	v := p.versions
	if v == nil {
		return true
	}
	if !v.allows(u.SoftwareVersion, req.VersionBound) {
		return false
	}
	return !v.onTrial() || !v.isTarget(u.SoftwareVersion) || v.mayTry
}

// rolloutPreference returns by how much the cost of an upstream is lowered for a rollout.
func (p *pool) rolloutPreference(u *upstream) time.Duration {
	if p.versions == nil || !p.versions.onTrial() || !p.versions.isTarget(u.SoftwareVersion) {
		return 0
	}
	return rolloutPreference
}

// countRequest counts a new request of the pool for its rollout. Requests that were counted
// before, and further attempts of one, are not counted again; an entry of an earlier version,
// which sends no route, does not tell them apart.
func (p *pool) countRequest(now time.Duration, o *Offer) {
	isRepeated := o.Counted || o.Resumes != 0 || o.Route == 0 && len(o.Avoid) > 0
	if v := p.versions; v != nil && v.controller != nil && !isRepeated {
		v.controller.CountRequest(now)
	}
}

// countTry counts a request that was granted an upstream of the target, and returns why the
// version of the upstream was chosen; empty without a rollout.
func (p *pool) countTry(now time.Duration, u *upstream) (reason string) {
	v := p.versions
	if v == nil || v.gate.Target == "" {
		return ""
	}
	if v.onTrial() && v.isTarget(u.SoftwareVersion) {
		v.controller.CountTry(now)
		v.mayTry = v.controller.MayTry(now)
	}
	return "rollout of " + v.gate.Target + ": " + string(v.gate.Phase)
}

// learnRollout passes the end of a request on to the controller of the pool's rollout. Call
// it before the request is removed.
func (p *pool) learnRollout(now time.Duration, req *request, e End) {
	v := p.versions
	if v == nil || v.controller == nil {
		return
	}
	a := rollout.Answer{Route: req.Route, Target: v.isTarget(req.version), Upstream: req.assigned.ID}
	switch e.Outcome {
	case Completed:
		a.Time, a.Expected = p.answerTime(req, e)
	case TimedOut:
		if req.assigned.WarmUpTime > 0 {
			return
		}
		a.Failed, a.TimedOut, a.Time = true, true, now-req.granted
	case UpstreamError, ConnectionLost, InvalidResponse:
		a.Failed, a.Time = true, now-req.granted
	default:
		return
	}
	v.controller.Learn(now, a)
}

// answerTime returns how long a complete answer took, and how long one of its length takes
// at an average upstream of the pool; zero while the upstream warms up. What is learned of
// the upstream itself is left out: it includes what the rollout is to find.
func (p *pool) answerTime(req *request, e End) (took, expected time.Duration) {
	u := req.assigned
	took = e.TimeToFirstEvent + e.DecodeTime
	if u.WarmUpTime > 0 {
		return 0, 0
	}
	if p.engine == nil {
		return max(0, took-seconds(p.transits.call(req.Region, u.Region))), seconds(p.times.callTime)
	}
	prompt := req.PromptTokens
	if u.sessions.wasCached(req.Session) {
		prompt = max(0, prompt-req.SessionTokens)
	}
	work := p.times.overhead + p.times.prefillRatio*float64(prompt) + float64(e.OutputTokens)
	return took, seconds(p.times.tokenTime * work)
}

// RolloutFleet returns what the broker knows of a pool's upstreams for its rollout. The
// numbers of entries are left to the caller.
func (b *Broker) RolloutFleet(now time.Duration, pool string) rollout.Fleet {
	p, f := b.pool(pool), rollout.Fleet{}
	v := p.versions
	if v == nil {
		return f
	}
	for _, u := range p.upstreams {
		for _, req := range u.inFlight {
			f.Load++
			if !v.isTarget(req.version) {
				f.OldRunning++
			}
		}
	}
	for _, x := range b.unlisted {
		if x.Pool != pool || now >= x.until {
			continue
		}
		f.Load++
		if !x.VersionBound || !v.isTarget(x.SoftwareVersion) {
			f.OldRunning++
		}
	}
	for _, u := range p.order {
		if u.isLeaving() || u.Silent || u.health.isUnavailable(now) {
			continue
		}
		switch {
		case !v.isTarget(u.SoftwareVersion):
			f.OldSlots += u.capacity(now, b.share)
		case u.WarmUpTime <= 0:
			f.TargetSlots += u.capacity(now, b.share)
		}
	}
	return f
}
