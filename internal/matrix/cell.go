package matrix

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/verbenastep/verbenastep/core/promise"
)

const (
	// warmUpTime is how long the daemons run before the subject request is sent.
	warmUpTime = 3 * time.Second
	// runTimeout ends a run in which a caller never receives a result.
	runTimeout = 2 * time.Minute
	// repeatDelay is the time before a fault is injected a second time, and
	// between attempts to do so while no attempt is active.
	repeatDelay = 150 * time.Millisecond
)

// cellResult is the outcome of one run, a cell of the table.
type cellResult struct {
	kind  requestKind
	fault string
	step  step
	// skipReason says why the fault could not be injected; empty if it was.
	skipReason string
	// recoveryTime is the time from the last fault until every caller had its
	// result.
	recoveryTime time.Duration
	bound        time.Duration
	// rowBound is the bound that the table shows for the row.
	rowBound   time.Duration
	violations []promise.Violation
	// unendedCallers lists the callers that received no result.
	unendedCallers []string
	// outcome is how the subject request ended: whole, none, or whether it ran.
	outcome string
}

// passed reports whether every promise held and every caller had its result
// within the bound. A skipped cell passes.
func (v cellResult) passed() bool {
	return v.skipReason != "" || len(v.violations) == 0 && len(v.unendedCallers) == 0 && v.recoveryTime <= v.bound
}

// String returns the text of the cell in the table.
func (v cellResult) String() string {
	switch {
	case v.skipReason != "":
		return "– " + v.skipReason
	case len(v.violations) > 0:
		return "BROKE " + string(v.violations[0].Promise)
	case len(v.unendedCallers) > 0:
		return "BROKE caller hangs"
	case v.recoveryTime > v.bound:
		return fmt.Sprintf("LATE %.1f s", v.recoveryTime.Seconds())
	}
	return fmt.Sprintf("%s %.1f s", v.outcome, v.recoveryTime.Seconds())
}

// observationEnd returns the time until which a run continues after the callers
// have their results: past the return of every daemon that is partitioned or
// paused.
func (sim *simulation) observationEnd() time.Duration {
	until := sim.now()
	for _, d := range sim.daemons {
		until = max(until, d.partitionedUntil, d.pausedUntil)
	}
	return until + processLossBound
}

// injection is a fault injected at a step, once or several times.
type injection struct {
	fault       fault
	step        step
	repetitions int
}

// runCell runs one request of a kind with faults injected and returns the
// result. It must run inside testing/synctest.
func runCell(k requestKind, seed uint64, injections ...injection) cellResult {
	sim := newSimulation(k, seed)
	sim.run(warmUpTime, runToDeadline)
	v := cellResult{kind: k, fault: injections[0].fault.name, step: injections[0].step, rowBound: time.Duration(injections[0].repetitions) * injections[0].fault.bound}
	lastFault := time.Duration(0)
	remaining := slices.Clone(injections)
	sim.onStep = func(s step, a *attempt) {
		due := []injection{}
		for _, b := range remaining {
			if b.step == s {
				due = append(due, b)
			}
		}
		remaining = slices.DeleteFunc(remaining, func(b injection) bool { return b.step == s })
		for _, b := range due {
			v.bound += time.Duration(b.repetitions) * b.fault.bound
			sim.inject(b, a, &lastFault)
		}
	}
	sim.subject = &caller{sim: sim, key: "subject", createdAt: sim.now()}
	sim.subject.send()
	sim.run(runTimeout, func() bool { return sim.allCallersEnded() && sim.now() > lastFault })
	v.skipReason = sim.skipReason(remaining)
	sim.evaluate(&v, lastFault)
	return v
}

// evaluate fills in how long the callers waited after the last fault, which of
// them have no result, and which promises were violated.
func (sim *simulation) evaluate(v *cellResult, lastFault time.Duration) {
	for _, c := range append(sim.otherCallers, sim.subject) {
		if c.endedAt > lastFault {
			v.recoveryTime = max(v.recoveryTime, c.endedAt-max(lastFault, c.createdAt))
		}
		if !c.hasEnded {
			v.unendedCallers = append(v.unendedCallers, c.key)
		}
	}
	v.outcome = sim.subjectOutcome()
	// Events after the callers have their results must keep the promises as well.
	sim.run(sim.observationEnd(), runToDeadline)
	v.violations = promise.Check(sim.events, promise.Options{InFlightAtEnd: len(v.unendedCallers) > 0})
}

// skipReason returns why a fault could not be injected or had no effect, or an
// empty string.
func (sim *simulation) skipReason(remaining []injection) string {
	switch {
	case len(remaining) > 0 && remaining[0].step == stepStream && sim.requestKind == serviceCall:
		return "a call has no frames"
	case len(remaining) > 0:
		return "the step was not reached"
	case (sim.pendingDamage.frame == damageForeign || sim.pendingDamage.frame == damageDuplicated) && sim.requestKind == serviceCall:
		return "a call has no frames"
	case sim.pendingDamage.frame != damageNone:
		return "nothing more came on the connection"
	case sim.noDispatcher:
		return "nobody dispatched at that moment"
	case sim.pendingDamage.linkMessage != damageNone:
		return "no message followed"
	}
	return ""
}

// inject injects a fault, and again after repeatDelay while the request runs.
// It sets lastFault to the time of the latest injection.
func (sim *simulation) inject(b injection, a *attempt, lastFault *time.Duration) {
	b.fault.inject(sim, a)
	*lastFault = sim.now()
	if b.repetitions > 1 {
		sim.after(repeatDelay, func() { sim.injectAgain(b, a, lastFault) })
	}
}

// injectAgain repeats a fault once the subject has an active attempt.
func (sim *simulation) injectAgain(b injection, a *attempt, lastFault *time.Duration) {
	if sim.subject.hasEnded {
		return
	}
	x := sim.activeAttempt(a)
	if x == nil {
		sim.after(repeatDelay, func() { sim.injectAgain(b, a, lastFault) })
		return
	}
	b.repetitions--
	sim.inject(b, x, lastFault)
}

// activeAttempt returns the attempt that carries the subject request now, or
// nil. With several it takes the daemon first by name.
func (sim *simulation) activeAttempt(a *attempt) *attempt {
	found := []*attempt{}
	for _, d := range sim.daemons {
		if x, ok := d.attempts[a.key]; ok && d.isReachable() && x.result == nil && sim.dispatcher() != nil {
			found = append(found, x)
		}
	}
	if len(found) == 0 {
		return nil
	}
	slices.SortFunc(found, func(a, b *attempt) int { return cmp.Compare(a.daemon.name, b.daemon.name) })
	return found[0]
}

func (sim *simulation) subjectOutcome() string {
	f := sim.subject.failure
	switch {
	case !sim.subject.hasEnded:
		return "none"
	case f == nil:
		return "whole"
	}
	return string(f.Ran)
}
