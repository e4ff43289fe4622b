package matrix

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/core/state"
)

// Steps of an apply.
const (
	atSent       step = "sent"
	atCommitted  step = "committed"
	atAnswered   step = "answered"
	atSpread     step = "in force on one"
	atEverywhere step = "in force everywhere"
)

func applySteps() []step {
	return []step{atSent, atCommitted, atAnswered, atSpread, atEverywhere}
}

const (
	// forceBound is the target for an accepted configuration.
	forceBound = 5 * time.Second
	watchTick  = 50 * time.Millisecond
	// watchPause is the wait before the next replica is watched, watchSilence
	// ends a watch that carries not even keepalives.
	watchPause   = 200 * time.Millisecond
	watchSilence = 3 * time.Second
	// quorumLost is when a replica that is cut off from the others ends its
	// watches: the longest election timeout and two keepalives.
	quorumLost = 3300 * time.Millisecond
	// manyChanges pass a daemon by while it is down; more than the log keeps.
	manyChanges = 300
)

// site is the configuration's side of a world: replicas, daemons that follow
// them, and operators.
type site struct {
	world     *world
	committed []state.Command
	replicas  []*copyOf
	followers []*follower
	operators []*operator
	reached   func(step)
	damage    damage
}

// copyOf is one replica's applied state. A replica in the minority serves its
// watches for a while, but begins none: that takes a read through the quorum.
type copyOf struct {
	process
	machine  *state.Machine
	applied  int
	minority time.Duration
}

// gaveUp tells whether the replica has been in the minority for so long that it
// has ended its watches.
func (c *copyOf) gaveUp(now time.Duration) bool {
	return c.minority > now && now-(c.minority-cutTime) > quorumLost
}

// follower is a daemon that watches a replica.
type follower struct {
	process
	site     *site
	files    config.Files
	version  uint64
	digest   string
	next     int
	watching *copyOf
	run0     int
	// sent is what the replica believes that the follower has.
	sentVersion uint64
	sentDigest  string
	heard       time.Duration
	resume      time.Duration
}

// operator applies a content on a base until it is answered.
type operator struct {
	name   string
	base   uint64
	files  config.Files
	result *state.Result
	at     time.Duration
}

func newSite(w *world) *site {
	s := &site{world: w, reached: func(step) {}}
	w.log = &replicated{world: w, machine: state.New(), applied: s.commit}
	for i := range 3 {
		r := &copyOf{process: process{world: w, name: fmt.Sprintf("r%d", i+1), alive: true}, machine: state.New()}
		s.replicas = append(s.replicas, r)
		r.every(watchTick, func() { s.catchUp(r) })
		f := &follower{process: process{world: w, name: fmt.Sprintf("d%d", i+1)}, site: s, next: i}
		s.followers = append(s.followers, f)
		f.start()
	}
	return s
}

// commit is told each command that the log applied.
func (s *site) commit(c state.Command, r state.Result) {
	s.committed = append(s.committed, c)
	if c.Apply == nil || r.Status != state.OK {
		return
	}
	s.world.record(promise.Event{Kind: promise.Accepted, Version: r.Version, Digest: r.Digest})
	s.reached(atCommitted)
}

func (s *site) catchUp(r *copyOf) {
	for r.minority <= s.world.now() && r.applied < len(s.committed) {
		r.machine.Apply(s.committed[r.applied])
		r.applied++
	}
}

// start begins without any configuration, as a daemon without a disk does.
func (f *follower) start() {
	f.alive = true
	f.files, f.version, f.digest = config.Files{}, 0, config.Files{}.Digest()
	f.watching, f.resume = nil, 0
	f.world.record(promise.Event{Kind: promise.Started, Daemon: f.name})
	f.every(watchTick, f.tick)
}

func (f *follower) crash(down time.Duration) {
	if !f.alive {
		return
	}
	f.world.record(promise.Event{Kind: promise.Crashed, Daemon: f.name})
	f.die()
	f.world.after(down, f.start)
}

func (f *follower) tick() {
	now := f.world.now()
	switch {
	case f.watching == nil && now >= f.resume:
		f.watch()
	case f.watching == nil:
	case !f.watching.alive || f.watching.run != f.run0 || now-f.heard > watchSilence || f.watching.gaveUp(now):
		f.drop()
	case f.reachable() && f.watching.reachable():
		f.heard = now
		f.pull()
	}
}

func (f *follower) drop() {
	f.watching = nil
	f.resume = f.world.now() + watchPause
}

// watch begins at the next replica with a read through the quorum.
func (f *follower) watch() {
	r := f.site.replicas[f.next%len(f.site.replicas)]
	f.next++
	now := f.world.now()
	if !f.reachable() || !r.reachable() || r.minority > now || !f.world.log.up() {
		f.resume = now + watchPause
		return
	}
	f.site.catchUp(r)
	f.watching, f.run0, f.heard = r, r.run, now
	f.sentVersion, f.sentDigest = f.version, f.digest
}

// pull takes what the replica has and the follower wasn't sent.
func (f *follower) pull() {
	d, ok := f.watching.machine.DeltaSince(f.sentVersion, f.sentDigest)
	if !ok {
		return
	}
	f.sentVersion, f.sentDigest = d.Version, d.Digest
	from := f.watching
	deliver := func() {
		if f.watching == from {
			f.take(d)
		}
	}
	switch take(&f.site.damage) {
	case lost:
		// The stream that lost it is broken.
		f.drop()
	case doubled:
		f.do(hop, deliver)
		f.do(2*hop, deliver)
	case reordered:
		f.do(5*watchTick, deliver)
	default:
		f.do(hop, deliver)
	}
}

// take puts a delta into force as internal/view does.
func (f *follower) take(d config.Delta) {
	if d.Version < f.version {
		return
	}
	files, err := d.Apply(f.files)
	if err != nil {
		f.drop()
		return
	}
	f.files, f.version, f.digest = files, d.Version, d.Digest
	f.world.record(promise.Event{Kind: promise.InForce, Daemon: f.name, Version: d.Version, Digest: files.Digest()})
	f.site.reached(atSpread)
	if f.site.everywhere() {
		f.site.reached(atEverywhere)
	}
}

// everywhere tells whether the newest version is in force on all daemons.
func (s *site) everywhere() bool {
	number, _, _ := s.world.log.machine.Config()
	for _, f := range s.followers {
		if !f.alive || f.version != number {
			return false
		}
	}
	return true
}

func content(text string) config.Files {
	data, _ := json.Marshal(text)
	return config.Files{"tiers.json": data}
}

// apply lets an operator apply, and resend until answered.
func (s *site) apply(name string, base uint64, files config.Files) *operator {
	o := &operator{name: name, base: base, files: files}
	s.operators = append(s.operators, o)
	s.send(o)
	return o
}

func (s *site) send(o *operator) {
	desk := &process{world: s.world, name: o.name, alive: true}
	s.world.log.insist(desk, state.Command{Apply: &state.Apply{Base: o.base, Files: o.files, Operator: o.name}}, func(r state.Result) {
		if o.result == nil {
			o.result, o.at = &r, s.world.now()
		}
		s.reached(atAnswered)
	})
}

// wrong says what is wrong with the operators' answers.
func (s *site) wrong() string {
	won := map[uint64]*operator{}
	for _, o := range s.operators {
		if o.result == nil {
			return o.name + " was not answered"
		}
		if o.result.Status != state.OK {
			continue
		}
		first, taken := won[o.base]
		if taken && (first.name != o.name || first.result.Version != o.result.Version) {
			return "two operators won on one base"
		}
		won[o.base] = o
	}
	for _, o := range s.operators {
		if o.result.Status == state.Conflict && o.result.Winner == "" {
			return "a conflict names no winner"
		}
	}
	return ""
}
