package rollout

import (
	"fmt"
	"math"
	"time"
)

// The analysis compares the answers of the target with those of the old version on the same
// routes in the same seconds, for failures and for slow answers. It sums, over intervals,
// the logarithm of the likelihood ratio between two hypotheses: the target is as bad as the
// old version, or a fraction of its good answers are bad too. The sum restarts at zero, so
// that a version that turns bad later is found as fast.
const (
	// badExcess is the fraction of bad answers from which on a version is to be found soon,
	// smallExcess one that is found later, and largeExcess one that takes fewer answers.
	badExcess   = 0.2
	smallExcess = 0.07
	largeExcess = 0.45
	// verdictEvidence is the sum at which the target is judged bad. A good version reaches
	// it about once in e^15 = 3,000,000 answers; one with badExcess reaches it after about
	// 15 bad answers, or 45 where 14 in 100 answers of the old version fail.
	verdictEvidence = 15
	// suspicionEvidence and slowSuspicion are the sums from which on the target's part of the
	// traffic does not grow, for failures and for slow answers, which vary more.
	suspicionEvidence = 5
	slowSuspicion     = 8
	// maxCarried is the most evidence that a new leader takes over. Its own must confirm it.
	maxCarried = 10
	// minFailures and minSlowness are the least fractions of bad answers that are expected
	// of the target, so that single faults at a sound old version weigh little.
	minFailures = 0.03
	minSlowness = 0.06
	// slownessMargin multiplies the expected fraction of slow answers: which answers of an
	// upstream are slow depends on few earlier ones, so that they are not independent.
	slownessMargin = 1.35
	// maxExpected is the fraction of bad answers of the old version from which on nothing
	// is concluded from those of the target.
	maxExpected = 0.5

	// maxInterval is the length of the intervals in which answers are compared.
	maxInterval = 500 * time.Millisecond
	// historyDecay is the weight of the past per interval; a rate is that of about 25 s.
	historyDecay = 0.98
	// fadeFactor lowers the evidence of slow answers per interval in which none is judged, so
	// that what can't be confirmed is dropped within some ten seconds. Failures can always be.
	fadeFactor = 0.93
	// minHistory is the number of old answers of a route from which on its target answers
	// are judged, and priorBad and priorAnswers are added to it, so that few old answers
	// without a bad one don't make a usual fraction of them look bad at the target.
	minHistory   = 10
	priorBad     = 2
	priorAnswers = 4
	// historyWeight is the weight of the history, in answers, against the old answers of
	// the same seconds, for slow answers. A slowdown of both versions that is below slowFactor
	// changes their fraction without showing in few old answers.
	historyWeight = 30
	// disturbedWeight is the weight in the history of an interval in which more old answers
	// are bad than usual. What is bad for long becomes usual.
	disturbedWeight = 0.25
	// minOldAnswers is the number of old answers around an interval, and minOldShare that as
	// a fraction of the target's, below which nothing is concluded from it.
	minOldAnswers = 8
	minOldShare   = 0.12
	// Where few requests come, answers of up to fewAnswers in an interval are compared with
	// as many old ones as came lately: recentDecay is the weight of the past per interval, so
	// that these are from about 5 s.
	fewAnswers  = 5
	recentDecay = 0.9
	// fewWanted is how many answers of the target decide without a comparison at the end of
	// a trial in which too few requests came, and fewExcess the fraction of failures beyond
	// that of the old version at which the target is bad then. Fewer answers suffice if most
	// are good.
	fewWanted = 5
	fewExcess = 0.6
	// intervals is how many are kept: a request counts as slow in the interval in which it
	// began if it took less than 1.5 s, otherwise in the oldest one that is not judged.
	intervals = 4
	// maxRoutes bounds the routes that are told apart.
	maxRoutes = 256

	// maxRunFailures is how many failures in turn at one upstream count at once, and
	// runInterval the time for one more: a crash ends everything that an upstream runs, and
	// says as much about the version as one failure. Requests that began runMargin after the
	// first failure count each; it covers the time of messages.
	maxRunFailures = 2
	runInterval    = 400 * time.Millisecond
	runMargin      = 100 * time.Millisecond
	// maxColdTimeouts is for how long timeouts in turn at an upstream that is not known to be
	// warm are no failures: slow first answers time out too if the request is repeated at
	// another upstream. An upstream that never answers is a failure from then on.
	maxColdTimeouts = 2 * time.Second
)

// kind of a bad answer.
type kind int

const (
	failure kind = iota
	// slowness and relativeSlowness are by the absolute and the relative time.
	slowness
	relativeSlowness
	kinds
)

// excesses are the fractions of bad answers that are looked for. Times vary too much for a
// small excess of slow answers.
var excesses = [kinds][2]float64{failure: {badExcess, smallExcess}, slowness: {badExcess, largeExcess}, relativeSlowness: {badExcess, largeExcess}}

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

// cautious returns the rate with a prior that counts where there are few answers.
func (t tally) cautious() float64 { return (t.bad + priorBad) / (t.answers + priorAnswers) }

// exceeds reports whether the tally has significantly more bad answers than expected.
func (t tally) exceeds(expected, variance float64) bool {
	return t.bad-expected > 3*math.Sqrt(variance)+1.5
}

// cell holds the answers of one route in one interval.
type cell struct{ old, target [kinds]tally }

func (c *cell) side(target bool) *[kinds]tally {
	if target {
		return &c.target
	}
	return &c.old
}

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
	sums    [kinds]sums
}

// sums holds the evidence for each of the excesses of a kind.
type sums [2]evidence

// add adds answers of which a fraction p is expected to be bad.
func (s *sums) add(k kind, t tally, p float64) {
	for i, excess := range excesses[k] {
		s[i].add(likelihoodRatio(t, p, excess), t, p)
	}
}

// fade lowers evidence to which nothing is added.
func (s *sums) fade(k kind) {
	if k == failure {
		return
	}
	for i := range s {
		s[i].sum *= fadeFactor
	}
}

// highest returns the highest evidence.
func (s *sums) highest() *evidence {
	best := &s[0]
	for i := range s {
		if s[i].sum > best.sum {
			best = &s[i]
		}
	}
	return best
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

// analysis judges the target. Of earlier leaders' answers it knows the evidence only.
type analysis struct {
	length time.Duration
	// current is the number of the interval that is being filled; recent holds it and the
	// ones before it, the latest last. Failures are counted when they become known, times
	// when the request began: what is left of a burst are its long requests.
	current int64
	started bool
	recent  [intervals]interval
	routes  map[uint64]*routeState
	all     [kinds]sums
	// judged counts the answers of the target that were compared.
	judged [kinds]float64
	// recentOld counts the old answers of about 5 s, and failures those of each version since
	// the analysis began: the old one's, and the target's that count.
	recentOld [kinds]float64
	failures  struct{ old, target tally }
	speeds    speeds
	runs      map[string]*failureRun
	// timeouts is when the first of the last timeouts in turn came, by upstream.
	timeouts map[string]time.Duration
	// pending holds the judged cells of one interval.
	pending []judgedCell
	// verdict is why the target is bad; empty while it is not known to be.
	verdict string
}

// judgedCell is the target's part of a cell, with the fraction of bad answers expected of it.
type judgedCell struct {
	tally
	expected float64
}

// failureRun describes the failures of an upstream since its last good answer: how many there
// are, and when the first and the last one that counted came.
type failureRun struct {
	failures int
	first    time.Duration
	counted  time.Duration
}

// newAnalysis returns an analysis that continues from the evidence of an earlier leader.
func newAnalysis(p Params, carried Evidence) *analysis {
	a := &analysis{length: maxInterval, routes: map[uint64]*routeState{}, runs: map[string]*failureRun{}, timeouts: map[string]time.Duration{}, speeds: newSpeeds()}
	if p.RollbackTimeout > 0 {
		a.length = min(maxInterval, p.RollbackTimeout/8)
	}
	for i := range a.recent {
		a.recent[i] = interval{}
	}
	a.all[failure][0].sum = min(maxCarried, carried.Failures)
	a.all[slowness][0].sum = min(maxCarried, carried.Slowness)
	a.judged[failure], a.judged[slowness] = carried.Answers, carried.Times
	a.speeds.knownSlow = carried.Slowness >= slowSuspicion/2
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
	if a.isColdTimeout(now, x) {
		return
	}
	route := a.route(x.Route)
	x.Route = route
	side := a.recent[intervals-1].cell(route).side(x.Target)
	if !x.Target {
		a.failures.old.add(x.Failed)
		side[failure].add(x.Failed)
	} else if a.isCounted(now, x) {
		a.failures.target.add(x.Failed)
		side[failure].add(x.Failed)
	}
	if x.Failed || x.Time <= 0 {
		return
	}
	judged := a.speeds.learn(now, x)
	age := a.current - int64((now-x.Time)/a.length)
	side = a.recent[max(1, intervals-1-age)].cell(route).side(x.Target)
	side[slowness].addAll(judged[absolute])
	side[relativeSlowness].addAll(judged[relative])
}

// isColdTimeout reports whether an answer is a timeout that may be due to a cold start. It
// applies to both versions, so that their fractions of failures stay comparable.
func (a *analysis) isColdTimeout(now time.Duration, x Answer) bool {
	if !x.Failed {
		delete(a.timeouts, x.Upstream)
	}
	if !x.TimedOut {
		return false
	}
	first, known := a.timeouts[x.Upstream]
	if !known {
		first = now
		a.timeouts[x.Upstream] = now
	}
	return a.speeds.isCold(now, x) && now-first < maxColdTimeouts
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
	if r.failures == 1 {
		r.first = now
	}
	isNew := x.Time > 0 && now-x.Time >= r.first+runMargin
	if r.failures > maxRunFailures && now < r.counted+runInterval && !isNew {
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
	if number > a.current+intervals {
		a.current = number - intervals
	}
	for a.current < number {
		a.judge()
		a.current++
		copy(a.recent[:], a.recent[1:])
		a.recent[intervals-1] = interval{}
	}
}

// judge judges an interval for each kind of bad answers, which is complete then.
func (a *analysis) judge() {
	for k := range kinds {
		around := a.recent[:3]
		if k == failure {
			around = a.recent[intervals-3:]
		}
		a.recentOld[k] *= recentDecay
		for _, c := range around[1] {
			a.recentOld[k] += c.old[k].answers
		}
		if !a.isComparable(k, around) {
			continue
		}
		disturbed := a.disturbance(k, around)
		for route, state := range a.routes {
			a.judgeRoute(k, route, state, around, disturbed)
		}
		a.addToAll(k)
		a.remember(k, around[1], disturbed)
	}
	a.checkSpeeds()
}

// judgeRoute judges the target's answers on a route in the middle one of three intervals.
func (a *analysis) judgeRoute(k kind, route uint64, state *routeState, around []interval, disturbed float64) {
	c := around[1][route]
	p, known := a.expect(k, route, around, disturbed)
	if c == nil || !known || c.target[k].answers == 0 {
		state.sums[k].fade(k)
		return
	}
	state.sums[k].add(k, c.target[k], p)
	a.check(&state.sums[k], k, fmt.Sprintf("on route %x", route))
	a.pending = append(a.pending, judgedCell{tally: c.target[k], expected: p})
}

// addToAll adds the judged cells of an interval to the evidence over all routes. They are
// added as one, since the order within an interval is not known.
func (a *analysis) addToAll(k kind) {
	for i, excess := range excesses[k] {
		ratio, total, expected := 0.0, tally{}, 0.0
		for _, c := range a.pending {
			ratio += likelihoodRatio(c.tally, c.expected, excess)
			total.addAll(c.tally)
			expected += c.expected * c.answers
		}
		if total.answers == 0 {
			a.all[k].fade(k)
			return
		}
		a.all[k][i].add(ratio, total, expected/total.answers)
		if i == 0 {
			a.judged[k] += total.answers
		}
	}
	a.pending = a.pending[:0]
	a.check(&a.all[k], k, "over all routes")
}

// check sets the verdict if the evidence suffices.
func (a *analysis) check(s *sums, k kind, where string) {
	e := s.highest()
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

// evidence returns the highest evidence against the target.
func (a *analysis) evidence() Evidence {
	most := [kinds]float64{}
	for k := range kinds {
		most[k] = a.all[k].highest().sum
		for _, r := range a.routes {
			most[k] = math.Max(most[k], r.sums[k].highest().sum)
		}
	}
	return Evidence{
		Failures: most[failure], Slowness: math.Max(most[slowness], most[relativeSlowness]),
		Answers: a.judged[failure], Times: a.judged[slowness],
	}
}

// isSuspecting reports whether the evidence leans towards a bad version.
func (a *analysis) isSuspecting() bool {
	e := a.evidence()
	return e.Failures >= suspicionEvidence || e.Slowness >= slowSuspicion
}

// likelihoodRatio returns the logarithm of how much likelier the answers are if an excess
// of the good ones are bad, where the fraction p is expected to be.
func likelihoodRatio(t tally, p, excess float64) float64 {
	bad := p + excess*(1-p)
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

// isComparable reports whether there are enough old answers for a comparison.
func (a *analysis) isComparable(k kind, around []interval) bool {
	old, target := 0.0, 0.0
	for _, i := range around {
		for _, c := range i {
			old += c.old[k].answers
			target += c.target[k].answers
		}
	}
	if target <= fewAnswers {
		old = math.Max(old, a.recentOld[k])
	}
	return old >= math.Max(minOldAnswers, minOldShare*target)
}

// judgeFew judges a target of which too few answers could be compared, and reports whether
// that is possible.
func (a *analysis) judgeFew() bool {
	t := a.failures.target
	if t.answers < fewWanted {
		return 2*t.bad < t.answers
	}
	if t.rate() >= a.failures.old.rate()+fewExcess && a.verdict == "" {
		a.verdict = fmt.Sprintf("%.0f of %.0f answers of the target failed, with too few requests for a comparison", t.bad, t.answers)
	}
	return true
}

// usual returns the fraction of bad answers of the old version on a route.
func (a *analysis) usual(k kind, route uint64) float64 {
	return math.Max(k.floor(), a.routes[route].history[k].cautious())
}

// expect returns the fraction of bad answers that is expected of the target on a route, and
// false if too little is known of the old version there, or if it is too bad itself.
func (a *analysis) expect(k kind, route uint64, around []interval, disturbed float64) (float64, bool) {
	h := a.routes[route].history[k]
	if h.answers < minHistory {
		return 0, false
	}
	r := h.cautious()
	p := r + math.Sqrt(r*(1-r)/h.answers)/2
	lately := tally{}
	for _, i := range around {
		c := i[route]
		if c == nil {
			continue
		}
		lately.addAll(c.old[k])
		if t := c.old[k]; t.exceeds(t.answers*r, t.answers*r*(1-r)) {
			p = math.Max(p, t.rate())
		}
	}
	if k != failure {
		p = slownessMargin * math.Max(p, (historyWeight*r+lately.bad)/(historyWeight+lately.answers))
	}
	p = math.Max(p, k.floor())
	if disturbed > 0 {
		p = math.Max(p, math.Max(disturbed, lately.cautious()))
	}
	return p, p < maxExpected
}

// remember adds the old answers of an interval to the routes' histories.
func (a *analysis) remember(k kind, i interval, disturbed float64) {
	weight := 1.0
	if disturbed > 0 {
		weight = disturbedWeight
	}
	for _, r := range a.routes {
		r.history[k].answers *= historyDecay
		r.history[k].bad *= historyDecay
	}
	for route, c := range i {
		h, t := &a.routes[route].history[k], c.old[k]
		h.addAll(tally{answers: weight * t.answers, bad: weight * t.bad})
	}
}
