package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const simTick = 10 * time.Millisecond

// version is how the target behaves.
type version struct {
	name string
	// fraction of the answers is bad, from the time since on; badTime is the factor of a
	// slow answer's time, and zero if bad answers fail.
	fraction float64
	since    time.Duration
	badTime  float64
	// route, if not negative, is the only bad one. underLoad versions are bad while an
	// upstream has at most one free slot.
	route     int
	underLoad bool
	// cold is the factor of the time of each upstream's first answers.
	cold float64
}

// scenario is what happens in a simulated rollout.
type scenario struct {
	version  version
	duration time.Duration
	// upstreams of each version, the utilisation of the old ones, the mean time of a call, and
	// the deviation of the requests' sizes.
	upstreams   int
	utilisation float64
	callTime    time.Duration
	sizes       float64
	// rate, if not zero, is the number of requests a second instead.
	rate float64
	// burst multiplies the rate in the middle third.
	burst float64
	// late is set if half of the target's upstreams start after half of the duration.
	late bool
	// disturbed is when a fifth of all answers of both versions fail, for a second.
	disturbed time.Duration
	// crashes are when an upstream of each version crashes; lost is when a tenth of the
	// target's upstreams is lost for good.
	crashes []time.Duration
	lost    time.Duration
	// leaderLosses are when the leader is lost; a paused one goes on later. stalled is when
	// the log commits nothing, for 2 s. isolated is when an entry has no broker, for 2 s.
	leaderLosses []time.Duration
	paused       bool
	stalled      time.Duration
	isolated     time.Duration
	// Planted faults.
	resetReservation, noComparison, earlyCompletion bool
}

type simUpstream struct {
	id       string
	target   bool
	factor   float64
	running  int
	answered int
	expected float64
	from     time.Duration
	downTill time.Duration
	epoch    int
}

// learn updates the expected time of a call of size 1 as a broker does.
func (u *simUpstream) learn(seconds float64) {
	if u.expected == 0 {
		u.expected = seconds
	}
	u.expected += 0.2 * (seconds - u.expected)
}

type simRequest struct {
	route int
	entry int
	size  float64
}

const (
	simSlots   = 5
	simEntries = 6
	simRoutes  = 5
	// simMinTimeout, in seconds, and simTimeoutFactor give the time, from the expected one,
	// after which an entry repeats a call at another upstream.
	simMinTimeout    = 0.2
	simTimeoutFactor = 3
	// takeover is how long a new leader may delay the completion.
	takeover = time.Second
	// noisyRoute is the route that fails 14 times in 100 on both versions.
	noisyRoute = 1
)

// sim plays one rollout.
type sim struct {
	scenario
	rng    *rand.Rand
	params Params
	now    time.Duration
	// events are what happens, by the tick.
	events    map[time.Duration][]func()
	book      Book
	upstreams []*simUpstream
	queue     []simRequest
	arrivals  float64
	// leader is the controller in charge, nil while there is none; paused is an earlier one
	// that goes on until pausedUntil.
	leader      *Controller
	paused      *Controller
	pausedFrom  time.Duration
	pausedUntil time.Duration
	term        uint64
	leaderSince time.Duration
	// seen is the record that each entry has.
	seen [simEntries]Record

	requests, tries, bad, oldRunning int
	fiftieth                         time.Duration
	lastTry                          time.Duration
	trusted                          bool
	endedAt                          time.Duration
	// outage is for how long there was no leader, or the log committed nothing.
	outage time.Duration
	// badBefore and triesBefore are the numbers of bad answers and of the target's requests
	// before the settle phase.
	badBefore, triesBefore int
	faults                 []string
}

func newSim(seed uint64, s scenario) *sim {
	x := &sim{scenario: s, events: map[time.Duration][]func(){}, rng: rand.New(rand.NewPCG(seed, 80)), params: Params{Share: 0.1, Slack: 50, RollbackTimeout: 5 * time.Second}}
	capacity := 0.0
	for i := range 2 * s.upstreams {
		u := &simUpstream{id: fmt.Sprint(i), target: i >= s.upstreams, factor: math.Exp(x.rng.Float64() * math.Log(4.4))}
		if u.target && s.late && i%2 == 0 {
			u.from = s.duration / 2
		}
		if !u.target {
			capacity += simSlots / (s.callTime.Seconds() * u.factor)
		}
		x.upstreams = append(x.upstreams, u)
	}
	if s.rate == 0 {
		x.rate = s.utilisation * capacity
	}
	r, _ := x.book.Start(Start{Pool: "p", Target: "v2", Duration: s.duration})
	for i := range x.seen {
		x.seen[i] = r
	}
	x.elect()
	for _, at := range s.leaderLosses {
		x.at(at, x.loseLeader)
	}
	for _, at := range s.crashes {
		x.at(at, func() { x.crash(false); x.crash(true) })
	}
	if s.lost > 0 {
		x.at(s.lost, func() {
			for range max(1, s.upstreams/10) {
				x.crash(true).downTill = time.Hour
			}
		})
	}
	return x
}

func (x *sim) at(t time.Duration, do func()) {
	tick := max(x.now+simTick, t.Truncate(simTick))
	x.events[tick] = append(x.events[tick], do)
}

func (x *sim) fail(format string, args ...any) {
	if len(x.faults) < 5 {
		x.faults = append(x.faults, fmt.Sprintf("%v: ", x.now)+fmt.Sprintf(format, args...))
	}
}

func (x *sim) elect() {
	x.term++
	r, _ := x.book.Record("p")
	x.leader = NewController(x.now, x.params, r)
	x.leader.SetTerm(x.term)
	x.leaderSince = x.now
}

// loseLeader replaces the leader after a while. A paused one goes on with its old state
// shortly after the new one began.
func (x *sim) loseLeader() {
	if x.leader == nil {
		return
	}
	delay := 300*time.Millisecond + time.Duration(x.rng.IntN(1000))*time.Millisecond
	if x.scenario.paused {
		x.paused = x.leader
		x.pausedFrom = x.now + delay + 50*time.Millisecond
		x.pausedUntil = x.pausedFrom + time.Second
	}
	x.leader = nil
	x.at(x.now+delay, x.elect)
}

// crash ends everything on a random upstream that is up.
func (x *sim) crash(target bool) *simUpstream {
	for {
		u := x.upstreams[x.rng.IntN(len(x.upstreams))]
		if u.target != target {
			continue
		}
		u.epoch++
		u.downTill = x.now + 1500*time.Millisecond
		for range u.running {
			x.learn(Answer{Route: uint64(x.rng.IntN(simRoutes)), Target: target, Upstream: u.id, Failed: true, Time: x.callTime})
		}
		if !target {
			x.oldRunning -= u.running
		}
		u.running = 0
		return u
	}
}

func (x *sim) learn(a Answer) {
	if x.noComparison && !a.Target {
		a.Failed = false
	}
	if x.leader != nil {
		x.leader.Learn(x.now, a)
	}
}

func (x *sim) usable(u *simUpstream) bool {
	return x.now >= u.from && x.now >= u.downTill && u.running < simSlots
}

// pick returns the upstream for a request: the fullest of a target in trial and shift, otherwise a
// random one.
func (x *sim) pick(target, concentrated bool) *simUpstream {
	var best *simUpstream
	start := x.rng.IntN(len(x.upstreams))
	for i := range x.upstreams {
		u := x.upstreams[(start+i)%len(x.upstreams)]
		if concentrated {
			u = x.upstreams[i]
		}
		if u.target == target && x.usable(u) && (best == nil || !concentrated && u.running < best.running) {
			best = u
		}
	}
	return best
}

// dispatch grants one request and reports whether it could.
func (x *sim) dispatch(q simRequest) bool {
	c, central := x.leader, true
	if x.paused != nil && x.now >= x.pausedFrom && x.now < x.pausedUntil && q.entry%2 == 0 {
		c = x.paused
	}
	isolated := x.isolated > 0 && q.entry == 0 && x.now >= x.isolated && x.now < x.isolated+2*time.Second
	gate := x.seen[q.entry].Gate()
	if c == nil || isolated {
		c, central = nil, false
	} else {
		gate = c.record.Gate()
	}
	if gate.AllowsTarget(central) && (c == nil || c.MayTry(x.now)) {
		if u := x.pick(true, gate.Phase == Trial || gate.Phase == Shift); u != nil {
			if c != nil {
				c.CountTry(x.now)
			}
			x.tries++
			x.lastTry = x.now
			x.run(q, u)
			return true
		}
	}
	if u := x.pick(false, false); gate.AllowsOld(central) && u != nil {
		x.oldRunning++
		x.run(q, u)
		return true
	}
	return false
}

// run runs a request on an upstream.
func (x *sim) run(q simRequest, u *simUpstream) {
	u.running++
	v := x.version
	duration := x.callTime.Seconds() * u.factor * q.size * math.Exp(0.3*x.rng.NormFloat64()-0.045)
	failed := q.route == noisyRoute && x.rng.Float64() < 0.14 || x.rng.Float64() < 0.005
	isBad := u.target && x.now >= v.since && (v.route < 0 || v.route == q.route) && (!v.underLoad || u.running >= simSlots-1) && x.rng.Float64() < v.fraction
	if isBad && v.badTime > 0 {
		duration *= v.badTime
	}
	failed = failed || isBad && v.badTime == 0
	if x.disturbed > 0 && x.now >= x.disturbed && x.now < x.disturbed+time.Second {
		failed = failed || x.rng.Float64() < 0.2
		duration *= 2
	}
	if u.target && v.cold > 0 && u.answered+u.running <= 8 {
		duration *= v.cold
	}
	expected := u.expected
	if expected == 0 {
		expected = x.callTime.Seconds() * 2
	}
	// A request that is slow is repeated at another upstream, as entries do; the attempt ends
	// once that one answers.
	timedOut := false
	if limit := max(simMinTimeout, simTimeoutFactor*expected*q.size); duration > limit {
		duration, failed, timedOut = limit+x.callTime.Seconds(), true, true
	}
	// Longer requests would not end within the duration.
	duration = min(duration, 3)
	epoch := u.epoch
	x.at(x.now+time.Duration(duration*float64(time.Second)), func() {
		if u.epoch != epoch {
			return
		}
		u.running--
		u.answered++
		if !u.target {
			x.oldRunning--
		}
		if !timedOut {
			u.learn(duration / q.size)
		}
		x.countBad(isBad)
		x.learn(Answer{
			Route: uint64(q.route), Target: u.target, Upstream: u.id, Failed: failed, TimedOut: timedOut,
			Time: time.Duration(duration * float64(time.Second)), Expected: time.Duration(expected * q.size * float64(time.Second)),
		})
	})
}

func (x *sim) countBad(isBad bool) {
	if isBad {
		x.bad++
	}
	if x.bad >= 50 && x.fiftieth == 0 {
		x.fiftieth = x.now
	}
}

// arrive adds the requests of a tick.
func (x *sim) arrive() {
	rate := x.rate
	if x.now > x.duration/3 && x.now < x.duration*2/3 {
		rate *= x.burst
	}
	for x.arrivals += rate * simTick.Seconds(); x.arrivals >= 1; x.arrivals-- {
		route := min(x.rng.IntN(simRoutes), x.rng.IntN(simRoutes))
		size := min(5, math.Exp(x.sizes*x.rng.NormFloat64()))
		x.requests++
		if x.leader != nil {
			x.leader.CountRequest(x.now)
		}
		x.queue = append(x.queue, simRequest{route: route, entry: x.rng.IntN(simEntries), size: size})
	}
	waiting := x.queue[:0]
	for _, q := range x.queue {
		if !x.dispatch(q) && len(waiting) < 2*simSlots*x.upstreamCount() {
			waiting = append(waiting, q)
		}
	}
	x.queue = waiting
}

func (x *sim) upstreamCount() int { return x.scenario.upstreams }

func (x *sim) fleet() Fleet {
	r, _ := x.book.Record("p")
	f := Fleet{OldRunning: x.oldRunning, EntriesLive: simEntries}
	for _, u := range x.upstreams {
		if x.now < u.from || x.now < u.downTill {
			continue
		}
		f.Load += u.running
		if u.target {
			f.TargetSlots += simSlots
		} else {
			f.OldSlots += simSlots
		}
	}
	for _, s := range x.seen {
		if s.Phase == r.Phase {
			f.EntriesKnown++
		}
	}
	if x.earlyCompletion || x.leaderSince > 0 && x.now < x.leaderSince+time.Second {
		// Entries have not told a new leader yet what they run.
		f.OldRunning, f.EntriesLive, f.EntriesKnown = 0, 1, 1
	}
	return f
}

func (x *sim) isStalled() bool {
	return x.stalled > 0 && x.now >= x.stalled && x.now < x.stalled+2*time.Second
}

// control ticks the controllers and commits what they propose.
func (x *sim) control() {
	list := []*Controller{x.leader}
	if x.paused != nil && x.now >= x.pausedFrom && x.now < x.pausedUntil {
		list = append(list, x.paused)
	}
	for _, c := range list {
		if c == nil {
			continue
		}
		a, ok := c.Tick(x.now, x.fleet())
		if !ok || x.isStalled() {
			continue
		}
		x.at(x.now+time.Duration(5+x.rng.IntN(60))*time.Millisecond, func() { x.commit(c, a) })
	}
}

func (x *sim) commit(c *Controller, a Advance) {
	before, _ := x.book.Record("p")
	r, status := x.book.Advance(a)
	if r.Phase.order() < before.Phase.order() || before.Phase.IsFinal() && r.Phase != before.Phase || r.Reserved < before.Reserved || r.Requests < before.Requests || r.Elapsed < before.Elapsed {
		x.fail("record went back from %+v to %+v", before, r)
	}
	if r.Phase == Completed && before.Phase != Completed && x.oldRunning > 0 {
		x.fail("completed while %d requests run on the old version", x.oldRunning)
	}
	if r.Phase.IsFinal() && x.endedAt == 0 {
		x.endedAt = x.now
	}
	if status == OK && (c == x.leader || c == x.paused) {
		isFirst := !c.exposure.claimed
		c.Committed(x.now, r)
		if x.resetReservation && isFirst {
			c.exposure.used = 0
		}
	}
	if r.Phase == before.Phase {
		return
	}
	if r.Phase == Settle {
		x.badBefore, x.triesBefore = x.bad, x.tries
	}
	for i := range x.seen {
		x.at(x.now+time.Duration(20+x.rng.IntN(280))*time.Millisecond, func() { x.seen[i] = r })
	}
}

// check checks what must hold at every tick.
func (x *sim) check() {
	r, _ := x.book.Record("p")
	x.trusted = x.trusted || x.leader != nil && x.leader.plan.isTrusted() || r.Phase == Settle || r.Phase == Completed
	if bound := 0.1*float64(x.requests) + 50; !x.trusted && float64(x.tries) > bound {
		x.fail("the target got %d of %d requests before it was trusted", x.tries, x.requests)
	}
	since := x.fiftieth
	if x.version.badTime > 0 {
		// A new leader has to learn anew what times are usual.
		since = max(since, x.leaderSince)
	}
	if x.fiftieth > 0 && x.lastTry > since+x.params.RollbackTimeout {
		x.fail("the target gets requests %v after its 50th bad answer", x.lastTry-since)
	}
}

// play runs the rollout for twice its duration at most.
func (x *sim) play() Record {
	for x.now < 2*x.duration {
		for i := 0; i < len(x.events[x.now]); i++ {
			x.events[x.now][i]()
		}
		delete(x.events, x.now)
		x.arrive()
		x.control()
		if x.leader == nil || x.isStalled() {
			x.outage += simTick
		}
		x.check()
		if x.endedAt > 0 && x.now > x.endedAt+time.Second {
			break
		}
		x.now += simTick
	}
	r, _ := x.book.Record("p")
	if x.version.fraction == 0 && (r.Phase != Completed || x.endedAt > x.duration+x.outage+time.Duration(len(x.leaderLosses))*takeover) {
		x.fail("a good version was %s at %v: %s", r.Phase, x.endedAt, r.Reason)
	}
	if x.version.fraction > 0 && r.Phase != RolledBack && (!x.version.underLoad || x.badBefore >= max(50, x.triesBefore/5)) {
		x.fail("a bad version was %s at %v, with %d bad answers", r.Phase, x.endedAt, x.bad)
	}
	return r
}
