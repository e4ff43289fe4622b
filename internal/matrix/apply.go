package matrix

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/core/state"
)

// Steps of an apply of a configuration.
const (
	stepSent              step = "sent"
	stepCommitted         step = "committed"
	stepAnswered          step = "answered"
	stepInForceOnOne      step = "in force on one"
	stepInForceEverywhere step = "in force everywhere"
)

func applySteps() []step {
	return []step{stepSent, stepCommitted, stepAnswered, stepInForceOnOne, stepInForceEverywhere}
}

const (
	// inForceBound is the target for an accepted configuration to be in force on
	// all daemons.
	inForceBound = 5 * time.Second
	// watchInterval is the interval at which a replica applies committed commands
	// and a follower checks its watch.
	watchInterval = 50 * time.Millisecond
	// watchRetryDelay is the wait before a follower watches the next replica;
	// watchIdleTimeout ends a watch that receives not even keepalives.
	watchRetryDelay  = 200 * time.Millisecond
	watchIdleTimeout = 3 * time.Second
	// quorumLossTimeout is when a replica without a quorum ends its watches: the
	// longest election timeout and two keepalives.
	quorumLossTimeout = 3300 * time.Millisecond
	// missedChangeCount is how many changes a daemon misses while it is down; it
	// is more than the log retains.
	missedChangeCount = 300
)

// configSite is the part of a simulation that distributes the configuration:
// replicas, daemons that follow them, and operators.
type configSite struct {
	sim           *simulation
	committed     []state.Command
	replicas      []*configReplica
	followers     []*follower
	operators     []*operator
	onStep        func(step)
	pendingDamage damage
}

// configReplica is the applied state of one replica. A replica in the minority
// continues its watches for a while but starts none, as that takes a read
// through the quorum.
type configReplica struct {
	process
	machine       *state.Machine
	appliedCount  int
	minorityUntil time.Duration
}

// hasEndedWatches reports whether the replica has been in the minority for
// longer than quorumLossTimeout and has ended its watches.
func (c *configReplica) hasEndedWatches(now time.Duration) bool {
	return c.minorityUntil > now && now-(c.minorityUntil-partitionDuration) > quorumLossTimeout
}

// follower is a daemon that watches a replica for configuration changes.
type follower struct {
	process
	site              *configSite
	files             config.Files
	version           uint64
	digest            string
	nextReplica       int
	watching          *configReplica
	watchedGeneration int
	// sentVersion and sentDigest identify what the replica assumes the follower
	// has.
	sentVersion uint64
	sentDigest  string
	lastHeard   time.Duration
	retryAt     time.Duration
}

// operator applies files on a base version and retries until it is answered.
type operator struct {
	name       string
	base       uint64
	files      config.Files
	result     *state.Result
	answeredAt time.Duration
}

func newConfigSite(sim *simulation) *configSite {
	s := &configSite{sim: sim, onStep: func(step) {}}
	sim.log = &replicatedLog{sim: sim, machine: state.New(), onApplied: s.commit}
	for i := range 3 {
		r := &configReplica{process: process{sim: sim, name: fmt.Sprintf("r%d", i+1), isAlive: true}, machine: state.New()}
		s.replicas = append(s.replicas, r)
		r.every(watchInterval, func() { s.catchUp(r) })
		f := &follower{process: process{sim: sim, name: fmt.Sprintf("d%d", i+1)}, site: s, nextReplica: i}
		s.followers = append(s.followers, f)
		f.start()
	}
	return s
}

// commit records a command that the log applied.
func (s *configSite) commit(c state.Command, r state.Result) {
	s.committed = append(s.committed, c)
	if c.Apply == nil || r.Status != state.OK {
		return
	}
	s.sim.recordEvent(promise.Event{Kind: promise.Accepted, Version: r.Version, Digest: r.Digest})
	s.onStep(stepCommitted)
}

// catchUp applies the committed commands that a replica lacks, unless the replica
// is in the minority.
func (s *configSite) catchUp(r *configReplica) {
	for r.minorityUntil <= s.sim.now() && r.appliedCount < len(s.committed) {
		r.machine.Apply(s.committed[r.appliedCount])
		r.appliedCount++
	}
}

// start starts the follower without any configuration, as a daemon without a
// disk starts.
func (f *follower) start() {
	f.isAlive = true
	f.files, f.version, f.digest = config.Files{}, 0, config.Files{}.Digest()
	f.watching, f.retryAt = nil, 0
	f.sim.recordEvent(promise.Event{Kind: promise.Started, Daemon: f.name})
	f.every(watchInterval, f.maintainWatch)
}

func (f *follower) crash(down time.Duration) {
	if !f.isAlive {
		return
	}
	f.sim.recordEvent(promise.Event{Kind: promise.Crashed, Daemon: f.name})
	f.terminate()
	f.sim.after(down, f.start)
}

func (f *follower) maintainWatch() {
	now := f.sim.now()
	switch {
	case f.watching == nil && now >= f.retryAt:
		f.watch()
	case f.watching == nil:
	case !f.watching.isAlive || f.watching.generation != f.watchedGeneration || now-f.lastHeard > watchIdleTimeout || f.watching.hasEndedWatches(now):
		f.endWatch()
	case f.isReachable() && f.watching.isReachable():
		f.lastHeard = now
		f.pullDelta()
	}
}

func (f *follower) endWatch() {
	f.watching = nil
	f.retryAt = f.sim.now() + watchRetryDelay
}

// watch starts a watch at the next replica, which takes a read through the
// quorum.
func (f *follower) watch() {
	r := f.site.replicas[f.nextReplica%len(f.site.replicas)]
	f.nextReplica++
	now := f.sim.now()
	if !f.isReachable() || !r.isReachable() || r.minorityUntil > now || !f.sim.log.hasLeader() {
		f.retryAt = now + watchRetryDelay
		return
	}
	f.site.catchUp(r)
	f.watching, f.watchedGeneration, f.lastHeard = r, r.generation, now
	f.sentVersion, f.sentDigest = f.version, f.digest
}

// pullDelta receives the changes that the replica has not yet sent to the
// follower.
func (f *follower) pullDelta() {
	d, ok := f.watching.machine.DeltaSince(f.sentVersion, f.sentDigest)
	if !ok {
		return
	}
	f.sentVersion, f.sentDigest = d.Version, d.Digest
	from := f.watching
	deliver := func() {
		if f.watching == from {
			f.applyDelta(d)
		}
	}
	switch consume(&f.site.pendingDamage) {
	case damageLost:
		// A lost message means a broken watch stream.
		f.endWatch()
	case damageDuplicated:
		f.runAfter(messageDelay, deliver)
		f.runAfter(2*messageDelay, deliver)
	case damageReordered:
		f.runAfter(5*watchInterval, deliver)
	default:
		f.runAfter(messageDelay, deliver)
	}
}

// applyDelta puts a delta into force in the same way as internal/view.
func (f *follower) applyDelta(d config.Delta) {
	if d.Version < f.version {
		return
	}
	files, err := d.Apply(f.files)
	if err != nil {
		f.endWatch()
		return
	}
	f.files, f.version, f.digest = files, d.Version, d.Digest
	f.sim.recordEvent(promise.Event{Kind: promise.InForce, Daemon: f.name, Version: d.Version, Digest: files.Digest()})
	f.site.onStep(stepInForceOnOne)
	if f.site.isInForceEverywhere() {
		f.site.onStep(stepInForceEverywhere)
	}
}

// isInForceEverywhere reports whether the newest version is in force on all
// daemons.
func (s *configSite) isInForceEverywhere() bool {
	number, _, _ := s.sim.log.machine.Config()
	for _, f := range s.followers {
		if !f.isAlive || f.version != number {
			return false
		}
	}
	return true
}

func configFiles(text string) config.Files {
	data, _ := json.Marshal(text)
	return config.Files{"tiers.json": data}
}

// apply adds an operator that sends its files until it is answered.
func (s *configSite) apply(name string, base uint64, files config.Files) *operator {
	o := &operator{name: name, base: base, files: files}
	s.operators = append(s.operators, o)
	s.sendApply(o)
	return o
}

func (s *configSite) sendApply(o *operator) {
	client := &process{sim: s.sim, name: o.name, isAlive: true}
	s.sim.log.proposeUntilAnswered(client, state.Command{Apply: &state.Apply{Base: o.base, Files: o.files, Operator: o.name}}, func(r state.Result) {
		if o.result == nil {
			o.result, o.answeredAt = &r, s.sim.now()
		}
		s.onStep(stepAnswered)
	})
}

// operatorFault describes the first fault in the answers to operators, or
// returns an empty string.
func (s *configSite) operatorFault() string {
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
