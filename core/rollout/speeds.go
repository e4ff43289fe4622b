package rollout

import (
	"math"
	"slices"
	"time"
)

const (
	// slowFactor is how many times longer than the upstream's good answers a slow one takes.
	slowFactor = 2.5
	// goodQuantile is the quantile of an upstream's times that stands for its good answers;
	// it holds for versions that are slow on less than two thirds.
	goodQuantile = 0.3
	// coldAnswers and coldTime are how many first answers of an upstream of the target, and
	// of which time, are not judged.
	coldAnswers = 8
	coldTime    = 1500 * time.Millisecond
	// window is how many of an upstream's latest times are kept, minWindow how many of them
	// tell which answers are slow.
	window    = 24
	minWindow = 8
	// updateInterval is after how many answers the quantile is taken anew.
	updateInterval = 4
	// typicalWeight is the least weight of a new answer in the moving average of a route.
	typicalWeight = 0.02
	// offsetWeight is the weight of a new answer in the moving average of an upstream.
	offsetWeight = 1.0 / 16

	// minSlowdown is the least factor between the versions, and slowdownDeviations the
	// number of standard deviations of it, at which the target as a whole is slow. Single
	// upstreams differ by a factor of up to 4.4, so two slow ones show nothing.
	minSlowdown        = 2.0
	slowdownDeviations = 4
	// minDeviation is the least standard deviation, of logarithms, among upstreams.
	minDeviation = 0.3
	// minUpstreams is how many upstreams of each version are compared at least, and
	// minOffsetAnswers how many answers of each.
	minUpstreams     = 2
	minOffsetAnswers = 10
	// slowIntervals is in how many intervals in turn the target must be slow.
	slowIntervals = 3
)

// mean is a moving average of logarithms.
type mean struct {
	value float64
	count int
}

func (m *mean) add(x, minWeight float64) {
	m.count++
	m.value += math.Max(minWeight, 1/float64(m.count)) * (x - m.value)
}

// upstreamSpeed is what is known of an upstream's times, as logarithms.
type upstreamSpeed struct {
	target  bool
	first   time.Duration
	answers int
	// times are the latest times relative to what is typical of the route.
	times  []float64
	sorted []float64
	next   int
	// good is the goodQuantile of times; it is updated once per updateInterval answers.
	good float64
	// offset is the time relative to the old version on the same routes, apart from what
	// is expected of the upstream.
	offset mean
}

// speeds judges which answers are slow, and whether the target is slow as a whole.
type speeds struct {
	upstreams map[string]*upstreamSpeed
	// relative and absolute are the typical times of the old version per route: as a
	// multiple of the expected time, and in seconds.
	relative map[uint64]*mean
	absolute map[uint64]*mean
	// slowFor counts the intervals in turn in which the target was slow.
	slowFor int
}

func newSpeeds() speeds {
	return speeds{upstreams: map[string]*upstreamSpeed{}, relative: map[uint64]*mean{}, absolute: map[uint64]*mean{}}
}

// learn adds an answer and reports whether it is slow, and whether that is known.
func (s *speeds) learn(now time.Duration, x Answer) (slow, known bool) {
	u := s.upstreams[x.Upstream]
	if u == nil || u.target != x.Target {
		u = &upstreamSpeed{target: x.Target, first: now}
		s.upstreams[x.Upstream] = u
	}
	u.answers++
	if x.Target && (u.answers <= coldAnswers || now < u.first+coldTime) {
		return false, false
	}
	absolute := math.Log(x.Time.Seconds())
	relative := absolute
	if x.Expected > 0 {
		relative -= math.Log(x.Expected.Seconds())
	}
	if !x.Target {
		s.typical(s.relative, x.Route).add(relative, typicalWeight)
		s.typical(s.absolute, x.Route).add(absolute, typicalWeight)
	}
	usual := s.typical(s.absolute, x.Route)
	if usual.count < minHistory {
		return false, false
	}
	u.offset.add(absolute-usual.value, offsetWeight)
	return u.judge(relative - s.typical(s.relative, x.Route).value)
}

func (s *speeds) typical(times map[uint64]*mean, route uint64) *mean {
	m := times[route]
	if m == nil {
		m = &mean{}
		times[route] = m
	}
	return m
}

// judge reports whether a time is slow for the upstream, and whether that is known, and
// adds it.
func (u *upstreamSpeed) judge(t float64) (slow, known bool) {
	known = len(u.times) >= minWindow
	slow = known && t > u.good+math.Log(slowFactor)
	if len(u.times) < window {
		u.times = append(u.times, t)
	} else {
		u.times[u.next%window] = t
	}
	u.next++
	if len(u.times) <= minWindow || u.next%updateInterval == 0 {
		u.sorted = append(u.sorted[:0], u.times...)
		slices.Sort(u.sorted)
		u.good = u.sorted[int(goodQuantile*float64(len(u.sorted)))]
	}
	return slow, known
}

// judge reports whether the target's upstreams are slower than those of the old version, and
// by which factor. It is called once per interval.
func (s *speeds) judge() (factor float64, slower bool) {
	target, old := []float64{}, []float64{}
	for _, u := range s.upstreams {
		switch {
		case u.offset.count < minOffsetAnswers:
		case u.target:
			target = append(target, u.offset.value)
		default:
			old = append(old, u.offset.value)
		}
	}
	if len(target) < minUpstreams || len(old) < minUpstreams {
		s.slowFor = 0
		return 1, false
	}
	difference := average(target) - average(old)
	spread := math.Max(minDeviation, deviation(old)) * math.Sqrt(1/float64(len(target))+1/float64(len(old)))
	if difference < math.Max(math.Log(minSlowdown), slowdownDeviations*spread) {
		s.slowFor = 0
		return math.Exp(difference), false
	}
	s.slowFor++
	return math.Exp(difference), s.slowFor >= slowIntervals
}

func average(list []float64) float64 {
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum / float64(len(list))
}

func deviation(list []float64) float64 {
	m, sum := average(list), 0.0
	for _, x := range list {
		sum += (x - m) * (x - m)
	}
	return math.Sqrt(sum / math.Max(1, float64(len(list)-1)))
}
