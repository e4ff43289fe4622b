package matrix

import (
	"fmt"
	"time"
)

const (
	// maxSessionCallers and maxSessionFaults bound the callers and faults of a
	// random session.
	maxSessionCallers = 12
	maxSessionFaults  = 3
	// sessionDuration is the time in which requests and faults occur.
	sessionDuration = 4 * time.Second
)

// runSession runs a session generated from a seed: callers of two tiers at
// random times, some of which send twice, and a few faults at random times. It
// returns the result and the names of the injected faults. Recovery times are
// not checked.
func runSession(k requestKind, seed uint64) (cellResult, []string) {
	sim := newSimulation(k, seed)
	sim.run(warmUpTime, runToDeadline)
	v := cellResult{kind: k, fault: fmt.Sprintf("seed %d", seed), step: "session", bound: runTimeout}
	for i := range 2 + sim.rng.IntN(maxSessionCallers-1) {
		sim.after(sim.randomSessionTime(), func() { sim.addCaller(i) })
	}
	injected := []string{}
	for range 1 + sim.rng.IntN(maxSessionFaults) {
		all := faults()
		f := all[sim.rng.IntN(len(all))]
		sim.after(sim.randomSessionTime(), func() {
			if sim.injectInFlight(f, sim.daemons[sim.rng.IntN(len(sim.daemons))]) == "" {
				injected = append(injected, f.name)
			}
		})
	}
	end := sim.now() + sessionDuration
	sim.run(end+runTimeout, func() bool { return sim.now() > end && sim.subject != nil && sim.allCallersEnded() })
	sim.evaluate(&v, end)
	return v, injected
}

func (sim *simulation) randomSessionTime() time.Duration {
	return time.Duration(sim.rng.Int64N(int64(sessionDuration)))
}

// addCaller adds one caller, which with a chance of 1 in 4 resends before its
// answer.
func (sim *simulation) addCaller(i int) {
	c := &caller{sim: sim, key: fmt.Sprintf("visit-%d", i), tier: sim.rng.IntN(2), nextEntry: sim.rng.IntN(len(sim.daemons)), createdAt: sim.now()}
	sim.otherCallers = append(sim.otherCallers, c)
	if sim.subject == nil {
		sim.subject = c
	}
	c.send()
	if sim.rng.IntN(4) == 0 {
		sim.after(time.Duration(sim.rng.Int64N(int64(answerBound))), c.send)
	}
}
