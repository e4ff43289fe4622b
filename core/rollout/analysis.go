package rollout

import (
	"fmt"
	"math"
	"time"
)

// The analysis compares the answers of the target with those of the old version on the same
// routes in the same seconds, for failures and for slow answers. It sums, over intervals,
// the logarithm of the likelihood ratio between two hypotheses: the target is as bad as the
// old version, or badExcess of its good answers are bad too. The sum restarts at zero, so
// that a version that turns bad later is found as fast.
const (
	// badExcess is the fraction of bad answers from which on a version is to be found.
	badExcess = 0.2
	// verdictEvidence is the sum at which the target is judged bad. A good version reaches
	// it about once in e^15 = 3,000,000 answers; one with badExcess reaches it after about
	// 15 bad answers, or 45 where 14 in 100 answers of the old version fail.
	verdictEvidence = 15
	// suspicionEvidence is the sum from which on the target's part of the traffic does not
	// grow.
	suspicionEvidence = 6
	// minFailures and minSlowness are the least fractions of bad answers that are expected
	// of the target, so that single faults at a sound old version weigh little.
	minFailures = 0.03
	minSlowness = 0.05
	// maxExpected is the fraction of bad answers of the old version from which on nothing
	// is concluded from those of the target.
	maxExpected = 0.5

	// maxInterval is the length of the intervals in which answers are compared.
	maxInterval = 500 * time.Millisecond
	// historyDecay is the weight of the past per interval; a rate is that of about 25 s.
	historyDecay = 0.98
	// minHistory is the number of old answers of a route from which on its target answers
	// are judged.
	minHistory = 10
	// minOldAnswers is the number of old answers around an interval below which nothing is
	// concluded from it.
	minOldAnswers = 3
	// maxRoutes bounds the routes that are told apart.
	maxRoutes = 256

	// maxRunFailures is how many failures in turn at one upstream count at once, and
	// runInterval the time for one more: a crash ends everything that an upstream runs, and
	// says as much about the version as one failure.
	maxRunFailures = 2
	runInterval    = 400 * time.Millisecond
)

// kind of a bad answer.
type kind int

const (
	failure kind = iota
	slowness
	kinds
)

// floor returns the least fraction of bad answers that is expected of the target.
func (k kind) floor() float64 {
	if k == failure {
		return minFailures
	}
	return minSlowness
}

// String returns what bad answers of the kind do, for reasons.
func (k kind) String() string {
	if k == failure {
		return "failed"
	}
	return "were slow"
}

// tally counts answers.
type tally struct{ answers, bad float64 }

func (t *tally) add(bad bool) {
	t.answers++
	if bad {
		t.bad++
	}
}

func (t *tally) addAll(o tally) {
	t.answers += o.answers
	t.bad += o.bad
}

func (t tally) rate() float64 { return t.bad / math.Max(1, t.answers) }

// exceeds reports whether the tally has significantly more bad answers than expected.
func (t tally) exceeds(expected, variance float64) bool {
	return t.bad-expected > 3*math.Sqrt(variance)+1.5
}

// cell holds the answers of one route in one interval.
type cell struct{ old, target [kinds]tally }

// interval holds the answers that arrived within one interval of time.
type interval map[uint64]*cell

func (i interval) cell(route uint64) *cell {
	c := i[route]
	if c == nil {
		c = &cell{}
		i[route] = c
	}
	return c
}

// routeState is what is known of a route over all intervals.
type routeState struct {
	history [kinds]tally
	sum     [kinds]evidence
}

// evidence is a sum of logarithms of likelihood ratios, with the answers since it was zero.
type evidence struct {
	sum      float64
	seen     tally
	expected float64
}

func (e *evidence) add(ratio float64, t tally, expected float64) {
	e.sum += ratio
	e.seen.addAll(t)
	e.expected += expected * t.answers
	if e.sum <= 0 {
		*e = evidence{}
	}
}

// analysis judges the target. It knows nothing of earlier leaders' answers.
type analysis struct {
	length time.Duration
	// current is the number of the interval that is being filled; recent holds it and the
	// ones before it, the latest last.
	current int64
	started bool
	recent  [3]interval
	routes  map[uint64]*routeState
	all     [kinds]evidence
	speeds  speeds
	runs    map[string]*failureRun
	// verdict is why the target is bad; empty while it is not known to be.
	verdict string
}

// failureRun is the number of failures of an upstream since its last good answer.
type failureRun struct {
	failures int
	counted  time.Duration
}

func newAnalysis(p Params) *analysis {
	a := &analysis{length: maxInterval, routes: map[uint64]*routeState{}, runs: map[string]*failureRun{}, speeds: newSpeeds()}
	if p.RollbackTimeout > 0 {
		a.length = min(maxInterval, p.RollbackTimeout/8)
	}
	for i := range a.recent {
		a.recent[i] = interval{}
	}
	return a
}

// route returns the key under which a route is judged.
func (a *analysis) route(r uint64) uint64 {
	if _, known := a.routes[r]; known {
		return r
	}
	if len(a.routes) >= maxRoutes {
		r = 0
	}
	if a.routes[r] == nil {
		a.routes[r] = &routeState{}
	}
	return r
}

// learn counts an answer.
func (a *analysis) learn(now time.Duration, x Answer) {
	a.advance(now)
	route := a.route(x.Route)
	x.Route = route
	c := a.recent[len(a.recent)-1].cell(route)
	side := &c.old
	if x.Target {
		side = &c.target
	}
	if !x.Target || a.isCounted(now, x) {
		side[failure].add(x.Failed)
	}
	if x.Failed || x.Time <= 0 {
		return
	}
	if slow, known := a.speeds.learn(now, x); known {
		side[slowness].add(slow)
	}
}

// isCounted reports whether an answer of the target counts. Of failures in turn at one
// upstream only some do.
func (a *analysis) isCounted(now time.Duration, x Answer) bool {
	r := a.runs[x.Upstream]
	if r == nil {
		r = &failureRun{}
		a.runs[x.Upstream] = r
	}
	if !x.Failed {
		r.failures = 0
		return true
	}
	r.failures++
	if r.failures > maxRunFailures && now < r.counted+runInterval {
		return false
	}
	r.counted = now
	return true
}

// advance judges the intervals that are complete at the given time. The interval after a
// judged one is complete too, since failures of both versions need not arrive together.
func (a *analysis) advance(now time.Duration) {
	number := int64(now / a.length)
	if !a.started {
		a.current, a.started = number, true
	}
	if number > a.current+int64(len(a.recent)) {
		a.current = number - int64(len(a.recent))
	}
	for a.current < number {
		a.judge()
		a.current++
		copy(a.recent[:], a.recent[1:])
		a.recent[len(a.recent)-1] = interval{}
	}
}

// judge judges the last interval but one.
func (a *analysis) judge() {
	around := a.recent[:]
	for k := range kinds {
		disturbed := a.disturbance(k, around)
		total, ratio, expected := tally{}, 0.0, 0.0
		for route, c := range around[1] {
			t := c.target[k]
			p, known := a.expect(k, route, around, disturbed)
			if !known || t.answers == 0 {
				continue
			}
			l := likelihoodRatio(t, p)
			state := a.routes[route]
			state.sum[k].add(l, t, p)
			a.check(&state.sum[k], k, fmt.Sprintf("on route %x", route))
			total.addAll(t)
			ratio += l
			expected += p * t.answers
		}
		if total.answers > 0 {
			a.all[k].add(ratio, total, expected/total.answers)
			a.check(&a.all[k], k, "over all routes")
		}
		a.remember(k, around[1], disturbed)
	}
	a.checkSpeeds()
}

// check sets the verdict if the evidence suffices.
func (a *analysis) check(e *evidence, k kind, where string) {
	if e.sum >= verdictEvidence && a.verdict == "" {
		a.verdict = fmt.Sprintf("%.0f of %.0f answers of the target %s %s, %.1f were expected from the old version", e.seen.bad, e.seen.answers, k, where, e.expected)
	}
}

// checkSpeeds sets the verdict if the target as a whole is slower than the old version.
func (a *analysis) checkSpeeds() {
	if factor, slower := a.speeds.judge(); slower && a.verdict == "" {
		a.verdict = fmt.Sprintf("upstreams of the target took %.1f times as long as those of the old version", factor)
	}
}

// suspicion returns the highest evidence against the target.
func (a *analysis) suspicion() float64 {
	most := 0.0
	for k := range kinds {
		most = math.Max(most, a.all[k].sum)
		for _, r := range a.routes {
			most = math.Max(most, r.sum[k].sum)
		}
	}
	return most
}

// likelihoodRatio returns the logarithm of how much likelier the answers are if badExcess of
// the good ones are bad, where the fraction p is expected to be.
func likelihoodRatio(t tally, p float64) float64 {
	bad := p + badExcess*(1-p)
	return t.bad*math.Log(bad/p) + (t.answers-t.bad)*math.Log((1-bad)/(1-p))
}

// disturbance returns the highest fraction of bad old answers in an interval in which they
// are significantly more than usual, over all routes; zero if there is none.
func (a *analysis) disturbance(k kind, around []interval) float64 {
	worst := 0.0
	for _, i := range around {
		total, expected, variance := tally{}, 0.0, 0.0
		for route, c := range i {
			p := a.usual(k, route)
			total.addAll(c.old[k])
			expected += c.old[k].answers * p
			variance += c.old[k].answers * p * (1 - p)
		}
		if total.exceeds(expected, variance) {
			worst = math.Max(worst, total.rate())
		}
	}
	return worst
}

// usual returns the fraction of bad answers of the old version on a route.
func (a *analysis) usual(k kind, route uint64) float64 {
	return math.Max(k.floor(), a.routes[route].history[k].rate())
}

// expect returns the fraction of bad answers that is expected of the target on a route, and
// false if the old version gives nothing to compare with.
func (a *analysis) expect(k kind, route uint64, around []interval, disturbed float64) (float64, bool) {
	h := a.routes[route].history[k]
	oldAnswers := 0.0
	for _, i := range around {
		for _, c := range i {
			oldAnswers += c.old[k].answers
		}
	}
	if h.answers < minHistory || oldAnswers < minOldAnswers {
		return 0, false
	}
	r := h.rate()
	p := math.Max(k.floor(), r+math.Sqrt(r*(1-r)/h.answers)/2)
	for _, i := range around {
		c := i[route]
		if c == nil {
			continue
		}
		if t := c.old[k]; t.exceeds(t.answers*r, t.answers*r*(1-r)) {
			p = math.Max(p, t.rate())
		}
	}
	p = math.Max(p, disturbed)
	return p, p < maxExpected
}

// remember adds the old answers of an interval to the routes' histories. A disturbance is
// not what is usual.
func (a *analysis) remember(k kind, i interval, disturbed float64) {
	for _, r := range a.routes {
		r.history[k].answers *= historyDecay
		r.history[k].bad *= historyDecay
	}
	for route, c := range i {
		h := &a.routes[route].history[k]
		if disturbed == 0 || h.answers < minHistory {
			h.addAll(c.old[k])
		}
	}
}
