package matrix

import (
	"fmt"
	"time"

	"github.com/verbenastep/verbenastep/core/promise"
)

// siteFault is a row of the apply's table.
type siteFault struct {
	name  string
	bound time.Duration
	// strike brings it about; subject is the operator's apply.
	strike func(s *site, subject *operator)
}

// siteFaults lists the rows. Bounds: in force within 5 s, from the end of a cut
// or pause where a daemon could not know before.
func siteFaults() []siteFault {
	return []siteFault{
		{"log leader dies", forceBound, func(s *site, _ *operator) { s.world.log.loseLeader() }},
		{"log leader dies after a commit", forceBound, func(s *site, _ *operator) { s.world.log.swallow = true }},
		{"operators race on one base", forceBound, func(s *site, o *operator) { s.apply("rival", o.base, content("rival's")) }},
		{"operator sends again", forceBound, func(s *site, o *operator) { s.apply(o.name, o.base, o.files) }},
		{"operator applies on an old base", forceBound, func(s *site, _ *operator) { s.apply("late", 0, content("old")) }},
		{"daemon dies", forceBound, func(s *site, _ *operator) { s.followers[0].crash(restartAfter) }},
		{"daemon down over hundreds of changes", forceBound + cutTime, missedChanges},
		{"daemon cut off silently", forceBound + cutTime, func(s *site, _ *operator) { s.cutOff(s.followers[0]) }},
		{"daemon paused", forceBound + pauseTime, func(s *site, _ *operator) { s.pause(s.followers[0]) }},
		{"replica dies", forceBound, func(s *site, _ *operator) { s.replicas[0].restart() }},
		{"replica loses the quorum", forceBound, func(s *site, _ *operator) { s.replicas[0].minority = s.world.now() + cutTime }},
		{"delta lost", forceBound, func(s *site, _ *operator) { s.damage = lost }},
		{"delta doubled", forceBound, func(s *site, _ *operator) { s.damage = doubled }},
		{"delta late", forceBound, func(s *site, _ *operator) { s.damage = reordered }},
	}
}

// missedChanges takes a daemon down, applies more changes than the log keeps,
// and starts it again.
func missedChanges(s *site, _ *operator) {
	f := s.followers[0]
	f.crash(cutTime)
	for i := range manyChanges {
		s.world.after(time.Second+time.Duration(i)*watchTick, func() {
			number, _, _ := s.world.log.machine.Config()
			s.apply(fmt.Sprintf("shift-%d", i), number, content(fmt.Sprint(i)))
		})
	}
}

// cutOff parts a daemon from everyone, pause stops its process; either ends.
func (s *site) cutOff(f *follower) {
	f.cut = s.world.now() + cutTime
	s.unreachable(f, cutTime)
}

func (s *site) pause(f *follower) {
	f.paused = s.world.now() + pauseTime
	s.unreachable(f, pauseTime)
}

func (s *site) unreachable(f *follower, d time.Duration) {
	s.world.record(promise.Event{Kind: promise.Partitioned, Daemon: f.name})
	s.world.after(d, func() { s.world.record(promise.Event{Kind: promise.Healed, Daemon: f.name}) })
}

// restart is a crash of a replica, whose disk keeps what it applied.
func (r *copyOf) restart() {
	r.die()
	r.world.after(restartAfter, func() { r.alive = true })
}

// runApply applies one change and brings a fault about at a step of it, once or
// twice.
func runApply(f siteFault, at step, times int) verdict {
	w := &world{kind: "apply"}
	w.began = time.Now()
	s := newSite(w)
	first := s.apply("first", 0, content("first"))
	w.run(warmUp, func() bool { return first.result != nil && s.everywhere() })
	v := verdict{kind: w.kind, fault: f.name, step: at, bound: time.Duration(times) * f.bound, skipped: "the step was not reached"}
	v.allowed = v.bound
	subject := (*operator)(nil)
	last := time.Duration(0)
	strike := func() {
		f.strike(s, subject)
		last = w.now()
	}
	s.reached = func(x step) {
		if x != at || v.skipped == "" {
			return
		}
		v.skipped = ""
		strike()
		for i := 1; i < times; i++ {
			w.after(time.Duration(i)*again, strike)
		}
	}
	subject = &operator{name: "second", base: 1, files: content("second")}
	s.operators = append(s.operators, subject)
	s.send(subject)
	w.after(hop/2, func() { s.reached(atSent) })
	done := time.Duration(0)
	w.run(w.now()+limit, func() bool {
		if !s.quiet() {
			done = 0
		} else if done == 0 {
			done = w.now()
		}
		return done > 0 && w.now() > max(done, last)+cutTime+forceBound
	})
	v.took = max(0, done-last)
	v.ending = "held"
	if done == 0 {
		v.hung = []string{"a daemon"}
	}
	if s.damage != none {
		v.skipped = "no delta followed"
	}
	if wrong := s.wrong(); wrong != "" {
		v.hung = append(v.hung, wrong)
	}
	v.broken = promise.Check(w.events, promise.Options{})
	return v
}

// quiet tells whether all operators are answered and all daemons up to date.
func (s *site) quiet() bool {
	for _, o := range s.operators {
		if o.result == nil {
			return false
		}
	}
	return s.everywhere()
}
