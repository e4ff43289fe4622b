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
	w := newSimulation(k, seed)
	w.run(warmUpTime, runToDeadline)
	v := cellResult{kind: k, fault: fmt.Sprintf("seed %d", seed), step: "session", bound: runTimeout}
	for i := range 2 + w.rng.IntN(maxSessionCallers-1) {
		w.after(w.randomSessionTime(), func() { w.addCaller(i) })
	}
	injected := []string{}
	for range 1 + w.rng.IntN(maxSessionFaults) {
		all := faults()
		f := all[w.rng.IntN(len(all))]
		w.after(w.randomSessionTime(), func() {
			if w.injectInFlight(f, w.daemons[w.rng.IntN(len(w.daemons))]) == "" {
				injected = append(injected, f.name)
			}
		})
	}
	end := w.now() + sessionDuration
	w.run(end+runTimeout, func() bool { return w.now() > end && w.subject != nil && w.allCallersEnded() })
	w.evaluate(&v, end)
	return v, injected
}

func (w *simulation) randomSessionTime() time.Duration {
	return time.Duration(w.rng.Int64N(int64(sessionDuration)))
}

// addCaller adds one caller, which with a chance of 1 in 4 resends before its
// answer.
func (w *simulation) addCaller(i int) {
	c := &caller{sim: w, key: fmt.Sprintf("visit-%d", i), tier: w.rng.IntN(2), nextEntry: w.rng.IntN(len(w.daemons)), createdAt: w.now()}
	w.otherCallers = append(w.otherCallers, c)
	if w.subject == nil {
		w.subject = c
	}
	c.send()
	if w.rng.IntN(4) == 0 {
		w.after(time.Duration(w.rng.Int64N(int64(answerBound))), c.send)
	}
}
