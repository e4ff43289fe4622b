package matrix

import (
	"fmt"
	"time"
)

const (
	// sessionCallers and sessionFaults are the most of a random session.
	sessionCallers = 12
	sessionFaults  = 3
	// sessionSpan is the time in which requests and faults come.
	sessionSpan = 4 * time.Second
)

// runSession plays a session drawn with a seed: callers of two tiers at random
// times, some of whom send twice, and a few faults at random times. It returns
// the verdict and what was brought about. Times are not judged.
func runSession(k kind, seed uint64) (verdict, []string) {
	w := newWorld(k, seed)
	w.run(warmUp, never)
	v := verdict{kind: k, fault: fmt.Sprintf("seed %d", seed), step: "session", bound: limit}
	for i := range 2 + w.rng.IntN(sessionCallers-1) {
		w.after(w.moment(), func() { w.visit(i) })
	}
	struck := []string{}
	for range 1 + w.rng.IntN(sessionFaults) {
		all := faults()
		f := all[w.rng.IntN(len(all))]
		w.after(w.moment(), func() {
			if w.strikeRunning(f, w.daemons[w.rng.IntN(len(w.daemons))]) == "" {
				struck = append(struck, f.name)
			}
		})
	}
	end := w.now() + sessionSpan
	w.run(end+limit, func() bool { return w.now() > end && w.subject != nil && w.settled() })
	w.judge(&v, end)
	return v, struck
}

func (w *world) moment() time.Duration {
	return time.Duration(w.rng.Int64N(int64(sessionSpan)))
}

// visit brings one caller, who may lose patience and send again.
func (w *world) visit(i int) {
	c := &caller{world: w, key: fmt.Sprintf("visit-%d", i), tier: w.rng.IntN(2), entry: w.rng.IntN(len(w.daemons)), born: w.now()}
	w.others = append(w.others, c)
	if w.subject == nil {
		w.subject = c
	}
	c.send()
	if w.rng.IntN(4) == 0 {
		w.after(time.Duration(w.rng.Int64N(int64(answerTime))), c.send)
	}
}
