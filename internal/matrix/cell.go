package matrix

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/verbenastep/verbenastep/core/promise"
)

const (
	// warmUp is when the subject's request comes.
	warmUp = 3 * time.Second
	// limit ends a run that does not settle.
	limit = 2 * time.Minute
	// again is the time between a fault and its second coming, or the next try
	// where nothing is there to strike.
	again = 150 * time.Millisecond
)

// verdict is a cell's outcome.
type verdict struct {
	kind  kind
	fault string
	step  step
	// skipped says why the fault couldn't be brought about.
	skipped string
	// took is the time from the last fault until every caller had its end.
	took  time.Duration
	bound time.Duration
	// allowed is the bound of the row.
	allowed time.Duration
	broken  []promise.Violation
	// hung lists callers without an end.
	hung []string
	// ending is how the subject's request ended.
	ending string
}

// held tells whether the system kept its promises within the bound.
func (v verdict) held() bool {
	return v.skipped != "" || len(v.broken) == 0 && len(v.hung) == 0 && v.took <= v.bound
}

// String gives the cell of the table.
func (v verdict) String() string {
	switch {
	case v.skipped != "":
		return "– " + v.skipped
	case len(v.broken) > 0:
		return "BROKE " + string(v.broken[0].Promise)
	case len(v.hung) > 0:
		return "BROKE caller hangs"
	case v.took > v.bound:
		return fmt.Sprintf("LATE %.1f s", v.took.Seconds())
	}
	return fmt.Sprintf("%s %.1f s", v.ending, v.took.Seconds())
}

// aftermath is until when a run goes on: past the return of every daemon that
// is away.
func (w *world) aftermath() time.Duration {
	until := w.now()
	for _, d := range w.daemons {
		until = max(until, d.cut, d.paused)
	}
	return until + processBound
}

// blow is a fault at a step, times times.
type blow struct {
	fault fault
	step  step
	times int
}

// runCell runs one request of a kind under some blows.
func runCell(k kind, seed uint64, blows ...blow) verdict {
	w := newWorld(k, seed)
	w.run(warmUp, never)
	v := verdict{kind: k, fault: blows[0].fault.name, step: blows[0].step, allowed: time.Duration(blows[0].times) * blows[0].fault.bound}
	last := time.Duration(0)
	left := slices.Clone(blows)
	w.hook = func(s step, a *attempt) {
		due := []blow{}
		for _, b := range left {
			if b.step == s {
				due = append(due, b)
			}
		}
		left = slices.DeleteFunc(left, func(b blow) bool { return b.step == s })
		for _, b := range due {
			v.bound += time.Duration(b.times) * b.fault.bound
			w.strike(b, a, &last)
		}
	}
	w.subject = &caller{world: w, key: "subject", born: w.now()}
	w.subject.send()
	w.run(limit, func() bool { return w.settled() && w.now() > last })
	v.skipped = w.skipped(left)
	w.judge(&v, last)
	return v
}

// judge fills in how long the callers waited after the last fault and which
// promises broke.
func (w *world) judge(v *verdict, last time.Duration) {
	for _, c := range append(w.others, w.subject) {
		if c.at > last {
			v.took = max(v.took, c.at-max(last, c.born))
		}
		if !c.ended {
			v.hung = append(v.hung, c.key)
		}
	}
	v.ending = w.ending()
	// What happens after the callers' end must keep the promises too.
	w.run(w.aftermath(), never)
	v.broken = promise.Check(w.events, promise.Options{InFlightAtEnd: len(v.hung) > 0})
}

// skipped says why a fault could not come about.
func (w *world) skipped(left []blow) string {
	switch {
	case len(left) > 0 && left[0].step == atStream && w.kind == call:
		return "a call has no frames"
	case len(left) > 0:
		return "the step was not reached"
	case (w.taint.frame == crossed || w.taint.frame == doubled) && w.kind == call:
		return "a call has no frames"
	case w.taint.frame != none:
		return "nothing more came on the connection"
	case w.missed:
		return "nobody dispatched at that moment"
	case w.taint.message != none:
		return "no message followed"
	}
	return ""
}

// strike brings a blow about, and again a little later if the request still
// runs; last becomes the time of the last.
func (w *world) strike(b blow, a *attempt, last *time.Duration) {
	b.fault.strike(w, a)
	*last = w.now()
	if b.times > 1 {
		w.after(again, func() { w.strikeAgain(b, a, last) })
	}
}

// strikeAgain waits for a living attempt of the subject.
func (w *world) strikeAgain(b blow, a *attempt, last *time.Duration) {
	if w.subject.ended {
		return
	}
	x := w.living(a)
	if x == nil {
		w.after(again, func() { w.strikeAgain(b, a, last) })
		return
	}
	b.times--
	w.strike(b, x, last)
}

// living finds the attempt that carries the subject's request now.
func (w *world) living(a *attempt) *attempt {
	found := []*attempt{}
	for _, d := range w.daemons {
		if x, ok := d.attempts[a.key]; ok && d.reachable() && x.ended == nil && w.dispatcher() != nil {
			found = append(found, x)
		}
	}
	if len(found) == 0 {
		return nil
	}
	slices.SortFunc(found, func(a, b *attempt) int { return cmp.Compare(a.daemon.name, b.daemon.name) })
	return found[0]
}

func (w *world) ending() string {
	f := w.subject.failure
	switch {
	case !w.subject.ended:
		return "none"
	case f == nil:
		return "whole"
	}
	return string(f.Ran)
}
