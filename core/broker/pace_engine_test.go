package broker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runColdEngines restarts some of nine engines at 8 s, which warm up for some time: cold, each
// further request of an engine adds to the times of all. It returns the simulation, whose results
// begin at the restart.
func runColdEngines(pace *Pace, restarted int, warmUp time.Duration, cold, load float64) *sim {
	const at, end = 8 * time.Second, 14 * time.Second
	s := newSim(0.68, 0.68, 0.68, 0.68, 0.68, 0.68, 0.68, 0.68, 0.68)
	list := []Upstream{}
	for _, u := range s.broker.pools[simPool].order {
		list = append(list, u.Upstream)
	}
	if pace != nil {
		s.broker.SetPace(*pace)
	}
	s.arrive(0, end, load)
	for i := range list {
		list[i].Born = 1
	}
	s.broker.SetUpstreams(list)
	s.at(at, func() {
		s.tallies = map[string]*tally{}
		for i := range restarted {
			list[i].Born = 2
		}
		s.broker.SetUpstreams(list)
	})
	for t := at; t <= at+warmUp; t += 10 * time.Millisecond {
		s.at(t, func() {
			for i := range restarted {
				e := s.engines[list[i].ID]
				left := 1 - float64(s.now-at)/float64(warmUp)
				e.slowness = 0.68 * (1 + cold*max(0, left)*float64(e.running))
			}
		})
	}
	s.run()
	return s
}

// TestPaceColdEngines guards against engines that are filled while they warm up, where each further
// request slows all others. The value includes that of requests which were offered before the
// restart and ended after it.
func TestPaceColdEngines(t *testing.T) {
	for _, c := range []struct {
		name       string
		restarted  int
		cold, load float64
		// gain is the least difference in value, as a fraction of that offered.
		gain float64
	}{
		{"a third restarted, very slow while cold", 3, 3, 1, 0.05},
		{"two thirds restarted, slow while cold", 6, 1, 1.3, 0.02},
		{"a third restarted under overload", 3, 1, 1.6, 0.01},
		{"all restarted", 9, 1, 1, 0},
		{"one restarted that is hardly slower", 1, 0.3, 1.3, 0},
	} {
		with := runColdEngines(&Pace{InitialSlots: 1, TimeFactor: 2.5}, c.restarted, 3*time.Second, c.cold, c.load).valueRatio()
		without := runColdEngines(nil, c.restarted, 3*time.Second, c.cold, c.load).valueRatio()
		t.Logf("%s: value %.3f with slow start, %.3f without", c.name, with, without)
		require.GreaterOrEqual(t, with, without+c.gain, c.name)
	}
}
