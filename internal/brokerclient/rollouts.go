package brokerclient

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/core/rollout"
	"github.com/verbenastep/verbenastep/internal/brokerwire"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/versiongate"
	"github.com/verbenastep/verbenastep/internal/wait"
)

// trialGrantTTL is how long after its arrival a grant of a version on trial may be acted on. With
// brokerTimeout, the longest pause before a message that is accepted, it is less than the time
// within which a bad version gets no more requests.
const trialGrantTTL = 1500 * time.Millisecond

// rollouts is what the entry knows of rollouts. The service's lock guards it.
type rollouts struct {
	view  port.RolloutView
	gates *versiongate.Tracker
}

func newRollouts(view port.RolloutView) *rollouts {
	return &rollouts{view: view, gates: versiongate.New()}
}

// runRollouts applies the changes of rollouts as soon as the view has them.
func (s *Service) runRollouts() {
	for s.ctx.Err() == nil {
		changed := s.view.Changed()
		s.mu.Lock()
		s.syncRollouts()
		s.mu.Unlock()
		wait.Notify(s.wakeLocal)
		select {
		case <-changed:
		case <-s.ctx.Done():
		}
	}
}

// syncRollouts sets the gates of the local broker by the view, and tells the broker of the
// session what is new. The caller holds the lock.
func (s *Service) syncRollouts() {
	if s.rollouts == nil {
		return
	}
	changed := s.rollouts.gates.Update(s.rollouts.view.Rollouts(), s.listedVersions)
	s.rollouts.gates.Apply(s.local)
	if len(changed) > 0 && s.attached {
		s.pending.Rollouts = append(s.pending.Rollouts, brokerwire.EncodeRollouts(changed)...)
		wait.Notify(s.wakeSession)
	}
}

// reportRollouts adds all rollouts to the next message to the broker. The caller holds the lock.
func (s *Service) reportRollouts() {
	if s.rollouts != nil {
		s.pending.Rollouts = brokerwire.EncodeRollouts(s.rollouts.gates.Records())
	}
}

// listedVersions returns the software versions of a pool's upstreams in the roster. The caller
// holds the lock.
func (s *Service) listedVersions(pool string) []string {
	out := []string{}
	for _, e := range s.roster {
		if e.Pool == pool && !slices.Contains(out, e.SoftwareVersion) {
			out = append(out, e.SoftwareVersion)
		}
	}
	return out
}

// isExpired reports whether a grant of a software version that arrived at a time must not be acted
// on any more: the version was rolled back meanwhile, or it is on trial and the grant is old. A
// pool without another version uses the one that it has. The caller holds the lock.
func (s *Service) isExpired(pool, version string, grantedAt time.Duration) bool {
	if s.rollouts == nil {
		return false
	}
	s.syncRollouts()
	r, ok := s.rollouts.gates.Record(pool)
	if !ok || r.Target != version {
		return false
	}
	switch r.Phase {
	case rollout.RolledBack:
		return slices.ContainsFunc(s.listedVersions(pool), func(v string) bool { return v != version })
	case rollout.Trial, rollout.Shift:
		return s.elapsed()-grantedAt > trialGrantTTL
	}
	return false
}

// isForbidden reports whether the local broker would not grant a software version to a request, by
// the entry's view of the rollout. The grants of an interim broker, which may have an older view,
// must not go beyond it; the leader knows the newest phase. A rolled back version is left to isExpired.
// The caller holds the lock.
func (s *Service) isForbidden(a *acquisition, version string) bool {
	if s.rollouts == nil {
		return false
	}
	s.syncRollouts()
	r, ok := s.rollouts.gates.Record(a.offer.Pool)
	switch gate := r.Gate(); {
	case !ok || r.Phase == rollout.RolledBack:
		return false
	case version == r.Target:
		return !gate.AllowsTarget(false)
	case r.Phase == rollout.Completed:
		return slices.Contains(s.rollouts.gates.Replaced(a.offer.Pool), version)
	default:
		return !gate.AllowsOld(false) && !a.isBound
	}
}

// returnGrant returns a grant that must not be acted on, with what the entry knows of its upstream,
// and offers its request again. The caller holds the lock.
func (s *Service) returnGrant(a *acquisition, g broker.Grant, e broker.End) {
	s.log.Info("late grant dropped", zap.String("pool", a.offer.Pool), zap.String("upstream", g.Upstream), zap.Bool("leaving", e.Leaving), zap.String("software", g.SoftwareVersion), zap.String("why", g.VersionReason))
	e.ID, e.Outcome = g.ID, broker.NotSent
	a.offer.Avoid = append(slices.Clip(a.offer.Avoid), g.Upstream)
	s.pending.Ends = append(s.pending.Ends, brokerwire.EncodeEnd(e))
	s.pending.Offers = append(s.pending.Offers, brokerwire.EncodeOffer(s.now(), a.offer))
	wait.Notify(s.wakeSession)
}

// expiry returns the function that reports whether a granted request must not be sent any more;
// nil if rollouts are off.
func (s *Service) expiry(a *acquisition) func() bool {
	if s.rollouts == nil {
		return nil
	}
	return func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.isExpired(a.offer.Pool, a.grant.SoftwareVersion, a.grantedAt) || a.decidedBy == byInterim && s.isForbidden(a, a.grant.SoftwareVersion)
	}
}
