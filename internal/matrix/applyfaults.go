package matrix

import (
	"fmt"
	"time"

	"github.com/verbenastep/verbenastep/core/promise"
)

// applyFault is a row of the table for an apply.
type applyFault struct {
	name  string
	bound time.Duration
	// inject causes the fault; subject is the apply under test.
	inject func(s *configSite, subject *operator)
}

// applyFaults returns the rows. A change must be in force within 5 s; for a
// partitioned, paused or stopped daemon this counts from the end of that state.
func applyFaults() []applyFault {
	return []applyFault{
		{"log leader dies", inForceBound, func(s *configSite, _ *operator) { s.sim.log.loseLeader() }},
		{"log leader dies after a commit", inForceBound, func(s *configSite, _ *operator) { s.sim.log.losesNextReply = true }},
		{"operators race on one base", inForceBound, func(s *configSite, o *operator) { s.apply("rival", o.base, configFiles("rival's")) }},
		{"operator sends again", inForceBound, func(s *configSite, o *operator) { s.apply(o.name, o.base, o.files) }},
		{"operator applies on an old base", inForceBound, func(s *configSite, _ *operator) { s.apply("late", 0, configFiles("old")) }},
		{"daemon dies", inForceBound, func(s *configSite, _ *operator) { s.followers[0].crash(restartDelay) }},
		{"daemon down over hundreds of changes", inForceBound + partitionDuration, missedChanges},
		{"daemon cut off silently", inForceBound + partitionDuration, func(s *configSite, _ *operator) { s.partition(s.followers[0]) }},
		{"daemon paused", inForceBound + pauseDuration, func(s *configSite, _ *operator) { s.pause(s.followers[0]) }},
		{"replica dies", inForceBound, func(s *configSite, _ *operator) { s.replicas[0].restart() }},
		{"replica loses the quorum", inForceBound, func(s *configSite, _ *operator) { s.replicas[0].minorityUntil = s.sim.now() + partitionDuration }},
		{"delta lost", inForceBound, func(s *configSite, _ *operator) { s.pendingDamage = damageLost }},
		{"delta doubled", inForceBound, func(s *configSite, _ *operator) { s.pendingDamage = damageDuplicated }},
		{"delta late", inForceBound, func(s *configSite, _ *operator) { s.pendingDamage = damageReordered }},
	}
}

// missedChanges stops a daemon, applies more changes than the log retains, and
// starts the daemon again.
func missedChanges(s *configSite, _ *operator) {
	f := s.followers[0]
	f.crash(partitionDuration)
	for i := range missedChangeCount {
		s.sim.after(time.Second+time.Duration(i)*watchInterval, func() {
			number, _, _ := s.sim.log.machine.Config()
			s.apply(fmt.Sprintf("shift-%d", i), number, configFiles(fmt.Sprint(i)))
		})
	}
}

// partition cuts a daemon off from all others for partitionDuration.
func (s *configSite) partition(f *follower) {
	f.partitionedUntil = s.sim.now() + partitionDuration
	s.recordPartition(f, partitionDuration)
}

func (s *configSite) pause(f *follower) {
	f.pausedUntil = s.sim.now() + pauseDuration
	s.recordPartition(f, pauseDuration)
}

func (s *configSite) recordPartition(f *follower, d time.Duration) {
	s.sim.recordEvent(promise.Event{Kind: promise.Partitioned, Daemon: f.name})
	s.sim.after(d, func() { s.sim.recordEvent(promise.Event{Kind: promise.Healed, Daemon: f.name}) })
}

// restart crashes a replica and restarts it; its disk keeps the applied state.
func (r *configReplica) restart() {
	r.terminate()
	r.sim.after(restartDelay, func() { r.isAlive = true })
}

// runApply applies one change and injects a fault at a step of it, repeated
// every repeatDelay up to the given times.
func runApply(f applyFault, at step, times int) cellResult {
	sim := &simulation{requestKind: "apply"}
	sim.startedAt = time.Now()
	s := newConfigSite(sim)
	first := s.apply("first", 0, configFiles("first"))
	sim.run(warmUpTime, func() bool { return first.result != nil && s.isInForceEverywhere() })
	v := cellResult{kind: sim.requestKind, fault: f.name, step: at, bound: time.Duration(times) * f.bound, skipReason: "the step was not reached"}
	v.rowBound = v.bound
	subject := (*operator)(nil)
	lastFault := time.Duration(0)
	inject := func() {
		f.inject(s, subject)
		lastFault = sim.now()
	}
	s.onStep = func(x step) {
		if x != at || v.skipReason == "" {
			return
		}
		v.skipReason = ""
		inject()
		for i := 1; i < times; i++ {
			sim.after(time.Duration(i)*repeatDelay, inject)
		}
	}
	subject = &operator{name: "second", base: 1, files: configFiles("second")}
	s.operators = append(s.operators, subject)
	s.sendApply(subject)
	sim.after(messageDelay/2, func() { s.onStep(stepSent) })
	done := time.Duration(0)
	sim.run(sim.now()+runTimeout, func() bool {
		if !s.isConverged() {
			done = 0
		} else if done == 0 {
			done = sim.now()
		}
		return done > 0 && sim.now() > max(done, lastFault)+partitionDuration+inForceBound
	})
	v.recoveryTime = max(0, done-lastFault)
	v.outcome = "held"
	if done == 0 {
		v.unendedCallers = []string{"an operator without an answer or a daemon without the newest version"}
	}
	if s.pendingDamage != damageNone {
		v.skipReason = "no delta followed"
	}
	if problem := s.operatorFault(); problem != "" {
		v.unendedCallers = append(v.unendedCallers, problem)
	}
	v.violations = promise.Check(sim.events, promise.Options{})
	return v
}

// isConverged reports whether all operators are answered and all daemons have
// the newest version in force.
func (s *configSite) isConverged() bool {
	for _, o := range s.operators {
		if o.result == nil {
			return false
		}
	}
	return s.isInForceEverywhere()
}
