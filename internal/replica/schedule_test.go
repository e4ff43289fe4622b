package replica

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/consensus"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/port"
)

const (
	schedules   = 1000
	shards      = 8
	workspace   = "workspace"
	leaseName   = "lease"
	faultsEnd   = 7 * time.Second
	scheduleEnd = 12 * time.Second
)

// lastEntries is how long the last entries may take to reach all replicas.
const lastEntries = time.Second

// gcPercent lets garbage grow: the schedules keep little and allocate much.
const gcPercent = 800

func TestMain(m *testing.M) {
	debug.SetGCPercent(gcPercent)
	os.Exit(m.Run())
}

// ask sends a command to a random replica until it is answered.
func (w *world) ask(c state.Command, tries int, answered func(state.Result)) {
	data, err := json.Marshal(c)
	if err != nil {
		w.check.fail("%v", err)
		return
	}
	p := &proposal{command: c, data: data, done: make(chan outcome, 1)}
	to := w.sites[w.random.IntN(len(w.sites))]
	if l := w.leader(); l != nil && w.chance(0.7) {
		to = l
	}
	w.after(w.between(0, 5*time.Millisecond), func() {
		to.handle(func(e *engine) { e.take(p) })
		deadline := w.now + time.Second
		w.waiting = append(w.waiting, func() bool {
			select {
			case out := <-p.done:
				w.after(w.between(0, 5*time.Millisecond), func() { w.answer(c, tries, out, answered) })
				return true
			default:
			}
			if w.now >= deadline {
				w.answer(c, tries, outcome{refused: true}, answered)
			}
			return w.now >= deadline
		})
	})
}

func (w *world) answer(c state.Command, tries int, out outcome, answered func(state.Result)) {
	switch {
	case !out.refused && out.err == nil:
		answered(out.result)
	case tries > 1 && !w.quiet:
		w.ask(c, tries-1, answered)
	}
}

func (w *world) claims() {
	if w.quiet {
		return
	}
	key := fmt.Sprintf("key-%d", w.random.IntN(60))
	stream := fmt.Sprintf("stream-%d", w.random.Uint64())
	c := &state.Claim{Workspace: workspace, Key: key, Digest: "digest", Stream: stream, AtMS: epoch.Add(w.now).UnixMilli()}
	w.ask(state.Command{Claim: c}, 6, func(r state.Result) {
		if r.Status == state.OK || r.Status == state.Exists {
			w.check.claimed(key, r.Claim.Stream)
		}
	})
	w.after(w.between(10*time.Millisecond, 120*time.Millisecond), w.claims)
}

func (w *world) applies() {
	if w.quiet {
		return
	}
	files := config.Files{"a.json": json.RawMessage(fmt.Sprintf(`{"n":%d}`, w.random.Uint64()))}
	a := &state.Apply{Base: w.check.version, Files: files, Operator: "operator"}
	first := uint64(0)
	answered := func(r state.Result) {
		if r.Status != state.OK {
			return
		}
		if first != 0 && r.Version != first {
			w.check.fail("a resent change became version %d after %d", r.Version, first)
		}
		first = r.Version
		w.check.accepted(r.Version, r.Digest)
	}
	for range 1 + w.random.IntN(2) {
		w.ask(state.Command{Apply: a}, 6, answered)
	}
	w.after(w.between(100*time.Millisecond, 600*time.Millisecond), w.applies)
}

// reads checks that a read on any replica sees what was acknowledged before.
func (w *world) reads() {
	s := w.sites[w.random.IntN(len(w.sites))]
	before := w.check.acknowledged()
	done := make(chan struct{})
	life := s.life
	s.handle(func(e *engine) { e.read(done) })
	deadline := w.now + 2*time.Second
	w.waiting = append(w.waiting, func() bool {
		if s.life != life || s.engine == nil {
			return true
		}
		select {
		case <-done:
			w.check.sees("a read on "+s.name(), s.engine.machine, before)
			return true
		default:
			return w.now > deadline
		}
	})
	w.after(w.between(50*time.Millisecond, 200*time.Millisecond), w.reads)
}

// holder renews the lease by a clock of its own, and is silent at times.
func (w *world) holder(name string, rate float64) {
	if w.quiet {
		return
	}
	sent := w.now
	holds := time.Duration(float64(port.LeaseTTL) / rate)
	w.ask(state.Command{Acquire: &state.Acquire{Name: leaseName, Holder: name}}, 1, func(r state.Result) {
		if r.Status == state.OK {
			w.check.granted(w.now, name, r.Lease.Epoch, sent+holds)
		}
	})
	pause := w.between(200*time.Millisecond, 500*time.Millisecond)
	if w.chance(0.05) {
		pause = w.between(time.Second, 4*time.Second)
	}
	w.after(pause, func() { w.holder(name, rate) })
}

// faults brings about one fault after the other.
func (w *world) faults() {
	if w.quiet {
		return
	}
	s := w.sites[w.random.IntN(len(w.sites))]
	if l := w.leader(); l != nil && w.chance(0.4) {
		s = l
	}
	switch w.random.IntN(6) {
	case 0:
		if s.engine != nil {
			s.crash()
		}
	case 1, 2:
		s.disk.crashIn = 1 + w.random.IntN(12)
	case 3:
		w.partition()
	case 4:
		s.handle(func(e *engine) { e.transfer() })
	case 5:
		w.loseDisk(s)
	}
	w.after(w.between(50*time.Millisecond, time.Second), w.faults)
}

// partition cuts one replica off, one way or both, for a while.
func (w *world) partition() {
	one := w.random.IntN(len(w.sites))
	ways := 1 + w.random.IntN(3)
	for i := range w.sites {
		if i != one {
			w.cut[[2]int{one, i}] = ways&1 != 0
			w.cut[[2]int{i, one}] = ways&2 != 0
		}
	}
	w.after(w.between(100*time.Millisecond, 3*time.Second), func() { clear(w.cut) })
}

// loseDisk empties one replica's disk once the repair before has ended: all
// replicas vote, by the leader's committed membership.
func (w *world) loseDisk(s *site) {
	l := w.leader()
	if l == nil || l.engine.node.Status().CommitIndex < l.engine.node.Status().LastIndex {
		return
	}
	members := l.engine.node.Status().Members
	known := false
	for _, m := range members {
		if m.Learner {
			return
		}
		known = known || m.ID == s.id
	}
	if len(members) != len(w.sites) || !known || w.diskless() {
		return
	}
	w.lost++
	s.wipe()
}

// diskless tells whether some replica's present disk does not vote: a majority
// of disks must outlive every moment.
func (w *world) diskless() bool {
	l := w.leader()
	members := map[consensus.ID]bool{}
	for _, m := range l.engine.node.Status().Members {
		members[m.ID] = true
	}
	for _, s := range w.sites {
		if s.emptied || !members[s.id] {
			return true
		}
	}
	return false
}

// level tells whether all replicas have applied the leader's whole log.
func (w *world) level() bool {
	l := w.leader()
	for _, s := range w.sites {
		if l == nil || s.engine == nil || s.group.applied < l.engine.node.Status().LastIndex {
			return false
		}
	}
	return true
}

// play runs one schedule and returns the world at its end.
func play(seed uint64, d defect) *world {
	size := 3
	if seed%5 == 0 {
		size = 5
	}
	w := newWorld(seed, size, d)
	w.after(time.Second, w.claims)
	w.after(time.Second, w.applies)
	w.after(time.Second, w.reads)
	w.after(2*time.Second, w.faults)
	for i := range 3 {
		rate := 1 + drift*(2*w.random.Float64()-1)
		w.after(time.Second, func() { w.holder(fmt.Sprintf("holder-%d", i), rate) })
	}
	w.run(faultsEnd)
	w.quiet = true
	clear(w.cut)
	for _, s := range w.sites {
		s.disk.crashIn = 0
	}
	w.run(scheduleEnd)
	for end := scheduleEnd + lastEntries; w.now < end && !w.level(); {
		w.run(w.now + tick)
	}
	w.check.final(w)
	return w
}

// TestSchedules plays seeded schedules of crash, torn write, lost disk,
// partition, delay, loss, repetition and leadership transfer.
func TestSchedules(t *testing.T) {
	mu := sync.Mutex{}
	acks, grants, lost := 0, 0, 0
	t.Run("shards", func(t *testing.T) {
		for shard := range shards {
			t.Run(fmt.Sprint(shard), func(t *testing.T) {
				t.Parallel()
				for seed := uint64(shard); seed < schedules; seed += shards {
					w := play(seed, defect{})
					require.Empty(t, w.check.violation, "seed %d at %v", seed, w.now)
					mu.Lock()
					acks += w.check.acks
					grants += w.check.grants
					lost += w.lost
					mu.Unlock()
				}
			})
		}
	})
	t.Logf("%d schedules: %d acknowledged writes, %d lease grants, %d lost disks", schedules, acks, grants, lost)
	require.Greater(t, acks, schedules*10)
	require.Greater(t, grants, schedules)
	require.Greater(t, lost, schedules/10)
}

// TestSchedulesFindDefects shows that the checks see what they are for.
func TestSchedulesFindDefects(t *testing.T) {
	cases := map[string]struct {
		defect defect
		// from is the first seed to try, shows a part of the violation that the
		// defect leads to.
		from  uint64
		shows string
	}{
		"sync does not sync":             {defect: defect{lyingSync: true}, from: 1300, shows: "committed with terms"},
		"emptied replica keeps its vote": {defect: defect{keepsID: true}, shows: "committed with terms"},
		"clocks drift beyond the bound":  {defect: defect{wildClocks: true}, from: 100, shows: "lease held by"},
		"lease ends before its holder":   {defect: defect{earlyLapse: true}, shows: "lease held by"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := c.from; seed < c.from+300; seed++ {
				if w := play(seed, c.defect); strings.Contains(w.check.violation, c.shows) {
					t.Logf("seed %d: %s", seed, w.check.violation)
					return
				}
			}
			require.Fail(t, "no schedule showed the defect")
		})
	}
}
