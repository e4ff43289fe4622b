package rollout

import (
	"math"
	"time"
)

const (
	// An upstream of the target is cold until it gave coldAnswers and coldTime has passed
	// since its first one; requests that began before are not judged. A cold upstream
	// answers later requests first, so answers alone can't be counted.
	coldAnswers = 8
	coldTime    = 500 * time.Millisecond
	// settledAnswers is after how many answers an upstream's expected times have forgotten
	// slow first answers: a broker's moving average gives them a tenth of the weight then.
	settledAnswers = coldAnswers + 10
	// typicalWeight is the least weight of a new answer in the moving average of a route,
	// and offsetWeight that in the moving averages of an upstream.
	typicalWeight = 0.02
	offsetWeight  = 1.0 / 16
	// expectationWeight is the weight of a new answer in what is expected of an upstream.
	expectationWeight = 0.35
	// maxRelativeVariance is the variance of relative times, as a fraction of that of
	// absolute ones, up to which they tell more than these.
	maxRelativeVariance = 0.4
	// minSpread is the number of old answers from which on their spread is known.
	minSpread = 30

	// minSlowdown is the least factor between the versions, and slowdownDeviations the
	// number of standard deviations of it, at which the target as a whole is slow. Single
	// upstreams differ by a factor of up to 4.4, so few slow ones show nothing.
	minSlowdown        = 2.0
	slowdownDeviations = 4.5
	// minDeviation is the least standard deviation, of logarithms, among upstreams.
	minDeviation = 0.3
	// minUpstreams is how many upstreams of each version are compared at least, and
	// minOffsetAnswers how many answers of each.
	minUpstreams     = 3
	minOffsetAnswers = 5
	// slowIntervals is in how many intervals in turn the target must be slow.
	slowIntervals = 3
)

// mean is a moving average.
type mean struct {
	value float64
	count int
}

func (m *mean) add(x, minWeight float64) {
	m.count++
	m.value += math.Max(minWeight, 1/float64(m.count)) * (x - m.value)
}

// measure is a way to compare the times of an upstream's answers, as logarithms.
type measure int

const (
	// absolute times suit requests of about the same size.
	absolute measure = iota
	// relative times are divided by the expected time, so that the size of the request
	// drops out, and multiplied by what was lately expected of the upstream. Without the
	// latter, answers would seem to slow down while the expectation recovers from slow
	// first answers or from a disturbance.
	relative
	measures
)

// upstreamSpeed is what is known of an upstream's times, as logarithms.
type upstreamSpeed struct {
	target  bool
	first   time.Duration
	answers int
	// warmAt is when the times by a measure are known to be usual; zero before.
	warmAt  [measures]time.Duration
	windows [measures]timeWindow
	// expectation is the expected time, relative to that of the old version's upstreams.
	expectation mean
	// offsets are the times relative to the old version on the same routes.
	offsets [measures]mean
}

// isCold reports whether a request that began at the given time may have been slow, or its
// expected time too long, because the upstream had just started.
func (u *upstreamSpeed) isCold(now, began time.Duration, m measure) bool {
	needed := [measures]int{absolute: coldAnswers, relative: settledAnswers}[m]
	if u.warmAt[m] == 0 && u.answers >= needed && now >= u.first+coldTime {
		u.warmAt[m] = now
	}
	return u.warmAt[m] == 0 || began < u.warmAt[m]
}

// routeTimes are the typical times of the old version on a route, as logarithms.
type routeTimes struct {
	expected mean
	typical  [measures]mean
}

// speeds judges which answers are slow, and whether the target is slow as a whole.
type speeds struct {
	upstreams map[string]*upstreamSpeed
	routes    map[uint64]*routeTimes
	// knownSlow is set if an earlier leader suspected the target of slow answers. The first
	// answers that this leader sees are then judged too.
	knownSlow bool
	// within is the mean square of the old answers' distances from the mean of their
	// upstream, and distances that from what is typical of the route, for absolute times.
	within    [measures]mean
	distances mean
	// slowFor counts the intervals in turn in which the target was slow.
	slowFor int
}

func newSpeeds() speeds {
	return speeds{upstreams: map[string]*upstreamSpeed{}, routes: map[uint64]*routeTimes{}}
}

// isKnown reports whether times of the old version are known.
func (s *speeds) isKnown() bool { return len(s.routes) > 0 }

func (s *speeds) upstream(now time.Duration, x Answer) *upstreamSpeed {
	u := s.upstreams[x.Upstream]
	if u == nil || u.target != x.Target {
		u = &upstreamSpeed{target: x.Target, first: now}
		s.upstreams[x.Upstream] = u
	}
	u.answers++
	return u
}

// isCold reports whether a request may have been slow because its upstream had just started.
func (s *speeds) isCold(now time.Duration, x Answer) bool {
	u := s.upstreams[x.Upstream]
	return u == nil || u.target != x.Target || u.isCold(now, now-x.Time, absolute)
}

func (s *speeds) route(x Answer) *routeTimes {
	r := s.routes[x.Route]
	if r == nil {
		r = &routeTimes{}
		if !x.Target {
			s.routes[x.Route] = r
		}
	}
	return r
}

// learn adds an answer and returns the answers that are judged by it, by each measure: the
// upstream's first ones together, then each one.
func (s *speeds) learn(now time.Duration, x Answer) [measures]tally {
	u, r := s.upstream(now, x), s.route(x)
	times := u.measure(x, r)
	out := [measures]tally{}
	for m := range measures {
		if x.Target && !s.knownSlow && u.isCold(now, now-x.Time, m) {
			continue
		}
		if !x.Target {
			r.typical[m].add(times[m], typicalWeight)
		}
		if r.typical[m].count >= minHistory {
			out[m] = s.compare(u, m, times[m]-r.typical[m].value)
		}
	}
	if s.within[relative].value > maxRelativeVariance*s.within[absolute].value {
		out[relative] = tally{}
	}
	return out
}

// measure returns the time of an answer by each measure.
func (u *upstreamSpeed) measure(x Answer, r *routeTimes) [measures]float64 {
	t := math.Log(x.Time.Seconds())
	if x.Expected <= 0 {
		return [measures]float64{t, t}
	}
	e := math.Log(x.Expected.Seconds())
	if !x.Target {
		r.expected.add(e, typicalWeight)
	}
	expectation := e - r.expected.value
	if u.expectation.count == 0 {
		u.expectation.add(expectation, 1)
	}
	out := [measures]float64{t, t - e + u.expectation.value}
	u.expectation.add(expectation, expectationWeight)
	return out
}

// compare adds a time, relative to what is typical of the route, and returns the answers that
// are judged by it.
func (s *speeds) compare(u *upstreamSpeed, m measure, t float64) tally {
	if !u.target && u.offsets[m].count > 0 {
		s.within[m].add(math.Pow(t-u.offsets[m].value, 2), typicalWeight)
	}
	if !u.target && m == absolute {
		s.distances.add(t*t, typicalWeight)
	}
	u.offsets[m].add(t, offsetWeight)
	if s.within[m].count < minSpread {
		return tally{}
	}
	return u.windows[m].judge(t, math.Sqrt(s.within[m].value))
}

// judge reports whether the target's upstreams are slower than those of the old version, and
// by which factor. It is called once per interval.
func (s *speeds) judge() (factor float64, slower bool) {
	target, old, answers := []float64{}, []float64{}, 0.0
	for _, u := range s.upstreams {
		o := u.offsets[absolute]
		switch {
		case o.count < minOffsetAnswers:
		case u.target:
			target = append(target, o.value)
			answers += math.Min(float64(o.count), 2/offsetWeight)
		default:
			old = append(old, o.value)
		}
	}
	if len(target) < minUpstreams || len(old) < minUpstreams {
		s.slowFor = 0
		return 1, false
	}
	difference := average(target) - average(old)
	between := math.Pow(math.Max(minDeviation, deviation(old)), 2) * (1/float64(len(target)) + 1/float64(len(old)))
	spread := math.Sqrt(between + s.distances.value/answers)
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
